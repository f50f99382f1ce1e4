//! Changes of what ingresses enforce, made at all of them or at none by two-phase commit. The package has no I/O and no clock.
//!
//! - [`state`]: what an ingress enforces, as keys with values, and a digest over its canonical form.
//! - [`plan`]: a change that is reviewed before it is made, bound to the generations it was made from.
//! - [`participant`]: an ingress's side of a change; its [`participant::ParticipantState`] is stored before any response that
//!   rests on it.
//! - [`coordinator`]: the coordinator of a change, also one that recovers a change whose coordinator died.
//! - [`protocol`]: the messages between them, one JSON object a line.
//! - [`step`]: the outcome of a request at a participant, or at another state machine that stores its state.
//! - [`metrics`]: usage and request counts of an ingress, for whoever reviews a change.
//! - [`reason`]: reasons given for people.
//!
//! Whoever drives these state machines sends their messages, stores their state, and reports when it is stored.
//! `docs/design/0005-plan-and-apply.md` describes the protocol and its alternatives.

pub mod coordinator;
pub mod metrics;
pub mod participant;
pub mod plan;
pub mod protocol;
pub mod reason;
pub mod state;
pub mod step;
