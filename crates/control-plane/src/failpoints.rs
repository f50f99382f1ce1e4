//! Failpoints: places at which a test has the process end as by a crash.
//!
//! `WRENFORK_FAULT=decide.written` aborts the process the first time that it passes there, `decide.written:2` the second time;
//! `decide.written:2:stop` stops it there by SIGSTOP, until it is continued. Without the variable nothing is looked at again.

use rustix::process::{getpid, kill_process, Signal};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

/// The environment variable that sets a failpoint.
pub const VARIABLE: &str = "WRENFORK_FAULT";

/// Every failpoint of an ingress, in the order in which a request passes them.
pub const INGRESS_POINTS: [&str; 12] = [
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

/// Every failpoint of a member of a group, in the order in which a request passes them.
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

/// The failpoint that is set, if any.
#[derive(Clone, Debug, Default)]
pub struct Failpoints(Option<Failpoint>);

#[derive(Clone, Debug)]
struct Failpoint {
    name: String,
    /// Passes that are left until it takes effect, this one included.
    remaining: Arc<AtomicU32>,
    effect: Effect,
}

#[derive(Clone, Copy, Debug)]
enum Effect {
    Abort,
    Stop,
}

impl Failpoints {
    /// What the environment sets.
    pub fn from_env() -> Failpoints {
        let setting = std::env::var(VARIABLE).ok();
        Failpoints(
            setting
                .filter(|text| !text.is_empty())
                .map(|text| parse(&text)),
        )
    }

    /// Whether a failpoint is set.
    pub fn is_set(&self) -> bool {
        self.0.is_some()
    }

    /// Passes the point `request.step`; the process ends there if it is set and due.
    pub fn hit(&self, request: &str, step: &str) {
        let Some(failpoint) = &self.0 else {
            return;
        };
        if failpoint.name.split_once('.') != Some((request, step)) {
            return;
        }
        if failpoint.remaining.fetch_sub(1, Ordering::SeqCst) != 1 {
            return;
        }
        match failpoint.effect {
            Effect::Abort => std::process::abort(),
            Effect::Stop => {
                let _ = kill_process(getpid(), Signal::STOP);
            }
        }
    }
}

fn parse(text: &str) -> Failpoint {
    let mut parts = text.split(':');
    let name = parts.next().unwrap_or_default().to_string();
    let passes = parts.next().and_then(|n| n.parse().ok()).unwrap_or(1);
    let effect = match parts.next() {
        Some("stop") => Effect::Stop,
        _ => Effect::Abort,
    };
    Failpoint {
        name,
        remaining: Arc::new(AtomicU32::new(passes)),
        effect,
    }
}
