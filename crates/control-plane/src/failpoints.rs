//! Failpoints: places in the code at which a test makes the process crash or stop.
//!
//! `WRENFORK_FAULT=decide.written` aborts the process the first time it reaches that failpoint, `decide.written:2` the second
//! time. `decide.written:2:stop` stops the process with SIGSTOP instead, until it receives SIGCONT. The variable is read only by
//! [`Failpoints::from_env`].

use rustix::process::{getpid, kill_process, Signal};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};

/// The environment variable that sets a failpoint.
pub const VARIABLE: &str = "WRENFORK_FAULT";

/// All failpoints of an ingress as a participant, in the order in which a request reaches them.
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

/// All failpoints of a group member, in the order in which a request reaches them.
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

/// The failpoint that is set, if any; clones share its counter.
#[derive(Clone, Debug, Default)]
pub struct Failpoints(Option<Failpoint>);

/// A failpoint set by the environment.
#[derive(Clone, Debug)]
struct Failpoint {
    name: String,
    /// Number of hits until the failpoint takes effect, including that hit.
    remaining_hits: Arc<AtomicU32>,
    effect: Effect,
}

/// What the process does at the failpoint.
#[derive(Clone, Copy, Debug)]
enum Effect {
    Abort,
    Stop,
}

impl Failpoints {
    /// The failpoint set by the environment variable [`VARIABLE`]. It takes effect once in a process: all callers share a counter.
    pub fn from_env() -> Failpoints {
        static PROCESS: OnceLock<Failpoints> = OnceLock::new();
        PROCESS.get_or_init(Failpoints::read_env).clone()
    }

    fn read_env() -> Failpoints {
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

    /// Counts a hit of the failpoint `request.step`; aborts or stops the process if that failpoint is set and due.
    pub fn hit(&self, request: &str, step: &str) {
        let Some(failpoint) = &self.0 else {
            return;
        };
        if failpoint.name.split_once('.') != Some((request, step)) {
            return;
        }
        if failpoint.remaining_hits.fetch_sub(1, Ordering::SeqCst) != 1 {
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
    let hits = parts.next().and_then(|n| n.parse().ok()).unwrap_or(1);
    let effect = match parts.next() {
        Some("stop") => Effect::Stop,
        _ => Effect::Abort,
    };
    Failpoint {
        name,
        remaining_hits: Arc::new(AtomicU32::new(hits)),
        effect,
    }
}
