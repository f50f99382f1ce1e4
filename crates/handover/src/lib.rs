//! How a running ingress passes all that it is to the process that comes after it. One process decides at any moment: the old one
//! until it has said that all is the new one's, the new one from then on. Before that moment the old one can go on as if nothing
//! had been; behind it, it only hands over its sockets.
//!
//! ```text
//! new: hello (layout)   ->
//!                       <-  state (length, digest, bytes), or no and why, or the layout to ask for
//!      ready, or no     ->
//!                       <-  yours
//!                       <-  descriptors, in the order that the state tells
//! ```
//!
//! Every wait has an end. The new process that waits in vain for `yours` shuts its reading first and then looks whether the
//! word is there: after that the old one can't say it any more, so that never both decide and never neither.

pub mod channel;
pub mod inherit;
