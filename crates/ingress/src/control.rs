//! The control port of an ingress: what operators plan and apply reaches the event loop through it, between two turns.
//!
//! Threads of `wrenfork-control-plane` serve the socket and the durable state. They see the event loop as an
//! [`EventLoopHandle`](event_loop_handle), which sends [`ControlCommand`]s that the loop takes from its [`ControlPort`].

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
