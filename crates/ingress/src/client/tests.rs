//! Sample client connections for tests of the handover format, with every field and variant in use.

use super::connection::{AnswerSlot, ClientConnection, Origin};
use super::handover::SavedClients;
use wrenfork_decision::RequestId;

pub(crate) const ORIGIN: Origin = Origin {
    key: 2,
    serial: 31,
    index: 5,
};

fn connection(serial: u64) -> ClientConnection<()> {
    ClientConnection {
        command_since: 1_000_002,
        ..ClientConnection::new((), serial, 1_000_001)
    }
}

/// Two connections that cover every kind of answer slot; each flag is set on one of them and clear on the other.
pub(crate) fn sample() -> SavedClients<ClientConnection<()>> {
    let answers = [
        AnswerSlot::Streaming(RequestId(41)),
        AnswerSlot::Waiting(RequestId(42)),
        AnswerSlot::Ready(b"+PONG\r\n".to_vec()),
    ];
    let busy = ClientConnection {
        buf: b"*4\r\n$8\r\nCALL".to_vec(),
        answers: answers.into(),
        first_index: 5,
        ready_bytes: 7,
        out: b"$3\r\nabc\r\n".to_vec(),
        written: 4,
        counted_memory: 77,
        errors: 3,
        stalled: true,
        in_write_queue: true,
        granted: 70_000,
        granted_at: 1_000_003,
        ..connection(31)
    };
    let ending = ClientConnection {
        closing: true,
        linger_until: Some(1_000_004),
        surplus: true,
        half_closed: true,
        in_read_queue: true,
        waits_for_grant: true,
        ..connection(32)
    };
    SavedClients {
        connections: vec![(2, busy), (5, ending)],
        serial: 33,
        last_request: 43,
        write_queue: vec![2],
        read_queue: vec![5],
        lingering: 1,
        surplus: 1,
        accepted_at: 1_000_005,
        memory_used: 78,
    }
}
