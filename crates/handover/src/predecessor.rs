//! The process that was there before, as the new one sees it.

use crate::connection::connect;
use crate::descriptors;
use crate::error::HandoverError;
use crate::frame::{
    read_layout, read_reason, read_word, reject, Hello, StateHeader, HANDOVER_PROTOCOL, LAYOUT, NO,
    READY, STATE, YOURS,
};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::ops::RangeInclusive;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;

/// What the reason of a rejection begins with that is because of the layout, from a process that knows no [`LAYOUT`].
const LAYOUT_REASON: &str = "state of layout ";

/// The process that was there before.
#[derive(Debug)]
pub struct Predecessor(UnixStream);

/// A state that a predecessor offers. It is the predecessor's until [`Predecessor::take_over`].
#[derive(Debug)]
pub struct OfferedState {
    /// Who offers it.
    pub predecessor: Predecessor,
    /// Its layout.
    pub layout: u32,
    /// The state, complete.
    pub state: Vec<u8>,
}

/// What a predecessor answers to a hello.
enum Answer {
    /// The state follows.
    State(UnixStream),
    /// Nobody is there.
    Absent,
    /// Another layout is to be asked for.
    Retry(u32),
}

impl Predecessor {
    /// Asks the process that listens at a path for its state, of the highest of `layouts` that it writes; none if there is no
    /// process. A state has `max_bytes` at most.
    ///
    /// # Errors
    ///
    /// Where it does not answer, or does not give a complete state of one of the layouts.
    pub fn request_state(
        path: &Path,
        layouts: RangeInclusive<u32>,
        max_bytes: usize,
    ) -> Result<Option<OfferedState>, HandoverError> {
        let mut layout = *layouts.end();
        let mut stream = loop {
            match ask(path, layout, &layouts)? {
                Answer::State(stream) => break stream,
                Answer::Absent => return Ok(None),
                // Always lower than before, so that this comes to an end.
                Answer::Retry(lower) => layout = lower,
            }
        };
        let state = read_state(&mut stream, max_bytes)?;
        Ok(Some(OfferedState {
            predecessor: Predecessor(stream),
            layout,
            state,
        }))
    }

    /// Declines the state: it stays the predecessor's.
    pub fn decline(mut self, reason: &str) {
        reject(&mut self.0, reason);
    }

    /// Takes the state over. If this succeeds all is this process's; if not it is the predecessor's, for good.
    ///
    /// # Errors
    ///
    /// Why it is not this process's.
    pub fn take_over(&mut self) -> Result<(), HandoverError> {
        self.0
            .write_all(&[READY])
            .map_err(HandoverError::connection("ready"))?;
        match read_word(&mut self.0) {
            Ok(YOURS) => Ok(()),
            Ok(_) => Err(HandoverError::UnexpectedWord),
            Err(_) if self.said_yours_late() => Ok(()),
            Err(error) => Err(HandoverError::connection("yours")(error)),
        }
    }

    /// Whether the predecessor has said the last word behind the timeout. From here on it can't say it any more; if it has, all
    /// is this process's, but for the sockets that were still to come.
    fn said_yours_late(&mut self) -> bool {
        let _ = self.0.shutdown(Shutdown::Read);
        let _ = self.0.set_nonblocking(true);
        let mut word = [0];
        self.0.read(&mut word).is_ok_and(|count| count == 1) && word[0] == YOURS
    }

    /// Receives so many descriptors, or as many as came before the predecessor was gone.
    pub fn receive_descriptors(&mut self, count: usize) -> Vec<OwnedFd> {
        descriptors::receive(&self.0, count)
    }
}

/// Says hello, and reads whether the state follows.
fn ask(path: &Path, layout: u32, layouts: &RangeInclusive<u32>) -> Result<Answer, HandoverError> {
    let Some(mut stream) = connect(path)? else {
        return Ok(Answer::Absent);
    };
    let hello = Hello {
        protocol: HANDOVER_PROTOCOL,
        layout,
    };
    hello
        .write(&mut stream)
        .map_err(HandoverError::connection("hello"))?;
    let word = read_word(&mut stream).map_err(HandoverError::connection("state"))?;
    let reason = match word {
        STATE => return Ok(Answer::State(stream)),
        LAYOUT => {
            let highest = read_layout(&mut stream).map_err(HandoverError::connection("layout"))?;
            if layouts.contains(&highest) && highest < layout {
                return Ok(Answer::Retry(highest));
            }
            format!("{LAYOUT_REASON}{highest}, not {layout}")
        }
        _ => read_reason(&mut stream),
    };
    // A process from before there was more than one layout rejects any other in words.
    if word == NO && layout > *layouts.start() && reason.starts_with(LAYOUT_REASON) {
        return Ok(Answer::Retry(layout - 1));
    }
    Err(HandoverError::NoState(reason))
}

/// Reads the state behind the word [`STATE`].
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
