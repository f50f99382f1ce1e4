//! The lease of a member, as the threads of the control plane share it.
//!
//! A lease is a promise for a limited time (Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
//! File Cache Consistency", SOSP 1989). Here a majority of the members promises to decide nothing new before it has run out;
//! the rules are those of `wrenfork_consensus::lease`.

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

/// Leases after its start in which a member that serves on without a lease waits for one.
const CATCH_UP_LEASES: u32 = 2;

/// A random number, never 0.
pub fn random_id() -> u64 {
    RandomState::new().hash_one(0) | 1
}

/// A member's lease, and what wakes the thread that renews it.
#[derive(Debug)]
pub struct SharedLease {
    manager: Mutex<LeaseManager>,
    guard: LeaseGuard,
    without_lease: WithoutLease,
    started: Duration,
    wake: UnixStream,
    closed: AtomicBool,
}

/// A lease together with the socket that becomes readable when its renewing thread is to look again.
pub struct NewLease {
    pub lease: Arc<SharedLease>,
    pub wake_up: UnixStream,
}

impl SharedLease {
    /// Of a member that starts with this persistent state.
    ///
    /// # Errors
    ///
    /// [`StartError::WakeUp`] where the system gives no sockets.
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
        // One that was serving on without a lease goes on so.
        let was_without = inherited.is_some_and(|lease| lease.admission_deadline == NO_DEADLINE);
        let guard = LeaseGuard::new(0, millis(manager.renewal_interval()));
        let lease = SharedLease {
            manager: Mutex::new(manager),
            guard,
            without_lease: group.without_lease,
            started: if was_without { Duration::ZERO } else { now },
            wake,
            closed: AtomicBool::new(false),
        };
        lease.publish(&lease.manager(), now);
        Ok(NewLease {
            lease: Arc::new(lease),
            wake_up,
        })
    }

    /// The rules of the lease, locked.
    pub fn manager(&self) -> MutexGuard<'_, LeaseManager> {
        self.manager.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The guard of requests under this lease.
    pub fn guard(&self) -> LeaseGuard {
        self.guard.clone()
    }

    /// The group's state that stands, as the lease knows it.
    pub fn group_state(&self) -> Option<Arc<GroupState>> {
        self.manager().group_state().cloned()
    }

    /// The version of the group's state that stands; 0 where none does.
    pub fn group_version(&self) -> u64 {
        self.manager()
            .group_state()
            .map_or(0, |state| state.version)
    }

    /// Moves the deadline of the guard to what the lease says now.
    pub fn publish(&self, manager: &LeaseManager, now: Duration) {
        let catch_up = manager.renewal_interval() * RENEWALS_PER_LEASE * CATCH_UP_LEASES;
        let caught_up = now >= self.started + catch_up;
        let deadline = match self.without_lease {
            WithoutLease::ServeLastKnown if caught_up => NO_DEADLINE,
            _ => manager.lease_deadline().map_or(0, micros),
        };
        self.guard.set_deadline(deadline);
    }

    /// Follows the member's persistent state after a change of it, or after a change that failed.
    pub fn follow(&self, member: &PersistentState) {
        let now = clock::now();
        let mut manager = self.manager();
        manager.apply_state(member, now);
        self.publish(&manager, now);
        drop(manager);
        self.wake();
    }

    /// Wakes the thread that renews.
    pub fn wake(&self) {
        // A full buffer means that it is awake already.
        let _ = (&self.wake).write(&[0]);
    }

    /// Whether [`SharedLease::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Ends the lease. Nothing is granted to other members any more once this has returned.
    pub fn close(&self) {
        let manager = self.manager();
        self.closed.store(true, Ordering::Release);
        drop(manager);
        self.wake();
    }

    /// Answers another member's renewal.
    pub fn renew(&self, request: &GroupRequest) -> GroupResponse {
        let GroupRequest::Renew(renewal) = request else {
            return GroupResponse::Rejected {
                reason: "this is no renewal".into(),
            };
        };
        let mut manager = self.manager();
        if self.is_closed() {
            return GroupResponse::Rejected {
                reason: "it is stopping".into(),
            };
        }
        GroupResponse::Renewed(manager.handle_renewal(renewal, clock::now()))
    }

    /// The lease as it stands now, for the next process of this member.
    pub fn to_inherit(&self) -> InheritedLease {
        let manager = self.manager();
        InheritedLease {
            group_version: manager.group_state().map_or(0, |state| state.version),
            expires_at: manager.lease_deadline(),
            admission_deadline: self.guard.deadline(),
        }
    }

    /// Milliseconds for which this member may still serve by its lease; none where it has none.
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
