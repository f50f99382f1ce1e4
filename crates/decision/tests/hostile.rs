//! Properties over arbitrary legal and hostile sequences of events, with a fixed seed.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

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

fn play(steps: &[Step]) -> Vec<String> {
    let (mut gateway, mut host, mut now, mut next) =
        (Gateway::new(settings(), 3, T0), Host::default(), T0, 0);
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::TimedOut,
        Outcome::Cancelled,
    ];
    let mut feed = |host: &mut Host, now: Micros, event: Event| {
        let mut actions = Vec::new();
        gateway.handle(now, event, &mut actions);
        host.take(now, &actions);
    };
    let listed = |n: u64, state: u8, started_at: Micros| Endpoint {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        state: [
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Removed,
        ][usize::from(state)],
        weight: 1.0,
        started_at,
        ..Endpoint::default()
    };
    feed(
        &mut host,
        now,
        Event::EndpointsChanged(
            EndpointListKind::Cached,
            (0..5).map(|n| listed(n, 0, 0)).collect(),
        ),
    );
    for step in steps.iter().cloned() {
        match step {
            Step::Ask {
                class,
                plan,
                customer,
                units,
                gateway_span,
                left,
            } => {
                let id = RequestId(next);
                next += 1;
                let deadline = now + left;
                host.deadlines.insert(id, deadline);
                host.classes.insert(id, if class < 3 { class } else { 0 });
                host.customers.insert(id, (plan, customer, units));
                let customer = CustomerId(customer);
                let req = Request {
                    id,
                    class,
                    plan,
                    customer,
                    deadline,
                    units,
                    gateway_span,
                    ..Request::default()
                };
                feed(&mut host, now, Event::Request(req));
            }
            Step::Settle {
                pick,
                outcome,
                unknown,
            } => {
                let outcome = outcomes[outcome];
                let at = if host.out.is_empty() {
                    None
                } else {
                    Some(pick % host.out.len())
                };
                let (id, attempt, backend) = match at.filter(|_| !unknown) {
                    Some(at) => host.out.swap_remove(at),
                    None => (RequestId(1 << 40), 7, BackendId(77)),
                };
                if outcome.never_ran() {
                    host.unproved.entry(id).and_modify(|n| *n -= 1);
                }
                let complete = outcome == Outcome::Ok || host.ended.contains(&id);
                if outcome == Outcome::Ok {
                    host.ended.insert(id);
                }
                feed(
                    &mut host,
                    now,
                    Event::AttemptCompleted {
                        id,
                        attempt,
                        backend,
                        outcome,
                        complete,
                        elapsed: 50_000,
                        metered_usage: None,
                        charged_units: None,
                        report: None,
                    },
                );
            }
            Step::Withdraw(pick) => {
                let id = RequestId(pick as u64);
                if id.0 < next {
                    host.ended.insert(id);
                }
                feed(&mut host, now, Event::ClientDisconnected(id));
            }
            Step::Peer { from, bytes } => feed(
                &mut host,
                now,
                Event::PeerMessage {
                    from: GatewayId(from),
                    bytes,
                },
            ),
            Step::Roster { kind, states, cold } => {
                let kind = [
                    EndpointListKind::Delta,
                    EndpointListKind::Full,
                    EndpointListKind::Cached,
                    EndpointListKind::Failed,
                ][usize::from(kind)];
                let list: Vec<_> = (0..)
                    .zip(&states)
                    .map(|(n, s)| listed(n, *s, if cold { now } else { 0 }))
                    .collect();
                if kind == EndpointListKind::Full || kind == EndpointListKind::Cached {
                    host.shut = (0..6).map(BackendId).collect();
                }
                if kind != EndpointListKind::Failed {
                    for l in &list {
                        host.shut.remove(&l.backend);
                        if l.state != EndpointState::Ready {
                            host.shut.insert(l.backend);
                        }
                    }
                }
                feed(&mut host, now, Event::EndpointsChanged(kind, list));
            }
            Step::Pass(ticks) => {
                for _ in 0..ticks {
                    now += 20_000;
                    feed(&mut host, now, Event::Timer(0));
                }
            }
            Step::Stray(n) => {
                feed(&mut host, now, Event::Timer(n as u32));
                feed(
                    &mut host,
                    now,
                    Event::FirstByte {
                        id: RequestId(n),
                        attempt: n as u16,
                    },
                );
                let report = Some(LoadReport {
                    queue: Some(f64::NAN),
                    ..LoadReport::default()
                });
                let (backend, outcome) = (BackendId(n), Outcome::Ok);
                feed(
                    &mut host,
                    now,
                    Event::HealthChecked {
                        backend,
                        outcome,
                        elapsed: n,
                        report,
                    },
                );
                feed(
                    &mut host,
                    now,
                    Event::CounterUpdated {
                        counter: n,
                        outcome,
                        total: f64::NAN,
                    },
                );
            }
        }
    }
    // At the end all that is out times out at the deadlines, and every request has its answer.
    for _ in 0..150 {
        now += 20_000;
        feed(&mut host, now, Event::Timer(0));
        for (id, attempt, backend) in std::mem::take(&mut host.out) {
            let complete = host.ended.contains(&id);
            let outcome = Outcome::TimedOut;
            feed(
                &mut host,
                now,
                Event::AttemptCompleted {
                    id,
                    attempt,
                    backend,
                    outcome,
                    complete,
                    elapsed: 1,
                    metered_usage: None,
                    charged_units: None,
                    report: None,
                },
            );
        }
    }
    for id in host.deadlines.keys() {
        assert!(host.ended.contains(id), "{id:?} got no answer");
    }
    host.log
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
