//! The Unix socket at which a successor requests a handover.

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

/// File mode of the socket: access for its owner only.
const SOCKET_MODE: u32 = 0o600;

/// Listening socket on which a successor requests a handover.
pub struct HandoverListener {
    listener: UnixListener,
    socket: SocketFile,
}

impl HandoverListener {
    /// Binds the socket and registers it for polling.
    ///
    /// # Errors
    ///
    /// If another process of this ingress still listens there, or the socket cannot be created or registered.
    pub fn open(path: &Path, registry: &Registry, token: Token) -> Result<Self, HandoverError> {
        let poll_error = |source: io::Error| HandoverError::Poll {
            path: path.display().to_string(),
            source,
        };
        let bound = socket::listen(path, SOCKET_MODE)?;
        bound.listener.set_nonblocking(true).map_err(poll_error)?;
        let mut listener = UnixListener::from_std(bound.listener);
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(poll_error)?;
        Ok(HandoverListener {
            listener,
            socket: bound.file,
        })
    }

    /// Accepts a successor that has connected; `None` if there is none.
    ///
    /// # Errors
    ///
    /// If the successor runs as another user, or no layout is common to both processes.
    pub fn accept<F: HandoverFormat>(&self) -> Option<Result<Caller, HandoverError>> {
        let (stream, _) = self.listener.accept().ok()?;
        let stream = UnixStream::from(OwnedFd::from(stream));
        let caller = Caller::accept(stream, OLDEST_LAYOUT..=F::LAYOUT);
        Some(caller.map_err(HandoverError::from))
    }

    /// Removes the socket file when the ingress exits without a successor.
    pub fn close(&self) {
        self.socket.remove();
    }
}
