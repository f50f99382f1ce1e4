//! What connections to backends are used for, and how that ends. The order of fields and variants is part of a handover's
//! layout.

use serde::{Deserialize, Serialize};
use wrenfork_decision::{BackendId, LoadReport, Micros, Outcome, RequestId};

/// A connection, for as long as it exists: places in the slab are used again, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConnectionHandle {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Activity {
    /// An attempt at a request, by its number.
    Attempt(RequestId, u16),
    /// A health check.
    HealthCheck,
    /// Nothing yet: it is opened beside another connection, which takes its stream if that is established first (RFC 8305).
    RaceCandidate(ConnectionHandle),
}

impl Activity {
    /// Whether it is a race candidate, which has nothing of its own to end.
    pub(super) fn is_race_candidate(self) -> bool {
        matches!(self, Activity::RaceCandidate(_))
    }

    /// Whether it is an attempt.
    pub(super) fn is_attempt(self) -> bool {
        matches!(self, Activity::Attempt(..))
    }
}

/// How an attempt or a health check ended.
pub struct AttemptEnd {
    /// What it was.
    pub activity: Activity,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// What is known of it.
    pub outcome: Outcome,
    /// When it began.
    pub started_at: Micros,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
    /// With [`Outcome::Ok`]: the value's bytes as they came.
    pub value: Vec<u8>,
}
