//! A stand-in for discovery: an agent for each ingress that serves the endpoint list and its changes over HTTP/1.1. An agent can be
//! late, silent or gone.

use super::address;
use super::context::{token, Component, Context, Due};
use super::pipe::{Flow, Pipe};
use crate::judge::Seen;
use crate::scenario::{Micros, Scenario};
use mio::net::TcpListener;
use mio::Interest;
use serde_json::{json, Value};
use slab::Slab;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// The shortest and the longest delay until a change reaches an agent.
const CHANGE_DELAY: (Micros, Micros) = (50_000, 400_000);
/// The longest time that a watch waits for a change.
const LONGEST_WATCH_MS: u64 = 60_000;
/// The maximum of unread bytes of a connection.
const MAX_INBOX_BYTES: usize = 8 * 1024;

/// A timer event of discovery.
pub enum DiscoveryDue {
    /// The change at this index reaches an agent.
    ChangeArrived { ingress: usize, index: u64 },
    /// The timeout of a watch has passed.
    WatchOver { conn: usize, watch: u64 },
    /// The fault of an agent that began at `since` ends, unless a later one has replaced it.
    Recovered { ingress: usize, since: Micros },
}

/// The fault of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    Normal,
    Silent,
    Gone,
    Late(Micros),
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Line {
    pub ident: usize,
    pub name: String,
    pub hall: String,
    pub model: String,
    pub pod: usize,
    pub status: &'static str,
    pub started: Micros,
    pub weight: f64,
    /// The address of the backend for each ingress.
    pub addresses: Vec<SocketAddr>,
}

impl Line {
    fn json(&self, ingress: usize) -> Value {
        json!({"name": self.name, "address": self.addresses[ingress].to_string(), "zone": self.hall,
               "type": self.model, "group": self.pod, "status": self.status, "weight": self.weight,
               "since_ms": self.started / 1000})
    }
}

struct Agent {
    at: SocketAddr,
    listener: Option<TcpListener>,
    /// The index of the newest change that has reached the agent.
    known: u64,
    mode: (AgentMode, Micros),
}

struct Conn {
    pipe: Pipe,
    ingress: usize,
    /// The waiting watch: the index after which it wants changes, and its number.
    watch: Option<(u64, u64)>,
}

/// The endpoint list and its agents.
pub struct Discovery {
    agents: Vec<Agent>,
    conns: Slab<Conn>,
    /// All changes. The index of a change is its position plus 1.
    changes: Vec<Line>,
    /// How many watches there have been; numbers the next one.
    watches: u64,
    chunk: Vec<u8>,
    seed: u64,
}

impl Discovery {
    /// Opens an agent for each ingress. All agents start with the same list.
    pub fn open(s: &Scenario, lines: Vec<Line>, context: &mut Context) -> io::Result<Self> {
        let mut discovery = Discovery {
            agents: Vec::new(),
            conns: Slab::new(),
            changes: lines,
            watches: 0,
            chunk: vec![0; 16 * 1024],
            seed: s.seed,
        };
        let known = discovery.changes.len() as u64;
        for ingress in 0..usize::from(s.ingresses.count) {
            let at = SocketAddr::new(address::own(), 0);
            discovery.agents.push(Agent {
                at,
                listener: None,
                known,
                mode: (AgentMode::Normal, 0),
            });
            discovery.listen(ingress, context)?;
        }
        Ok(discovery)
    }

    /// Records for the judge the list that each ingress has from its configuration.
    pub fn record_initial_lists(&self, context: &mut Context) {
        for ingress in 0..self.agents.len() {
            for line in &self.changes {
                let (backend, up, started) = (line.ident, line.status == "up", line.started);
                context.record(Seen::BackendReported {
                    ingress,
                    backend,
                    up,
                    started,
                });
            }
        }
    }

    fn listen(&mut self, ingress: usize, context: &mut Context) -> io::Result<()> {
        let mut listener = TcpListener::bind(self.agents[ingress].at)?;
        self.agents[ingress].at = listener.local_addr()?;
        context.registry.register(
            &mut listener,
            token(Component::DiscoveryListener, ingress),
            Interest::READABLE,
        )?;
        self.agents[ingress].listener = Some(listener);
        Ok(())
    }

