//! Compares every stored and sent format of this package byte for byte with the files under `tests/golden/`.
//!
//! The files are only rewritten by hand, when a format changes on purpose:
//! `cargo test -p wrenfork-commit --test golden -- --ignored write_golden_files`

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;
use wrenfork_commit::metrics::{IngressMetrics, ObservedNode, PlanUsage};
use wrenfork_commit::participant::{EndedChange, Fence, ParticipantState, PreparedChange};
use wrenfork_commit::plan::{Danger, IngressSnapshot, Plan, PlanHeader};
use wrenfork_commit::protocol::{
    self, AuditRecord, Ballot, CommitRequest, CommitResponse, CommitStatus, PreparedVote,
};
use wrenfork_commit::state::{differences, Difference, Digest, Generation, State};

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn read_golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

/// A state with keys of different kinds and with characters that need escaping.
fn state(value: &str) -> Arc<State> {
    let pairs = [
        ("accounts.7", "business"),
        ("contracts.0.name", "starter \"one\"\n\u{fc}"),
        ("contracts.0.quota_rate", value),
    ];
    Arc::new(State(
        pairs
            .map(|(k, v)| (k.to_string(), v.to_string()))
            .into_iter()
            .collect(),
    ))
}

fn generation(number: u64, value: &str) -> Generation {
    Generation {
        number,
        digest: state(value).digest(),
    }
}

fn vote() -> PreparedVote {
    PreparedVote {
        change: Digest::of(b"change"),
        base: generation(3, "8"),
        next: generation(4, "4"),
        author: "ann \"the\" first\n".into(),
        members: vec!["n0".into(), "n1".into()],
    }
}

fn metrics() -> IngressMetrics {
    let usage = PlanUsage {
        customers: 2,
        rate: 6.5,
        open_attempts: 3,
    };
    let node = |name: &str, ejected_for: &[&str]| ObservedNode {
        name: name.into(),
        zone_group: "hall-1".into(),
        model: "m2".into(),
        group: 9,
        accepting: ejected_for.is_empty(),
        ejected_for: ejected_for.iter().map(|class| class.to_string()).collect(),
    };
    IngressMetrics {
        received: 10,
        served: 7,
        rejected: 2,
        failed: 1,
        plans: [("starter".to_string(), usage)].into(),
        nodes: vec![node("node-a", &[]), node("node-b", &["chat", "batch"])],
    }
}

fn record() -> AuditRecord {
    AuditRecord {
        at: 1_700_000_000,
        event: "given up".into(),
        author: "ann".into(),
        change: Digest::of(b"change"),
        generation: 4,
        detail: "n1: the disk is full".into(),
    }
}

fn requests() -> Vec<CommitRequest> {
    let change = Digest::of(b"change");
    vec![
        CommitRequest::Status,
        CommitRequest::Prepare {
            vote: vote(),
            ballot: u64::MAX,
            state: state("4"),
        },
        CommitRequest::Fence {
            change: change.clone(),
            ballot: 7,
        },
        CommitRequest::Decide {
            change: change.clone(),
            ballot: 0,
            commit: true,
        },
        CommitRequest::Decide {
            change,
            ballot: 1,
            commit: false,
        },
        CommitRequest::FetchGeneration { generation: 3 },
        CommitRequest::History { limit: 7 },
        CommitRequest::AppendRecord { record: record() },
        CommitRequest::AppendRecord {
            record: AuditRecord::default(),
        },
    ]
}

