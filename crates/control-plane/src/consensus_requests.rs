//! The requests of the protocol of groups (`wrenfork_consensus::protocol`), with this ingress as a member.

use crate::audit_log;
use crate::clock;
use crate::control_state::{ControlState, GroupMember, UnfitProgram};
use crate::data_plane::{DataPlane, DataPlaneError};
use crate::durable_state::Update;
use crate::shared_lease::random_id;
use std::sync::Arc;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::reason::NotEnforceable;
use wrenfork_consensus::acceptor::{PersistentState, Step};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse, GroupStatus};
use wrenfork_rollout::{is_same_program, MemberMetrics};

/// The most characters of a reason that is kept and passed on.
const MAX_REASON_CHARS: usize = 300;
/// The event of a record about the group itself.
const GROUP_RECORD: &str = "group";
/// The event of a record about a program that does not come into service.
const PROGRAM_RECORD: &str = "program";
/// Why a request of a group is rejected by an ingress that has none.
const NO_GROUP: &str = "this ingress belongs to no group";

/// The name of a request among the failpoints.
pub fn failpoint_name(request: &GroupRequest) -> &'static str {
    match request {
        GroupRequest::Prepare { .. } => "promise",
        GroupRequest::Accept { .. } => "accept",
        GroupRequest::Decided { .. } => "decided",
        _ => "other",
    }
}

/// The response of an ingress without a group.
pub fn no_group() -> GroupResponse {
    rejection(NO_GROUP)
}

fn rejection(reason: impl Into<String>) -> GroupResponse {
    GroupResponse::Rejected {
        reason: reason.into(),
    }
}

/// A change of what the acceptor remembers, to be written and then carried out.
struct Change {
    member: PersistentState,
    response: GroupResponse,
    /// What is enforced after it, where that is another state than before.
    enforced: Option<ParticipantState>,
    record: Option<AuditRecord>,
}

impl<D: DataPlane> ControlState<D> {
    /// Carries out a request that is no renewal of a lease; `failpoint` is its name among the failpoints.
    pub fn handle_group(
        &mut self,
        request: GroupRequest,
        failpoint: &'static str,
    ) -> GroupResponse {
        let Some(member) = &mut self.member else {
            return no_group();
        };
        match request {
            GroupRequest::Tally => self.tally(),
            GroupRequest::UpgradeTurn { version } if version == member.version() => {
                member.turn_version = version;
                GroupResponse::Acknowledged
            }
            GroupRequest::UpgradeTurn { .. } => rejection("another decree stands here"),
            GroupRequest::ProgramUnfit { program, reason } => {
                self.note_unfit_program(program, &reason)
            }
            request => self.take_part_in_group(request, failpoint),
        }
    }

    /// The counts by which a rollout compares members.
    fn tally(&self) -> GroupResponse {
        let Some(member) = &self.member else {
            return no_group();
        };
        let version = member.version();
        GroupResponse::Tallied(Box::new(MemberMetrics {
            group_version: version,
            version_at_start: member.version_at_start,
            has_turn: member.turn_version == version,
            unfit_reason: self.unfit_reason().unwrap_or_default().to_string(),
            ..self.data_plane.member_metrics()
        }))
    }

    /// A supervisor says that a program does not come into service here.
    fn note_unfit_program(&mut self, program: String, reason: &str) -> GroupResponse {
        let known = self.unfit_program.as_ref();
        if known.is_some_and(|unfit| is_same_program(&unfit.program, &program)) {
            // The first reason stands: it is said again until it has been heard.
            return GroupResponse::Acknowledged;
        }
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let why = format!("{program}: {reason}");
        self.data_plane.log(&audit_log::record(PROGRAM_RECORD, why));
        self.unfit_program = Some(UnfitProgram { program, reason });
        GroupResponse::Acknowledged
    }

    /// Has the acceptor take a request.
    fn take_part_in_group(
        &mut self,
        request: GroupRequest,
        failpoint: &'static str,
    ) -> GroupResponse {
        let Some(member) = &self.member else {
            return no_group();
        };
        let proposed = update_lease_before(member, &request);
        let may_vote = member.lease.manager().check_vote_eligibility();
        let data_plane = &self.data_plane;
        let check = |state: &_| {
            let result = data_plane.check(state);
            result.map_err(|error| NotEnforceable::new(error.to_string()))
        };
        match member.acceptor.handle(request, may_vote, check) {
            Step::Respond(response) => self.complete_group(response),
            Step::Persist {
                state,
                response,
                applies,
            } => {
                let change = match applies {
                    true => self.decided(*state, response),
                    false => Change {
                        member: *state,
                        response,
                        enforced: None,
                        record: proposed.map(|proposed| audit_log::accepted(&proposed)),
                    },
                };
                self.carry_out_in_group(change, failpoint)
            }
        }
    }

