//! What an ingress must not forget: its [`ParticipantState`], the generations that it enforced before, and a record of what was planned
//! and done. On a folder, where there is one; else for as long as the process lives.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::path::Path;
use std::sync::Arc;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::ReplicaId;
use wrenfork_consensus::protocol::Ballot;
use wrenfork_store::{Batch, RecordKind, Store};

/// Generations that are kept to be gone back to, on a disk and in memory.
const MOST_PAST: usize = 16;
const MOST_PAST_IN_MEMORY: usize = 4;
/// Records that are kept.
const MOST_RECORDS: usize = 1_000;

const MEMORY: &str = "memory";
const GROUP: &str = "group";
const DECREE: &str = "decree/";

/// A member's memory as it is stored: a decree may be of some megabytes, and is written once, not with each promise.
#[derive(Serialize, Deserialize)]
struct Stored {
    name: String,
    folder: ReplicaId,
    writes: u64,
    decree: Option<Digest>,
    promised: Ballot,
    accepted: Option<(Ballot, Digest)>,
}

fn decree_name(digest: &Digest) -> String {
    format!("{DECREE}{}", digest.0)
}

fn past_name(number: u64) -> String {
    format!("past/{number:020}")
}

fn record_name(number: u64) -> String {
    format!("{number:020}")
}

/// What is kept.
#[derive(Debug)]
pub struct Ledger {
    store: Option<Store>,
    closed: bool,
    memory: ParticipantState,
    /// Without a store: generations and records, the oldest first.
    past: VecDeque<(Generation, Arc<State>)>,
    records: VecDeque<AuditRecord>,
    /// The numbers of the records in the store.
    numbers: std::ops::Range<u64>,
}

impl Ledger {
    /// Opens a folder's, or begins one in memory. `first` is what is enforced where nothing was kept.
    ///
    /// # Errors
    ///
    /// Where the folder can't be used; see [`wrenfork_store::StoreError`].
    pub fn open(
        folder: Option<&Path>,
        first: impl FnOnce() -> ParticipantState,
    ) -> Result<Ledger, String> {
        let told = |e: wrenfork_store::StoreError| format!("state: {e}");
        let store = folder.map(Store::open).transpose().map_err(told)?;
        let kept = match &store {
            Some(store) => store.get(RecordKind::Control, MEMORY).map_err(told)?,
            None => None,
        };
        let last = match &store {
            Some(store) => store.list(RecordKind::Audit, MOST_RECORDS).map_err(told)?,
            None => Vec::new(),
        };
        let number = |row: Option<&(String, Vec<u8>)>| row.and_then(|r| r.0.parse::<u64>().ok());
        let numbers = number(last.first()).unwrap_or(0)..number(last.last()).map_or(0, |n| n + 1);
        let (past, records) = (VecDeque::new(), VecDeque::new());
        let mut ledger = Ledger {
            store,
            closed: false,
            memory: ParticipantState::default(),
            past,
            records,
            numbers,
        };
        match kept {
            Some(text) => {
                ledger.memory = serde_json::from_slice(&text)
                    .map_err(|e| format!("state: what is kept can't be read: {e}"))?;
                if ledger.memory.state.digest() != ledger.memory.enforced.digest {
                    return Err("state: what is kept does not have its own digest".into());
                }
            }
            None => {
                let memory = first();
                ledger.keep(&memory, true, None)?;
            }
        }
        Ok(ledger)
    }

    /// What is remembered.
    pub fn memory(&self) -> &ParticipantState {
        &self.memory
    }

    /// Keeps all of it, with the new generation where there is one, and a record; all or nothing.
    ///
    /// # Errors
    ///
    /// Where the disk refuses: nothing has changed then.
    pub fn keep(
        &mut self,
        memory: &ParticipantState,
        new: bool,
        record: Option<&AuditRecord>,
    ) -> Result<(), String> {
        if self.closed {
            return Err("it is stopping".into());
        }
        if let Some(store) = &self.store {
            let mut batch = Self::own(store, Batch::new(), memory, new)?;
            if let Some(record) = record {
                batch = self.with(batch, record)?;
            }
            store.commit(&batch).map_err(|e| e.to_string())?;
        }
        self.kept(memory, new);
        if let Some(record) = record {
            self.noted(record);
        }
        Ok(())
    }

