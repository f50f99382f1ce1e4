//! Reasons why a member's vote does not count.

use thiserror::Error;

/// Why the vote of a member does not count towards a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VoteWithheld {
    /// The membership has no vote for this member, or the vote belongs to another replica.
    #[error("the roster gives this member no vote with its current state folder")]
    OtherReplica,
    /// Too few voters have confirmed since the process started that the replica is not an outdated copy.
    #[error(
        "too few voters have confirmed since the process started that the state folder is not an outdated copy"
    )]
    TooFewConfirmations,
}
