//! The progress of a member in a proposal.

use crate::membership::{Member, MemberRole, ReplicaId};
use crate::protocol::EnforcedState;
use std::time::Duration;

/// A member, as a proposer sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) role: MemberRole,
    /// A request is in flight.
    pub(super) requested: bool,
    /// Time of the next request at the earliest.
    pub(super) not_before: Duration,
    /// It has done what this phase asks for.
    pub(super) answered: bool,
    /// Its vote counts in this phase.
    pub(super) voted: bool,
    /// It has a vote that does not count yet, since it has just started; it is asked again while votes are missing.
    pub(super) vote_withheld: bool,
    /// It has accepted the state, and may keep serving under its predecessor.
    pub(super) accepted: bool,
    /// It was one of the majority that accepted the state first, before the wait for leases began.
    pub(super) accepted_early: bool,
    /// It put the state in force from this ballot: it heeded no other proposer in between.
    pub(super) applied_from_ballot: bool,
    /// It needs the whole state to put it in force.
    pub(super) needs_state: bool,
    pub(super) replica: ReplicaId,
    pub(super) enforced: Option<EnforcedState>,
    /// Why it did not do what it was last asked.
    pub(super) reason: Option<String>,
}

impl Peer {
    pub(super) fn new(member: &Member, now: Duration) -> Peer {
        Peer {
            name: member.name.clone(),
            role: member.role,
            requested: false,
            not_before: now,
            answered: false,
            voted: false,
            vote_withheld: false,
            accepted: false,
            accepted_early: false,
            applied_from_ballot: false,
            needs_state: false,
            replica: 0,
            enforced: None,
            reason: None,
        }
    }

    pub(super) fn serves(&self) -> bool {
        self.role == MemberRole::Ingress
    }

    /// Prepares for the next phase. A response to a request of this phase may still come; it counts for nothing then.
    pub(super) fn begin_phase(&mut self, now: Duration) {
        self.requested = false;
        self.not_before = now;
        self.answered = false;
        self.voted = false;
        self.vote_withheld = false;
        self.reason = None;
    }

    /// Whether this phase still has to ask it for its vote.
    pub(super) fn is_missing(&self, quorum_reached: bool) -> bool {
        !self.answered || self.vote_withheld && !quorum_reached
    }

    pub(super) fn retry(&mut self, reason: String, at: Duration) {
        self.reason = Some(reason);
        self.not_before = at;
    }
}
