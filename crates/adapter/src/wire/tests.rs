//! The exact bytes of frames.

use super::bytes::{u16_at, u32_at};
use super::record::RECORD_BYTES;
use super::reply::{ACTION_BYTES, REPLY_HEADER_BYTES};
use super::{Decoded, Record, Reply};
use std::collections::BTreeMap;
use wrenfork_decision::{Action, BackendId, GatewayId, LogEvent, RequestId};

fn level_change() -> LogEvent {
    LogEvent::LoadSheddingLevelChanged {
        pool: 0,
        from: 0,
        to: 1,
        pressure: 1.25,
        limit: 8.0,
        in_flight: 10,
    }
}

/// Offsets in a record with the byte expected there.
type ExpectedBytes = Vec<(usize, u8)>;

/// Actions for a request or a backend, and the timer.
fn request_actions() -> Vec<(u8, Action, ExpectedBytes)> {
    let (id, backend) = (RequestId(0x0a_0b0c), BackendId(0x0605_0403_0201));
    vec![
        (
            10,
            Action::Send {
                id,
                backend,
                expires_at: 77,
                start_by: 99,
            },
            vec![(3, 0x0c), (11, 77), (19, 1), (24, 6)],
        ),
        (
            20,
            Action::Reject {
                id,
                retry_after: 300,
            },
            vec![(3, 0x0c), (11, 44), (12, 1)],
        ),
        (30, Action::Fail(id), vec![(3, 0x0c), (4, 0x0b)]),
        (
            40,
            Action::Cancel { id, attempt: 258 },
            vec![(3, 0x0c), (11, 2), (12, 1)],
        ),
        (
            50,
            Action::SetTimer { delay: 5, token: 9 },
            vec![(3, 5), (7, 9)],
        ),
        (60, Action::CheckHealth(backend), vec![(3, 1), (8, 6)]),
        (
            70,
            Action::CloseIdleConnections(backend),
            vec![(3, 1), (8, 6)],
        ),
    ]
}

/// Actions for peers, logs, discovery and counters.
fn other_actions() -> Vec<(u8, Action, ExpectedBytes)> {
    vec![
        (
            80,
            Action::SendToPeer {
                to: Some(GatewayId(2)),
                bytes: vec![8, 9],
            },
            vec![(3, 2), (5, 0), (9, 2)],
        ),
        (
            80,
            Action::SendToPeer {
                to: None,
                bytes: vec![7],
            },
            vec![(3, 255), (4, 255), (5, 2), (9, 1)],
        ),
        (90, Action::Log(level_change()), vec![(3, 3), (7, 51)]),
        (110, Action::WatchEndpoints(true), vec![(3, 1)]),
        (120, Action::FetchEndpoints, vec![(3, 0)]),
        (
            130,
            Action::AddToCounter {
                counter: 6,
                delta: 4.0,
                lifetime: 8,
            },
            vec![(3, 8), (9, 0x80), (10, 0x40), (11, 6)],
        ),
    ]
}

/// Every action with its code and some bytes of its record.
fn coded_actions() -> Vec<(u8, Action, ExpectedBytes)> {
    let mut all = request_actions();
    all.extend(other_actions());
    all
}

fn reply_frame(actions: &[(u8, Action, ExpectedBytes)]) -> Vec<u8> {
    let mut reply = Reply::new(5);
    let list: Vec<Action> = actions.iter().map(|a| a.1.clone()).collect();
    reply.push(3, &list);
    reply.finish()
}

#[test]
fn actions_are_encoded_with_code_and_fields_at_their_offsets() {
    let actions = coded_actions();
    let frame = reply_frame(&actions);
    assert_eq!(u32_at(&frame, 0) as usize, actions.len());
    assert_eq!(u32_at(&frame, 4) as usize, frame.len());
    assert_eq!(
        &frame[REPLY_HEADER_BYTES + ACTION_BYTES * actions.len()..],
        b"\x08\x09\x07ladder: rung 0 to 1, pressure 1.25, limit 8, out 10"
    );
    for (n, (code, action, fields)) in actions.iter().enumerate() {
        let record = &frame[REPLY_HEADER_BYTES + ACTION_BYTES * n..][..ACTION_BYTES];
        assert_eq!((record[0], u16_at(record, 1)), (*code, 3), "{action:?}");
        for (at, value) in fields {
            assert_eq!(record[*at], *value, "{action:?} at {at}");
        }
    }
}

