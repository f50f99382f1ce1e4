//! A minimal relay as the baseline of `wrenctl fleet cost`: it forwards the same bytes over the same hops with the same
//! event loop library as the ingress, chooses backends round-robin, and reads the same configuration.
//!
//! With `WRENFORK_RELAY=fallback` it is the baseline for pools: `referral` requests go to the nodes outside the first
//! zone, all others to the nodes of the first zone, or to the other nodes while none in the first zone is reachable.

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
const FIRST_CONN_TOKEN: usize = 1;
/// How long a node counts as unreachable after one of its connections closed.
const UNREACHABLE_FOR: Duration = Duration::from_millis(500);

struct Conn {
    stream: TcpStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    /// Index of the backend; `None` for a client connection.
    backend: Option<usize>,
    /// Client connection that waits for this backend connection's answer.
    client: Option<usize>,
}

struct Relay {
    registry: Registry,
    conns: Slab<Conn>,
    backends: Vec<SocketAddr>,
    idle: Vec<Vec<usize>>,
    /// For each backend whether it is in the first zone; `None` without the fallback mode.
    in_first_zone: Option<Vec<bool>>,
    /// For each backend the time until which it counts as unreachable.
    unreachable_until: Vec<Instant>,
    next: usize,
    chunk: Vec<u8>,
    args: Vec<Range<usize>>,
}

impl Relay {
    fn add(
        &mut self,
        mut stream: TcpStream,
        backend: Option<usize>,
        client: Option<usize>,
    ) -> Option<usize> {
        let _ = stream.set_nodelay(true);
        let place = self.conns.vacant_entry();
        let key = place.key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.registry
            .register(&mut stream, Token(FIRST_CONN_TOKEN + key), interest)
            .ok()?;
        place.insert(Conn {
            stream,
            inbox: Vec::new(),
            outbox: Vec::new(),
            backend,
            client,
        });
        Some(key)
    }

    fn drop_conn(&mut self, key: usize) {
        let Some(conn) = self.conns.try_remove(key) else {
            return;
        };
        if let Some(backend) = conn.backend {
            self.idle[backend].retain(|k| *k != key);
            self.unreachable_until[backend] = Instant::now() + UNREACHABLE_FOR;
            if let Some(client) = conn.client {
                self.send(client, b"-ERR failed\r\n");
            }
        }
    }

    fn send(&mut self, key: usize, bytes: &[u8]) {
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

    /// Picks the next backend round-robin, within the preferred zone in fallback mode.
    fn next_backend(&mut self, referral: bool) -> usize {
        let (count, now) = (self.backends.len(), Instant::now());
        let from = self.next + 1;
        let candidates = (0..count).map(|n| (from + n) % count);
        let chosen = match &self.in_first_zone {
            None => None,
            Some(in_first_zone) => {
                let find = |first_zone: bool| {
                    candidates.clone().find(|n| {
                        in_first_zone[*n] == first_zone && self.unreachable_until[*n] <= now
                    })
                };
                if referral {
                    find(false)
                } else {
                    find(true).or_else(|| find(false))
                }
            }
        };
        self.next = chosen.unwrap_or(from % count);
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
                self.send(key, b"+PONG\r\n");
                continue;
            }
            let backend = self.next_backend(command.windows(10).any(|w| w == b"c=referral"));
            let conn = self.idle[backend].pop().or_else(|| {
                let stream = TcpStream::connect(self.backends[backend]).ok()?;
                self.add(stream, Some(backend), None)
            });
            match conn {
                Some(conn) => {
                    self.conns[conn].client = Some(key);
                    self.send(conn, &command);
                }
                None => self.send(key, b"-ERR failed\r\n"),
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
        let client = conn.client.take();
        if let Some(backend) = conn.backend {
            self.idle[backend].push(key);
        }
        if let Some(client) = client {
            self.send(client, &text);
        }
    }
}

fn run() -> Result<(), String> {
    let path = std::env::var("LB_CONFIG").map_err(|_| "LB_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config: Value = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let address = |v: &Value| v.as_str().and_then(|t| t.parse::<SocketAddr>().ok());
    let listen = address(&config["listen"]).ok_or("listen is missing or not a socket address")?;
    let list = config["known"]["endpoints"]
        .as_array()
        .ok_or("known.endpoints is missing or not a list")?;
    let backends: Vec<SocketAddr> = list.iter().filter_map(|e| address(&e["address"])).collect();
    if backends.is_empty() {
        return Err("known.endpoints has no valid address".into());
    }
    let mut poll = Poll::new().map_err(|e| e.to_string())?;
    let mut listener = TcpListener::bind(listen).map_err(|e| e.to_string())?;
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)
        .map_err(|e| e.to_string())?;
    let registry = poll.registry().try_clone().map_err(|e| e.to_string())?;
    let fallback = std::env::var("WRENFORK_RELAY").is_ok_and(|v| v == "fallback");
    let in_first_zone =
        fallback.then(|| list.iter().map(|e| e["zone"] == list[0]["zone"]).collect());
    let unreachable_until = vec![Instant::now(); backends.len()];
    let idle = vec![Vec::new(); backends.len()];
    let chunk = vec![0; 16 * 1024];
    let conns = Slab::new();
    let mut relay = Relay {
        registry,
        conns,
        backends,
        idle,
        in_first_zone,
        unreachable_until,
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
                relay.ready(event.token().0 - FIRST_CONN_TOKEN);
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