    /// The address of the agent of an ingress.
    pub fn address(&self, ingress: usize) -> SocketAddr {
        self.agents[ingress].at
    }

    /// Adds a change, which reaches each agent after a delay of its own.
    pub fn change(&mut self, line: Line, context: &mut Context) {
        self.changes.push(line);
        let index = self.changes.len() as u64;
        for ingress in 0..self.agents.len() {
            let fraction = crate::arrivals::hash_draw(self.seed, &[12, index, ingress as u64]);
            let mut delay =
                CHANGE_DELAY.0 + ((CHANGE_DELAY.1 - CHANGE_DELAY.0) as f64 * fraction) as Micros;
            if let AgentMode::Late(extra) = self.agents[ingress].mode.0 {
                delay += extra;
            }
            context.after(
                delay,
                Due::Discovery(DiscoveryDue::ChangeArrived { ingress, index }),
            );
        }
    }

    /// Makes an agent fail for a time.
    pub fn fail(&mut self, ingress: usize, mode: AgentMode, lasts: Micros, context: &mut Context) {
        self.agents[ingress].mode = (mode, context.now);
        if mode == AgentMode::Gone {
            self.agents[ingress].listener = None;
            self.close_all(ingress);
        }
        context.after(
            lasts,
            Due::Discovery(DiscoveryDue::Recovered {
                ingress,
                since: context.now,
            }),
        );
    }

    /// Moves an agent to another address and closes its connections.
    pub fn move_agent(&mut self, ingress: usize, context: &mut Context) -> io::Result<()> {
        self.agents[ingress].at = SocketAddr::new(address::own(), 0);
        self.close_all(ingress);
        self.listen(ingress, context)
    }

    fn close_all(&mut self, ingress: usize) {
        self.conns.retain(|_, c| c.ingress != ingress);
    }

    /// Accepts pending connections.
    pub fn accept(&mut self, ingress: usize, context: &mut Context) {
        loop {
            let Some(listener) = &self.agents[ingress].listener else {
                return;
            };
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let place = self.conns.vacant_entry();
            let token = token(Component::Discovery, place.key());
            if context
                .registry
                .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
                .is_ok()
            {
                place.insert(Conn {
                    pipe: Pipe::new(stream),
                    ingress,
                    watch: None,
                });
            }
        }
    }

    /// Reads and writes a connection that is ready.
    pub fn handle_ready(&mut self, key: usize, context: &mut Context) {
        context.read_clock();
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let flow = conn.pipe.fill(&mut self.chunk);
        if flow != Flow::Open || !conn.pipe.flush() || conn.pipe.inbox.len() > MAX_INBOX_BYTES {
            self.conns.remove(key);
            return;
        }
        if self.agents[conn.ingress].mode.0 == AgentMode::Silent {
            return;
        }
        self.take_call(key, context);
    }

