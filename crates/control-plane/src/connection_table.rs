//! The open connections of a control socket, bounded in number. When the table is full, the longest idle connection is closed to
//! admit a new one: a peer whose network drops all packets leaves connections open that it has already abandoned.

use crate::clock;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// An open connection in the table.
#[derive(Debug)]
struct Entry {
    stream: Arc<UnixStream>,
    /// When the connection became idle; `None` while one of its requests is being handled.
    idle_since: Option<Duration>,
}

/// The table's contents: connections by id, in the order of admission.
#[derive(Debug, Default)]
struct Entries {
    by_id: BTreeMap<u64, Entry>,
    last_id: u64,
}

/// The open connections of a control socket; clones share one table.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    capacity: usize,
    entries: Arc<Mutex<Entries>>,
}

/// An open connection; dropping it frees its slot in the table.
#[derive(Debug)]
pub struct Connection {
    table: ConnectionTable,
    id: u64,
    /// The connection's socket.
    pub stream: Arc<UnixStream>,
}

impl ConnectionTable {
    /// Creates an empty table for at most `capacity` connections.
    pub fn new(capacity: usize) -> ConnectionTable {
        ConnectionTable {
            capacity,
            entries: Arc::default(),
        }
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection. If the table is full, closes the longest idle connection first.
    ///
    /// # Errors
    ///
    /// Returns `stream` if the table is full and no connection is idle.
    pub fn admit(&self, stream: UnixStream) -> Result<Connection, UnixStream> {
        let mut entries = self.entries();
        if entries.by_id.len() >= self.capacity && !close_longest_idle(&mut entries) {
            return Err(stream);
        }
        entries.last_id += 1;
        let id = entries.last_id;
        let stream = Arc::new(stream);
        let entry = Entry {
            stream: stream.clone(),
            idle_since: Some(clock::now()),
        };
        entries.by_id.insert(id, entry);
        Ok(Connection {
            table: self.clone(),
            id,
            stream,
        })
    }

    /// The ids of the open connections, in order of admission.
    #[cfg(test)]
    pub fn ids(&self) -> Vec<u64> {
        self.entries().by_id.keys().copied().collect()
    }
}

/// Closes the longest idle connection; returns false if none is idle.
fn close_longest_idle(entries: &mut Entries) -> bool {
    let idle = entries
        .by_id
        .iter()
        .filter_map(|(id, entry)| Some((entry.idle_since?, *id)));
    let Some((_, id)) = idle.min() else {
        return false;
    };
    if let Some(entry) = entries.by_id.remove(&id) {
        // The thread that serves the connection reads the end of the stream and exits.
        let _ = entry.stream.shutdown(Shutdown::Both);
    }
    true
}

impl Connection {
    /// Marks the connection as busy with a request, so that it is not closed for a new one.
    pub fn set_busy(&self) {
        self.set_idle_since(None);
    }

    /// Marks the connection as waiting for its next request.
    pub fn set_idle(&self) {
        self.set_idle_since(Some(clock::now()));
    }

    fn set_idle_since(&self, idle_since: Option<Duration>) {
        if let Some(entry) = self.table.entries().by_id.get_mut(&self.id) {
            entry.idle_since = idle_since;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.table.entries().by_id.remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