    fn own(
        store: &Store,
        batch: Batch,
        memory: &ParticipantState,
        new: bool,
    ) -> Result<Batch, String> {
        let text = serde_json::to_vec(memory).map_err(|e| e.to_string())?;
        let mut batch = batch.put(RecordKind::Control, MEMORY, text);
        if new {
            let text = serde_json::to_vec(&(&memory.enforced, &memory.state))
                .map_err(|e| e.to_string())?;
            batch = batch.put(
                RecordKind::Control,
                &past_name(memory.enforced.number),
                text,
            );
            let kept = store
                .names(RecordKind::Control)
                .map_err(|e| e.to_string())?;
            let past: Vec<&String> = kept.iter().filter(|k| k.starts_with("past/")).collect();
            for old in past.iter().take((past.len() + 1).saturating_sub(MOST_PAST)) {
                batch = batch.delete(RecordKind::Control, old);
            }
        }
        Ok(batch)
    }

    fn kept(&mut self, memory: &ParticipantState, new: bool) {
        if self.store.is_none() && new {
            self.past
                .push_back((memory.enforced.clone(), memory.state.clone()));
            let surplus = self.past.len().saturating_sub(MOST_PAST_IN_MEMORY);
            self.past.drain(..surplus);
        }
        self.memory = memory.clone();
    }

    /// What this folder's member of a group must not forget; none where it never was one.
    ///
    /// # Errors
    ///
    /// Where the disk fails, or what is kept can't be read.
    pub fn member(&self) -> Result<Option<PersistentState>, String> {
        let Some(store) = &self.store else {
            return Ok(None);
        };
        let told = |e: &dyn std::fmt::Display| {
            format!("state: what is kept of the group can't be read: {e}")
        };
        let Some(text) = store
            .get(RecordKind::Control, GROUP)
            .map_err(|e| told(&e))?
        else {
            return Ok(None);
        };
        let stored: Stored = serde_json::from_slice(&text).map_err(|e| told(&e))?;
        let decree = |digest: &Digest| {
            let text = store
                .get(RecordKind::Control, &decree_name(digest))
                .map_err(|e| told(&e))?;
            let text = text.ok_or_else(|| told(&"a decree is missing"))?;
            let decree: GroupState = serde_json::from_slice(&text).map_err(|e| told(&e))?;
            decree.check().map_err(|e| told(&e))?;
            Ok::<_, String>(Arc::new(decree))
        };
        let Stored {
            name,
            folder,
            writes,
            promised,
            ..
        } = stored;
        let accepted = stored
            .accepted
            .as_ref()
            .map(|(ballot, d)| Ok((*ballot, decree(d)?)));
        let accepted = accepted.transpose().map_err(|e: String| e)?;
        let decree = stored.decree.as_ref().map(decree).transpose()?;
        // From which ballot the switch was made is not kept: whoever asks after a restart waits for leases instead.
        Ok(Some(PersistentState {
            name,
            replica: folder,
            writes,
            group_state: decree,
            accepted_in: None,
            promised,
            accepted,
        }))
    }

    /// Keeps what a member of a group must not forget, with what is enforced where that changes, and a record; all or nothing.
    ///
    /// # Errors
    ///
    /// Where the disk refuses: nothing has changed then.
    pub fn keep_member(
        &mut self,
        member: &PersistentState,
        own: Option<&ParticipantState>,
        record: Option<&AuditRecord>,
    ) -> Result<(), String> {
        if self.closed {
            return Err("it is stopping".into());
        }
        if let Some(store) = &self.store {
            let accepted = member.accepted.as_ref();
            let stored = Stored {
                name: member.name.clone(),
                folder: member.replica,
                writes: member.writes,
                decree: member.group_state.as_ref().map(|d| d.digest.clone()),
                promised: member.promised,
                accepted: accepted.map(|(ballot, d)| (*ballot, d.digest.clone())),
            };
            let text = serde_json::to_vec(&stored).map_err(|e| e.to_string())?;
            let mut batch = Batch::new().put(RecordKind::Control, GROUP, text);
            let kept = store
                .names(RecordKind::Control)
                .map_err(|e| e.to_string())?;
            let decrees: Vec<&Arc<GroupState>> = member
                .group_state
                .iter()
                .chain(accepted.map(|a| &a.1))
                .collect();
            let names: Vec<String> = decrees.iter().map(|d| decree_name(&d.digest)).collect();
            for (decree, name) in decrees
                .iter()
                .zip(&names)
                .filter(|(_, name)| !kept.contains(name))
            {
                batch = batch.put(
                    RecordKind::Control,
                    name,
                    serde_json::to_vec(decree).map_err(|e| e.to_string())?,
                );
            }
            for old in kept
                .iter()
                .filter(|k| k.starts_with(DECREE) && !names.contains(k))
            {
                batch = batch.delete(RecordKind::Control, old);
            }
            if let Some(own) = own {
                batch = Self::own(store, batch, own, true)?;
            }
            if let Some(record) = record {
                batch = self.with(batch, record)?;
            }
            store.commit(&batch).map_err(|e| e.to_string())?;
        }
        if let Some(own) = own {
            self.kept(own, true);
        }
        if let Some(record) = record {
            self.noted(record);
        }
        Ok(())
    }

