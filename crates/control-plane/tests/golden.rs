//! Byte-for-byte tests of the stored forms: the participant's state, past generations, the group member's persistent state, the
//! audit log, and the lease that is passed to the successor.
//!
//! The files in `golden/` are only written on request, by `cargo test -p wrenfork-control-plane --test golden -- --ignored`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::{AuditRecord, PreparedVote};
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::membership::{Member as GroupMember, MemberRole, Membership};
use wrenfork_consensus::protocol::{AcceptedState, Ballot};
use wrenfork_control_plane::durable_state::{DurableState, Update};
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_control_plane::{failpoints, PROGRAM_VARIABLE, REPLACEMENT_VARIABLE, ROLLOUT_RECORD};
use wrenfork_rollout::{Rollout, RolloutPhase, RolloutPolicy, ValueChange};
use wrenfork_store::{Batch, RecordKind, Store};

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn state(value: &str) -> State {
    let pairs = [("quota", value), ("text", "a \"quoted\" line\n")];
    State(pairs.map(|(k, v)| (k.to_string(), v.to_string())).into())
}

fn record(event: &str, generation: u64) -> AuditRecord {
    AuditRecord {
        at: 1_700_000_000 + generation,
        event: event.into(),
        author: "ann \"the first\"".into(),
        change: Digest("0123abcd".into()),
        generation,
        detail: format!("because of {generation}"),
    }
}

/// A participant's state with a prepared vote, ended changes and a fence.
fn participant() -> ParticipantState {
    let enforced = ParticipantState::new(3, state("3"));
    let next = state("4");
    let vote = PreparedVote {
        change: Digest("feed".into()),
        base: enforced.enforced.clone(),
        next: Generation {
            number: 4,
            digest: next.digest(),
        },
        author: "bob".into(),
        members: vec!["n0".into(), "n1".into()],
    };
    ParticipantState {
        prepared: Some((vote, Arc::new(next)).into()),
        ended: vec![
            (Digest("aa".into()), true).into(),
            (Digest("bb".into()), false).into(),
        ],
        fences: vec![(Digest("cc".into()), 17).into()],
        ..enforced
    }
}

/// A group state without a rollout.
fn group_state() -> GroupState {
    let member = |name: &str, replica, role, votes| GroupMember {
        name: name.into(),
        replica,
        role,
        votes,
    };
    let members = vec![
        member("n0", 7, MemberRole::Ingress, true),
        member("n1", 8, MemberRole::Ingress, false),
        member("w0", 9, MemberRole::Witness, true),
    ];
    let membership = Membership::new(2, 1_500, members).unwrap();
    let states: BTreeMap<String, Arc<State>> = [("n0", "3"), ("n1", "5")]
        .map(|(name, value)| (name.to_string(), Arc::new(state(value))))
        .into();
    GroupState::new(
        4,
        3,
        Digest("feed".into()),
        "ann",
        membership,
        Policy::from_states(&states),
    )
}

