//! The frames to the byte.

use super::{
    u16_at, u32_at, Action, BTreeMap, BackendId, Decoded, GatewayId, Record, Reply, RequestId,
    ACTION, EVENT, REPLY_HEADER,
};
use wrenfork_decision::LogEvent;

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

/// The bytes of a record at their places.
type Places = Vec<(usize, u8)>;

/// Every action with its code, and some of its record's bytes by their places.
fn coded_actions() -> Vec<(u8, Action, Places)> {
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

fn reply_frame(actions: &[(u8, Action, Places)]) -> Vec<u8> {
    let mut reply = Reply::new(5);
    let list: Vec<Action> = actions.iter().map(|a| a.1.clone()).collect();
    reply.push(3, &list);
    reply.finish()
}

#[test]
fn every_action_has_its_code_and_its_fields_in_place() {
    let actions = coded_actions();
    let frame = reply_frame(&actions);
    assert_eq!(u32_at(&frame, 0) as usize, actions.len());
    assert_eq!(u32_at(&frame, 4) as usize, frame.len());
    assert_eq!(
        &frame[REPLY_HEADER + ACTION * actions.len()..],
        b"\x08\x09\x07ladder: rung 0 to 1, pressure 1.25, limit 8, out 10"
    );
    for (n, (code, action, fields)) in actions.iter().enumerate() {
        let record = &frame[REPLY_HEADER + ACTION * n..][..ACTION];
        assert_eq!((record[0], u16_at(record, 1)), (*code, 3), "{action:?}");
        for (at, value) in fields {
            assert_eq!(record[*at], *value, "{action:?} at {at}");
        }
    }
}

#[test]
fn events_are_read_from_their_places() {
    let read = |body: [u8; EVENT]| {
        let fields = BTreeMap::from([(1, vec!["depth".to_string()])]);
        let record = Record {
            batch: 1,
            index: 0,
            body: &body,
            tail: &[4, 5, 6],
        };
        match record.decode(&fields) {
            Ok(Some(Decoded::Event { instance: 1, event })) => format!("{event:?}"),
            _ => panic!("not an event of instance 1"),
        }
    };
    let body = |code: u8, parts: &[(usize, &[u8])]| {
        let mut b = [0; EVENT];
        (b[0], b[1]) = (code, 1);
        parts
            .iter()
            .for_each(|(at, bytes)| b[*at..*at + bytes.len()].copy_from_slice(bytes));
        b
    };
    let float = |x: f32| x.to_le_bytes();
    let call = body(
        10,
        &[
            (3, &[9]),
            (11, &[2]),
            (12, &[3]),
            (14, &[4]),
            (22, &[5]),
            (30, &float(2.0)),
            (34, &float(3.0)),
        ],
    );
    let text = read(call);
    assert!(
        text.contains("RequestId(9), class: 2, plan: 3, customer: CustomerId(4), deadline: 5"),
        "{text}"
    );
    assert!(
        text.contains("units: 2.0, gateway_span: 3.0, first_gateway: 0.0"),
        "{text}"
    );
    let settled = body(
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
            (31, &float(6.0)),
        ],
    );
    let text = read(settled);
    for part in [
        "attempt: 2",
        "BackendId(8)",
        "Ok",
        "complete: true",
        "elapsed: 7",
        "metered_usage: Some(0.5)",
        "queue: Some(6.0)",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert_eq!(
        read(body(90, &[(3, &[6])])),
        "ClientDisconnected(RequestId(6))"
    );
    assert_eq!(read(body(70, &[(3, &[6])])), "Timer(6)");
    assert_eq!(
        read(body(100, &[(3, &[6]), (11, &[2])])),
        "FirstByte { id: RequestId(6), attempt: 2 }"
    );
    let peer = body(80, &[(3, &[2]), (5, &[1]), (9, &[2])]);
    assert_eq!(
        read(peer),
        "PeerMessage { from: GatewayId(2), bytes: [5, 6] }"
    );
    let probed = read(body(30, &[(3, &[8]), (9, &[0x99, 1]), (11, &[7])]));
    assert!(
        probed.contains("NotSent") && probed.contains("elapsed: 7"),
        "{probed}"
    );
    let counted = read(body(40, &[(3, &[5]), (11, &[200]), (13, &float(38.0))]));
    assert!(
        counted.contains("counter: 5") && counted.contains("38.0"),
        "{counted}"
    );
}

/// The reply frame with every action, in hexadecimal.
const GOLDEN_REPLY: &str = include_str!("../../tests/golden/reply.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn a_reply_with_every_action_has_the_golden_bytes() {
    assert_eq!(hex(&reply_frame(&coded_actions())), GOLDEN_REPLY.trim());
}

#[test]
#[ignore = "writes the golden file, by hand and with WRITE_GOLDEN=1 only"]
fn write_the_golden_reply() {
    assert_eq!(std::env::var("WRITE_GOLDEN").as_deref(), Ok("1"));
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/reply.txt");
    std::fs::write(path, hex(&reply_frame(&coded_actions())) + "\n").unwrap();
}
