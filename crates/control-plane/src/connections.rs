//! The connections of a control socket: so many at the most. One more takes the place of the one that has been silent for
//! longest, if any is waiting for nothing: a peer behind a link that swallows all leaves connections open that it has given up.

use crate::clock;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

#[derive(Debug)]
struct Open {
    stream: Arc<UnixStream>,
    /// Since when it has been silent; none while something that it asked is being done.
    silent: Option<Duration>,
}

#[derive(Debug, Default)]
struct Table {
    open: BTreeMap<u64, Open>,
    next: u64,
}

/// The connections that are open.
#[derive(Clone, Debug)]
pub struct Connections {
    most: usize,
    table: Arc<Mutex<Table>>,
}

/// One of them; with it its place is free again.
#[derive(Debug)]
pub struct Connection {
    all: Connections,
    key: u64,
    /// To read from and to write to.
    pub stream: Arc<UnixStream>,
}

impl Connections {
    /// None yet, and never more than so many.
    pub fn new(most: usize) -> Connections {
        Connections {
            most,
            table: Arc::default(),
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one in; gives it back where all that there are have something to do.
    ///
    /// # Errors
    ///
    /// With the connection, where there is no room.
    pub fn take_in(&self, stream: UnixStream) -> Result<Connection, UnixStream> {
        let mut table = self.table();
        if table.open.len() >= self.most {
            let silent = table
                .open
                .iter()
                .filter_map(|(key, o)| Some((o.silent?, *key)));
            let Some((_, key)) = silent.min() else {
                return Err(stream);
            };
            if let Some(open) = table.open.remove(&key) {
                // Whoever reads from it finds that it has ended.
                let _ = open.stream.shutdown(Shutdown::Both);
            }
        }
        table.next += 1;
        let (key, stream) = (table.next, Arc::new(stream));
        table.open.insert(
            key,
            Open {
                stream: stream.clone(),
                silent: Some(clock::now()),
            },
        );
        Ok(Connection {
            all: self.clone(),
            key,
            stream,
        })
    }
}

impl Connection {
    /// Something that was asked is being done, or that is over.
    pub fn busy(&self, busy: bool) {
        if let Some(open) = self.all.table().open.get_mut(&self.key) {
            open.silent = (!busy).then(clock::now);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.table().open.remove(&self.key);
    }
}

#[cfg(test)]
mod tests {
    use super::{Connections, Duration, UnixStream};
    use std::io::Read;

    #[test]
    fn one_more_takes_the_place_of_the_one_that_is_silent_for_longest() {
        let all = Connections::new(2);
        let ends: Vec<_> = (0..4).map(|_| UnixStream::pair().unwrap()).collect();
        let mut others = Vec::new();
        let mut taken = Vec::new();
        for (near, far) in ends {
            others.push(far);
            taken.push(all.take_in(near));
            if let [Ok(first), ..] = &taken[..] {
                first.busy(taken.len() == 1);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        let open: Vec<u64> = all.table().open.keys().copied().collect();
        // The first was at work when the third came, and the longest silent when the fourth did: the second went, then ...
        assert_eq!(open.len(), 2);
        assert!(open.contains(&4), "{open:?}");
        assert_eq!(
            others[1].read(&mut [0]).unwrap(),
            0,
            "whoever was closed is told"
        );
        let busy: Vec<_> = taken.iter().flatten().collect();
        busy.iter().for_each(|c| c.busy(true));
        let (near, _far) = UnixStream::pair().unwrap();
        assert!(all.take_in(near).is_err(), "all have something to do");
        drop(taken);
        assert!(all.table().open.is_empty());
    }
}
