//! The bytes of the channel. A hello has eight bytes that name the protocol, the last one its version, and a layout in four;
//! what follows begins with a word of one byte. Numbers are in network order.

use sha2::{Digest, Sha256};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;

/// What a successor and its predecessor begin with.
pub const HANDOVER_PROTOCOL: [u8; PROTOCOL_BYTES] = *b"wrenhnd1";
/// What a supervisor says in its place, to be lent the listening socket.
pub const SUPERVISOR_PROTOCOL: [u8; PROTOCOL_BYTES] = *b"wrenkpr1";
const PROTOCOL_BYTES: usize = 8;
const LAYOUT_BYTES: usize = 4;
const LENGTH_BYTES: usize = 8;
const DIGEST_BYTES: usize = 32;

/// The most bytes of a reason.
const MAX_REASON_BYTES: usize = 512;

/// The state follows: length, digest, bytes.
pub const STATE: u8 = b'S';
/// A rejection; the reason follows.
pub const NO: u8 = b'N';
/// A rejection because of the layout; the highest one that the predecessor writes follows.
pub const LAYOUT: u8 = b'L';
/// The successor has read the state and can go on with it.
pub const READY: u8 = b'R';
/// All is the successor's from now on.
pub const YOURS: u8 = b'Y';

/// What a caller begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// One of the protocols, or an unknown one.
    pub protocol: [u8; PROTOCOL_BYTES],
    /// The layout of the state that is asked for; 0 of a supervisor.
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

/// What stands before the bytes of a state.
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

    /// Reads it, behind the word [`STATE`].
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

    /// The word [`STATE`] and the header.
    pub fn to_bytes(self) -> Vec<u8> {
        let mut bytes = vec![STATE];
        bytes.extend_from_slice(&self.length.to_be_bytes());
        bytes.extend_from_slice(&self.digest);
        bytes
    }
}

pub fn read_word(stream: &mut UnixStream) -> io::Result<u8> {
    let mut word = [0];
    stream.read_exact(&mut word)?;
    Ok(word[0])
}

pub fn read_layout(stream: &mut UnixStream) -> io::Result<u32> {
    let mut layout = [0; LAYOUT_BYTES];
    stream.read_exact(&mut layout)?;
    Ok(u32::from_be_bytes(layout))
}

/// Rejects a layout, and says which one is the highest that is written here. A peer that is gone needs no answer.
pub fn reject_layout(stream: &mut UnixStream, highest: u32) {
    let _ = stream
        .write_all(&[LAYOUT])
        .and_then(|()| stream.write_all(&highest.to_be_bytes()));
}

/// Rejects what the other side wants. A peer that is gone needs no answer.
pub fn reject(stream: &mut UnixStream, reason: &str) {
    let bytes = &reason.as_bytes()[..reason.len().min(MAX_REASON_BYTES)];
    let _ = stream
        .write_all(&[NO])
        .and_then(|()| stream.write_all(bytes));
}

/// Reads the reason of a rejection, as far as it comes.
pub fn read_reason(stream: &mut UnixStream) -> String {
    let mut bytes = Vec::new();
    let _ = Read::by_ref(stream)
        .take(MAX_REASON_BYTES as u64)
        .read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}
