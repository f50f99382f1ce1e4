//! The budget of file descriptors shared by client and backend connections, and which idle connection is evicted when it is
//! used up.

use crate::backend::Backends;
use crate::client::{Admission, Clients};
use crate::error::IngressError;
use crate::management::MAX_CONNECTIONS as MAX_MANAGEMENT_CONNECTIONS;
use rustix::process::{getrlimit, Resource};
use wrenfork_decision::{BackendId, Micros};

/// Descriptors that are neither clients nor backends: standard streams, poll, listener, signals, discovery, peers, and a few
/// spare ones for sockets that are opened before the one they replace is closed.
const OTHER_DESCRIPTORS: usize = 20;
/// Descriptors of the management listener and its connections.
const MANAGEMENT_DESCRIPTORS: usize = 1 + MAX_MANAGEMENT_CONNECTIONS;
/// Clients that are accepted beyond the budget, only to be sent a rejection.
const MAX_SURPLUS: usize = 8;
/// Largest share of the budget that clients alone, or backends alone, may use, in eighths.
const MAX_SHARE_EIGHTHS: usize = 6;
/// Minimum number of descriptors that must remain for clients and backends.
const MIN_SHARED: usize = 8;

/// Clients that are idle after an answer may keep at most the descriptor limit divided by this. Some clients send one request
/// and never close their connection; with a third of the descriptors held that way, the ingress could not connect to backends.
const IDLE_DIVISOR: usize = 6;

/// Limits on the descriptors that clients and backends share.
#[derive(Clone, Copy)]
pub struct DescriptorBudget {
    /// Descriptors for clients and backends together.
    shared: usize,
    /// Descriptors for clients that are idle after an answer.
    idle: usize,
}

/// Descriptors that are set aside before clients and backends get theirs.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReservedDescriptors {
    /// Whether the management address is configured.
    pub management: bool,
    /// Number of descriptors that group membership needs; 0 outside a group.
    pub group: usize,
}

impl DescriptorBudget {
    /// Computes the budget for clients and backends from the configured limit and the process's `RLIMIT_NOFILE`, whichever
    /// is lower.
    ///
    /// # Errors
    ///
    /// If fewer than [`MIN_SHARED`] descriptors remain.
    pub fn new(limit: usize, reserved: ReservedDescriptors) -> Result<Self, IngressError> {
        // With a system limit below the configured one, the reserved descriptors could not be opened.
        let allowed = getrlimit(Resource::Nofile)
            .current
            .and_then(|n| usize::try_from(n).ok());
        let limit = allowed.map_or(limit, |n| n.min(limit));
        let management = if reserved.management {
            MANAGEMENT_DESCRIPTORS
        } else {
            0
        };
        let set_aside = OTHER_DESCRIPTORS + reserved.group + management + MAX_SURPLUS;
        let shared = limit.checked_sub(set_aside).filter(|n| *n >= MIN_SHARED);
        Ok(DescriptorBudget {
            shared: shared.ok_or(IngressError::TooFewDescriptors(limit))?,
            idle: limit / IDLE_DIVISOR,
        })
    }

    /// Maximum number of descriptors for clients alone, or backends alone.
    fn max_share(self) -> usize {
        self.shared * MAX_SHARE_EIGHTHS / 8
    }

    fn is_exhausted(self, clients: &Clients, backends: &Backends) -> bool {
        clients.len() + backends.len() >= self.shared
    }

    /// Whether a second connection to the same backend may be opened while the first one is still connecting.
    pub fn allows_another_address(self, clients: &Clients, backends: &Backends) -> bool {
        backends.len() < self.max_share() && !self.is_exhausted(clients, backends)
    }

    /// Whether one more client may be accepted, if only to be sent a rejection. `backends` is the number of backend
    /// connections, and `any_backend_idle` says whether one of them could be evicted.
    pub fn allows_accept(self, clients: &Clients, backends: usize, any_backend_idle: bool) -> bool {
        let (share, len) = (self.max_share(), clients.len());
        let full = len >= share || len + backends >= self.shared;
        !full
            || clients.can_evict()
            || (any_backend_idle && len < share)
            || clients.surplus() < MAX_SURPLUS
    }

    /// Frees a descriptor for a newly connected client, evicting an idle connection if necessary.
    pub fn admit_client(
        self,
        clients: &mut Clients,
        backends: &mut Backends,
        now: Micros,
    ) -> Admission {
        clients.evict_idle_beyond(self.idle, now);
        let full = clients.len() >= self.max_share() || self.is_exhausted(clients, backends);
        if !full
            || clients.evict_oldest(now)
            || (clients.len() < self.max_share() && backends.evict_oldest())
        {
            Admission::Regular
        } else {
            Admission::Surplus
        }
    }

    /// Whether an attempt at a backend can get a descriptor, evicting an idle connection if necessary.
    pub fn admit_attempt(
        self,
        backend: BackendId,
        now: Micros,
        clients: &mut Clients,
        backends: &mut Backends,
    ) -> bool {
        if !backends.must_connect(backend, now) {
            return true;
        }
        if backends.len() >= self.max_share() {
            return backends.evict_oldest();
        }
        !self.is_exhausted(clients, backends)
            || backends.evict_oldest()
            || clients.evict_oldest(now)
    }
}
