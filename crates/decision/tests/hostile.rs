//! Properties over arbitrary legal and hostile sequences of events, with a fixed seed.

use proptest::prelude::{any, prop, prop_assert_eq, prop_oneof, Just, Strategy};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};
use wrenfork_decision::{
    Action, BackendId, BackendRules, Class, CustomerId, Endpoint, EndpointListKind, EndpointState,
    Event, Gateway, GatewayId, Idempotency, KeyScope, Limits, LoadReport, Micros, Outcome, Plan,
    Request, RequestId, Settings,
};

const T0: Micros = 50_000_000;

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
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 1_000_000,
    };
    Settings {
        gateway_count: 3,
        tick: 4_000,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
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
    Ask {
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        gateway_span: f64,
        left: Micros,
    },
    Settle {
        pick: usize,
        outcome: usize,
        unknown: bool,
    },
    Withdraw(usize),
    Peer {
        from: u16,
        bytes: Vec<u8>,
    },
    Roster {
        kind: u8,
        states: Vec<u8>,
        cold: bool,
    },
    Pass(u64),
    Stray(u64),
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
            |(class, plan, customer, units, gateway_span, left)| Step::Ask { class, plan, customer, units, gateway_span, left }
        ),
        8 => (0usize..50, 0usize..7, prop::bool::weighted(0.05)).prop_map(|(pick, outcome, unknown)| Step::Settle {
            pick,
            outcome,
            unknown
        }),
        1 => (0usize..50).prop_map(Step::Withdraw),
        2 => (0u16..5, prop::collection::vec(prop_oneof![0u8..4, any::<u8>()], 0..60))
            .prop_map(|(from, bytes)| Step::Peer { from, bytes }),
        1 => (0u8..4, prop::collection::vec(0u8..3, 0..6), any::<bool>())
            .prop_map(|(kind, states, cold)| Step::Roster { kind, states, cold }),
        6 => (1u64..30).prop_map(Step::Pass),
        1 => any::<u64>().prop_map(Step::Stray),
    ]
}

/// What a host knows, to hold the gateway to the rules.
#[derive(Default)]
struct Host {
    deadlines: BTreeMap<RequestId, Micros>,
    classes: BTreeMap<RequestId, u8>,
    ended: BTreeSet<RequestId>,
    attempts: BTreeMap<RequestId, u16>,
    out: Vec<(RequestId, u16, BackendId)>,
    unproved: BTreeMap<RequestId, u16>,
    shut: BTreeSet<BackendId>,
    ceiling: BTreeMap<u64, f64>,
    customers: BTreeMap<RequestId, (u16, u64, f64)>,
    log: Vec<String>,
}

impl Host {
    fn take(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            self.log.push(format!("{now} {action:?}"));
            match action {
                Action::Send { id, backend, .. } => {
                    assert!(!self.ended.contains(id), "sent after its end");
                    assert!(
                        !self.shut.contains(backend),
                        "sent to a draining or gone backend"
                    );
                    assert!(!self.out.iter().any(|o| o.0 == *id), "two attempts at once");
                    let n = self.attempts.entry(*id).or_insert(0);
                    assert!(*n < 3, "more attempts than allowed");
                    let unproved = self.unproved.entry(*id).or_insert(0);
                    assert!(
                        self.classes[id] != 2 || *unproved == 0,
                        "an unsafe request sent again"
                    );
                    *unproved += 1;
                    self.out.push((*id, *n, *backend));
                    *n += 1;
                    let (plan, customer, units) = self.customers[id];
                    if plan == 1 && *n == 1 {
                        *self.ceiling.entry(customer).or_insert(0.0) += units;
                    }
                }
                Action::Reject { id, .. } => {
                    assert!(self.ended.insert(*id), "a second answer");
                    let unproved = self.unproved.get(id).copied().unwrap_or(0);
                    assert!(
                        self.classes[id] == 0 || unproved == 0,
                        "refused what may have run"
                    );
                }
                Action::Fail(id) => assert!(self.ended.insert(*id), "a second answer"),
                Action::CheckHealth(_) | Action::AddToCounter { .. } => panic!("forbidden here"),
                _ => {}
            }
        }
        // A third of the ceiling is this gateway's, from nothing at its start; widths of 2 allow a
        // half.
        let life = (now - T0) as f64 / 1e6;
        for used in self.ceiling.values() {
            assert!(
                *used <= 30.0 * life + 60.0 + 1e-6,
                "the ceiling's share is overdrawn"
            );
        }
    }
}

/// A gateway with its host, as steps are played on it.
struct Player {
    gateway: Gateway,
    host: Host,
    now: Micros,
    next: u64,
}

