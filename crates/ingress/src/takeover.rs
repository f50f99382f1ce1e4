//! Handover of the ingress between processes, in both directions: the predecessor sends one message with the state of the
//! decision module and of the event loop, then the open sockets as file descriptors. The channel and its steps are in
//! `wrenfork-handover`.

mod error;
mod listener;
mod state;
mod successor;

#[cfg(test)]
mod tests;

pub use error::{ExtensionError, HandoverError};
pub use listener::HandoverListener;
pub use state::{encode, HandoverFormat, InheritedState, OutgoingState, OLDEST_LAYOUT};
pub use successor::{take_over, TakenOver};
