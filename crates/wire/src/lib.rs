//! The protocols of an ingress: bytes in, values out. No sockets and no clock.
//!
//! [`resp`] is the codec of RESP2. [`call`] reads the requests of clients and writes them for backends, [`long`] takes answers that
//! are streamed, [`tally`] is the protocol of the count service.

pub mod call;
pub mod long;
pub mod resp;
pub mod tally;
