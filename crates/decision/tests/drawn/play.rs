//! A drawn deployment as it lives for a few seconds: gateways, backends, clients, and the rules that hold on each.

use super::{lot, World, S, T0};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, EndpointState, Event, Gateway,
    GatewayId, Idempotency, KeyScope, Micros, Outcome, Request, RequestId, Settings,
};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ev {
    Arrive,
    Timer(usize),
    Peer {
        to: usize,
        from: u16,
        bytes: Vec<u8>,
    },
    /// A core of a backend is done with an attempt.
    Done {
        backend: usize,
        life: u32,
        of: Attempt,
    },
    Deadline {
        gateway: usize,
        id: RequestId,
    },
    Trouble,
}

struct Asked {
    class: usize,
    plan: usize,
    customer: u64,
    deadline: Micros,
    answered: bool,
    /// Attempts: backend, sent at, out, may have run.
    attempts: Vec<(usize, Micros, bool, bool)>,
}

/// An attempt: its gateway, its request, its number.
type Attempt = (usize, RequestId, u16);

#[derive(Default, Clone)]
struct Machine {
    life: u32,
    running: usize,
    waiting: Vec<Attempt>,
    silent: bool,
    drained: bool,
}

pub struct Play {
    w: World,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, Ev)>>,
    serial: u64,
    rng: u64,
    gateways: Vec<Gateway>,
    machines: Vec<Machine>,
    asked: BTreeMap<(usize, RequestId), Asked>,
    next: u64,
    /// Ceilings, replayed exactly: when, and what was left.
    ceilings: BTreeMap<u64, (Micros, f64)>,
    quotas: BTreeMap<u64, (Micros, f64)>,
    /// First tries inside their quota, and those of them that were not served.
    pub inside: u32,
    pub lost: u32,
    pub served: u32,
    /// Attempts, and those that were called off.
    pub attempts: u32,
    pub called_off: u32,
}

fn take(
    store: &mut BTreeMap<u64, (Micros, f64)>,
    of: u64,
    now: Micros,
    rate: f64,
    burst: f64,
    debt: bool,
) -> f64 {
    let (at, level) = store.get(&of).copied().unwrap_or((now, burst));
    let left = (level + rate * (now - at) as f64 / 1e6).min(burst) - 1.0;
    if left >= 0.0 || debt {
        store.insert(of, (now, left));
    }
    left
}

impl Play {
    pub fn new(w: World) -> Play {
        let gateways = (0..w.settings.gateway_count).map(|n| {
            let settings = Settings {
                gateway_id: GatewayId(n),
                zone: (n % 2) as u8,
                ..w.settings.clone()
            };
            Gateway::new(settings, w.seed ^ u64::from(n), T0)
        });
        let gateways = gateways.collect();
        let mut play = Play {
            machines: vec![Machine::default(); w.backends],
            rng: w.seed,
            w,
            now: T0,
            queue: BinaryHeap::new(),
            serial: 0,
            gateways,
            asked: BTreeMap::new(),
            next: 0,
            ceilings: BTreeMap::new(),
            quotas: BTreeMap::new(),
            inside: 0,
            lost: 0,
            served: 0,
            attempts: 0,
            called_off: 0,
        };
        for g in 0..play.gateways.len() {
            let list = (0..play.w.backends).map(|n| play.listed(n, 0)).collect();
            play.feed(g, Event::EndpointsChanged(EndpointListKind::Cached, list));
        }
        play
    }

