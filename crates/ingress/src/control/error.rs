//! Errors of the control port.

use crate::config::ConfigError;
use std::io;
use wrenfork_control_plane::durable_state::DurableStateError;
use wrenfork_control_plane::socket::SocketError;
use wrenfork_control_plane::StartError;

/// Why the control port can't be opened, or can't serve a command.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The readiness loop can't be woken by the control threads.
    #[error("control: no waker: {0}")]
    Waker(#[source] io::Error),
    /// The system starts no thread.
    #[error("control: no thread: {0}")]
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
    /// The configuration enforced last is refused by this program.
    #[error("state: generation {generation}, which was enforced last, can't be: {source}")]
    LastGeneration {
        /// The generation's number.
        generation: u64,
        /// Why it is refused.
        source: ConfigError,
    },
    /// A configuration is refused.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The event loop has ended.
    #[error("it is stopping")]
    Stopping,
    /// The event loop can't be woken.
    #[error("the loop can't be woken: {0}")]
    Wake(#[source] io::Error),
    /// The event loop took no command in time.
    #[error("the loop does not turn")]
    LoopStalled,
}
