//! The Unix socket between two processes of one ingress, which is their user's alone. Both ends block, each for a stated time at
//! most.

use crate::error::HandoverError;
use rustix::net::sockopt::socket_peercred;
use rustix::net::UCred;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long the old process waits for each step of the new one: it serves nobody meanwhile.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the new process waits for each step of the old one, whose event loop may be in a long turn.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(1000);

/// Where the ingress that listens at an address offers itself to its successor: `$TMPDIR` is shared by its processes, whatever
/// supervises them, and nobody else.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("wrenfork-{listen}.next"))
}

/// Connects to the process that listens at a path; none if there is no process.
///
/// # Errors
///
/// Where it can't be connected to, or is another user's.
pub fn connect(path: &Path) -> Result<Option<UnixStream>, HandoverError> {
    let stream = match UnixStream::connect(path) {
        Ok(stream) => stream,
        Err(error) if is_absent(&error) => return Ok(None),
        Err(source) => {
            let path = path.to_path_buf();
            return Err(HandoverError::Connect { path, source });
        }
    };
    prepare(&stream, SUCCESSOR_TIMEOUT)?;
    Ok(Some(stream))
}

fn is_absent(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::NotFound | ErrorKind::ConnectionRefused
    )
}

/// Prepares the connection of whoever has connected.
///
/// # Errors
///
/// Where it is another user's.
pub fn accept(stream: &UnixStream) -> Result<(), HandoverError> {
    prepare(stream, PREDECESSOR_TIMEOUT)
}

fn prepare(stream: &UnixStream, timeout: Duration) -> Result<(), HandoverError> {
    set_timeouts(stream, timeout).map_err(HandoverError::Timeouts)?;
    let peer = peer_credentials(stream)?;
    if peer.uid != rustix::process::geteuid() {
        return Err(HandoverError::OtherUser(peer.uid.as_raw()));
    }
    Ok(())
}

fn set_timeouts(stream: &UnixStream, timeout: Duration) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))
}

/// Whose process is at the other end.
///
/// # Errors
///
/// Where the system does not say.
pub fn peer_credentials(stream: &UnixStream) -> Result<UCred, HandoverError> {
    socket_peercred(stream).map_err(|errno| HandoverError::UnknownPeer(errno.into()))
}
