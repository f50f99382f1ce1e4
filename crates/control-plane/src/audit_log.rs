//! Audit log records: which change was prepared, committed, aborted, fenced or rejected, by whom and when.

use std::time::{SystemTime, UNIX_EPOCH};
use wrenfork_commit::participant::Participant;
use wrenfork_commit::protocol::{AuditRecord, CommitRequest, CommitResponse, CommitStatus};
use wrenfork_consensus::group_state::GroupState;

/// Prefix of the event of a rollout step's record.
pub const ROLLOUT_RECORD: &str = "rollout";

/// Event of a rejected request.
const REJECTED_EVENT: &str = "refused";
/// Event of a change that this ingress has voted for (prepared or accepted).
const PROMISED_EVENT: &str = "promised";
/// Event of a committed change.
const COMMITTED_EVENT: &str = "made";

/// The current Unix time in seconds.
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

/// Creates a record with the current time.
pub fn new_record(event: &str, detail: impl Into<String>) -> AuditRecord {
    AuditRecord {
        at: unix_seconds(),
        event: event.into(),
        detail: detail.into(),
        ..AuditRecord::default()
    }
}

/// Creates a record of a rejected group request.
pub fn rejection_record(reason: String) -> AuditRecord {
    new_record(REJECTED_EVENT, reason)
}

/// Creates the record of a request that prepares, fences or decides a change, without its outcome; `None` for other requests.
/// Author and generation are taken from the prepared vote that the request refers to.
pub fn record_of_request(
    request: &CommitRequest,
    participant: &Participant,
) -> Option<AuditRecord> {
    let prepared_vote = participant.state().prepared.as_ref().map(|p| &p.vote);
    let (change, vote) = match request {
        CommitRequest::Prepare { vote, .. } => (&vote.change, Some(vote)),
        CommitRequest::Decide { change, .. } | CommitRequest::Fence { change, .. } => {
            (change, prepared_vote.filter(|vote| vote.change == *change))
        }
        _ => return None,
    };
    Some(AuditRecord {
        at: unix_seconds(),
        change: change.clone(),
        author: vote.map_or_else(String::new, |vote| vote.author.clone()),
        generation: vote.map_or(0, |vote| vote.next.number),
        ..AuditRecord::default()
    })
}

/// Completes the record of a request that was rejected.
pub fn with_rejection(record: AuditRecord, reason: &str) -> AuditRecord {
    AuditRecord {
        event: REJECTED_EVENT.into(),
        detail: reason.into(),
        ..record
    }
}

/// Completes the record of a request that was carried out, with the event that the response implies.
pub fn with_outcome(record: AuditRecord, response: &CommitResponse) -> AuditRecord {
    let event = match response {
        CommitResponse::Prepared => PROMISED_EVENT,
        CommitResponse::ChangeStatus {
            status: CommitStatus::Committed,
            ..
        } => COMMITTED_EVENT,
        CommitResponse::ChangeStatus {
            status: CommitStatus::Aborted,
            ..
        } => "given up",
        _ => "fenced",
    };
    AuditRecord {
        event: event.into(),
        ..record
    }
}

/// Creates the record of a group state that this member has accepted.
pub fn accepted_record(state: &GroupState) -> AuditRecord {
    group_state_record(state, PROMISED_EVENT.into(), String::new())
}

/// Creates the record of a decided group state that replaces `previous`.
pub fn decided_record(state: &GroupState, previous: Option<&GroupState>) -> AuditRecord {
    let previous_step = previous.and_then(|previous| previous.rollout.as_deref());
    let step = state
        .rollout
        .as_deref()
        .filter(|step| previous_step != Some(*step));
    match step {
        Some(step) => {
            let event = format!("{ROLLOUT_RECORD}: {}", step.phase);
            group_state_record(state, event, step.reason.clone())
        }
        None => group_state_record(state, COMMITTED_EVENT.into(), String::new()),
    }
}

fn group_state_record(state: &GroupState, event: String, detail: String) -> AuditRecord {
    AuditRecord {
        at: unix_seconds(),
        event,
        author: state.author.clone(),
        change: state.change.clone(),
        generation: state.generation,
        detail,
    }
}