    fn take_call(&mut self, key: usize, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        let (size, path) = match head.parse(&conn.pipe.inbox) {
            Ok(httparse::Status::Complete(n)) => (n, head.path.unwrap_or("").to_string()),
            Ok(httparse::Status::Partial) => return,
            Err(_) => {
                self.conns.remove(key);
                return;
            }
        };
        conn.pipe.inbox.drain(..size);
        let (path, query) = path.split_once('?').unwrap_or((&path, ""));
        if path != "/v1/endpoints" {
            conn.pipe
                .send(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        let number = |name: &str| {
            let value = query.split('&').find_map(|p| p.strip_prefix(name));
            value.and_then(|v| v.parse::<u64>().ok())
        };
        let ingress = conn.ingress;
        match number("since=") {
            Some(since) if since == self.agents[ingress].known => {
                self.watches += 1;
                let watch = self.watches;
                conn.watch = Some((since, watch));
                let wait = number("timeout_ms=").unwrap_or(0).min(LONGEST_WATCH_MS) * 1000;
                context.after(
                    wait,
                    Due::Discovery(DiscoveryDue::WatchOver { conn: key, watch }),
                );
            }
            // An ingress with an index that the agent does not have yet gets the whole list.
            Some(since) if since < self.agents[ingress].known => {
                self.send_list(key, Some(since), context)
            }
            _ => self.send_list(key, None, context),
        }
    }

    /// Sends the changes after an index, or the whole list.
    fn send_list(&mut self, key: usize, since: Option<u64>, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (ingress, known) = (conn.ingress, self.agents[conn.ingress].known);
        let mut lines: BTreeMap<usize, &Line> = BTreeMap::new();
        for line in &self.changes[since.unwrap_or(0) as usize..known as usize] {
            lines.insert(line.ident, line);
        }
        let snapshot = since.is_none();
        let listed = lines
            .values()
            .filter(|l| !(snapshot && l.status == "removed"));
        let list: Vec<Value> = listed.map(|l| l.json(ingress)).collect();
        let body = json!({"index": known, "snapshot": snapshot, "endpoints": list}).to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        conn.watch = None;
        if !conn.pipe.send((head + &body).as_bytes()) {
            self.conns.remove(key);
            return;
        }
        for line in lines.values() {
            let (backend, up, started) = (line.ident, line.status == "up", line.started);
            context.record(Seen::BackendReported {
                ingress,
                backend,
                up,
                started,
            });
        }
    }

    /// Handles a timer event.
    pub fn handle_due(&mut self, due: DiscoveryDue, context: &mut Context) {
        match due {
            DiscoveryDue::ChangeArrived { ingress, index } => {
                let agent = &mut self.agents[ingress];
                agent.known = agent.known.max(index);
                if agent.mode.0 != AgentMode::Silent {
                    self.answer_watches(ingress, context);
                }
            }
            DiscoveryDue::WatchOver { conn, watch } => {
                let Some(c) = self.conns.get(conn) else {
                    return;
                };
                let Some((since, _)) = c.watch.filter(|w| w.1 == watch) else {
                    return;
                };
                if self.agents[c.ingress].mode.0 != AgentMode::Silent {
                    self.send_list(conn, Some(since), context);
                }
            }
            DiscoveryDue::Recovered { ingress, since } => {
                let agent = &mut self.agents[ingress];
                if agent.mode.1 != since {
                    return;
                }
                let ended = std::mem::replace(&mut agent.mode, (AgentMode::Normal, context.now)).0;
                if ended == AgentMode::Gone {
                    // No other program uses the address: binding fails only while an old connection of the
                    // rig is closing.
                    if self.listen(ingress, context).is_err() {
                        let retry = DiscoveryDue::Recovered {
                            ingress,
                            since: context.now,
                        };
                        context.after(100_000, Due::Discovery(retry));
                        self.agents[ingress].mode = (AgentMode::Gone, context.now);
                    }
                } else if ended == AgentMode::Silent {
                    self.answer_watches(ingress, context);
                    let waiting: Vec<usize> = self
                        .conns
                        .iter()
                        .filter(|(_, c)| c.ingress == ingress)
                        .map(|(k, _)| k)
                        .collect();
                    waiting
                        .into_iter()
                        .for_each(|key| self.take_call(key, context));
                }
            }
        }
    }

    fn answer_watches(&mut self, ingress: usize, context: &mut Context) {
        let known = self.agents[ingress].known;
        let due = |c: &Conn| c.ingress == ingress && c.watch.is_some_and(|w| w.0 < known);
        let due: Vec<(usize, Option<u64>)> = self
            .conns
            .iter()
            .filter(|(_, c)| due(c))
            .map(|(key, c)| (key, c.watch.map(|w| w.0)))
            .collect();
        due.into_iter()
            .for_each(|(key, since)| self.send_list(key, since, context));
    }

    /// The endpoint list up to a change, by default the newest one that the agent has, with the index of that change.
    pub fn list_at(&self, ingress: usize, up_to: Option<u64>) -> (u64, Value) {
        let index = up_to.unwrap_or(self.agents[ingress].known);
        let mut lines: BTreeMap<usize, &Line> = BTreeMap::new();
        self.changes[..index as usize].iter().for_each(|l| {
            lines.insert(l.ident, l);
        });
        let list: Vec<Value> = lines
            .values()
            .filter(|l| l.status != "removed")
            .map(|l| l.json(ingress))
            .collect();
        (
            index,
            json!({"index": index, "snapshot": true, "endpoints": list}),
        )
    }

    /// The newest entry of a backend.
    pub fn line(&self, ident: usize) -> Option<&Line> {
        self.changes.iter().rev().find(|l| l.ident == ident)
    }
}
