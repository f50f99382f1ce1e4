//! The Unix socket between two processes of one ingress. Only processes of the same user may connect. Both ends use blocking I/O
//! with timeouts.

use crate::error::HandoverError;
use rustix::net::sockopt::socket_peercred;
use rustix::net::UCred;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long the predecessor waits for each step of the successor; short, because no requests are served during the wait.
const PREDECESSOR_TIMEOUT: Duration = Duration::from_millis(300);
/// How long the successor waits for each step of the predecessor, whose event loop may be in a long iteration.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(1000);

/// Path of the socket on which the ingress that listens at `listen` waits for its successor. The path is in `$TMPDIR`, which the
/// processes of one ingress share with no other program, whatever supervises them.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("wrenfork-{listen}.next"))
}

/// Connects to the process that listens on `path`; `None` if there is no such process.
///
/// # Errors
///
/// If the connection fails, or the process runs as another user.
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

/// Sets the timeouts of an accepted connection and checks the peer's user.
///
/// # Errors
///
/// If the peer runs as another user, or the system refuses a setting.
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

/// The credentials of the process at the other end.
///
/// # Errors
///
/// If the system can't provide them.
pub fn peer_credentials(stream: &UnixStream) -> Result<UCred, HandoverError> {
    socket_peercred(stream).map_err(|errno| HandoverError::UnknownPeer(errno.into()))
}
