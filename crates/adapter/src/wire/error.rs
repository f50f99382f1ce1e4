//! What may be wrong with a frame.

use std::str::Utf8Error;
use thiserror::Error;

/// A frame that cannot be read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame's length cannot hold its records.
    #[error("batch {batch}: length {length} is too short for its {records} records")]
    TooShort {
        /// The batch's number.
        batch: u32,
        /// The length that its header claims, in bytes.
        length: usize,
        /// The records that its header claims.
        records: u32,
    },
    /// A field of a record has no meaning.
    #[error("batch {batch}, record {record}, field {field}: {source}")]
    Field {
        /// The batch's number.
        batch: u32,
        /// The record's index.
        record: usize,
        /// The field's name in the protocol.
        field: &'static str,
        /// What is wrong with it.
        source: FieldFault,
    },
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum FieldFault {
    /// An outcome that is not in the protocol.
    #[error("unknown code {0}")]
    UnknownCode(u16),
    /// A kind of endpoint list that is not in the protocol.
    #[error("unknown kind {0}")]
    UnknownKind(u8),
    /// A state of an endpoint that is not in the protocol.
    #[error("unknown state {0}")]
    UnknownState(u8),
    /// The field points outside the frame's tail.
    #[error("offset {offset} and count {count} leave the tail of {tail} bytes")]
    OutsideTail {
        /// Where it begins in the tail, in bytes.
        offset: usize,
        /// How many entries it has.
        count: usize,
        /// The tail's length in bytes.
        tail: usize,
    },
    /// A text that is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// Settings that cannot be read; the text names the setting.
    #[error("{0}")]
    Settings(String),
    /// An event for an instance that is not running.
    #[error("no such instance is running; ignored")]
    NotRunning,
}
