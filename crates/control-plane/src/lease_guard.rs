//! The lease check that the event loop makes for each request.

use crate::clock::{self, micros};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Deadline value of a guard that admits requests without a lease.
pub(crate) const NO_DEADLINE: u64 = u64::MAX;

/// The deadline until which requests may be admitted. The lease renewer updates the deadline; the event loop reads it for each
/// request. Clones share one deadline.
#[derive(Clone, Debug)]
pub struct LeaseGuard {
    /// Microseconds of [`clock::now`]; [`NO_DEADLINE`] if the member serves without a lease.
    deadline: Arc<AtomicU64>,
    retry_after_ms: u64,
}

impl LeaseGuard {
    pub(crate) fn new(deadline: u64, retry_after_ms: u64) -> LeaseGuard {
        LeaseGuard {
            deadline: Arc::new(AtomicU64::new(deadline)),
            retry_after_ms,
        }
    }

    /// Whether a request may be admitted now. Reads the clock on each call, because the process may have been stopped since the
    /// previous call.
    pub fn admits(&self) -> bool {
        match self.deadline() {
            NO_DEADLINE => true,
            deadline => micros(clock::now()) < deadline,
        }
    }

    /// Milliseconds after which a rejected client should retry: the interval between two renewals.
    pub fn retry_after_ms(&self) -> u64 {
        self.retry_after_ms
    }

    pub(crate) fn deadline(&self) -> u64 {
        self.deadline.load(Ordering::Acquire)
    }

    pub(crate) fn set_deadline(&self, deadline: u64) {
        self.deadline.store(deadline, Ordering::Release);
    }
}
