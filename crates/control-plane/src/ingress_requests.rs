//! Requests of the two-phase commit protocol (`wrenfork_commit::protocol`): status, history, and commits with this ingress as a
//! participant.

use crate::audit_log;
use crate::control_state::ControlState;
use crate::data_plane::DataPlane;
use crate::durable_state::Update;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::{AuditRecord, CommitRequest, CommitResponse};
use wrenfork_commit::reason::NotEnforceable;
use wrenfork_commit::step::Step;

/// Why a member of a group rejects requests of two-phase commit.
const MEMBER_OF_GROUP: &str =
    "this ingress is a member of a group, which decides its changes: use a wrenctl that supports rosters";

/// The failpoint name of a request.
pub fn failpoint_name(request: &CommitRequest) -> &'static str {
    match request {
        CommitRequest::Prepare { .. } => "prepare",
        CommitRequest::Fence { .. } => "fence",
        CommitRequest::Decide { .. } => "decide",
        _ => "other",
    }
}

fn rejection(reason: impl Into<String>) -> CommitResponse {
    CommitResponse::Rejected {
        reason: reason.into(),
    }
}

/// A change of the participant's state that must be written before it takes effect.
struct Change {
    state: ParticipantState,
    response: CommitResponse,
    /// Whether the change puts another state into force.
    activates: bool,
}

impl<D: DataPlane> ControlState<D> {
    /// Executes a request; `failpoint` is its failpoint name.
    pub fn handle(&mut self, request: CommitRequest, failpoint: &'static str) -> CommitResponse {
        match request {
            CommitRequest::FetchGeneration { generation } => self.fetch_generation(generation),
            CommitRequest::History { limit } => self.history(limit),
            CommitRequest::AppendRecord { record } => self.append_record(record),
            CommitRequest::Prepare { .. }
            | CommitRequest::Fence { .. }
            | CommitRequest::Decide { .. }
                if self.member.is_some() =>
            {
                rejection(MEMBER_OF_GROUP)
            }
            request => self.handle_as_participant(request, failpoint),
        }
    }

    /// Responds with a generation that was enforced before.
    fn fetch_generation(&self, number: u64) -> CommitResponse {
        match self.durable.generation(number) {
            Ok(Some(past)) => CommitResponse::PastGeneration {
                generation: past.generation,
                state: past.state,
            },
            Ok(None) => rejection(format!(
                "generation {number} is no longer stored on this ingress"
            )),
            Err(error) => rejection(error.to_string()),
        }
    }

    /// Responds with the last `limit` records of the audit log.
    fn history(&self, limit: usize) -> CommitResponse {
        match self.durable.records(limit) {
            Ok(records) => CommitResponse::Records { records },
            Err(error) => rejection(error.to_string()),
        }
    }

    /// Appends a client's record to the audit log, with the current time.
    fn append_record(&mut self, record: AuditRecord) -> CommitResponse {
        let record = AuditRecord {
            at: audit_log::unix_seconds(),
            ..record
        };
        self.data_plane.log(&record);
        match self.durable.append_record(&record) {
            Ok(()) => CommitResponse::Recorded,
            Err(error) => rejection(error.to_string()),
        }
    }

    /// Passes a request to the participant and carries out its result.
    fn handle_as_participant(
        &mut self,
        request: CommitRequest,
        failpoint: &'static str,
    ) -> CommitResponse {
        let record = audit_log::record_of_request(&request, &self.participant);
        let data_plane = &self.data_plane;
        let check = |state: &_| {
            let result = data_plane.check(state);
            result.map_err(|error| NotEnforceable::new(error.to_string()))
        };
        match self.participant.handle(request, check) {
            Step::Respond(response) => self.complete_response(response, record),
            Step::Persist {
                state,
                response,
                applies,
            } => {
                let change = Change {
                    state: *state,
                    response,
                    activates: applies,
                };
                self.apply_change(change, record, failpoint)
            }
        }
    }

    /// Completes a response that changes no state: adds the metrics to a status, and records a rejection.
    fn complete_response(
        &mut self,
        response: CommitResponse,
        record: Option<AuditRecord>,
    ) -> CommitResponse {
        match response {
            CommitResponse::Status {
                ingress,
                generation,
                state,
                prepared,
                ..
            } => CommitResponse::Status {
                ingress,
                generation,
                state,
                prepared,
                metrics: self.data_plane.ingress_metrics(),
            },
            CommitResponse::Rejected { reason } => {
                if let Some(record) = record {
                    let record = audit_log::with_rejection(record, &reason);
                    self.log_and_append(&record);
                }
                CommitResponse::Rejected { reason }
            }
            response => response,
        }
    }

    /// Writes a change, enforces it and returns the response.
    fn apply_change(
        &mut self,
        change: Change,
        record: Option<AuditRecord>,
        failpoint: &'static str,
    ) -> CommitResponse {
        let record = record.map(|record| audit_log::with_outcome(record, &change.response));
        self.failpoints.hit(failpoint, "unwritten");
        let stored = self.durable.commit(&Update {
            participant: Some(&change.state),
            new_generation: change.activates,
            record: record.as_ref(),
            ..Update::default()
        });
        if let Err(error) = stored {
            // Nothing has changed; the participant continues with its previous state.
            let reason = self.store_failure_reason(&error);
            return CommitResponse::Unavailable { reason };
        }
        self.failpoints.hit(failpoint, "written");
        self.participant.persisted(change.state);
        if change.activates {
            let state = &self.participant.state().state;
            if let Err(error) = self.data_plane.activate(state) {
                // The data plane has stopped, so the process exits and restarts with the state written above.
                return rejection(error.to_string());
            }
            self.failpoints.hit(failpoint, "switched");
        }
        if let Some(record) = record {
            self.data_plane.log(&record);
        }
        change.response
    }
}
