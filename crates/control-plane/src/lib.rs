//! The control plane of one ingress.
//!
//! The control plane runs on its own threads, not on the event loop that serves requests: parsing and hashing a change of
//! several megabytes and waiting for the disk would delay requests. The control plane and the data plane share only the trait
//! [`DataPlane`] and the [`LeaseGuard`].
//!
//! A [`ControlServer`] accepts connections on a Unix socket ([`socket`]). Each request is one line of JSON, in the protocol of
//! `wrenfork-commit` (two-phase commit with the ingress as a participant) or of `wrenfork-consensus` (the ingress as a member
//! of a group). A change is written to disk ([`durable_state`]) before it takes effect, and takes effect before the response is
//! sent.
//!
//! A member of a group ([`group`]) admits requests only while it holds a lease, which a background thread renews with the other
//! members.

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

/// Environment variable in which a supervisor passes the identity of the running program, in the form `NAME@SHA256`.
pub const PROGRAM_VARIABLE: &str = "WRENFORK_RUNS";
/// Environment variable that a supervisor sets when it deliberately started this process to replace another program.
pub const REPLACEMENT_VARIABLE: &str = "WRENFORK_CHANGED";