/// The given group state with an active rollout.
fn with_rollout(base: &GroupState) -> GroupState {
    let change = [(
        "quota".to_string(),
        ValueChange {
            old: Some("3".to_string()),
            new: Some("6".to_string()),
        },
    )];
    let rollout = Rollout {
        id: Digest("fade".into()),
        author: "carol".into(),
        policy: RolloutPolicy::default(),
        stages: vec![vec!["n0".into()], vec!["n1".into()]],
        changes: vec![change.into()],
        change_of: [("n0".to_string(), 0)].into(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: "its first stage".into(),
    };
    base.with_rollout("carol", rollout).unwrap()
}

fn member() -> PersistentState {
    let current = group_state();
    let accepted = Arc::new(with_rollout(&current));
    PersistentState {
        name: "n0".into(),
        replica: 7,
        writes: 12,
        group_state: Some(Arc::new(current)),
        accepted_in: None,
        promised: Ballot {
            round: 5,
            proposer: 6,
        },
        accepted: Some(AcceptedState {
            ballot: Ballot {
                round: 5,
                proposer: 3,
            },
            state: accepted,
        }),
    }
}

fn audit_records() -> [AuditRecord; 3] {
    [
        record("made", 2),
        record("planned", 3),
        record("promised", 4),
    ]
}

/// Everything in a folder's store, one line per record: kind, name and contents.
fn dump(folder: &Path) -> String {
    let store = Store::open(folder).unwrap();
    let mut text = String::new();
    for (kind, label) in [
        (RecordKind::Control, "control"),
        (RecordKind::Audit, "audit"),
    ] {
        let mut names = store.names(kind).unwrap();
        names.sort();
        for name in names {
            let bytes = store.get(kind, &name).unwrap().unwrap();
            let _ = writeln!(text, "{label} {name} {}", String::from_utf8(bytes).unwrap());
        }
    }
    text
}

/// Writes a first generation, a second one with a record, a separate record, and a third generation together with a member's
/// persistent state.
fn write_all(
    folder: &Path,
    first: State,
    second: State,
    third: &ParticipantState,
    member: &PersistentState,
    records: &[AuditRecord; 3],
) {
    let mut durable = DurableState::open(Some(folder), || ParticipantState::new(1, first)).unwrap();
    let second = ParticipantState::new(2, second);
    let enforces_second = Update {
        participant: Some(&second),
        new_generation: true,
        record: Some(&records[0]),
        ..Update::default()
    };
    durable.commit(&enforces_second).unwrap();
    durable.append_record(&records[1]).unwrap();
    let enforces_third = Update {
        participant: Some(third),
        new_generation: true,
        member: Some(member),
        record: Some(&records[2]),
    };
    durable.commit(&enforces_third).unwrap();
    durable.close();
}

fn full_store() -> String {
    let folder = tempfile::tempdir().unwrap();
    let (first, second) = (state("1"), state("2"));
    write_all(
        folder.path(),
        first,
        second,
        &participant(),
        &member(),
        &audit_records(),
    );
    dump(folder.path())
}

fn fresh_store() -> String {
    let folder = tempfile::tempdir().unwrap();
    let mut durable = DurableState::open(Some(folder.path()), empty_participant).unwrap();
    let member = PersistentState::new("n0", 7);
    let update = Update {
        member: Some(&member),
        ..Update::default()
    };
    durable.commit(&update).unwrap();
    durable.close();
    drop(durable);
    dump(folder.path())
}

fn empty_participant() -> ParticipantState {
    ParticipantState::new(1, State::default())
}

/// A lease of a member of a group, and that of a member that serves without a lease.
fn inherited_leases() -> [InheritedLease; 2] {
    let with_lease = InheritedLease {
        group_version: 300,
        expires_at: Some(Duration::new(70_000, 123_456_789)),
        admission_deadline: 70_000_123_456,
    };
    let without_lease = InheritedLease {
        group_version: 0,
        expires_at: None,
        admission_deadline: u64::MAX,
    };
    [with_lease, without_lease]
}

/// Names that are used outside this package: environment variables, the rollout event and failpoints.
fn names() -> String {
    let mut names = vec![
        PROGRAM_VARIABLE,
        REPLACEMENT_VARIABLE,
        ROLLOUT_RECORD,
        failpoints::VARIABLE,
    ];
    names.extend(failpoints::INGRESS_POINTS);
    names.extend(failpoints::GROUP_POINTS);
    names.join("\n") + "\n"
}

fn files() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        ("full-store.txt", full_store().into()),
        ("fresh-store.txt", fresh_store().into()),
        (
            "inherited.postcard",
            postcard::to_stdvec(&inherited_leases()).unwrap(),
        ),
        (
            "inherited.json",
            serde_json::to_vec(&inherited_leases()).unwrap(),
        ),
        ("names.txt", names().into()),
    ]
}

/// A folder whose store holds the records of a golden file.
fn folder_from_golden(name: &str) -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    let store = Store::open(folder.path()).unwrap();
    let text = fs::read_to_string(path(name)).unwrap();
    let mut batch = Batch::new();
    for line in text.lines() {
        let mut parts = line.splitn(3, ' ');
        let kind = match parts.next() {
            Some("control") => RecordKind::Control,
            _ => RecordKind::Audit,
        };
        let (name, record) = (parts.next().unwrap(), parts.next().unwrap());
        batch = batch.put(kind, name, record);
    }
    store.commit(&batch).unwrap();
    folder
}

#[test]
fn stored_forms_match_their_golden_files() {
    for (name, bytes) in files() {
        let golden = fs::read(path(name)).unwrap();
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(text, String::from_utf8_lossy(&golden), "{name}");
        assert_eq!(bytes, golden, "{name}");
    }
}

#[test]
fn golden_store_is_read_and_rewritten_unchanged() {
    let folder = folder_from_golden("full-store.txt");
    let durable = DurableState::open(Some(folder.path()), || {
        unreachable!("the store is not empty")
    })
    .unwrap();
    assert_eq!(durable.participant(), &participant());
    assert_eq!(durable.member().unwrap(), Some(member()));
    let records = durable.records(usize::MAX).unwrap();
    assert_eq!(records, audit_records());
    let past_state = |number| State::clone(&durable.generation(number).unwrap().unwrap().state);
    let rewritten = tempfile::tempdir().unwrap();
    write_all(
        rewritten.path(),
        past_state(1),
        past_state(2),
        durable.participant(),
        &durable.member().unwrap().unwrap(),
        &records.try_into().unwrap(),
    );
    let golden = fs::read_to_string(path("full-store.txt")).unwrap();
    assert_eq!(dump(rewritten.path()), golden);
}

#[test]
fn golden_store_of_a_new_member_is_read() {
    let folder = folder_from_golden("fresh-store.txt");
    let durable = DurableState::open(Some(folder.path()), || {
        unreachable!("the store is not empty")
    })
    .unwrap();
    assert_eq!(durable.participant(), &empty_participant());
    assert_eq!(
        durable.member().unwrap(),
        Some(PersistentState::new("n0", 7))
    );
}

#[test]
fn golden_inherited_lease_is_read_and_rewritten_unchanged() {
    let bytes = fs::read(path("inherited.postcard")).unwrap();
    let decoded: [InheritedLease; 2] = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(decoded, inherited_leases());
    assert_eq!(postcard::to_stdvec(&decoded).unwrap(), bytes);
}

#[test]
#[ignore = "writes the golden files: run by hand after an intended change of a stored form"]
fn write_the_golden_files() {
    for (name, bytes) in files() {
        fs::write(path(name), bytes).unwrap();
    }
}
