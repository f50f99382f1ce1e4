//! Sample of open requests for the handover tests.

use super::{Attempt, OpenRequest, OpenRequests};
use crate::backend::tests::HANDLE;
use crate::client::tests::ORIGIN;
use siphasher::sip::SipHasher13;
use wrenfork_decision::{BackendId, RequestId};
use wrenfork_wire::call::Call;

/// One open request with two attempts, and the id hash of a request that has ended.
pub(crate) fn sample(call: Call) -> OpenRequests {
    let ended = Attempt {
        backend: BackendId(0xabcc),
        started_at: 1_000_020,
        connection: None,
        first_byte_after: None,
    };
    let streaming = Attempt {
        backend: BackendId(0xabcd),
        started_at: 1_000_021,
        connection: Some(HANDLE),
        first_byte_after: Some(17),
    };
    let open = OpenRequest {
        call,
        id_hash: 0x1234_5678,
        origin: ORIGIN,
        deadline: 1_900_000,
        client_deadline: 1_990_000,
        attempts: vec![ended, streaming],
        max_attempts: 3,
        streaming: Some(1),
        complete: true,
    };
    OpenRequests {
        open: [(RequestId(41), open)].into(),
        id_hashes: [0x1234_5678].into(),
        ended: [(1_000_022, 0x9abc)].into(),
        hasher: SipHasher13::new_with_keys(1, 2),
        memory_used: 345,
        max_memory: 1 << 20,
        max_open: 20_000,
    }
}
