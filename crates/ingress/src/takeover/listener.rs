//! The socket at which the next process finds this one.

use super::error::HandoverError;
use super::state::{HandoverFormat, OLDEST_LAYOUT};
use mio::net::UnixListener;
use mio::{Interest, Registry, Token};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use wrenfork_control_plane::socket::{self, SocketFile};
use wrenfork_handover::caller::Caller;

/// Permissions of the socket: its owner's alone.
const SOCKET_MODE: u32 = 0o600;

/// The socket at which the next process asks for this ingress.
pub struct HandoverListener {
    listener: UnixListener,
    socket: SocketFile,
}

impl HandoverListener {
    /// Listens for the next process.
    ///
    /// # Errors
    ///
    /// Where another process of this ingress still does, or the folder can't be used.
    pub fn open(path: &Path, registry: &Registry, token: Token) -> Result<Self, HandoverError> {
        let unusable = |source: io::Error| HandoverError::Poll {
            path: path.display().to_string(),
            source,
        };
        let bound = socket::listen(path, SOCKET_MODE)?;
        bound.listener.set_nonblocking(true).map_err(unusable)?;
        let mut listener = UnixListener::from_std(bound.listener);
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(unusable)?;
        Ok(HandoverListener {
            listener,
            socket: bound.file,
        })
    }

    /// The next process that has connected; none where nobody waits.
    ///
    /// # Errors
    ///
    /// Where it is of another user, or reads no layout that is written here.
    pub fn accept<F: HandoverFormat>(&self) -> Option<Result<Caller, HandoverError>> {
        let (stream, _) = self.listener.accept().ok()?;
        let stream = UnixStream::from(OwnedFd::from(stream));
        let caller = Caller::accept(stream, OLDEST_LAYOUT..=F::LAYOUT);
        Some(caller.map_err(HandoverError::from))
    }

    /// Removes the socket's file: the ingress ends, with no process behind it.
    pub fn close(&self) {
        self.socket.remove();
    }
}
