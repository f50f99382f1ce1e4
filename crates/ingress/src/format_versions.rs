//! The versions of each format that this program writes and reads, from which other programs determine compatibility.

use crate::takeover::OLDEST_LAYOUT;
use wrenfork_commit::protocol;
use wrenfork_compatibility::{FormatVersions, VersionRange};
use wrenfork_consensus::group_state;
use wrenfork_decision::GOSSIP_VERSION;

/// Format versions of a program with this version number and newest handover layout.
pub fn format_versions(version: &str, handover_layout: u32) -> FormatVersions {
    FormatVersions {
        version: version.into(),
        // Datagrams with another version are ignored.
        peers: VersionRange::new(GOSSIP_VERSION.into(), GOSSIP_VERSION.into()),
        control: VersionRange::new(protocol::OLDEST_VERSION, protocol::VERSION),
        group_states: VersionRange::new(1, group_state::VERSION),
        // Stores with an older version are migrated when they are opened.
        store: VersionRange::new(1, wrenfork_store::VERSION),
        handover: VersionRange::new(OLDEST_LAYOUT, handover_layout),
    }
}
