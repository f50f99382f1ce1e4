//! Goals, phases and outcomes of a proposal.

use crate::group_state::GroupState;
use crate::protocol::Ballot;
use std::sync::Arc;
use thiserror::Error;
use wrenfork_commit::reason::MemberReason;

/// What a proposer is to have decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalGoal {
    /// This state, which was made from the one in force.
    Change(Arc<GroupState>),
    /// The next version, which another proposer left undecided: the state that a member has accepted, or else a version
    /// without changes.
    Recover,
    /// The first state of the group, with all initial members.
    Form,
}

/// Phase of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalPhase {
    /// Paxos phase 1: asking members for promises.
    Preparing,
    /// Paxos phase 2: asking members to accept the state.
    Accepting,
    /// The state is decided; telling members to put it in force.
    Notifying,
    /// The proposal has ended with this outcome.
    Ended(ProposalOutcome),
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProposalOutcome {
    /// The state is in force, and no member serves under the previous version any more.
    Committed,
    /// Some member can't enforce the state; nothing has changed.
    Rejected(Vec<MemberReason>),
    /// Too few members promised to take part; nothing has changed.
    NoQuorum {
        /// Number of votes received.
        votes: usize,
        /// Number of votes needed.
        needed: usize,
    },
    /// A member has promised a higher ballot.
    HigherBallot(Ballot),
    /// Another state was decided. Holds the version that is in force after that.
    Superseded(u64),
    /// The time limit was reached before the state was decided, or before all members were notified. The members will
    /// recover the version.
    TimedOut,
}

/// A request to a member got no response; the member may have handled the request nevertheless.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct RequestFailed {
    /// Reason, for display only.
    pub reason: String,
}