/// A record for instance 1 with the given bytes at the given offsets.
fn record(code: u8, parts: &[(usize, &[u8])]) -> [u8; RECORD_BYTES] {
    let mut body = [0; RECORD_BYTES];
    body[0] = code;
    body[1] = 1;
    for (at, bytes) in parts {
        body[*at..*at + bytes.len()].copy_from_slice(bytes);
    }
    body
}

/// Decodes a record and formats the event as text.
fn event_of(body: [u8; RECORD_BYTES]) -> String {
    let fields = BTreeMap::from([(1, vec!["depth".to_string()])]);
    match Record::new(1, 0, &body, &[4, 5, 6]).decode(&fields) {
        Ok(Some(Decoded::Event { instance: 1, event })) => format!("{event:?}"),
        _ => panic!("the record was not decoded to an event of instance 1"),
    }
}

fn assert_contains(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "{part:?} is missing in: {text}");
    }
}

#[test]
fn request_fields_are_read_from_their_offsets() {
    let text = event_of(record(
        10,
        &[
            (3, &[9]),
            (11, &[2]),
            (12, &[3]),
            (14, &[4]),
            (22, &[5]),
            (30, &2.0f32.to_le_bytes()),
            (34, &3.0f32.to_le_bytes()),
        ],
    ));
    assert_contains(
        &text,
        &[
            "RequestId(9), class: 2, plan: 3, customer: CustomerId(4), deadline: 5",
            "units: 2.0, gateway_span: 3.0, first_gateway: 0.0",
        ],
    );
}

#[test]
fn attempt_completed_fields_are_read_from_their_offsets() {
    let text = event_of(record(
        20,
        &[
            (3, &[9]),
            (11, &[7]),
            (15, &[200]),
            (17, &[1]),
            (18, &[2]),
            (20, &[51]),
            (22, &[8]),
            (28, &[3]),
            (30, &[1]),
            (31, &6.0f32.to_le_bytes()),
        ],
    ));
    assert_contains(
        &text,
        &[
            "attempt: 2",
            "BackendId(8)",
            "Ok",
            "complete: true",
            "elapsed: 7",
            "metered_usage: Some(0.5)",
            "queue: Some(6.0)",
        ],
    );
}

#[test]
fn fields_of_short_events_are_read_from_their_offsets() {
    let disconnected = event_of(record(90, &[(3, &[6])]));
    assert_eq!(disconnected, "ClientDisconnected(RequestId(6))");
    assert_eq!(event_of(record(70, &[(3, &[6])])), "Timer(6)");
    let first_byte = event_of(record(100, &[(3, &[6]), (11, &[2])]));
    assert_eq!(first_byte, "FirstByte { id: RequestId(6), attempt: 2 }");
    let peer = event_of(record(80, &[(3, &[2]), (5, &[1]), (9, &[2])]));
    assert_eq!(peer, "PeerMessage { from: GatewayId(2), bytes: [5, 6] }");
    let checked = event_of(record(30, &[(3, &[8]), (9, &[0x99, 1]), (11, &[7])]));
    assert_contains(&checked, &["NotSent", "elapsed: 7"]);
    let total = 38.0f32.to_le_bytes();
    let counted = event_of(record(40, &[(3, &[5]), (11, &[200]), (13, &total)]));
    assert_contains(&counted, &["counter: 5", "38.0"]);
}

/// The expected reply frame with every action, in hexadecimal.
const GOLDEN_REPLY: &str = include_str!("../../tests/golden/reply.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn reply_with_every_action_matches_the_golden_file() {
    assert_eq!(hex(&reply_frame(&coded_actions())), GOLDEN_REPLY.trim());
}

#[test]
#[ignore = "writes the golden file; run by hand with WRITE_GOLDEN=1"]
fn write_the_golden_reply() {
    assert_eq!(std::env::var("WRITE_GOLDEN").as_deref(), Ok("1"));
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/reply.txt");
    std::fs::write(path, hex(&reply_frame(&coded_actions())) + "\n").unwrap();
}
