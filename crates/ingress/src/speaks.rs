//! What this program says to others and to those that come after it, by number.

use crate::takeover::OLDEST;
use wrenfork_commit::protocol;
use wrenfork_compatibility::{Form, Speaks};
use wrenfork_consensus::decree;
use wrenfork_decision::PEERS;

/// Of a version that writes states of handovers up to this layout.
pub fn speaks(version: &str, layout: u32) -> Speaks {
    Speaks {
        version: version.into(),
        // A datagram of another number is skipped.
        peers: Form::of(PEERS.into(), PEERS.into()),
        control: Form::of(protocol::OLDEST, protocol::VERSION),
        decrees: Form::of(1, decree::VERSION),
        // Older folders are brought up to date.
        store: Form::of(1, wrenfork_store::VERSION),
        handover: Form::of(OLDEST, layout),
    }
}
