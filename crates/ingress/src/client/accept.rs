//! Accepting connections.

use super::connection::ClientConnection;
use super::Clients;
use crate::stream::Stream;
use mio::{Interest, Registry};
use std::io::ErrorKind;
use wrenfork_decision::Micros;

/// Connections accepted in a turn.
const ACCEPTS_PER_TURN: usize = 64;
/// How long a surplus connection may stay to be told that there is no capacity.
const SURPLUS_TIMEOUT: Micros = 1_000_000;

/// Whether there is a descriptor for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is.
    Regular,
    /// Only to say that there is none.
    Surplus,
}

/// What accepting came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// All that waited are accepted.
    All,
    /// There may be more.
    More,
    /// There is no descriptor to accept with.
    NoDescriptor,
}

impl Clients {
    /// Accepts what waits, for as long as there `may` be a descriptor for one more; `admit` frees it once one has come: nobody is
    /// evicted for one that does not come.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Micros,
        may: impl Fn(&Self) -> bool,
        mut admit: impl FnMut(&mut Self) -> Admission,
    ) -> Accepted {
        for _ in 0..ACCEPTS_PER_TURN {
            if !may(self) {
                return Accepted::NoDescriptor;
            }
            let Some(listener) = &self.listener else {
                return Accepted::All;
            };
            match listener.accept().map_err(|e| e.kind()) {
                Ok(stream) => {
                    let admission = admit(self);
                    self.add(stream, registry, now, admission);
                }
                Err(ErrorKind::WouldBlock) => return Accepted::All,
                // One that was gone before it was accepted, or may not connect.
                Err(
                    ErrorKind::ConnectionAborted
                    | ErrorKind::Interrupted
                    | ErrorKind::PermissionDenied,
                ) => {}
                // Out of descriptors or memory in spite of the budget: an idle one may make room.
                Err(_) if self.evict_oldest(now) => {}
                Err(_) => return Accepted::NoDescriptor,
            }
        }
        Accepted::More
    }

    fn add(&mut self, mut stream: Stream, registry: &Registry, now: Micros, admission: Admission) {
        let place = self.connections.vacant_entry();
        let key = place.key();
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
        place.insert(connection);
        self.update_idle_state(key);
    }
}
