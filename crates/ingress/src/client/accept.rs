//! Accepting client connections.

use super::connection::ClientConnection;
use super::Clients;
use crate::stream::Stream;
use mio::{Interest, Registry};
use std::io::ErrorKind;
use wrenfork_decision::Micros;

/// Maximum number of connections accepted in one turn of the event loop.
const ACCEPTS_PER_TURN: usize = 64;
/// How long a surplus connection stays open to have its first request rejected.
const SURPLUS_TIMEOUT: Micros = 1_000_000;

/// How a new connection is admitted with regard to the file descriptor budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Within the budget: the connection is served.
    Regular,
    /// Beyond the budget: accepted only to have its first request rejected.
    Surplus,
}

/// Result of accepting connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// No connection is waiting to be accepted.
    All,
    /// More connections may be waiting.
    More,
    /// No file descriptor is available for another connection.
    NoDescriptor,
}

impl Clients {
    /// Accepts waiting connections while `can_accept` reports that a file descriptor is, or can be made, available. `admit` is
    /// called only after a connection was accepted and frees a descriptor if needed, so that nothing is evicted if no connection
    /// is waiting.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Micros,
        can_accept: impl Fn(&Self) -> bool,
        mut admit: impl FnMut(&mut Self) -> Admission,
    ) -> Accepted {
        for _ in 0..ACCEPTS_PER_TURN {
            if !can_accept(self) {
                return Accepted::NoDescriptor;
            }
            let Some(listener) = &self.listener else {
                return Accepted::All;
            };
            match listener.accept().map_err(|error| error.kind()) {
                Ok(stream) => {
                    let admission = admit(self);
                    self.add(stream, registry, now, admission);
                }
                Err(ErrorKind::WouldBlock) => return Accepted::All,
                // The client disconnected before it was accepted, or is not permitted to connect.
                Err(
                    ErrorKind::ConnectionAborted
                    | ErrorKind::Interrupted
                    | ErrorKind::PermissionDenied,
                ) => {}
                // Out of file descriptors or memory in spite of the budget: tries again after evicting an idle connection.
                Err(_) if self.evict_oldest(now) => {}
                Err(_) => return Accepted::NoDescriptor,
            }
        }
        Accepted::More
    }

    fn add(&mut self, mut stream: Stream, registry: &Registry, now: Micros, admission: Admission) {
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let interests = Interest::READABLE | Interest::WRITABLE;
        if registry
            .register(&mut stream, (self.tokens)(key), interests)
            .is_err()
        {
            return;
        }
        self.serial += 1;
        self.accepted_at = now;
        let mut connection = ClientConnection::new(stream, self.serial, now);
        if admission == Admission::Surplus {
            connection.surplus = true;
            connection.linger_until = Some(now + SURPLUS_TIMEOUT);
            self.surplus += 1;
            self.lingering += 1;
        }
        entry.insert(connection);
        self.update_idle_state(key);
    }
}
