//! The configuration of a member of a group, and the lease that passes from one process of a member to the next.

use crate::clock::millis;
use crate::lease_guard::LeaseGuard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;
use wrenfork_consensus::membership::Membership;

/// Renewals in the time of a lease: one may be lost, and one late, before it runs out.
pub(crate) const RENEWALS_PER_LEASE: u32 = 3;

/// What a member does while it has no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WithoutLease {
    /// Rejects requests: a change is in force everywhere or nowhere.
    #[default]
    Reject,
    /// Serves on under the last state it knows: a change that is made meanwhile is not in force here.
    ServeLastKnown,
}

/// What a member's files say of its group.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// The group as the files have it, without the identities of the members' folders.
    pub initial_members: Membership,
    /// The members' control sockets as they are reached from here, this one's among them.
    pub control_sockets: BTreeMap<String, PathBuf>,
    /// What is done without a lease.
    pub without_lease: WithoutLease,
    /// The lease of the process before, where that has handed over to this one.
    pub inherited_lease: Option<InheritedLease>,
}

/// The lease of a member as it passes to the next process of that member. Its form is positional and stored in the state that
/// is handed over: the fields keep their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InheritedLease {
    /// The version of the group's state that the lease is under; 0 without one.
    #[serde(rename = "number")]
    pub group_version: u64,
    /// Until when, by [`crate::clock::now`]; none without a lease.
    #[serde(rename = "until")]
    pub expires_at: Option<Duration>,
    /// The microsecond up to which requests are admitted: the same, or the last there is where the member serves on without a
    /// lease.
    #[serde(rename = "gate")]
    pub admission_deadline: u64,
}

impl InheritedLease {
    /// The guard of requests until the control plane of the new process has started.
    pub fn lease_guard(&self, group: &GroupConfig) -> LeaseGuard {
        let renewal_interval = group.initial_members.lease() / RENEWALS_PER_LEASE;
        LeaseGuard::new(self.admission_deadline, millis(renewal_interval))
    }
}
