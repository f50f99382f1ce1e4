//! Golden files for the bytes sent to backends and to the count service, and for calls and long answers as a handover stores them.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::HashMap;
use std::path::PathBuf;
use wrenfork_decision::{Idempotency, KeyScope};
use wrenfork_wire::call::{Call, ClassDefinition, Identity, Vocabulary};
use wrenfork_wire::long::LongAnswer;
use wrenfork_wire::{resp, tally};

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Compares bytes with a golden file; `WRITE_GOLDEN=1` writes the file instead.
fn assert_golden(name: &str, bytes: &[u8]) {
    if std::env::var_os("WRITE_GOLDEN").is_some_and(|v| v == "1") {
        std::fs::write(path(name), bytes).unwrap();
    }
    let golden = std::fs::read(path(name)).unwrap();
    let first = golden.iter().zip(bytes).position(|(a, b)| a != b);
    assert!(
        golden == bytes,
        "{name}: {} bytes written, {} in the golden file, first difference at byte {first:?}",
        bytes.len(),
        golden.len()
    );
}

/// Compares a value's postcard form with its golden file, and checks that reading and rewriting the file keeps its bytes.
fn assert_stored<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_golden(name, &postcard::to_stdvec(value).unwrap());
    let golden = std::fs::read(path(name)).unwrap();
    let read: T = postcard::from_bytes(&golden).unwrap();
    assert_eq!(postcard::to_stdvec(&read).unwrap(), golden, "{name}");
}

fn vocabulary() -> Vocabulary {
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 3_000_000,
    };
    let class = |name: &str, idempotency| ClassDefinition {
        name: name.into(),
        idempotency,
    };
    let classes = vec![
        class("quote", Idempotency::Idempotent),
        class("save", keyed),
        class("refer", Idempotency::NotIdempotent),
    ];
    Vocabulary {
        classes,
        plans: vec!["starter".into(), "business".into(), "business~2".into()],
        max_units: 4.0,
        gateways: 4,
        identity: None,
        authenticates: false,
    }
}

fn command(parts: &[&[u8]]) -> Vec<u8> {
    let mut buf = Vec::new();
    resp::put_array(&mut buf, parts.len());
    parts
        .iter()
        .for_each(|part| resp::put_bulk(&mut buf, &[part]));
    buf
}

fn read(parts: &[&[u8]], vocabulary: &Vocabulary) -> Call {
    let (buf, mut args) = (command(parts), Vec::new());
    resp::command(&buf, &mut args).unwrap().unwrap();
    let long = args
        .get(resp::BODY_INDEX)
        .is_some_and(|body| body.len() > resp::MAX_VALUE);
    let call = if long {
        Call::read_long(buf, &args, vocabulary)
    } else {
        Call::read(&buf, &args, vocabulary)
    };
    call.unwrap()
        .unwrap_or_else(|_| panic!("the command is not a valid call"))
}

const CUSTOMER: &[u8] = b"00000000b4d65521";
const KEYED: &[u8] = b"c=save,t=business,d=480,k=5c0f,r=1,units=2.5,spread=3,first=1,new=x";

/// Calls of each kind, with the names of their golden files.
fn calls() -> Vec<(&'static str, Call)> {
    let default_vocabulary = vocabulary();
    let quote = b"c=quote,t=starter,d=99,units=1,spread=1,first=0";
    let long = vec![b'x'; resp::MAX_VALUE + 1];
    let application_vocabulary = Vocabulary {
        identity: Some(Identity {
            accounts: HashMap::from([(0xb4d6_5521, 2)]),
            plans_at_backends: vec!["starter".into(), "business".into(), "business".into()],
            may_send: vec![true, true, false],
        }),
        authenticates: true,
        ..vocabulary()
    };
    let claimed = b"c=save,t=starter,d=480,k=5c0f,auth=secret,units=1,spread=2,first=1";
    vec![
        (
            "get",
            read(
                &[b"CALL.GET", CUSTOMER, b"9b1f", quote],
                &default_vocabulary,
            ),
        ),
        (
            "post",
            read(
                &[b"CALL.POST", CUSTOMER, b"9b1f", KEYED, b"BO\r\nDY"],
                &default_vocabulary,
            ),
        ),
        (
            "long",
            read(
                &[b"CALL.POST", CUSTOMER, b"9b1f", KEYED, &long],
                &default_vocabulary,
            ),
        ),
        (
            "own",
            read(
                &[b"CALL.POST", CUSTOMER, b"9b1f", claimed, b""],
                &application_vocabulary,
            ),
        ),
    ]
}

