//! Every stored and sent form of this package, byte for byte as the files under `tests/golden/` have it.
//!
//! The files are written by hand alone, when a form changes on purpose:
//! `cargo test -p wrenfork-consensus --test golden -- --ignored write_golden_files`

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;
use wrenfork_commit::protocol;
use wrenfork_commit::state::{Digest, State};
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::membership::{Member, MemberRole, Membership};
use wrenfork_consensus::protocol::{
    AcceptedState, Ballot, EnforcedState, GroupRequest, GroupResponse, GroupStatus, RenewalRequest,
    RenewalResponse, RenewalVerdict, ReplicaVersion,
};
use wrenfork_rollout::{
    difference, LatencyBucket, MemberMetrics, RequestCounts, Rollout, RolloutPhase, RolloutPolicy,
};

const BALLOT: Ballot = Ballot {
    round: 3,
    proposer: u64::MAX,
};

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

fn state(pairs: &[(&str, &str)]) -> Arc<State> {
    Arc::new(State(
        pairs
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
    ))
}

/// Names and values that a text form has to escape.
const ODD: &str = "b \"quoted\"\n\\ \u{fc}\u{200b}";

fn membership() -> Membership {
    let seat = |name: &str, folder, kind, votes| Member {
        name: name.into(),
        replica: folder,
        role: kind,
        votes,
    };
    let seats = vec![
        seat("a", 1, MemberRole::Ingress, true),
        seat(ODD, u64::MAX, MemberRole::Ingress, true),
        seat("w", 3, MemberRole::Witness, true),
        seat("z", 0, MemberRole::Ingress, false),
    ];
    Membership::new(7, 1_500, seats).unwrap()
}

fn states() -> BTreeMap<String, Arc<State>> {
    [
        ("a".to_string(), state(&[("k", "1"), ("discovery", "x")])),
        (ODD.to_string(), state(&[("k", "1"), ("gone", ODD)])),
        ("z".to_string(), state(&[("k", "1")])),
    ]
    .into()
}

fn base() -> GroupState {
    GroupState::new(
        4,
        2,
        Digest::of(b"change"),
        "ann \"the\" first\n",
        membership(),
        Policy::from_states(&states()),
    )
}

fn rollout(phase: RolloutPhase) -> Rollout {
    let change = |old: &Arc<State>, new: &Arc<State>| difference(old, new);
    Rollout {
        id: Digest::of(b"plan"),
        author: "bob".into(),
        policy: RolloutPolicy {
            min_watch_ms: 1_000,
            timeout_ms: 2_000,
            rollback_interval_ms: 3,
            max_unavailable: 4,
            regression_ppm: 5_000,
            false_alarm_ppm: 6_000,
        },
        stages: vec![vec!["a".into()], vec![ODD.into(), "z".into()]],
        changes: vec![
            change(
                &state(&[("discovery", "x")]),
                &state(&[("discovery", "y"), ("new", ODD)]),
            ),
            change(&state(&[("gone", ODD)]), &state(&[])),
        ],
        change_of: [("a".to_string(), 0), (ODD.to_string(), 1)].into(),
        phase,
        reason: "it is \"held\"".into(),
    }
}

fn phases() -> [RolloutPhase; 5] {
    [
        RolloutPhase::Active { stage: 0 },
        RolloutPhase::Paused { stage: 1 },
        RolloutPhase::RollingBack { remaining: 1 },
        RolloutPhase::RolledBack,
        RolloutPhase::Completed,
    ]
}

fn group_states() -> Vec<GroupState> {
    let mut all = vec![GroupState::default(), base(), base().unchanged_successor()];
    let smaller = membership().without_member("z").unwrap();
    all.push(base().with_membership("carl", smaller, BTreeMap::new()));
    let larger = membership()
        .with_member(Member {
            name: "y".into(),
            replica: 5,
            role: MemberRole::Ingress,
            votes: true,
        })
        .unwrap();
    all.push(base().with_membership(
        "carl",
        larger,
        [("y".to_string(), state(&[("k", "2")]))].into(),
    ));
    all.push(base().with_membership(
        "",
        membership().with_vote(ODD, None).unwrap(),
        BTreeMap::new(),
    ));
    for phase in phases() {
        all.push(base().with_rollout("bob", rollout(phase)).unwrap());
    }
    all
}

fn group_state() -> Arc<GroupState> {
    Arc::new(
        base()
            .with_rollout("bob", rollout(RolloutPhase::Active { stage: 0 }))
            .unwrap(),
    )
}

