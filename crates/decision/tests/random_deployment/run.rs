//! Runs a random deployment for a few seconds: gateways, backends and clients, with checks of the
//! rules that hold on every deployment.

use super::{random_fraction, Deployment, SECOND, START};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, EndpointState, Event, Gateway,
    GatewayId, Idempotency, KeyScope, Micros, Outcome, Request, RequestId, Settings,
};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// A client sends the next request.
    NextRequest,
    /// A gateway's timer fires.
    Timer(usize),
    /// A message from a peer arrives.
    PeerMessage {
        to: usize,
        from: u16,
        bytes: Vec<u8>,
    },
    /// A core of a backend has processed an attempt.
    WorkDone {
        backend: usize,
        incarnation: u32,
        attempt: Attempt,
    },
    /// The deadline of a request passes.
    Deadline { gateway: usize, id: RequestId },
    /// A random fault hits a backend.
    Fault,
}

struct RequestState {
    class: usize,
    plan: usize,
    customer: u64,
    deadline: Micros,
    answered: bool,
    /// Attempts: backend, time sent, in flight, may have run.
    attempts: Vec<(usize, Micros, bool, bool)>,
}

/// An attempt: index of the gateway, request, number of the attempt.
type Attempt = (usize, RequestId, u16);

#[derive(Default, Clone)]
struct BackendState {
    incarnation: u32,
    running: usize,
    waiting: Vec<Attempt>,
    silent: bool,
    draining: bool,
}

pub struct DeploymentRun {
    deployment: Deployment,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, SimEvent)>>,
    sequence: u64,
    rng: u64,
    gateways: Vec<Gateway>,
    backends: Vec<BackendState>,
    requests: BTreeMap<(usize, RequestId), RequestState>,
    next_id: u64,
    /// Token buckets of the ceilings, computed exactly: last update and tokens, by customer.
    ceilings: BTreeMap<u64, (Micros, f64)>,
    /// Token buckets that limit the requests generated for each customer.
    quotas: BTreeMap<u64, (Micros, f64)>,
    /// Requests that were sent.
    pub request_count: u32,
    /// Requests that ended without an answer from a backend.
    pub unserved: u32,
    /// Requests that were answered by a backend.
    pub served: u32,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Attempts that were cancelled before their request had an answer.
    pub cancelled: u32,
}

/// Takes one token from a customer's bucket and returns the balance. A negative balance is stored
/// only with `allow_negative`.
fn take_token(
    buckets: &mut BTreeMap<u64, (Micros, f64)>,
    customer: u64,
    now: Micros,
    rate: f64,
    burst: f64,
    allow_negative: bool,
) -> f64 {
    let (at, level) = buckets.get(&customer).copied().unwrap_or((now, burst));
    let balance = (level + rate * (now - at) as f64 / 1e6).min(burst) - 1.0;
    if balance >= 0.0 || allow_negative {
        buckets.insert(customer, (now, balance));
    }
    balance
}

impl DeploymentRun {
    pub fn new(deployment: Deployment) -> DeploymentRun {
        let gateways = (0..deployment.settings.gateway_count).map(|n| {
            let settings = Settings {
                gateway_id: GatewayId(n),
                zone: (n % 2) as u8,
                ..deployment.settings.clone()
            };
            Gateway::new(settings, deployment.seed ^ u64::from(n), START)
        });
        let gateways = gateways.collect();
        let mut run = DeploymentRun {
            backends: vec![BackendState::default(); deployment.backends],
            rng: deployment.seed,
            deployment,
            now: START,
            queue: BinaryHeap::new(),
            sequence: 0,
            gateways,
            requests: BTreeMap::new(),
            next_id: 0,
            ceilings: BTreeMap::new(),
            quotas: BTreeMap::new(),
            request_count: 0,
            unserved: 0,
            served: 0,
            attempts: 0,
            cancelled: 0,
        };
        for gateway in 0..run.gateways.len() {
            let list = (0..run.deployment.backends)
                .map(|n| run.endpoint(n, 0))
                .collect();
            run.feed(
                gateway,
                Event::EndpointsChanged(EndpointListKind::Cached, list),
            );
        }
        run
    }

