//! The budget of file descriptors that clients and backends share, and whose idle connection is evicted for another.

use crate::backend::Backends;
use crate::client::{Admission, Clients};
use crate::error::IngressError;
use crate::management::MAX_CONNECTIONS as MAX_OPERATORS;
use rustix::process::{getrlimit, Resource};
use wrenfork_decision::{BackendId, Micros};

/// Descriptors that are neither clients nor backends: standard streams, poll, listener, signals, discovery,
/// peers, and some to spare for what is opened before another is closed.
const OTHER_DESCRIPTORS: usize = 20;
/// The operators' listener and their connections.
const MANAGEMENT_DESCRIPTORS: usize = 1 + MAX_OPERATORS;
/// Clients that are accepted beyond the budget, only to be told so.
const MAX_SURPLUS: usize = 8;
/// The most of the budget that the clients, or the backends, may have to themselves, in eighths.
const MAX_SHARE_EIGHTHS: usize = 6;
/// The least that must be left for clients and backends.
const MIN_SHARED: usize = 8;

/// One part in so many of the descriptors is for clients that are idle behind an answer: some send one request and keep their
/// connection for good, and a front that may hold a third of the descriptors could reach nobody any more.
const IDLE_SHARE: usize = 6;

/// The descriptors that clients and backends share.
#[derive(Clone, Copy)]
pub struct DescriptorBudget {
    /// For clients and backends together.
    shared: usize,
    /// For clients that are idle behind an answer.
    idle: usize,
}

/// Who needs descriptors besides clients and backends.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReservedDescriptors {
    /// Whether operators are listened for.
    pub management: bool,
    /// Descriptors of a member of a group.
    pub group: usize,
}

impl DescriptorBudget {
    /// What is left of the process's limit, in descriptors, for clients and backends.
    ///
    /// # Errors
    ///
    /// Where that is next to none.
    pub fn new(limit: usize, reserved: ReservedDescriptors) -> Result<Self, IngressError> {
        // Where the system allows less than is configured, what is reserved for discovery and the rest would not be there.
        let allowed = getrlimit(Resource::Nofile)
            .current
            .and_then(|n| usize::try_from(n).ok());
        let limit = allowed.map_or(limit, |n| n.min(limit));
        let management = if reserved.management {
            MANAGEMENT_DESCRIPTORS
        } else {
            0
        };
        let others = OTHER_DESCRIPTORS + reserved.group + management + MAX_SURPLUS;
        let shared = limit.checked_sub(others).filter(|n| *n >= MIN_SHARED);
        Ok(DescriptorBudget {
            shared: shared.ok_or(IngressError::TooFewDescriptors(limit))?,
            idle: limit / IDLE_SHARE,
        })
    }

    /// The most that the clients, or the backends, may have.
    fn max_share(self) -> usize {
        self.shared * MAX_SHARE_EIGHTHS / 8
    }

    fn is_spent(self, clients: &Clients, backends: &Backends) -> bool {
        clients.len() + backends.len() >= self.shared
    }

    /// Whether one more connection to a backend may be opened beside another.
    pub fn allows_another_address(self, clients: &Clients, backends: &Backends) -> bool {
        backends.len() < self.max_share() && !self.is_spent(clients, backends)
    }

    /// Whether one more client may be accepted beside so many connections to backends, some of which may be idle, be it only
    /// to be told that there is no capacity.
    pub fn allows_accept(self, clients: &Clients, backends: usize, any_backend_idle: bool) -> bool {
        let (share, len) = (self.max_share(), clients.len());
        let full = len >= share || len + backends >= self.shared;
        !full
            || clients.can_evict()
            || (any_backend_idle && len < share)
            || clients.surplus() < MAX_SURPLUS
    }

    /// Frees a descriptor for a client that has connected, if need be by evicting an idle connection.
    pub fn admit_client(
        self,
        clients: &mut Clients,
        backends: &mut Backends,
        now: Micros,
    ) -> Admission {
        clients.evict_idle_beyond(self.idle, now);
        let full = clients.len() >= self.max_share() || self.is_spent(clients, backends);
        if !full
            || clients.evict_oldest(now)
            || (clients.len() < self.max_share() && backends.evict_oldest())
        {
            Admission::Regular
        } else {
            Admission::Surplus
        }
    }

    /// Whether work for a backend has a descriptor, if need be by evicting an idle connection.
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
        !self.is_spent(clients, backends) || backends.evict_oldest() || clients.evict_oldest(now)
    }
}
