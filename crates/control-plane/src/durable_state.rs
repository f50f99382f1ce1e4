//! State that an ingress must not lose: the enforced state and the prepared vote, past generations, its promises as a member of a
//! group, and the audit log. It is kept in the store of a folder if one is configured, otherwise in memory until the process
//! exits.

mod error;
mod rows;

pub use error::{DurableStateError, MemberError};
pub use rows::PastGeneration;

use rows::{AuditNumbers, Rows, MAX_AUDIT_RECORDS};
use std::collections::VecDeque;
use std::path::Path;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_store::Batch;

/// Maximum number of generations to keep without a folder.
const MAX_GENERATIONS_IN_MEMORY: usize = 4;

/// Values to write atomically.
#[derive(Clone, Copy, Debug, Default)]
pub struct Update<'a> {
    /// The participant's state: what is enforced and prepared.
    pub participant: Option<&'a ParticipantState>,
    /// Whether `participant` enforces a new generation, which is then kept for rollback.
    pub new_generation: bool,
    /// The group member's persistent state: what it has promised and accepted.
    pub member: Option<&'a PersistentState>,
    /// A record to append to the audit log.
    pub record: Option<&'a AuditRecord>,
}

/// The durable state of an ingress.
#[derive(Debug)]
pub struct DurableState {
    rows: Option<Rows>,
    closed: bool,
    participant: ParticipantState,
    /// Past generations, oldest first; used only without a folder.
    past: VecDeque<PastGeneration>,
    /// Audit records, oldest first; used only without a folder.
    records: VecDeque<AuditRecord>,
    audit_numbers: AuditNumbers,
}

impl DurableState {
    /// Opens the store of a folder, or keeps the state in memory without one. `initial` gives the state to enforce if nothing is
    /// stored yet.
    ///
    /// # Errors
    ///
    /// If the folder can't be opened, or the stored state can't be read.
    pub fn open(
        folder: Option<&Path>,
        initial: impl FnOnce() -> ParticipantState,
    ) -> Result<DurableState, DurableStateError> {
        let rows = folder.map(Rows::open).transpose()?;
        let stored = rows.as_ref().map(Rows::participant).transpose()?.flatten();
        let audit_numbers = rows.as_ref().map(Rows::audit_numbers).transpose()?;
        let mut durable = DurableState {
            rows,
            closed: false,
            participant: ParticipantState::default(),
            past: VecDeque::new(),
            records: VecDeque::new(),
            audit_numbers: audit_numbers.unwrap_or_default(),
        };
        match stored {
            Some(participant) => durable.participant = participant,
            None => durable.commit(&Update {
                participant: Some(&initial()),
                new_generation: true,
                ..Update::default()
            })?,
        }
        Ok(durable)
    }

    /// The participant's state: what is enforced and prepared.
    pub fn participant(&self) -> &ParticipantState {
        &self.participant
    }

    /// The persistent state of the group member that this folder belongs to; `None` if it never joined a group.
    ///
    /// # Errors
    ///
    /// If the store fails, or the stored state can't be read.
    pub fn member(&self) -> Result<Option<PersistentState>, DurableStateError> {
        match &self.rows {
            Some(rows) => rows.member(),
            None => Ok(None),
        }
    }

    /// Writes an update atomically.
    ///
    /// # Errors
    ///
    /// If the store fails or is closed. Nothing has changed then.
    pub fn commit(&mut self, update: &Update) -> Result<(), DurableStateError> {
        if self.closed {
            return Err(DurableStateError::Closed);
        }
        if let Some(rows) = &self.rows {
            let batch = rows.put_member(Batch::new(), update.member)?;
            let batch = rows.put_participant(batch, update.participant, update.new_generation)?;
            let batch = self.audit_numbers.put_record(batch, update.record)?;
            rows.commit(&batch)?;
        }
        if let Some(participant) = update.participant {
            self.set_participant(participant, update.new_generation);
        }
        if let Some(record) = update.record {
            self.keep_record(record);
        }
        Ok(())
    }

    /// Appends a record to the audit log.
    ///
    /// # Errors
    ///
    /// Same as [`DurableState::commit`].
    pub fn append_record(&mut self, record: &AuditRecord) -> Result<(), DurableStateError> {
        self.commit(&Update {
            record: Some(record),
            ..Update::default()
        })
    }

    fn set_participant(&mut self, participant: &ParticipantState, new_generation: bool) {
        if self.rows.is_none() && new_generation {
            self.past.push_back(PastGeneration {
                generation: participant.enforced.clone(),
                state: participant.state.clone(),
            });
            drop_oldest(&mut self.past, MAX_GENERATIONS_IN_MEMORY);
        }
        self.participant = participant.clone();
    }

    fn keep_record(&mut self, record: &AuditRecord) {
        if self.rows.is_some() {
            self.audit_numbers.advance();
            return;
        }
        self.records.push_back(record.clone());
        drop_oldest(&mut self.records, MAX_AUDIT_RECORDS);
    }

    /// A past generation, if it is still kept.
    ///
    /// # Errors
    ///
    /// If the store fails, or the stored generation can't be read.
    pub fn generation(&self, number: u64) -> Result<Option<PastGeneration>, DurableStateError> {
        match &self.rows {
            Some(rows) => rows.generation(number),
            None => {
                let mut past = self.past.iter();
                Ok(past.find(|p| p.generation.number == number).cloned())
            }
        }
    }

    /// The last `limit` records of the audit log, oldest first.
    ///
    /// # Errors
    ///
    /// If the store fails, or the stored records can't be read.
    pub fn records(&self, limit: usize) -> Result<Vec<AuditRecord>, DurableStateError> {
        match &self.rows {
            Some(rows) => rows.records(limit),
            None => {
                let skipped = self.records.len().saturating_sub(limit);
                Ok(self.records.iter().skip(skipped).cloned().collect())
            }
        }
    }

    /// Closes the store cleanly, so that the next start needs no recovery. Later writes fail.
    pub fn close(&mut self) {
        self.closed = true;
        self.rows = None;
    }
}

fn drop_oldest<T>(queue: &mut VecDeque<T>, limit: usize) {
    let surplus = queue.len().saturating_sub(limit);
    queue.drain(..surplus);
}

#[cfg(test)]
mod tests;
