//! A member's lease, shared by the threads of the control plane.
//!
//! A lease is a promise for a limited time (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
//! File Cache Consistency", SOSP 1989). Here a majority of the members promises not to decide a new group state before the
//! lease expires. The rules are implemented in `wrenfork_consensus::lease`.

use crate::clock::{self, micros, millis};
use crate::error::StartError;
use crate::group::{GroupConfig, InheritedLease, WithoutLease, RENEWALS_PER_LEASE};
use crate::lease_guard::{LeaseGuard, NO_DEADLINE};
use std::hash::{BuildHasher, RandomState};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::lease::LeaseManager;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};

/// Lease durations that a member with [`WithoutLease::ServeLastKnown`] waits for a lease after its start, before it serves
/// without one.
const CATCH_UP_LEASES: u32 = 2;

/// Returns a random nonzero id.
pub fn random_id() -> u64 {
    RandomState::new().hash_one(0) | 1
}

/// A member's lease, with the socket that wakes the lease renewer.
#[derive(Debug)]
pub struct SharedLease {
    manager: Mutex<LeaseManager>,
    guard: LeaseGuard,
    without_lease: WithoutLease,
    started: Duration,
    wake: UnixStream,
    closed: AtomicBool,
}

/// A lease together with the socket that becomes readable when the lease renewer must check the lease again.
pub struct NewLease {
    pub lease: Arc<SharedLease>,
    pub wake_up: UnixStream,
}

impl SharedLease {
    /// Creates the lease of a member that starts with the given persistent state.
    ///
    /// # Errors
    ///
    /// [`StartError::WakeUp`] if the pair of wake-up sockets can't be created.
    pub fn start(
        name: &str,
        member: &PersistentState,
        group: &GroupConfig,
    ) -> Result<NewLease, StartError> {
        let (wake, wake_up) = wake_up_pair().map_err(StartError::WakeUp)?;
        let now = clock::now();
        let members = group.initial_members.clone();
        let mut manager = LeaseManager::new(name, member, members, random_id(), now);
        let inherited = group.inherited_lease.as_ref();
        if let Some(expires_at) = inherited.and_then(|lease| lease.expires_at) {
            let version = inherited.map_or(0, |lease| lease.group_version);
            manager.inherit_lease(version, expires_at);
        }
        // If the predecessor served without a lease, this process does so at once, without waiting for a lease first.
        let served_without_lease =
            inherited.is_some_and(|lease| lease.admission_deadline == NO_DEADLINE);
        let guard = LeaseGuard::new(0, millis(manager.renewal_interval()));
        let lease = SharedLease {
            manager: Mutex::new(manager),
            guard,
            without_lease: group.without_lease,
            started: if served_without_lease {
                Duration::ZERO
            } else {
                now
            },
            wake,
            closed: AtomicBool::new(false),
        };
        lease.publish(&lease.manager(), now);
        Ok(NewLease {
            lease: Arc::new(lease),
            wake_up,
        })
    }

    /// Locks the lease manager.
    pub fn manager(&self) -> MutexGuard<'_, LeaseManager> {
        self.manager.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The guard that admits requests under this lease.
    pub fn guard(&self) -> LeaseGuard {
        self.guard.clone()
    }

    /// The group state in force, as known to the lease manager.
    pub fn group_state(&self) -> Option<Arc<GroupState>> {
        self.manager().group_state().cloned()
    }

    /// The version of the group state in force; 0 if there is none.
    pub fn group_version(&self) -> u64 {
        self.manager()
            .group_state()
            .map_or(0, |state| state.version)
    }

    /// Sets the guard's deadline from the lease manager.
    pub fn publish(&self, manager: &LeaseManager, now: Duration) {
        let catch_up = manager.renewal_interval() * RENEWALS_PER_LEASE * CATCH_UP_LEASES;
        let caught_up = now >= self.started + catch_up;
        let deadline = match self.without_lease {
            WithoutLease::ServeLastKnown if caught_up => NO_DEADLINE,
            _ => manager.lease_deadline().map_or(0, micros),
        };
        self.guard.set_deadline(deadline);
    }

    /// Updates the lease from the member's persistent state, after a change was made or has failed, and wakes the renewer.
    pub fn apply_state(&self, member: &PersistentState) {
        let now = clock::now();
        let mut manager = self.manager();
        manager.apply_state(member, now);
        self.publish(&manager, now);
        drop(manager);
        self.wake();
    }

    /// Wakes the lease renewer.
    pub fn wake(&self) {
        // If the buffer is full, a wake-up is already pending.
        let _ = (&self.wake).write(&[0]);
    }

    /// Whether [`SharedLease::close`] has been called.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Closes the lease: after this returns, no more leases are granted to other members.
    pub fn close(&self) {
        let manager = self.manager();
        self.closed.store(true, Ordering::Release);
        drop(manager);
        self.wake();
    }

    /// Handles a lease renewal request from another member.
    pub fn handle_renewal(&self, request: &GroupRequest) -> GroupResponse {
        let GroupRequest::Renew(renewal) = request else {
            return GroupResponse::Rejected {
                reason: "not a lease renewal request".into(),
            };
        };
        let mut manager = self.manager();
        if self.is_closed() {
            return GroupResponse::Rejected {
                reason: "the control plane is stopping".into(),
            };
        }
        GroupResponse::Renewed(manager.handle_renewal(renewal, clock::now()))
    }

    /// The current lease, in the form that is passed to the successor.
    pub fn inherited_lease(&self) -> InheritedLease {
        let manager = self.manager();
        InheritedLease {
            group_version: manager.group_state().map_or(0, |state| state.version),
            expires_at: manager.lease_deadline(),
            admission_deadline: self.guard.deadline(),
        }
    }

    /// Milliseconds until the lease expires; `None` without a valid lease.
    pub fn remaining_ms(&self) -> Option<u64> {
        let remaining = self.manager().lease_deadline()?.checked_sub(clock::now())?;
        Some(millis(remaining)).filter(|ms| *ms > 0)
    }
}

fn wake_up_pair() -> io::Result<(UnixStream, UnixStream)> {
    let (wake, wake_up) = UnixStream::pair()?;
    wake.set_nonblocking(true)?;
    wake_up.set_nonblocking(true)?;
    Ok((wake, wake_up))
}
