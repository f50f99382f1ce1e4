//! Relays between the control sockets of ingresses: one for each ordered pair, with a fault of its own. Bytes held back
//! while a link is dropped are delivered once the fault ends, as a network that retransmits lost packets does.

use mio::net::{UnixListener, UnixStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How a link fails. The side that opens a connection sends requests; the other side answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing passes in either direction, and connections stay open.
    Dropped,
    /// Open and new connections are closed at once.
    Refused,
    /// A connection is closed once this many request bytes have passed.
    Reset(usize),
    /// All bytes are delayed by this time.
    Late(Duration),
    /// Requests arrive, answers don't.
    OneWay,
}

/// The names of the requesting and the answering side.
type Pair = (String, String);

const WAKE: Token = Token(0);
/// Bytes held back in one direction of a connection at which the connection is closed.
const MAX_HELD_BYTES: usize = 64 << 20;

struct Half {
    stream: UnixStream,
    pair: Pair,
    other: usize,
    /// Whether this side sends the requests.
    requester: bool,
    /// Received bytes that are not forwarded yet, with the time of receipt.
    held: VecDeque<(Instant, Vec<u8>)>,
    passed: usize,
    ended: bool,
}

struct Relay {
    poll: Poll,
    listeners: Vec<(UnixListener, Pair, PathBuf)>,
    halves: Slab<Half>,
    faults: Arc<Mutex<BTreeMap<Pair, Fault>>>,
}

/// The relays between the members of a group. They run until the process exits.
pub struct Links {
    folder: PathBuf,
    faults: Arc<Mutex<BTreeMap<Pair, Fault>>>,
    waker: Waker,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Opens a socket at `FOLDER/ASKER/MEMBER` for each pair of an asker and another member, and relays its connections
    /// to the member's own socket, the second item in `members`.
    ///
    /// # Errors
    ///
    /// If a folder, a socket or the relay thread can't be created.
    pub fn open(folder: &Path, askers: &[&str], members: &[(&str, PathBuf)]) -> io::Result<Links> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let faults = Arc::default();
        let mut relay = Relay {
            poll,
            listeners: Vec::new(),
            halves: Slab::new(),
            faults: Arc::clone(&faults),
        };
        for asker in askers {
            std::fs::create_dir_all(folder.join(asker))?;
            for (member, at) in members.iter().filter(|m| m.0 != *asker) {
                let mut listener = UnixListener::bind(folder.join(asker).join(member))?;
                let token = Token(1 + relay.listeners.len());
                relay
                    .poll
                    .registry()
                    .register(&mut listener, token, Interest::READABLE)?;
                relay.listeners.push((
                    listener,
                    (asker.to_string(), member.to_string()),
                    at.clone(),
                ));
            }
        }
        thread::Builder::new()
            .name("links".into())
            .spawn(move || relay.run())?;
        Ok(Links {
            folder: folder.into(),
            faults,
            waker,
        })
    }

    /// The folder with the sockets through which an asker reaches the members.
    pub fn folder(&self, asker: &str) -> PathBuf {
        self.folder.join(asker)
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<Pair, Fault>)) {
        change(&mut lock(&self.faults));
        let _ = self.waker.wake();
    }

    /// Sets the fault of the link from one member to another; `None` removes the fault.
    pub fn set(&self, from: &str, to: &str, fault: Option<Fault>) {
        let pair = (from.to_string(), to.to_string());
        self.change(|faults| match fault {
            Some(fault) => drop(faults.insert(pair, fault)),
            None => drop(faults.remove(&pair)),
        });
    }

    /// Sets a fault on all links between two sets of members, in both directions.
    pub fn between(&self, some: &[&str], others: &[&str], fault: Fault) {
        self.change(|faults| {
            for (a, b) in some.iter().flat_map(|a| others.iter().map(move |b| (a, b))) {
                faults.insert((a.to_string(), b.to_string()), fault);
                faults.insert((b.to_string(), a.to_string()), fault);
            }
        });
    }

    /// Removes the faults of all links.
    pub fn heal(&self) {
        self.change(BTreeMap::clear);
    }
}