    fn with(&self, batch: Batch, record: &AuditRecord) -> Result<Batch, String> {
        let text = serde_json::to_vec(record).map_err(|e| e.to_string())?;
        let mut batch = batch.put(RecordKind::Audit, &record_name(self.numbers.end), text);
        if self.numbers.end - self.numbers.start >= MOST_RECORDS as u64 {
            batch = batch.delete(RecordKind::Audit, &record_name(self.numbers.start));
        }
        Ok(batch)
    }

    fn noted(&mut self, record: &AuditRecord) {
        if self.store.is_some() {
            self.numbers.end += 1;
            self.numbers.start = self
                .numbers
                .start
                .max(self.numbers.end.saturating_sub(MOST_RECORDS as u64));
        } else {
            self.records.push_back(record.clone());
            let surplus = self.records.len().saturating_sub(MOST_RECORDS);
            self.records.drain(..surplus);
        }
    }

    /// Keeps a record.
    ///
    /// # Errors
    ///
    /// Where the disk refuses.
    pub fn note(&mut self, record: &AuditRecord) -> Result<(), String> {
        if self.closed {
            return Err("it is stopping".into());
        }
        if let Some(store) = &self.store {
            store
                .commit(&self.with(Batch::new(), record)?)
                .map_err(|e| e.to_string())?;
        }
        self.noted(record);
        Ok(())
    }

    /// A generation that was enforced here.
    ///
    /// # Errors
    ///
    /// Where the disk fails.
    pub fn past(&self, number: u64) -> Result<Option<(Generation, Arc<State>)>, String> {
        let Some(store) = &self.store else {
            return Ok(self.past.iter().find(|p| p.0.number == number).cloned());
        };
        let text = store
            .get(RecordKind::Control, &past_name(number))
            .map_err(|e| e.to_string())?;
        text.map(|t| serde_json::from_slice(&t).map_err(|e| e.to_string()))
            .transpose()
    }

    /// The last records, the oldest first.
    ///
    /// # Errors
    ///
    /// Where the disk fails.
    pub fn records(&self, most: usize) -> Result<Vec<AuditRecord>, String> {
        let Some(store) = &self.store else {
            let skip = self.records.len().saturating_sub(most);
            return Ok(self.records.iter().skip(skip).cloned().collect());
        };
        let rows = store
            .list(RecordKind::Audit, most.min(MOST_RECORDS))
            .map_err(|e| e.to_string())?;
        rows.into_iter()
            .map(|(_, t)| serde_json::from_slice(&t).map_err(|e| e.to_string()))
            .collect()
    }

    /// Closes the store: a later start need not mend it.
    pub fn close(&mut self) {
        self.closed = true;
        self.store = None;
    }
}

#[cfg(test)]
mod tests {
    use super::{
        Arc, AuditRecord, Ballot, Digest, GroupState, Ledger, ParticipantState, PersistentState,
        RecordKind, State, DECREE, MOST_PAST, MOST_RECORDS,
    };

    fn state(value: &str) -> State {
        State([("quota".to_string(), value.to_string())].into())
    }

