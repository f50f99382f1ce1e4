//! Progress of each member in a proposal.

use crate::membership::{Member, MemberRole, ReplicaId};
use crate::protocol::EnforcedState;
use std::time::Duration;

/// What a proposer knows of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) role: MemberRole,
    /// Whether a request to the member is in flight.
    pub(super) requested: bool,
    /// Earliest time of the next request.
    pub(super) not_before: Duration,
    /// Whether the member has done what the current phase asks for.
    pub(super) answered: bool,
    /// Whether the member's vote counts in the current phase.
    pub(super) voted: bool,
    /// Whether the member has a vote that does not count yet, as just after its start. It is asked again until there is
    /// a quorum.
    pub(super) vote_withheld: bool,
    /// Whether the member has accepted the state, so that it may keep serving under the previous version.
    pub(super) accepted: bool,
    /// Whether the member accepted the state, with a vote that counts, before the wait for leases began.
    pub(super) accepted_early: bool,
    /// Whether the member put the state in force after accepting it in this ballot, and so accepted it from no other
    /// proposer in between.
    pub(super) applied_from_ballot: bool,
    /// Whether the member needs the whole state to put it in force.
    pub(super) needs_state: bool,
    /// Replica that the member reported with its promise; 0 if its vote does not count.
    pub(super) replica: ReplicaId,
    /// What the member enforces before the group is formed, as reported with its promise.
    pub(super) enforced: Option<EnforcedState>,
    /// Why the last request failed or was refused.
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

    /// Resets the progress for a new phase. Late responses to requests of the previous phase are ignored by the
    /// proposer.
    pub(super) fn begin_phase(&mut self, now: Duration) {
        self.requested = false;
        self.not_before = now;
        self.answered = false;
        self.voted = false;
        self.vote_withheld = false;
        self.reason = None;
    }

    /// Whether the member's vote in the current phase is still to be asked for.
    pub(super) fn is_vote_missing(&self, quorum_reached: bool) -> bool {
        !self.answered || self.vote_withheld && !quorum_reached
    }

    pub(super) fn retry(&mut self, reason: String, at: Duration) {
        self.reason = Some(reason);
        self.not_before = at;
    }
}
