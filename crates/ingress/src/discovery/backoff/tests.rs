//! The pauses by themselves, and a crowd of callers that keep to them.

use super::{Backoff, Failure, MAX_BACKOFF};
use wrenfork_decision::Micros;

/// So many callers start at once at a service that takes so many calls a second; a call that is turned away costs it half of
/// one, and it turns away what would wait for more than two seconds. Gives how many are not served in 30 s, and all calls.
fn crowd(callers: usize, a_second: f64) -> (usize, usize) {
    let mut backoffs: Vec<Backoff> = (0..callers as u64).map(Backoff::new).collect();
    let mut due: Vec<Option<Micros>> = vec![Some(0); callers];
    let (mut backlog, mut calls) = (0.0f64, 0);
    // Steps of 10 ms.
    for step in 0..3_000u64 {
        let now = step * 10_000;
        backlog = (backlog - a_second / 100.0).max(0.0);
        for (n, due) in due
            .iter_mut()
            .enumerate()
            .filter(|(_, due)| due.is_some_and(|at| at <= now))
        {
            calls += 1;
            if backlog < 2.0 * a_second {
                (backlog, *due) = (backlog + 1.0, None);
            } else {
                (backlog, *due) = (
                    backlog + 0.5,
                    Some(now + backoffs[n].delay(Failure::Rejected)),
                );
            }
        }
    }
    (due.iter().flatten().count(), calls)
}

/// Guards against a service that is kept overloaded by those whom it turned away.
#[test]
fn a_hundred_that_start_at_once_are_all_served_by_an_overbooked_service() {
    let (left, calls) = crowd(100, 20.0);
    assert_eq!(left, 0, "not served after 30 s, with {calls} calls");
    assert!(calls < 500, "{calls} calls");
}

/// The same with three hundred at a service that takes all of them in six seconds.
#[test]
fn three_hundred_that_start_at_once_are_all_served() {
    let (left, calls) = crowd(300, 50.0);
    assert_eq!(left, 0, "not served after 30 s, with {calls} calls");
    assert!(calls < 1_500, "{calls} calls");
}

/// Guards against a pause that outlasts the time after which a change counts as told, however often a call was turned away
/// or failed before, and whatever the two did in turn.
#[test]
fn no_pause_is_longer_than_a_change_may_stay_unheard() {
    for seed in 0..200 {
        let mut backoff = Backoff::new(seed);
        for n in 0..60 {
            let failure = if (seed + n) % 3 == 0 {
                Failure::Broken
            } else {
                Failure::Rejected
            };
            let pause = backoff.delay(failure);
            assert!(pause <= MAX_BACKOFF, "{pause} us after call {n}");
        }
    }
}

#[test]
fn a_service_that_is_gone_is_called_again_within_a_second_and_a_half() {
    let mut backoff = Backoff::new(7);
    let pauses: Vec<Micros> = (0..40).map(|_| backoff.delay(Failure::Broken)).collect();
    assert!(
        pauses[0] <= 75_000 && pauses.iter().all(|p| (25_000..=1_500_000).contains(p)),
        "{pauses:?}"
    );
    backoff.reset();
    assert!(backoff.delay(Failure::Broken) <= 75_000);
}