fn responses() -> Vec<CommitResponse> {
    let change_statuses = [
        CommitStatus::Unknown,
        CommitStatus::Prepared,
        CommitStatus::Committed,
        CommitStatus::Aborted,
    ]
    .map(|status| CommitResponse::ChangeStatus {
        change: Digest::of(b"change"),
        status,
    });
    let status = |prepared: Option<PreparedVote>, metrics| CommitResponse::Status {
        ingress: "n0".into(),
        generation: generation(3, "8"),
        state: state("8"),
        prepared,
        metrics,
    };
    let mut responses = vec![
        status(Some(vote()), metrics()),
        status(None, IngressMetrics::default()),
        CommitResponse::Prepared,
        CommitResponse::Rejected {
            reason: "it has \"moved\"".into(),
        },
        CommitResponse::Unavailable {
            reason: "the disk is full".into(),
        },
        CommitResponse::PastGeneration {
            generation: generation(2, "9"),
            state: state("9"),
        },
        CommitResponse::Records {
            records: vec![record(), AuditRecord::default()],
        },
        CommitResponse::Recorded,
    ];
    responses.extend(change_statuses);
    responses
}

fn ended(change: &[u8], committed: bool) -> EndedChange {
    EndedChange {
        change: Digest::of(change),
        committed,
    }
}

fn fence(change: &[u8], ballot: Ballot) -> Fence {
    Fence {
        change: Digest::of(change),
        ballot,
    }
}

fn participant_states() -> Vec<ParticipantState> {
    vec![
        ParticipantState::default(),
        ParticipantState::new(1, state("8")),
        ParticipantState {
            enforced: generation(3, "8"),
            state: state("8"),
            prepared: Some(PreparedChange {
                vote: vote(),
                state: state("4"),
            }),
            ended: vec![ended(b"one", true), ended(b"two", false)],
            fences: vec![fence(b"change", 5), fence(b"other", u64::MAX)],
        },
    ]
}

fn plan() -> Plan {
    let snapshot = |name: &str, number: u64, value: &str| IngressSnapshot {
        ingress: name.into(),
        control: format!("/run/{name}"),
        base: generation(number, value),
        current: state(value),
        wanted: state("4"),
        usage: [(
            "starter \"one\"\n\u{fc}".to_string(),
            PlanUsage {
                customers: 1,
                rate: 6.5,
                open_attempts: 2,
            },
        )]
        .into(),
        extra_dangers: vec![Danger {
            key: "sends".into(),
            description: "found \"besides\"".into(),
        }],
    };
    let mut plan = Plan::make(
        PlanHeader {
            author: "ann".into(),
            made_at: 1_700_000_000_000_000,
            valid_for: 600,
        },
        vec![snapshot("n0", 3, "8"), snapshot("n1", 5, "9")],
    )
    .unwrap();
    plan.groups = vec![[("n0", "/run/n0"), ("w0", "/run/w0")]
        .map(|(k, v)| (k.to_string(), v.to_string()))
        .into()];
    plan
}

fn plans() -> Vec<Plan> {
    let mut without_groups = plan().restricted_to(|target| target.ingress == "n0");
    without_groups.groups.clear();
    vec![plan(), without_groups]
}

fn all_differences() -> Vec<Vec<Difference>> {
    let state = |pairs: &[(&str, &str)]| {
        State(
            pairs
                .iter()
                .map(|(k, v)| (k.to_string(), v.to_string()))
                .collect(),
        )
    };
    vec![
        differences(
            &state(&[("a", "1"), ("b", "2"), ("c", "3")]),
            &state(&[("b", "2"), ("c", "4"), ("d", "5")]),
        ),
        differences(&State::default(), &State::default()),
    ]
}

fn json_lines<T: Serialize>(values: &[T]) -> String {
    values.iter().fold(String::new(), |mut text, value| {
        writeln!(text, "{}", serde_json::to_string(value).unwrap()).unwrap();
        text
    })
}

fn digests() -> String {
    let mut text = String::new();
    for state in [State::default(), State::clone(&state("8"))] {
        writeln!(text, "{}\n{}", state.digest().0, state.canonical()).unwrap();
    }
    for plan in plans() {
        writeln!(text, "{}", plan.id().0).unwrap();
    }
    text
}

