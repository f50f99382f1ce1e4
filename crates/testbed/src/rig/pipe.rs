//! A connection with what has come and what is still to be written.

use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::time::Duration;

/// The most that may wait to be written before a peer that reads nothing is given up.
const MOST_UNWRITTEN: usize = 8 << 20;

/// Where a connection stands after a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It goes on.
    Open,
    /// The other side has ended its sending.
    Ended,
    /// It was reset, or never came up.
    Reset,
}

/// A connection.
pub struct Pipe {
    pub stream: TcpStream,
    pub inbox: Vec<u8>,
    outbox: Vec<u8>,
    written: usize,
}

impl Pipe {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Pipe {
            stream,
            inbox: Vec::new(),
            outbox: Vec::new(),
            written: 0,
        }
    }

    /// Takes in what has come.
    pub fn fill(&mut self, chunk: &mut [u8]) -> Flow {
        loop {
            match self.stream.read(chunk) {
                Ok(0) => return Flow::Ended,
                Ok(n) => self.inbox.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return Flow::Open
                }
                Err(_) => return Flow::Reset,
            }
        }
    }

    /// Has something written, now or once there is room; false if the connection is of no more use.
    pub fn say(&mut self, bytes: &[u8]) -> bool {
        self.outbox.extend_from_slice(bytes);
        self.outbox.len() < MOST_UNWRITTEN && self.flush()
    }

    /// Writes on; false if the connection is of no more use.
    pub fn flush(&mut self) -> bool {
        while !self.all_written() {
            match self.stream.write(&self.outbox[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return true
                }
                Err(_) => return false,
            }
        }
        self.outbox.clear();
        self.written = 0;
        true
    }

    /// Whether nothing waits to be written.
    pub fn all_written(&self) -> bool {
        self.written == self.outbox.len()
    }

    /// Has the connection's end be a reset.
    pub fn reset_on_close(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
