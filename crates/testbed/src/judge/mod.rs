//! The judge: decides from what the stand-ins saw whether the five rules were kept, and what the service was worth.
//! No I/O and no clock; never a word from an ingress's log or figures.

mod ceilings;
pub mod policy;
#[cfg(test)]
mod tests;
mod worth;

pub use worth::{Cell, Worth};

use crate::machine::{self, COLD};
use crate::scenario::{Effect, Micros, Scenario, SECOND};
use ceilings::Stores;
use serde::Serialize;
use std::collections::{HashMap, HashSet, VecDeque};

/// How much longer each time limit is on sockets than in the rules.
pub const ON_SOCKETS: Micros = 50_000;
/// How long after the client's deadline an answer still counts, besides.
pub const ANSWER_SLACK: Micros = 16_000;
/// The slack of a ceiling: a share of its burst, or the largest request if that is more ...
pub const CEILING_SLACK: f64 = 0.1;
/// ... and what its rate gives in so many seconds.
pub const CEILING_SECONDS: f64 = 0.15;
/// Of the work that pushes a cold backend over, the part that must come from ingresses that knew it was cold.
const KNEW: f64 = 2.0 / 3.0;
/// Violations that are kept; the others are counted.
const MOST_KEPT: usize = 200;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    /// One final answer for each request that was taken, in time, and nothing sent on after it.
    Answer,
    /// No unsafe effect twice, no keyed one outside its group or time.
    Effects,
    /// Nothing new to a backend that drains.
    Drains,
    /// No cold backend pushed over.
    Cold,
    /// No more units sent on for an account than its ceiling allows.
    Ceilings,
}

impl Rule {
    /// All of them.
    pub const ALL: [Rule; 5] = [
        Rule::Answer,
        Rule::Effects,
        Rule::Drains,
        Rule::Cold,
        Rule::Ceilings,
    ];

