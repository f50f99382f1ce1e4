//! Whether a member's vote counts.

use thiserror::Error;

/// Why a member's vote does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VoteWithheld {
    /// The membership names another replica.
    #[error("its folder is not the one that the roster counts")]
    OtherReplica,
    /// Too few voters have confirmed since the start that the replica is no older copy.
    #[error(
        "too few others have answered since it started to know that its folder is no old copy"
    )]
    TooFewConfirmations,
}
