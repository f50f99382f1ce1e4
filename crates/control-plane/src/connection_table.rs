//! The open connections of a control socket, bounded in number. Where there are too many, the one that has been idle for longest
//! is closed for the new one: a peer behind a link that drops everything leaves connections open that it has given up.

use crate::clock;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

#[derive(Debug)]
struct Entry {
    stream: Arc<UnixStream>,
    /// Since when it has been idle; none while a request of it is carried out.
    idle_since: Option<Duration>,
}

#[derive(Debug, Default)]
struct Entries {
    by_id: BTreeMap<u64, Entry>,
    last_id: u64,
}

/// The connections that are open.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    capacity: usize,
    entries: Arc<Mutex<Entries>>,
}

/// An open connection; its slot is free again once it is dropped.
#[derive(Debug)]
pub struct Connection {
    table: ConnectionTable,
    id: u64,
    /// To read from and to write to.
    pub stream: Arc<UnixStream>,
}

impl ConnectionTable {
    /// An empty table of that capacity.
    pub fn new(capacity: usize) -> ConnectionTable {
        ConnectionTable {
            capacity,
            entries: Arc::default(),
        }
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection, in the place of the one that has been idle for longest where the table is full.
    ///
    /// # Errors
    ///
    /// The connection itself, where the table is full and none is idle.
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

    /// The ids of the open connections, in the order of their admission.
    #[cfg(test)]
    pub fn ids(&self) -> Vec<u64> {
        self.entries().by_id.keys().copied().collect()
    }
}

/// Closes the connection that has been idle for longest; false where none is idle.
fn close_longest_idle(entries: &mut Entries) -> bool {
    let idle = entries
        .by_id
        .iter()
        .filter_map(|(id, entry)| Some((entry.idle_since?, *id)));
    let Some((_, id)) = idle.min() else {
        return false;
    };
    if let Some(entry) = entries.by_id.remove(&id) {
        // The thread that reads from it sees the end of the stream.
        let _ = entry.stream.shutdown(Shutdown::Both);
    }
    true
}

impl Connection {
    /// A request of this connection begins.
    pub fn set_busy(&self) {
        self.set_idle_since(None);
    }

    /// The connection waits for the next request.
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
