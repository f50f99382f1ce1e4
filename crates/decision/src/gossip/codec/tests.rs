//! Tests of the message codec: round trips, rejected bytes, and the golden bytes.

use super::{
    backend_tag, units_between, wrapped_units, AttemptOutcome, Body, Message, OwnerUpdate, Sample,
    UsageReport, MAX_BYTES, MAX_REPORTS, MAX_SAMPLES, MAX_UPDATES,
};
use crate::ids::CustomerId;

#[test]
fn decoding_restores_the_encoded_message() {
    let exact = UsageReport {
        total: 65_000,
        in_flight: 99,
        units: 1.25,
        wants_ceiling: true,
        ..usage((1 << 33) - 7)
    };
    let debt = OwnerUpdate {
        tokens: -7.25,
        in_flight: 127,
        granted: 2.25,
        ..update((1 << 33) - 7)
    };
    let bodies = [
        Body::Usage(vec![exact; MAX_REPORTS]),
        Body::Updates(9, vec![debt; MAX_UPDATES]),
        Body::Usage(vec![]),
    ];
    let samples = [
        sample(6, AttemptOutcome::Answered(0.5)),
        sample(6, AttemptOutcome::Failed),
        sample(6, AttemptOutcome::Silent),
    ];
    for body in bodies {
        for count in 0..=MAX_SAMPLES {
            let samples = samples.iter().cycle().take(count).copied().collect();
            assert_decoded_only_if_complete(&message(samples, body.clone()));
        }
    }
}

fn assert_decoded_only_if_complete(message: &Message) {
    let bytes = message.encode();
    assert!(bytes.len() <= MAX_BYTES);
    assert_eq!(Message::decode(&bytes).as_ref(), Some(message));
    for len in 0..bytes.len() {
        assert_eq!(
            Message::decode(&bytes[..len]),
            None,
            "decoded a message truncated to {len} bytes"
        );
    }
}

#[test]
fn difference_of_totals_survives_wraparound() {
    let before = wrapped_units(16_383.0);
    let after = wrapped_units(16_385.0);
    assert_eq!(units_between(before, after), 2.0);
}

/// The golden datagrams: on each line a name and the bytes in hexadecimal.
const GOLDEN: &str = include_str!("../../../tests/golden/gossip.txt");

fn usage(customer: u64) -> UsageReport {
    UsageReport {
        customer: CustomerId(customer),
        plan: 5,
        total: 0x1234,
        in_flight: 77,
        level: 201,
        first_gateway: 0x0304,
        gateway_span: 0x0506,
        ask: true,
        units: 2.3,
        wants_ceiling: false,
    }
}

fn update(customer: u64) -> OwnerUpdate {
    OwnerUpdate {
        customer: CustomerId(customer),
        acknowledged_total: 0x4321,
        tokens: 100.75,
        rate: 33.25,
        in_flight: 9,
        granted: 7.5,
    }
}

fn sample(class: u8, outcome: AttemptOutcome) -> Sample {
    Sample {
        tag: backend_tag(0xABCDEF),
        class,
        outcome,
    }
}

fn message(samples: Vec<Sample>, body: Body) -> Message {
    Message {
        incarnation: 0x0102_0304,
        sequence: 0x0A0B,
        name_digests: [0xC1, 0xC2],
        samples,
        body,
    }
}

/// A message for every kind of body and for the limits of every field, with its name in the golden
/// file.
fn datagrams() -> Vec<(&'static str, Message)> {
    let mut all = usage_datagrams();
    all.extend(update_datagrams());
    all.extend(sample_datagrams());
    all
}

fn too_many_samples() -> Vec<Sample> {
    vec![sample(1, AttemptOutcome::Answered(1.1)); MAX_SAMPLES + 1]
}

fn usage_datagrams() -> Vec<(&'static str, Message)> {
    let max = UsageReport {
        customer: CustomerId((1 << 33) - 1),
        plan: 63,
        total: u16::MAX,
        in_flight: 127,
        level: 255,
        first_gateway: u16::MAX,
        gateway_span: u16::MAX,
        ask: false,
        units: 63.75,
        wants_ceiling: true,
    };
    let min = UsageReport {
        customer: CustomerId(0),
        plan: 0,
        total: 0,
        in_flight: 0,
        level: 0,
        first_gateway: 0,
        gateway_span: 0,
        ask: false,
        units: 0.0,
        wants_ceiling: false,
    };
    let above_max = UsageReport {
        customer: CustomerId(u64::MAX),
        in_flight: 255,
        units: 1e9,
        ..max
    };
    let body = |reports| Body::Usage(reports);
    let too_many = body((0..20).map(usage).collect());
    vec![
        ("uses-none", message(vec![], body(vec![]))),
        ("uses-one", message(vec![], body(vec![usage(42)]))),
        (
            "uses-edges",
            message(vec![], body(vec![max, min, above_max])),
        ),
        ("uses-too-many", message(too_many_samples(), too_many)),
    ]
}

