//! The requests of the protocol of changes (`wrenfork_commit::protocol`): status, history, and two-phase commit with this ingress
//! as a participant.

use crate::audit_log;
use crate::control_state::ControlState;
use crate::data_plane::DataPlane;
use crate::durable_state::Update;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::{AuditRecord, CommitRequest, CommitResponse};
use wrenfork_commit::reason::NotEnforceable;
use wrenfork_commit::step::Step;

/// Why a member of a group takes no part in two-phase commit.
const GROUP_DECIDES: &str =
    "it belongs to a group, which decides its changes: use a wrenctl that knows rosters";

/// The name of a request among the failpoints.
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

/// A change of what the participant remembers, to be written and then carried out.
struct Change {
    state: ParticipantState,
    response: CommitResponse,
    /// Whether another state is enforced after it.
    activates: bool,
}

impl<D: DataPlane> ControlState<D> {
    /// Carries out a request; `failpoint` is its name among the failpoints.
    pub fn handle(&mut self, request: CommitRequest, failpoint: &'static str) -> CommitResponse {
        match request {
            CommitRequest::FetchGeneration { generation } => self.recall(generation),
            CommitRequest::History { limit } => self.history(limit),
            CommitRequest::AppendRecord { record } => self.note(record),
            CommitRequest::Prepare { .. }
            | CommitRequest::Fence { .. }
            | CommitRequest::Decide { .. }
                if self.member.is_some() =>
            {
                rejection(GROUP_DECIDES)
            }
            request => self.take_part(request, failpoint),
        }
    }

    /// A generation that was enforced before.
    fn recall(&self, number: u64) -> CommitResponse {
        match self.durable.generation(number) {
            Ok(Some(past)) => CommitResponse::PastGeneration {
                generation: past.generation,
                state: past.state,
            },
            Ok(None) => rejection(format!("generation {number} is not kept here any more")),
            Err(error) => rejection(error.to_string()),
        }
    }

    /// The last records of the audit log.
    fn history(&self, limit: usize) -> CommitResponse {
        match self.durable.records(limit) {
            Ok(records) => CommitResponse::Records { records },
            Err(error) => rejection(error.to_string()),
        }
    }

    /// Keeps a record of what somebody did.
    fn note(&mut self, record: AuditRecord) -> CommitResponse {
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

    /// Has the participant take a request.
    fn take_part(&mut self, request: CommitRequest, failpoint: &'static str) -> CommitResponse {
        let record = audit_log::record_of_request(&request, &self.participant);
        let data_plane = &self.data_plane;
        let check = |state: &_| {
            let checked = data_plane.check(state);
            checked.map_err(|error| NotEnforceable::new(error.to_string()))
        };
        match self.participant.handle(request, check) {
            Step::Respond(response) => self.complete(response, record),
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
                self.carry_out(change, record, failpoint)
            }
        }
    }

    /// Completes a response that changes nothing: a status has the metrics, a rejection is recorded.
    fn complete(
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
                metrics: self.data_plane.figures(),
            },
            CommitResponse::Rejected { reason } => {
                if let Some(record) = record {
                    let record = audit_log::rejected(record, &reason);
                    self.log_and_append(&record);
                }
                CommitResponse::Rejected { reason }
            }
            response => response,
        }
    }

    /// Writes a change, enforces it, and gives the response.
    fn carry_out(
        &mut self,
        change: Change,
        record: Option<AuditRecord>,
        failpoint: &'static str,
    ) -> CommitResponse {
        let record = record.map(|record| audit_log::carried_out(record, &change.response));
        self.failpoints.hit(failpoint, "unwritten");
        let written = self.durable.commit(&Update {
            memory: Some(&change.state),
            new_generation: change.activates,
            record: record.as_ref(),
            ..Update::default()
        });
        if let Err(error) = written {
            // Nothing has happened, and all goes on as before.
            let reason = self.cannot_store(&error);
            return CommitResponse::Unavailable { reason };
        }
        self.failpoints.hit(failpoint, "written");
        self.participant.persisted(change.state);
        if change.activates {
            let state = &self.participant.state().state;
            if let Err(error) = self.data_plane.activate(state) {
                // The ingress ends; it starts again with what is written.
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
