//! The judge: checks the five rules against the observations of the stand-ins, and computes the worth earned.
//! It does no I/O, reads no clock and uses neither logs nor metrics of the ingresses.

mod ceilings;
pub mod policy;
#[cfg(test)]
mod tests;
mod worth;

pub use worth::{Worth, WorthTotals};

use crate::machine::{self, COLD};
use crate::scenario::{Effect, Micros, Scenario, SECOND};
use ceilings::Stores;
use serde::Serialize;
use std::collections::{HashMap, HashSet, VecDeque};

/// Tolerance added to each time limit for delays in sockets, in microseconds.
pub const ON_SOCKETS: Micros = 50_000;
/// Time after the client's deadline within which an answer is still in time, in microseconds.
pub const ANSWER_SLACK: Micros = 16_000;
/// Slack of a ceiling: this share of its burst, or the units of the largest class if those are more,
pub const CEILING_SLACK: f64 = 0.1;
/// plus the refill of this many seconds.
pub const CEILING_SECONDS: f64 = 0.15;
/// Minimum share of the work on an overloaded cold backend that must come from ingresses that knew it was cold for the
/// overload to count as a violation.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Number of violations kept in full; further ones are only counted.
const MAX_KEPT: usize = 200;

/// The five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Rule {
    /// Each accepted request gets one final answer in time, and no attempt is sent after it.
    Answer,
    /// No unsafe request may run twice, and no keyed request is repeated outside its group or time window.
    Effects,
    /// No new work is sent to a draining backend.
    Drains,
    /// No cold backend is overloaded until it collapses.
    Cold,
    /// No account uses more units than its ceiling allows.
    Ceilings,
}

impl Rule {
    /// All rules, in the order of their discriminants.
    pub const ALL: [Rule; 5] = [
        Rule::Answer,
        Rule::Effects,
        Rule::Drains,
        Rule::Cold,
        Rule::Ceilings,
    ];

    /// The rule's name in reports.
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

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// Id of the request.
    pub request: u64,
    /// Time of the observation, in microseconds from the start.
    pub at: Micros,
    /// Description of the violation.
    pub what: String,
}

/// A try: one sending of a request by a client.
#[derive(Clone, Copy, Debug)]
pub struct Try {
    /// Request id of this try, unique in the run.
    pub id: u64,
    /// The id of the first try of the same request.
    pub first: u64,
    /// Account number; see [`crate::arrivals`] for the reserved ranges.
    pub account: u32,
    /// Index into the scenario's classes.
    pub class: usize,
    /// Index into the scenario's plans.
    pub plan: usize,
    /// Time at which the client gives up.
    pub deadline: Micros,
}

/// How a client's request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served with the value that a backend produced for this request.
    Served,
    /// Served with a value that no backend produced for this request.
    Foreign,
    /// Refused: the request had no effect, so a retry is safe.
    Refused,
    /// Failed: the request may have had an effect.
    Failed,
}

/// An observation of a stand-in.
#[derive(Clone, Copy, Debug)]
pub enum Seen {
    /// No ingress accepted a client's connection for a try.
    Unreached(Try),
    /// A client wrote the last byte of a try to a connection with this ingress.
    Asked(Try, usize),
    /// A client received a complete answer.
    Answered(u64, Answer),
    /// Unrequested bytes followed the answer to this request.
    Surplus(u64),
    /// The connection ended before a complete answer.
    Broken(u64),
    /// No answer arrived before the client's time limit.
    Overdue(u64),
    /// The client closed its connection before the answer.
    Left(u64),
    /// The ingress closed the idle connection while the request was on its way; the client sends the request again.
    Crossed(u64),
    /// An ingress was killed; its clients have to retry their open requests.
    Killed(usize),
    /// An ingress was started again.
    Started(usize),
    /// An ingress was paused.
    Frozen(usize),
    /// An ingress was resumed.
    Resumed(usize),
    /// The network between clients and an ingress fails: clients can't tell which requests the ingress received.
    LegDown(usize),
    /// The network between clients and an ingress works again.
    LegUp(usize),
    /// Bytes from an ingress to its backends are delayed by this time.
    Slow(usize, Micros),
    /// Discovery sent an ingress the state of a backend.
    BackendReported {
        /// Index of the ingress.
        ingress: usize,
        /// Identity of the backend; a backend with a new name has a new identity.
        backend: usize,
        /// Whether the backend accepts new work.
        up: bool,
        /// Start time of the backend; 0 for long ago.
        started: Micros,
    },
    /// A backend received a complete command.
    Reached {
        /// Id of the request.
        id: u64,
        /// Index of the sending ingress.
        ingress: usize,
        /// Identity of the backend.
        backend: usize,
        /// Pod of the backend, whose members share idempotency keys.
        pod: usize,
        /// Arrival time of the command's first byte.
        first_byte: Micros,
        /// Execution time in microseconds on a core of speed 1.
        work: Micros,
        /// Warm capacity of the backend, in microseconds of work per second.
        capacity: f64,
        /// Start time of the backend; 0 for long ago.
        started: Micros,
    },
    /// An attempt ended: its answer was written or its connection closed.
    AttemptEnded {
        /// Id of the request.
        id: u64,
        /// Identity of the backend.
        backend: usize,
    },
    /// A backend rejected a request without running it.
    Rejected {
        /// Id of the request.
        id: u64,
        /// Identity of the backend.
        backend: usize,
    },
    /// A backend ran a request.
    Ran {
        /// Id of the request.
        id: u64,
    },
}