    fn listed(&self, n: usize, started_at: Micros) -> Endpoint {
        Endpoint {
            backend: BackendId(n as u64),
            zone: (n % 2) as u8,
            cell: (n / 2) as u16,
            state: if self.machines[n].drained {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
            weight: 1.0,
            started_at,
            ..Endpoint::default()
        }
    }

    fn at(&mut self, delay: Micros, ev: Ev) {
        self.serial += 1;
        self.queue
            .push(Reverse((self.now + delay.max(1), self.serial, ev)));
    }

    fn feed(&mut self, g: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[g].handle(self.now, event, &mut actions);
        for action in actions {
            self.carry(g, action);
        }
    }

    fn carry(&mut self, g: usize, action: Action) {
        let (now, limits) = (self.now, self.w.settings.limits.clone());
        match action {
            Action::Send { id, backend, .. } => self.send(g, id, backend.0 as usize),
            Action::Reject { id, retry_after } => self.check_rejection(g, id, retry_after),
            Action::Fail(id) => self.end(g, id, false),
            Action::Cancel { id, attempt } => {
                assert!(limits.cancellation, "called off where that is not allowed");
                self.called_off += u32::from(!self.asked[&(g, id)].answered);
                self.give_up(g, id, attempt, Outcome::Cancelled);
            }
            Action::SetTimer { delay, .. } => self.at(delay, Ev::Timer(g)),
            Action::SendToPeer { to, bytes } => self.post(g, to, &bytes),
            Action::CheckHealth(_) => {
                assert!(limits.health_checks, "probed where that is not allowed")
            }
            Action::AddToCounter { .. } => {
                assert!(limits.shared_counter, "counted where there is no counter")
            }
            Action::CloseIdleConnections(_)
            | Action::WatchEndpoints(_)
            | Action::FetchEndpoints
            | Action::Log(_) => {}
        }
        assert!(now >= T0);
    }

    /// A rejection says no more than is permitted, and only of what can be tried again without harm.
    fn check_rejection(&mut self, g: usize, id: RequestId, retry_after: Micros) {
        let limits = &self.w.settings.limits;
        assert!(
            retry_after
                <= if limits.retry_after {
                    limits.max_retry_after
                } else {
                    0
                }
        );
        let a = &self.asked[&(g, id)];
        let harmless = matches!(
            self.w.settings.classes[a.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        assert!(
            harmless || a.attempts.iter().all(|t| !t.3),
            "refused what may have run"
        );
        self.end(g, id, false);
    }

    fn post(&mut self, g: usize, to: Option<GatewayId>, bytes: &[u8]) {
        assert!(self.w.settings.limits.peers && bytes.len() <= 256);
        let all = 0..self.gateways.len();
        for to in all.filter(|n| *n != g && to.is_none_or(|t| usize::from(t.0) == *n)) {
            if lot(&mut self.rng) >= self.w.peer_loss {
                let delay = (lot(&mut self.rng) * self.w.peer_delay as f64) as Micros;
                self.at(
                    delay,
                    Ev::Peer {
                        to,
                        from: g as u16,
                        bytes: bytes.to_vec(),
                    },
                );
            }
        }
    }

    fn send(&mut self, g: usize, id: RequestId, backend: usize) {
        let now = self.now;
        let s = &self.w.settings;
        let a = self
            .asked
            .get_mut(&(g, id))
            .expect("a request that was told");
        let out = a.attempts.iter().filter(|t| t.2).count();
        assert!(!a.answered, "sent on after its answer");
        assert!(
            !self.machines[backend].drained,
            "sent to a draining backend"
        );
        assert!(s.limits.hedging || out == 0, "two attempts at once");
        assert!(
            (a.attempts.len() as u32) < s.limits.max_attempts,
            "more attempts than allowed"
        );
        let earlier = a.attempts.iter().find(|t| t.3);
        match (s.classes[a.class].idempotency, earlier) {
            (Idempotency::NotIdempotent, Some(_)) => panic!("an unsafe request is sent again"),
            (Idempotency::WithKey { scope, window }, Some(t)) => {
                assert!(
                    now <= t.1 + window,
                    "a keyed request is sent after its window"
                );
                assert!(
                    scope == KeyScope::All || t.0 / 2 == backend / 2,
                    "a keyed request leaves its cell"
                );
            }
            _ => {}
        }
        let plan = &s.plans[a.plan];
        if a.attempts.is_empty() && plan.ceiling_rate > 0.0 {
            let left = take(
                &mut self.ceilings,
                a.customer,
                now,
                plan.ceiling_rate,
                plan.ceiling_burst,
                true,
            );
            assert!(
                left >= -plan.ceiling_slack - 1e-6,
                "{} units over a ceiling",
                -left
            );
        }
        self.attempts += 1;
        let number = a.attempts.len() as u16;
        a.attempts.push((backend, now, true, true));
        let attempt = (g, id, number);
        let m = &mut self.machines[backend];
        if m.silent {
            return;
        }
        m.waiting.push(attempt);
        self.work(backend);
    }

    fn work(&mut self, backend: usize) {
        while self.machines[backend].running < self.w.cores
            && !self.machines[backend].waiting.is_empty()
        {
            let m = &mut self.machines[backend];
            let of = m.waiting.remove(0);
            m.running += 1;
            let life = m.life;
            let class = self.asked[&(of.0, of.1)].class;
            let slow = (T0 + 2 * S..T0 + 4 * S).contains(&self.now);
            // Times that vary as much as their mean, as they do in service.
            let lot = -(1.0 - lot(&mut self.rng)).ln();
            let elapsed = self.w.work[class] as f64
                * (0.1 + 0.9 * lot)
                * if slow { self.w.slower } else { 1.0 };
            self.at(elapsed as Micros, Ev::Done { backend, life, of });
        }
    }

    /// An attempt ends without an answer.
    fn give_up(&mut self, g: usize, id: RequestId, attempt: u16, outcome: Outcome) {
        let Some(t) = self
            .asked
            .get_mut(&(g, id))
            .and_then(|a| a.attempts.get_mut(usize::from(attempt)))
        else {
            panic!("an attempt that was never made is called off")
        };
        if !std::mem::replace(&mut t.2, false) {
            return;
        }
        let (backend, elapsed) = (t.0, self.now - t.1);
        if !self.w.runs_on {
            self.machines[backend]
                .waiting
                .retain(|w| *w != (g, id, attempt));
        }
        self.settle(g, id, attempt, backend, outcome, elapsed);
    }

    fn settle(
        &mut self,
        g: usize,
        id: RequestId,
        attempt: u16,
        backend: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let complete = outcome == Outcome::Ok || self.asked[&(g, id)].answered;
        let backend = BackendId(backend as u64);
        let (metered, charged, report) = (None, None, None);
        // In a turn of its own, as a host would tell it.
        self.feed(
            g,
            Event::AttemptCompleted {
                id,
                attempt,
                backend,
                outcome,
                complete,
                elapsed,
                metered_usage: metered,
                charged_units: charged,
                report,
            },
        );
    }

    fn end(&mut self, g: usize, id: RequestId, served: bool) {
        let slack = self.w.settings.rules.answer_slack;
        let a = self
            .asked
            .get_mut(&(g, id))
            .expect("an answer to what was asked");
        assert!(!a.answered, "a second answer");
        assert!(self.now <= a.deadline + slack, "an answer after its time");
        a.answered = true;
        self.served += u32::from(served);
        self.lost += u32::from(!served);
    }

    fn arrive(&mut self) {
        let w = &self.w;
        let customer = (lot(&mut self.rng) * w.customers as f64) as u64;
        let class = (lot(&mut self.rng) * w.settings.classes.len() as f64) as usize;
        let plan = customer as usize % w.settings.plans.len();
        let all = w.settings.gateway_count;
        let gateway_span = all.min(2 + (customer % 2) as u16).max(1);
        let first = (customer % u64::from(all)) as u16;
        let g = (first + (lot(&mut self.rng) * f64::from(gateway_span)) as u16) % all;
        let (g, id) = (usize::from(g), RequestId(self.next));
        self.next += 1;
        let c = &w.settings.classes[class];
        let deadline = self.now + c.deadline;
        let p = &w.settings.plans[plan];
        // Beyond its share a customer of a calm world asks nothing: what is refused then is the
        // gateways' doing.
        let calm = !w.troubled;
        let most = if calm { p.rate * w.usage } else { f64::MAX };
        if take(
            &mut self.quotas,
            customer,
            self.now,
            most.min(1e9),
            (p.burst * 0.25).max(1.0),
            false,
        ) < 0.0
            && calm
        {
            return;
        }
        let (first, gateway_span) = (f64::from(first), f64::from(gateway_span));
        let req = Request {
            id,
            class: class as u8,
            plan: plan as u16,
            customer: CustomerId(customer),
            deadline,
            units: 1.0,
            gateway_span,
            first_gateway: first,
            ..Request::default()
        };
        self.inside += 1;
        self.asked.insert(
            (g, id),
            Asked {
                class,
                plan,
                customer,
                deadline,
                answered: false,
                attempts: vec![],
            },
        );
        self.at(c.deadline, Ev::Deadline { gateway: g, id });
        self.feed(g, Event::Request(req));
    }

    fn trouble(&mut self) {
        let n = (lot(&mut self.rng) * self.w.backends as f64) as usize;
        match (lot(&mut self.rng) * 4.0) as u32 {
            0 => self.machines[n].silent = !self.machines[n].silent,
            1 => self.machines[n].drained = !self.machines[n].drained,
            // It restarts: what it had is reset, and it is cold.
            _ => {
                self.machines[n].life += 1;
                self.machines[n].running = 0;
                self.machines[n].waiting.clear();
                let lost: Vec<Attempt> = self
                    .asked
                    .iter()
                    .flat_map(|((g, id), a)| {
                        let hit = a
                            .attempts
                            .iter()
                            .enumerate()
                            .filter(|(_, t)| t.2 && t.0 == n);
                        hit.map(|(k, _)| (*g, *id, k as u16)).collect::<Vec<_>>()
                    })
                    .collect();
                for (g, id, k) in lost {
                    self.give_up(g, id, k, Outcome::Reset);
                }
            }
        }
        let started = if self.machines[n].life > 0 {
            self.now
        } else {
            0
        };
        let listed = self.listed(n, started);
        for g in 0..self.gateways.len() {
            self.feed(
                g,
                Event::EndpointsChanged(EndpointListKind::Delta, vec![listed]),
            );
        }
    }

    pub fn run(mut self, lasts: Micros) -> Play {
        let end = T0 + lasts;
        let deadlines = self.w.settings.classes.iter().map(|c| c.deadline);
        let longest = deadlines.max().unwrap_or(0);
        self.at(0, Ev::Arrive);
        if self.w.troubled {
            self.at(S, Ev::Trouble);
        }
        while let Some(Reverse((at, _, ev))) = self.queue.pop() {
            // A gateway's clock moves by ticks.
            let tick = self.w.settings.tick;
            self.now = self.now.max(at.div_ceil(tick) * tick);
            if self.now > end + longest + 2 * S {
                break;
            }
            self.happen(ev, end);
        }
        for ((_, id), a) in &self.asked {
            assert!(a.answered, "{id:?} got no answer");
        }
        self
    }

    /// The time to the next request.
    fn gap(&mut self) -> Micros {
        let work = &self.w.work;
        let mean = work.iter().map(|w| *w as f64).sum::<f64>() / work.len() as f64;
        let rate = (self.w.backends * self.w.cores) as f64 / mean * self.w.load;
        (-(1.0 - lot(&mut self.rng)).ln() / rate) as Micros
    }

    fn happen(&mut self, ev: Ev, end: Micros) {
        match ev {
            Ev::Arrive if self.now < end => {
                let next = self.gap();
                self.at(next, Ev::Arrive);
                self.arrive();
            }
            Ev::Arrive => {}
            Ev::Timer(g) => self.feed(g, Event::Timer(0)),
            Ev::Peer { to, from, bytes } => {
                let from = GatewayId(from);
                self.feed(to, Event::PeerMessage { from, bytes });
            }
            Ev::Done { backend, life, of } => self.done(backend, life, of),
            Ev::Deadline { gateway, id } => {
                let out = self.asked[&(gateway, id)].attempts.len();
                for k in 0..out {
                    self.give_up(gateway, id, k as u16, Outcome::TimedOut);
                }
            }
            Ev::Trouble => {
                self.at(S / 2, Ev::Trouble);
                if self.now < end {
                    self.trouble();
                }
            }
        }
    }

    /// A core of a backend is done with an attempt.
    fn done(&mut self, backend: usize, life: u32, (g, id, attempt): Attempt) {
        if self.machines[backend].life != life {
            return;
        }
        self.machines[backend].running -= 1;
        self.work(backend);
        let asked = self.asked.get_mut(&(g, id)).expect("asked");
        let t = &mut asked.attempts[usize::from(attempt)];
        let was_out = std::mem::replace(&mut t.2, false);
        let elapsed = self.now - t.1;
        if was_out {
            if !self.asked[&(g, id)].answered {
                self.end(g, id, true);
            }
            self.settle(g, id, attempt, backend, Outcome::Ok, elapsed);
        }
    }
}
