//! Reasons why a received frame or one of its fields is rejected.

use std::str::Utf8Error;
use thiserror::Error;

/// Reason why a frame is invalid, with the number of the batch at fault.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length of the frame is too short for its records.
    #[error("batch {batch}: length {length} is too short for its {records} records")]
    TooShort {
        /// Number of the batch.
        batch: u32,
        /// Length of the frame according to its header, in bytes.
        length: usize,
        /// Number of records according to the header.
        records: u32,
    },
    /// A field of a record has an invalid value.
    #[error("batch {batch}, record {record}, field {field}: {source}")]
    Field {
        /// Number of the batch.
        batch: u32,
        /// Index of the record in the batch.
        record: usize,
        /// Name of the field in the protocol.
        field: &'static str,
        /// What is wrong with the field.
        source: FieldError,
    },
}

/// An error in a field of a record.
#[derive(Debug, Error)]
pub enum FieldError {
    /// An outcome code that the protocol does not define.
    #[error("unknown code {0}")]
    UnknownCode(u16),
    /// A kind of endpoint list that the protocol does not define.
    #[error("unknown kind {0}")]
    UnknownKind(u8),
    /// An endpoint state that the protocol does not define.
    #[error("unknown state {0}")]
    UnknownState(u8),
    /// The field refers to bytes outside the tail of the frame.
    #[error("offset {offset} and count {count} exceed the tail of {tail} bytes")]
    OutsideTail {
        /// Start of the data in the tail, in bytes.
        offset: usize,
        /// Number of entries.
        count: usize,
        /// Length of the tail, in bytes.
        tail: usize,
    },
    /// The text is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// The settings are invalid. The text names the setting.
    #[error("{0}")]
    Settings(String),
    /// The event is for an instance that is not running.
    #[error("no such instance is running; event ignored")]
    NotRunning,
}
