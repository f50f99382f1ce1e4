//! The stand-ins for clients: a front that distributes requests over ingresses with a pool of connections, retries, clients that
//! leave before the reply, crowds, and hostile clients.

use super::backends::value_of;
use super::context::{token, Component, Context, Due};
use super::pipe::{Flow, Pipe};
use crate::arrivals::{hash_draw, Accounts, Arrival};
use crate::judge::{Answer, Seen, Try, ANSWER_SLACK, ON_SOCKETS};
use crate::scenario::{Effect, Manner, Micros, Scenario, SECOND};
use mio::net::TcpStream;
use mio::Interest;
use slab::Slab;
use std::collections::VecDeque;
use std::net::SocketAddr;
use wrenfork_wire::resp::{self, Kind, Reply};

/// The interval of `PING` until an ingress is ready.
const PING_INTERVAL: Micros = 20_000;
/// How long the front still opens connections to an ingress after its graceful shutdown began.
const NEW_CONNECTIONS_AFTER_STOP: Micros = 300_000;
/// The pause before a connection of a hostile client is opened again. The pause between two batches of connections is a
/// twentieth of it.
const REOPEN_DELAY: Micros = 200_000;
/// How many connections of a crowd or of hostile clients are opened at once.
const OPEN_BATCH: u32 = 16;
/// The body of a request that is not safe.
const BODY: &str = "amount=2500000&years=30&rate=3.10";
/// How many `PING` commands a deaf client sends without reading a reply.
const DEAF_PINGS: usize = 4_000;

/// A timer event of the clients.
pub enum ClientDue {
    /// A request is retried.
    Retry(Operation),
    /// The time to wait for the reply to a try has passed.
    Overdue { key: usize, id: u64 },
    /// A client leaves before the reply.
    Leave { key: usize, id: u64 },
    /// A `PING` is sent to check whether an ingress is ready.
    Ping { ingress: usize },
    /// The front notices that an ingress is down.
    Notice { ingress: usize, since: Micros },
    /// The front stops opening connections to an ingress.
    StopNew { ingress: usize, since: Micros },
    /// Connections of a crowd or of hostile clients are opened.
    Open { group: usize, count: u32 },
    /// A crowd or a group of hostile clients ends.
    GroupOver { group: usize },
}

/// A request with the state that its tries share.
#[derive(Clone, Copy, Debug)]
pub struct Operation {
    first: u64,
    account: u32,
    class: usize,
    plan: usize,
    /// When the client gives up on the request.
    until: Micros,
    tries: u32,
    /// A random number in [0, 1) that selects the ingress, drawn anew for each try.
    draw: f64,
}

/// A try that waits for its reply.
struct PendingTry {
    op: Operation,
    id: u64,
    conn: usize,
    ingress: usize,
    wait: Micros,
    sent: bool,
    /// Sent a second time on a new connection, as the first one was closed between two requests.
    crossed: bool,
    /// The client uses a connection of its own and keeps it open after the reply.
    dedicated: bool,
    /// Until when the client waits for the reply, once the try is sent.
    until: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Front,
    /// Checks whether an ingress is ready.
    Ping,
    /// Carries one request of a client that stays connected.
    Dedicated,
    /// Belongs to a group of hostile clients.
    Hostile(usize),
}

struct Conn {
    pipe: Pipe,
    ingress: usize,
    purpose: Purpose,
    /// The try that waits for its reply.
    busy: Option<usize>,
    /// The id of the last try that was replied to; 0 if there is none.
    last_id: u64,
}

/// Whether the front sends requests to an ingress.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Admission {
    Closed,
    Open,
    /// Only over existing connections.
    ExistingOnly,
}

/// An ingress as the front sees it.
struct IngressTarget {
    at: SocketAddr,
    admission: Admission,
    /// When the ingress last became ready, died or began to shut down; timers of earlier events are
    /// ignored.
    since: Micros,
    /// Idle connections, the most recently used one last.
    idle: VecDeque<usize>,
    /// How many connections the front has open.
    open_connections: usize,
}

