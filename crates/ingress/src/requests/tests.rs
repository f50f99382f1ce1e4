//! Open requests as a handover passes them.

use super::{Attempt, Open, Requests};
use crate::backends::tests::LINK;
use crate::clients::tests::ORIGIN;
use siphasher::sip::SipHasher13;
use wrenfork_decision::{BackendId, RequestId};
use wrenfork_wire::call::Call;

/// One request with two attempts, and the id of one that ended.
pub(crate) fn sample(call: Call) -> Requests {
    let over = Attempt {
        backend: BackendId(0xabcc),
        began: 1_000_020,
        link: None,
        took: None,
    };
    let passing = Attempt {
        backend: BackendId(0xabcd),
        began: 1_000_021,
        link: Some(LINK),
        took: Some(17),
    };
    let open = Open {
        call,
        name: 0x1234_5678,
        origin: ORIGIN,
        deadline: 1_900_000,
        overdue: 1_990_000,
        attempts: vec![over, passing],
        most: 3,
        passing: Some(1),
        over: true,
    };
    Requests {
        open: [(RequestId(41), open)].into(),
        names: [0x1234_5678].into(),
        ended: [(1_000_022, 0x9abc)].into(),
        hasher: SipHasher13::new_with_keys(1, 2),
        held: 345,
        memory: 1 << 20,
        most: 20_000,
    }
}
