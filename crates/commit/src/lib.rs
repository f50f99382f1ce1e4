//! Two-phase commit of the configuration that ingresses enforce: a change is made on all of its ingresses or on none. The
//! package has no I/O and no clock.
//!
//! - [`state`]: the configuration that an ingress enforces, as key-value pairs, and its digest.
//! - [`plan`]: a change that is reviewed before it is applied, bound to the generation each ingress enforced at that time.
//! - [`participant`]: an ingress's side of a change. Its [`participant::ParticipantState`] must be stored before any response
//!   that depends on it is sent.
//! - [`coordinator`]: the coordinator of a change, including recovery of a change whose coordinator died.
//! - [`protocol`]: the messages between coordinator and participants, one JSON object per line.
//! - [`step`]: the outcome of a request at a participant, or at any other state machine that stores its state.
//! - [`metrics`]: usage and request counts of an ingress, used to review a change.
//! - [`reason`]: human-readable reasons for a failure or rejection.
//!
//! The caller of these state machines sends their messages, stores their state, and reports when the state is stored.
//! `docs/design/0005-plan-and-apply.md` describes the protocol and the alternatives considered.

pub mod coordinator;
pub mod metrics;
pub mod participant;
pub mod plan;
pub mod protocol;
pub mod reason;
pub mod state;
pub mod step;
