//! What the requests at the control socket read and change. It is behind one mutex: requests are carried out one after the
//! other, except renewals of leases, which need the [`SharedLease`] alone.

use crate::data_plane::DataPlane;
use crate::durable_state::{DurableState, DurableStateError};
use crate::failpoints::Failpoints;
use crate::shared_lease::SharedLease;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use wrenfork_commit::participant::Participant;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_consensus::acceptor::Acceptor;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_rollout::{is_same_program, PROGRAM_KEY};

/// The state of the control plane.
pub struct ControlState<D> {
    /// The ingress's name.
    pub name: String,
    pub participant: Participant,
    /// What it is as a member of a group.
    pub member: Option<GroupMember>,
    pub durable: DurableState,
    pub data_plane: D,
    pub failpoints: Failpoints,
    /// The most bytes of a message.
    pub max_message_bytes: usize,
    /// A program that does not come into service here.
    pub unfit_program: Option<UnfitProgram>,
}

/// A member of a group.
pub struct GroupMember {
    pub acceptor: Acceptor,
    pub lease: Arc<SharedLease>,
    /// The version of the group's state that was stored when the process started.
    pub version_at_start: u64,
    /// The version under which it is this member's turn to change its program.
    pub turn_version: u64,
}

/// A program that does not come into service, and why.
pub struct UnfitProgram {
    pub program: String,
    pub reason: String,
}

impl GroupMember {
    /// The version of the group's state that stands; 0 where none does.
    pub fn version(&self) -> u64 {
        self.acceptor.state().version()
    }

    /// The group's state that stands.
    pub fn state(&self) -> Option<&Arc<GroupState>> {
        self.acceptor.state().group_state.as_ref()
    }

    /// Whether this member may change its program now: it is its turn, or no rollout is under way.
    pub fn may_change_program(&self) -> bool {
        let rollout = self.state().and_then(|state| state.rollout.as_deref());
        rollout.is_none_or(|rollout| rollout.phase.ended()) || self.turn_version == self.version()
    }

    /// The lease follows what the acceptor remembers.
    pub fn update_lease(&self) {
        self.lease.follow(self.acceptor.state());
    }
}

impl<D: DataPlane> ControlState<D> {
    /// The program that the enforced state names.
    pub fn wanted_program(&self) -> Option<&String> {
        self.participant.state().state.0.get(PROGRAM_KEY)
    }

    /// Why the wanted program does not come into service here, if it does not.
    pub fn unfit_reason(&self) -> Option<&str> {
        let unfit = self.unfit_program.as_ref()?;
        let wanted = self.wanted_program()?;
        is_same_program(wanted, &unfit.program).then_some(unfit.reason.as_str())
    }

    /// Forgets that a program does not come into service once it is not wanted any more: it may be tried anew.
    pub fn forget_unwanted_unfit_program(&mut self) {
        if self.unfit_reason().is_none() {
            self.unfit_program = None;
        }
    }

    /// The highest round of a ballot that this member has promised.
    pub fn promised_round(&self) -> u64 {
        self.member
            .as_ref()
            .map_or(0, |member| member.acceptor.state().promised.round)
    }

    /// Why a change is not made, where it can't be written.
    pub fn cannot_store(&self, error: &DurableStateError) -> String {
        format!("{} can't keep it: {error}", self.name)
    }

    /// Logs a record and appends it to the audit log; what can't be written is in the log alone.
    pub fn log_and_append(&mut self, record: &AuditRecord) {
        self.data_plane.log(record);
        let _ = self.durable.append_record(record);
    }
}

/// Locks the control state. A thread that panicked leaves it as it was between two steps, each of which is complete.
pub fn lock<D>(state: &Mutex<ControlState<D>>) -> MutexGuard<'_, ControlState<D>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
