//! What connections to backends are used for, and how that use ends. The order of fields and variants is part of the handover
//! format.

use serde::{Deserialize, Serialize};
use wrenfork_decision::{BackendId, LoadReport, Micros, Outcome, RequestId};

/// Identifies a connection uniquely, even after it is closed: slab keys are reused, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConnectionHandle {
    pub(super) key: usize,
    pub(super) serial: u64,
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Activity {
    /// An attempt at a request. The `u16` is the number of the attempt within the request.
    Attempt(RequestId, u16),
    /// A health check of the backend.
    HealthCheck,
    /// A connect in parallel to that of another connection, given by its handle, which takes over the stream if it is established
    /// first (RFC 8305).
    RaceCandidate(ConnectionHandle),
}

impl Activity {
    /// Whether this is a race candidate, which carries no attempt or health check.
    pub(super) fn is_race_candidate(self) -> bool {
        matches!(self, Activity::RaceCandidate(_))
    }

    /// Whether this is an attempt rather than a health check or a race candidate.
    pub(super) fn is_attempt(self) -> bool {
        matches!(self, Activity::Attempt(..))
    }
}

/// How an attempt or a health check ended.
pub struct AttemptEnd {
    /// The attempt or health check that ended.
    pub activity: Activity,
    /// The backend it was sent to, or meant for if it was never sent.
    pub backend: BackendId,
    /// How it ended, as far as the ingress can tell.
    pub outcome: Outcome,
    /// When it began, in microseconds.
    pub started_at: Micros,
    /// The load report in the answer, if any.
    pub report: Option<LoadReport>,
    /// The value in its RESP encoding as received; empty unless an attempt ended with [`Outcome::Ok`], and after a streamed
    /// answer.
    pub value: Vec<u8>,
}