struct Attempt {
    at: Micros,
    backend: usize,
    pod: usize,
    /// The backend rejected the attempt without running it.
    void: bool,
    /// The attempt has ended.
    over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Open,
    Answered,
    /// The ingress no longer owes an answer.
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

/// State of a backend as discovery sent it to an ingress.
struct ReportedState {
    up: bool,
    since: Micros,
    started: Micros,
}

/// Checks the rules on the observations of a run.
pub struct Judge {
    classes: Vec<(Effect, f64)>,
    plans: Vec<crate::scenario::Plan>,
    hedging_allowed: bool,
    drain_grace: Micros,
    /// Number of outstanding attempts by account.
    outstanding: HashMap<u32, u32>,
    requests: HashMap<u64, Request>,
    /// State of each backend as discovery last sent it, by ingress and backend.
    reported: HashMap<(usize, usize), ReportedState>,
    /// Ingresses that were killed. Requests that reach their sockets before the process is gone are lost too.
    killed: HashSet<usize>,
    /// Paused ingresses with the time at which they were paused.
    frozen: HashMap<usize, Micros>,
    /// Time at which each ingress was last resumed.
    resumed: HashMap<usize, Micros>,
    /// Ingresses whose network to clients fails.
    legs_down: HashSet<usize>,
    /// Time at which the network between clients and each ingress last recovered.
    legs_up: HashMap<usize, Micros>,
    /// Longest delay so far between each ingress and its backends, in microseconds.
    slow: HashMap<usize, Micros>,
    ceilings: Stores,
    worth: Worth,
    /// Recent work by cold backend: arrival, work, and whether the ingress knew that the backend was cold.
    cold: HashMap<usize, VecDeque<(Micros, Micros, bool)>>,
    found: HashSet<(Rule, u64)>,
    violations: Vec<Violation>,
    counts: [u64; 5],
    start: Micros,
    /// Number of attempts, and of those for requests that no longer expected an answer (`for_nobody`).
    attempts: u64,
    for_nobody: u64,
}

impl Judge {
    /// A judge for a scenario. Times in violations are relative to `start`.
    pub fn new(s: &Scenario, start: Micros) -> Self {
        Judge {
            classes: s.classes.iter().map(|c| (c.effect, c.units)).collect(),
            plans: s.plans.clone(),
            hedging_allowed: s.network.second_copies,
            drain_grace: s.network.drain_grace,
            outstanding: HashMap::new(),
            requests: HashMap::new(),
            reported: HashMap::new(),
            killed: HashSet::new(),
            frozen: HashMap::new(),
            resumed: HashMap::new(),
            legs_down: HashSet::new(),
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

    /// Violations kept so far; includes at least the first of each rule.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of violations of each rule, in the order of [`Rule::ALL`].
    pub fn counts(&self) -> [u64; 5] {
        self.counts
    }

    /// Worth counted so far.
    pub fn worth(&self) -> &Worth {
        &self.worth
    }

    /// Number of attempts that reached backends, and of those for requests that no longer expected an answer.
    pub fn attempts(&self) -> (u64, u64) {
        (self.attempts, self.for_nobody)
    }

    fn record_violation(&mut self, rule: Rule, request: u64, at: Micros, what: impl Into<String>) {
        if self.found.insert((rule, request)) {
            self.counts[rule as usize] += 1;
            if self.violations.len() < MAX_KEPT || self.counts[rule as usize] == 1 {
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

    /// Processes an observation. Times must not decrease from call to call.
    pub fn note(&mut self, at: Micros, seen: Seen) {
        match seen {
            Seen::Asked(try_, ingress) => self.asked(at, try_, ingress),
            Seen::Unreached(t) if t.id == t.first => self.worth.offered(at, &t),
            Seen::Unreached(_) => {}
            Seen::Answered(id, answer) => self.answered(at, id, answer),
            Seen::Surplus(id) => {
                self.record_violation(Rule::Answer, id, at, "more than one answer came")
            }
            Seen::Broken(id) => {
                self.unanswered(at, id, "its connection ended without a whole answer")
            }
            Seen::Overdue(id) => self.unanswered(at, id, "no answer came in time"),
            Seen::Left(id) => self.end(at, id, End::Gone),
            Seen::Crossed(id) => {
                // The ingress had not accepted the request if no backend received it.
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
                self.resumed.insert(ingress, at);
            }
            Seen::LegDown(ingress) => drop(self.legs_down.insert(ingress)),
            Seen::LegUp(ingress) => {
                self.legs_down.remove(&ingress);
                self.legs_up.insert(ingress, at);
            }
            Seen::Slow(ingress, delay) => {
                let slow = self.slow.entry(ingress).or_default();
                *slow = delay.max(*slow);
            }
            Seen::BackendReported {
                ingress,
                backend,
                up,
                started,
            } => {
                let reported = self
                    .reported
                    .entry((ingress, backend))
                    .or_insert(ReportedState {
                        up,
                        since: at,
                        started,
                    });
                if reported.up != up {
                    (reported.up, reported.since) = (up, at);
                }
                reported.started = started;
            }
            Seen::Reached { .. } => self.reached(at, seen),
            Seen::AttemptEnded { id, backend } => self.attempt_ended(at, id, backend),
            Seen::Rejected { id, backend } => {
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
            // Sent again on a new connection, with the same id.
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

    /// Whether an ingress is excused for an answer due at `deadline`: it was killed or paused, or its network to clients
    /// failed, up to a second before.
    fn excused(&self, ingress: usize, deadline: Micros) -> bool {
        let recent =
            |m: &HashMap<usize, Micros>| m.get(&ingress).is_some_and(|t| deadline <= t + SECOND);
        self.killed.contains(&ingress)
            || self.frozen.contains_key(&ingress)
            || recent(&self.resumed)
            || self.legs_down.contains(&ingress)
            || recent(&self.legs_up)
    }

    fn unanswered(&mut self, at: Micros, id: u64, why: &str) {
        let Some(r) = self.requests.get(&id).filter(|r| r.end == End::Open) else {
            return;
        };
        let excused = self.excused(r.ingress, r.try_.deadline);
        let why = format!("{why} (ingress {})", r.ingress);
        self.end(at, id, End::Gone);
        if !excused {
            self.record_violation(Rule::Answer, id, at, why);
        }
    }

    fn answered(&mut self, at: Micros, id: u64, answer: Answer) {
        let Some(r) = self.requests.get(&id) else {
            return self.record_violation(Rule::Answer, id, at, "an answer to what nobody asked");
        };
        if r.end == End::Answered {
            return self.record_violation(Rule::Answer, id, at, "a second answer came");
        }
        let late = at > r.try_.deadline + ANSWER_SLACK + ON_SOCKETS;
        if r.end == End::Open && late && !self.excused(r.ingress, r.try_.deadline) {
            let by = (at - r.try_.deadline) / 1000;
            self.record_violation(
                Rule::Answer,
                id,
                at,
                format!("its answer came {by} ms after its time was up"),
            );
        }
        if answer == Answer::Foreign {
            self.record_violation(
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
            self.record_violation(
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
        let send_delay = self.slow.get(&ingress).copied().unwrap_or(0);
        self.check_drain(
            at,
            id,
            ingress,
            backend,
            first_byte.saturating_sub(send_delay),
        );
        self.check_cold(at, id, ingress, backend, work, capacity, started);
        let Some(r) = self.requests.get(&id) else {
            return self.record_violation(
                Rule::Answer,
                id,
                at,
                "a backend got what nobody asked for",
            );
        };
        if r.end == End::Answered && at > r.ended + ON_SOCKETS + send_delay {
            let by = (at - r.ended) / 1000;
            let what = format!("sent on to backend {backend} {by} ms after its final answer");
            self.record_violation(Rule::Answer, id, at, what);
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
        let out = self.outstanding.entry(try_.account).or_default();
        *out += 1;
        let others = *out - 1;
        if let Some(what) = wrong {
            self.record_violation(Rule::Effects, id, at, what);
        }
        if first {
            let plan = &self.plans[try_.plan];
            self.worth.sent_on(at, &try_, others);
            let largest = self.classes.iter().map(|c| c.1).fold(0.0, f64::max);
            let slack =
                (plan.ceiling_burst * CEILING_SLACK).max(largest) + plan.ceiling * CEILING_SECONDS;
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
                    self.record_violation(Rule::Ceilings, id, at, what);
                }
            }
        }
    }

    /// Ends an attempt. Where hedged requests are off, the next attempt must not have been sent long before that; the
    /// tolerance covers seeing the end of one connection later than bytes on another.
    fn attempt_ended(&mut self, at: Micros, id: u64, backend: usize) {
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
        let send_delay = self.slow.get(&r.ingress).copied().unwrap_or(0);
        let second = r.attempts[n + 1..]
            .iter()
            .find(|a| at > a.at + ON_SOCKETS + send_delay);
        let second = second.map(|a| (a.backend, (at - a.at) / 1000));
        let out = self.outstanding.entry(r.try_.account).or_default();
        *out = out.saturating_sub(1);
        if let Some((other, ms)) = second.filter(|_| !self.hedging_allowed) {
            let what =
                format!("out at backend {other} for {ms} ms while backend {backend} still had it");
            self.record_violation(Rule::Effects, id, at, what);
        }
    }

    fn check_drain(
        &mut self,
        at: Micros,
        id: u64,
        ingress: usize,
        backend: usize,
        first_byte: Micros,
    ) {
        let Some(reported) = self.reported.get(&(ingress, backend)).filter(|t| !t.up) else {
            return;
        };
        // A paused ingress could not react to the drain.
        if first_byte > reported.since + self.drain_grace + ON_SOCKETS
            && !self.excused(ingress, first_byte - SECOND)
        {
            let by = (first_byte - reported.since) / 1000;
            let what = format!(
                "ingress {ingress} sent it to backend {backend} {by} ms after it was told to drain it"
            );
            self.record_violation(Rule::Drains, id, at, what);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn check_cold(
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
        let informed = self
            .reported
            .get(&(ingress, backend))
            .is_some_and(|t| t.started == started);
        let recent = self.cold.entry(backend).or_default();
        recent.push_back((at, work, informed));
        while recent.front().is_some_and(|r| r.0 + COLD.over <= at) {
            recent.pop_front();
        }
        let sent: f64 = recent.iter().map(|r| r.1 as f64).sum();
        let informed_work: f64 = recent.iter().filter(|r| r.2).map(|r| r.1 as f64).sum();
        let allowed = capacity * warm * COLD.over as f64 / SECOND as f64;
        if sent > COLD.factor * allowed + work as f64 && informed_work >= MIN_INFORMED_SHARE * sent
        {
            let times = sent / allowed;
            let what = format!(
                "backend {backend}, just started, was sent {times:.1} times what it can do"
            );
            recent.clear();
            self.record_violation(Rule::Cold, id, at, what);
        }
    }

    fn ran(&mut self, at: Micros, id: u64) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.ran += 1;
        if r.ran > 1 && self.classes[r.try_.class].0 == Effect::Unsafe {
            self.record_violation(Rule::Effects, id, at, "it ran twice");
        }
    }

    /// Ends the run at `at`: checks attempts and requests that are still open.
    pub fn finish(&mut self, at: Micros) {
        let open_attempts: Vec<(u64, usize)> = self
            .requests
            .values()
            .flat_map(|r| {
                r.attempts
                    .iter()
                    .filter(|a| !a.over)
                    .map(|a| (r.try_.id, a.backend))
            })
            .collect();
        open_attempts
            .into_iter()
            .for_each(|(id, backend)| self.attempt_ended(at, id, backend));
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