/// A line of the endpoint list; `state` counts from ready.
fn listed(n: u64, state: u8, started_at: Micros) -> Endpoint {
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

impl Player {
    fn new() -> Player {
        let mut player = Player {
            gateway: Gateway::new(settings(), 3, T0),
            host: Host::default(),
            now: T0,
            next: 0,
        };
        let list = (0..5).map(|n| listed(n, 0, 0)).collect();
        player.feed(Event::EndpointsChanged(EndpointListKind::Cached, list));
        player
    }

    fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.host.take(self.now, &actions);
    }

    fn pass(&mut self) {
        self.now += 20_000;
        self.feed(Event::Timer(0));
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Ask {
                class,
                plan,
                customer,
                units,
                gateway_span,
                left,
            } => {
                let request = Request {
                    id: RequestId(self.next),
                    class,
                    plan,
                    customer: CustomerId(customer),
                    deadline: self.now + left,
                    units,
                    gateway_span,
                    ..Request::default()
                };
                self.ask(request);
            }
            Step::Settle {
                pick,
                outcome,
                unknown,
            } => self.settle(pick, outcome, unknown),
            Step::Withdraw(pick) => {
                let id = RequestId(pick as u64);
                if id.0 < self.next {
                    self.host.ended.insert(id);
                }
                self.feed(Event::ClientDisconnected(id));
            }
            Step::Peer { from, bytes } => {
                let from = GatewayId(from);
                self.feed(Event::PeerMessage { from, bytes });
            }
            Step::Roster { kind, states, cold } => self.change_list(kind, &states, cold),
            Step::Pass(ticks) => (0..ticks).for_each(|_| self.pass()),
            Step::Stray(n) => self.stray(n),
        }
    }

    fn ask(&mut self, request: Request) {
        self.next += 1;
        let id = request.id;
        let class = if request.class < 3 { request.class } else { 0 };
        let customer = (request.plan, request.customer.0, request.units);
        self.host.deadlines.insert(id, request.deadline);
        self.host.classes.insert(id, class);
        self.host.customers.insert(id, customer);
        self.feed(Event::Request(request));
    }

    fn settle(&mut self, pick: usize, outcome: usize, unknown: bool) {
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
        let out = &mut self.host.out;
        let (id, attempt, backend) = if out.is_empty() || unknown {
            (RequestId(1 << 40), 7, BackendId(77))
        } else {
            out.swap_remove(pick % out.len())
        };
        if outcome.never_ran() {
            self.host.unproved.entry(id).and_modify(|n| *n -= 1);
        }
        let complete = outcome == Outcome::Ok || self.host.ended.contains(&id);
        if outcome == Outcome::Ok {
            self.host.ended.insert(id);
        }
        self.end(id, attempt, backend, outcome, complete, 50_000);
    }

    fn end(
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

    fn change_list(&mut self, kind: u8, states: &[u8], cold: bool) {
        let kinds = [
            EndpointListKind::Delta,
            EndpointListKind::Full,
            EndpointListKind::Cached,
            EndpointListKind::Failed,
        ];
        let kind = kinds[usize::from(kind)];
        let started_at = if cold { self.now } else { 0 };
        let list: Vec<Endpoint> = (0..)
            .zip(states)
            .map(|(n, state)| listed(n, *state, started_at))
            .collect();
        if kind == EndpointListKind::Full || kind == EndpointListKind::Cached {
            self.host.shut = (0..6).map(BackendId).collect();
        }
        if kind != EndpointListKind::Failed {
            for line in &list {
                self.host.shut.remove(&line.backend);
                if line.state != EndpointState::Ready {
                    self.host.shut.insert(line.backend);
                }
            }
        }
        self.feed(Event::EndpointsChanged(kind, list));
    }

    /// Events that no action has asked for.
    fn stray(&mut self, n: u64) {
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

    /// All that is out times out at the deadlines, and every request has its answer.
    fn finish(mut self) -> Vec<String> {
        for _ in 0..150 {
            self.pass();
            for (id, attempt, backend) in std::mem::take(&mut self.host.out) {
                let complete = self.host.ended.contains(&id);
                self.end(id, attempt, backend, Outcome::TimedOut, complete, 1);
            }
        }
        for id in self.host.deadlines.keys() {
            assert!(self.host.ended.contains(id), "{id:?} got no answer");
        }
        self.host.log
    }
}

fn play(steps: &[Step]) -> Vec<String> {
    let mut player = Player::new();
    steps.iter().cloned().for_each(|step| player.step(step));
    player.finish()
}

#[test]
fn rules_hold_under_arbitrary_events_and_equal_events_give_equal_actions() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    runner
        .run(&prop::collection::vec(step(), 1..150), |steps| {
            prop_assert_eq!(play(&steps), play(&steps));
            Ok(())
        })
        .unwrap();
}
