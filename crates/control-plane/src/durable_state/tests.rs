//! Which durable state survives a restart, and which old rows are dropped.

use super::rows::{MAX_AUDIT_RECORDS, MAX_GENERATIONS};
use super::{DurableState, Update};
use std::path::Path;
use std::sync::Arc;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::{Digest, State};
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::membership::{Member as GroupMember, MemberRole, Membership};
use wrenfork_consensus::protocol::{AcceptedState, Ballot};

fn state(value: &str) -> State {
    State([("quota".to_string(), value.to_string())].into())
}

fn participant_at(number: u64) -> ParticipantState {
    ParticipantState::new(number, state(&number.to_string()))
}

fn open(folder: Option<&Path>) -> DurableState {
    DurableState::open(folder, || participant_at(1)).unwrap()
}

fn reopen(folder: &Path) -> DurableState {
    DurableState::open(Some(folder), || unreachable!("the store is not empty")).unwrap()
}

fn new_generation<'a>(
    participant: &'a ParticipantState,
    record: Option<&'a AuditRecord>,
) -> Update<'a> {
    Update {
        participant: Some(participant),
        new_generation: true,
        record,
        ..Update::default()
    }
}

fn record(event: &str, generation: u64) -> AuditRecord {
    AuditRecord {
        event: event.into(),
        generation,
        ..AuditRecord::default()
    }
}

#[test]
fn generations_and_audit_records_survive_a_restart_and_stay_bounded() {
    let folder = tempfile::tempdir().unwrap();
    let mut durable = open(Some(folder.path()));
    for number in 2..40 {
        let committed = record("made", number);
        let participant = participant_at(number);
        durable
            .commit(&new_generation(&participant, Some(&committed)))
            .unwrap();
    }
    for _ in 0..MAX_AUDIT_RECORDS {
        durable.append_record(&record("planned", 0)).unwrap();
    }
    durable.close();
    assert!(durable.append_record(&AuditRecord::default()).is_err());
    let default = ParticipantState::default();
    assert!(durable.commit(&new_generation(&default, None)).is_err());
    drop(durable);

    let durable = reopen(folder.path());
    assert_eq!(durable.participant().enforced.number, 39);
    let stored_generation = |number| durable.generation(number).unwrap();
    assert_eq!(stored_generation(39).unwrap().state, state("39").into());
    let oldest = 39 - MAX_GENERATIONS as u64 + 1;
    assert_eq!(stored_generation(oldest).unwrap().state, state("24").into());
    assert_eq!(stored_generation(23), None);
    assert_eq!(
        durable.records(usize::MAX).unwrap().len(),
        MAX_AUDIT_RECORDS
    );
    let last = durable.records(3).unwrap();
    assert!(last.iter().all(|record| record.event == "planned"));
}

fn first_group_state() -> GroupState {
    let member = GroupMember {
        name: "a".into(),
        replica: 7,
        role: MemberRole::Ingress,
        votes: true,
    };
    let membership = Membership::new(1, 1_500, vec![member]).unwrap();
    let states = [("a".to_string(), Arc::new(state("1")))].into();
    let policy = Policy::from_states(&states);
    GroupState::new(1, 1, Digest::default(), "ann", membership, policy)
}

#[test]
fn member_state_survives_a_restart_and_unreferenced_group_states_are_deleted() {
    let folder = tempfile::tempdir().unwrap();
    let mut group_state = Arc::new(first_group_state());
    let mut durable = open(Some(folder.path()));
    assert_eq!(durable.member().unwrap(), None);
    let mut member = PersistentState::new("a", 7);
    for round in 2..6 {
        let next = Arc::new(group_state.unchanged_successor());
        let ballot = Ballot { round, proposer: 3 };
        member = PersistentState {
            group_state: Some(group_state),
            accepted: Some(AcceptedState {
                ballot,
                state: next.clone(),
            }),
            promised: ballot,
            writes: round,
            ..member
        };
        let update = Update {
            member: Some(&member),
            ..Update::default()
        };
        durable.commit(&update).unwrap();
        group_state = next;
    }
    let enforced = participant_at(4);
    let update = Update {
        member: Some(&member),
        ..new_generation(&enforced, None)
    };
    durable.commit(&update).unwrap();
    durable.close();
    drop(durable);

    let durable = reopen(folder.path());
    assert_eq!(durable.member().unwrap(), Some(member));
    assert_eq!(durable.participant(), &enforced);
    let rows = durable.rows.as_ref().unwrap();
    assert_eq!(rows.group_state_rows().len(), 2);
}

#[test]
fn latest_generations_are_kept_in_memory_without_a_folder() {
    let mut durable = open(None);
    for number in 2..10 {
        let participant = participant_at(number);
        durable.commit(&new_generation(&participant, None)).unwrap();
    }
    let last = durable.generation(9).unwrap().unwrap();
    assert_eq!(last.state, state("9").into());
    assert_eq!(durable.generation(5).unwrap(), None);
}