    /// A word for it.
    pub fn name(self) -> &'static str {
        match self {
            Rule::Answer => "answer",
            Rule::Effects => "effects",
            Rule::Drains => "drains",
            Rule::Cold => "cold",
            Rule::Ceilings => "ceilings",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// The request, by the number that is its id.
    pub request: u64,
    /// When it was seen, in microseconds from the start.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

/// A try as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Its id.
    pub id: u64,
    /// The id of the first try of the same request.
    pub first: u64,
    /// The account's number.
    pub account: u32,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// When the client gives up.
    pub deadline: Micros,
}

/// How a client's request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With the value that a backend made for it.
    Served,
    /// With another value.
    Foreign,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// What a stand-in saw.
#[derive(Clone, Copy, Debug)]
pub enum Seen {
    /// A client found no ingress to take a try.
    Unreached(Try),
    /// A client wrote the last byte of a try to a connection that an ingress had accepted.
    Asked(Try, usize),
    /// A client got a whole answer.
    Answered(u64, Answer),
    /// More came on a connection than was asked for, behind the answer to this one.
    Surplus(u64),
    /// The connection ended without a whole answer.
    Broken(u64),
    /// No answer came until its time was up.
    Overdue(u64),
    /// The client left before the answer.
    Left(u64),
    /// The connection ended between two requests and crossed this one, which is asked again.
    Crossed(u64),
    /// An ingress was killed: what it held is the client's to retry.
    Killed(usize),
    /// It is started again.
    Started(usize),
    /// An ingress stands still.
    Frozen(usize),
    /// And goes on.
    Resumed(usize),
    /// A leg of the way before an ingress fails: clients can't tell what it took.
    LegDown(usize),
    /// And works again.
    LegUp(usize),
    /// What an ingress sends to its backends is under way for so long.
    Slow(usize, Micros),
    /// An ingress was told of a backend: whether it takes new work, and when it started.
    Told {
        /// The ingress.
        ingress: usize,
        /// The backend's identity, new with a new name.
        backend: usize,
        /// Whether it takes new work.
        up: bool,
        /// When it started; 0 for long ago.
        started: Micros,
    },
    /// A command came whole to a backend.
    Reached {
        /// The request.
        id: u64,
        /// From where.
        ingress: usize,
        /// To which backend.
        backend: usize,
        /// The pod that knows its key there.
        pod: usize,
        /// When its first byte came.
        first_byte: Micros,
        /// Its work.
        work: Micros,
        /// Microseconds of work that the backend can do in a second, warm.
        capacity: f64,
        /// When the backend started.
        started: Micros,
    },
    /// An attempt is out no longer: its answer is written, or its connection has ended.
    Over {
        /// The request.
        id: u64,
        /// Which backend had it.
        backend: usize,
    },
    /// A backend turned it away unseen.
    TurnedAway {
        /// The request.
        id: u64,
        /// Which backend.
        backend: usize,
    },
    /// A backend carried it out.
    Ran {
        /// The request.
        id: u64,
    },
}

struct Attempt {
    at: Micros,
    backend: usize,
    pod: usize,
    void: bool,
    /// It is out no longer.
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Open,
    Answered,
    /// It is not the ingress's to answer any more.
    Gone,
}

struct Request {
    try_: Try,
    ingress: usize,
    end: End,
    ended: Micros,
    attempts: Vec<Attempt>,
    ran: u32,
}

/// What an ingress was told of a backend.
struct Told {
    up: bool,
    since: Micros,
    started: Micros,
}

/// Watches a run.
pub struct Judge {
    classes: Vec<(Effect, f64)>,
    plans: Vec<crate::scenario::Plan>,
    second_copies: bool,
    drain_grace: Micros,
    /// Attempts out, by account.
    out: HashMap<u32, u32>,
    requests: HashMap<u64, Request>,
    told: HashMap<(usize, usize), Told>,
    /// Ingresses that were killed: what reaches their sockets until they are gone is lost with them.
    killed: HashSet<usize>,
    /// Ingresses that stand still, and for what time the last one did.
    frozen: HashMap<usize, Micros>,
    thawed: HashMap<usize, Micros>,
    legs: HashSet<usize>,
    legs_up: HashMap<usize, Micros>,
    /// The longest that what an ingress sent to backends was under way.
    slow: HashMap<usize, Micros>,
    ceilings: Stores,
    worth: Worth,
    cold: HashMap<usize, VecDeque<(Micros, Micros, bool)>>,
    found: HashSet<(Rule, u64)>,
    violations: Vec<Violation>,
    counts: [u64; 5],
    start: Micros,
    /// Attempts seen, and those of requests whose client had left.
    attempts: u64,
    for_nobody: u64,
}

impl Judge {
    /// For a scenario's rules; times are told from `start`.
    pub fn new(s: &Scenario, start: Micros) -> Self {
        Judge {
            classes: s.classes.iter().map(|c| (c.effect, c.units)).collect(),
            plans: s.plans.clone(),
            second_copies: s.network.second_copies,
            drain_grace: s.network.drain_grace,
            out: HashMap::new(),
            requests: HashMap::new(),
            told: HashMap::new(),
            killed: HashSet::new(),
            frozen: HashMap::new(),
            thawed: HashMap::new(),
            legs: HashSet::new(),
            legs_up: HashMap::new(),
            slow: HashMap::new(),
            ceilings: Stores::default(),
            worth: Worth::new(s, start),
            cold: HashMap::new(),
            found: HashSet::new(),
            violations: Vec::new(),
            counts: [0; 5],
            start,
            attempts: 0,
            for_nobody: 0,
        }
    }

    /// What was found so far, the first ones of each rule at the least.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How often each rule was broken.
    pub fn counts(&self) -> [u64; 5] {
        self.counts
    }

    /// The worth of the service so far.
    pub fn worth(&self) -> &Worth {
        &self.worth
    }

    /// Attempts that reached backends, and those among them for clients that had left.
    pub fn attempts(&self) -> (u64, u64) {
        (self.attempts, self.for_nobody)
    }

    fn broken(&mut self, rule: Rule, request: u64, at: Micros, what: impl Into<String>) {
        if self.found.insert((rule, request)) {
            self.counts[rule as usize] += 1;
            if self.violations.len() < MOST_KEPT || self.counts[rule as usize] == 1 {
                let at = at.saturating_sub(self.start);
                self.violations.push(Violation {
                    rule,
                    request,
                    at,
                    what: what.into(),
                });
            }
        }
    }

