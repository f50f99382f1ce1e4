//! The comparison of two builds.

use crate::formats::{FormatVersions, VersionRange};
use thiserror::Error;

/// Why a rollout from one build to another must not begin.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Incompatibility {
    /// While both serve, one can't read what the other sends.
    #[error(
        "{format}: {writer} writes {written}, and {reader} reads {} to {}",
        read.oldest, read.newest
    )]
    UnreadableMessages {
        /// The format.
        format: &'static str,
        /// Version of the build that writes.
        writer: String,
        /// Format version that it writes.
        written: u32,
        /// Version of the build that reads.
        reader: String,
        /// Format versions that it reads.
        read: VersionRange,
    },
    /// The new build can't read the store of the old one.
    #[error("the store: {new} can't read what {old} keeps ({written})")]
    UnreadableStore {
        /// Version of the old build.
        old: String,
        /// Version of the new build.
        new: String,
        /// Format version of the store.
        written: u32,
    },
    /// The old build can't read the store of the new one, so that the rollout could not be reverted.
    #[error(
        "the store: it could not be taken back, since {old} can't read what {new} keeps ({written})"
    )]
    IrreversibleStore {
        /// Version of the old build.
        old: String,
        /// Version of the new build.
        new: String,
        /// Format version of the store.
        written: u32,
    },
}

/// What is lost whenever a process is replaced.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Degradation {
    /// The successor can't take over the state of its predecessor.
    #[error(
        "the handover: {old} writes states up to {written}, {new} reads from {oldest_read}: each process begins anew, what is \
         open when the old one ends is answered first, and its connections end"
    )]
    NoHandover {
        /// Version of the old build.
        old: String,
        /// Newest format version that it writes.
        written: u32,
        /// Version of the new build.
        new: String,
        /// Oldest format version that it reads.
        oldest_read: u32,
    },
}

/// Outcome of [`check_compatibility`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompatibilityReport {
    /// Why a rollout from the old build to the new one must not begin.
    pub incompatible: Vec<Incompatibility>,
    /// What is lost whenever a process is replaced.
    pub degraded: Vec<Degradation>,
}

/// Compares two builds: whether they may serve at the same time, and whether the new one can be reverted to the old one.
pub fn check_compatibility(old: &FormatVersions, new: &FormatVersions) -> CompatibilityReport {
    let mut incompatible = Vec::new();
    // While both serve, each reads what the other sends.
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

type RangeOf = fn(&FormatVersions) -> VersionRange;

/// The formats of messages between builds that serve at the same time.
const MESSAGE_FORMATS: [(&str, RangeOf); 3] = [
    ("peers' messages", |versions| versions.peers),
    ("control lines", |versions| versions.control),
    ("decrees", |versions| versions.group_states),
];

/// Whether a build can't read the messages of another one.
fn unreadable(
    format: &'static str,
    range: RangeOf,
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

fn lost_handover(old: &FormatVersions, new: &FormatVersions) -> Option<Degradation> {
    (!old.handover.overlaps(new.handover)).then(|| Degradation::NoHandover {
        old: old.version.clone(),
        written: old.handover.newest,
        new: new.version.clone(),
        oldest_read: new.handover.oldest,
    })
}
