//! A change that goes through a group of ingresses in stages, with the old and the new side by side on purpose. No I/O and no
//! clock: time is told as a [`std::time::Duration`] since any moment.
//!
//! - [`record`]: what the members keep of a rollout, and which record may follow which. It is a part of what they decide by
//!   majority, so that it outlives any command and any member, and so that no two who drive it can act on it twice.
//! - [`stages`]: who belongs to which stage.
//! - [`tally`]: what a member counts, and what two cohorts of members differ by in the same seconds.
//! - [`evidence`]: the sequential test that these differences go to.
//! - [`watch`]: whoever drives a rollout looks at all members, and this says what is to be decided, if anything.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

pub mod evidence;
pub mod record;
pub mod stages;
pub mod tally;
pub mod watch;
