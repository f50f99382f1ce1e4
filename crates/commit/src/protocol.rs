//! Messages of the commit protocol between a coordinator and an ingress: one JSON object per line, starting with the protocol
//! version.
//!
//! Unknown keys in a message of a supported version are ignored; a message of any other version is rejected. Field and variant
//! names are part of the wire format. `serde(rename)` gives the wire name where it differs from the Rust name.

use crate::metrics::IngressMetrics;
use crate::state::{Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Protocol version of sent messages. Version 2 added the messages between members of a group (`wrenfork-consensus`); the
/// messages of version 1 are unchanged in version 2.
pub const VERSION: u32 = 2;
/// Oldest protocol version that is accepted.
pub const OLDEST_VERSION: u32 = 1;

/// Identifies the coordinator that may decide a change. Each coordinator has its own ballot, and a recovering coordinator a
/// higher one than every earlier coordinator; the coordinator's start time is a good choice.
pub type Ballot = u64;

/// A participant's vote for one change, which it keeps until the change is decided.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PreparedVote {
    /// Identity of the change's plan.
    pub change: Digest,
    /// Generation that must be enforced before the change.
    pub base: Generation,
    /// Generation that is enforced after the change.
    pub next: Generation,
    /// Author of the change.
    pub author: String,
    /// Names of all participants of the change, including the voting one.
    pub members: Vec<String>,
}

/// A request from a coordinator or tool to an ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum CommitRequest {
    /// Asks for the enforced generation, the prepared change and the metrics.
    Status,
    /// Phase 1 of two-phase commit: validate a change, store it, and vote for it.
    Prepare {
        /// Vote that the ingress is asked to give.
        #[serde(rename = "promise")]
        vote: PreparedVote,
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// State that the ingress enforces once the change is committed.
        #[serde(rename = "wanted")]
        state: Arc<State>,
    },
    /// Stop accepting decisions on a change from lower ballots, and report its status.
    Fence {
        /// Identity of the change's plan.
        change: Digest,
        /// Ballot of the recovering coordinator.
        ballot: Ballot,
    },
    /// Phase 2 of two-phase commit: commit or abort the change.
    Decide {
        /// Identity of the change's plan.
        change: Digest,
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Whether the change is committed; otherwise it is aborted.
        commit: bool,
    },
    /// Asks for the state of an earlier generation.
    #[serde(rename = "recall")]
    FetchGeneration {
        /// Number of the generation.
        generation: u64,
    },
    /// Asks for the latest audit records.
    History {
        /// Maximum number of records.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Stores an audit record.
    #[serde(rename = "note")]
    AppendRecord {
        /// Record to append to the audit log.
        record: AuditRecord,
    },
}

/// A record of an ingress's audit log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Unix time in seconds, by the ingress's clock.
    #[serde(default)]
    pub at: u64,
    /// Kind of event: `planned`, `promised`, `made`, `given up`, `refused`, `started`.
    #[serde(rename = "what")]
    pub event: String,
    /// Who caused the event.
    pub author: String,
    /// Identity of the change's plan; empty if the event belongs to no change.
    pub change: Digest,
    /// Number of the generation that the change creates.
    pub generation: u64,
    /// Human-readable description.
    #[serde(rename = "why")]
    pub detail: String,
}

/// Status of a change at an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitStatus {
    /// The ingress has no record of the change.
    Unknown,
    /// The ingress has voted for the change, which is undecided.
    #[serde(rename = "promised")]
    Prepared,
    /// The change was committed.
    #[serde(rename = "made")]
    Committed,
    /// The change was aborted.
    #[serde(rename = "dropped")]
    Aborted,
}

/// An ingress's response to a [`CommitRequest`].
///
/// The large variant is not boxed because a response only lives until it is written to the connection.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum CommitResponse {
    /// Response to [`CommitRequest::Status`].
    Status {
        /// Name of the ingress.
        ingress: String,
        /// Generation that is enforced.
        generation: Generation,
        /// State of the enforced generation.
        state: Arc<State>,
        /// Vote for a change whose decision is pending.
        #[serde(rename = "promise")]
        prepared: Option<PreparedVote>,
        /// Metrics of the ingress since its start.
        #[serde(rename = "figures")]
        metrics: IngressMetrics,
    },
    /// The ingress votes for the change.
    #[serde(rename = "yes")]
    Prepared,
    /// The request is rejected, and the ingress's state is unchanged.
    #[serde(rename = "no")]
    Rejected {
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The request can't be carried out now, for example because of a disk error. The ingress's state is unchanged and the
    /// request may be retried.
    #[serde(rename = "unable")]
    Unavailable {
        /// Human-readable reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// Response to [`CommitRequest::Fence`] and [`CommitRequest::Decide`].
    #[serde(rename = "stands")]
    ChangeStatus {
        /// Identity of the change's plan.
        change: Digest,
        /// Status of the change at the ingress.
        #[serde(rename = "stand")]
        status: CommitStatus,
    },
    /// Response to [`CommitRequest::FetchGeneration`].
    #[serde(rename = "was")]
    PastGeneration {
        /// The requested generation.
        generation: Generation,
        /// State of the requested generation.
        state: Arc<State>,
    },
    /// Response to [`CommitRequest::History`].
    Records {
        /// The latest audit records, oldest first.
        records: Vec<AuditRecord>,
    },
    /// Response to [`CommitRequest::AppendRecord`]: the record is stored.
    #[serde(rename = "noted")]
    Recorded,
}

/// Wire form of a message: the protocol version, followed by the message's own fields.
#[derive(Serialize, Deserialize)]
struct VersionedMessage<T> {
    v: u32,
    #[serde(flatten)]
    message: T,
}

/// Encodes a message as one line, including the newline.
pub fn encode_line<T: Serialize>(message: &T) -> String {
    let versioned = VersionedMessage {
        v: VERSION,
        message,
    };
    let mut text = serde_json::to_string(&versioned).unwrap_or_default();
    text.push('\n');
    text
}

/// Why a line can't be decoded.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The line is not a JSON object with a version.
    #[error("not a JSON message with a protocol version: {0}")]
    NoVersion(#[source] serde_json::Error),
    /// The message has an unsupported version.
    #[error(
        "unsupported protocol version {0}: supported are versions {OLDEST_VERSION} to {VERSION}"
    )]
    UnsupportedVersion(u32),
    /// The message is unknown in its version, or one of its fields is missing or invalid.
    #[error("unknown or invalid message: {0}")]
    InvalidMessage(#[source] serde_json::Error),
}

/// The version field alone, decoded before the rest of the message.
#[derive(Deserialize)]
struct MessageVersion {
    v: u32,
}

/// Decodes a message from a line.
///
/// # Errors
///
/// If the line is not a valid message of a supported version.
pub fn decode_line<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, ProtocolError> {
    let version: MessageVersion = serde_json::from_str(text).map_err(ProtocolError::NoVersion)?;
    if !(OLDEST_VERSION..=VERSION).contains(&version.v) {
        return Err(ProtocolError::UnsupportedVersion(version.v));
    }
    let versioned: VersionedMessage<T> =
        serde_json::from_str(text).map_err(ProtocolError::InvalidMessage)?;
    Ok(versioned.message)
}
