//! Errors of the control port.

use crate::config::ConfigError;
use std::io;
use wrenfork_control_plane::durable_state::DurableStateError;
use wrenfork_control_plane::socket::SocketError;
use wrenfork_control_plane::StartError;

/// Errors from opening the control port or executing its commands.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The waker by which control threads wake the event loop can't be created.
    #[error("control: cannot create the event loop's waker: {0}")]
    Waker(#[source] io::Error),
    /// The thread that opens the control port can't be started.
    #[error("control: cannot start the control thread: {0}")]
    Thread(#[source] io::Error),
    /// The state folder can't be opened or written.
    #[error("state: {0}")]
    State(#[from] DurableStateError),
    /// The control socket can't be bound.
    #[error("control: {0}")]
    Socket(#[from] SocketError),
    /// The control threads can't be started.
    #[error(transparent)]
    Server(#[from] StartError),
    /// The stored configuration is invalid for this version of the program.
    #[error("state: stored generation {generation} cannot be enforced: {source}")]
    StoredGeneration {
        /// Number of the stored generation.
        generation: u64,
        /// The reason why the configuration is invalid.
        source: ConfigError,
    },
    /// A configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop has ended.
    #[error("the event loop has ended")]
    Stopping,
    /// The event loop can't be woken.
    #[error("cannot wake the event loop: {0}")]
    Wake(#[source] io::Error),
    /// The event loop didn't answer a command within 30 s.
    #[error("the event loop did not answer in time")]
    LoopStalled,
}