    /// The change by which a decided state of the group comes into force.
    fn decided(&self, member: PersistentState, response: GroupResponse) -> Change {
        let before = self.member.as_ref().and_then(GroupMember::state);
        let decided = member.group_state.as_deref();
        Change {
            enforced: decided.and_then(|state| self.enforced_under(state)),
            record: decided.map(|state| audit_log::decided(state, before.map(Arc::as_ref))),
            member,
            response,
        }
    }

    /// What the participant remembers once a state of the group is in force; none where it enforces the same as before.
    fn enforced_under(&self, state: &GroupState) -> Option<ParticipantState> {
        let (enforced, own_state) = state.enforced_by(&self.name)?;
        let before = self.participant.state();
        (enforced != before.enforced).then(|| ParticipantState {
            enforced,
            state: Arc::new(own_state),
            prepared: None,
            ..before.clone()
        })
    }

    /// Completes a response that changes nothing: a status has the lease and the program, a rejection is recorded.
    fn complete_group(&mut self, response: GroupResponse) -> GroupResponse {
        if let Some(member) = &self.member {
            member.update_lease();
        }
        match response {
            GroupResponse::Status(status) => {
                GroupResponse::Status(Box::new(self.complete_status(*status)))
            }
            GroupResponse::Rejected { reason } => {
                let record = audit_log::rejection(reason);
                self.log_and_append(&record);
                GroupResponse::Rejected {
                    reason: record.detail,
                }
            }
            response => response,
        }
    }

    fn complete_status(&self, status: GroupStatus) -> GroupStatus {
        let Some(member) = &self.member else {
            return status;
        };
        GroupStatus {
            lease_ms: member.lease.remaining_ms(),
            running_program: self.data_plane.running_program(),
            wanted_program: self.wanted_program().cloned(),
            may_upgrade: member.may_change_program(),
            ..status
        }
    }

    /// Writes a change, enforces it, and gives the response.
    fn carry_out_in_group(&mut self, change: Change, failpoint: &'static str) -> GroupResponse {
        self.failpoints.hit(failpoint, "unwritten");
        let written = self.durable.commit(&Update {
            member: Some(&change.member),
            memory: change.enforced.as_ref(),
            new_generation: change.enforced.is_some(),
            record: change.record.as_ref(),
        });
        let Some(member) = &mut self.member else {
            return no_group();
        };
        if let Err(error) = written {
            member.update_lease();
            let reason = self.cannot_store(&error);
            return GroupResponse::Unavailable { reason };
        }
        self.failpoints.hit(failpoint, "written");
        member.acceptor.persisted(change.member);
        if let Some(enforced) = change.enforced {
            if let Err(error) = self.activate(enforced) {
                // The ingress ends; it starts again with what is written.
                return rejection(error.to_string());
            }
            self.failpoints.hit(failpoint, "switched");
        }
        if let Some(member) = &self.member {
            member.update_lease();
        }
        if let Some(record) = change.record {
            self.data_plane.log(&record);
        }
        change.response
    }

    /// Enforces what is written already.
    fn activate(&mut self, enforced: ParticipantState) -> Result<(), DataPlaneError> {
        let state = enforced.state.clone();
        self.participant.persisted(enforced);
        self.forget_unwanted_unfit_program();
        self.data_plane.activate(&state)
    }

    /// Gives up the votes of this member's folder, which turned out to be an older copy; what it knows of the group stays.
    pub fn give_up_votes(&mut self) {
        let Some(member) = &mut self.member else {
            return;
        };
        let memory = member.acceptor.state().with_new_replica(random_id());
        let why = "the folder is an older copy of what others have seen: it has no vote; wrenctl roster replace gives it one";
        let record = audit_log::record(GROUP_RECORD, why);
        let written = self.durable.commit(&Update {
            member: Some(&memory),
            record: Some(&record),
            ..Update::default()
        });
        if written.is_ok() {
            member.acceptor.persisted(memory);
            member.update_lease();
            self.data_plane.log(&record);
        }
    }
}

/// Updates the lease before the acceptor takes a request; the state that is proposed to be accepted, if one is.
fn update_lease_before(member: &GroupMember, request: &GroupRequest) -> Option<Arc<GroupState>> {
    let now = clock::now();
    let mut manager = member.lease.manager();
    match request {
        // From here on nobody who has not accepted it is granted a lease under the state before; if it is not accepted after
        // all, `SharedLease::follow` takes that back.
        GroupRequest::Accept { ballot, state } if state.version == member.version() + 1 => {
            manager.block_grants(*ballot, &state.digest, now);
            Some(state.clone())
        }
        GroupRequest::ProposerAlive {
            ballot,
            accepted_by,
        } => {
            let accepted = member.acceptor.state().accepted.as_ref();
            if accepted.is_some_and(|accepted| accepted.ballot == *ballot) {
                manager.proposer_alive(*ballot, accepted_by, now);
            }
            None
        }
        _ => None,
    }
}
