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
use wrenfork_consensus::acceptor::Memory;
use wrenfork_consensus::decree::{Decree, Policy};
use wrenfork_consensus::protocol::{Age, Ask, Ballot, Say, Stand, Verdict};
use wrenfork_consensus::seats::{Kind, Roster, Seat};
use wrenfork_rollout::record::{self, Phase, Record, Terms};
use wrenfork_rollout::tally::{self, Tally};

const BALLOT: Ballot = Ballot {
    round: 3,
    by: u64::MAX,
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

fn roster() -> Roster {
    let seat = |name: &str, folder, kind, votes| Seat {
        name: name.into(),
        folder,
        kind,
        votes,
    };
    let seats = vec![
        seat("a", 1, Kind::Ingress, true),
        seat(ODD, u64::MAX, Kind::Ingress, true),
        seat("w", 3, Kind::Witness, true),
        seat("z", 0, Kind::Ingress, false),
    ];
    Roster::new(7, 1_500, seats).unwrap()
}

fn states() -> BTreeMap<String, Arc<State>> {
    [
        ("a".to_string(), state(&[("k", "1"), ("discovery", "x")])),
        (ODD.to_string(), state(&[("k", "1"), ("gone", ODD)])),
        ("z".to_string(), state(&[("k", "1")])),
    ]
    .into()
}

fn base() -> Decree {
    Decree::new(
        4,
        2,
        Digest::of(b"change"),
        "ann \"the\" first\n",
        roster(),
        Policy::of(&states()),
    )
}

fn rollout(phase: Phase) -> Record {
    let change = |old: &Arc<State>, new: &Arc<State>| record::change(old, new);
    Record {
        id: Digest::of(b"plan"),
        author: "bob".into(),
        terms: Terms {
            watch_ms: 1_000,
            patience_ms: 2_000,
            pause_ms: 3,
            away: 4,
            worse_ppm: 5_000,
            error_ppm: 6_000,
        },
        stages: vec![vec!["a".into()], vec![ODD.into(), "z".into()]],
        changes: vec![
            change(
                &state(&[("discovery", "x")]),
                &state(&[("discovery", "y"), ("new", ODD)]),
            ),
            change(&state(&[("gone", ODD)]), &state(&[])),
        ],
        of: [("a".to_string(), 0), (ODD.to_string(), 1)].into(),
        phase,
        why: "it is \"held\"".into(),
    }
}

fn phases() -> [Phase; 5] {
    [
        Phase::On { stage: 0 },
        Phase::Held { stage: 1 },
        Phase::Back { left: 1 },
        Phase::Stopped,
        Phase::Done,
    ]
}

fn decrees() -> Vec<Decree> {
    let mut all = vec![Decree::default(), base(), base().nothing()];
    let smaller = roster().without("z").unwrap();
    all.push(base().seated("carl", smaller, BTreeMap::new()));
    let larger = roster()
        .with(Seat {
            name: "y".into(),
            folder: 5,
            kind: Kind::Ingress,
            votes: true,
        })
        .unwrap();
    all.push(base().seated(
        "carl",
        larger,
        [("y".to_string(), state(&[("k", "2")]))].into(),
    ));
    all.push(base().seated("", roster().voting(ODD, None).unwrap(), BTreeMap::new()));
    for phase in phases() {
        all.push(base().rolled("bob", rollout(phase)).unwrap());
    }
    all
}

fn decree() -> Arc<Decree> {
    Arc::new(
        base()
            .rolled("bob", rollout(Phase::On { stage: 0 }))
            .unwrap(),
    )
}

fn age() -> Age {
    Age { writes: 9, life: 8 }
}

fn asks() -> Vec<Ask> {
    let renew = |number, ready| Ask::Renew {
        from: ODD.into(),
        folder: 3,
        age: age(),
        number,
        ready,
    };
    let digest = Digest::of(b"decree");
    vec![
        renew(0, None),
        renew(4, Some(digest.clone())),
        Ask::Promise {
            number: 5,
            ballot: BALLOT,
            trial: None,
        },
        Ask::Promise {
            number: 5,
            ballot: BALLOT,
            trial: Some(decree()),
        },
        Ask::Accept {
            ballot: BALLOT,
            decree: decree(),
        },
        Ask::Still {
            ballot: BALLOT,
            ready: vec!["a".into(), ODD.into()],
        },
        Ask::Decided {
            number: 5,
            digest: digest.clone(),
            decree: None,
        },
        Ask::Decided {
            number: 5,
            digest,
            decree: Some(decree()),
        },
        Ask::Learn,
        Ask::Stand,
        Ask::Tally,
        Ask::Turn { number: 4 },
        Ask::Unfit {
            program: format!("r-1@{}", "1".repeat(64)),
            why: "it ends \"at once\"".into(),
        },
    ]
}

fn tally() -> Tally {
    Tally {
        life: 1,
        age_ms: 2,
        number: 3,
        began: 4,
        program: "p".into(),
        changed: true,
        turn: true,
        unfit: "why".into(),
        hall: "h".into(),
        cpu_us: 5,
        memory_kb: 6,
        kinds: [(
            "chat/starter".to_string(),
            tally::Kind {
                worth: 1_000,
                asked: 7,
                refused: 2,
                failed: 1,
            },
        )]
        .into(),
        times: [("chat".to_string(), vec![(100, 3), (200, 1)])].into(),
    }
}

fn stand() -> Stand {
    Stand {
        name: "a".into(),
        folder: 1,
        kind: Some(Kind::Witness),
        number: 4,
        generation: 2,
        change: Digest::of(b"change"),
        digest: Digest::of(b"decree"),
        roster: roster(),
        promised: BALLOT,
        pending: Some(Digest::of(b"next")),
        rollout: Some(Phase::Held { stage: 1 }),
        lease_ms: Some(700),
        unsure: Some("too few".into()),
        runs: Some("r-1".into()),
        wants: Some("r-2".into()),
        turn: true,
    }
}

fn says() -> Vec<Say> {
    let verdicts = [
        Verdict::Granted,
        Verdict::Pending,
        Verdict::Behind,
        Verdict::Ahead,
        Verdict::Stranger,
        Verdict::Unformed,
        Verdict::Twin,
    ];
    let mut says: Vec<Say> = verdicts
        .into_iter()
        .enumerate()
        .map(|(n, verdict)| Say::Renewed {
            folder: 2,
            number: 4,
            seen: (n > 0).then(age),
            verdict,
        })
        .collect();
    let decided = |from| Say::Decided {
        folder: 2,
        number: 5,
        from,
    };
    says.extend([
        Say::Promised {
            folder: 2,
            accepted: None,
            own: None,
        },
        Say::Promised {
            folder: 2,
            accepted: Some((BALLOT, decree())),
            own: Some((4, state(&[("k", ODD)]))),
        },
        Say::Accepted { folder: 2 },
        Say::Outbid { ballot: BALLOT },
        Say::Moved {
            number: 6,
            digest: Digest::of(b"moved"),
        },
        decided(None),
        decided(Some(BALLOT)),
        Say::Want,
        Say::Learnt { decree: None },
        Say::Learnt {
            decree: Some(decree()),
        },
        Say::Stands(Box::default()),
        Say::Stands(Box::new(stand())),
        Say::Tallied(Box::default()),
        Say::Tallied(Box::new(tally())),
        Say::Noted,
        Say::No { why: ODD.into() },
        Say::Unable {
            why: "the disk is full".into(),
        },
    ]);
    says
}

fn memories() -> Vec<Memory> {
    let whole = Memory {
        name: ODD.into(),
        folder: 3,
        writes: 9,
        decree: Some(Arc::new(base())),
        from: Some(BALLOT),
        promised: Ballot { round: 4, by: 1 },
        accepted: Some((BALLOT, decree())),
    };
    vec![Memory::fresh("a", 1), whole.shed(77), whole]
}

fn json<T: Serialize>(values: &[T]) -> String {
    values.iter().fold(String::new(), |mut text, value| {
        writeln!(text, "{}", serde_json::to_string(value).unwrap()).unwrap();
        text
    })
}

fn files() -> Vec<(&'static str, String)> {
    vec![
        ("asks.jsonl", asks().iter().map(protocol::line).collect()),
        ("says.jsonl", says().iter().map(protocol::line).collect()),
        ("decrees.jsonl", json(&decrees())),
        ("memory.jsonl", json(&memories())),
        ("roster.jsonl", json(&[Roster::default(), roster()])),
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
        .map(|line| protocol::read(line).unwrap())
        .collect();
    assert_eq!(found, values, "{name}");
    assert_eq!(
        found.iter().map(protocol::line).collect::<String>(),
        text,
        "{name}"
    );
}

#[test]
fn golden_lines_are_read_and_written_again_to_the_same_bytes() {
    assert_lines_round_trip("asks.jsonl", &asks());
    assert_lines_round_trip("says.jsonl", &says());
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
    assert_json_round_trips("decrees.jsonl", &decrees());
    assert_json_round_trips("memory.jsonl", &memories());
    assert_json_round_trips("roster.jsonl", &[Roster::default(), roster()]);
}

/// A digest is made over a text with the names of fields and types: a rename that reached it would part members of two
/// versions.
#[test]
fn every_golden_decree_still_has_the_digest_that_it_was_written_with() {
    for line in golden("decrees.jsonl").lines().skip(1) {
        let decree: Decree = serde_json::from_str(line).unwrap();
        let roster_ok = decree.roster.check();
        assert_eq!(roster_ok, Ok(()));
        assert_eq!(decree.check(), Ok(()), "{line}");
    }
}

#[test]
fn records_of_an_older_program_that_leaves_fields_out_are_read() {
    let memory = r#"{"name":"a","folder":1,"writes":0,"decree":null,"promised":{"round":0,"by":0},"accepted":null}"#;
    let memory: Memory = serde_json::from_str(memory).unwrap();
    assert_eq!(memory, Memory::fresh("a", 1));
    let text = serde_json::to_string(&Stand::default()).unwrap();
    assert!(text.ends_with(",\"turn\":false}"), "{text}");
    let older = text.replace(",\"turn\":false", "");
    assert_eq!(
        serde_json::from_str::<Stand>(&older).unwrap(),
        Stand::default()
    );
}