fn replica_version() -> ReplicaVersion {
    ReplicaVersion {
        writes: 9,
        incarnation: 8,
    }
}

fn accepted() -> AcceptedState {
    AcceptedState {
        ballot: BALLOT,
        state: group_state(),
    }
}

fn requests() -> Vec<GroupRequest> {
    let renew = |version, accepted| {
        GroupRequest::Renew(RenewalRequest {
            from: ODD.into(),
            replica: 3,
            replica_version: replica_version(),
            version,
            accepted,
        })
    };
    let digest = Digest::of(b"decree");
    vec![
        renew(0, None),
        renew(4, Some(digest.clone())),
        GroupRequest::Prepare {
            version: 5,
            ballot: BALLOT,
            candidate: None,
        },
        GroupRequest::Prepare {
            version: 5,
            ballot: BALLOT,
            candidate: Some(group_state()),
        },
        GroupRequest::Accept {
            ballot: BALLOT,
            state: group_state(),
        },
        GroupRequest::ProposerAlive {
            ballot: BALLOT,
            accepted_by: vec!["a".into(), ODD.into()],
        },
        GroupRequest::Decided {
            version: 5,
            digest: digest.clone(),
            state: None,
        },
        GroupRequest::Decided {
            version: 5,
            digest,
            state: Some(group_state()),
        },
        GroupRequest::Learn,
        GroupRequest::Status,
        GroupRequest::Tally,
        GroupRequest::UpgradeTurn { version: 4 },
        GroupRequest::ProgramUnfit {
            program: format!("r-1@{}", "1".repeat(64)),
            reason: "it ends \"at once\"".into(),
        },
    ]
}

fn tally() -> MemberMetrics {
    MemberMetrics {
        incarnation: 1,
        uptime_ms: 2,
        group_version: 3,
        version_at_start: 4,
        program: "p".into(),
        is_replacement: true,
        has_turn: true,
        unfit_reason: "why".into(),
        zone_group: "h".into(),
        cpu_us: 5,
        memory_kb: 6,
        requests: [(
            "chat/starter".to_string(),
            RequestCounts {
                weight: 1_000,
                total: 7,
                rejected: 2,
                failed: 1,
            },
        )]
        .into(),
        latencies: [(
            "chat".to_string(),
            [(100, 3), (200, 1)].map(LatencyBucket::from).into(),
        )]
        .into(),
    }
}

fn status() -> GroupStatus {
    GroupStatus {
        name: "a".into(),
        replica: 1,
        role: Some(MemberRole::Witness),
        version: 4,
        generation: 2,
        change: Digest::of(b"change"),
        digest: Digest::of(b"decree"),
        membership: membership(),
        promised: BALLOT,
        pending: Some(Digest::of(b"next")),
        rollout: Some(RolloutPhase::Paused { stage: 1 }),
        lease_ms: Some(700),
        vote_withheld: Some("too few".into()),
        running_program: Some("r-1".into()),
        wanted_program: Some("r-2".into()),
        may_upgrade: true,
    }
}

fn renewal_responses() -> Vec<GroupResponse> {
    let verdicts = [
        RenewalVerdict::Granted,
        RenewalVerdict::Pending,
        RenewalVerdict::Behind,
        RenewalVerdict::Ahead,
        RenewalVerdict::UnknownMember,
        RenewalVerdict::NoGroup,
        RenewalVerdict::DuplicateMember,
    ];
    verdicts
        .into_iter()
        .enumerate()
        .map(|(n, verdict)| {
            GroupResponse::Renewed(RenewalResponse {
                replica: 2,
                version: 4,
                last_seen: (n > 0).then(replica_version),
                verdict,
            })
        })
        .collect()
}

fn responses() -> Vec<GroupResponse> {
    let mut responses = renewal_responses();
    let decided = |from| GroupResponse::Decided {
        replica: 2,
        version: 5,
        accepted_in: from,
    };
    responses.extend([
        GroupResponse::Promised {
            replica: 2,
            accepted: None,
            enforced: None,
        },
        GroupResponse::Promised {
            replica: 2,
            accepted: Some(accepted()),
            enforced: Some(EnforcedState {
                generation: 4,
                state: state(&[("k", ODD)]),
            }),
        },
        GroupResponse::Accepted { replica: 2 },
        GroupResponse::HigherBallot { ballot: BALLOT },
        GroupResponse::OtherVersion {
            version: 6,
            digest: Digest::of(b"moved"),
        },
        decided(None),
        decided(Some(BALLOT)),
        GroupResponse::NeedState,
        GroupResponse::State { state: None },
        GroupResponse::State {
            state: Some(group_state()),
        },
        GroupResponse::Status(Box::default()),
        GroupResponse::Status(Box::new(status())),
        GroupResponse::Tallied(Box::default()),
        GroupResponse::Tallied(Box::new(tally())),
        GroupResponse::Acknowledged,
        GroupResponse::Rejected { reason: ODD.into() },
        GroupResponse::Unavailable {
            reason: "the disk is full".into(),
        },
    ]);
    responses
}

