//! The records of the audit log: who had what planned, promised, made, given up and rejected, and when.

use std::time::{SystemTime, UNIX_EPOCH};
use wrenfork_commit::participant::Participant;
use wrenfork_commit::protocol::{AuditRecord, CommitRequest, CommitResponse, CommitStatus};
use wrenfork_consensus::group_state::GroupState;

/// What the event of a rollout step's record begins with.
pub const ROLLOUT_RECORD: &str = "rollout";

/// The event of a record about a request that was rejected.
const REJECTED: &str = "refused";
/// The event of a record about a change that was promised.
const PROMISED: &str = "promised";
/// The event of a record about a change that is in force.
const MADE: &str = "made";

/// Seconds of Unix time.
pub fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}

/// A record of this moment.
pub fn record(event: &str, detail: impl Into<String>) -> AuditRecord {
    AuditRecord {
        at: unix_seconds(),
        event: event.into(),
        detail: detail.into(),
        ..AuditRecord::default()
    }
}

/// A record of a request of a group's member that was rejected.
pub fn rejection(reason: String) -> AuditRecord {
    record(REJECTED, reason)
}

/// The record of a request that prepares, fences or decides a change, without what came of it; none for other requests. Author
/// and generation are those of the promise that it is about.
pub fn record_of_request(
    request: &CommitRequest,
    participant: &Participant,
) -> Option<AuditRecord> {
    let promised = participant.state().prepared.as_ref().map(|p| &p.vote);
    let (change, promise) = match request {
        CommitRequest::Prepare { vote, .. } => (&vote.change, Some(vote)),
        CommitRequest::Decide { change, .. } | CommitRequest::Fence { change, .. } => {
            (change, promised.filter(|p| p.change == *change))
        }
        _ => return None,
    };
    Some(AuditRecord {
        at: unix_seconds(),
        change: change.clone(),
        author: promise.map_or_else(String::new, |p| p.author.clone()),
        generation: promise.map_or(0, |p| p.next.number),
        ..AuditRecord::default()
    })
}

/// The same record, of a request that was rejected.
pub fn rejected(record: AuditRecord, reason: &str) -> AuditRecord {
    AuditRecord {
        event: REJECTED.into(),
        detail: reason.into(),
        ..record
    }
}

/// The same record, of a request that was carried out and is answered so.
pub fn carried_out(record: AuditRecord, response: &CommitResponse) -> AuditRecord {
    let event = match response {
        CommitResponse::Prepared => PROMISED,
        CommitResponse::ChangeStatus {
            status: CommitStatus::Committed,
            ..
        } => MADE,
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

/// The record of a group's state that a member has accepted.
pub fn accepted(state: &GroupState) -> AuditRecord {
    of_group_state(state, PROMISED.into(), String::new())
}

/// The record of a group's state that is decided, after `before`.
pub fn decided(state: &GroupState, before: Option<&GroupState>) -> AuditRecord {
    let previous_step = before.and_then(|b| b.rollout.as_deref());
    let step = state
        .rollout
        .as_deref()
        .filter(|step| previous_step != Some(*step));
    match step {
        Some(step) => {
            let event = format!("{ROLLOUT_RECORD}: {}", step.phase);
            of_group_state(state, event, step.reason.clone())
        }
        None => of_group_state(state, MADE.into(), String::new()),
    }
}

fn of_group_state(state: &GroupState, event: String, detail: String) -> AuditRecord {
    AuditRecord {
        at: unix_seconds(),
        event,
        author: state.author.clone(),
        change: state.change.clone(),
        generation: state.generation,
        detail,
    }
}