/// A crowd (no manner), or hostile clients of one manner, at one ingress.
struct Group {
    ingress: usize,
    manner: Option<Manner>,
    over: bool,
    wanted: u32,
}

/// All clients, with their connections and tries.
pub struct Clients {
    scenario: Scenario,
    accounts: Accounts,
    conns: Slab<Conn>,
    tries: Slab<PendingTry>,
    targets: Vec<IngressTarget>,
    groups: Vec<Group>,
    next: u64,
    chunk: Vec<u8>,
    start: Micros,
    /// How many tries reached no ingress.
    pub unreachable: u64,
    /// How many tries were sent again, as they crossed with the close of their connection.
    pub crossed: u64,
}

impl Clients {
    /// Creates the clients for ingresses at these addresses. No ingress is taken to be ready yet.
    pub fn new(s: &Scenario, at: &[SocketAddr]) -> Self {
        let target = |at: &SocketAddr| IngressTarget {
            at: *at,
            admission: Admission::Closed,
            since: 0,
            idle: VecDeque::new(),
            open_connections: 0,
        };
        Clients {
            scenario: s.clone(),
            accounts: Accounts::new(s),
            conns: Slab::new(),
            tries: Slab::new(),
            targets: at.iter().map(target).collect(),
            groups: Vec::new(),
            next: 0,
            chunk: vec![0; 64 * 1024],
            start: 0,
            unreachable: 0,
            crossed: 0,
        }
    }

    /// Sets the start of the arrivals.
    pub fn begin(&mut self, now: Micros) {
        self.start = now;
    }

