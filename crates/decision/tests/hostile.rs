//! Property tests over arbitrary sequences of valid and hostile events, with a fixed seed.

use proptest::prelude::{any, prop, prop_assert_eq, prop_oneof, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use wrenfork_decision::{
    Action, BackendId, BackendRules, Class, CustomerId, Endpoint, EndpointListKind, EndpointState,
    Event, Gateway, GatewayId, Idempotency, KeyScope, Limits, LoadReport, Micros, Outcome, Plan,
    Request, RequestId, Settings,
};

const START: Micros = 50_000_000;

fn settings() -> Settings {
    let class = |idempotency| Class {
        latency_objective: 500_000,
        objective_stretch: 0.0,
        deadline: 2_000_000,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streaming: false,
    };
    let plan = |ceiling_rate, ceiling_burst| Plan {
        rate: 20.0,
        burst: 40.0,
        max_in_flight: 0,
        ceiling_rate,
        ceiling_burst,
        ceiling_slack: 1.0,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    };
    let with_key = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 1_000_000,
    };
    Settings {
        gateway_count: 3,
        tick: 4_000,
        classes: vec![
            class(Idempotency::Idempotent),
            class(with_key),
            class(Idempotency::NotIdempotent),
        ],
        plans: vec![plan(0.0, 0.0), plan(30.0, 60.0)],
        limits: Limits {
            max_attempts: 3,
            hedging: false,
            cancellation: true,
            peers: true,
            peer_messages_per_s: 50.0,
            retry_after: true,
            max_retry_after: 1_000_000,
            ..Limits::default()
        },
        rules: BackendRules {
            warm_up_from: 0.2,
            warm_up_time: 5_000_000,
            overload_factor: 3.0,
            overload_window: 1_000_000,
            ..BackendRules::default()
        },
        ..Settings::default()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Request {
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        gateway_span: f64,
        time_left: Micros,
    },
    CompleteAttempt {
        index: usize,
        outcome: usize,
        unknown: bool,
    },
    DisconnectClient(usize),
    PeerMessage {
        from: u16,
        bytes: Vec<u8>,
    },
    EndpointList {
        kind: u8,
        states: Vec<u8>,
        warming: bool,
    },
    Advance(u64),
    UnrequestedEvents(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let units = prop_oneof![
        Just(1.0),
        Just(4.0),
        Just(0.0),
        Just(f64::NAN),
        Just(-3.0),
        Just(1e300)
    ];
    let gateway_span = prop_oneof![Just(3.0), Just(2.0), Just(0.0), Just(f64::INFINITY)];
    prop_oneof![
        8 => (0u8..4, 0u16..3, 0u64..6, units, gateway_span, 0u64..2_000_000).prop_map(
            |(class, plan, customer, units, gateway_span, time_left)| Step::Request { class, plan, customer, units, gateway_span, time_left }
        ),
        8 => (0usize..50, 0usize..7, prop::bool::weighted(0.05)).prop_map(|(index, outcome, unknown)| Step::CompleteAttempt {
            index,
            outcome,
            unknown
        }),
        1 => (0usize..50).prop_map(Step::DisconnectClient),
        2 => (0u16..5, prop::collection::vec(prop_oneof![0u8..4, any::<u8>()], 0..60))
            .prop_map(|(from, bytes)| Step::PeerMessage { from, bytes }),
        1 => (0u8..4, prop::collection::vec(0u8..3, 0..6), any::<bool>())
            .prop_map(|(kind, states, warming)| Step::EndpointList { kind, states, warming }),
        6 => (1u64..30).prop_map(Step::Advance),
        1 => any::<u64>().prop_map(Step::UnrequestedEvents),
    ]
}

/// What the host knows about each request, to check the actions of the gateway.
#[derive(Default)]
struct Host {
    deadlines: BTreeMap<RequestId, Micros>,
    classes: BTreeMap<RequestId, u8>,
    ended: BTreeSet<RequestId>,
    attempts: BTreeMap<RequestId, u16>,
    in_flight: Vec<(RequestId, u16, BackendId)>,
    possibly_run: BTreeMap<RequestId, u16>,
    unavailable: BTreeSet<BackendId>,
    ceiling: BTreeMap<u64, f64>,
    customers: BTreeMap<RequestId, (u16, u64, f64)>,
    log: Vec<String>,
}

impl Host {
    fn check(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            self.log.push(format!("{now} {action:?}"));
            match action {
                Action::Send { id, backend, .. } => {
                    assert!(!self.ended.contains(id), "{id:?} sent after it ended");
                    assert!(
                        !self.unavailable.contains(backend),
                        "{id:?} sent to {backend:?}, which is draining or removed"
                    );
                    assert!(
                        !self.in_flight.iter().any(|o| o.0 == *id),
                        "{id:?} has two attempts in flight without hedging"
                    );
                    let n = self.attempts.entry(*id).or_insert(0);
                    assert!(*n < 3, "{id:?} has more than the maximum of 3 attempts");
                    let possibly_run = self.possibly_run.entry(*id).or_insert(0);
                    assert!(
                        self.classes[id] != 2 || *possibly_run == 0,
                        "{id:?} is not idempotent and was sent again"
                    );
                    *possibly_run += 1;
                    self.in_flight.push((*id, *n, *backend));
                    *n += 1;
                    let (plan, customer, units) = self.customers[id];
                    if plan == 1 && *n == 1 {
                        *self.ceiling.entry(customer).or_insert(0.0) += units;
                    }
                }
                Action::Reject { id, .. } => {
                    assert!(self.ended.insert(*id), "{id:?} got a second answer");
                    let possibly_run = self.possibly_run.get(id).copied().unwrap_or(0);
                    assert!(
                        self.classes[id] == 0 || possibly_run == 0,
                        "{id:?} was rejected although it may have run"
                    );
                }
                Action::Fail(id) => assert!(self.ended.insert(*id), "{id:?} got a second answer"),
                Action::CheckHealth(_) | Action::AddToCounter { .. } => {
                    panic!("action not permitted by the settings: {action:?}")
                }
                _ => {}
            }
        }
        // This gateway's even share is a third of the ceiling, which starts empty. A request with a
        // gateway span of 2 allows it a half.
        let elapsed_s = (now - START) as f64 / 1e6;
        for used in self.ceiling.values() {
            assert!(
                *used <= 30.0 * elapsed_s + 60.0 + 1e-6,
                "this gateway sent {used} units, more than its share of the ceiling"
            );
        }
    }
}

/// A gateway with its host. Steps are applied one after the other.
struct Simulation {
    gateway: Gateway,
    host: Host,
    now: Micros,
    next_id: u64,
}

/// An entry of the endpoint list; `state` 0 is ready, 1 draining, 2 removed.
fn endpoint(n: u64, state: u8, started_at: Micros) -> Endpoint {
    let states = [
        EndpointState::Ready,
        EndpointState::Draining,
        EndpointState::Removed,
    ];
    Endpoint {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        state: states[usize::from(state)],
        weight: 1.0,
        started_at,
        ..Endpoint::default()
    }
}

impl Simulation {
    fn new() -> Simulation {
        let mut simulation = Simulation {
            gateway: Gateway::new(settings(), 3, START),
            host: Host::default(),
            now: START,
            next_id: 0,
        };
        let list = (0..5).map(|n| endpoint(n, 0, 0)).collect();
        simulation.feed(Event::EndpointsChanged(EndpointListKind::Cached, list));
        simulation
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.host.check(self.now, &actions);
    }

    fn advance(&mut self) {
        self.now += 20_000;
        self.feed(Event::Timer(0));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Request {
                class,
                plan,
                customer,
                units,
                gateway_span,
                time_left,
            } => {
                let request = Request {
                    id: RequestId(self.next_id),
                    class,
                    plan,
                    customer: CustomerId(customer),
                    deadline: self.now + time_left,
                    units,
                    gateway_span,
                    ..Request::default()
                };
                self.request_arrived(request);
            }
            Step::CompleteAttempt {
                index,
                outcome,
                unknown,
            } => self.complete_attempt(index, outcome, unknown),
            Step::DisconnectClient(index) => {
                let id = RequestId(index as u64);
                if id.0 < self.next_id {
                    self.host.ended.insert(id);
                }
                self.feed(Event::ClientDisconnected(id));
            }
            Step::PeerMessage { from, bytes } => {
                let from = GatewayId(from);
                self.feed(Event::PeerMessage { from, bytes });
            }
            Step::EndpointList {
                kind,
                states,
                warming,
            } => self.change_list(kind, &states, warming),
            Step::Advance(ticks) => (0..ticks).for_each(|_| self.advance()),
            Step::UnrequestedEvents(n) => self.unrequested_events(n),
        }
    }

    fn request_arrived(&mut self, request: Request) {
        self.next_id += 1;
        let id = request.id;
        let class = if request.class < 3 { request.class } else { 0 };
        let customer = (request.plan, request.customer.0, request.units);
        self.host.deadlines.insert(id, request.deadline);
        self.host.classes.insert(id, class);
        self.host.customers.insert(id, customer);
        self.feed(Event::Request(request));
    }

    fn complete_attempt(&mut self, index: usize, outcome: usize, unknown: bool) {
        let outcomes = [
            Outcome::Ok,
            Outcome::Error,
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::TimedOut,
            Outcome::Cancelled,
        ];
        let outcome = outcomes[outcome];
        let in_flight = &mut self.host.in_flight;
        let (id, attempt, backend) = if in_flight.is_empty() || unknown {
            (RequestId(1 << 40), 7, BackendId(77))
        } else {
            in_flight.swap_remove(index % in_flight.len())
        };
        if outcome.never_ran() {
            self.host.possibly_run.entry(id).and_modify(|n| *n -= 1);
        }
        let complete = outcome == Outcome::Ok || self.host.ended.contains(&id);
        if outcome == Outcome::Ok {
            self.host.ended.insert(id);
        }
        self.end_attempt(id, attempt, backend, outcome, complete, 50_000);
    }

    fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
        complete: bool,
        elapsed: Micros,
    ) {
        self.feed(Event::AttemptCompleted {
            id,
            attempt,
            backend,
            outcome,
            complete,
            elapsed,
            metered_usage: None,
            charged_units: None,
            report: None,
        });
    }

    fn change_list(&mut self, kind: u8, states: &[u8], warming: bool) {
        let kinds = [
            EndpointListKind::Delta,
            EndpointListKind::Full,
            EndpointListKind::Cached,
            EndpointListKind::Failed,
        ];
        let kind = kinds[usize::from(kind)];
        let started_at = if warming { self.now } else { 0 };
        let list: Vec<Endpoint> = (0..)
            .zip(states)
            .map(|(n, state)| endpoint(n, *state, started_at))
            .collect();
        if kind == EndpointListKind::Full || kind == EndpointListKind::Cached {
            self.host.unavailable = (0..6).map(BackendId).collect();
        }
        if kind != EndpointListKind::Failed {
            for entry in &list {
                self.host.unavailable.remove(&entry.backend);
                if entry.state != EndpointState::Ready {
                    self.host.unavailable.insert(entry.backend);
                }
            }
        }
        self.feed(Event::EndpointsChanged(kind, list));
    }

    /// Passes in events that no action requested.
    fn unrequested_events(&mut self, n: u64) {
        self.feed(Event::Timer(n as u32));
        self.feed(Event::FirstByte {
            id: RequestId(n),
            attempt: n as u16,
        });
        let report = Some(LoadReport {
            queue: Some(f64::NAN),
            ..LoadReport::default()
        });
        self.feed(Event::HealthChecked {
            backend: BackendId(n),
            outcome: Outcome::Ok,
            elapsed: n,
            report,
        });
        self.feed(Event::CounterUpdated {
            counter: n,
            outcome: Outcome::Ok,
            total: f64::NAN,
        });
    }

    /// Lets all attempts in flight time out and all deadlines pass, checks that every request has
    /// its answer, and returns the log of actions.
    fn finish(mut self) -> Vec<String> {
        for _ in 0..150 {
            self.advance();
            for (id, attempt, backend) in std::mem::take(&mut self.host.in_flight) {
                let complete = self.host.ended.contains(&id);
                self.end_attempt(id, attempt, backend, Outcome::TimedOut, complete, 1);
            }
        }
        for id in self.host.deadlines.keys() {
            assert!(self.host.ended.contains(id), "{id:?} has no answer");
        }
        self.host.log
    }
}

fn run_steps(steps: &[Step]) -> Vec<String> {
    let mut simulation = Simulation::new();
    steps.iter().cloned().for_each(|step| simulation.step(step));
    simulation.finish()
}

#[test]
fn invariants_hold_for_arbitrary_events_and_runs_are_deterministic() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(run_steps(&steps), run_steps(&steps));
            Ok(())
        })
        .unwrap();
}
