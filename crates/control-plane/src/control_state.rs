//! The state that requests on the control socket read and change. One mutex protects it, so requests are executed one at a time,
//! except lease renewals, which need only the [`SharedLease`].

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

/// The state of the control plane, shared by its threads.
pub struct ControlState<D> {
    /// The ingress's name.
    pub name: String,
    pub participant: Participant,
    /// The ingress as a member of a group; `None` if it is not in one.
    pub member: Option<GroupMember>,
    pub durable: DurableState,
    pub data_plane: D,
    pub failpoints: Failpoints,
    /// Maximum size of a message in bytes.
    pub max_message_bytes: usize,
    /// A wanted program that failed to start serving on this ingress, as reported by the supervisor.
    pub unfit_program: Option<UnfitProgram>,
}

/// This ingress as a member of a group.
pub struct GroupMember {
    pub acceptor: Acceptor,
    pub lease: Arc<SharedLease>,
    /// The version of the group state that was stored when the process started.
    pub version_at_start: u64,
    /// The group state version under which this member was granted its turn to change its program; 0 if never.
    pub turn_version: u64,
}

/// A program that failed to start serving, and the reason.
pub struct UnfitProgram {
    pub program: String,
    pub reason: String,
}

impl GroupMember {
    /// The version of the group state in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.acceptor.state().version()
    }

    /// The group state in force.
    pub fn state(&self) -> Option<&Arc<GroupState>> {
        self.acceptor.state().group_state.as_ref()
    }

    /// Whether this member may change its program now: no rollout is under way, or this member has the turn.
    pub fn may_change_program(&self) -> bool {
        let rollout = self.state().and_then(|state| state.rollout.as_deref());
        rollout.is_none_or(|rollout| rollout.phase.ended()) || self.turn_version == self.version()
    }

    /// Updates the lease from the acceptor's state.
    pub fn update_lease(&self) {
        self.lease.apply_state(self.acceptor.state());
    }
}

impl<D: DataPlane> ControlState<D> {
    /// The program that the enforced state requires, if any.
    pub fn wanted_program(&self) -> Option<&String> {
        self.participant.state().state.0.get(PROGRAM_KEY)
    }

    /// Why the wanted program failed to start serving on this ingress; `None` if it has not failed.
    pub fn unfit_reason(&self) -> Option<&str> {
        let unfit = self.unfit_program.as_ref()?;
        let wanted = self.wanted_program()?;
        is_same_program(wanted, &unfit.program).then_some(unfit.reason.as_str())
    }

    /// Clears the failed program if it is no longer wanted, so that it may be tried again later.
    pub fn forget_unwanted_unfit_program(&mut self) {
        if self.unfit_reason().is_none() {
            self.unfit_program = None;
        }
    }

    /// The round of the highest ballot that this member has promised; 0 if the ingress is not in a group.
    pub fn promised_round(&self) -> u64 {
        self.member
            .as_ref()
            .map_or(0, |member| member.acceptor.state().promised.round)
    }

    /// The reason to respond with when a change can't be written to the durable state.
    pub fn store_failure_reason(&self, error: &DurableStateError) -> String {
        format!("{} can't store the change: {error}", self.name)
    }

    /// Writes a record to the process log and appends it to the audit log. If the append fails, it is only in the process log.
    pub fn log_and_append(&mut self, record: &AuditRecord) {
        self.data_plane.log(record);
        let _ = self.durable.append_record(record);
    }
}

/// Locks the control state. Ignores poisoning: each step of a request leaves the state consistent, so a panic of another thread
/// does no harm.
pub fn lock<D>(state: &Mutex<ControlState<D>>) -> MutexGuard<'_, ControlState<D>> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