    /// Guards against a generation, a record or a memory that is lost with a restart, and against a folder that grows.
    #[test]
    fn generations_and_records_outlive_a_restart_and_stay_bounded() {
        let folder = tempfile::tempdir().unwrap();
        let mut ledger =
            Ledger::open(Some(folder.path()), || ParticipantState::new(1, state("1"))).unwrap();
        for n in 2..40 {
            let record = AuditRecord {
                event: "made".into(),
                generation: n,
                ..AuditRecord::default()
            };
            ledger
                .keep(
                    &ParticipantState::new(n, state(&n.to_string())),
                    true,
                    Some(&record),
                )
                .unwrap();
        }
        for _ in 0..MOST_RECORDS {
            ledger
                .note(&AuditRecord {
                    event: "planned".into(),
                    ..AuditRecord::default()
                })
                .unwrap();
        }
        ledger.close();
        assert!(
            ledger.note(&AuditRecord::default()).is_err()
                && ledger
                    .keep(&ParticipantState::default(), true, None)
                    .is_err()
        );
        drop(ledger);
        let ledger = Ledger::open(Some(folder.path()), || unreachable!("it is kept")).unwrap();
        assert_eq!(ledger.memory().enforced.number, 39);
        assert_eq!(ledger.past(39).unwrap().unwrap().1, state("39").into());
        assert_eq!(
            ledger.past(39 - MOST_PAST as u64 + 1).unwrap().unwrap().1,
            state("24").into()
        );
        assert_eq!(ledger.past(23).unwrap(), None);
        assert_eq!(ledger.records(usize::MAX).unwrap().len(), MOST_RECORDS);
        assert!(ledger
            .records(3)
            .unwrap()
            .iter()
            .all(|r| r.event == "planned"));
    }

    /// Guards against a promise, or what was taken up, that a restart forgets, and against decrees that pile up.
    #[test]
    fn a_members_memory_outlives_a_restart_and_old_decrees_go() {
        use wrenfork_consensus::group_state::Policy;
        use wrenfork_consensus::membership::{Member, MemberRole as Of, Membership};
        let folder = tempfile::tempdir().unwrap();
        let seat = Member {
            name: "a".into(),
            replica: 7,
            role: Of::Ingress,
            votes: true,
        };
        let roster = Membership::new(1, 1_500, vec![seat]).unwrap();
        let states = [("a".to_string(), Arc::new(state("1")))].into();
        let mut decree = Arc::new(GroupState::new(
            1,
            1,
            Digest::default(),
            "ann",
            roster,
            Policy::from_states(&states),
        ));
        let mut ledger =
            Ledger::open(Some(folder.path()), || ParticipantState::new(1, state("1"))).unwrap();
        assert_eq!(ledger.member(), Ok(None));
        let mut member = PersistentState::new("a", 7);
        for n in 2..6 {
            let next = Arc::new(decree.unchanged_successor());
            let ballot = Ballot {
                round: n,
                proposer: 3,
            };
            let accepted = Some((ballot, next.clone()));
            member = PersistentState {
                group_state: Some(decree),
                accepted,
                promised: ballot,
                writes: n,
                ..member
            };
            ledger.keep_member(&member, None, None).unwrap();
            decree = next;
        }
        let own = ParticipantState::new(4, state("4"));
        ledger.keep_member(&member, Some(&own), None).unwrap();
        ledger.close();
        drop(ledger);
        let ledger = Ledger::open(Some(folder.path()), || unreachable!("it is kept")).unwrap();
        assert_eq!(ledger.member(), Ok(Some(member)));
        assert_eq!(ledger.memory(), &own);
        let names = ledger
            .store
            .as_ref()
            .unwrap()
            .names(RecordKind::Control)
            .unwrap();
        assert_eq!(names.iter().filter(|n| n.starts_with(DECREE)).count(), 2);
    }

    #[test]
    fn without_a_folder_the_last_ones_are_kept_in_memory() {
        let mut ledger = Ledger::open(None, || ParticipantState::new(1, state("1"))).unwrap();
        for n in 2..10 {
            ledger
                .keep(&ParticipantState::new(n, state(&n.to_string())), true, None)
                .unwrap();
        }
        assert_eq!(ledger.past(9).unwrap().unwrap().1, state("9").into());
        assert_eq!(ledger.past(5).unwrap(), None);
    }
}
