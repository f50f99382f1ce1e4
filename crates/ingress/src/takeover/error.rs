//! Errors of a handover.

use crate::config::ConfigError;
use std::io;
use wrenfork_control_plane::socket::SocketError;

/// Why a state's extension can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ExtensionError(pub &'static str);

/// Why an ingress can't be handed over or taken over.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The other process is gone, or does not keep to the steps.
    #[error(transparent)]
    Channel(#[from] wrenfork_handover::HandoverError),
    /// A change is being made through the control port.
    #[error("a change is being made")]
    ControlPortBusy,
    /// The state can't be serialized.
    #[error("the state can't be written: {0}")]
    Encode(#[source] postcard::Error),
    /// The state can't be deserialized.
    #[error("the state can't be read: {0}")]
    Decode(#[source] postcard::Error),
    /// The state ends with something that its layout does not have.
    #[error(transparent)]
    Extension(#[from] ExtensionError),
    /// The successor's layout has no lease, without which a member of a group may not serve.
    #[error("a process of layout {0} knows no lease, and this is a member of a group")]
    NoLeaseInLayout(u32),
    /// The configuration that was handed over is refused by this program.
    #[error("what it enforces can't be: {0}")]
    Config(#[source] ConfigError),
    /// The successor's socket can't be bound.
    #[error(transparent)]
    Bind(#[from] SocketError),
    /// The successor's socket can't be polled.
    #[error("{path}: {source}")]
    Poll {
        /// The socket.
        path: String,
        /// The system's reason.
        source: io::Error,
    },
    /// This ingress ends by itself, and the next one begins anew.
    #[error("told to stop")]
    Stopping,
    /// Callers are authenticated here, and their connections' proofs do not pass to another process.
    #[error("what callers have proved does not pass to another process")]
    Authenticated,
    /// The control port of the process before is not taken over yet.
    #[error("the state of the process before has not come yet")]
    ControlPortPending,
}
