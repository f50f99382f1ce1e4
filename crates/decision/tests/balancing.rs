//! Load balancing: draining, warming, ejected and new backends.

mod harness;

use harness::{endpoint, is_rejected, sent_to, settings, Harness, SECOND, START};
use std::collections::BTreeSet;
use wrenfork_decision::{
    BackendId, Endpoint, EndpointListKind, EndpointState, Event, GatewayId, Outcome, Settings,
};

#[test]
fn draining_backend_gets_no_new_requests() {
    let mut harness = Harness::new(settings(), 2);
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint(0)
    };
    harness.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![draining],
    ));
    for n in 0..20 {
        let (_, actions) = harness.request(0, 0, n, 1.0);
        assert!(sent_to(&actions).iter().all(|b| *b == BackendId(1)));
    }
    harness.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![Endpoint {
            state: EndpointState::Removed,
            ..endpoint(1)
        }],
    ));
    let (_, actions) = harness.request(0, 0, 1, 1.0);
    assert!(sent_to(&actions).is_empty());
    let later_actions = harness.advance(SECOND);
    assert!(
        sent_to(&later_actions).is_empty() && is_rejected(&later_actions),
        "the request must be held, then rejected before its deadline"
    );
}

/// A minimum of one request per gateway would send 150 at once to a backend that has just started.
#[test]
fn warming_backend_is_not_flooded_by_150_gateways() {
    let (mut in_window, mut in_total) = (0, 0);
    for number in 0..150 {
        let mut harness = Harness::new(
            Settings {
                gateway_id: GatewayId(number),
                gateway_count: 150,
                ..settings()
            },
            1,
        );
        harness.feed(Event::EndpointsChanged(
            EndpointListKind::Full,
            vec![Endpoint {
                started_at: START,
                ..endpoint(0)
            }],
        ));
        for n in 0..20 {
            in_window += sent_to(&harness.request(0, 0, n, 1.0).1).len();
        }
        for n in 0..200 {
            in_total += sent_to(&harness.advance(100_000)).len()
                + sent_to(&harness.request(0, 0, n, 1.0).1).len();
        }
    }
    assert!(
        in_window <= 6,
        "{in_window} requests sent at once to a backend that has just started"
    );
    assert!(
        in_total > 100,
        "only {in_total} requests sent, although the backend is warm in the end"
    );
}

