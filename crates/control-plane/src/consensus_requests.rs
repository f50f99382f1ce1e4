//! Requests of the group protocol (`wrenfork_consensus::protocol`), with this ingress as a member.

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

/// Maximum length in characters of a supervisor's reason; longer reasons are truncated.
const MAX_REASON_CHARS: usize = 300;
/// Event of an audit record about the group itself.
const GROUP_EVENT: &str = "group";
/// Event of an audit record about a program that failed to start serving.
const PROGRAM_EVENT: &str = "program";
/// Why an ingress without a group rejects a request of the group protocol.
const NO_GROUP: &str = "this ingress is not a member of a group";

/// The failpoint name of a request.
pub fn failpoint_name(request: &GroupRequest) -> &'static str {
    match request {
        GroupRequest::Prepare { .. } => "promise",
        GroupRequest::Accept { .. } => "accept",
        GroupRequest::Decided { .. } => "decided",
        _ => "other",
    }
}

/// The response to any group request if this ingress is not in a group.
pub fn no_group() -> GroupResponse {
    rejection(NO_GROUP)
}

fn rejection(reason: impl Into<String>) -> GroupResponse {
    GroupResponse::Rejected {
        reason: reason.into(),
    }
}

/// A change of the acceptor's state that must be written before it takes effect.
struct Change {
    member: PersistentState,
    response: GroupResponse,
    /// The participant's new state; `None` if the enforced state does not change.
    enforced: Option<ParticipantState>,
    record: Option<AuditRecord>,
}

impl<D: DataPlane> ControlState<D> {
    /// Executes a group request other than a lease renewal; `failpoint` is its failpoint name.
    pub fn handle_group(
        &mut self,
        request: GroupRequest,
        failpoint: &'static str,
    ) -> GroupResponse {
        let Some(member) = &mut self.member else {
            return no_group();
        };
        match request {
            GroupRequest::Tally => self.report_metrics(),
            GroupRequest::UpgradeTurn { version } if version == member.version() => {
                member.turn_version = version;
                GroupResponse::Acknowledged
            }
            GroupRequest::UpgradeTurn { .. } => {
                rejection("this member has another group state in force")
            }
            GroupRequest::ProgramUnfit { program, reason } => {
                self.record_unfit_program(program, &reason)
            }
            request => self.handle_as_acceptor(request, failpoint),
        }
    }

