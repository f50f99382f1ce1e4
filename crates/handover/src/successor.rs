//! The predecessor's side of a handover: the connection to the successor.

use crate::descriptors;
use crate::error::HandoverError;
use crate::frame::{read_message_type, read_reason, StateHeader, OWNERSHIP, READY};
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// The connection to the successor.
#[derive(Debug)]
pub struct Successor(UnixStream);

impl Successor {
    pub(crate) fn new(stream: UnixStream) -> Successor {
        Successor(stream)
    }

    /// Hands over the state. On success the successor owns the state, and this process must not decide anything any more; on
    /// failure this process keeps the state.
    ///
    /// # Errors
    ///
    /// Why the successor did not take over.
    pub fn hand_over(&mut self, state: &[u8]) -> Result<(), HandoverError> {
        let header = StateHeader::of(state).to_bytes();
        self.0
            .write_all(&header)
            .and_then(|()| self.0.write_all(state))
            .map_err(HandoverError::connection("state"))?;
        let message_type =
            read_message_type(&mut self.0).map_err(HandoverError::connection("ready"))?;
        if message_type != READY {
            return Err(HandoverError::StateRejected(read_reason(&mut self.0)));
        }
        self.0
            .write_all(&[OWNERSHIP])
            .map_err(HandoverError::connection("ownership"))
    }

    /// Sends descriptors and closes each one in this process once it has been sent.
    ///
    /// # Errors
    ///
    /// If the successor is gone or does not receive descriptors in time. The remaining descriptors are closed.
    pub fn send_descriptors(&mut self, descriptors: Vec<OwnedFd>) -> Result<(), HandoverError> {
        descriptors::send_all(&self.0, descriptors)
            .map_err(|errno| HandoverError::Descriptors(errno.into()))
    }
}
