//! A client of control sockets: one request and its response, within a time. Which protocol it is, that of changes or that of
//! groups, is the caller's choice.

use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;
use wrenfork_commit::protocol;

/// The most bytes of a response: a state of some hundred thousand accounts.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Why there is no response. What was requested may have been done all the same.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// Nothing came in time.
    #[error("it does not answer")]
    TimedOut,
    /// The socket does not exist.
    #[error("{}: there is no such socket", path.display())]
    NoSuchSocket {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The socket exists, and no process listens there.
    #[error("{}: nobody listens there", path.display())]
    NotListening {
        /// The socket's path.
        path: PathBuf,
    },
    /// Another error of the system.
    #[error("{}: {source}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// The connection ended in the middle of the response.
    #[error("it ended in the middle of its answer")]
    Truncated,
    /// The response is none of this protocol, or of another version.
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

/// Sends a request to the control socket at a path and waits for the response, `timeout` for each step on the way.
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

/// Writes a line and reads one.
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
