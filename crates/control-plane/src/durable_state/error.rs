//! Errors of reading and writing the durable state.

use wrenfork_store::StoreError;

/// An error of reading or writing the durable state.
#[derive(Debug, thiserror::Error)]
pub enum DurableStateError {
    /// The durable state was closed: the process is shutting down or has handed over.
    #[error("the durable state is closed: the process is stopping or has handed over")]
    Closed,
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value can't be encoded as JSON, or a stored record or generation can't be decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The stored state of the participant can't be decoded.
    #[error("the stored participant state can't be decoded: {0}")]
    UnreadableMemory(#[source] serde_json::Error),
    /// The stored enforced state does not match its digest.
    #[error("the stored enforced state does not match its digest")]
    WrongDigest,
    /// The stored state of the group member can't be read.
    #[error("the stored group member state can't be read: {0}")]
    UnreadableMember(#[from] MemberError),
}

/// An error of reading the persistent state of a group member.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The stored JSON can't be decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A referenced group state is not in the store.
    #[error("a referenced group state is missing from the store")]
    MissingGroupState,
    /// A stored group state is invalid or does not match its digest; the message says why.
    #[error("{0}")]
    InvalidGroupState(String),
}
