//! The format versions a build reads and writes.

use serde::{Deserialize, Serialize};

/// The versions of one format that a build reads. It writes the newest, or for a handover the one the other side asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Oldest version that it reads.
    pub oldest: u32,
    /// Newest version that it reads, and the one it writes.
    pub newest: u32,
}

impl VersionRange {
    /// Creates a range; both ends belong to it.
    pub fn new(oldest: u32, newest: u32) -> VersionRange {
        VersionRange { oldest, newest }
    }

    /// Whether a build with this range reads what one with another range writes.
    pub(crate) fn reads(self, other: VersionRange) -> bool {
        (self.oldest..=self.newest).contains(&other.newest)
    }

    /// Whether some version belongs to both ranges.
    pub(crate) fn overlaps(self, other: VersionRange) -> bool {
        self.oldest.max(other.oldest) <= self.newest.min(other.newest)
    }
}

/// The format versions of a build, as `wrenfork --speaks` prints them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatVersions {
    /// Version of the build, for people.
    pub version: String,
    /// Gossip datagrams between peers.
    pub peers: VersionRange,
    /// Lines of the control sockets.
    pub control: VersionRange,
    /// Group states.
    #[serde(rename = "decrees")]
    pub group_states: VersionRange,
    /// The store on disk.
    pub store: VersionRange,
    /// The state that a process hands over to its successor.
    pub handover: VersionRange,
}
