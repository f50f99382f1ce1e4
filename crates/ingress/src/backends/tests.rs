//! Connections to backends as a handover passes them, with every field and variant in use.

use super::{Conn, Link, Pool, Saved, Staleness, Surplus, Work};
use std::sync::Arc;
use wrenfork_decision::{BackendId, RequestId};
use wrenfork_happy_eyeballs::{Address, AddressList};
use wrenfork_wire::long::Long;

pub(crate) const LINK: Link = Link { key: 3, serial: 52 };

fn conn(serial: u64, work: Option<Work>) -> Conn<()> {
    Conn {
        stream: (),
        serial,
        backend: BackendId(0xabcd),
        place: Address::Tcp("127.0.0.1:7100".parse().unwrap()),
        connected: true,
        race: None,
        work,
        since: 1_000_010,
        idled: None,
        begin_by: 0,
        until: 0,
        heard: 1_000_011,
        out: Vec::new(),
        body: None,
        written: 0,
        buf: Vec::new(),
        long: None,
        paused: false,
    }
}

/// Connections that are idle, in use with a long body and a long answer, and in a health check.
pub(crate) fn sample() -> Saved<Conn<()>> {
    let (long, _) = Long::begin(b"*3\r\n$70000\r\nabc").unwrap();
    let attempt = Conn {
        idled: Some(1_000_012),
        out: b"*5\r\n$9\r\nCALL.POST\r\n".to_vec(),
        body: Some((Arc::new(b"0123456789".to_vec()), 2..9)),
        written: 21,
        buf: b"$70000\r\nabc".to_vec(),
        long: Some(long),
        paused: true,
        ..conn(52, Some(Work::Attempt(RequestId(41), 1)))
    };
    let probe = Conn {
        place: Address::Unix(Arc::from("/run/backend.sock")),
        connected: false,
        ..conn(53, Some(Work::Probe))
    };
    let mut book = AddressList::default();
    book.update(vec![
        Address::Tcp("127.0.0.1:7100".parse().unwrap()),
        Address::Unix(Arc::from("/run/backend.sock")),
    ]);
    let pool = Pool {
        book,
        idle: vec![1],
        surplus: Surplus {
            answers: 8.5,
            seen: 1.25,
        },
    };
    let mut staleness = Staleness::default();
    staleness.note(3_000, false);
    staleness.note(900_000, true);
    Saved {
        conns: vec![(1, conn(51, None)), (3, attempt), (4, probe)],
        pools: vec![(BackendId(0xabcd), pool)],
        serial: 54,
        staleness,
    }
}

/// Each kind of work, in its order.
pub(crate) fn works() -> Vec<Work> {
    vec![
        Work::Attempt(RequestId(9), 2),
        Work::Probe,
        Work::Race(LINK),
    ]
}
