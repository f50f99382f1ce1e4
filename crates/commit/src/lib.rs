//! Changes of what the ingresses of a fleet enforce, without I/O and without a clock.
//!
//! - [`state`]: what an ingress enforces, as keys and values, with a digest over its canonical form.
//! - [`plan`]: what would differ, bound to the states that it was made from, with a checksum.
//! - [`participant`]: an ingress's side of the protocol, a state machine: promises, switches, refusals.
//! - [`coordinator`]: the other side: two phases over all participants, and the recovery of an apply that died.
//! - [`metrics`]: what is used and how it goes, for those who decide on a change.
//! - [`protocol`]: the messages between them, one JSON object a line.
//!
//! Whoever drives these carries their messages, writes what they want written, and tells them when that is done.
//! `docs/design/0005-plan-and-apply.md` says why the protocol is as it is.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

pub mod coordinator;
pub mod metrics;
pub mod participant;
pub mod plan;
pub mod protocol;
pub mod state;