impl Relay {
    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        let mut chunk = vec![0; 64 << 10];
        loop {
            let wait = self.forward();
            if self.poll.poll(&mut events, wait).is_err() {
                continue;
            }
            let ready: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            for token in ready {
                match token.checked_sub(1) {
                    None => {}
                    Some(n) if n < self.listeners.len() => self.accept(n),
                    Some(n) => self.read(n - self.listeners.len(), &mut chunk),
                }
            }
        }
    }

    fn accept(&mut self, n: usize) {
        while let Ok((near, _)) = self.listeners[n].0.accept() {
            let (pair, at) = (self.listeners[n].1.clone(), &self.listeners[n].2);
            if lock(&self.faults).get(&pair) == Some(&Fault::Refused) {
                continue;
            }
            // Nobody listens at the member's socket: the asker's connection is closed.
            let Ok(far) = UnixStream::connect(at) else {
                continue;
            };
            let half = |stream, pair, other, requester| Half {
                stream,
                pair,
                other,
                requester,
                held: VecDeque::new(),
                passed: 0,
                ended: false,
            };
            let near_key = self
                .halves
                .insert(half(near, pair.clone(), usize::MAX, true));
            let far_key = self.halves.insert(half(far, pair, near_key, false));
            self.halves[near_key].other = far_key;
            let first_token = 1 + self.listeners.len();
            for key in [near_key, far_key] {
                let stream = &mut self.halves[key].stream;
                let interest = Interest::READABLE | Interest::WRITABLE;
                let _ = self
                    .poll
                    .registry()
                    .register(stream, Token(first_token + key), interest);
            }
        }
    }

    fn close(&mut self, key: usize) {
        if let Some(half) = self.halves.try_remove(key) {
            self.halves.try_remove(half.other);
        }
    }

    fn read(&mut self, key: usize, chunk: &mut [u8]) {
        let now = Instant::now();
        let Some(half) = self.halves.get_mut(key) else {
            return;
        };
        loop {
            match half.stream.read(chunk) {
                Ok(0) => half.ended = true,
                Ok(n) => {
                    half.held.push_back((now, chunk[..n].to_vec()));
                    if half.held.iter().map(|h| h.1.len()).sum::<usize>() < MAX_HELD_BYTES {
                        continue;
                    }
                    half.ended = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => half.ended = true,
            }
            return;
        }
    }

    /// Forwards the bytes that no fault holds back; returns the time until the next delayed bytes are due.
    fn forward(&mut self) -> Option<Duration> {
        let (now, faults) = (Instant::now(), lock(&self.faults).clone());
        let mut wait: Option<Duration> = None;
        let keys: Vec<usize> = self.halves.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(half) = self.halves.get(key) else {
                continue;
            };
            let fault = faults.get(&half.pair).copied();
            let (other, requester) = (half.other, half.requester);
            match fault {
                Some(Fault::Refused) => {
                    self.close(key);
                    continue;
                }
                Some(Fault::Dropped) => continue,
                Some(Fault::OneWay) if !requester => continue,
                _ => {}
            }
            let delay = if let Some(Fault::Late(delay)) = fault {
                delay
            } else {
                Duration::ZERO
            };
            let mut closed = false;
            while let Some((received, mut bytes)) = self.halves[key].held.pop_front() {
                if received + delay > now {
                    let left = received + delay - now;
                    wait = Some(wait.map_or(left, |w| w.min(left)));
                    self.halves[key].held.push_front((received, bytes));
                    break;
                }
                if let (Some(Fault::Reset(max_bytes)), true) = (fault, requester) {
                    let left = max_bytes.saturating_sub(self.halves[key].passed);
                    closed = left <= bytes.len();
                    bytes.truncate(left);
                }
                let written = match self.halves[other].stream.write(&bytes) {
                    Ok(n) => n,
                    Err(e)
                        if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) =>
                    {
                        0
                    }
                    Err(_) => {
                        closed = true;
                        0
                    }
                };
                self.halves[key].passed += written;
                if closed {
                    break;
                }
                if written < bytes.len() {
                    self.halves[key]
                        .held
                        .push_front((received, bytes.split_off(written)));
                    break; // resumes when the other side is writable
                }
            }
            if closed || self.halves[key].ended && self.halves[key].held.is_empty() {
                self.close(key);
            }
        }
        wait
    }
}

#[cfg(test)]
mod tests {
    use super::{thread, Duration, ErrorKind, Fault, Instant, Links, Path};
    use std::io::{Read, Write};
    use std::os::unix::net;

    /// Starts a member that echoes all bytes it receives.
    fn echo(at: &Path) {
        let listener = net::UnixListener::bind(at).unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                thread::spawn(move || {
                    let (mut chunk, mut stream) = ([0; 64], stream);
                    while let Ok(n @ 1..) = stream.read(&mut chunk) {
                        if stream.write_all(&chunk[..n]).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn ask(at: &Path, wait: Duration) -> Option<(net::UnixStream, usize)> {
        let mut stream = net::UnixStream::connect(at).unwrap();
        stream.set_read_timeout(Some(wait)).unwrap();
        let _ = stream.write_all(b"hello\n");
        match stream.read(&mut [0; 64]) {
            Ok(n) => Some((stream, n)),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => None,
            Err(_) => Some((stream, 0)),
        }
    }

    #[test]
    fn faults_affect_one_pair_only_and_held_bytes_arrive_after_the_fault_ends() {
        let folder = tempfile::tempdir().unwrap();
        let at = folder.path().join("b");
        echo(&at);
        let links = Links::open(&folder.path().join("links"), &["a", "c"], &[("b", at)]).unwrap();
        let (a, c) = (links.folder("a").join("b"), links.folder("c").join("b"));
        let (short, long) = (Duration::from_millis(150), Duration::from_secs(10));
        for fault in [Fault::Dropped, Fault::OneWay] {
            links.set("a", "b", Some(fault));
            let mut held = net::UnixStream::connect(&a).unwrap();
            held.set_read_timeout(Some(short)).unwrap();
            held.write_all(b"hello\n").unwrap();
            assert!(
                held.read(&mut [0; 8]).is_err(),
                "{fault:?}: an answer passed"
            );
            assert!(
                ask(&c, long).is_some_and(|(_, n)| n == 6),
                "{fault:?}: another pair is affected"
            );
            links.heal();
            held.set_read_timeout(Some(long)).unwrap();
            assert_eq!(
                held.read(&mut [0; 8]).unwrap(),
                6,
                "{fault:?}: held bytes did not arrive"
            );
        }
        links.set("a", "b", Some(Fault::Refused));
        assert!(ask(&a, long).is_some_and(|(_, n)| n == 0));
        links.set("a", "b", Some(Fault::Reset(3)));
        let (mut stream, n) = ask(&a, long).unwrap();
        assert!(n <= 3, "{n} bytes passed before the reset");
        assert!(n == 0 || matches!(stream.read(&mut [0; 8]), Ok(0) | Err(_)));
        links.set("a", "b", Some(Fault::Late(short)));
        let start = Instant::now();
        assert!(ask(&a, long).is_some_and(|(_, n)| n == 6) && start.elapsed() >= 2 * short);
        links.between(&["a"], &["b"], Fault::Refused);
        assert!(ask(&a, long).is_some_and(|(_, n)| n == 0));
        links.heal();
        assert!(ask(&a, long).is_some_and(|(_, n)| n == 6));
    }
}
