//! The simulator's frames: parses batches and writes replies. Every length and offset is checked.

mod batch;
mod bytes;
mod error;
mod record;
mod reply;

pub use batch::{frame_size, Batch, EVENT_HEADER_BYTES};
pub use error::{FieldError, FrameError};
pub use record::{Decoded, Record};
pub use reply::Reply;

#[cfg(test)]
mod tests;
