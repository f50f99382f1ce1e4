//! The protocols of an ingress: bytes in, values out. No sockets and no clock.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines)]

pub mod call;
pub mod long;
pub mod resp;
pub mod tally;
