//! A bare relay, for `wrenctl fleet cost` to measure the ingress beside: the same bytes over the same hops with the
//! same loop library, and no decision but whose turn it is. It reads the same configuration.
//!
//! With `WRENFORK_RELAY=fallback` it is what pools are measured beside: every class but `referral` goes to the nodes of the
//! first hall, and all of it at once to the others while none of those can be reached.

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use serde_json::Value;
use slab::Slab;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::ops::Range;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use wrenfork_wire::resp::{self, Reply};

const LISTENER: Token = Token(0);
const FIRST: usize = 1;
/// How long a node counts as gone whose connection broke.
const GONE: Duration = Duration::from_millis(500);

struct Conn {
    stream: TcpStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    /// The client's side: none. The backend's: which, and the client that waits.
    backend: Option<usize>,
    other: Option<usize>,
}

struct Relay {
    registry: Registry,
    conns: Slab<Conn>,
    backends: Vec<SocketAddr>,
    idle: Vec<Vec<usize>>,
    /// Whether each stands in the first hall; none where any node will do.
    home: Option<Vec<bool>>,
    /// Until when each counts as gone.
    gone: Vec<Instant>,
    next: usize,
    chunk: Vec<u8>,
    args: Vec<Range<usize>>,
}

impl Relay {
    fn add(
        &mut self,
        mut stream: TcpStream,
        backend: Option<usize>,
        other: Option<usize>,
    ) -> Option<usize> {
        let _ = stream.set_nodelay(true);
        let place = self.conns.vacant_entry();
        let key = place.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut stream, Token(FIRST + key), interest)
            .ok()?;
        place.insert(Conn {
            stream,
            inbox: Vec::new(),
            outbox: Vec::new(),
            backend,
            other,
        });
        Some(key)
    }

    fn drop_conn(&mut self, key: usize) {
        let Some(conn) = self.conns.try_remove(key) else {
            return;
        };
        if let Some(backend) = conn.backend {
            self.idle[backend].retain(|k| *k != key);
            self.gone[backend] = Instant::now() + GONE;
            if let Some(client) = conn.other {
                self.say(client, b"-ERR failed\r\n");
            }
        }
    }

    fn say(&mut self, key: usize, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.outbox.extend_from_slice(bytes);
            self.flush(key);
        }
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        while !conn.outbox.is_empty() {
            match conn.stream.write(&conn.outbox) {
                Ok(n) => drop(conn.outbox.drain(..n)),
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return
                }
                Err(_) => return self.drop_conn(key),
            }
        }
    }

    fn ready(&mut self, key: usize) {
        self.flush(key);
        loop {
            let Some(conn) = self.conns.get_mut(key) else {
                return;
            };
            match conn.stream.read(&mut self.chunk) {
                Ok(n) if n > 0 => {
                    conn.inbox.extend_from_slice(&self.chunk[..n]);
                    if n < self.chunk.len() {
                        break;
                    }
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break
                }
                _ => return self.drop_conn(key),
            }
        }
        if self.conns[key].backend.is_some() {
            self.take_answer(key);
        } else {
            self.take_commands(key);
        }
    }

    /// Whose turn it is.
    fn turn(&mut self, referral: bool) -> usize {
        let (count, now) = (self.backends.len(), Instant::now());
        let from = self.next + 1;
        let turns = (0..count).map(|n| (from + n) % count);
        let turn = match &self.home {
            None => None,
            Some(home) => {
                let of = |first: bool| {
                    turns
                        .clone()
                        .find(|n| home[*n] == first && self.gone[*n] <= now)
                };
                if referral {
                    of(false)
                } else {
                    of(true).or_else(|| of(false))
                }
            }
        };
        self.next = turn.unwrap_or(from % count);
        self.next
    }

    fn take_commands(&mut self, key: usize) {
        while let Some(conn) = self.conns.get_mut(key) {
            let n = match resp::command(&conn.inbox, &mut self.args) {
                Ok(Some(n)) => n,
                Ok(None) => return,
                Err(_) => return self.drop_conn(key),
            };
            let command: Vec<u8> = conn.inbox.drain(..n).collect();
            if self
                .args
                .first()
                .is_some_and(|a| &command[a.clone()] == b"PING")
            {
                self.say(key, b"+PONG\r\n");
                continue;
            }
            let backend = self.turn(command.windows(10).any(|w| w == b"c=referral"));
            let conn = self.idle[backend].pop().or_else(|| {
                let stream = TcpStream::connect(self.backends[backend]).ok()?;
                self.add(stream, Some(backend), None)
            });
            match conn {
                Some(conn) => {
                    self.conns[conn].other = Some(key);
                    self.say(conn, &command);
                }
                None => self.say(key, b"-ERR failed\r\n"),
            }
        }
    }

    fn take_answer(&mut self, key: usize) {
        let conn = &mut self.conns[key];
        let (reply, n) = match resp::reply(&conn.inbox) {
            Ok(Some(found)) => found,
            Ok(None) => return,
            Err(_) => return self.drop_conn(key),
        };
        let first = match &reply {
            Reply::Single(e) => Some(e),
            Reply::Array(list) => list.first(),
        };
        let text = first.map_or(Vec::new(), |e| conn.inbox[e.span.clone()].to_vec());
        conn.inbox.drain(..n);
        let client = conn.other.take();
        if let Some(backend) = conn.backend {
            self.idle[backend].push(key);
        }
        if let Some(client) = client {
            self.say(client, &text);
        }
    }
}

fn run() -> Result<(), String> {
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let address = |v: &Value| v.as_str().and_then(|t| t.parse::<SocketAddr>().ok());
    let listen = address(&config["listen"]).ok_or("listen is no address")?;
    let list = config["known"]["endpoints"]
        .as_array()
        .ok_or("known.endpoints is no list")?;
    let backends: Vec<SocketAddr> = list.iter().filter_map(|e| address(&e["address"])).collect();
    if backends.is_empty() {
        return Err("there is no backend".into());
    }
    let mut poll = Poll::new().map_err(|e| e.to_string())?;
    let mut listener = TcpListener::bind(listen).map_err(|e| e.to_string())?;
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)
        .map_err(|e| e.to_string())?;
    let registry = poll.registry().try_clone().map_err(|e| e.to_string())?;
    let fallback = std::env::var("WRENFORK_RELAY").is_ok_and(|v| v == "fallback");
    let home = fallback.then(|| list.iter().map(|e| e["zone"] == list[0]["zone"]).collect());
    let gone = vec![Instant::now(); backends.len()];
    let idle = vec![Vec::new(); backends.len()];
    let chunk = vec![0; 16 * 1024];
    let conns = Slab::new();
    let mut relay = Relay {
        registry,
        conns,
        backends,
        idle,
        home,
        gone,
        next: 0,
        chunk,
        args: Vec::new(),
    };
    let mut events = Events::with_capacity(512);
    loop {
        match poll.poll(&mut events, None) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e.to_string()),
            _ => {}
        }
        for event in events.iter() {
            if event.token() == LISTENER {
                while let Ok((stream, _)) = listener.accept() {
                    relay.add(stream, None, None);
                }
            } else {
                relay.ready(event.token().0 - FIRST);
            }
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("wrenfork-relay: {e}");
            ExitCode::FAILURE
        }
    }
}
