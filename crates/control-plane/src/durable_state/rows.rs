//! The rows of the durable state in the store of a folder. A state of a group may be of some megabytes: it is a row of its own,
//! written once and not with each promise.

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

/// Records of the audit log that are kept.
pub const MAX_AUDIT_RECORDS: usize = 1_000;
/// Generations that are kept to be gone back to.
pub const MAX_GENERATIONS: usize = 16;

/// The row of what is enforced and promised.
const MEMORY_ROW: &str = "memory";
/// The row of what a member of a group has promised.
const MEMBER_ROW: &str = "group";
/// What the rows of a group's states begin with.
pub const GROUP_STATE_PREFIX: &str = "decree/";
/// What the rows of generations begin with.
const GENERATION_PREFIX: &str = "past/";

/// What a member of a group has promised, as it is stored: states of the group by their digests.
#[derive(Serialize, Deserialize)]
struct StoredMember {
    name: String,
    folder: ReplicaId,
    writes: u64,
    decree: Option<Digest>,
    promised: Ballot,
    accepted: Option<StoredProposal>,
}

/// An accepted proposal, as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredProposal(Ballot, Digest);

/// A generation that was enforced here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PastGeneration {
    /// Its number and digest.
    pub generation: Generation,
    /// What was enforced.
    pub state: Arc<State>,
}

/// A generation, as it is read.
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

/// The store of a folder.
#[derive(Debug)]
pub struct Rows(Store);

impl Rows {
    pub fn open(folder: &Path) -> Result<Rows, DurableStateError> {
        Ok(Rows(Store::open(folder)?))
    }

    pub fn commit(&self, batch: &Batch) -> Result<(), DurableStateError> {
        Ok(self.0.commit(batch)?)
    }

    /// What is enforced and promised.
    pub fn memory(&self) -> Result<Option<ParticipantState>, DurableStateError> {
        let Some(text) = self.0.get(RecordKind::Control, MEMORY_ROW)? else {
            return Ok(None);
        };
        let memory: ParticipantState =
            serde_json::from_slice(&text).map_err(DurableStateError::UnreadableMemory)?;
        if memory.state.digest() != memory.enforced.digest {
            return Err(DurableStateError::WrongDigest);
        }
        Ok(Some(memory))
    }

    /// Adds what is enforced and promised to a batch, and its generation where that is new; the oldest generations go.
    pub fn put_memory(
        &self,
        batch: Batch,
        memory: Option<&ParticipantState>,
        new_generation: bool,
    ) -> Result<Batch, DurableStateError> {
        let Some(memory) = memory else {
            return Ok(batch);
        };
        let text = serde_json::to_vec(memory)?;
        let batch = batch.put(RecordKind::Control, MEMORY_ROW, text);
        if !new_generation {
            return Ok(batch);
        }
        let text = serde_json::to_vec(&(&memory.enforced, &memory.state))?;
        let mut batch = batch.put(
            RecordKind::Control,
            &generation_row(memory.enforced.number),
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

    /// A generation, if it is stored.
    pub fn generation(&self, number: u64) -> Result<Option<PastGeneration>, DurableStateError> {
        let Some(text) = self.0.get(RecordKind::Control, &generation_row(number))? else {
            return Ok(None);
        };
        let StoredGeneration(generation, state) = serde_json::from_slice(&text)?;
        Ok(Some(PastGeneration { generation, state }))
    }

    /// What a member of a group has promised and accepted.
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
        let standing = stored.decree.as_ref();
        let group_state = standing
            .map(|digest| self.group_state(digest))
            .transpose()?;
        Ok(Some(PersistentState {
            name: stored.name,
            replica: stored.folder,
            writes: stored.writes,
            group_state,
            // From which ballot the switch was made is not stored: whoever needs it after a restart waits for leases instead.
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

    /// Adds what a member has promised and accepted to a batch, with the states of the group that it names; others go.
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
            folder: member.replica,
            writes: member.writes,
            decree: member
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
        let old = stored
            .iter()
            .filter(|name| name.starts_with(GROUP_STATE_PREFIX) && !rows.contains(name));
        for name in old {
            batch = batch.delete(RecordKind::Control, name);
        }
        Ok(batch)
    }

    /// The numbers of the records that are stored.
    pub fn audit_numbers(&self) -> Result<AuditNumbers, DurableStateError> {
        let rows = self.0.list(RecordKind::Audit, MAX_AUDIT_RECORDS)?;
        let number = |row: Option<&NamedRecord>| row.and_then(|r| r.name.parse::<u64>().ok());
        Ok(AuditNumbers {
            first: number(rows.first()).unwrap_or(0),
            next: number(rows.last()).map_or(0, |last| last + 1),
        })
    }

    /// The last records, the oldest first.
    pub fn records(&self, limit: usize) -> Result<Vec<AuditRecord>, DurableStateError> {
        let rows = self
            .0
            .list(RecordKind::Audit, limit.min(MAX_AUDIT_RECORDS))?;
        rows.into_iter()
            .map(|row| Ok(serde_json::from_slice(&row.bytes)?))
            .collect()
    }

    /// The names of the rows of a group's states.
    #[cfg(test)]
    pub fn group_state_rows(&self) -> Vec<String> {
        let mut names = self.0.names(RecordKind::Control).unwrap();
        names.retain(|name| name.starts_with(GROUP_STATE_PREFIX));
        names
    }
}

/// The numbers of the audit log's records in the store, each one higher than the one before.
#[derive(Clone, Copy, Debug, Default)]
pub struct AuditNumbers {
    /// The oldest record's.
    first: u64,
    /// The next record's.
    next: u64,
}

impl AuditNumbers {
    /// Adds a record to a batch; the oldest one goes where there are too many.
    pub fn put(
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

    /// A record was written.
    pub fn advance(&mut self) {
        self.next += 1;
        let oldest_kept = self.next.saturating_sub(MAX_AUDIT_RECORDS as u64);
        self.first = self.first.max(oldest_kept);
    }
}
