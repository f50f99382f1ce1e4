//! A batch of events: a header, fixed-size records, and a tail with variable-length data.

use super::bytes::{u32_at, u64_at};
use super::error::FrameError;
use super::record::{Record, RECORD_BYTES};

/// Size of the header of a batch, in bytes.
pub const EVENT_HEADER_BYTES: usize = 20;

/// Size of the complete frame with this header, in bytes.
///
/// # Errors
///
/// If the frame is too short for the number of records in its header.
pub fn frame_size(header: &[u8]) -> Result<usize, FrameError> {
    let records = u32_at(header, 0);
    let length = u32_at(header, 4) as usize;
    if length < EVENT_HEADER_BYTES + records as usize * RECORD_BYTES {
        return Err(FrameError::TooShort {
            batch: u32_at(header, 16),
            length,
            records,
        });
    }
    Ok(length)
}

/// A batch of events.
pub struct Batch<'a> {
    /// Number of the batch; the reply repeats it.
    pub number: u32,
    /// Simulated time of the events, in microseconds.
    pub clock: u64,
    /// Number of records.
    pub count: usize,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits a complete frame of at least [`frame_size`] bytes into its parts.
    ///
    /// # Errors
    ///
    /// See [`frame_size`].
    pub fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        let size = frame_size(frame)?;
        let count = u32_at(frame, 0) as usize;
        let tail_at = EVENT_HEADER_BYTES + count * RECORD_BYTES;
        Ok(Batch {
            number: u32_at(frame, 16),
            clock: u64_at(frame, 8),
            count,
            records: &frame[EVENT_HEADER_BYTES..tail_at],
            tail: &frame[tail_at..size],
        })
    }

    /// The record with this index, which must be below `count`.
    pub fn record(&self, index: usize) -> Record<'a> {
        let at = index * RECORD_BYTES;
        let body = &self.records[at..at + RECORD_BYTES];
        Record::new(self.number, index, body, self.tail)
    }
}
