//! Human-readable reasons for a failure or rejection.

use thiserror::Error;

/// Error of an ingress that can't enforce a state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct NotEnforceable {
    /// Human-readable reason.
    pub reason: String,
}

impl NotEnforceable {
    /// Creates the error with a human-readable reason.
    pub fn new(reason: impl Into<String>) -> NotEnforceable {
        NotEnforceable {
            reason: reason.into(),
        }
    }
}

/// Why a member did not carry out a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberReason {
    /// Name of the member.
    pub member: String,
    /// Human-readable reason.
    pub reason: String,
}
