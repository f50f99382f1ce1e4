//! The clients' listener.

use crate::config::{Config, ListenAddress};
use crate::error::IngressError;
use crate::stream::Listener;
use mio::net::{TcpListener, UnixListener};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use wrenfork_control_plane::socket::{self, SocketFile};
use wrenfork_handover::listener;

/// A listener that is bound.
pub(super) struct BoundListener {
    pub(super) listener: Listener,
    /// Its file, where it is a Unix socket.
    pub(super) socket: Option<SocketFile>,
}

/// Binds the address for clients, or takes the listener that the platform holds.
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
                tracing::warn!(%error, "listen: no listener inherited, binding an own one");
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
