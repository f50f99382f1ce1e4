//! Reasons given for people.

use thiserror::Error;

/// An ingress can't enforce a state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct NotEnforceable {
    /// Why, for people.
    pub reason: String,
}

impl NotEnforceable {
    /// Creates the error.
    pub fn new(reason: impl Into<String>) -> NotEnforceable {
        NotEnforceable {
            reason: reason.into(),
        }
    }
}

/// Why a member did not do what it was asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MemberReason {
    /// Name of the member.
    pub member: String,
    /// Why, for people.
    pub reason: String,
}
