//! The listening socket for clients.

use crate::config::{Config, ListenAddress};
use crate::error::IngressError;
use crate::stream::Listener;
use mio::net::{TcpListener, UnixListener};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use wrenfork_control_plane::socket::{self, SocketFile};
use wrenfork_handover::listener;

/// The bound client listener, with its socket file if it is a Unix socket.
pub(super) struct BoundListener {
    pub(super) listener: Listener,
    /// Removes the Unix socket's file on shutdown; `None` with a TCP listener.
    pub(super) socket: Option<SocketFile>,
}

/// Binds the address for clients, or adopts the listener that the platform passes to this process.
pub(super) fn bind(config: &Config) -> Result<BoundListener, IngressError> {
    match &config.listen {
        ListenAddress::Tcp(address) => {
            let inherited = config.inherited_listener.as_deref();
            let listener = bind_tcp(*address, inherited).map_err(|source| {
                let address = *address;
                IngressError::ListenTcp { address, source }
            })?;
            Ok(BoundListener {
                listener: Listener::Tcp(listener),
                socket: None,
            })
        }
        ListenAddress::Unix { path, mode, users } => bind_unix(path, *mode, users),
    }
}

fn bind_tcp(address: SocketAddr, inherited: Option<&str>) -> io::Result<TcpListener> {
    if let Some(descriptor) = inherited {
        match listener::take_passed(descriptor, address) {
            Ok(listener) => return Ok(TcpListener::from_std(listener)),
            Err(error) => {
                tracing::warn!(%error, "listen: cannot use the inherited listener, binding the address instead");
            }
        }
    }
    TcpListener::bind(address)
}

fn bind_unix(path: &Path, mode: u32, users: &[u32]) -> Result<BoundListener, IngressError> {
    let bound = socket::listen(path, mode).map_err(IngressError::ListenUnix)?;
    bound
        .listener
        .set_nonblocking(true)
        .map_err(IngressError::ListenNonblocking)?;
    let listener = UnixListener::from_std(bound.listener);
    Ok(BoundListener {
        listener: Listener::unix(listener, users.to_vec()),
        socket: Some(bound.file),
    })
}
