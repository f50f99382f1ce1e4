//! Errors that end the adapter.

use crate::wire::FrameError;
use std::io;
use thiserror::Error;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input ended inside a header.
    #[error("input ended after {read} bytes of a batch header")]
    TruncatedHeader {
        /// Bytes of the header that were read.
        read: usize,
    },
    /// The input ended inside a batch.
    #[error("input ended inside a batch: {read} of {expected} bytes after its header")]
    TruncatedBatch {
        /// Bytes after the header that were read.
        read: u64,
        /// Bytes after the header, according to the length in the header.
        expected: u64,
    },
    /// Reading a header failed.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(#[source] io::Error),
    /// Reading the rest of a batch failed.
    #[error("cannot read a batch: {0}")]
    ReadBatch(#[source] io::Error),
    /// Writing a reply failed.
    #[error("cannot write a reply: {0}")]
    WriteReply(#[source] io::Error),
    /// A frame is invalid.
    #[error(transparent)]
    Frame(#[from] FrameError),
}
