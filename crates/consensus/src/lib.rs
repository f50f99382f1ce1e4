//! Consensus within a group of ingresses on its membership and policy, and the leases its members serve under.
//!
//! A change holds at every member or at none, also while members are down, unreachable or suspended. The package has no I/O
//! and no clock: times are [`std::time::Duration`]s since any fixed moment, by a clock that never jumps and keeps running
//! while the machine is suspended.
//!
//! - [`membership`]: the members, who votes, and how many votes make a quorum.
//! - [`group_state`]: the value decided on. Version `n` is complete, and decided by a majority of the voters of version
//!   `n - 1`, by single-decree Paxos.
//! - [`acceptor`]: a member's side of a decision; its [`acceptor::PersistentState`] is stored before any response that rests
//!   on it.
//! - [`proposer`]: the proposer of a version, also one that recovers a version left undecided by another proposer.
//! - [`lease`]: the leases. A majority that has accepted the next version renews leases under its predecessor only for
//!   members that have accepted it as well.
//! - [`eligibility`]: why a member's vote does not count.
//! - [`protocol`]: the messages.
//!
//! `docs/design/0011-roster.md` describes the protocol and its alternatives.

pub mod acceptor;
pub mod eligibility;
pub mod group_state;
pub mod lease;
pub mod membership;
pub mod proposer;
pub mod protocol;