fn update_datagrams() -> Vec<(&'static str, Message)> {
    let debt = OwnerUpdate {
        tokens: -7.3,
        rate: 0.1,
        in_flight: 255,
        granted: 5.2,
        ..update((1 << 33) - 1)
    };
    let max = OwnerUpdate {
        tokens: 1e9,
        rate: 1e9,
        granted: 1e9,
        acknowledged_total: u16::MAX,
        ..update(0)
    };
    let min = OwnerUpdate {
        tokens: -1e9,
        rate: -1.0,
        granted: -1.0,
        acknowledged_total: 0,
        ..update(u64::MAX)
    };
    let edges = Body::Updates(7, vec![debt, max, min]);
    let too_many = Body::Updates(8, (0..30).map(update).collect());
    vec![
        ("news-none", message(vec![], Body::Updates(0, vec![]))),
        (
            "news-one",
            message(vec![], Body::Updates(0xFFFF_FFFE, vec![update(42)])),
        ),
        ("news-edges", message(vec![], edges)),
        ("news-too-many", message(too_many_samples(), too_many)),
    ]
}

fn sample_datagrams() -> Vec<(&'static str, Message)> {
    let times = [0.0, 1e-9, 1.0 / 32.0, 0.5, 1.0, 1e9];
    let times = times
        .iter()
        .zip(0..)
        .map(|(time, class)| sample(class, AttemptOutcome::Answered(*time)));
    let ends = vec![
        sample(7, AttemptOutcome::Failed),
        sample(9, AttemptOutcome::Silent),
        sample(3, AttemptOutcome::Answered(0.7)),
    ];
    let update = Body::Updates(9, vec![update(1)]);
    vec![
        (
            "samples-times",
            message(times.collect(), Body::Usage(vec![])),
        ),
        ("samples-ends", message(ends, update)),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn parse_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks_exact(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.map(byte).collect()
}

fn golden_datagrams() -> Vec<(&'static str, Vec<u8>)> {
    let line = |l: &'static str| {
        l.split_once(' ')
            .map(|(name, text)| (name, parse_hex(text)))
    };
    GOLDEN.lines().filter_map(line).collect()
}

#[test]
fn datagrams_have_the_golden_bytes() {
    let (golden, current) = (golden_datagrams(), datagrams());
    assert_eq!(golden.len(), current.len());
    for ((name, bytes), (current_name, message)) in golden.into_iter().zip(current) {
        assert_eq!(name, current_name);
        assert_eq!(hex(&message.encode()), hex(&bytes), "{name}");
    }
}

#[test]
fn golden_datagrams_reencode_to_the_same_bytes() {
    for (name, bytes) in golden_datagrams() {
        let message = Message::decode(&bytes).unwrap();
        assert_eq!(hex(&message.encode()), hex(&bytes), "{name}");
    }
}

#[test]
fn golden_datagrams_decode_to_the_original_fields() {
    // Checks fields that the encoding does not round; `usage` and `update` have such values.
    let golden = golden_datagrams();
    let read = |wanted: &str| {
        let (_, bytes) = golden.iter().find(|(name, _)| *name == wanted).unwrap();
        Message::decode(bytes).unwrap()
    };
    let in_quarters = UsageReport {
        units: 2.5, // rounded up
        ..usage(42)
    };
    assert_eq!(
        read("uses-one"),
        message(vec![], Body::Usage(vec![in_quarters]))
    );
    let expected = message(vec![], Body::Updates(0xFFFF_FFFE, vec![update(42)]));
    assert_eq!(read("news-one"), expected);
}

#[test]
#[ignore = "overwrites the golden file; run by hand with WRITE_GOLDEN=1"]
fn write_the_golden_datagrams() {
    assert_eq!(std::env::var("WRITE_GOLDEN").as_deref(), Ok("1"));
    let line = |(name, message): (&str, Message)| format!("{name} {}\n", hex(&message.encode()));
    let text: String = datagrams().into_iter().map(line).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/gossip.txt");
    std::fs::write(path, text).unwrap();
}