/// Replaces the protocol version in each line by the oldest one; the rest of a line is the same in both versions.
fn with_oldest_version(lines: &str) -> String {
    lines.replace(
        &format!("{{\"v\":{},", protocol::VERSION),
        &format!("{{\"v\":{},", protocol::OLDEST_VERSION),
    )
}

fn files() -> Vec<(&'static str, String)> {
    let request_lines: String = requests().iter().map(protocol::encode_line).collect();
    let response_lines: String = responses().iter().map(protocol::encode_line).collect();
    vec![
        ("asks-v1.jsonl", with_oldest_version(&request_lines)),
        ("asks-v2.jsonl", request_lines),
        ("says-v1.jsonl", with_oldest_version(&response_lines)),
        ("says-v2.jsonl", response_lines),
        ("memory.jsonl", json_lines(&participant_states())),
        (
            "figures.jsonl",
            json_lines(&[metrics(), IngressMetrics::default()]),
        ),
        (
            "plans.jsonl",
            plans().iter().map(Plan::to_file_text).collect(),
        ),
        ("differences.jsonl", json_lines(&all_differences())),
        ("digests.txt", digests()),
    ]
}

#[test]
#[ignore = "writes the golden files; run it by hand when a format changes on purpose"]
fn write_golden_files() {
    for (name, text) in files() {
        std::fs::write(path(name), text).unwrap();
    }
}

#[test]
fn every_format_matches_its_golden_file() {
    for (name, text) in files() {
        assert_eq!(text, read_golden(name), "{name}");
    }
}

fn assert_lines_round_trip<T>(name: &str, values: &[T])
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let text = read_golden(name);
    assert_eq!(text.lines().count(), values.len(), "{name}");
    for (golden_line, value) in text.lines().zip(values) {
        let decoded: T = protocol::decode_line(golden_line).unwrap();
        assert_eq!(decoded, *value, "{name}");
        let current = golden_line.replacen("{\"v\":1,", "{\"v\":2,", 1);
        assert_eq!(
            protocol::encode_line(&decoded),
            format!("{current}\n"),
            "{name}"
        );
    }
}

#[test]
fn golden_messages_of_both_versions_round_trip() {
    for name in ["asks-v1.jsonl", "asks-v2.jsonl"] {
        assert_lines_round_trip(name, &requests());
    }
    for name in ["says-v1.jsonl", "says-v2.jsonl"] {
        assert_lines_round_trip(name, &responses());
    }
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
    assert_json_round_trips("memory.jsonl", &participant_states());
    assert_json_round_trips("figures.jsonl", &[metrics(), IngressMetrics::default()]);
    assert_json_round_trips("differences.jsonl", &all_differences());
}

#[test]
fn golden_plans_round_trip_to_the_same_bytes() {
    let text = read_golden("plans.jsonl");
    let decoded: Vec<Plan> = text
        .lines()
        .map(|line| Plan::from_file_text(line).unwrap())
        .collect();
    assert_eq!(decoded, plans());
    assert_eq!(
        decoded.iter().map(Plan::to_file_text).collect::<String>(),
        text
    );
}

#[test]
fn metrics_and_records_with_missing_fields_are_decoded() {
    assert_eq!(
        serde_json::from_str::<IngressMetrics>("{}").unwrap(),
        IngressMetrics::default()
    );
    let node = r#"{"name":"a","hall":"h","model":"m","group":1,"takes":true}"#;
    let node: ObservedNode = serde_json::from_str(node).unwrap();
    assert_eq!(node.ejected_for, Vec::<String>::new());
    let record = r#"{"what":"made","author":"ann","change":"c","generation":2,"why":""}"#;
    assert_eq!(serde_json::from_str::<AuditRecord>(record).unwrap().at, 0);
}

/// The digests of group states and the update order of rollouts are computed from the `Debug` output of a digest, so it must
/// never change.
#[test]
fn debug_output_of_a_digest_is_unchanged() {
    assert_eq!(format!("{:?}", Digest("ab".into())), r#"Digest("ab")"#);
}
