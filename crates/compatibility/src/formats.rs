//! The format versions that a build reads and writes.

use serde::{Deserialize, Serialize};

/// The versions of one format that a build reads. The build writes the newest one; for a handover, it writes the version that the
/// other process requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Oldest version that the build reads.
    pub oldest: u32,
    /// Newest version that the build reads, and the version that it writes.
    pub newest: u32,
}

impl VersionRange {
    /// Creates an inclusive range.
    pub fn new(oldest: u32, newest: u32) -> VersionRange {
        VersionRange { oldest, newest }
    }

    /// Whether a build with this range can read what a build with range `other` writes.
    pub(crate) fn reads(self, other: VersionRange) -> bool {
        (self.oldest..=self.newest).contains(&other.newest)
    }

    /// Whether the two ranges have a version in common.
    pub(crate) fn overlaps(self, other: VersionRange) -> bool {
        self.oldest.max(other.oldest) <= self.newest.min(other.newest)
    }
}

/// The format versions of a build, as `wrenfork --speaks` prints them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatVersions {
    /// Version of the build, for display only.
    pub version: String,
    /// Versions of the gossip datagrams between peers.
    pub peers: VersionRange,
    /// Versions of the lines on the control sockets.
    pub control: VersionRange,
    /// Versions of the group states.
    #[serde(rename = "decrees")]
    pub group_states: VersionRange,
    /// Versions of the store on disk.
    pub store: VersionRange,
    /// Versions of the state that a process hands over to its successor.
    pub handover: VersionRange,
}
