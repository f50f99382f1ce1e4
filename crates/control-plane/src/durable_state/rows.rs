//! The rows of the durable state in the store of a folder. A group state may be several megabytes long, so each one has its own
//! row, which is written once rather than with every promise.

use super::error::{DurableStateError, MemberError};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::ReplicaId;
use wrenfork_consensus::protocol::{AcceptedState, Ballot};
use wrenfork_store::{Batch, NamedRecord, RecordKind, Store};

/// Maximum number of audit records to keep.
pub const MAX_AUDIT_RECORDS: usize = 1_000;
/// Maximum number of generations to keep for rollback.
pub const MAX_GENERATIONS: usize = 16;

/// Row of the participant's state: what is enforced and prepared.
const PARTICIPANT_ROW: &str = "memory";
/// Row of the group member's persistent state.
const MEMBER_ROW: &str = "group";
/// Prefix of the rows of group states, followed by the digest.
pub const GROUP_STATE_PREFIX: &str = "decree/";
/// Prefix of the rows of past generations, followed by the zero-padded number.
const GENERATION_PREFIX: &str = "past/";

/// Stored form of a group member's persistent state. Group states are referenced by digest.
#[derive(Serialize, Deserialize)]
struct StoredMember {
    name: String,
    #[serde(rename = "folder")]
    replica: ReplicaId,
    writes: u64,
    #[serde(rename = "decree")]
    group_state: Option<Digest>,
    promised: Ballot,
    accepted: Option<StoredProposal>,
}

/// Stored form of an accepted proposal: its ballot and the digest of its group state.
#[derive(Serialize, Deserialize)]
struct StoredProposal(Ballot, Digest);

/// A generation that was enforced by this ingress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastGeneration {
    /// The generation's number and digest.
    pub generation: Generation,
    /// The state that was enforced.
    pub state: Arc<State>,
}

/// Stored form of a generation.
#[derive(Deserialize)]
struct StoredGeneration(Generation, Arc<State>);

fn group_state_row(digest: &Digest) -> String {
    format!("{GROUP_STATE_PREFIX}{}", digest.0)
}

fn generation_row(number: u64) -> String {
    format!("{GENERATION_PREFIX}{number:020}")
}

fn audit_row(number: u64) -> String {
    format!("{number:020}")
}

/// The rows of the durable state in a store.
#[derive(Debug)]
pub struct Rows(Store);

impl Rows {
    pub fn open(folder: &Path) -> Result<Rows, DurableStateError> {
        Ok(Rows(Store::open(folder)?))
    }

    pub fn commit(&self, batch: &Batch) -> Result<(), DurableStateError> {
        Ok(self.0.commit(batch)?)
    }

    /// Reads the participant's state and verifies its digest; `None` if nothing is stored.
    pub fn participant(&self) -> Result<Option<ParticipantState>, DurableStateError> {
        let Some(text) = self.0.get(RecordKind::Control, PARTICIPANT_ROW)? else {
            return Ok(None);
        };
        let participant: ParticipantState =
            serde_json::from_slice(&text).map_err(DurableStateError::UnreadableMemory)?;
        if participant.state.digest() != participant.enforced.digest {
            return Err(DurableStateError::WrongDigest);
        }
        Ok(Some(participant))
    }

    /// Adds the participant's state to a batch. With `new_generation`, also adds the enforced generation and deletes the oldest
    /// generations beyond [`MAX_GENERATIONS`].
    pub fn put_participant(
        &self,
        batch: Batch,
        participant: Option<&ParticipantState>,
        new_generation: bool,
    ) -> Result<Batch, DurableStateError> {
        let Some(participant) = participant else {
            return Ok(batch);
        };
        let text = serde_json::to_vec(participant)?;
        let batch = batch.put(RecordKind::Control, PARTICIPANT_ROW, text);
        if !new_generation {
            return Ok(batch);
        }
        let text = serde_json::to_vec(&(&participant.enforced, &participant.state))?;
        let mut batch = batch.put(
            RecordKind::Control,
            &generation_row(participant.enforced.number),
            text,
        );
        let names = self.0.names(RecordKind::Control)?;
        let mut generations: Vec<&String> = names
            .iter()
            .filter(|name| name.starts_with(GENERATION_PREFIX))
            .collect();
        let surplus = (generations.len() + 1).saturating_sub(MAX_GENERATIONS);
        generations.truncate(surplus);
        for oldest in generations {
            batch = batch.delete(RecordKind::Control, oldest);
        }
        Ok(batch)
    }

    /// Reads a past generation; `None` if it is not stored.
    pub fn generation(&self, number: u64) -> Result<Option<PastGeneration>, DurableStateError> {
        let Some(text) = self.0.get(RecordKind::Control, &generation_row(number))? else {
            return Ok(None);
        };
        let StoredGeneration(generation, state) = serde_json::from_slice(&text)?;
        Ok(Some(PastGeneration { generation, state }))
    }

    /// Reads the group member's persistent state; `None` if nothing is stored.
    pub fn member(&self) -> Result<Option<PersistentState>, DurableStateError> {
        Ok(self.read_member()?)
    }

