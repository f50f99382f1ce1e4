//! The comparison of two builds.

use crate::formats::{FormatVersions, VersionRange};
use thiserror::Error;

/// Why a rollout from one build to another must not begin.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Incompatibility {
    /// One build cannot read the messages that the other sends while both serve.
    #[error(
        "{format}: {writer} writes {written}, and {reader} reads {} to {}",
        read.oldest, read.newest
    )]
    UnreadableMessages {
        /// Name of the message format.
        format: &'static str,
        /// Version of the writing build.
        writer: String,
        /// Format version that the writing build uses.
        written: u32,
        /// Version of the reading build.
        reader: String,
        /// Format versions that the reading build accepts.
        read: VersionRange,
    },
    /// The new build cannot read the store of the old one.
    #[error("the store: {new} can't read what {old} keeps ({written})")]
    UnreadableStore {
        /// Version of the old build.
        old: String,
        /// Version of the new build.
        new: String,
        /// Format version of the store written by the other build.
        written: u32,
    },
    /// The old build cannot read the store of the new one, so the rollout could not be reverted.
    #[error(
        "the store: it could not be taken back, since {old} can't read what {new} keeps ({written})"
    )]
    IrreversibleStore {
        /// Version of the old build.
        old: String,
        /// Version of the new build.
        new: String,
        /// Format version of the store written by the other build.
        written: u32,
    },
}

/// A function lost when a process is replaced during the rollout.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Degradation {
    /// The successor cannot take over the state of its predecessor, so its connections end.
    #[error(
        "the handover: {old} writes states up to {written}, {new} reads from {oldest_read}: each process begins anew, what is \
         open when the old one ends is answered first, and its connections end"
    )]
    NoHandover {
        /// Version of the old build.
        old: String,
        /// Newest handover version that the old build writes.
        written: u32,
        /// Version of the new build.
        new: String,
        /// Oldest handover version that the new build reads.
        oldest_read: u32,
    },
}

/// Result of [`check_compatibility`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompatibilityReport {
    /// Reasons why a rollout from the old build to the new one must not begin. Empty if it may.
    pub incompatible: Vec<Incompatibility>,
    /// Functions lost when a process is replaced during the rollout.
    pub degraded: Vec<Degradation>,
}

/// Checks whether two builds may serve at the same time, and whether the new one can be reverted to the old one.
pub fn check_compatibility(old: &FormatVersions, new: &FormatVersions) -> CompatibilityReport {
    let mut incompatible = Vec::new();
    // While both builds serve, each must be able to read the messages of the other.
    for (format, range) in MESSAGE_FORMATS {
        incompatible.extend(unreadable(format, range, old, new));
        incompatible.extend(unreadable(format, range, new, old));
    }
    if !new.store.reads(old.store) {
        incompatible.push(Incompatibility::UnreadableStore {
            old: old.version.clone(),
            new: new.version.clone(),
            written: old.store.newest,
        });
    }
    if !old.store.reads(new.store) {
        incompatible.push(Incompatibility::IrreversibleStore {
            old: old.version.clone(),
            new: new.version.clone(),
            written: new.store.newest,
        });
    }
    CompatibilityReport {
        incompatible,
        degraded: lost_handover(old, new).into_iter().collect(),
    }
}

/// Selects the version range of one format.
type RangeSelector = fn(&FormatVersions) -> VersionRange;

/// The formats of messages between builds that serve at the same time.
const MESSAGE_FORMATS: [(&str, RangeSelector); 3] = [
    ("peers' messages", |versions| versions.peers),
    ("control lines", |versions| versions.control),
    ("decrees", |versions| versions.group_states),
];

/// Returns an error if `reader` cannot read the messages that `writer` sends.
fn unreadable(
    format: &'static str,
    range: RangeSelector,
    writer: &FormatVersions,
    reader: &FormatVersions,
) -> Option<Incompatibility> {
    let read = range(reader);
    let written = range(writer);
    (!read.reads(written)).then(|| Incompatibility::UnreadableMessages {
        format,
        writer: writer.version.clone(),
        written: written.newest,
        reader: reader.version.clone(),
        read,
    })
}

/// Returns a degradation if no handover version is common to both builds.
fn lost_handover(old: &FormatVersions, new: &FormatVersions) -> Option<Degradation> {
    (!old.handover.overlaps(new.handover)).then(|| Degradation::NoHandover {
        old: old.version.clone(),
        written: old.handover.newest,
        new: new.version.clone(),
        oldest_read: new.handover.oldest,
    })
}
