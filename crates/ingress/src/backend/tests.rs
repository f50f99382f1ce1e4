//! Sample backend connections for tests of the handover format, with every field and variant in use.

use super::activity::{Activity, ConnectionHandle};
use super::command::OutgoingCommand;
use super::connection::Connection;
use super::handover::SavedBackends;
use super::pool::Pool;
use super::staleness::Staleness;
use super::unsolicited::UnsolicitedBytes;
use std::sync::Arc;
use wrenfork_decision::{BackendId, RequestId};
use wrenfork_happy_eyeballs::{Address, AddressList};
use wrenfork_wire::call::Body;
use wrenfork_wire::long::LongAnswer;

const BACKEND: BackendId = BackendId(0xabcd);

pub(crate) const HANDLE: ConnectionHandle = ConnectionHandle { key: 3, serial: 52 };

fn tcp_address() -> Address {
    Address::Tcp("127.0.0.1:7100".parse().unwrap())
}

fn unix_address() -> Address {
    Address::Unix(Arc::from("/run/backend.sock"))
}

fn connection(serial: u64, activity: Option<Activity>) -> Connection<()> {
    Connection {
        established: true,
        activity,
        answer_since: 1_000_011,
        ..Connection::new((), serial, BACKEND, tcp_address(), 1_000_010)
    }
}

/// An idle connection, one with a long body and a streamed answer, and one with a health check.
pub(crate) fn sample() -> SavedBackends<Connection<()>> {
    let begun = LongAnswer::start(b"*3\r\n$70000\r\nabc").unwrap();
    let attempt = Connection {
        idle_before: Some(1_000_012),
        command: OutgoingCommand {
            head: b"*5\r\n$9\r\nCALL.POST\r\n".to_vec(),
            body: Some(Body::new(b"0123456789".to_vec(), 2..9)),
            written: 21,
        },
        buf: b"$70000\r\nabc".to_vec(),
        long_answer: Some(begun.answer),
        paused: true,
        ..connection(52, Some(Activity::Attempt(RequestId(41), 1)))
    };
    let health_check = Connection {
        address: unix_address(),
        established: false,
        ..connection(53, Some(Activity::HealthCheck))
    };
    let mut addresses = AddressList::default();
    addresses.update(vec![tcp_address(), unix_address()]);
    let pool = Pool {
        addresses,
        idle: vec![1],
        unsolicited: UnsolicitedBytes {
            answers: 8.5,
            arrivals: 1.25,
        },
        process: None,
    };
    let mut staleness = Staleness::default();
    staleness.record(3_000, false);
    staleness.record(900_000, true);
    SavedBackends {
        connections: vec![(1, connection(51, None)), (3, attempt), (4, health_check)],
        pools: vec![(BACKEND, pool)],
        serial: 54,
        staleness,
    }
}

/// One value of each [`Activity`] variant, in declaration order.
pub(crate) fn activities() -> Vec<Activity> {
    vec![
        Activity::Attempt(RequestId(9), 2),
        Activity::HealthCheck,
        Activity::RaceCandidate(HANDLE),
    ]
}
