//! Golden files of what is sent to backends and to the count service, and of what a handover keeps of calls and long answers.

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
        "{name}: {} bytes written, {} in the golden file, the first other one at {first:?}",
        bytes.len(),
        golden.len()
    );
}

/// Compares a value's stored form with its golden file, reads it from there and writes it again.
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
    parts.iter().for_each(|p| resp::put_bulk(&mut buf, &[p]));
    buf
}

fn read(parts: &[&[u8]], words: &Vocabulary) -> Call {
    let (buf, mut args) = (command(parts), Vec::new());
    resp::command(&buf, &mut args).unwrap().unwrap();
    let long = args
        .get(resp::BODY)
        .is_some_and(|body| body.len() > resp::MAX_VALUE);
    let call = if long {
        Call::read_long(buf, &args, words)
    } else {
        Call::read(&buf, &args, words)
    };
    call.unwrap().unwrap_or_else(|_| panic!("it is a call"))
}

const CUSTOMER: &[u8] = b"00000000b4d65521";
const KEYED: &[u8] = b"c=save,t=business,d=480,k=5c0f,r=1,units=2.5,spread=3,first=1,new=x";

/// Calls of each kind, with the name of their golden files.
fn calls() -> Vec<(&'static str, Call)> {
    let words = vocabulary();
    let quote = b"c=quote,t=starter,d=99,units=1,spread=1,first=0";
    let long = vec![b'x'; resp::MAX_VALUE + 1];
    let own = Vocabulary {
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
            read(&[b"CALL.GET", CUSTOMER, b"9b1f", quote], &words),
        ),
        (
            "post",
            read(
                &[b"CALL.POST", CUSTOMER, b"9b1f", KEYED, b"BO\r\nDY"],
                &words,
            ),
        ),
        (
            "long",
            read(&[b"CALL.POST", CUSTOMER, b"9b1f", KEYED, &long], &words),
        ),
        (
            "own",
            read(&[b"CALL.POST", CUSTOMER, b"9b1f", claimed, b""], &own),
        ),
    ]
}

#[test]
fn calls_are_stored_and_sent_as_the_golden_files_have_it() {
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
fn a_long_answer_is_stored_as_the_golden_file_has_it() {
    let begun = LongAnswer::begin(b"*3\r\n$65537\r\nabc").unwrap();
    assert_eq!(begun.head, 4);
    let mut long = begun.answer;
    assert_stored("long-begun.bin", &long);
    let mut out = Vec::new();
    let value = [b"$65537\r\n".to_vec(), vec![b'x'; 65_537]].concat();
    assert_eq!(long.feed(&value, &mut out), Ok(None));
    assert_eq!(long.feed(b"\r\n*-1\r\n$3\r\nut", &mut out), Ok(None));
    assert_stored("long-rest.bin", &long);
}

#[test]
fn counts_are_sent_as_the_golden_file_has_it() {
    let mut out = Vec::new();
    for (name, amount, life) in [
        (0xabc, -2.5, 4_000_000),
        (u64::MAX, 1e9, u64::MAX),
        (0, 0.1 + 0.2, 0),
    ] {
        assert!(tally::put_call(&mut out, name, amount, life));
    }
    assert_golden("counts.txt", &out);
}

/// The options of a good command.
const GOOD: &str = "c=save,t=business,d=480,k=5c0f,units=2,spread=3,first=1";
/// Changes of it, each of which is refused by one vocabulary or both.
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

/// Why a command is refused is told to clients.
#[test]
fn refusals_have_their_texts() {
    let mut all = String::new();
    let mut refuse = |parts: &[&[u8]], words: &Vocabulary| {
        let (buf, mut args) = (command(parts), Vec::new());
        resp::command(&buf, &mut args).unwrap().unwrap();
        match Call::read(&buf, &args, words) {
            None => all += "another command",
            Some(Ok(_)) => all += "a call",
            Some(Err(why)) => all += &why.to_string(),
        }
        all.push('\n');
    };
    let own = Vocabulary {
        identity: Some(Identity {
            accounts: HashMap::from([(0xb4d6_5521, 1)]),
            plans_at_backends: vec!["starter".into(), "business".into()],
            may_send: vec![true, false, false],
        }),
        authenticates: true,
        ..vocabulary()
    };
    for words in [&vocabulary(), &own] {
        for (from, to) in CHANGES {
            let options = GOOD.replace(from, to);
            refuse(
                &[b"CALL.POST", CUSTOMER, b"9b1f", options.as_bytes(), b"BODY"],
                words,
            );
        }
        let options = GOOD.as_bytes();
        refuse(&[b"CALL.PUT", CUSTOMER, b"9b1f", options, b"BODY"], words);
        refuse(&[b"CALL.POST", CUSTOMER, b"9b1f", options], words);
        refuse(&[b"CALL.GET", CUSTOMER, b"9b1f", options], words);
        refuse(&[b"CALL.GET", CUSTOMER, b"9b1f", options, b"BODY"], words);
        refuse(
            &[b"CALL.POST", b"b4d65521", b"9b1f", options, b"BODY"],
            words,
        );
        refuse(
            &[b"CALL.POST", b"00000000b4d65522", b"9b1f", options, b"BODY"],
            words,
        );
        refuse(&[b"CALL.POST", CUSTOMER, b"", options, b"BODY"], words);
    }
    assert_golden("refusals.txt", all.as_bytes());
}
