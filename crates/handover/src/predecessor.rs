//! The successor's side of a handover: the connection to the predecessor.

use crate::connection::connect;
use crate::descriptors;
use crate::error::HandoverError;
use crate::frame::{
    read_layout, read_message_type, read_reason, reject, Hello, StateHeader, HANDOVER_PROTOCOL,
    LAYOUT, OWNERSHIP, READY, REJECTED, STATE,
};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::ops::RangeInclusive;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;

/// Prefix of the reason with which a process that predates [`LAYOUT`] rejects a layout.
const LAYOUT_REASON: &str = "state of layout ";

/// The connection to the predecessor.
#[derive(Debug)]
pub struct Predecessor(UnixStream);

/// A state that the predecessor offers. The predecessor owns the state until [`Predecessor::take_over`] succeeds.
#[derive(Debug)]
pub struct OfferedState {
    /// The connection to the predecessor.
    pub predecessor: Predecessor,
    /// The layout of the state, at most the highest one asked for.
    pub layout: u32,
    /// The complete state, with its digest verified.
    pub state: Vec<u8>,
}

/// The result of sending a hello.
enum HelloResult {
    /// The predecessor sends its state next on this connection.
    State(UnixStream),
    /// No predecessor is running.
    Absent,
    /// The layout was rejected; try this lower one.
    Retry(u32),
}

impl Predecessor {
    /// Requests the state of the process that listens on `path`, in the highest of `layouts` that the process writes; `None` if
    /// there is no such process. The state may have at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// If the process does not respond, or does not send a complete state in one of the layouts.
    pub fn request_state(
        path: &Path,
        layouts: RangeInclusive<u32>,
        max_bytes: usize,
    ) -> Result<Option<OfferedState>, HandoverError> {
        let mut layout = *layouts.end();
        let mut stream = loop {
            match send_hello(path, layout, &layouts)? {
                HelloResult::State(stream) => break stream,
                HelloResult::Absent => return Ok(None),
                // The layout decreases with each retry, so the loop terminates.
                HelloResult::Retry(lower) => layout = lower,
            }
        };
        let state = read_state(&mut stream, max_bytes)?;
        Ok(Some(OfferedState {
            predecessor: Predecessor(stream),
            layout,
            state,
        }))
    }

    /// Declines the state; the predecessor keeps it.
    pub fn decline(mut self, reason: &str) {
        reject(&mut self.0, reason);
    }

    /// Takes over the state. On success this process owns the state; on failure the predecessor keeps it, and this connection
    /// can't be used to take over any more.
    ///
    /// # Errors
    ///
    /// Why the predecessor keeps the state.
    pub fn take_over(&mut self) -> Result<(), HandoverError> {
        self.0
            .write_all(&[READY])
            .map_err(HandoverError::connection("ready"))?;
        match read_message_type(&mut self.0) {
            Ok(OWNERSHIP) => Ok(()),
            Ok(_) => Err(HandoverError::UnexpectedMessage),
            Err(_) if self.received_ownership_late() => Ok(()),
            Err(error) => Err(HandoverError::connection("ownership")(error)),
        }
    }

    /// Checks after a timeout whether the ownership message has arrived meanwhile. Shuts down reading first, so that the
    /// predecessor can't send the message later. If it has arrived, this process owns the state, but can't receive the
    /// predecessor's sockets any more.
    fn received_ownership_late(&mut self) -> bool {
        let _ = self.0.shutdown(Shutdown::Read);
        let _ = self.0.set_nonblocking(true);
        let mut message_type = [0];
        self.0.read(&mut message_type).is_ok_and(|count| count == 1) && message_type[0] == OWNERSHIP
    }

    /// Receives `count` descriptors, or fewer if the predecessor ends before it has sent them all.
    pub fn receive_descriptors(&mut self, count: usize) -> Vec<OwnedFd> {
        descriptors::receive(&self.0, count)
    }
}

/// Connects, sends a hello for `layout` and reads the type of the response.
fn send_hello(
    path: &Path,
    layout: u32,
    layouts: &RangeInclusive<u32>,
) -> Result<HelloResult, HandoverError> {
    let Some(mut stream) = connect(path)? else {
        return Ok(HelloResult::Absent);
    };
    let hello = Hello {
        protocol: HANDOVER_PROTOCOL,
        layout,
    };
    hello
        .write(&mut stream)
        .map_err(HandoverError::connection("hello"))?;
    let message_type =
        read_message_type(&mut stream).map_err(HandoverError::connection("state"))?;
    let reason = match message_type {
        STATE => return Ok(HelloResult::State(stream)),
        LAYOUT => {
            let highest = read_layout(&mut stream).map_err(HandoverError::connection("layout"))?;
            if layouts.contains(&highest) && highest < layout {
                return Ok(HelloResult::Retry(highest));
            }
            format!("{LAYOUT_REASON}{highest}, not {layout}")
        }
        _ => read_reason(&mut stream),
    };
    // A process that predates the LAYOUT message rejects unknown layouts with a textual reason.
    if message_type == REJECTED && layout > *layouts.start() && reason.starts_with(LAYOUT_REASON) {
        return Ok(HelloResult::Retry(layout - 1));
    }
    Err(HandoverError::NoState(reason))
}

/// Reads the state that follows the type byte [`STATE`].
fn read_state(stream: &mut UnixStream, max_bytes: usize) -> Result<Vec<u8>, HandoverError> {
    let header = StateHeader::read(stream).map_err(HandoverError::connection("state"))?;
    if usize::try_from(header.length).map_or(true, |length| length > max_bytes) {
        reject(stream, "the state is too large");
        return Err(HandoverError::StateTooLarge {
            length: header.length,
            limit: max_bytes,
        });
    }
    let mut state = Vec::new();
    Read::by_ref(stream)
        .take(header.length)
        .read_to_end(&mut state)
        .map_err(HandoverError::connection("state"))?;
    if StateHeader::of(&state) != header {
        reject(stream, "the state is not whole");
        return Err(HandoverError::StateDamaged);
    }
    Ok(state)
}
