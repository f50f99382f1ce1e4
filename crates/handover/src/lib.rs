//! How a running ingress hands all that it has over to the process that comes after it. One process decides at any moment: the
//! old one until it has said that all is the new one's, the new one from then on. Before that moment the old one can go on as
//! if nothing had happened; after it, it only passes its sockets on.
//!
//! ```text
//! successor: hello (layout)   ->
//!                             <-  state (length, digest, bytes), or no and why, or the layout to ask for
//!            ready, or no     ->
//!                             <-  yours
//!                             <-  descriptors, in the order that the state tells
//! ```
//!
//! Every wait has a timeout. A successor that waits in vain for `yours` shuts its reading down first and then looks whether the
//! word is there: after that the predecessor can't say it any more, so that never both decide and never neither.
//!
//! - [`caller`]: who connects to a process that serves.
//! - [`successor`]: the process that comes after, as the old one sees it.
//! - [`predecessor`]: the process that was there before, as the new one sees it.
//! - [`listener`]: the listening socket, as it is lent to a supervisor and as every process inherits it.

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
