//! The admission check under a lease, as the event loop sees it.

use crate::clock::{self, micros};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The deadline of a guard that admits requests without a lease.
pub(crate) const NO_DEADLINE: u64 = u64::MAX;

/// The deadline up to which requests may be admitted. The renewing thread moves it; the event loop reads it for each request.
#[derive(Clone, Debug)]
pub struct LeaseGuard {
    /// Microseconds of [`clock::now`]; [`NO_DEADLINE`] where the member serves on without a lease.
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

    /// Whether a request may be admitted at this moment. The clock is read each time: the process may have been stopped since
    /// it was read last.
    pub fn admits(&self) -> bool {
        match self.deadline() {
            NO_DEADLINE => true,
            deadline => micros(clock::now()) < deadline,
        }
    }

    /// Milliseconds after which a rejected client should retry: the time between two renewals.
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