/// A backend that does not answer one class keeps serving the others.
#[test]
fn backend_silent_to_one_class_is_ejected_for_that_class_only() {
    let mut harness = Harness::new(settings(), 2);
    for n in 0..40 {
        let (id, actions) = harness.request(2, 0, 100 + n, 1.0);
        // Backend 0 never answers this class.
        let silent = sent_to(&actions) == [BackendId(0)];
        for backend in sent_to(&actions).into_iter().filter(|_| !silent) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
        // A backend counts as dead once six answers are missing.
        harness.advance(SECOND);
        if silent {
            harness.end_attempt(id, 0, BackendId(0), Outcome::TimedOut);
        }
        let (id, actions) = harness.request(0, 0, n, 1.0);
        for backend in sent_to(&actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
    }
    let (mut not_idempotent, mut idempotent) = ([0, 0], [0, 0]);
    for n in 0..20 {
        for (class, count) in [(2, &mut not_idempotent), (0, &mut idempotent)] {
            let (id, actions) = harness.request(class, 0, n, 1.0);
            for backend in sent_to(&actions) {
                count[backend.0 as usize] += 1;
                let silent = class == 2 && backend.0 == 0;
                if silent {
                    harness.advance(SECOND);
                }
                harness.end_attempt(
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
    assert!(
        not_idempotent[0] <= 2 && not_idempotent[1] >= 18,
        "requests of class 2 per backend: {not_idempotent:?}"
    );
    assert!(
        idempotent[0] >= 3,
        "requests of class 0 per backend: {idempotent:?}"
    );
}

#[test]
fn remaining_backends_do_not_inherit_the_load_of_removed_ones() {
    let in_flight = |remaining: u64| {
        let mut harness = Harness::new(settings(), 12);
        harness.feed(Event::EndpointsChanged(
            EndpointListKind::Full,
            (0..remaining).map(endpoint).collect(),
        ));
        (0..200)
            .map(|n| sent_to(&harness.request(0, 0, n, 1.0).1).len())
            .sum::<usize>()
    };
    assert!(in_flight(12) >= 12);
    // Half of the limit, plus random variation, which grows with the square root.
    assert!(
        in_flight(6) * 3 <= in_flight(12) * 2,
        "{} attempts in flight with 6 backends, {} with 12",
        in_flight(6),
        in_flight(12)
    );
}

/// Sends `n` requests of plan 0, answering each before the next one. Returns how many each backend
/// received.
fn requests_per_backend(
    harness: &mut Harness,
    n: u64,
) -> std::collections::BTreeMap<BackendId, u32> {
    let mut counts = std::collections::BTreeMap::new();
    for customer in 0..n {
        let (id, actions) = harness.request_with_span(0, 0, 10_000 + customer, 1.0, 1.0);
        for backend in sent_to(&actions) {
            *counts.entry(backend).or_insert(0) += 1;
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
        if customer % 50 == 0 {
            harness.advance(20_000);
        }
    }
    counts
}

/// A gateway whose backends are all in its own zone, because idle backends of other zones are used
/// second.
fn same_zone_harness(settings: Settings, backends: u64) -> Harness {
    let mut harness = Harness::new(settings, 0);
    let list = (0..backends)
        .map(|n| Endpoint {
            zone: 0,
            ..endpoint(n)
        })
        .collect();
    harness.feed(Event::EndpointsChanged(EndpointListKind::Full, list));
    harness
}

/// Each choice considers only a few of the backends, yet all of them must be used about equally.
#[test]
fn single_gateway_uses_all_of_a_thousand_backends_evenly() {
    let mut harness = same_zone_harness(
        Settings {
            gateway_count: 1,
            ..settings()
        },
        1_000,
    );
    let counts = requests_per_backend(&mut harness, 20_000);
    let max_requests = counts.values().max().copied().unwrap_or(0);
    assert_eq!(
        counts.len(),
        1_000,
        "some backends received no request, with 20 per backend on average"
    );
    assert!(
        max_requests <= 60,
        "a backend received {max_requests} requests, an even share is 20"
    );
}

/// Guards against backends that no gateway uses: when each of four gateways used 32 of 100
/// backends, a fifth of the backends received nothing.
#[test]
fn a_few_gateways_together_use_every_backend() {
    let mut used_backends = BTreeSet::new();
    for number in 0..4 {
        let mut harness = same_zone_harness(
            Settings {
                gateway_count: 4,
                gateway_id: GatewayId(number),
                ..settings()
            },
            100,
        );
        used_backends.extend(requests_per_backend(&mut harness, 2_000).into_keys());
    }
    assert_eq!(
        used_backends.len(),
        100,
        "some backends are used by no gateway"
    );
}

/// A new backend reuses the record of a removed one and must not inherit its health.
#[test]
fn new_backend_does_not_inherit_the_health_of_a_removed_one() {
    let mut harness = Harness::new(
        Settings {
            gateway_count: 1,
            ..settings()
        },
        2,
    );
    for n in 0..12 {
        let (id, actions) = harness.request(0, 0, n, 1.0);
        if let [backend] = sent_to(&actions)[..] {
            let outcome = if backend == BackendId(0) {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            harness.end_attempt(id, 0, backend, outcome);
        }
        harness.advance(20_000);
    }
    let removed = Endpoint {
        state: EndpointState::Removed,
        ..endpoint(0)
    };
    harness.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![removed],
    ));
    harness.feed(Event::EndpointsChanged(
        EndpointListKind::Delta,
        vec![endpoint(2)],
    ));
    let counts = requests_per_backend(&mut harness, 200);
    assert!(
        !counts.contains_key(&BackendId(0)),
        "a removed backend received requests"
    );
    assert!(
        counts.get(&BackendId(2)).is_some_and(|n| *n > 40),
        "requests per backend: {counts:?}"
    );
}