#[test]
fn calls_are_stored_and_sent_as_in_their_golden_files() {
    for (name, call) in calls() {
        assert_stored(&format!("call-{name}.bin"), &call);
        let mut out = Vec::new();
        for wait in [0, 999, 123_999, 3_600_000_000] {
            call.write(wait, &mut out);
        }
        assert_golden(&format!("sent-{name}.bin"), &out);
    }
}

#[test]
fn long_answer_is_stored_as_in_its_golden_file() {
    let started = LongAnswer::start(b"*3\r\n$65537\r\nabc").unwrap();
    assert_eq!(started.head, 4);
    let mut long = started.answer;
    assert_stored("long-begun.bin", &long);
    let mut out = Vec::new();
    let value = [b"$65537\r\n".to_vec(), vec![b'x'; 65_537]].concat();
    assert_eq!(long.feed(&value, &mut out), Ok(None));
    assert_eq!(long.feed(b"\r\n*-1\r\n$3\r\nut", &mut out), Ok(None));
    assert_stored("long-rest.bin", &long);
}

#[test]
fn counts_are_sent_as_in_their_golden_file() {
    let mut out = Vec::new();
    for (name, amount, lifetime) in [
        (0xabc, -2.5, 4_000_000),
        (u64::MAX, 1e9, u64::MAX),
        (0, 0.1 + 0.2, 0),
    ] {
        assert!(tally::put_call(&mut out, name, amount, lifetime));
    }
    assert_golden("counts.txt", &out);
}

/// The options of a valid command.
const VALID_OPTIONS: &str = "c=save,t=business,d=480,k=5c0f,units=2,spread=3,first=1";
/// Replacements in [`VALID_OPTIONS`], each of which makes the command invalid in at least one vocabulary.
const CHANGES: [(&str, &str); 24] = [
    ("c=save,", ""),
    ("c=save", "c=other"),
    ("c=save", "c=quote"),
    ("t=business,", ""),
    ("t=business", "t=gold"),
    ("d=480,", ""),
    ("d=480", "d=-1"),
    ("d=480", "d=3600001"),
    ("k=5c0f,", ""),
    ("k=5c0f", "k=a b"),
    ("units=2,", ""),
    ("units=2", "units=nan"),
    ("units=2", "units=0"),
    ("units=2", "units=4.1"),
    ("spread=3,", ""),
    ("spread=3", "spread=x"),
    ("spread=3", "spread=0"),
    ("spread=3", "spread=5"),
    (",first=1", ""),
    (",first=1", ",first"),
    ("first=1", "first=4"),
    ("first=1", "first=-1"),
    ("units=2", "units=2,units=3"),
    ("k=5c0f", "k=1,k=2,auth=a,auth=b"),
];

/// The error texts are sent to clients.
#[test]
fn invalid_commands_get_the_error_texts_of_the_golden_file() {
    let mut all = String::new();
    let mut check_command = |parts: &[&[u8]], vocabulary: &Vocabulary| {
        let (buf, mut args) = (command(parts), Vec::new());
        resp::command(&buf, &mut args).unwrap().unwrap();
        match Call::read(&buf, &args, vocabulary) {
            None => all += "another command",
            Some(Ok(_)) => all += "a call",
            Some(Err(error)) => all += &error.to_string(),
        }
        all.push('\n');
    };
    let application_vocabulary = Vocabulary {
        identity: Some(Identity {
            accounts: HashMap::from([(0xb4d6_5521, 1)]),
            plans_at_backends: vec!["starter".into(), "business".into()],
            may_send: vec![true, false, false],
        }),
        authenticates: true,
        ..vocabulary()
    };
    for vocabulary in [&vocabulary(), &application_vocabulary] {
        for (from, to) in CHANGES {
            let options = VALID_OPTIONS.replace(from, to);
            check_command(
                &[b"CALL.POST", CUSTOMER, b"9b1f", options.as_bytes(), b"BODY"],
                vocabulary,
            );
        }
        let options = VALID_OPTIONS.as_bytes();
        check_command(
            &[b"CALL.PUT", CUSTOMER, b"9b1f", options, b"BODY"],
            vocabulary,
        );
        check_command(&[b"CALL.POST", CUSTOMER, b"9b1f", options], vocabulary);
        check_command(&[b"CALL.GET", CUSTOMER, b"9b1f", options], vocabulary);
        check_command(
            &[b"CALL.GET", CUSTOMER, b"9b1f", options, b"BODY"],
            vocabulary,
        );
        check_command(
            &[b"CALL.POST", b"b4d65521", b"9b1f", options, b"BODY"],
            vocabulary,
        );
        check_command(
            &[b"CALL.POST", b"00000000b4d65522", b"9b1f", options, b"BODY"],
            vocabulary,
        );
        check_command(&[b"CALL.POST", CUSTOMER, b"", options, b"BODY"], vocabulary);
    }
    assert_golden("refusals.txt", all.as_bytes());
}
