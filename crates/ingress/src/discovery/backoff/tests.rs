//! Tests of the backoff bounds, and a simulation of many clients that share one service.

use super::{Backoff, Failure, MAX_BACKOFF};
use wrenfork_decision::Micros;

/// Simulates `clients` that start simultaneously at a service that handles `requests_per_second`. The service rejects a request
/// that would wait for more than 2 s, and a rejection costs it half as much work as a request. Returns how many clients are not
/// served within 30 s, and the total number of requests.
fn simulate_clients(clients: usize, requests_per_second: f64) -> (usize, usize) {
    let mut backoffs: Vec<Backoff> = (0..clients as u64).map(Backoff::new).collect();
    let mut due: Vec<Option<Micros>> = vec![Some(0); clients];
    let (mut backlog, mut requests) = (0.0f64, 0);
    // Steps of 10 ms.
    for step in 0..3_000u64 {
        let now = step * 10_000;
        backlog = (backlog - requests_per_second / 100.0).max(0.0);
        for (client, due) in due
            .iter_mut()
            .enumerate()
            .filter(|(_, due)| due.is_some_and(|at| at <= now))
        {
            requests += 1;
            if backlog < 2.0 * requests_per_second {
                (backlog, *due) = (backlog + 1.0, None);
            } else {
                (backlog, *due) = (
                    backlog + 0.5,
                    Some(now + backoffs[client].delay(Failure::Rejected)),
                );
            }
        }
    }
    (due.iter().flatten().count(), requests)
}

/// Guards against a service that stays overloaded because the clients that it rejected retry too soon.
#[test]
fn hundred_simultaneous_clients_are_served_within_30_s_at_20_requests_per_second() {
    let (unserved, requests) = simulate_clients(100, 20.0);
    assert_eq!(
        unserved, 0,
        "clients not served after 30 s and {requests} requests"
    );
    assert!(requests < 500, "{requests} requests");
}

/// Guards against the same overload with more clients, at a service that needs 6 s to serve one request of each.
#[test]
fn three_hundred_simultaneous_clients_are_served_within_30_s_at_50_requests_per_second() {
    let (unserved, requests) = simulate_clients(300, 50.0);
    assert_eq!(
        unserved, 0,
        "clients not served after 30 s and {requests} requests"
    );
    assert!(requests < 1_500, "{requests} requests");
}

/// Guards against a backoff that delays the report of a change for too long, after any number of rejected and failed requests in
/// any order.
#[test]
fn backoff_never_exceeds_maximum() {
    for seed in 0..200 {
        let mut backoff = Backoff::new(seed);
        for n in 0..60 {
            let failure = if (seed + n) % 3 == 0 {
                Failure::Broken
            } else {
                Failure::Rejected
            };
            let delay = backoff.delay(failure);
            assert!(
                delay <= MAX_BACKOFF,
                "backoff of {delay} us after request {n}"
            );
        }
    }
}

#[test]
fn unreachable_service_is_polled_again_within_1500_ms() {
    let mut backoff = Backoff::new(7);
    let delays: Vec<Micros> = (0..40).map(|_| backoff.delay(Failure::Broken)).collect();
    assert!(
        delays[0] <= 75_000
            && delays
                .iter()
                .all(|delay| (25_000..=1_500_000).contains(delay)),
        "backoffs out of bounds: {delays:?}"
    );
    backoff.reset();
    assert!(backoff.delay(Failure::Broken) <= 75_000);
}
