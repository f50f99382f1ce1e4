//! Who gets a descriptor: the budget that clients and backends share, and whose idle connection makes room.

use crate::backends::Backends;
use crate::clients::{Clients, Room};
use crate::management::MOST_CALLERS;
use rustix::process::{getrlimit, Resource};
use wrenfork_decision::{BackendId, Micros};

/// Descriptors that are neither clients nor backends: standard streams, poll, listener, signals, discovery,
/// peers, and some to spare for what is opened before another is closed.
const OTHER_SOCKETS: usize = 20;
/// The operators' listener and its callers.
const MANAGEMENT_SOCKETS: usize = 1 + MOST_CALLERS;
/// Clients that are taken in beyond the budget, only to be told so.
const MOST_SURPLUS: usize = 8;
/// The most of the budget that the clients, or the backends, may have to themselves, in eighths.
const MOST_EIGHTHS: usize = 6;

/// The part of the descriptors that clients may keep idle behind an answer: some ask once and keep their connection
/// for good, and a front that may hold a third of the descriptors could reach nobody any more.
const IDLE_SHARE: usize = 6;

/// The descriptors that clients and backends share.
#[derive(Clone, Copy)]
pub struct Budget {
    /// For clients and backends together.
    shared: usize,
    /// For clients that are idle behind an answer.
    idle: usize,
}

impl Budget {
    /// What is left of the process's limit for clients and backends, with what belonging to a group takes; an error where
    /// that is next to none.
    pub fn new(sockets: usize, managed: bool, grouped: usize) -> Result<Self, String> {
        // Where the system allows less than was told, what is kept for discovery and the rest would not be there.
        let allowed = getrlimit(Resource::Nofile)
            .current
            .and_then(|n| usize::try_from(n).ok());
        let sockets = allowed.map_or(sockets, |n| n.min(sockets));
        let other = OTHER_SOCKETS + grouped + if managed { MANAGEMENT_SOCKETS } else { 0 };
        let left = sockets
            .checked_sub(other + MOST_SURPLUS)
            .filter(|n| *n >= 8);
        let left = left.ok_or_else(|| format!("limits.sockets is too few: {sockets}"));
        left.map(|shared| Budget {
            shared,
            idle: sockets / IDLE_SHARE,
        })
    }

    fn share(self) -> usize {
        self.shared * MOST_EIGHTHS / 8
    }

    fn spent(self, clients: &Clients, backends: &Backends) -> bool {
        clients.len() + backends.len() >= self.shared
    }

    /// Whether there is room for one more connection to a backend beside another.
    pub fn beside(self, clients: &Clients, backends: &Backends) -> bool {
        backends.len() < self.share() && !self.spent(clients, backends)
    }

    /// Whether one more client may come in beside so many connections to backends, some of which may be idle, or be told that it
    /// can't.
    pub fn accepts(self, clients: &Clients, backends: usize, idle: bool) -> bool {
        let (share, len) = (self.share(), clients.len());
        let full = len >= share || len + backends >= self.shared;
        !full || clients.evictable() || (idle && len < share) || clients.surplus() < MOST_SURPLUS
    }

    /// Makes room for a client that has come, if need be in place of an idle connection.
    pub fn client(self, clients: &mut Clients, backends: &mut Backends, now: Micros) -> Room {
        clients.evict_spare(self.idle, now);
        let full = clients.len() >= self.share() || self.spent(clients, backends);
        if !full
            || clients.evict_oldest(now)
            || (clients.len() < self.share() && backends.evict_oldest())
        {
            Room::Free
        } else {
            Room::Surplus
        }
    }

    /// Whether work for a backend has a descriptor, if need be by closing an idle connection.
    pub fn backend(
        self,
        backend: BackendId,
        now: Micros,
        clients: &mut Clients,
        backends: &mut Backends,
    ) -> bool {
        if !backends.must_connect(backend, now) {
            return true;
        }
        if backends.len() >= self.share() {
            return backends.evict_oldest();
        }
        !self.spent(clients, backends) || backends.evict_oldest() || clients.evict_oldest(now)
    }
}
