//! Discovery: an agent for each ingress that tells the list and its changes over HTTP/1.1, late or not at all.

use super::address;
use super::context::{token, Context, Due, Part};
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

/// How late a change reaches an agent, at the least and at the most.
const SPREAD: (Micros, Micros) = (50_000, 400_000);
/// The longest that a watch waits.
const LONGEST_WATCH_MS: u64 = 60_000;
/// The most bytes of a call.
const MOST_CALL: usize = 8 * 1024;

/// What falls due for discovery.
pub enum DiscoveryDue {
    /// An agent has what was new at this index.
    Known { ingress: usize, index: u64 },
    /// A watch has waited for long enough.
    WatchOver { conn: usize, watch: u64 },
    /// An agent's fault is over.
    Back { ingress: usize, since: Micros },
}

/// How an agent fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentMode {
    Well,
    Silent,
    Gone,
    Late(Micros),
}

/// A line of the list.
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
    /// Where it listens for each ingress.
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
    /// The newest index that it has.
    known: u64,
    mode: (AgentMode, Micros),
}

struct Conn {
    pipe: Pipe,
    ingress: usize,
    /// A watch that waits for what is newer than this, and its number.
    watch: Option<(u64, u64)>,
}

/// The list and its agents.
pub struct Discovery {
    agents: Vec<Agent>,
    conns: Slab<Conn>,
    /// All changes; the index is the place in it plus 1.
    changes: Vec<Line>,
    /// Watches so far.
    watches: u64,
    chunk: Vec<u8>,
    seed: u64,
}

impl Discovery {
    /// Opens an agent for each ingress, with a list that all have.
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
                mode: (AgentMode::Well, 0),
            });
            discovery.listen(ingress, context)?;
        }
        Ok(discovery)
    }

    /// Notes what all ingresses are told by their configuration.
    pub fn told_at_start(&self, context: &mut Context) {
        for ingress in 0..self.agents.len() {
            for line in &self.changes {
                let (backend, up, started) = (line.ident, line.status == "up", line.started);
                context.see(Seen::BackendReported {
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
            token(Part::DiscoveryListener, ingress),
            Interest::READABLE,
        )?;
        self.agents[ingress].listener = Some(listener);
        Ok(())
    }

    /// Where an ingress's agent listens.
    pub fn address(&self, ingress: usize) -> SocketAddr {
        self.agents[ingress].at
    }

    /// Changes a line for all agents, each of which has it a little later.
    pub fn change(&mut self, line: Line, context: &mut Context) {
        self.changes.push(line);
        let index = self.changes.len() as u64;
        for ingress in 0..self.agents.len() {
            let lot = crate::arrivals::hash_draw(self.seed, &[12, index, ingress as u64]);
            let mut delay = SPREAD.0 + ((SPREAD.1 - SPREAD.0) as f64 * lot) as Micros;
            if let AgentMode::Late(more) = self.agents[ingress].mode.0 {
                delay += more;
            }
            context.after(
                delay,
                Due::Discovery(DiscoveryDue::Known { ingress, index }),
            );
        }
    }

    /// Has an agent fail for a time.
    pub fn fail(&mut self, ingress: usize, mode: AgentMode, lasts: Micros, context: &mut Context) {
        self.agents[ingress].mode = (mode, context.now);
        if mode == AgentMode::Gone {
            self.agents[ingress].listener = None;
            self.close_all(ingress);
        }
        context.after(
            lasts,
            Due::Discovery(DiscoveryDue::Back {
                ingress,
                since: context.now,
            }),
        );
    }

    /// Moves an agent to another address; the old one is gone.
    pub fn move_agent(&mut self, ingress: usize, context: &mut Context) -> io::Result<()> {
        self.agents[ingress].at = SocketAddr::new(address::own(), 0);
        self.close_all(ingress);
        self.listen(ingress, context)
    }

    fn close_all(&mut self, ingress: usize) {
        self.conns.retain(|_, c| c.ingress != ingress);
    }

    /// Takes in connections.
    pub fn accept(&mut self, ingress: usize, context: &mut Context) {
        loop {
            let Some(listener) = &self.agents[ingress].listener else {
                return;
            };
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let place = self.conns.vacant_entry();
            let token = token(Part::Discovery, place.key());
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

    /// Does what a connection is ready for.
    pub fn ready(&mut self, key: usize, context: &mut Context) {
        context.read_clock();
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let flow = conn.pipe.fill(&mut self.chunk);
        if flow != Flow::Open || !conn.pipe.flush() || conn.pipe.inbox.len() > MOST_CALL {
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
                .say(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
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
            // One that knows what this agent does not is told the whole list.
            Some(since) if since < self.agents[ingress].known => {
                self.tell(key, Some(since), context)
            }
            _ => self.tell(key, None, context),
        }
    }

    /// Tells what is newer than an index, or the whole list.
    fn tell(&mut self, key: usize, since: Option<u64>, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (ingress, known) = (conn.ingress, self.agents[conn.ingress].known);
        let mut lines: BTreeMap<usize, &Line> = BTreeMap::new();
        for line in &self.changes[since.unwrap_or(0) as usize..known as usize] {
            lines.insert(line.ident, line);
        }
        let whole = since.is_none();
        let told = lines.values().filter(|l| !(whole && l.status == "removed"));
        let list: Vec<Value> = told.map(|l| l.json(ingress)).collect();
        let body = json!({"index": known, "snapshot": whole, "endpoints": list}).to_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        conn.watch = None;
        if !conn.pipe.say((head + &body).as_bytes()) {
            self.conns.remove(key);
            return;
        }
        for line in lines.values() {
            let (backend, up, started) = (line.ident, line.status == "up", line.started);
            context.see(Seen::BackendReported {
                ingress,
                backend,
                up,
                started,
            });
        }
    }

    /// Carries out what is due.
    pub fn due(&mut self, due: DiscoveryDue, context: &mut Context) {
        match due {
            DiscoveryDue::Known { ingress, index } => {
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
                    self.tell(conn, Some(since), context);
                }
            }
            DiscoveryDue::Back { ingress, since } => {
                let agent = &mut self.agents[ingress];
                if agent.mode.1 != since {
                    return;
                }
                let was = std::mem::replace(&mut agent.mode, (AgentMode::Well, context.now)).0;
                if was == AgentMode::Gone {
                    // The address is this rig's own: only a connection of its own could still be in the way.
                    if self.listen(ingress, context).is_err() {
                        let again = DiscoveryDue::Back {
                            ingress,
                            since: context.now,
                        };
                        context.after(100_000, Due::Discovery(again));
                        self.agents[ingress].mode = (AgentMode::Gone, context.now);
                    }
                } else if was == AgentMode::Silent {
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
            .for_each(|(key, since)| self.tell(key, since, context));
    }

    /// The list as an ingress has it at its start, in discovery's form.
    pub fn known(&self, ingress: usize, upto: Option<u64>) -> (u64, Value) {
        let index = upto.unwrap_or(self.agents[ingress].known);
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

    /// The newest line of a backend.
    pub fn line(&self, ident: usize) -> Option<&Line> {
        self.changes.iter().rev().find(|l| l.ident == ident)
    }
}
