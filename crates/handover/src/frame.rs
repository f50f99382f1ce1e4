//! The wire format of the channel. A hello consists of eight bytes that name the protocol, the last of which is its version, and
//! four bytes for the layout. Every later message begins with a type byte. Numbers are in network byte order.

use sha2::{Digest, Sha256};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;

/// Protocol name in the hello of a successor.
pub const HANDOVER_PROTOCOL: [u8; PROTOCOL_BYTES] = *b"wrenhnd1";
/// Protocol name in the hello of a supervisor that borrows the listening socket.
pub const SUPERVISOR_PROTOCOL: [u8; PROTOCOL_BYTES] = *b"wrenkpr1";
const PROTOCOL_BYTES: usize = 8;
const LAYOUT_BYTES: usize = 4;
const LENGTH_BYTES: usize = 8;
const DIGEST_BYTES: usize = 32;

/// Maximum length of a rejection's reason in bytes.
const MAX_REASON_BYTES: usize = 512;

/// Message type: the state, followed by its length, digest and bytes.
pub const STATE: u8 = b'S';
/// Message type: a rejection, followed by the reason.
pub const REJECTED: u8 = b'N';
/// Message type: a rejection of the layout, followed by the highest layout that the predecessor writes.
pub const LAYOUT: u8 = b'L';
/// Message type: the successor has read the state and is ready to take over.
pub const READY: u8 = b'R';
/// Message type: the successor owns the state from now on.
pub const OWNERSHIP: u8 = b'Y';

/// The first message of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// [`HANDOVER_PROTOCOL`], [`SUPERVISOR_PROTOCOL`] or an unknown protocol.
    pub protocol: [u8; PROTOCOL_BYTES],
    /// The requested layout of the state; 0 in the hello of a supervisor.
    pub layout: u32,
}

impl Hello {
    pub fn read(stream: &mut UnixStream) -> io::Result<Hello> {
        let mut protocol = [0; PROTOCOL_BYTES];
        stream.read_exact(&mut protocol)?;
        Ok(Hello {
            protocol,
            layout: read_layout(stream)?,
        })
    }

    pub fn write(&self, stream: &mut UnixStream) -> io::Result<()> {
        let mut bytes = self.protocol.to_vec();
        bytes.extend_from_slice(&self.layout.to_be_bytes());
        stream.write_all(&bytes)
    }
}

/// The header before the bytes of a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateHeader {
    pub length: u64,
    digest: [u8; DIGEST_BYTES],
}

impl StateHeader {
    pub fn of(state: &[u8]) -> StateHeader {
        StateHeader {
            length: state.len() as u64,
            digest: Sha256::digest(state).into(),
        }
    }

    /// Reads the header that follows the type byte [`STATE`].
    pub fn read(stream: &mut UnixStream) -> io::Result<StateHeader> {
        let mut length = [0; LENGTH_BYTES];
        stream.read_exact(&mut length)?;
        let mut digest = [0; DIGEST_BYTES];
        stream.read_exact(&mut digest)?;
        Ok(StateHeader {
            length: u64::from_be_bytes(length),
            digest,
        })
    }

    /// Encodes the type byte [`STATE`] and the header.
    pub fn to_bytes(self) -> Vec<u8> {
        let mut bytes = vec![STATE];
        bytes.extend_from_slice(&self.length.to_be_bytes());
        bytes.extend_from_slice(&self.digest);
        bytes
    }
}

pub fn read_message_type(stream: &mut UnixStream) -> io::Result<u8> {
    let mut message_type = [0];
    stream.read_exact(&mut message_type)?;
    Ok(message_type[0])
}

pub fn read_layout(stream: &mut UnixStream) -> io::Result<u32> {
    let mut layout = [0; LAYOUT_BYTES];
    stream.read_exact(&mut layout)?;
    Ok(u32::from_be_bytes(layout))
}

/// Rejects a layout and sends the highest one that this process writes. Write errors are ignored: the peer is gone then.
pub fn reject_layout(stream: &mut UnixStream, highest: u32) {
    let _ = stream
        .write_all(&[LAYOUT])
        .and_then(|()| stream.write_all(&highest.to_be_bytes()));
}

/// Sends a rejection with a reason. Write errors are ignored: the peer is gone then.
pub fn reject(stream: &mut UnixStream, reason: &str) {
    let bytes = &reason.as_bytes()[..reason.len().min(MAX_REASON_BYTES)];
    let _ = stream
        .write_all(&[REJECTED])
        .and_then(|()| stream.write_all(bytes));
}

/// Reads the reason of a rejection; returns what was received if the connection fails.
pub fn read_reason(stream: &mut UnixStream) -> String {
    let mut bytes = Vec::new();
    let _ = Read::by_ref(stream)
        .take(MAX_REASON_BYTES as u64)
        .read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
