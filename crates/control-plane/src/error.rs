//! Errors of starting and handing over the control plane.

use crate::durable_state::DurableStateError;
use std::io;

/// Why a control server failed to start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A thread can't be spawned.
    #[error("control: failed to spawn a thread: {0}")]
    Thread(#[source] io::Error),
    /// The pair of sockets that wakes the lease renewer can't be created.
    #[error("control: failed to create the wake-up sockets: {0}")]
    WakeUp(#[source] io::Error),
    /// The durable state can't be read or written.
    #[error("state: {0}")]
    State(#[from] DurableStateError),
}

/// Why the control plane was not handed over; it continues as before.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError<E> {
    /// A control request in progress did not finish within the handover timeout.
    #[error("a control request is still in progress")]
    Busy,
    /// The transfer itself failed.
    #[error(transparent)]
    Transfer(E),
}
