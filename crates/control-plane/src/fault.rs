//! Points at which a test has the process end as by a crash. `WRENFORK_FAULT=decide.written` ends it the first time that it
//! passes there, `decide.written:2` the second time; `decide.written:2:stop` freezes it there, until it is told to go on.
//! Without the variable nothing is looked at again.

use rustix::process::{getpid, kill_process, Signal};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

/// The variable's name.
pub const VARIABLE: &str = "WRENFORK_FAULT";

/// Every point of an ingress's side, in the order in which an ask passes them.
pub const POINTS: [&str; 12] = [
    "prepare.heard",
    "prepare.unwritten",
    "prepare.written",
    "prepare.unanswered",
    "prepare.answered",
    "decide.heard",
    "decide.unwritten",
    "decide.written",
    "decide.switched",
    "decide.unanswered",
    "decide.answered",
    "fence.written",
];

/// Every point of a member of a group, in the order in which an ask passes them.
pub const GROUP_POINTS: [&str; 15] = [
    "promise.heard",
    "promise.unwritten",
    "promise.written",
    "promise.unanswered",
    "promise.answered",
    "accept.heard",
    "accept.unwritten",
    "accept.written",
    "accept.unanswered",
    "accept.answered",
    "decided.heard",
    "decided.unwritten",
    "decided.written",
    "decided.switched",
    "decided.answered",
];

/// The point that is set, if any.
#[derive(Clone, Debug, Default)]
pub struct Faults(Option<Fault>);

#[derive(Clone, Debug)]
struct Fault {
    point: String,
    left: Arc<AtomicU32>,
    /// Whether the process is frozen in place of ended.
    stops: bool,
}

impl Faults {
    /// What the environment says.
    pub fn told() -> Faults {
        let told = std::env::var(VARIABLE).ok().filter(|v| !v.is_empty());
        Faults(told.map(|text| {
            let mut parts = text.split(':');
            let point = parts.next().unwrap_or_default().to_string();
            let times = parts.next().and_then(|t| t.parse().ok()).unwrap_or(1);
            Fault {
                point,
                left: Arc::new(AtomicU32::new(times)),
                stops: parts.next() == Some("stop"),
            }
        }))
    }

    /// Whether a point is set.
    pub fn any(&self) -> bool {
        self.0.is_some()
    }

    /// Passes a point; ends the process there if it is set.
    pub fn pass(&self, of: &str, step: &str) {
        let Some(Fault { point, left, stops }) = &self.0 else {
            return;
        };
        if point.split_once('.') != Some((of, step)) || left.fetch_sub(1, Ordering::SeqCst) != 1 {
            return;
        }
        if !*stops {
            std::process::abort();
        }
        let _ = kill_process(getpid(), Signal::STOP);
    }
}
