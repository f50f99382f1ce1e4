//! The versions of each format that this program writes and reads, by which others tell whether they are compatible with it.

use crate::takeover::OLDEST_LAYOUT;
use wrenfork_commit::protocol;
use wrenfork_compatibility::{FormatVersions, VersionRange};
use wrenfork_consensus::group_state;
use wrenfork_decision::GOSSIP_VERSION;

/// The format versions of a program that writes states of handovers up to this layout.
pub fn format_versions(version: &str, handover_layout: u32) -> FormatVersions {
    FormatVersions {
        version: version.into(),
        // A datagram of another number is skipped.
        peers: VersionRange::new(GOSSIP_VERSION.into(), GOSSIP_VERSION.into()),
        control: VersionRange::new(protocol::OLDEST_VERSION, protocol::VERSION),
        group_states: VersionRange::new(1, group_state::VERSION),
        // Older folders are migrated when they are opened.
        store: VersionRange::new(1, wrenfork_store::VERSION),
        handover: VersionRange::new(OLDEST_LAYOUT, handover_layout),
    }
}
