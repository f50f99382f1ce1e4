//! What an ingress must not forget: what it enforces and has promised, the generations that it enforced before, what it has
//! promised as a member of a group, and the audit log. In the store of a folder, where there is one; else in memory, for as long
//! as the process lives.

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

/// Generations before that are kept where there is no folder.
const MAX_GENERATIONS_IN_MEMORY: usize = 4;

/// What is to be written together: all of it or nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Update<'a> {
    /// What is enforced and promised here.
    pub memory: Option<&'a ParticipantState>,
    /// Whether `memory` enforces another generation than before, which is kept to be gone back to.
    pub new_generation: bool,
    /// What a member of a group has promised and accepted.
    pub member: Option<&'a PersistentState>,
    /// A record for the audit log.
    pub record: Option<&'a AuditRecord>,
}

/// The durable state of an ingress.
#[derive(Debug)]
pub struct DurableState {
    rows: Option<Rows>,
    closed: bool,
    memory: ParticipantState,
    /// Without a folder: generations and records, the oldest first.
    past: VecDeque<PastGeneration>,
    records: VecDeque<AuditRecord>,
    audit_numbers: AuditNumbers,
}

impl DurableState {
    /// Opens the store of a folder, or begins in memory without one. `first` is what is enforced where nothing is stored.
    ///
    /// # Errors
    ///
    /// Where the folder can't be used, or what is stored can't be read.
    pub fn open(
        folder: Option<&Path>,
        first: impl FnOnce() -> ParticipantState,
    ) -> Result<DurableState, DurableStateError> {
        let rows = folder.map(Rows::open).transpose()?;
        let stored = rows.as_ref().map(Rows::memory).transpose()?.flatten();
        let audit_numbers = rows.as_ref().map(Rows::audit_numbers).transpose()?;
        let mut durable = DurableState {
            rows,
            closed: false,
            memory: ParticipantState::default(),
            past: VecDeque::new(),
            records: VecDeque::new(),
            audit_numbers: audit_numbers.unwrap_or_default(),
        };
        match stored {
            Some(memory) => durable.memory = memory,
            None => durable.commit(&Update {
                memory: Some(&first()),
                new_generation: true,
                ..Update::default()
            })?,
        }
        Ok(durable)
    }

    /// What is enforced and promised here.
    pub fn memory(&self) -> &ParticipantState {
        &self.memory
    }

    /// What this folder's member of a group has promised and accepted; none where it never was one.
    ///
    /// # Errors
    ///
    /// Where the store fails, or what is stored can't be read.
    pub fn member(&self) -> Result<Option<PersistentState>, DurableStateError> {
        match &self.rows {
            Some(rows) => rows.member(),
            None => Ok(None),
        }
    }

    /// Writes an update.
    ///
    /// # Errors
    ///
    /// Where the store fails, or is closed: nothing has changed then.
    pub fn commit(&mut self, update: &Update) -> Result<(), DurableStateError> {
        if self.closed {
            return Err(DurableStateError::Closed);
        }
        if let Some(rows) = &self.rows {
            let batch = rows.put_member(Batch::new(), update.member)?;
            let batch = rows.put_memory(batch, update.memory, update.new_generation)?;
            let batch = self.audit_numbers.put(batch, update.record)?;
            rows.commit(&batch)?;
        }
        if let Some(memory) = update.memory {
            self.remember(memory, update.new_generation);
        }
        if let Some(record) = update.record {
            self.remember_record(record);
        }
        Ok(())
    }

    /// Writes a record alone.
    ///
    /// # Errors
    ///
    /// As [`DurableState::commit`].
    pub fn append_record(&mut self, record: &AuditRecord) -> Result<(), DurableStateError> {
        self.commit(&Update {
            record: Some(record),
            ..Update::default()
        })
    }

    fn remember(&mut self, memory: &ParticipantState, new_generation: bool) {
        if self.rows.is_none() && new_generation {
            self.past.push_back(PastGeneration {
                generation: memory.enforced.clone(),
                state: memory.state.clone(),
            });
            drop_oldest(&mut self.past, MAX_GENERATIONS_IN_MEMORY);
        }
        self.memory = memory.clone();
    }

    fn remember_record(&mut self, record: &AuditRecord) {
        if self.rows.is_some() {
            self.audit_numbers.advance();
            return;
        }
        self.records.push_back(record.clone());
        drop_oldest(&mut self.records, MAX_AUDIT_RECORDS);
    }

    /// A generation that was enforced here, if it is still kept.
    ///
    /// # Errors
    ///
    /// Where the store fails, or what is stored can't be read.
    pub fn generation(&self, number: u64) -> Result<Option<PastGeneration>, DurableStateError> {
        match &self.rows {
            Some(rows) => rows.generation(number),
            None => {
                let mut past = self.past.iter();
                Ok(past.find(|p| p.generation.number == number).cloned())
            }
        }
    }

    /// The last records of the audit log, the oldest first.
    ///
    /// # Errors
    ///
    /// Where the store fails, or what is stored can't be read.
    pub fn records(&self, limit: usize) -> Result<Vec<AuditRecord>, DurableStateError> {
        match &self.rows {
            Some(rows) => rows.records(limit),
            None => {
                let older = self.records.len().saturating_sub(limit);
                Ok(self.records.iter().skip(older).cloned().collect())
            }
        }
    }

    /// Closes the store, so that a later start need not repair it. Nothing can be written any more.
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