    fn endpoint(&self, n: usize, started_at: Micros) -> Endpoint {
        Endpoint {
            backend: BackendId(n as u64),
            zone: (n % 2) as u8,
            cell: (n / 2) as u16,
            state: if self.backends[n].draining {
                EndpointState::Draining
            } else {
                EndpointState::Ready
            },
            weight: 1.0,
            started_at,
            ..Endpoint::default()
        }
    }

    fn schedule(&mut self, delay: Micros, sim_event: SimEvent) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay.max(1), self.sequence, sim_event)));
    }

    fn feed(&mut self, gateway: usize, event: Event) {
        let mut actions = Vec::new();
        self.gateways[gateway].handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(gateway, action);
        }
    }

    fn apply_action(&mut self, gateway: usize, action: Action) {
        let (now, limits) = (self.now, self.deployment.settings.limits.clone());
        match action {
            Action::Send { id, backend, .. } => {
                self.receive_attempt(gateway, id, backend.0 as usize)
            }
            Action::Reject { id, retry_after } => self.check_rejection(gateway, id, retry_after),
            Action::Fail(id) => self.finish_request(gateway, id, false),
            Action::Cancel { id, attempt } => {
                assert!(
                    limits.cancellation,
                    "attempt {attempt} of {id:?} cancelled although cancellation is not permitted"
                );
                self.cancelled += u32::from(!self.requests[&(gateway, id)].answered);
                self.end_unanswered(gateway, id, attempt, Outcome::Cancelled);
            }
            Action::SetTimer { delay, .. } => self.schedule(delay, SimEvent::Timer(gateway)),
            Action::SendToPeer { to, bytes } => self.send_message(gateway, to, &bytes),
            Action::CheckHealth(_) => {
                assert!(
                    limits.health_checks,
                    "health check sent although health checks are not permitted"
                )
            }
            Action::AddToCounter { .. } => {
                assert!(
                    limits.shared_counter,
                    "shared counter used although shared counters are not permitted"
                )
            }
            Action::CloseIdleConnections(_)
            | Action::WatchEndpoints(_)
            | Action::FetchEndpoints
            | Action::Log(_) => {}
        }
        assert!(now >= START);
    }

    /// A rejection may advise only a permitted wait, and only if trying again is harmless.
    fn check_rejection(&mut self, gateway: usize, id: RequestId, retry_after: Micros) {
        let limits = &self.deployment.settings.limits;
        assert!(
            retry_after
                <= if limits.retry_after {
                    limits.max_retry_after
                } else {
                    0
                }
        );
        let request = &self.requests[&(gateway, id)];
        let repeat_is_harmless = matches!(
            self.deployment.settings.classes[request.class].idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: KeyScope::All,
                    ..
                }
        );
        assert!(
            repeat_is_harmless || request.attempts.iter().all(|record| !record.3),
            "{id:?} was rejected although it may have run and trying again is not harmless"
        );
        self.finish_request(gateway, id, false);
    }

    fn send_message(&mut self, gateway: usize, to: Option<GatewayId>, bytes: &[u8]) {
        assert!(self.deployment.settings.limits.peers && bytes.len() <= 256);
        let all = 0..self.gateways.len();
        for to in
            all.filter(|n| *n != gateway && to.is_none_or(|record| usize::from(record.0) == *n))
        {
            if random_fraction(&mut self.rng) >= self.deployment.peer_loss {
                let delay =
                    (random_fraction(&mut self.rng) * self.deployment.peer_delay as f64) as Micros;
                self.schedule(
                    delay,
                    SimEvent::PeerMessage {
                        to,
                        from: gateway as u16,
                        bytes: bytes.to_vec(),
                    },
                );
            }
        }
    }

    /// Checks an attempt against the rules and passes it to its backend.
    fn receive_attempt(&mut self, gateway: usize, id: RequestId, backend: usize) {
        let now = self.now;
        let config = &self.deployment.settings;
        let request = self
            .requests
            .get_mut(&(gateway, id))
            .expect("attempt sent for an unknown request");
        let in_flight = request.attempts.iter().filter(|record| record.2).count();
        assert!(!request.answered, "{id:?} sent after it was answered");
        assert!(
            !self.backends[backend].draining,
            "{id:?} sent to draining backend {backend}"
        );
        assert!(config.limits.hedging || in_flight == 0, "{id:?} is hedged");
        assert!(
            (request.attempts.len() as u32) < config.limits.max_attempts,
            "{id:?} has more than the maximum number of attempts"
        );
        let possibly_run = request.attempts.iter().find(|record| record.3);
        match (config.classes[request.class].idempotency, possibly_run) {
            (Idempotency::NotIdempotent, Some(_)) => panic!("{id:?} must not be sent again"),
            (Idempotency::WithKey { scope, window }, Some(record)) => {
                assert!(
                    now <= record.1 + window,
                    "{id:?} sent after the window of its idempotency key"
                );
                assert!(
                    scope == KeyScope::All || record.0 / 2 == backend / 2,
                    "{id:?} sent outside the cell of its idempotency key"
                );
            }
            _ => {}
        }
        let plan = &config.plans[request.plan];
        if request.attempts.is_empty() && plan.ceiling_rate > 0.0 {
            let balance = take_token(
                &mut self.ceilings,
                request.customer,
                now,
                plan.ceiling_rate,
                plan.ceiling_burst,
                true,
            );
            assert!(
                balance >= -plan.ceiling_slack - 1e-6,
                "{id:?} exceeds the ceiling of its customer by {} units",
                -balance
            );
        }
        self.attempts += 1;
        let number = request.attempts.len() as u16;
        request.attempts.push((backend, now, true, true));
        let attempt = (gateway, id, number);
        let state = &mut self.backends[backend];
        if state.silent {
            return;
        }
        state.waiting.push(attempt);
        self.start_work(backend);
    }

    fn start_work(&mut self, backend: usize) {
        while self.backends[backend].running < self.deployment.cores
            && !self.backends[backend].waiting.is_empty()
        {
            let state = &mut self.backends[backend];
            let attempt = state.waiting.remove(0);
            state.running += 1;
            let incarnation = state.incarnation;
            let class = self.requests[&(attempt.0, attempt.1)].class;
            let in_slow_period = (START + 2 * SECOND..START + 4 * SECOND).contains(&self.now);
            // Service times vary exponentially, as in production.
            let exponential = -(1.0 - random_fraction(&mut self.rng)).ln();
            let elapsed = self.deployment.mean_work[class] as f64
                * (0.1 + 0.9 * exponential)
                * if in_slow_period {
                    self.deployment.slowdown
                } else {
                    1.0
                };
            self.schedule(
                elapsed as Micros,
                SimEvent::WorkDone {
                    backend,
                    incarnation,
                    attempt,
                },
            );
        }
    }

    /// Ends an attempt without an answer.
    fn end_unanswered(&mut self, gateway: usize, id: RequestId, attempt: u16, outcome: Outcome) {
        let Some(record) = self
            .requests
            .get_mut(&(gateway, id))
            .and_then(|request| request.attempts.get_mut(usize::from(attempt)))
        else {
            panic!("attempt {attempt} of {id:?} ended but was never sent")
        };
        if !std::mem::replace(&mut record.2, false) {
            return;
        }
        let (backend, elapsed) = (record.0, self.now - record.1);
        if !self.deployment.cancelled_work_runs {
            self.backends[backend]
                .waiting
                .retain(|w| *w != (gateway, id, attempt));
        }
        self.complete_attempt(gateway, id, attempt, backend, outcome, elapsed);
    }

    fn complete_attempt(
        &mut self,
        gateway: usize,
        id: RequestId,
        attempt: u16,
        backend: usize,
        outcome: Outcome,
        elapsed: Micros,
    ) {
        let complete = outcome == Outcome::Ok || self.requests[&(gateway, id)].answered;
        let backend = BackendId(backend as u64);
        let (metered, charged, report) = (None, None, None);
        // Passed in as a separate event, as a host would do.
        self.feed(
            gateway,
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

    /// Records the final answer of a request; `served` means that a backend answered it.
    fn finish_request(&mut self, gateway: usize, id: RequestId, served: bool) {
        let slack = self.deployment.settings.rules.answer_slack;
        let request = self
            .requests
            .get_mut(&(gateway, id))
            .expect("answer for an unknown request");
        assert!(!request.answered, "{id:?} got a second answer");
        assert!(
            self.now <= request.deadline + slack,
            "{id:?} was answered after its deadline"
        );
        request.answered = true;
        self.served += u32::from(served);
        self.unserved += u32::from(!served);
    }

    fn send_request(&mut self) {
        let deployment = &self.deployment;
        let customer = (random_fraction(&mut self.rng) * deployment.customers as f64) as u64;
        let class =
            (random_fraction(&mut self.rng) * deployment.settings.classes.len() as f64) as usize;
        let plan = customer as usize % deployment.settings.plans.len();
        let all = deployment.settings.gateway_count;
        let gateway_span = all.min(2 + (customer % 2) as u16).max(1);
        let first = (customer % u64::from(all)) as u16;
        let gateway =
            (first + (random_fraction(&mut self.rng) * f64::from(gateway_span)) as u16) % all;
        let (gateway, id) = (usize::from(gateway), RequestId(self.next_id));
        self.next_id += 1;
        let class_settings = &deployment.settings.classes[class];
        let deadline = self.now + class_settings.deadline;
        let plan_settings = &deployment.settings.plans[plan];
        // In a lightly loaded deployment customers stay within a fraction of their quota, so that
        // every rejection is caused by the gateways.
        let lightly_loaded = !deployment.with_faults;
        let max_rate = if lightly_loaded {
            plan_settings.rate * deployment.quota_fraction
        } else {
            f64::MAX
        };
        if take_token(
            &mut self.quotas,
            customer,
            self.now,
            max_rate.min(1e9),
            (plan_settings.burst * 0.25).max(1.0),
            false,
        ) < 0.0
            && lightly_loaded
        {
            return;
        }
        let (first, gateway_span) = (f64::from(first), f64::from(gateway_span));
        let request = Request {
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
        self.request_count += 1;
        self.requests.insert(
            (gateway, id),
            RequestState {
                class,
                plan,
                customer,
                deadline,
                answered: false,
                attempts: vec![],
            },
        );
        self.schedule(class_settings.deadline, SimEvent::Deadline { gateway, id });
        self.feed(gateway, Event::Request(request));
    }

    fn inject_fault(&mut self) {
        let n = (random_fraction(&mut self.rng) * self.deployment.backends as f64) as usize;
        match (random_fraction(&mut self.rng) * 4.0) as u32 {
            0 => self.backends[n].silent = !self.backends[n].silent,
            1 => self.backends[n].draining = !self.backends[n].draining,
            // The backend restarts: its attempts are reset, and it warms up.
            _ => {
                self.backends[n].incarnation += 1;
                self.backends[n].running = 0;
                self.backends[n].waiting.clear();
                let reset_attempts: Vec<Attempt> = self
                    .requests
                    .iter()
                    .flat_map(|((gateway, id), request)| {
                        let attempts_here = request
                            .attempts
                            .iter()
                            .enumerate()
                            .filter(|(_, record)| record.2 && record.0 == n);
                        attempts_here
                            .map(|(number, _)| (*gateway, *id, number as u16))
                            .collect::<Vec<_>>()
                    })
                    .collect();
                for (gateway, id, number) in reset_attempts {
                    self.end_unanswered(gateway, id, number, Outcome::Reset);
                }
            }
        }
        let started_at = if self.backends[n].incarnation > 0 {
            self.now
        } else {
            0
        };
        let endpoint = self.endpoint(n, started_at);
        for gateway in 0..self.gateways.len() {
            self.feed(
                gateway,
                Event::EndpointsChanged(EndpointListKind::Delta, vec![endpoint]),
            );
        }
    }

    pub fn run(mut self, duration: Micros) -> DeploymentRun {
        let end = START + duration;
        let deadlines = self
            .deployment
            .settings
            .classes
            .iter()
            .map(|class| class.deadline);
        let max_deadline = deadlines.max().unwrap_or(0);
        self.schedule(0, SimEvent::NextRequest);
        if self.deployment.with_faults {
            self.schedule(SECOND, SimEvent::Fault);
        }
        while let Some(Reverse((at, _, sim_event))) = self.queue.pop() {
            // A gateway's clock advances in whole ticks.
            let tick = self.deployment.settings.tick;
            self.now = self.now.max(at.div_ceil(tick) * tick);
            if self.now > end + max_deadline + 2 * SECOND {
                break;
            }
            self.process(sim_event, end);
        }
        for ((_, id), request) in &self.requests {
            assert!(request.answered, "{id:?} has no answer");
        }
        self
    }

    /// Random time until the next request, in microseconds.
    fn next_interval(&mut self) -> Micros {
        let work = &self.deployment.mean_work;
        let mean = work.iter().map(|w| *w as f64).sum::<f64>() / work.len() as f64;
        let rate =
            (self.deployment.backends * self.deployment.cores) as f64 / mean * self.deployment.load;
        (-(1.0 - random_fraction(&mut self.rng)).ln() / rate) as Micros
    }

    fn process(&mut self, sim_event: SimEvent, end: Micros) {
        match sim_event {
            SimEvent::NextRequest if self.now < end => {
                let interval = self.next_interval();
                self.schedule(interval, SimEvent::NextRequest);
                self.send_request();
            }
            SimEvent::NextRequest => {}
            SimEvent::Timer(gateway) => self.feed(gateway, Event::Timer(0)),
            SimEvent::PeerMessage { to, from, bytes } => {
                let from = GatewayId(from);
                self.feed(to, Event::PeerMessage { from, bytes });
            }
            SimEvent::WorkDone {
                backend,
                incarnation,
                attempt,
            } => self.finish_work(backend, incarnation, attempt),
            SimEvent::Deadline { gateway, id } => {
                let attempt_count = self.requests[&(gateway, id)].attempts.len();
                for number in 0..attempt_count {
                    self.end_unanswered(gateway, id, number as u16, Outcome::TimedOut);
                }
            }
            SimEvent::Fault => {
                self.schedule(SECOND / 2, SimEvent::Fault);
                if self.now < end {
                    self.inject_fault();
                }
            }
        }
    }

    /// A core of a backend has processed an attempt.
    fn finish_work(&mut self, backend: usize, incarnation: u32, (gateway, id, attempt): Attempt) {
        if self.backends[backend].incarnation != incarnation {
            return;
        }
        self.backends[backend].running -= 1;
        self.start_work(backend);
        let requests = self
            .requests
            .get_mut(&(gateway, id))
            .expect("completed attempt of an unknown request");
        let record = &mut requests.attempts[usize::from(attempt)];
        let was_out = std::mem::replace(&mut record.2, false);
        let elapsed = self.now - record.1;
        if was_out {
            if !self.requests[&(gateway, id)].answered {
                self.finish_request(gateway, id, true);
            }
            self.complete_attempt(gateway, id, attempt, backend, Outcome::Ok, elapsed);
        }
    }
}
