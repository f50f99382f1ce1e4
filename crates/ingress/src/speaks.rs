//! What this program says to others and to those that come after it, by number.

use crate::takeover::OLDEST;
use wrenfork_commit::protocol;
use wrenfork_compatibility::{FormatVersions, VersionRange};
use wrenfork_consensus::group_state;
use wrenfork_decision::GOSSIP_VERSION;

/// Of a version that writes states of handovers up to this layout.
pub fn speaks(version: &str, layout: u32) -> FormatVersions {
    FormatVersions {
        version: version.into(),
        // A datagram of another number is skipped.
        peers: VersionRange::new(GOSSIP_VERSION.into(), GOSSIP_VERSION.into()),
        control: VersionRange::new(protocol::OLDEST_VERSION, protocol::VERSION),
        group_states: VersionRange::new(1, group_state::VERSION),
        // Older folders are brought up to date.
        store: VersionRange::new(1, wrenfork_store::VERSION),
        handover: VersionRange::new(OLDEST, layout),
    }
}
