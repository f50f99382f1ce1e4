//! Checks every stored and sent format of this package byte for byte against the files under `tests/golden/`.
//!
//! The files are only rewritten on demand, when a format changes intentionally:
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

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read_golden(name: &str) -> String {
    std::fs::read_to_string(golden_path(name)).unwrap()
}

fn state(pairs: &[(&str, &str)]) -> Arc<State> {
    Arc::new(State(
        pairs
            .iter()
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .collect(),
    ))
}

/// Text with characters that must be escaped in a text format.
const SPECIAL_CHARS: &str = "b \"quoted\"\n\\ \u{fc}\u{200b}";

fn membership() -> Membership {
    let member = |name: &str, replica, role, votes| Member {
        name: name.into(),
        replica,
        role,
        votes,
    };
    let members = vec![
        member("a", 1, MemberRole::Ingress, true),
        member(SPECIAL_CHARS, u64::MAX, MemberRole::Ingress, true),
        member("w", 3, MemberRole::Witness, true),
        member("z", 0, MemberRole::Ingress, false),
    ];
    Membership::new(7, 1_500, members).unwrap()
}

fn states() -> BTreeMap<String, Arc<State>> {
    [
        ("a".to_string(), state(&[("k", "1"), ("discovery", "x")])),
        (
            SPECIAL_CHARS.to_string(),
            state(&[("k", "1"), ("gone", SPECIAL_CHARS)]),
        ),
        ("z".to_string(), state(&[("k", "1")])),
    ]
    .into()
}

fn base_state() -> GroupState {
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
        stages: vec![vec!["a".into()], vec![SPECIAL_CHARS.into(), "z".into()]],
        changes: vec![
            change(
                &state(&[("discovery", "x")]),
                &state(&[("discovery", "y"), ("new", SPECIAL_CHARS)]),
            ),
            change(&state(&[("gone", SPECIAL_CHARS)]), &state(&[])),
        ],
        change_of: [("a".to_string(), 0), (SPECIAL_CHARS.to_string(), 1)].into(),
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
    let mut all = vec![
        GroupState::default(),
        base_state(),
        base_state().unchanged_successor(),
    ];
    let smaller = membership().without_member("z").unwrap();
    all.push(base_state().with_membership("carl", smaller, BTreeMap::new()));
    let larger = membership()
        .with_member(Member {
            name: "y".into(),
            replica: 5,
            role: MemberRole::Ingress,
            votes: true,
        })
        .unwrap();
    all.push(base_state().with_membership(
        "carl",
        larger,
        [("y".to_string(), state(&[("k", "2")]))].into(),
    ));
    all.push(base_state().with_membership(
        "",
        membership().with_vote(SPECIAL_CHARS, None).unwrap(),
        BTreeMap::new(),
    ));
    for phase in phases() {
        all.push(base_state().with_rollout("bob", rollout(phase)).unwrap());
    }
    all
}

fn group_state() -> Arc<GroupState> {
    Arc::new(
        base_state()
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
            from: SPECIAL_CHARS.into(),
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
            accepted_by: vec!["a".into(), SPECIAL_CHARS.into()],
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

fn member_metrics() -> MemberMetrics {
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
    let decided = |accepted_in| GroupResponse::Decided {
        replica: 2,
        version: 5,
        accepted_in,
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
                state: state(&[("k", SPECIAL_CHARS)]),
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
        GroupResponse::Tallied(Box::new(member_metrics())),
        GroupResponse::Acknowledged,
        GroupResponse::Rejected {
            reason: SPECIAL_CHARS.into(),
        },
        GroupResponse::Unavailable {
            reason: "the disk is full".into(),
        },
    ]);
    responses
}

fn persistent_states() -> Vec<PersistentState> {
    let complete = PersistentState {
        name: SPECIAL_CHARS.into(),
        replica: 3,
        writes: 9,
        group_state: Some(Arc::new(base_state())),
        accepted_in: Some(BALLOT),
        promised: Ballot {
            round: 4,
            proposer: 1,
        },
        accepted: Some(accepted()),
    };
    vec![
        PersistentState::new("a", 1),
        complete.with_new_replica(77),
        complete,
    ]
}

fn json_lines<T: Serialize>(values: &[T]) -> String {
    values.iter().fold(String::new(), |mut text, value| {
        writeln!(text, "{}", serde_json::to_string(value).unwrap()).unwrap();
        text
    })
}

fn golden_files() -> Vec<(&'static str, String)> {
    vec![
        (
            "asks.jsonl",
            requests().iter().map(protocol::encode_line).collect(),
        ),
        (
            "says.jsonl",
            responses().iter().map(protocol::encode_line).collect(),
        ),
        ("decrees.jsonl", json_lines(&group_states())),
        ("memory.jsonl", json_lines(&persistent_states())),
        (
            "roster.jsonl",
            json_lines(&[Membership::default(), membership()]),
        ),
    ]
}

#[test]
#[ignore = "rewrites the golden files; run it only when a format changes intentionally"]
fn write_golden_files() {
    for (name, text) in golden_files() {
        std::fs::write(golden_path(name), text).unwrap();
    }
}

#[test]
fn every_format_is_written_as_in_its_golden_file() {
    for (name, text) in golden_files() {
        assert_eq!(text, read_golden(name), "{name}");
    }
}

fn assert_lines_round_trip<T>(name: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let text = read_golden(name);
    let decoded: Vec<T> = text
        .lines()
        .map(|line| protocol::decode_line(line).unwrap())
        .collect();
    assert_eq!(decoded, values, "{name}");
    assert_eq!(
        decoded
            .iter()
            .map(protocol::encode_line)
            .collect::<String>(),
        text,
        "{name}"
    );
}

#[test]
fn golden_messages_round_trip_to_the_same_bytes() {
    assert_lines_round_trip("asks.jsonl", &requests());
    assert_lines_round_trip("says.jsonl", &responses());
}

fn assert_json_round_trips<T>(name: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let text = read_golden(name);
    let decoded: Vec<T> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(decoded, values, "{name}");
    assert_eq!(json_lines(&decoded), text, "{name}");
}

#[test]
fn golden_records_round_trip_to_the_same_bytes() {
    assert_json_round_trips("decrees.jsonl", &group_states());
    assert_json_round_trips("memory.jsonl", &persistent_states());
    assert_json_round_trips("roster.jsonl", &[Membership::default(), membership()]);
}

/// The input of a digest has names of types and fields. Guards against a rename that changes this text: members that
/// run different program versions would reject each other's group states.
#[test]
fn golden_group_states_still_match_their_digests() {
    for line in read_golden("decrees.jsonl").lines().skip(1) {
        let group_state: GroupState = serde_json::from_str(line).unwrap();
        let membership_check = group_state.membership.check();
        assert_eq!(membership_check, Ok(()));
        assert_eq!(group_state.check(), Ok(()), "{line}");
    }
}

#[test]
fn records_without_fields_added_later_are_read() {
    let json_text = r#"{"name":"a","folder":1,"writes":0,"decree":null,"promised":{"round":0,"by":0},"accepted":null}"#;
    let state: PersistentState = serde_json::from_str(json_text).unwrap();
    assert_eq!(state, PersistentState::new("a", 1));
    let text = serde_json::to_string(&GroupStatus::default()).unwrap();
    assert!(text.ends_with(",\"turn\":false}"), "{text}");
    let older = text.replace(",\"turn\":false", "");
    assert_eq!(
        serde_json::from_str::<GroupStatus>(&older).unwrap(),
        GroupStatus::default()
    );
}
