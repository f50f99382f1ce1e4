//! Why the control plane can't be started or handed over.

use crate::durable_state::DurableStateError;
use std::io;

/// Why a control server can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system gives no thread.
    #[error("control: no thread: {0}")]
    Thread(#[source] io::Error),
    /// The pair of sockets that wakes the renewing thread can't be made.
    #[error("control: no wake-up: {0}")]
    WakeUp(#[source] io::Error),
    /// The durable state can't be read or written.
    #[error("state: {0}")]
    State(#[from] DurableStateError),
}

/// Why the control plane was not handed over; it goes on as before.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError<E> {
    /// A request is being carried out and takes too long.
    #[error("a change is being made")]
    Busy,
    /// The transfer itself failed.
    #[error(transparent)]
    Transfer(E),
}
