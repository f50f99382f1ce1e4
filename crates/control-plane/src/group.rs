//! The configuration of a group member, and the lease that a member's process passes to its successor.

use crate::clock::millis;
use crate::lease_guard::LeaseGuard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use wrenfork_consensus::membership::Membership;

/// Renewals per lease duration, so that one renewal may be lost and one late before the lease expires.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;

/// What a member does while it has no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutLease {
    /// Rejects requests, so that no request is served under a state that the group has replaced.
    #[default]
    Reject,
    /// Keeps serving under the last known state; a change committed in the meantime is not in force on this member.
    ServeLastKnown,
}

/// The configuration of a member's group.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// The initial membership from the configuration files, without replica ids.
    pub initial_members: Membership,
    /// Control sockets by member name, including this member's own; paths as seen from this process.
    pub control_sockets: BTreeMap<String, PathBuf>,
    /// What this member does without a lease.
    pub without_lease: WithoutLease,
    /// The predecessor's lease; `None` if no predecessor handed over to this process.
    pub inherited_lease: Option<InheritedLease>,
}

/// A member's lease as passed to the successor. It is part of the handed-over state in a positional encoding: do not reorder the
/// fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InheritedLease {
    /// The version of the group state that the lease was granted under; 0 without a group state.
    #[serde(rename = "number")]
    pub group_version: u64,
    /// When the lease expires, by [`crate::clock::now`]; `None` without a lease.
    #[serde(rename = "until")]
    pub expires_at: Option<Duration>,
    /// The time until which requests are admitted, in microseconds of [`crate::clock::now`]: the expiry of the lease, or
    /// `u64::MAX` if the member serves without a lease.
    #[serde(rename = "gate")]
    pub admission_deadline: u64,
}

impl InheritedLease {
    /// The guard that admits requests until the control plane of the new process has started.
    pub fn lease_guard(&self, group: &GroupConfig) -> LeaseGuard {
        let renewal_interval = group.initial_members.lease() / RENEWALS_PER_LEASE;
        LeaseGuard::new(self.admission_deadline, millis(renewal_interval))
    }
}
