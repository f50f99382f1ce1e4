//! Connections as a handover passes them, with every field and variant in use.

use super::{Client, Origin, Saved, Slot};
use std::collections::VecDeque;
use wrenfork_decision::RequestId;

pub(crate) const ORIGIN: Origin = Origin {
    key: 2,
    serial: 31,
    slot: 5,
};

fn client(serial: u64) -> Client<()> {
    Client {
        stream: (),
        serial,
        buf: Vec::new(),
        slots: VecDeque::new(),
        first: 0,
        ready: 0,
        out: Vec::new(),
        written: 0,
        counted: 0,
        since: 1_000_001,
        begun: 1_000_002,
        proof: None,
        errors: 0,
        closing: false,
        linger_until: None,
        surplus: false,
        half_closed: false,
        unread: false,
        stalled: false,
        dirty: false,
        listed: false,
        granted: 0,
        granted_at: 0,
        waits: false,
        standing: None,
    }
}

/// Connections with every kind of slot, and each flag set on one and not on the other.
pub(crate) fn sample() -> Saved<Client<()>> {
    let slots = [
        Slot::Passing(RequestId(41)),
        Slot::Waiting(RequestId(42)),
        Slot::Ready(b"+PONG\r\n".to_vec()),
    ];
    let busy = Client {
        buf: b"*4\r\n$8\r\nCALL".to_vec(),
        slots: slots.into(),
        first: 5,
        ready: 7,
        out: b"$3\r\nabc\r\n".to_vec(),
        written: 4,
        counted: 77,
        errors: 3,
        stalled: true,
        dirty: true,
        granted: 70_000,
        granted_at: 1_000_003,
        ..client(31)
    };
    let ending = Client {
        closing: true,
        linger_until: Some(1_000_004),
        surplus: true,
        half_closed: true,
        listed: true,
        waits: true,
        ..client(32)
    };
    Saved {
        conns: vec![(2, busy), (5, ending)],
        serial: 33,
        next_id: 43,
        dirty: vec![2],
        again: vec![5],
        lingering: 1,
        surplus: 1,
        accepted_at: 1_000_005,
        held: 78,
    }
}