    /// Takes what a stand-in saw; times never go back.
    pub fn note(&mut self, at: Micros, seen: Seen) {
        match seen {
            Seen::Asked(try_, ingress) => self.asked(at, try_, ingress),
            Seen::Unreached(t) if t.id == t.first => self.worth.offered(at, &t),
            Seen::Unreached(_) => {}
            Seen::Answered(id, answer) => self.answered(at, id, answer),
            Seen::Surplus(id) => self.broken(Rule::Answer, id, at, "more than one answer came"),
            Seen::Broken(id) => {
                self.unanswered(at, id, "its connection ended without a whole answer")
            }
            Seen::Overdue(id) => self.unanswered(at, id, "no answer came in time"),
            Seen::Left(id) => self.end(at, id, End::Gone),
            Seen::Crossed(id) => {
                // Not taken, as long as no backend has seen it.
                let taken = self
                    .requests
                    .get(&id)
                    .is_some_and(|r| !r.attempts.is_empty());
                if taken {
                    self.unanswered(at, id, "its connection ended while a backend had it");
                }
                self.end(at, id, End::Gone);
            }
            Seen::Killed(ingress) => {
                for r in self
                    .requests
                    .values_mut()
                    .filter(|r| r.ingress == ingress && r.end == End::Open)
                {
                    (r.end, r.ended) = (End::Gone, at);
                }
                self.frozen.remove(&ingress);
                self.killed.insert(ingress);
            }
            Seen::Started(ingress) => drop(self.killed.remove(&ingress)),
            Seen::Frozen(ingress) => drop(self.frozen.insert(ingress, at)),
            Seen::Resumed(ingress) => {
                self.frozen.remove(&ingress);
                self.thawed.insert(ingress, at);
            }
            Seen::LegDown(ingress) => drop(self.legs.insert(ingress)),
            Seen::LegUp(ingress) => {
                self.legs.remove(&ingress);
                self.legs_up.insert(ingress, at);
            }
            Seen::Slow(ingress, delay) => {
                let slow = self.slow.entry(ingress).or_default();
                *slow = delay.max(*slow);
            }
            Seen::Told {
                ingress,
                backend,
                up,
                started,
            } => {
                let told = self.told.entry((ingress, backend)).or_insert(Told {
                    up,
                    since: at,
                    started,
                });
                if told.up != up {
                    (told.up, told.since) = (up, at);
                }
                told.started = started;
            }
            Seen::Reached { .. } => self.reached(at, seen),
            Seen::Over { id, backend } => self.attempt_over(at, id, backend),
            Seen::TurnedAway { id, backend } => {
                let attempts = self.requests.get_mut(&id).map(|r| &mut r.attempts);
                let last = attempts
                    .and_then(|a| a.iter_mut().rev().find(|a| a.backend == backend && !a.void));
                last.into_iter().for_each(|a| a.void = true);
            }
            Seen::Ran { id } => self.ran(at, id),
        }
    }

    fn asked(&mut self, at: Micros, try_: Try, ingress: usize) {
        if let Some(r) = self.requests.get_mut(&try_.id) {
            // Asked again on a new connection, under the same id.
            (r.ingress, r.end, r.try_.deadline) = (ingress, End::Open, try_.deadline);
            return;
        }
        if try_.id == try_.first {
            self.worth.offered(at, &try_);
        }
        let request = Request {
            try_,
            ingress,
            end: End::Open,
            ended: 0,
            attempts: Vec::new(),
            ran: 0,
        };
        self.requests.insert(try_.id, request);
    }

    fn end(&mut self, at: Micros, id: u64, end: End) {
        if let Some(r) = self.requests.get_mut(&id).filter(|r| r.end == End::Open) {
            (r.end, r.ended) = (end, at);
        }
    }

    /// Whether what an ingress owes since a time is excused: it stood still, or its clients' leg failed.
    fn excused(&self, ingress: usize, deadline: Micros) -> bool {
        let lately =
            |m: &HashMap<usize, Micros>| m.get(&ingress).is_some_and(|t| deadline <= t + SECOND);
        self.killed.contains(&ingress)
            || self.frozen.contains_key(&ingress)
            || lately(&self.thawed)
            || self.legs.contains(&ingress)
            || lately(&self.legs_up)
    }

