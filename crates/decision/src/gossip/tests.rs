//! Messages between gateways, there and back and byte by byte.

use super::{
    gone_by, tag, wrap, Body, Fared, Message, News, Sample, Use, MOST, MOST_NEWS, MOST_SAMPLES,
    MOST_USES,
};
use crate::ids::CustomerId;

#[test]
fn messages_survive_the_way() {
    let customer = CustomerId((1 << 33) - 7);
    let (first_gateway, gateway_span) = (400, 219);
    let one = Use {
        customer,
        plan: 3,
        total: 65_000,
        open: 99,
        level: 200,
        first_gateway,
        gateway_span,
        ask: true,
        units: 1.25,
        short: true,
    };
    let uses = vec![one; MOST_USES];
    let news = vec![
        News {
            customer,
            yours: 9,
            level: -7.25,
            rate: 12.5,
            open: 127,
            gift: 2.25
        };
        MOST_NEWS
    ];
    for body in [Body::Uses(uses), Body::News(9, news), Body::Uses(vec![])] {
        for count in 0..=MOST_SAMPLES {
            let one = Sample {
                tag: tag(77),
                class: 6,
                fared: Fared::Answered(0.5),
            };
            let (bad, none) = (Fared::Failed, Fared::Silent);
            let (bad, none) = (Sample { fared: bad, ..one }, Sample { fared: none, ..one });
            let samples = [one, bad, none, one, bad, none][..count].to_vec();
            let message = Message {
                born: 77,
                seq: 3,
                name_digests: [5, 250],
                samples,
                body: body.clone(),
            };
            let bytes = message.pack();
            assert!(bytes.len() <= MOST);
            assert_eq!(Message::unpack(&bytes), Some(message));
            for cut in 0..bytes.len() {
                assert_eq!(Message::unpack(&bytes[..cut]), None, "cut at {cut}");
            }
        }
    }
    assert_eq!(gone_by(wrap(16_383.0), wrap(16_385.0)), 2.0);
}

/// The golden datagrams, a name and the bytes in hexadecimal a line.
const GOLDEN: &str = include_str!("../../tests/golden/gossip.txt");

fn usage(customer: u64) -> Use {
    Use {
        customer: CustomerId(customer),
        plan: 5,
        total: 0x1234,
        open: 77,
        level: 201,
        first_gateway: 0x0304,
        gateway_span: 0x0506,
        ask: true,
        units: 2.3,
        short: false,
    }
}

fn update(customer: u64) -> News {
    News {
        customer: CustomerId(customer),
        yours: 0x4321,
        level: 100.75,
        rate: 33.25,
        open: 9,
        gift: 7.5,
    }
}

fn sample(class: u8, fared: Fared) -> Sample {
    Sample {
        tag: tag(0xABCDEF),
        class,
        fared,
    }
}

fn message(samples: Vec<Sample>, body: Body) -> Message {
    Message {
        born: 0x0102_0304,
        seq: 0x0A0B,
        name_digests: [0xC1, 0xC2],
        samples,
        body,
    }
}

