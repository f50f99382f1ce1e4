//! Parsers and writers for the protocols of an ingress. They work on byte buffers, without sockets or a clock.
//!
//! [`resp`] is the RESP2 codec. [`call`] parses requests from clients and writes them for backends, [`long`] forwards long answers
//! as they arrive, and [`tally`] implements the protocol of the count service.

pub mod call;
pub mod long;
pub mod resp;
pub mod tally;