    fn unanswered(&mut self, at: Micros, id: u64, why: &str) {
        let Some(r) = self.requests.get(&id).filter(|r| r.end == End::Open) else {
            return;
        };
        let excused = self.excused(r.ingress, r.try_.deadline);
        let why = format!("{why} (ingress {})", r.ingress);
        self.end(at, id, End::Gone);
        if !excused {
            self.broken(Rule::Answer, id, at, why);
        }
    }

    fn answered(&mut self, at: Micros, id: u64, answer: Answer) {
        let Some(r) = self.requests.get(&id) else {
            return self.broken(Rule::Answer, id, at, "an answer to what nobody asked");
        };
        if r.end == End::Answered {
            return self.broken(Rule::Answer, id, at, "a second answer came");
        }
        let late = at > r.try_.deadline + ANSWER_SLACK + ON_SOCKETS;
        if r.end == End::Open && late && !self.excused(r.ingress, r.try_.deadline) {
            let by = (at - r.try_.deadline) / 1000;
            self.broken(
                Rule::Answer,
                id,
                at,
                format!("its answer came {by} ms after its time was up"),
            );
        }
        if answer == Answer::Foreign {
            self.broken(
                Rule::Answer,
                id,
                at,
                "served with what no backend made for it",
            );
        }
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let (effect, _) = self.classes[r.try_.class];
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed { all: true, .. });
        let may_have_run = r.attempts.iter().any(|a| !a.void);
        if answer == Answer::Refused && !harmless && may_have_run {
            self.broken(
                Rule::Effects,
                id,
                at,
                "refused, as if trying again were harmless, though it may have run",
            );
        }
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        self.worth.answered(at, &r.try_, answer);
        self.end(at, id, End::Answered);
    }

    fn reached(&mut self, at: Micros, seen: Seen) {
        let Seen::Reached {
            id,
            ingress,
            backend,
            pod,
            first_byte,
            work,
            capacity,
            started,
        } = seen
        else {
            return;
        };
        self.attempts += 1;
        let under_way = self.slow.get(&ingress).copied().unwrap_or(0);
        self.drain(
            at,
            id,
            ingress,
            backend,
            first_byte.saturating_sub(under_way),
        );
        self.cold(at, id, ingress, backend, work, capacity, started);
        let Some(r) = self.requests.get(&id) else {
            return self.broken(Rule::Answer, id, at, "a backend got what nobody asked for");
        };
        if r.end == End::Answered && at > r.ended + ON_SOCKETS + under_way {
            let by = (at - r.ended) / 1000;
            let what = format!("sent on to backend {backend} {by} ms after its final answer");
            self.broken(Rule::Answer, id, at, what);
        }
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        self.for_nobody += u64::from(r.end == End::Gone);
        let (effect, units) = self.classes[r.try_.class];
        let earlier = r.attempts.iter().find(|a| !a.void);
        let wrong = match (effect, earlier) {
            (_, None) | (Effect::Safe, _) => None,
            (Effect::Unsafe, Some(a)) => Some(format!(
                "sent on to backend {backend} though backend {} may have run it",
                a.backend
            )),
            (Effect::Keyed { all, .. }, Some(a)) if !all && a.pod != pod => Some(format!(
                "sent on to backend {backend} of another pod though backend {} may have run it",
                a.backend
            )),
            (Effect::Keyed { window, .. }, Some(a)) if at > a.at + window + ON_SOCKETS => {
                Some(format!(
                    "sent on {} ms after an attempt that may have run",
                    (at - a.at) / 1000
                ))
            }
            _ => None,
        };
        let (first, try_) = (r.attempts.is_empty(), r.try_);
        r.attempts.push(Attempt {
            at,
            backend,
            pod,
            void: false,
            over: false,
        });
        let out = self.out.entry(try_.account).or_default();
        *out += 1;
        let others = *out - 1;
        if let Some(what) = wrong {
            self.broken(Rule::Effects, id, at, what);
        }
        if first {
            let plan = &self.plans[try_.plan];
            self.worth.sent_on(at, &try_, others);
            let most = self.classes.iter().map(|c| c.1).fold(0.0, f64::max);
            let slack =
                (plan.ceiling_burst * CEILING_SLACK).max(most) + plan.ceiling * CEILING_SECONDS;
            if plan.ceiling > 0.0 {
                let left = self.ceilings.take(
                    try_.account,
                    at,
                    units,
                    plan.ceiling,
                    plan.ceiling_burst,
                    true,
                );
                if left < -slack {
                    let over = -left;
                    let what = format!(
                        "account {} is {over:.1} units over its ceiling",
                        try_.account
                    );
                    self.broken(Rule::Ceilings, id, at, what);
                }
            }
        }
    }

