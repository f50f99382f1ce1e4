//! A client for control sockets: sends one request and waits for its response, with a timeout. The caller's types choose the
//! protocol: two-phase commit or group.

use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wrenfork_commit::protocol;

/// Maximum size of a response in bytes; fits a state with several hundred thousand accounts.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Why there is no response. The request may have been carried out nevertheless.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No response arrived within the timeout.
    #[error("no response within the timeout")]
    TimedOut,
    /// No file exists at the socket's path.
    #[error("{}: socket does not exist", path.display())]
    NoSuchSocket {
        /// The path of the missing socket.
        path: PathBuf,
    },
    /// The socket file exists, but no process listens on it.
    #[error("{}: no process listens on this socket", path.display())]
    NotListening {
        /// The socket's path.
        path: PathBuf,
    },
    /// Another I/O error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The connection was closed before the response was complete, or the response exceeds the size limit.
    #[error("the response was incomplete when the connection closed, or too long")]
    Truncated,
    /// The response can't be decoded, or belongs to another protocol version; the string says why.
    #[error("{0}")]
    InvalidResponse(String),
}

impl ClientError {
    fn from_io(source: io::Error, path: &Path) -> ClientError {
        let path = path.to_path_buf();
        match source.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => ClientError::TimedOut,
            ErrorKind::NotFound => ClientError::NoSuchSocket { path },
            ErrorKind::ConnectionRefused => ClientError::NotListening { path },
            _ => ClientError::Io { path, source },
        }
    }
}

/// Sends a request to the control socket at `path` and waits for the response. `timeout` applies to each read and write.
///
/// # Errors
///
/// See [`ClientError`].
pub fn request<Q: Serialize, R: for<'a> Deserialize<'a>>(
    path: &Path,
    request: &Q,
    timeout: Duration,
) -> Result<R, ClientError> {
    let line = exchange(path, &protocol::encode_line(request), timeout)
        .map_err(|error| ClientError::from_io(error, path))?;
    if !line.ends_with('\n') {
        return Err(ClientError::Truncated);
    }
    protocol::decode_line(&line).map_err(|error| ClientError::InvalidResponse(error.to_string()))
}

/// Sends one line and reads one line back.
fn exchange(path: &Path, line: &str, timeout: Duration) -> io::Result<String> {
    let mut stream = UnixStream::connect(path)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(line.as_bytes())?;
    let mut response = String::new();
    BufReader::new(&stream)
        .take(MAX_RESPONSE_BYTES)
        .read_line(&mut response)?;
    Ok(response)
}
