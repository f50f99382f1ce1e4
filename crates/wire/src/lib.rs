//! The protocols of an ingress: bytes in, values out. No sockets and no clock.

pub mod call;
pub mod long;
pub mod resp;
pub mod tally;
