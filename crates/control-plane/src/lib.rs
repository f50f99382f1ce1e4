//! The control plane of one ingress.
//!
//! It runs on threads of its own, off the event loop that serves requests: reading a change of some megabytes, hashing it and
//! waiting for the disk would delay requests. The two meet at the trait [`DataPlane`] and at the [`LeaseGuard`] alone.
//!
//! A [`ControlServer`] accepts connections at a Unix socket ([`socket`]). Each request is a line of JSON, of the protocol of
//! `wrenfork-commit` (two-phase commit, one ingress as a participant) or of `wrenfork-consensus` (a member of a group). What
//! a request changes is written to the disk ([`durable_state`]) before it takes effect, and takes effect before it is answered.
//!
//! A member of a group ([`group`]) admits requests only under a lease, which a thread renews at the other members.

mod audit_log;
pub mod client;
pub mod clock;
mod connection_handler;
mod connection_table;
mod consensus_requests;
mod control_state;
mod data_plane;
pub mod durable_state;
mod error;
pub mod failpoints;
pub mod group;
mod ingress_requests;
mod lease_guard;
mod lease_renewer;
mod member_links;
pub mod proposal;
mod rollout_controller;
mod server;
mod shared_lease;
pub mod socket;
mod thread;

pub use audit_log::ROLLOUT_RECORD;
pub use data_plane::{DataPlane, DataPlaneError};
pub use error::{HandoverError, StartError};
pub use lease_guard::LeaseGuard;
pub use server::{max_descriptors, ControlServer, ServerConfig};

/// The environment variable by which a supervisor tells a process which program it runs, written `NAME@SHA256`.
pub const PROGRAM_VARIABLE: &str = "WRENFORK_RUNS";
/// The environment variable by which a supervisor says that it started the process on purpose in place of another program.
pub const REPLACEMENT_VARIABLE: &str = "WRENFORK_CHANGED";
