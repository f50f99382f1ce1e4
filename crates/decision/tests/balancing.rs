//! Which backends get requests: draining, warming up, ejected, new ones.

mod rig;

use rig::{listed, refused, sends, settings, Rig, S, T0};
use std::collections::BTreeSet;
use wrenfork_decision::{
    BackendId, Endpoint, EndpointListKind, EndpointState, Event, GatewayId, Outcome, Settings,
};

#[test]
fn a_draining_backend_gets_nothing_new() {
    let mut rig = Rig::with(settings(), 2);
    let drained = Endpoint {
        state: EndpointState::Draining,
        ..listed(0)
    };
    rig.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![drained],
    ));
    for n in 0..20 {
        let (_, actions) = rig.ask(0, 0, n, 1.0);
        assert!(sends(&actions).iter().all(|b| *b == BackendId(1)));
    }
    rig.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![Endpoint {
            state: EndpointState::Removed,
            ..listed(1)
        }],
    ));
    let (_, held) = rig.ask(0, 0, 1, 1.0);
    assert!(sends(&held).is_empty());
    let later = rig.pass(S);
    assert!(
        sends(&later).is_empty() && refused(&later),
        "held, then refused in time"
    );
}

/// `max(1)` for each gateway would be 150 at once on a backend that has just started.
#[test]
fn a_backend_that_warms_up_is_not_flooded_by_a_hundred_and_fifty_gateways() {
    let (mut in_window, mut ever) = (0, 0);
    for me in 0..150 {
        let mut rig = Rig::with(
            Settings {
                gateway_id: GatewayId(me),
                gateway_count: 150,
                ..settings()
            },
            1,
        );
        rig.feed(Event::EndpointsChanged(
            EndpointListKind::Full,
            vec![Endpoint {
                started_at: T0,
                ..listed(0)
            }],
        ));
        for n in 0..20 {
            in_window += sends(&rig.ask(0, 0, n, 1.0).1).len();
        }
        for n in 0..200 {
            ever += sends(&rig.pass(100_000)).len() + sends(&rig.ask(0, 0, n, 1.0).1).len();
        }
    }
    assert!(
        in_window <= 6,
        "{in_window} sent at once to a backend that has just started"
    );
    assert!(ever > 100, "{ever}: it is warm in the end, and used");
}

/// A backend that is silent to one class goes on serving the others.
#[test]
fn silence_to_one_class_ejects_a_backend_for_that_class_alone() {
    let mut rig = Rig::with(settings(), 2);
    for n in 0..40 {
        let (id, actions) = rig.ask(2, 0, 100 + n, 1.0); // never answered at backend 0
        let silent = sends(&actions) == [BackendId(0)];
        for backend in sends(&actions).into_iter().filter(|_| !silent) {
            rig.settle(id, 0, backend, Outcome::Ok);
        }
        rig.pass(S); // six answers should have come meanwhile
        if silent {
            rig.settle(id, 0, BackendId(0), Outcome::TimedOut);
        }
        let (id, actions) = rig.ask(0, 0, n, 1.0);
        for backend in sends(&actions) {
            rig.settle(id, 0, backend, Outcome::Ok);
        }
    }
    let (mut once, mut safe) = ([0, 0], [0, 0]);
    for n in 0..20 {
        for (class, count) in [(2, &mut once), (0, &mut safe)] {
            let (id, actions) = rig.ask(class, 0, n, 1.0);
            for backend in sends(&actions) {
                count[backend.0 as usize] += 1;
                let silent = class == 2 && backend.0 == 0;
                if silent {
                    rig.pass(S);
                }
                rig.settle(
                    id,
                    0,
                    backend,
                    if silent {
                        Outcome::TimedOut
                    } else {
                        Outcome::Ok
                    },
                );
            }
        }
    }
    assert!(once[0] <= 2 && once[1] >= 18, "{once:?}");
    assert!(safe[0] >= 3, "{safe:?}");
}

