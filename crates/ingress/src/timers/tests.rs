//! Sample of timers for the handover tests.

use super::{Due, Timers};
use crate::backend::tests::HANDLE;
use wrenfork_decision::{BackendId, RequestId};

/// One timer of each kind, in the order of the variants.
pub(crate) fn sample() -> Timers {
    let mut timers = Timers::default();
    let all = [
        Due::Module(7),
        Due::AttemptTimeout(RequestId(41), 1),
        Due::RequestDeadline(RequestId(41)),
        Due::ClientDeadline(RequestId(41)),
        Due::ConnectTimeout(HANDLE),
        Due::NextAddress(HANDLE),
        Due::HealthCheckTimeout(HANDLE, BackendId(0xabcd), 1_000_030),
        Due::CountTimeout,
        Due::Sweep,
        Due::Accept,
        Due::Reload,
        Due::StopAccepting,
        Due::FailOpenRequests,
    ];
    (2_000_000..)
        .zip(all)
        .for_each(|(at, due)| timers.set(at, due));
    timers
}
