//! A group of ingresses that enforces one policy, everywhere or nowhere, while some of its members are down, cut off or
//! frozen. No I/O and no clock: time is told as a [`std::time::Duration`] since any moment, by a clock that runs on through
//! a freeze and never jumps.
//!
//! - [`membership`]: who belongs to the group, who votes, and how many votes are enough.
//! - [`group_state`]: what stands in the group: one numbered decision after the other, each with the whole roster and the whole
//!   policy. Decision `n` is made by a majority of the roster of decision `n - 1`, as Paxos decides one value.
//! - [`acceptor`]: a member's side of that, all of it one [`acceptor::PersistentState`] that is written before anything is said.
//! - [`proposer`]: whoever wants something decided, or settles what another left half decided.
//! - [`lease`]: the right to serve. A member lets requests in only while a majority has lately said that its decree still
//!   stands; a majority that has taken up the next one says so to nobody who hasn't.
//! - [`protocol`]: the messages.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::needless_pass_by_value, clippy::too_many_lines)]

pub mod acceptor;
pub mod group_state;
pub mod lease;
pub mod membership;
pub mod proposer;
pub mod protocol;