    /// Responds with the metrics by which a rollout compares members.
    fn report_metrics(&self) -> GroupResponse {
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

    /// Records a supervisor's report that a program failed to start serving on this ingress.
    fn record_unfit_program(&mut self, program: String, reason: &str) -> GroupResponse {
        let known = self.unfit_program.as_ref();
        if known.is_some_and(|unfit| is_same_program(&unfit.program, &program)) {
            // Keep the first reason: the supervisor repeats the report until it is acknowledged.
            return GroupResponse::Acknowledged;
        }
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let detail = format!("{program}: {reason}");
        self.data_plane
            .log(&audit_log::new_record(PROGRAM_EVENT, detail));
        self.unfit_program = Some(UnfitProgram { program, reason });
        GroupResponse::Acknowledged
    }

    /// Passes a request to the acceptor and carries out its result.
    fn handle_as_acceptor(
        &mut self,
        request: GroupRequest,
        failpoint: &'static str,
    ) -> GroupResponse {
        let Some(member) = &self.member else {
            return no_group();
        };
        let proposed = update_lease_for_request(member, &request);
        let may_vote = member.lease.manager().check_vote_eligibility();
        let data_plane = &self.data_plane;
        let check = |state: &_| {
            let result = data_plane.check(state);
            result.map_err(|error| NotEnforceable::new(error.to_string()))
        };
        match member.acceptor.handle(request, may_vote, check) {
            Step::Respond(response) => self.complete_group_response(response),
            Step::Persist {
                state,
                response,
                applies,
            } => {
                let change = match applies {
                    true => self.decided_change(*state, response),
                    false => Change {
                        member: *state,
                        response,
                        enforced: None,
                        record: proposed.map(|proposed| audit_log::accepted_record(&proposed)),
                    },
                };
                self.apply_group_change(change, failpoint)
            }
        }
    }

    /// The change that puts a decided group state into force.
    fn decided_change(&self, member: PersistentState, response: GroupResponse) -> Change {
        let previous = self.member.as_ref().and_then(GroupMember::state);
        let decided = member.group_state.as_deref();
        Change {
            enforced: decided.and_then(|state| self.participant_under(state)),
            record: decided
                .map(|state| audit_log::decided_record(state, previous.map(Arc::as_ref))),
            member,
            response,
        }
    }

    /// The participant's state under a group state; `None` if it enforces the same generation as before.
    fn participant_under(&self, state: &GroupState) -> Option<ParticipantState> {
        let (enforced, own_state) = state.enforced_by(&self.name)?;
        let current = self.participant.state();
        (enforced != current.enforced).then(|| ParticipantState {
            enforced,
            state: Arc::new(own_state),
            prepared: None,
            ..current.clone()
        })
    }

    /// Completes a response that changes no state: adds lease and program to a status, and records a rejection.
    fn complete_group_response(&mut self, response: GroupResponse) -> GroupResponse {
        if let Some(member) = &self.member {
            member.update_lease();
        }
        match response {
            GroupResponse::Status(status) => {
                GroupResponse::Status(Box::new(self.complete_status(*status)))
            }
            GroupResponse::Rejected { reason } => {
                let record = audit_log::rejection_record(reason);
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

    /// Writes a change, enforces it and returns the response.
    fn apply_group_change(&mut self, change: Change, failpoint: &'static str) -> GroupResponse {
        self.failpoints.hit(failpoint, "unwritten");
        let stored = self.durable.commit(&Update {
            member: Some(&change.member),
            participant: change.enforced.as_ref(),
            new_generation: change.enforced.is_some(),
            record: change.record.as_ref(),
        });
        let Some(member) = &mut self.member else {
            return no_group();
        };
        if let Err(error) = stored {
            member.update_lease();
            let reason = self.store_failure_reason(&error);
            return GroupResponse::Unavailable { reason };
        }
        self.failpoints.hit(failpoint, "written");
        member.acceptor.persisted(change.member);
        if let Some(enforced) = change.enforced {
            if let Err(error) = self.activate(enforced) {
                // The data plane has stopped, so the process exits and restarts with the state written above.
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

    /// Enforces a state that has already been written.
    fn activate(&mut self, enforced: ParticipantState) -> Result<(), DataPlaneError> {
        let state = enforced.state.clone();
        self.participant.persisted(enforced);
        self.forget_unwanted_unfit_program();
        self.data_plane.activate(&state)
    }

    /// Gives up this member's vote by taking a new replica id, because its folder is an older copy (other members have seen a
    /// later write). The known group state is kept.
    pub fn give_up_votes(&mut self) {
        let Some(member) = &mut self.member else {
            return;
        };
        let persistent = member.acceptor.state().with_new_replica(random_id());
        let detail = "the state folder is an older copy than other members have seen: it has no vote; restore the vote with wrenctl roster replace";
        let record = audit_log::new_record(GROUP_EVENT, detail);
        let stored = self.durable.commit(&Update {
            member: Some(&persistent),
            record: Some(&record),
            ..Update::default()
        });
        if stored.is_ok() {
            member.acceptor.persisted(persistent);
            member.update_lease();
            self.data_plane.log(&record);
        }
    }
}

/// Updates the lease manager before the acceptor handles a request. Returns the proposed group state of an accept request.
fn update_lease_for_request(
    member: &GroupMember,
    request: &GroupRequest,
) -> Option<Arc<GroupState>> {
    let now = clock::now();
    let mut manager = member.lease.manager();
    match request {
        // From here on, members that have not accepted the proposed state are granted no lease under the previous state. If this
        // member does not accept the proposal after all, `SharedLease::apply_state` lifts the block.
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
