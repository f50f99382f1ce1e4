//! Tests of when a shutdown lets the process exit.

use super::{OpenClients, Shutdown};
use crate::timers::Timers;
use wrenfork_decision::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Time of the signal.
const SIGNAL: Micros = 100 * SECOND;
/// How long after the longest deadline the platform sends SIGKILL at the earliest.
const KILL_MARGIN: Micros = 700 * MILLISECOND;

const CONNECTED: OpenClients = OpenClients {
    connected: 1,
    has_more: false,
};

/// A shutdown that has begun at [`SIGNAL`] and does not accept clients any more.
fn shutdown(longest_deadline: Micros) -> Shutdown {
    let (mut shutdown, mut timers) = (Shutdown::new(longest_deadline), Timers::default());
    shutdown.begin(SIGNAL, &mut timers);
    while shutdown.keeps_accepting(SIGNAL + SECOND, 0, &mut timers) {}
    shutdown
}

/// Guards against an exit that leaves answers of the requests failed last unwritten although SIGKILL is not due yet, and
/// against one that SIGKILL comes before.
#[test]
fn unwritten_answers_delay_the_exit_until_shortly_before_sigkill() {
    for (longest_deadline, counted) in [(SECOND, SECOND), (8 * SECOND, 3 * SECOND)] {
        let shutdown = shutdown(longest_deadline);
        let killed_at = SIGNAL + counted + KILL_MARGIN;
        let fail_at = shutdown.fail_at;
        assert!(!shutdown.may_exit(fail_at, CONNECTED, || Some(SIGNAL)));
        assert!(shutdown.may_exit(fail_at, CONNECTED, || None));
        let unread = OpenClients {
            has_more: true,
            ..CONNECTED
        };
        assert!(!shutdown.may_exit(fail_at, unread, || None));
        let latest = killed_at - 100 * MILLISECOND;
        assert!(shutdown.may_exit(latest, unread, || Some(latest)));
        assert!(shutdown.must_exit(latest) && !shutdown.must_exit(fail_at));
    }
}

/// Guards against an exit before the clients that go on reading have their answers, and against waiting for those that don't.
#[test]
fn only_clients_that_read_delay_the_exit() {
    let shutdown = shutdown(8 * SECOND);
    let (closing_since, now) = (SIGNAL + SECOND, SIGNAL + 3 * SECOND + 10 * MILLISECOND);
    assert!(!shutdown.may_exit(now, CONNECTED, || Some(now - SECOND)));
    assert!(shutdown.may_exit(now, CONNECTED, || Some(SIGNAL)));
    assert!(shutdown.may_exit(now, CONNECTED, || None));
    // Clients without answers to read have a second to send or to close.
    assert!(!shutdown.may_exit(closing_since + SECOND, CONNECTED, || None));
    assert!(shutdown.may_exit(closing_since + SECOND + MILLISECOND, CONNECTED, || None));
}
