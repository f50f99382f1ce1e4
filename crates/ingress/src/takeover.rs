//! Handing this ingress over to the process that comes after it, and taking it over from the one before: the state of the module
//! and of everything round it in one piece, and the sockets by descriptor. The channel and its steps stand in
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
