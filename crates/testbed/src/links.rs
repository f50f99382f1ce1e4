//! Relays between the control sockets of ingresses: one for each ordered pair, each of which may fail on its own. What is
//! held back while a link is dropped arrives once it is well again, as on a network that sends again what was lost.

use mio::net::{UnixListener, UnixStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How a link fails. The one that opens a connection on it asks, the other answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Silence: nothing passes either way, and nobody is told.
    Dropped,
    /// Connections end at once, those that are open as well.
    Refused,
    /// A connection ends once so many bytes were asked over it.
    Reset(usize),
    /// All that passes is late by so much.
    Late(Duration),
    /// Asks arrive, answers don't.
    OneWay,
}

/// By who asks and who answers.
type Pair = (String, String);

const WAKE: Token = Token(0);
/// The most bytes that are held back in one direction of a connection.
const MOST_HELD: usize = 64 << 20;

struct Half {
    stream: UnixStream,
    pair: Pair,
    other: usize,
    /// Whether what comes from here is asked, or answered.
    asks: bool,
    /// What came from here and has not been passed on, with when it came.
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

/// The relays of some members. They end with the process.
pub struct Links {
    folder: PathBuf,
    faults: Arc<Mutex<BTreeMap<Pair, Fault>>>,
    waker: Waker,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Opens, below a folder, for each pair of one that asks and a member that answers at its socket, a socket at
    /// `FOLDER/ASKER/MEMBER`.
    ///
    /// # Errors
    ///
    /// Where a socket can't be had.
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

    /// Where an asker finds the members.
    pub fn folder(&self, asker: &str) -> PathBuf {
        self.folder.join(asker)
    }

    fn change(&self, change: impl FnOnce(&mut BTreeMap<Pair, Fault>)) {
        change(&mut lock(&self.faults));
        let _ = self.waker.wake();
    }

    /// Has the link between two fail, or be well.
    pub fn set(&self, from: &str, to: &str, fault: Option<Fault>) {
        let pair = (from.to_string(), to.to_string());
        self.change(|faults| match fault {
            Some(fault) => drop(faults.insert(pair, fault)),
            None => drop(faults.remove(&pair)),
        });
    }

    /// Has all links between some and others fail, in both directions.
    pub fn between(&self, some: &[&str], others: &[&str], fault: Fault) {
        self.change(|faults| {
            for (a, b) in some.iter().flat_map(|a| others.iter().map(move |b| (a, b))) {
                faults.insert((a.to_string(), b.to_string()), fault);
                faults.insert((b.to_string(), a.to_string()), fault);
            }
        });
    }

    /// Has every link be well.
    pub fn heal(&self) {
        self.change(BTreeMap::clear);
    }
}

impl Relay {
    fn run(mut self) {
        let mut events = Events::with_capacity(256);
        let mut chunk = vec![0; 64 << 10];
        loop {
            let wait = self.pass_on();
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
            // Where nobody listens, whoever asks finds the connection ended.
            let Ok(far) = UnixStream::connect(at) else {
                continue;
            };
            let half = |stream, pair, other, asks| Half {
                stream,
                pair,
                other,
                asks,
                held: VecDeque::new(),
                passed: 0,
                ended: false,
            };
            let one = self
                .halves
                .insert(half(near, pair.clone(), usize::MAX, true));
            let two = self.halves.insert(half(far, pair, one, false));
            self.halves[one].other = two;
            let first = 1 + self.listeners.len();
            for key in [one, two] {
                let stream = &mut self.halves[key].stream;
                let interest = Interest::READABLE | Interest::WRITABLE;
                let _ = self
                    .poll
                    .registry()
                    .register(stream, Token(first + key), interest);
            }
        }
    }

    fn end(&mut self, key: usize) {
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
                    if half.held.iter().map(|h| h.1.len()).sum::<usize>() < MOST_HELD {
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

    /// Passes on what may pass; how long until more may, unless something else happens.
    fn pass_on(&mut self) -> Option<Duration> {
        let (now, faults) = (Instant::now(), lock(&self.faults).clone());
        let mut wait: Option<Duration> = None;
        let keys: Vec<usize> = self.halves.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(half) = self.halves.get(key) else {
                continue;
            };
            let fault = faults.get(&half.pair).copied();
            let (other, asks) = (half.other, half.asks);
            match fault {
                Some(Fault::Refused) => {
                    self.end(key);
                    continue;
                }
                Some(Fault::Dropped) => continue,
                Some(Fault::OneWay) if !asks => continue,
                _ => {}
            }
            let late = if let Some(Fault::Late(by)) = fault {
                by
            } else {
                Duration::ZERO
            };
            let mut gone = false;
            while let Some((came, mut bytes)) = self.halves[key].held.pop_front() {
                if came + late > now {
                    let left = came + late - now;
                    wait = Some(wait.map_or(left, |w| w.min(left)));
                    self.halves[key].held.push_front((came, bytes));
                    break;
                }
                if let (Some(Fault::Reset(most)), true) = (fault, asks) {
                    let left = most.saturating_sub(self.halves[key].passed);
                    gone = left <= bytes.len();
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
                        gone = true;
                        0
                    }
                };
                self.halves[key].passed += written;
                if gone {
                    break;
                }
                if written < bytes.len() {
                    self.halves[key]
                        .held
                        .push_front((came, bytes.split_off(written)));
                    break; // the other side's writability wakes this again
                }
            }
            if gone || self.halves[key].ended && self.halves[key].held.is_empty() {
                self.end(key);
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

    /// A member that says back what it hears, a line at a time.
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
    fn each_pair_fails_on_its_own_and_what_was_held_arrives_when_it_is_well() {
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
            assert!(held.read(&mut [0; 8]).is_err(), "{fault:?}: silence");
            assert!(
                ask(&c, long).is_some_and(|(_, n)| n == 6),
                "{fault:?}: another pair is well"
            );
            links.heal();
            held.set_read_timeout(Some(long)).unwrap();
            assert_eq!(held.read(&mut [0; 8]).unwrap(), 6, "{fault:?}: it arrives");
        }
        links.set("a", "b", Some(Fault::Refused));
        assert!(ask(&a, long).is_some_and(|(_, n)| n == 0));
        links.set("a", "b", Some(Fault::Reset(3)));
        let (mut stream, n) = ask(&a, long).unwrap();
        assert!(n <= 3, "{n}");
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
