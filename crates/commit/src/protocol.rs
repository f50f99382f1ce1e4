//! Messages of the commit protocol between a coordinator and an ingress: one JSON object a line, with the protocol's version
//! first.
//!
//! Keys that are unknown in a message of a known version are skipped; a message of another version is rejected. Field and
//! variant names are part of the wire format: a name that differs from the Rust one is given by `serde(rename)`.

use crate::metrics::IngressMetrics;
use crate::state::{Digest, Generation, State};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use thiserror::Error;

/// Version of the protocol. Since version 2 members of a group exchange messages as well (`wrenfork-consensus`); the messages
/// of version 1 are the same in version 2.
pub const VERSION: u32 = 2;
/// Oldest version that is understood.
pub const OLDEST_VERSION: u32 = 1;

/// Identifies who may decide a change. Each coordinator has a ballot of its own, and one that recovers a change a higher
/// one than all before it; the time of its start is a good choice.
pub type Ballot = u64;

/// A vote to make one change, if the coordinator so decides.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PreparedVote {
    /// The change: the identity of its plan.
    pub change: Digest,
    /// What must be enforced before it.
    pub base: Generation,
    /// What is enforced after it.
    pub next: Generation,
    /// Who made the change.
    pub author: String,
    /// Names of all participants of the change, this one among them.
    pub members: Vec<String>,
}

/// A request to an ingress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum CommitRequest {
    /// Asks what it enforces and has prepared.
    Status,
    /// Phase 1 of two-phase commit: validate a change, store it, and vote to make it.
    Prepare {
        /// The vote that is asked for.
        #[serde(rename = "promise")]
        vote: PreparedVote,
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// What the ingress is to enforce.
        #[serde(rename = "wanted")]
        state: Arc<State>,
    },
    /// Accept decisions on a change from no lower ballot any more, and report its status.
    Fence {
        /// The change.
        change: Digest,
        /// Ballot of the recovering coordinator.
        ballot: Ballot,
    },
    /// Phase 2 of two-phase commit: make the change or discard it.
    Decide {
        /// The change.
        change: Digest,
        /// Ballot of the coordinator.
        ballot: Ballot,
        /// Whether the change is made.
        commit: bool,
    },
    /// Asks what was enforced under an earlier generation.
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
        /// The record.
        record: AuditRecord,
    },
}

/// A record of the audit log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Unix time by the ingress's clock, in seconds.
    #[serde(default)]
    pub at: u64,
    /// Kind of event: `planned`, `promised`, `made`, `given up`, `refused`, `started`.
    #[serde(rename = "what")]
    pub event: String,
    /// Who caused it.
    pub author: String,
    /// The change, if there is one.
    pub change: Digest,
    /// Number of the generation the change makes.
    pub generation: u64,
    /// Description for people.
    #[serde(rename = "why")]
    pub detail: String,
}

/// Status of a change at an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitStatus {
    /// Nothing is known of it.
    Unknown,
    /// The ingress has voted for it.
    #[serde(rename = "promised")]
    Prepared,
    /// The change was made.
    #[serde(rename = "made")]
    Committed,
    /// The change was discarded.
    #[serde(rename = "dropped")]
    Aborted,
}

/// An ingress's response.
///
/// A response lives only until it is written to its connection, so the large variant is not boxed.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum CommitResponse {
    /// To [`CommitRequest::Status`].
    Status {
        /// Name of the ingress.
        ingress: String,
        /// Generation that is enforced.
        generation: Generation,
        /// Its state.
        state: Arc<State>,
        /// What the ingress has voted for and is not decided.
        #[serde(rename = "promise")]
        prepared: Option<PreparedVote>,
        /// Metrics of the ingress.
        #[serde(rename = "figures")]
        metrics: IngressMetrics,
    },
    /// The ingress votes for the change.
    #[serde(rename = "yes")]
    Prepared,
    /// The request is rejected; nothing has changed.
    #[serde(rename = "no")]
    Rejected {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The request can't be carried out now, for example because of the disk; nothing has changed and it may be retried.
    #[serde(rename = "unable")]
    Unavailable {
        /// Why, for people.
        #[serde(rename = "why")]
        reason: String,
    },
    /// To [`CommitRequest::Fence`] and [`CommitRequest::Decide`].
    #[serde(rename = "stands")]
    ChangeStatus {
        /// The change.
        change: Digest,
        /// Its status.
        #[serde(rename = "stand")]
        status: CommitStatus,
    },
    /// To [`CommitRequest::FetchGeneration`].
    #[serde(rename = "was")]
    PastGeneration {
        /// The generation.
        generation: Generation,
        /// Its state.
        state: Arc<State>,
    },
    /// To [`CommitRequest::History`].
    Records {
        /// The records, oldest first.
        records: Vec<AuditRecord>,
    },
    /// The audit record is stored.
    #[serde(rename = "noted")]
    Recorded,
}

/// A message with the protocol's version, as it is sent.
#[derive(Serialize, Deserialize)]
struct VersionedMessage<T> {
    v: u32,
    #[serde(flatten)]
    message: T,
}

/// Encodes a message as a line, with its newline.
pub fn encode_line<T: Serialize>(message: &T) -> String {
    let versioned = VersionedMessage {
        v: VERSION,
        message,
    };
    let mut text = serde_json::to_string(&versioned).unwrap_or_default();
    text.push('\n');
    text
}

/// Why a line is no message.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The line is no JSON object with a version.
    #[error("no message of this protocol: {0}")]
    NotAMessage(#[source] serde_json::Error),
    /// The message has a version that is not understood.
    #[error(
        "the message is of version {0}, and versions {OLDEST_VERSION} to {VERSION} are spoken here"
    )]
    UnknownVersion(u32),
    /// The message is none of those of its version.
    #[error("not understood: {0}")]
    NotUnderstood(#[source] serde_json::Error),
}

/// The version of a message, whatever else it is.
#[derive(Deserialize)]
struct MessageVersion {
    v: u32,
}

/// Decodes a line.
///
/// # Errors
///
/// If the line has another version, or is no message of this protocol.
pub fn decode_line<T: for<'a> Deserialize<'a>>(text: &str) -> Result<T, ProtocolError> {
    let version: MessageVersion = serde_json::from_str(text).map_err(ProtocolError::NotAMessage)?;
    if !(OLDEST_VERSION..=VERSION).contains(&version.v) {
        return Err(ProtocolError::UnknownVersion(version.v));
    }
    let versioned: VersionedMessage<T> =
        serde_json::from_str(text).map_err(ProtocolError::NotUnderstood)?;
    Ok(versioned.message)
}
