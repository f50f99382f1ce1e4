//! Every stored and sent form of this package, byte for byte as the files under `tests/golden/` have it.
//!
//! The files are written by hand alone, when a form changes on purpose:
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

fn golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

/// What one message or record with a change of every field is made from.
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
    let used = PlanUsage {
        customers: 2,
        rate: 6.5,
        open_attempts: 3,
    };
    let node = |name: &str, rests: &[&str]| ObservedNode {
        name: name.into(),
        zone_group: "hall-1".into(),
        model: "m2".into(),
        group: 9,
        accepting: rests.is_empty(),
        ejected_for: rests.iter().map(|r| r.to_string()).collect(),
    };
    IngressMetrics {
        received: 10,
        served: 7,
        rejected: 2,
        failed: 1,
        plans: [("starter".to_string(), used)].into(),
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
    let stands = [
        CommitStatus::Unknown,
        CommitStatus::Prepared,
        CommitStatus::Committed,
        CommitStatus::Aborted,
    ]
    .map(|stand| CommitResponse::ChangeStatus {
        change: Digest::of(b"change"),
        status: stand,
    });
    let status = |promise: Option<PreparedVote>, figures| CommitResponse::Status {
        ingress: "n0".into(),
        generation: generation(3, "8"),
        state: state("8"),
        prepared: promise,
        metrics: figures,
    };
    let mut says = vec![
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
    says.extend(stands);
    says
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
    let seen = |name: &str, number: u64, value: &str| IngressSnapshot {
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
        vec![seen("n0", 3, "8"), seen("n1", 5, "9")],
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

fn json<T: Serialize>(values: &[T]) -> String {
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

/// Lines of the first version, as the first version wrote them.
fn in_the_oldest(lines: &str) -> String {
    lines.replace(
        &format!("{{\"v\":{},", protocol::VERSION),
        &format!("{{\"v\":{},", protocol::OLDEST_VERSION),
    )
}

fn files() -> Vec<(&'static str, String)> {
    let asks: String = requests().iter().map(protocol::encode_line).collect();
    let says: String = responses().iter().map(protocol::encode_line).collect();
    vec![
        ("asks-v1.jsonl", in_the_oldest(&asks)),
        ("asks-v2.jsonl", asks),
        ("says-v1.jsonl", in_the_oldest(&says)),
        ("says-v2.jsonl", says),
        ("memory.jsonl", json(&participant_states())),
        (
            "figures.jsonl",
            json(&[metrics(), IngressMetrics::default()]),
        ),
        (
            "plans.jsonl",
            plans().iter().map(Plan::to_file_text).collect(),
        ),
        ("differences.jsonl", json(&all_differences())),
        ("digests.txt", digests()),
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
    assert_eq!(text.lines().count(), values.len(), "{name}");
    for (golden_line, value) in text.lines().zip(values) {
        let found: T = protocol::decode_line(golden_line).unwrap();
        assert_eq!(found, *value, "{name}");
        let current = golden_line.replacen("{\"v\":1,", "{\"v\":2,", 1);
        assert_eq!(
            protocol::encode_line(&found),
            format!("{current}\n"),
            "{name}"
        );
    }
}

#[test]
fn golden_lines_of_both_versions_are_read_and_written_again_to_the_same_bytes() {
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
    assert_json_round_trips("memory.jsonl", &participant_states());
    assert_json_round_trips("figures.jsonl", &[metrics(), IngressMetrics::default()]);
    assert_json_round_trips("differences.jsonl", &all_differences());
}

#[test]
fn golden_plans_are_read_and_written_again_to_the_same_bytes() {
    let text = golden("plans.jsonl");
    let found: Vec<Plan> = text
        .lines()
        .map(|line| Plan::from_file_text(line).unwrap())
        .collect();
    assert_eq!(found, plans());
    assert_eq!(
        found.iter().map(Plan::to_file_text).collect::<String>(),
        text
    );
}

#[test]
fn figures_and_records_of_an_older_program_that_leaves_fields_out_are_read() {
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

/// Digests of group states and the lots of rollouts are made over the `Debug` form of a digest.
#[test]
fn the_debug_form_of_a_digest_is_as_it_was_hashed_before() {
    assert_eq!(format!("{:?}", Digest("ab".into())), r#"Digest("ab")"#);
}
