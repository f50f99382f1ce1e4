//! Retries, hedges and what must never run twice, on one gateway by events and actions.

mod rig;

use rig::{answer, failed, listed, refused, sends, settings, Rig, S};
use wrenfork_decision::{Action, Endpoint, EndpointListKind, Event, Idempotency, Micros, Outcome};

#[test]
fn a_request_that_is_not_idempotent_fails_after_a_timeout_and_is_never_retried() {
    let mut rig = Rig::with(settings(), 4);
    let (id, actions) = rig.ask(2, 0, 1, 1.0);
    let backend = sends(&actions)[0];
    let later = rig.pass(2 * S);
    assert!(
        sends(&later).is_empty(),
        "no second copy of an unsafe request"
    );
    let end = rig.settle(id, 0, backend, Outcome::TimedOut);
    assert!(failed(&end) && !refused(&end) && sends(&end).is_empty());
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_on_proof_that_it_never_ran() {
    let mut rig = Rig::with(settings(), 4);
    let (id, actions) = rig.ask(2, 0, 1, 1.0);
    let again = rig.settle(id, 0, sends(&actions)[0], Outcome::Rejected);
    assert_eq!(sends(&again).len(), 1);
    let end = rig.settle(id, 1, sends(&again)[0], Outcome::Reset);
    assert!(
        failed(&end) && !refused(&end),
        "the second attempt may have run"
    );
}

#[test]
fn a_keyed_retry_stays_in_its_cell_and_window() {
    let mut rig = Rig::with(settings(), 6);
    let (id, actions) = rig.ask(1, 0, 1, 1.0);
    let first = sends(&actions)[0];
    let again = rig.settle(id, 0, first, Outcome::Error);
    assert_eq!(sends(&again).len(), 1);
    assert_eq!(sends(&again)[0].0 % 2, first.0 % 2, "same cell");

    let mut s = settings();
    s.classes[1].latency_objective = 4 * S;
    s.limits.hedging = false;
    s.limits.cancellation = false;
    let mut rig = Rig::with(s, 6);
    let (id, actions) = rig.ask(1, 0, 1, 1.0);
    rig.pass(2 * S);
    let end = rig.settle(id, 0, sends(&actions)[0], Outcome::Reset);
    assert!(
        sends(&end).is_empty() && failed(&end) && !refused(&end),
        "outside the window"
    );
}

/// A host whose connection comes up late has to know until when the repeat may begin; a first
/// attempt may begin at any time.
#[test]
fn a_keyed_retry_says_until_when_it_may_start() {
    let mut rig = Rig::with(settings(), 6);
    let Idempotency::WithKey { window, .. } = settings().classes[1].idempotency else {
        panic!("class 1 is keyed")
    };
    let until = |actions: &[Action]| {
        let one = |a: &Action| {
            if let Action::Send { start_by, .. } = a {
                Some(*start_by)
            } else {
                None
            }
        };
        actions.iter().find_map(one).expect("it is sent")
    };
    let (id, actions) = rig.ask(1, 0, 1, 1.0);
    let (sent, first) = (rig.now, sends(&actions)[0]);
    assert_eq!(until(&actions), Micros::MAX);
    rig.pass(S / 10);
    let again = rig.settle(id, 0, first, Outcome::Reset);
    assert_eq!(
        until(&again),
        sent + window,
        "counted from the attempt that may have run, not from the repeat"
    );
    // One that never ran begins the window with nothing.
    let (id, actions) = rig.ask(1, 0, 2, 1.0);
    let again = rig.settle(id, 0, sends(&actions)[0], Outcome::ConnectFailed);
    assert_eq!(until(&again), Micros::MAX);
}

#[test]
fn a_keyed_retry_keeps_to_its_cell_when_the_first_backend_has_left_the_list() {
    let mut rig = Rig::with(settings(), 6);
    let (id, actions) = rig.ask(1, 0, 1, 1.0);
    let first = sends(&actions)[0];
    let gone: Vec<Endpoint> = (0..6)
        .map(listed)
        .filter(|l| l.cell != (first.0 % 2) as u16)
        .collect();
    rig.feed(Event::EndpointsChanged(EndpointListKind::Full, gone));
    let end = rig.settle(id, 0, first, Outcome::Reset);
    assert!(
        sends(&end).is_empty() && failed(&end),
        "nobody left who knows the key"
    );
}

fn called_off(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Cancel { .. }))
        .count()
}

/// Guards against calling long requests off for a third of their aim's silence: where cancelled
/// work runs on, the program doubled its own load with that and then shed for it. And against
/// keeping to a backend that is dead.
#[test]
fn a_long_request_is_waited_for_and_a_dead_backend_is_not() {
    let mut s = settings();
    s.limits.hedging = false;
    let mut rig = Rig::with(s, 4);
    // Answers here take 100 ms: one that takes four times that is long, and nothing to act on.
    for n in 0..40 {
        let (id, actions) = rig.ask(0, 0, n, 1.0);
        answer(&mut rig, id, sends(&actions)[0], 100_000);
    }
    rig.pass(20_000);
    let (id, actions) = rig.ask(0, 0, 1, 1.0);
    let backend = sends(&actions)[0];
    let meanwhile = rig.pass(440_000);
    assert_eq!(
        (called_off(&meanwhile), sends(&meanwhile).len()),
        (0, 0),
        "it is at work"
    );
    answer(&mut rig, id, backend, 440_000);
    // Four out at a backend that says nothing: each of the next tenths of a second should have
    // brought four answers.
    let mut out = Vec::new();
    for n in 0..16 {
        let (id, actions) = rig.ask(0, 0, n, 1.0);
        out.extend(sends(&actions).into_iter().map(|b| (id, b)));
    }
    let dead = out[0].1;
    out.retain(|(id, b)| *b == dead || !answer(&mut rig, *id, *b, 100_000).is_empty());
    assert!(out.len() >= 3, "{out:?}");
    let meanwhile = rig.pass(460_000);
    assert!(
        called_off(&meanwhile) >= 1,
        "nobody was moved from a dead backend"
    );
}
