//! Answers and request bodies too long to be buffered, seen through the ingress's sockets.

mod bodies;
mod delivery;
mod memory;
mod shutdown;
mod streaming;
mod support;