    /// Whether the front considers an ingress ready.
    pub fn is_ready(&self, ingress: usize) -> bool {
        self.targets[ingress].admission == Admission::Open
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// The number of tries that wait for a reply.
    pub fn waiting(&self) -> usize {
        self.tries.len()
    }

    /// Sends `PING` to a started ingress until it is ready.
    pub fn ping_until_ready(&mut self, ingress: usize, context: &mut Context) {
        context.after(PING_INTERVAL, Due::Client(ClientDue::Ping { ingress }));
    }

    /// Notes the death of an ingress, which the front notices after a delay.
    pub fn died(&mut self, ingress: usize, context: &mut Context) {
        let since = context.now;
        self.targets[ingress].since = since;
        let notice = self.scenario.clients.notice;
        context.after(notice, Due::Client(ClientDue::Notice { ingress, since }));
    }

    /// Notes that an ingress shuts down. The front stops opening connections to it after a delay.
    pub fn shutting_down(&mut self, ingress: usize, context: &mut Context) {
        let since = context.now;
        self.targets[ingress].since = since;
        context.after(
            NEW_CONNECTIONS_AFTER_STOP,
            Due::Client(ClientDue::StopNew { ingress, since }),
        );
    }

    /// Opens more connections to an ingress, which the front then uses.
    pub fn add_crowd(&mut self, ingress: usize, count: u32, lasts: Micros, context: &mut Context) {
        self.group(
            Group {
                ingress,
                manner: None,
                over: false,
                wanted: count,
            },
            count,
            lasts,
            context,
        );
    }

    /// Connects hostile clients to an ingress.
    pub fn add_hostile(
        &mut self,
        ingress: usize,
        count: u32,
        manner: Manner,
        lasts: Micros,
        context: &mut Context,
    ) {
        let group = Group {
            ingress,
            manner: Some(manner),
            over: false,
            wanted: count,
        };
        self.group(group, count, lasts, context);
    }

    fn group(&mut self, group: Group, count: u32, lasts: Micros, context: &mut Context) {
        self.groups.push(group);
        let group = self.groups.len() - 1;
        context.after(0, Due::Client(ClientDue::Open { group, count }));
        context.after(lasts, Due::Client(ClientDue::GroupOver { group }));
    }

    /// Starts the first try of a request.
    pub fn arrive(&mut self, a: Arrival, context: &mut Context) {
        let first = self.new_id();
        let class = &self.scenario.classes[a.class];
        let op = Operation {
            first,
            account: a.account,
            class: a.class,
            plan: self.accounts.plan(a.account),
            until: context.now + class.deadline,
            tries: 0,
            draw: hash_draw(self.scenario.seed, &[21, first]),
        };
        self.start_try(op, first, context);
    }

    fn new_id(&mut self) -> u64 {
        self.next += 1;
        // Multiplying by an odd number is a bijection, so ids stay unique. It changes all digits, so
        // that nothing can rely on the order of ids.
        self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }

    fn start_try(&mut self, op: Operation, id: u64, context: &mut Context) {
        let class = &self.scenario.classes[op.class];
        let (low, high) = self.scenario.clients.try_share;
        let share = low + (high - low) * hash_draw(self.scenario.seed, &[22, op.first]);
        let left = op.until.saturating_sub(context.now);
        let wait = ((class.deadline as f64 * share) as Micros).min(left) / 1000 * 1000;
        if wait < 1000 {
            return;
        }
        let candidates = self.accounts.ingress_order(
            op.account,
            context.now.saturating_sub(self.start),
            op.draw,
        );
        let open = |i: &&usize| self.targets[**i].admission == Admission::Open;
        let kept = |i: &&usize| {
            self.targets[**i].admission == Admission::ExistingOnly
                && !self.targets[**i].idle.is_empty()
        };
        let found = candidates.iter().find(|i| open(i) || kept(i)).copied();
        let Some(ingress) = found else {
            return self.record_unreached(op, context);
        };
        let dedicated = hash_draw(self.scenario.seed, &[28, id]) < self.scenario.clients.stay;
        let (conn, until) = (usize::MAX, Micros::MAX);
        let pending = PendingTry {
            op,
            id,
            conn,
            ingress,
            wait,
            sent: false,
            crossed: false,
            dedicated,
            until,
        };
        let key = self.tries.insert(pending);
        self.send(key, context);
    }

    /// Sends a try over an idle connection or a new one.
    fn send(&mut self, key: usize, context: &mut Context) {
        let t = &self.tries[key];
        let (ingress, fresh, dedicated) = (t.ingress, t.crossed || t.dedicated, t.dedicated);
        let target = &mut self.targets[ingress];
        // With more than 256 idle connections, as of a crowd, they are used in rotation; otherwise
        // the most recently used one is reused.
        let found = match target.idle.len() {
            _ if fresh => None,
            n if n > 256 => target.idle.pop_front(),
            _ => target.idle.pop_back(),
        };
        let room = target.open_connections < self.scenario.clients.most_connections;
        let purpose = if dedicated {
            Purpose::Dedicated
        } else {
            Purpose::Front
        };
        let connect =
            |clients: &mut Self, context: &mut Context| clients.connect(ingress, purpose, context);
        let conn = found.or_else(|| if room { connect(self, context) } else { None });
        let Some(conn) = conn else {
            return self.try_not_sent(key, context);
        };
        let t = &mut self.tries[key];
        t.conn = conn;
        let command = command(&self.scenario, &t.op, t.id, t.wait, &self.accounts);
        self.conns[conn].busy = Some(key);
        if !self.conns[conn].pipe.send(&command) {
            return self.connection_ended(conn, context);
        }
        self.record_sent(conn, context);
    }

    /// Records a try for the judge once it is completely written.
    fn record_sent(&mut self, conn: usize, context: &mut Context) {
        let c = &self.conns[conn];
        let Some(key) = c.busy.filter(|_| c.pipe.all_written()) else {
            return;
        };
        let t = &mut self.tries[key];
        if std::mem::replace(&mut t.sent, true) {
            return;
        }
        context.read_clock();
        let deadline = context.now + t.wait;
        t.until = deadline;
        let (op, id, ingress) = (t.op, t.id, t.ingress);
        let (first, account) = (op.first, op.account);
        let sent = Try {
            id,
            first,
            account,
            class: op.class,
            plan: op.plan,
            deadline,
        };
        context.record(Seen::Asked(sent, ingress));
        // The client waits as long as the judge accepts a reply.
        let give_up_at = deadline + ANSWER_SLACK + ON_SOCKETS + 1_000;
        context.at(give_up_at, Due::Client(ClientDue::Overdue { key, id }));
        let leave = self.scenario.clients.leave;
        if leave > 0.0 && hash_draw(self.scenario.seed, &[23, id]) < leave {
            let after = (t.wait as f64 * 0.5 * hash_draw(self.scenario.seed, &[24, id])) as Micros;
            context.after(after, Due::Client(ClientDue::Leave { key, id }));
        }
    }

    fn connect(
        &mut self,
        ingress: usize,
        purpose: Purpose,
        context: &mut Context,
    ) -> Option<usize> {
        let mut stream = TcpStream::connect(self.targets[ingress].at).ok()?;
        let entry = self.conns.vacant_entry();
        let interest = Interest::READABLE | Interest::WRITABLE;
        context
            .registry
            .register(&mut stream, token(Component::Client, entry.key()), interest)
            .ok()?;
        let pipe = Pipe::new(stream);
        let key = entry.key();
        entry.insert(Conn {
            pipe,
            ingress,
            purpose,
            busy: None,
            last_id: 0,
        });
        self.targets[ingress].open_connections +=
            usize::from(matches!(purpose, Purpose::Front | Purpose::Dedicated));
        Some(key)
    }

    fn close(&mut self, conn: usize) {
        let Some(c) = self.conns.try_remove(conn) else {
            return;
        };
        if let Purpose::Front | Purpose::Dedicated = c.purpose {
            self.targets[c.ingress].open_connections -= 1;
            if c.busy.is_none() && c.purpose == Purpose::Front {
                self.targets[c.ingress].idle.retain(|k| *k != conn);
            }
        }
    }

    /// Reads and writes a connection that is ready.
    pub fn handle_ready(&mut self, conn: usize, context: &mut Context) {
        context.read_clock();
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        let writes = c.pipe.flush();
        let deaf =
            matches!(c.purpose, Purpose::Hostile(g) if self.groups[g].manner == Some(Manner::Deaf));
        if deaf && writes {
            return;
        }
        let flow = c.pipe.fill(&mut self.chunk);
        self.record_sent(conn, context);
        self.handle_replies(conn, context);
        if flow != Flow::Open || !writes {
            self.connection_ended(conn, context);
        }
    }

    fn handle_replies(&mut self, conn: usize, context: &mut Context) {
        loop {
            let Some(c) = self.conns.get_mut(conn) else {
                return;
            };
            if c.pipe.inbox.is_empty() {
                return;
            }
            if let Purpose::Hostile(_) = c.purpose {
                c.pipe.inbox.clear(); // replies to hostile clients are ignored
                return;
            }
            let read = resp::reply(&c.pipe.inbox);
            let (answer, size) = match read {
                Ok(None) => return,
                Ok(Some((reply, size))) => (parse_reply(&c.pipe.inbox, &reply), size),
                Err(_) => (ParsedReply::Failed, c.pipe.inbox.len()),
            };
            let answer = match (answer, c.busy) {
                (ParsedReply::Value(at), Some(key)) => {
                    let expected = value_of(self.tries[key].id).as_bytes() == &c.pipe.inbox[at];
                    Some(if expected {
                        (Answer::Served, None)
                    } else {
                        (Answer::Foreign, None)
                    })
                }
                (ParsedReply::Value(_), None) => None,
                (ParsedReply::Busy(pause), _) => Some((Answer::Refused, pause)),
                (ParsedReply::Pong, _) if c.purpose == Purpose::Ping => {
                    let ingress = c.ingress;
                    self.close(conn);
                    return self.mark_ready(ingress, context);
                }
                (ParsedReply::Failed | ParsedReply::Pong, _) => Some((Answer::Failed, None)),
            };
            c.pipe.inbox.drain(..size);
            let Some(key) = c.busy.take() else {
                if c.purpose == Purpose::Ping {
                    // Rejected: the ingress runs and is not ready yet.
                    let ingress = c.ingress;
                    self.close(conn);
                    return self.ping_until_ready(ingress, context);
                }
                let last_id = c.last_id;
                if matches!(c.purpose, Purpose::Front | Purpose::Dedicated) && last_id != 0 {
                    context.record(Seen::Surplus(last_id));
                }
                return self.close(conn);
            };
            let t = self.tries.remove(key);
            let c = &mut self.conns[conn];
            c.last_id = t.id;
            if c.purpose == Purpose::Front {
                self.targets[t.ingress].idle.push_back(conn);
            }
            let Some((answer, pause)) = answer else {
                continue;
            };
            context.record(Seen::Answered(t.id, answer));
            let all = matches!(
                self.scenario.classes[t.op.class].effect,
                Effect::Keyed { all: true, .. }
            );
            let safe = self.scenario.classes[t.op.class].effect == Effect::Safe || all;
            if answer == Answer::Refused || (answer == Answer::Failed && safe) {
                self.schedule_retry(t.op, pause, context);
            }
        }
    }

    /// Schedules a retry, if the number of retries and the deadline allow one.
    fn schedule_retry(&mut self, mut op: Operation, pause: Option<Micros>, context: &mut Context) {
        op.tries += 1;
        if op.tries > self.scenario.clients.retries {
            return;
        }
        let seed = self.scenario.seed;
        op.draw = hash_draw(seed, &[25, op.first, u64::from(op.tries)]);
        let honours = hash_draw(seed, &[26, op.first]) < self.scenario.clients.honour;
        let pause = pause
            .filter(|_| honours)
            .unwrap_or(0)
            .max(self.scenario.clients.backoff);
        if context.now + pause < op.until {
            context.after(pause, Due::Client(ClientDue::Retry(op)));
        }
    }

    /// Ends a try that could not be sent to any ingress.
    fn try_not_sent(&mut self, key: usize, context: &mut Context) {
        let t = self.tries.remove(key);
        self.record_unreached(t.op, context);
    }

    fn record_unreached(&mut self, op: Operation, context: &mut Context) {
        self.unreachable += 1;
        if op.tries == 0 {
            let Operation {
                first,
                account,
                class,
                plan,
                until,
                ..
            } = op;
            context.record(Seen::Unreached(Try {
                id: first,
                first,
                account,
                class,
                plan,
                deadline: until,
            }));
        }
        self.schedule_retry(op, None, context);
    }

    /// Handles the end of a connection, closed by the ingress or failed.
    fn connection_ended(&mut self, conn: usize, context: &mut Context) {
        let Some(c) = self.conns.get(conn) else {
            return;
        };
        let (busy, purpose, ingress) = (c.busy, c.purpose, c.ingress);
        let between = c.pipe.inbox.is_empty();
        self.close(conn);
        match purpose {
            Purpose::Ping => return self.ping_until_ready(ingress, context),
            Purpose::Hostile(group) => {
                let due = ClientDue::Open { group, count: 1 };
                // Spread over time: reopening a whole group at once would keep the rig busy for
                // milliseconds.
                let pause = REOPEN_DELAY + REOPEN_DELAY / 4 * (conn as Micros % 8);
                return context.after(pause, Due::Client(due));
            }
            Purpose::Front | Purpose::Dedicated => {}
        }
        let Some(key) = busy else { return };
        let t = &mut self.tries[key];
        if !t.sent {
            return self.try_not_sent(key, context);
        }
        let id = t.id;
        if between && !t.crossed {
            // The try crossed with the close of an idle connection: it is sent once more on a new
            // one. If none can be opened, the try counts as never sent.
            (t.crossed, t.sent) = (true, false);
            self.crossed += 1;
            context.record(Seen::Crossed(id));
            return self.send(key, context);
        }
        context.record(Seen::Broken(id));
        let t = self.tries.remove(key);
        if self.scenario.classes[t.op.class].effect == Effect::Safe {
            self.schedule_retry(t.op, None, context);
        }
    }

    /// Marks an ingress that has replied to `PING` as ready, and fills its connection pool.
    fn mark_ready(&mut self, ingress: usize, context: &mut Context) {
        let target = &mut self.targets[ingress];
        (target.admission, target.since) = (Admission::Open, context.now);
        for _ in target.open_connections..self.scenario.clients.connections as usize {
            if let Some(conn) = self.connect(ingress, Purpose::Front, context) {
                self.targets[ingress].idle.push_back(conn);
            }
        }
    }

    /// Handles a timer event.
    pub fn handle_due(&mut self, due: ClientDue, context: &mut Context) {
        match due {
            ClientDue::Retry(op) => {
                let id = self.new_id();
                self.start_try(op, id, context);
            }
            ClientDue::Overdue { key, id } => {
                // A try that was sent again has a later deadline and another timer.
                let overdue = |t: &&PendingTry| t.id == id && t.until <= context.now;
                let Some(t) = self.tries.get(key).filter(overdue) else {
                    return;
                };
                let conn = t.conn;
                context.record(Seen::Overdue(id));
                self.close(conn);
                let t = self.tries.remove(key);
                if self.scenario.classes[t.op.class].effect == Effect::Safe {
                    self.schedule_retry(t.op, None, context);
                }
            }
            ClientDue::Leave { key, id } => {
                let Some(t) = self.tries.get(key).filter(|t| t.id == id) else {
                    return;
                };
                let conn = t.conn;
                context.record(Seen::Left(id));
                self.close(conn);
                self.tries.remove(key);
            }
            ClientDue::Ping { ingress } => match self.connect(ingress, Purpose::Ping, context) {
                Some(conn) => drop(self.conns[conn].pipe.send(b"*1\r\n$4\r\nPING\r\n")),
                None => self.ping_until_ready(ingress, context),
            },
            ClientDue::Notice { ingress, since } => {
                if self.targets[ingress].since == since {
                    self.targets[ingress].admission = Admission::Closed;
                }
            }
            ClientDue::StopNew { ingress, since } => {
                if self.targets[ingress].since == since
                    && self.targets[ingress].admission == Admission::Open
                {
                    self.targets[ingress].admission = Admission::ExistingOnly;
                }
            }
            ClientDue::Open { group, count } => self.open_group(group, count, context),
            ClientDue::GroupOver { group } => {
                self.groups[group].over = true;
                let of = |c: &Conn| c.purpose == Purpose::Hostile(group);
                let gone: Vec<usize> = self
                    .conns
                    .iter()
                    .filter(|(_, c)| of(c))
                    .map(|(key, _)| key)
                    .collect();
                gone.into_iter().for_each(|key| self.close(key));
            }
        }
    }

    fn open_group(&mut self, group: usize, count: u32, context: &mut Context) {
        let Group {
            ingress,
            manner,
            over,
            wanted,
        } = self.groups[group];
        if over {
            return;
        }
        for _ in 0..count.min(OPEN_BATCH) {
            match manner {
                None => {
                    if self.targets[ingress].open_connections < wanted as usize
                        && self.is_ready(ingress)
                    {
                        if let Some(conn) = self.connect(ingress, Purpose::Front, context) {
                            self.targets[ingress].idle.push_back(conn);
                        }
                    }
                }
                Some(manner) => {
                    if let Some(conn) = self.connect(ingress, Purpose::Hostile(group), context) {
                        let bytes = self.hostile_bytes(manner, ingress, context.now);
                        self.conns[conn].pipe.send(&bytes);
                    }
                }
            }
        }
        let (left, pause) = match manner {
            None => (wanted, REOPEN_DELAY / 20), // connections that were closed are opened again
            Some(_) if count > OPEN_BATCH => (count - OPEN_BATCH, REOPEN_DELAY / 20),
            Some(_) => return,
        };
        context.after(pause, Due::Client(ClientDue::Open { group, count: left }));
    }

    fn hostile_bytes(&mut self, manner: Manner, ingress: usize, now: Micros) -> Vec<u8> {
        match manner {
            Manner::Mute => Vec::new(),
            Manner::Half => b"*5\r\n$9\r\nCALL.POST\r\n$16\r\n00000000000000".to_vec(),
            Manner::Garbage => {
                let draw = |n: u64| (hash_draw(self.scenario.seed, &[27, now, n]) * 256.0) as u8;
                (0..512).map(draw).collect()
            }
            Manner::Deaf => b"*1\r\n$4\r\nPING\r\n".repeat(DEAF_PINGS),
            Manner::SameId => {
                // The id of a request that waits for its reply at this ingress, if there is one.
                let Some((_, t)) = self
                    .tries
                    .iter()
                    .find(|(_, t)| t.ingress == ingress && t.sent)
                else {
                    return Vec::new();
                };
                command(&self.scenario, &t.op, t.id, t.wait, &self.accounts)
            }
        }
    }

    /// Whether the front considers all ingresses ready.
    pub fn all_ready(&self) -> bool {
        self.targets.iter().all(|p| p.admission == Admission::Open)
    }
}

/// A parsed reply.
enum ParsedReply {
    Value(std::ops::Range<usize>),
    Busy(Option<Micros>),
    Pong,
    Failed,
}

fn parse_reply(buf: &[u8], reply: &Reply) -> ParsedReply {
    let first = match reply {
        Reply::Single(e) => e,
        Reply::Array(list) => match list.first() {
            Some(e) if e.kind == Kind::Bulk => e,
            _ => return ParsedReply::Failed,
        },
    };
    let text = &buf[first.text.clone()];
    match first.kind {
        Kind::Bulk => ParsedReply::Value(first.text.clone()),
        Kind::Simple if text == b"PONG" => ParsedReply::Pong,
        Kind::Error if text == b"BUSY" => ParsedReply::Busy(None),
        Kind::Error if text.starts_with(b"BUSY ") => {
            let ms = std::str::from_utf8(&text[5..])
                .ok()
                .and_then(|t| t.parse::<u64>().ok());
            ParsedReply::Busy(ms.map(|ms| (ms * 1000).min(60 * SECOND)))
        }
        _ => ParsedReply::Failed,
    }
}

/// Encodes a try as a command.
fn command(s: &Scenario, op: &Operation, id: u64, wait: Micros, accounts: &Accounts) -> Vec<u8> {
    let class = &s.classes[op.class];
    let (width, first) = accounts.ingress_set(op.account);
    let key = match class.effect {
        Effect::Keyed { .. } => format!(",k={:016x}", op.first),
        _ => String::new(),
    };
    let options = format!(
        "c={},t={},d={}{key},units={},spread={width},first={first}",
        class.name,
        s.plans[op.plan].name,
        wait / 1000,
        class.units
    );
    let verb = if class.effect == Effect::Safe {
        "CALL.GET"
    } else {
        "CALL.POST"
    };
    let (customer, id) = (
        format!("{:016x}", u64::from(op.account) + 1),
        format!("{id:016x}"),
    );
    let mut parts = vec![verb, &customer, &id, &options];
    if class.effect != Effect::Safe {
        parts.push(BODY);
    }
    let mut out = Vec::with_capacity(192);
    resp::put_array(&mut out, parts.len());
    parts
        .iter()
        .for_each(|p| resp::put_bulk(&mut out, &[p.as_bytes()]));
    out
}
