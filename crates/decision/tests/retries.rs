//! Retries, hedged requests, and requests that must never run twice, on a single gateway.

mod harness;

use harness::{
    end_attempt_after, endpoint, is_failed, is_rejected, sent_to, settings, Harness, SECOND,
};
use wrenfork_decision::{Action, Endpoint, EndpointListKind, Event, Idempotency, Micros, Outcome};

#[test]
fn a_request_that_is_not_idempotent_fails_after_a_timeout_and_is_never_retried() {
    let mut harness = Harness::new(settings(), 4);
    let (id, actions) = harness.request(2, 0, 1, 1.0);
    let backend = sent_to(&actions)[0];
    let later = harness.advance(2 * SECOND);
    assert!(
        sent_to(&later).is_empty(),
        "a request that is not idempotent must not be hedged"
    );
    let end_actions = harness.end_attempt(id, 0, backend, Outcome::TimedOut);
    assert!(
        is_failed(&end_actions) && !is_rejected(&end_actions) && sent_to(&end_actions).is_empty()
    );
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_on_proof_that_it_never_ran() {
    let mut harness = Harness::new(settings(), 4);
    let (id, actions) = harness.request(2, 0, 1, 1.0);
    let retry = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Rejected);
    assert_eq!(sent_to(&retry).len(), 1);
    let end_actions = harness.end_attempt(id, 1, sent_to(&retry)[0], Outcome::Reset);
    assert!(
        is_failed(&end_actions) && !is_rejected(&end_actions),
        "the second attempt may have run, so the request must fail"
    );
}

#[test]
fn keyed_retry_stays_in_its_cell_and_window() {
    let mut harness = Harness::new(settings(), 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let first = sent_to(&actions)[0];
    let retry = harness.end_attempt(id, 0, first, Outcome::Error);
    assert_eq!(sent_to(&retry).len(), 1);
    assert_eq!(
        sent_to(&retry)[0].0 % 2,
        first.0 % 2,
        "the retry must stay in the cell"
    );

    let mut s = settings();
    s.classes[1].latency_objective = 4 * SECOND;
    s.limits.hedging = false;
    s.limits.cancellation = false;
    let mut harness = Harness::new(s, 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    harness.advance(2 * SECOND);
    let end_actions = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Reset);
    assert!(
        sent_to(&end_actions).is_empty() && is_failed(&end_actions) && !is_rejected(&end_actions),
        "no retry may be sent after the window of the idempotency key"
    );
}

/// The host needs the time by which a retry must start, since connecting may take a while. A first
/// attempt may start at any time.
#[test]
fn keyed_retry_carries_its_latest_start_time() {
    let mut harness = Harness::new(settings(), 6);
    let Idempotency::WithKey { window, .. } = settings().classes[1].idempotency else {
        panic!("class 1 must have an idempotency key")
    };
    let start_by_of = |actions: &[Action]| {
        let start_by_of_send = |a: &Action| {
            if let Action::Send { start_by, .. } = a {
                Some(*start_by)
            } else {
                None
            }
        };
        actions
            .iter()
            .find_map(start_by_of_send)
            .expect("no attempt was sent")
    };
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let (sent, first) = (harness.now, sent_to(&actions)[0]);
    assert_eq!(start_by_of(&actions), Micros::MAX);
    harness.advance(SECOND / 10);
    let retry = harness.end_attempt(id, 0, first, Outcome::Reset);
    assert_eq!(
        start_by_of(&retry),
        sent + window,
        "the window starts at the attempt that may have run, not at the retry"
    );
    // An attempt that never ran does not start the window of the idempotency key.
    let (id, actions) = harness.request(1, 0, 2, 1.0);
    let retry = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::ConnectFailed);
    assert_eq!(start_by_of(&retry), Micros::MAX);
}

#[test]
fn keyed_retry_stays_in_its_cell_after_the_first_backend_was_removed() {
    let mut harness = Harness::new(settings(), 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let first = sent_to(&actions)[0];
    let other_cell: Vec<Endpoint> = (0..6)
        .map(endpoint)
        .filter(|l| l.cell != (first.0 % 2) as u16)
        .collect();
    harness.feed(Event::EndpointsChanged(EndpointListKind::Full, other_cell));
    let end_actions = harness.end_attempt(id, 0, first, Outcome::Reset);
    assert!(
        sent_to(&end_actions).is_empty() && is_failed(&end_actions),
        "no remaining backend shares the idempotency key"
    );
}

fn cancel_count(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Cancel { .. }))
        .count()
}

/// Guards against cancelling long requests after a silence of a third of their latency objective:
/// where cancelled work runs on, that doubled the load, and the gateway shed load because of it.
/// Also guards against staying with a dead backend.
#[test]
fn long_requests_are_awaited_and_dead_backends_are_given_up() {
    let mut s = settings();
    s.limits.hedging = false;
    let mut harness = Harness::new(s, 4);
    // Answers take 100 ms. One that takes four times as long is no reason to act.
    for n in 0..40 {
        let (id, actions) = harness.request(0, 0, n, 1.0);
        end_attempt_after(&mut harness, id, sent_to(&actions)[0], 100_000);
    }
    harness.advance(20_000);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    let backend = sent_to(&actions)[0];
    let actions_meanwhile = harness.advance(440_000);
    assert_eq!(
        (
            cancel_count(&actions_meanwhile),
            sent_to(&actions_meanwhile).len()
        ),
        (0, 0),
        "a slow but working backend was given up"
    );
    end_attempt_after(&mut harness, id, backend, 440_000);
    // Four attempts in flight at a silent backend: every further 100 ms should have brought four
    // answers.
    let mut in_flight = Vec::new();
    for n in 0..16 {
        let (id, actions) = harness.request(0, 0, n, 1.0);
        in_flight.extend(sent_to(&actions).into_iter().map(|b| (id, b)));
    }
    let dead = in_flight[0].1;
    in_flight.retain(|(id, b)| {
        *b == dead || !end_attempt_after(&mut harness, *id, *b, 100_000).is_empty()
    });
    assert!(
        in_flight.len() >= 3,
        "attempts at the silent backend: {in_flight:?}"
    );
    let actions_meanwhile = harness.advance(460_000);
    assert!(
        cancel_count(&actions_meanwhile) >= 1,
        "no attempt at a dead backend was cancelled"
    );
}
