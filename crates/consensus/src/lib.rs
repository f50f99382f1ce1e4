//! Consensus within a group of ingresses on its membership and policy, and the leases its members serve under.
//!
//! A change takes effect at every member or at none, even while members are down, unreachable or suspended. The package
//! does no I/O and reads no clock: times are [`std::time::Duration`]s since an arbitrary fixed moment, measured by a
//! clock that never jumps and keeps running while the machine is suspended.
//!
//! - [`membership`]: the members, which of them vote, and how many votes make a quorum.
//! - [`group_state`]: the value decided on. Each version is a complete state rather than a difference; a majority of
//!   the voters of version `n - 1` decides version `n` by single-decree Paxos.
//! - [`acceptor`]: the acceptor of a member. Its [`acceptor::PersistentState`] is stored before any response that
//!   depends on it is sent.
//! - [`proposer`]: proposes a version, or recovers a version that another proposer left undecided.
//! - [`lease`]: grants and renews leases. Voters that have accepted the next version renew leases under the version in
//!   force only for members that have accepted the next version as well.
//! - [`eligibility`]: reasons why a member's vote does not count.
//! - [`protocol`]: the messages between members, and between `wrenctl` and a member.
//!
//! `docs/design/0011-roster.md` describes the protocol and the alternatives to it.

pub mod acceptor;
pub mod eligibility;
pub mod group_state;
pub mod lease;
pub mod membership;
pub mod proposer;
pub mod protocol;
