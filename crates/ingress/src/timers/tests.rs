//! Timers as a handover passes them.

use super::{Due, Timers};
use crate::backends::tests::LINK;
use wrenfork_decision::{BackendId, RequestId};

/// Each kind of timer, in its order.
pub(crate) fn sample() -> Timers {
    let mut timers = Timers::default();
    let all = [
        Due::Module(7),
        Due::Expire(RequestId(41), 1),
        Due::Deadline(RequestId(41)),
        Due::Overdue(RequestId(41)),
        Due::Connect(LINK),
        Due::Race(LINK),
        Due::Probe(LINK, BackendId(0xabcd), 1_000_030),
        Due::Count,
        Due::Sweep,
        Due::Accept,
        Due::Reload,
        Due::Close,
        Due::Last,
    ];
    (2_000_000..)
        .zip(all)
        .for_each(|(at, due)| timers.set(at, due));
    timers
}