    /// An attempt is out no longer. Where no request may have two out, another must not have been sent long before: how
    /// long, is what the end of one connection may be seen after the use of another.
    fn attempt_over(&mut self, at: Micros, id: u64, backend: usize) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(n) = r
            .attempts
            .iter()
            .position(|a| !a.over && a.backend == backend)
        else {
            return;
        };
        r.attempts[n].over = true;
        let under_way = self.slow.get(&r.ingress).copied().unwrap_or(0);
        let second = r.attempts[n + 1..]
            .iter()
            .find(|a| at > a.at + ON_SOCKETS + under_way);
        let second = second.map(|a| (a.backend, (at - a.at) / 1000));
        let out = self.out.entry(r.try_.account).or_default();
        *out = out.saturating_sub(1);
        if let Some((other, ms)) = second.filter(|_| !self.second_copies) {
            let what =
                format!("out at backend {other} for {ms} ms while backend {backend} still had it");
            self.broken(Rule::Effects, id, at, what);
        }
    }

    fn drain(&mut self, at: Micros, id: u64, ingress: usize, backend: usize, first_byte: Micros) {
        let Some(told) = self.told.get(&(ingress, backend)).filter(|t| !t.up) else {
            return;
        };
        // An ingress that stood still had no chance to stop.
        if first_byte > told.since + self.drain_grace + ON_SOCKETS
            && !self.excused(ingress, first_byte - SECOND)
        {
            let by = (first_byte - told.since) / 1000;
            let what = format!(
                "ingress {ingress} sent it to backend {backend} {by} ms after it was told to drain it"
            );
            self.broken(Rule::Drains, id, at, what);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn cold(
        &mut self,
        at: Micros,
        id: u64,
        ingress: usize,
        backend: usize,
        work: Micros,
        capacity: f64,
        started: Micros,
    ) {
        let warm = machine::warmth(started, at);
        if warm >= 1.0 {
            return;
        }
        let knew = self
            .told
            .get(&(ingress, backend))
            .is_some_and(|t| t.started == started);
        let recent = self.cold.entry(backend).or_default();
        recent.push_back((at, work, knew));
        while recent.front().is_some_and(|r| r.0 + COLD.over <= at) {
            recent.pop_front();
        }
        let sent: f64 = recent.iter().map(|r| r.1 as f64).sum();
        let known: f64 = recent.iter().filter(|r| r.2).map(|r| r.1 as f64).sum();
        let can = capacity * warm * COLD.over as f64 / SECOND as f64;
        if sent > COLD.factor * can + work as f64 && known >= KNEW * sent {
            let times = sent / can;
            let what = format!(
                "backend {backend}, just started, was sent {times:.1} times what it can do"
            );
            recent.clear();
            self.broken(Rule::Cold, id, at, what);
        }
    }

    fn ran(&mut self, at: Micros, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.ran += 1;
        if r.ran > 1 && self.classes[r.try_.class].0 == Effect::Unsafe {
            self.broken(Rule::Effects, id, at, "it ran twice");
        }
    }

    /// The end of a run: what is still open has had its time.
    pub fn finish(&mut self, at: Micros) {
        let still: Vec<(u64, usize)> = self
            .requests
            .values()
            .flat_map(|r| {
                r.attempts
                    .iter()
                    .filter(|a| !a.over)
                    .map(|a| (r.try_.id, a.backend))
            })
            .collect();
        still
            .into_iter()
            .for_each(|(id, backend)| self.attempt_over(at, id, backend));
        let late =
            |r: &Request| r.end == End::Open && at > r.try_.deadline + ANSWER_SLACK + ON_SOCKETS;
        let mut open: Vec<u64> = self
            .requests
            .values()
            .filter(|r| late(r))
            .map(|r| r.try_.id)
            .collect();
        open.sort_unstable();
        open.into_iter()
            .for_each(|id| self.unanswered(at, id, "it was never answered"));
    }
}
