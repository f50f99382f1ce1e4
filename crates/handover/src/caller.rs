//! The process that connects to a serving process: its successor or its supervisor.

use crate::connection;
use crate::error::HandoverError;
use crate::frame::{reject, reject_layout, Hello, HANDOVER_PROTOCOL, SUPERVISOR_PROTOCOL};
use crate::listener::ListenerLender;
use crate::successor::Successor;
use std::ops::RangeInclusive;
use std::os::unix::net::UnixStream;

/// The process at the other end of an accepted connection.
#[derive(Debug)]
pub enum Caller {
    /// A successor that asks for the state.
    Successor {
        /// The connection to the successor.
        successor: Successor,
        /// The layout of the state that the successor asks for.
        layout: u32,
    },
    /// The supervisor of this process, which has lost the listening socket and borrows it again.
    Supervisor(ListenerLender),
}

impl Caller {
    /// Reads the caller's hello. `layouts` are the state layouts that this process can write.
    ///
    /// # Errors
    ///
    /// If the caller runs as another user, sends no valid hello in time, or asks for another protocol or layout.
    pub fn accept(
        mut stream: UnixStream,
        layouts: RangeInclusive<u32>,
    ) -> Result<Caller, HandoverError> {
        connection::accept(&stream)?;
        let hello = Hello::read(&mut stream).map_err(HandoverError::connection("hello"))?;
        if hello.protocol == SUPERVISOR_PROTOCOL {
            return Ok(Caller::Supervisor(ListenerLender::new(stream)));
        }
        if hello.protocol != HANDOVER_PROTOCOL {
            reject(&mut stream, "another channel");
            return Err(HandoverError::OtherProtocol);
        }
        if !layouts.contains(&hello.layout) {
            let highest = *layouts.end();
            reject_layout(&mut stream, highest);
            return Err(HandoverError::UnknownLayout {
                wanted: hello.layout,
                highest,
            });
        }
        Ok(Caller::Successor {
            successor: Successor::new(stream),
            layout: hello.layout,
        })
    }
}
