//! Handover of a running ingress to its successor, the next process of the same ingress. Exactly one process owns the state at any
//! time: the predecessor until it has sent the ownership message, the successor from then on. Until that message the predecessor
//! can continue as if no handover had started; afterwards it only passes its sockets on.
//!
//! ```text
//! successor                         predecessor
//! hello (layout)                ->
//!                               <-  state (length, digest, bytes), or rejected (reason), or layout (the highest one supported)
//! ready, or rejected (reason)   ->
//!                               <-  ownership
//!                               <-  descriptors, in the order that the state defines
//! ```
//!
//! Every wait has a timeout. A successor whose wait for `ownership` times out first shuts down its reading side and then checks
//! whether the message has arrived. After the shutdown the predecessor's attempt to send the message fails, so it never happens
//! that both processes own the state, or neither.
//!
//! - [`caller`]: the process that connects to a serving process.
//! - [`successor`]: the successor, from the predecessor's side.
//! - [`predecessor`]: the predecessor, from the successor's side.
//! - [`listener`]: the listening socket, lent to a supervisor and inherited by each process.

pub mod caller;
mod connection;
mod descriptors;
mod error;
mod frame;
pub mod listener;
pub mod predecessor;
pub mod successor;

pub use connection::socket_path;
pub use error::{HandoverError, PassedListenerError};
