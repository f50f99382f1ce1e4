//! Why the ingress can't start, or can't run on.

use crate::config::ConfigError;
use crate::control::ControlError;
use std::io;
use std::net::SocketAddr;
use wrenfork_control_plane::socket::SocketError;

/// An error of `wrenfork-config`, whose errors have no type of their own yet.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why the ingress can't start, or can't run on.
#[derive(Debug, thiserror::Error)]
pub enum IngressError {
    /// The environment names no configuration file.
    #[error("LB_CONFIG is not set")]
    ConfigFileNotSet,
    /// The configuration is refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The control port can't be opened.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The signals of the process can't be received.
    #[error("cannot take signals: {0}")]
    Signals(#[source] io::Error),
    /// The readiness loop doesn't work.
    #[error("cannot poll: {0}")]
    Poll(#[source] io::Error),
    /// The address for clients can't be bound.
    #[error("listen: cannot listen at {address}: {source}")]
    ListenTcp {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The Unix socket for clients can't be bound.
    #[error("listen: {0}")]
    ListenUnix(#[source] SocketError),
    /// The Unix socket for clients can't be made non-blocking.
    #[error("listen: cannot be polled: {0}")]
    ListenNonblocking(#[source] io::Error),
    /// The address for messages of peers can't be bound.
    #[error("peer_listen: cannot bind {address}: {source}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The address for operators can't be bound.
    #[error("management: cannot listen at {address}: {source}")]
    ManagementListen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The limit leaves next to no descriptor for clients and backends.
    #[error("limits.sockets is too few: {0}")]
    TooFewDescriptors(usize),
    /// The status file can't be written.
    #[error("status: {path}: {source}")]
    StatusFile {
        /// The file.
        path: String,
        /// The system's reason.
        source: io::Error,
    },
}
