//! Who connects to a process that serves: its successor, or its supervisor.

use crate::connection;
use crate::error::HandoverError;
use crate::frame::{reject, reject_layout, Hello, HANDOVER_PROTOCOL, SUPERVISOR_PROTOCOL};
use crate::listener::ListenerLender;
use crate::successor::Successor;
use std::ops::RangeInclusive;
use std::os::unix::net::UnixStream;

/// Whoever connects to a process that serves.
#[derive(Debug)]
pub enum Caller {
    /// The process that comes after.
    Successor {
        /// The process.
        successor: Successor,
        /// The layout of the state that it reads.
        layout: u32,
    },
    /// The supervisor of this process: it has lost the listening socket, and is lent it again.
    Supervisor(ListenerLender),
}

impl Caller {
    /// Reads the hello of whoever connected; `layouts` are those of the state that are written here.
    ///
    /// # Errors
    ///
    /// Where it is no process of this user's, or speaks another protocol or layout.
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