/// Every body and every edge of every field.
fn datagrams() -> Vec<(&'static str, Message)> {
    let edge = Use {
        customer: CustomerId((1 << 33) - 1),
        plan: 63,
        total: u16::MAX,
        open: 127,
        level: 255,
        first_gateway: u16::MAX,
        gateway_span: u16::MAX,
        ask: false,
        units: 63.75,
        short: true,
    };
    let least = Use {
        customer: CustomerId(0),
        plan: 0,
        total: 0,
        open: 0,
        level: 0,
        first_gateway: 0,
        gateway_span: 0,
        ask: false,
        units: 0.0,
        short: false,
    };
    let beyond = Use {
        customer: CustomerId(u64::MAX),
        open: 255,
        units: 1e9,
        ..edge
    };
    let debt = News {
        level: -7.3,
        rate: 0.1,
        open: 255,
        gift: 5.2,
        ..update((1 << 33) - 1)
    };
    let bounds = News {
        level: 1e9,
        rate: 1e9,
        gift: 1e9,
        yours: u16::MAX,
        ..update(0)
    };
    let depths = News {
        level: -1e9,
        rate: -1.0,
        gift: -1.0,
        yours: 0,
        ..update(u64::MAX)
    };
    let answered = |t| Fared::Answered(t);
    let times = [0.0, 1e-9, 1.0 / 32.0, 0.5, 1.0, 1e9];
    let all_times = times
        .iter()
        .zip(0..)
        .map(|(t, class)| sample(class, answered(*t)));
    let ends = vec![
        sample(7, Fared::Failed),
        sample(9, Fared::Silent),
        sample(3, answered(0.7)),
    ];
    let seven = vec![sample(1, answered(1.1)); MOST_SAMPLES + 1];
    vec![
        ("uses-none", message(vec![], Body::Uses(vec![]))),
        ("uses-one", message(vec![], Body::Uses(vec![usage(42)]))),
        (
            "uses-edges",
            message(vec![], Body::Uses(vec![edge, least, beyond])),
        ),
        (
            "uses-too-many",
            message(seven.clone(), Body::Uses((0..20).map(usage).collect())),
        ),
        ("news-none", message(vec![], Body::News(0, vec![]))),
        (
            "news-one",
            message(vec![], Body::News(0xFFFF_FFFE, vec![update(42)])),
        ),
        (
            "news-edges",
            message(vec![], Body::News(7, vec![debt, bounds, depths])),
        ),
        (
            "news-too-many",
            message(seven, Body::News(8, (0..30).map(update).collect())),
        ),
        (
            "samples-times",
            message(all_times.collect(), Body::Uses(vec![])),
        ),
        (
            "samples-ends",
            message(ends, Body::News(9, vec![update(1)])),
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks_exact(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.map(byte).collect()
}

fn golden_lines() -> Vec<(&'static str, Vec<u8>)> {
    let line = |l: &'static str| l.split_once(' ').map(|(name, text)| (name, unhex(text)));
    GOLDEN.lines().filter_map(line).collect()
}

#[test]
fn datagrams_have_the_golden_bytes() {
    let (golden, now) = (golden_lines(), datagrams());
    assert_eq!(golden.len(), now.len());
    for ((name, bytes), (now_name, message)) in golden.into_iter().zip(now) {
        assert_eq!(name, now_name);
        assert_eq!(hex(&message.pack()), hex(&bytes), "{name}");
    }
}

#[test]
fn golden_datagrams_are_read_and_written_to_the_same_bytes() {
    for (name, bytes) in golden_lines() {
        let message = Message::unpack(&bytes).unwrap();
        assert_eq!(hex(&message.pack()), hex(&bytes), "{name}");
    }
}

#[test]
fn golden_datagrams_are_read_to_the_fields_that_were_written() {
    // Of the fields that lose nothing on the way, as the exact ones of `usage` and `update` do.
    let golden = golden_lines();
    let read = |wanted: &str| {
        let (_, bytes) = golden.iter().find(|(name, _)| *name == wanted).unwrap();
        Message::unpack(bytes).unwrap()
    };
    let in_quarters = Use {
        units: 2.5, // rounded up
        ..usage(42)
    };
    assert_eq!(
        read("uses-one"),
        message(vec![], Body::Uses(vec![in_quarters]))
    );
    let one = message(vec![], Body::News(0xFFFF_FFFE, vec![update(42)]));
    assert_eq!(read("news-one"), one);
}

#[test]
#[ignore = "writes the golden file, by hand and with WRITE_GOLDEN=1 only"]
fn write_the_golden_datagrams() {
    assert_eq!(std::env::var("WRITE_GOLDEN").as_deref(), Ok("1"));
    let line = |(name, message): (&str, Message)| format!("{name} {}\n", hex(&message.pack()));
    let text: String = datagrams().into_iter().map(line).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/gossip.txt");
    std::fs::write(path, text).unwrap();
}
