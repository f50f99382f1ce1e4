//! The process that comes after, as the one that serves sees it.

use crate::descriptors;
use crate::error::HandoverError;
use crate::frame::{read_reason, read_word, StateHeader, READY, YOURS};
use std::io::Write;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// The process that comes after.
#[derive(Debug)]
pub struct Successor(UnixStream);

impl Successor {
    pub(crate) fn new(stream: UnixStream) -> Successor {
        Successor(stream)
    }

    /// Hands the state over. If this succeeds it is the successor's, and nothing may be decided here any more; if not, it is
    /// this process's as before.
    ///
    /// # Errors
    ///
    /// Why it is not the successor's.
    pub fn hand_over(&mut self, state: &[u8]) -> Result<(), HandoverError> {
        let header = StateHeader::of(state).to_bytes();
        self.0
            .write_all(&header)
            .and_then(|()| self.0.write_all(state))
            .map_err(HandoverError::connection("state"))?;
        let word = read_word(&mut self.0).map_err(HandoverError::connection("ready"))?;
        if word != READY {
            return Err(HandoverError::StateRejected(read_reason(&mut self.0)));
        }
        self.0
            .write_all(&[YOURS])
            .map_err(HandoverError::connection("yours"))
    }

    /// Sends descriptors, each closed here as soon as it is on its way.
    ///
    /// # Errors
    ///
    /// Where the successor is gone or takes none: these are lost.
    pub fn send_descriptors(&mut self, descriptors: Vec<OwnedFd>) -> Result<(), HandoverError> {
        descriptors::send_all(&self.0, descriptors)
            .map_err(|errno| HandoverError::Descriptors(errno.into()))
    }
}
