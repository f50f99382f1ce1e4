//! Errors of a handover.

use crate::config::ConfigError;
use std::io;
use wrenfork_control_plane::socket::SocketError;

/// Why the extension of a handover state was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ExtensionError(pub &'static str);

/// Why a handover failed, on either side.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The other process has exited or violated the handover protocol.
    #[error(transparent)]
    Channel(#[from] wrenfork_handover::HandoverError),
    /// A configuration change is in progress on the control port.
    #[error("a configuration change is in progress on the control port")]
    ControlPortBusy,
    /// The state could not be serialized.
    #[error("cannot encode the handover state: {0}")]
    Encode(#[source] postcard::Error),
    /// The state could not be deserialized.
    #[error("cannot decode the handover state: {0}")]
    Decode(#[source] postcard::Error),
    /// The bytes after the state are not a valid extension of its layout.
    #[error(transparent)]
    Extension(#[from] ExtensionError),
    /// The successor's layout has no lease, and a member of a group must not serve without one.
    #[error("handover layout {0} of the successor has no lease, and this ingress is a member of a group")]
    NoLeaseInLayout(u32),
    /// This program does not accept the configuration that was handed over.
    #[error("the configuration of the predecessor is invalid for this program: {0}")]
    Config(#[source] ConfigError),
    /// The handover socket could not be bound.
    #[error(transparent)]
    Bind(#[from] SocketError),
    /// The handover socket could not be registered for polling.
    #[error("handover socket {path}: cannot poll: {source}")]
    Poll {
        /// Path of the handover socket.
        path: String,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// A graceful shutdown has begun here, so the successor starts without this state.
    #[error("this ingress has been told to stop")]
    Stopping,
    /// Callers are authenticated here, and the authentication of a connection cannot be handed over.
    #[error("authenticated connections cannot be handed over")]
    Authenticated,
    /// The control port has not yet been taken over from the predecessor.
    #[error("the control port has not yet been taken over from the predecessor")]
    ControlPortPending,
}