#[test]
fn backends_that_are_left_do_not_inherit_the_load_of_failed_ones() {
    let out = |left: u64| {
        let mut rig = Rig::with(settings(), 12);
        rig.feed(Event::EndpointsChanged(
            EndpointListKind::Full,
            (0..left).map(listed).collect(),
        ));
        (0..200)
            .map(|n| sends(&rig.ask(0, 0, n, 1.0).1).len())
            .sum::<usize>()
    };
    assert!(out(12) >= 12);
    // Half the bound, and what chance alone may bring, which grows by the root.
    assert!(
        out(6) * 3 <= out(12) * 2,
        "{} out at 6 backends, {} at 12",
        out(6),
        out(12)
    );
}

/// Sends `n` requests of plan 0, each answered before the next comes; how many each backend got.
fn used(rig: &mut Rig, n: u64) -> std::collections::BTreeMap<BackendId, u32> {
    let mut used = std::collections::BTreeMap::new();
    for customer in 0..n {
        let (id, actions) = rig.ask_of(0, 0, 10_000 + customer, 1.0, 1.0);
        for backend in sends(&actions) {
            *used.entry(backend).or_insert(0) += 1;
            rig.settle(id, 0, backend, Outcome::Ok);
        }
        if customer % 50 == 0 {
            rig.pass(20_000);
        }
    }
    used
}

/// A gateway with so many backends in its own zone: idle ones of another come second.
fn near(settings: Settings, backends: u64) -> Rig {
    let mut rig = Rig::with(settings, 0);
    let list = (0..backends)
        .map(|n| Endpoint {
            zone: 0,
            ..listed(n)
        })
        .collect();
    rig.feed(Event::EndpointsChanged(EndpointListKind::Full, list));
    rig
}

/// A choice looks at a few of many backends: all must come up, and alike.
#[test]
fn a_gateway_alone_uses_all_of_a_thousand_backends_evenly() {
    let mut rig = near(
        Settings {
            gateway_count: 1,
            ..settings()
        },
        1_000,
    );
    let used = used(&mut rig, 20_000);
    let most = used.values().max().copied().unwrap_or(0);
    assert_eq!(used.len(), 1_000, "some got nothing of 20 requests each");
    assert!(most <= 60, "20 each are fair, one got {most}");
}

/// Guards against gateways that keep to 32 of the backends each: four of them left a fifth of a
/// hundred unused.
#[test]
fn a_few_gateways_together_leave_no_backend_out() {
    let mut seen = BTreeSet::new();
    for me in 0..4 {
        let mut rig = near(
            Settings {
                gateway_count: 4,
                gateway_id: GatewayId(me),
                ..settings()
            },
            100,
        );
        seen.extend(used(&mut rig, 2_000).into_keys());
    }
    assert_eq!(seen.len(), 100);
}

/// A backend that leaves gives its place up: the next to come must not inherit what was known of
/// it.
#[test]
fn a_backend_that_comes_in_place_of_another_starts_with_a_clean_record() {
    let mut rig = Rig::with(
        Settings {
            gateway_count: 1,
            ..settings()
        },
        2,
    );
    for n in 0..12 {
        let (id, actions) = rig.ask(0, 0, n, 1.0);
        if let [backend] = sends(&actions)[..] {
            let outcome = if backend == BackendId(0) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            rig.settle(id, 0, backend, outcome);
        }
        rig.pass(20_000);
    }
    let gone = Endpoint {
        state: EndpointState::Removed,
        ..listed(0)
    };
    rig.feed(Event::EndpointsChanged(EndpointListKind::Delta, vec![gone]));
    rig.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![listed(2)],
    ));
    let used = used(&mut rig, 200);
    assert!(!used.contains_key(&BackendId(0)), "it has gone");
    assert!(used.get(&BackendId(2)).is_some_and(|n| *n > 40), "{used:?}");
}
