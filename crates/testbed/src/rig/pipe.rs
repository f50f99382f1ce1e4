//! A non-blocking connection with buffers for received and unsent bytes.

use mio::net::TcpStream;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::time::Duration;

/// The maximum of unsent bytes; beyond it the peer is taken to read nothing, and the connection is dropped.
const MAX_UNSENT_BYTES: usize = 8 << 20;

/// The state of a connection after a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// The peer may send more.
    Open,
    /// The peer has closed its sending side.
    Ended,
    /// The connection was reset, or could not be established.
    Reset,
}

/// A connection with its buffers.
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

    /// Reads all available bytes into `inbox`.
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

    /// Sends bytes, now or once the socket is writable. Returns false if the connection has failed.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.outbox.extend_from_slice(bytes);
        self.outbox.len() < MAX_UNSENT_BYTES && self.flush()
    }

    /// Writes unsent bytes as far as the socket takes them. Returns false if the connection has failed.
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

    /// Whether no unsent bytes are left.
    pub fn all_written(&self) -> bool {
        self.written == self.outbox.len()
    }

    /// Makes closing the connection send a reset (RST).
    pub fn reset_on_close(&self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
