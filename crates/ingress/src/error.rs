//! Errors that prevent the ingress from starting or from running on.

use crate::config::ConfigError;
use crate::control::ControlError;
use std::io;
use std::net::SocketAddr;
use wrenfork_control_plane::socket::SocketError;

/// An error of `wrenfork-config`, whose functions return errors as text or of several types.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Why the ingress failed to start or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum IngressError {
    /// Neither arguments nor environment name a configuration file.
    #[error("no configuration: neither --app nor LB_CONFIG is set")]
    ConfigFileNotSet,
    /// The configuration was refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The control port could not be opened.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// Signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// Polling for socket readiness failed.
    #[error("cannot poll sockets: {0}")]
    Poll(#[source] io::Error),
    /// The TCP address for clients could not be bound.
    #[error("listen: cannot listen on {address}: {source}")]
    ListenTcp {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The Unix socket for clients could not be bound.
    #[error("listen: {0}")]
    ListenUnix(#[source] SocketError),
    /// The Unix socket for clients could not be made non-blocking.
    #[error("listen: cannot make the Unix socket non-blocking: {0}")]
    ListenNonblocking(#[source] io::Error),
    /// The address for peer messages could not be bound.
    #[error("peer_listen: cannot bind {address}: {source}")]
    PeerListen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The management address could not be bound.
    #[error("management: cannot listen on {address}: {source}")]
    ManagementListen {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The descriptor limit leaves too few descriptors for clients and backends.
    #[error("limits.sockets: a limit of {0} descriptors leaves too few for clients and backends")]
    TooFewDescriptors(usize),
    /// The status file could not be written.
    #[error("status: cannot write {path}: {source}")]
    StatusFile {
        /// Path of the status file.
        path: String,
        /// Error returned by the operating system.
        source: io::Error,
    },
}
