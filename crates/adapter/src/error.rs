//! Why the adapter ends.

use crate::wire::FrameError;
use std::io;
use thiserror::Error;

/// What ends the adapter before its input does.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input ended inside a header.
    #[error("input ended after {read} bytes of a batch header")]
    CutHeader {
        /// Bytes of the header that came.
        read: usize,
    },
    /// The input ended inside a batch.
    #[error("input ended inside a batch: {read} of {expected} bytes after its header")]
    CutBatch {
        /// Bytes after the header that came.
        read: u64,
        /// Bytes that its header claims.
        expected: u64,
    },
    /// A header could not be read.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(#[source] io::Error),
    /// A batch could not be read.
    #[error("cannot read a batch: {0}")]
    ReadBatch(#[source] io::Error),
    /// A reply could not be written.
    #[error("cannot write a reply: {0}")]
    WriteReply(#[source] io::Error),
    /// A frame has no meaning.
    #[error(transparent)]
    Frame(#[from] FrameError),
}
