//! The control port of an ingress, through which operators plan and apply changes.
//!
//! Threads of `wrenfork-control-plane` serve the control socket and the durable state. They access the event loop through an
//! [`EventLoopHandle`](event_loop_handle), which sends [`ControlCommand`]s. The event loop receives the commands from its
//! [`ControlPort`] and executes them between two turns.

mod command;
mod error;
mod event_loop_handle;
mod pending_server;
mod port;
mod restored_state;

pub use command::{ControlCommand, NewConfig};
pub use error::ControlError;
pub use pending_server::PendingControlServer;
pub use port::ControlPort;
pub use restored_state::restore;
