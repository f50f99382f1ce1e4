//! Goals, phases and outcomes of a proposal.

use crate::group_state::GroupState;
use crate::protocol::Ballot;
use std::sync::Arc;
use thiserror::Error;
use wrenfork_commit::reason::MemberReason;

/// What a proposer wants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalGoal {
    /// To have this state decided, made from the one in force.
    Change(Arc<GroupState>),
    /// To resolve an undecided version: decide what a member has accepted, or else change nothing.
    Recover,
    /// To form the group: decide its first state with all members of the charter.
    Form,
}

/// Phase of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalPhase {
    /// Members are asked for promises.
    Preparing,
    /// Members are asked to accept the state.
    Accepting,
    /// The state is decided, and members are notified.
    Notifying,
    /// The proposal has ended.
    Ended(ProposalOutcome),
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// The state is in force, and nobody serves under its predecessor any more.
    Committed,
    /// A member could not enforce the state; nothing has changed.
    Rejected(Vec<MemberReason>),
    /// Too few members voted; nothing has changed.
    NoQuorum {
        /// Votes that were received.
        votes: usize,
        /// Votes that were needed.
        needed: usize,
    },
    /// A member has promised a higher ballot.
    HigherBallot(Ballot),
    /// Another state has been decided with this version.
    Superseded(u64),
    /// Time ran out before the state was decided, or before all members were notified; the members will resolve it.
    TimedOut,
}

/// A request to a member got no response; the member may have handled it all the same.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct RequestFailed {
    /// Why, for people.
    pub reason: String,
}