    fn read_member(&self) -> Result<Option<PersistentState>, MemberError> {
        let Some(text) = self.0.get(RecordKind::Control, MEMBER_ROW)? else {
            return Ok(None);
        };
        let stored: StoredMember = serde_json::from_slice(&text)?;
        let accepted = match &stored.accepted {
            Some(StoredProposal(ballot, digest)) => Some(AcceptedState {
                ballot: *ballot,
                state: self.group_state(digest)?,
            }),
            None => None,
        };
        let current_digest = stored.group_state.as_ref();
        let group_state = current_digest
            .map(|digest| self.group_state(digest))
            .transpose()?;
        Ok(Some(PersistentState {
            name: stored.name,
            replica: stored.replica,
            writes: stored.writes,
            group_state,
            // The ballot of the last switch is not stored. After a restart, a proposer that needs this ballot waits
            // for leases to expire instead.
            accepted_in: None,
            promised: stored.promised,
            accepted,
        }))
    }

    fn group_state(&self, digest: &Digest) -> Result<Arc<GroupState>, MemberError> {
        let text = self.0.get(RecordKind::Control, &group_state_row(digest))?;
        let text = text.ok_or(MemberError::MissingGroupState)?;
        let state: GroupState = serde_json::from_slice(&text)?;
        state
            .check()
            .map_err(|error| MemberError::InvalidGroupState(error.to_string()))?;
        Ok(Arc::new(state))
    }

    /// Adds a member's persistent state and the group states that it references to a batch; other group states are deleted.
    pub fn put_member(
        &self,
        batch: Batch,
        member: Option<&PersistentState>,
    ) -> Result<Batch, DurableStateError> {
        let Some(member) = member else {
            return Ok(batch);
        };
        let accepted = member.accepted.as_ref();
        let stored = StoredMember {
            name: member.name.clone(),
            replica: member.replica,
            writes: member.writes,
            group_state: member
                .group_state
                .as_ref()
                .map(|state| state.digest.clone()),
            promised: member.promised,
            accepted: accepted.map(|a| StoredProposal(a.ballot, a.state.digest.clone())),
        };
        let batch = batch.put(
            RecordKind::Control,
            MEMBER_ROW,
            serde_json::to_vec(&stored)?,
        );
        let proposed = accepted.map(|a| &a.state);
        let needed: Vec<&Arc<GroupState>> = member.group_state.iter().chain(proposed).collect();
        self.put_group_states(batch, &needed)
    }

    fn put_group_states(
        &self,
        mut batch: Batch,
        needed: &[&Arc<GroupState>],
    ) -> Result<Batch, DurableStateError> {
        let stored = self.0.names(RecordKind::Control)?;
        let mut rows = Vec::with_capacity(needed.len());
        for state in needed {
            let row = group_state_row(&state.digest);
            if !stored.contains(&row) {
                batch = batch.put(RecordKind::Control, &row, serde_json::to_vec(state)?);
            }
            rows.push(row);
        }
        let unreferenced = stored
            .iter()
            .filter(|name| name.starts_with(GROUP_STATE_PREFIX) && !rows.contains(name));
        for name in unreferenced {
            batch = batch.delete(RecordKind::Control, name);
        }
        Ok(batch)
    }

    /// Reads the number range of the stored audit records.
    pub fn audit_numbers(&self) -> Result<AuditNumbers, DurableStateError> {
        let rows = self.0.list(RecordKind::Audit, MAX_AUDIT_RECORDS)?;
        let record_number =
            |row: Option<&NamedRecord>| row.and_then(|row| row.name.parse::<u64>().ok());
        Ok(AuditNumbers {
            first: record_number(rows.first()).unwrap_or(0),
            next: record_number(rows.last()).map_or(0, |last| last + 1),
        })
    }

    /// Reads the last `limit` audit records, oldest first.
    pub fn records(&self, limit: usize) -> Result<Vec<AuditRecord>, DurableStateError> {
        let rows = self
            .0
            .list(RecordKind::Audit, limit.min(MAX_AUDIT_RECORDS))?;
        rows.into_iter()
            .map(|row| Ok(serde_json::from_slice(&row.bytes)?))
            .collect()
    }

    /// The names of the rows that hold group states.
    #[cfg(test)]
    pub fn group_state_rows(&self) -> Vec<String> {
        let mut names = self.0.names(RecordKind::Control).unwrap();
        names.retain(|name| name.starts_with(GROUP_STATE_PREFIX));
        names
    }
}

/// The range of record numbers of the audit log in the store. Numbers are consecutive.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuditNumbers {
    /// Number of the oldest stored record.
    first: u64,
    /// Number for the next record.
    next: u64,
}

impl AuditNumbers {
    /// Adds a record to a batch, and deletes the oldest one if the log is full.
    pub fn put_record(
        &self,
        batch: Batch,
        record: Option<&AuditRecord>,
    ) -> Result<Batch, DurableStateError> {
        let Some(record) = record else {
            return Ok(batch);
        };
        let text = serde_json::to_vec(record)?;
        let batch = batch.put(RecordKind::Audit, &audit_row(self.next), text);
        Ok(if self.next - self.first >= MAX_AUDIT_RECORDS as u64 {
            batch.delete(RecordKind::Audit, &audit_row(self.first))
        } else {
            batch
        })
    }

    /// Updates the range after a record has been written.
    pub fn advance(&mut self) {
        self.next += 1;
        let oldest_kept = self.next.saturating_sub(MAX_AUDIT_RECORDS as u64);
        self.first = self.first.max(oldest_kept);
    }
}