fn persistent_states() -> Vec<PersistentState> {
    let whole = PersistentState {
        name: ODD.into(),
        replica: 3,
        writes: 9,
        group_state: Some(Arc::new(base())),
        accepted_in: Some(BALLOT),
        promised: Ballot {
            round: 4,
            proposer: 1,
        },
        accepted: Some(accepted()),
    };
    vec![
        PersistentState::new("a", 1),
        whole.with_new_replica(77),
        whole,
    ]
}

fn json<T: Serialize>(values: &[T]) -> String {
    values.iter().fold(String::new(), |mut text, value| {
        writeln!(text, "{}", serde_json::to_string(value).unwrap()).unwrap();
        text
    })
}

fn files() -> Vec<(&'static str, String)> {
    vec![
        (
            "asks.jsonl",
            requests().iter().map(protocol::encode_line).collect(),
        ),
        (
            "says.jsonl",
            responses().iter().map(protocol::encode_line).collect(),
        ),
        ("decrees.jsonl", json(&group_states())),
        ("memory.jsonl", json(&persistent_states())),
        ("roster.jsonl", json(&[Membership::default(), membership()])),
    ]
}

#[test]
#[ignore = "writes the golden files; run it by hand when a form changes on purpose"]
fn write_golden_files() {
    for (name, text) in files() {
        std::fs::write(path(name), text).unwrap();
    }
}

#[test]
fn every_form_is_written_as_its_golden_file_has_it() {
    for (name, text) in files() {
        assert_eq!(text, golden(name), "{name}");
    }
}

fn assert_lines_round_trip<T>(name: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let text = golden(name);
    let found: Vec<T> = text
        .lines()
        .map(|line| protocol::decode_line(line).unwrap())
        .collect();
    assert_eq!(found, values, "{name}");
    assert_eq!(
        found.iter().map(protocol::encode_line).collect::<String>(),
        text,
        "{name}"
    );
}

#[test]
fn golden_lines_are_read_and_written_again_to_the_same_bytes() {
    assert_lines_round_trip("asks.jsonl", &requests());
    assert_lines_round_trip("says.jsonl", &responses());
}

fn assert_json_round_trips<T>(name: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let text = golden(name);
    let found: Vec<T> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(found, values, "{name}");
    assert_eq!(json(&found), text, "{name}");
}

#[test]
fn golden_records_are_read_and_written_again_to_the_same_bytes() {
    assert_json_round_trips("decrees.jsonl", &group_states());
    assert_json_round_trips("memory.jsonl", &persistent_states());
    assert_json_round_trips("roster.jsonl", &[Membership::default(), membership()]);
}

/// A digest is made over a text with the names of fields and types: a rename that reached it would part members of two
/// versions.
#[test]
fn every_golden_decree_still_has_the_digest_that_it_was_written_with() {
    for line in golden("decrees.jsonl").lines().skip(1) {
        let decree: GroupState = serde_json::from_str(line).unwrap();
        let roster_ok = decree.membership.check();
        assert_eq!(roster_ok, Ok(()));
        assert_eq!(decree.check(), Ok(()), "{line}");
    }
}

#[test]
fn records_of_an_older_program_that_leaves_fields_out_are_read() {
    let memory = r#"{"name":"a","folder":1,"writes":0,"decree":null,"promised":{"round":0,"by":0},"accepted":null}"#;
    let memory: PersistentState = serde_json::from_str(memory).unwrap();
    assert_eq!(memory, PersistentState::new("a", 1));
    let text = serde_json::to_string(&GroupStatus::default()).unwrap();
    assert!(text.ends_with(",\"turn\":false}"), "{text}");
    let older = text.replace(",\"turn\":false", "");
    assert_eq!(
        serde_json::from_str::<GroupStatus>(&older).unwrap(),
        GroupStatus::default()
    );
}
