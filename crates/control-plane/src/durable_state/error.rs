//! Why the durable state can't be read or written.

use wrenfork_store::StoreError;

/// Why the durable state can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum DurableStateError {
    /// It was closed: the process is ending, or has handed over.
    #[error("it is stopping")]
    Closed,
    /// The store fails.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What is to be written has no JSON form, or a record or generation can't be read.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// What is enforced can't be read.
    #[error("what is kept can't be read: {0}")]
    UnreadableMemory(#[source] serde_json::Error),
    /// What is enforced is not what its digest says.
    #[error("what is kept does not have its own digest")]
    WrongDigest,
    /// What a member of a group has promised can't be read.
    #[error("what is kept of the group can't be read: {0}")]
    UnreadableMember(#[from] MemberError),
}

/// Why what a member of a group has promised can't be read.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The store fails.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// It is no JSON of this form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A state of the group that it names is not stored.
    #[error("a decree is missing")]
    MissingGroupState,
    /// A state of the group is not what its digest says, or not valid.
    #[error("{0}")]
    InvalidGroupState(String),
}
