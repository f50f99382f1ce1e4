//! The clients' side: a front that deals requests out to ingresses, connections that are kept and opened, tries and
//! further tries, clients that leave, and hostile ones.

use super::backends::value_of;
use super::context::{token, Context, Due, Part};
use super::pipe::{Flow, Pipe};
use crate::arrivals::{lot, Accounts, Arrival};
use crate::judge::{Answer, Seen, Try, ANSWER_SLACK, ON_SOCKETS};
use crate::scenario::{Effect, Manner, Micros, Scenario, SECOND};
use mio::net::TcpStream;
use mio::Interest;
use slab::Slab;
use std::collections::VecDeque;
use std::net::SocketAddr;
use wrenfork_wire::resp::{self, Kind, Reply};

/// The pause between two looks whether an ingress answers `PING`.
const PING_AGAIN: Micros = 20_000;
/// New connections go on coming for so long to an ingress that was told to stop.
const STILL_NEW: Micros = 300_000;
/// The pause before a connection of a crowd or of a hostile client is opened again.
const OPEN_AGAIN: Micros = 200_000;
/// Connections of a crowd that are opened at once.
const AT_ONCE: u32 = 16;
/// The body of a request that is not safe.
const BODY: &str = "amount=2500000&years=30&rate=3.10";
/// Bytes that a deaf client asks for in one go.
const DEAF: usize = 4_000;

/// What falls due for clients.
pub enum ClientDue {
    /// A further try of a request.
    Again(Op),
    /// A try's time is over.
    Overdue { key: usize, id: u64 },
    /// A client leaves.
    Leave { key: usize, id: u64 },
    /// An ingress is asked whether it is ready.
    Ping { ingress: usize },
    /// The front has noticed that an ingress is down.
    Notice { ingress: usize, since: Micros },
    /// The front opens no new connections to an ingress.
    NoNew { ingress: usize, since: Micros },
    /// A crowd's or a hostile client's connections are opened.
    Open { group: usize, count: u32 },
    /// A group's time is over.
    GroupOver { group: usize },
}

/// A request over all its tries.
#[derive(Clone, Copy, Debug)]
pub struct Op {
    first: u64,
    account: u32,
    class: usize,
    plan: usize,
    /// When its client gives it up for good.
    until: Micros,
    tries: u32,
    /// Which of the set it goes to, drawn once for each try.
    draw: f64,
}

struct Tried {
    op: Op,
    id: u64,
    conn: usize,
    ingress: usize,
    wait: Micros,
    asked: bool,
    /// Sent again on a new connection, since the one before ended between two requests.
    crossed: bool,
    /// Its client opens a connection of its own, and stays.
    stays: bool,
    /// Until when it is waited for, once it is asked.
    until: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Use {
    Front,
    /// Asks whether an ingress is ready.
    Ping,
    /// Of a client that asks once and stays connected.
    Stay,
    /// Belongs to a group of hostile clients.
    Hostile(usize),
}

struct Conn {
    pipe: Pipe,
    ingress: usize,
    usage: Use,
    /// The try that waits for its answer, and the id of the last that had one.
    busy: Option<usize>,
    last: u64,
}

/// Where the front stands with an ingress.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Door {
    Shut,
    Open,
    /// Only over connections that are there.
    NoNew,
}

struct Place {
    at: SocketAddr,
    door: Door,
    since: Micros,
    idle: VecDeque<usize>,
    /// Connections that the front holds, and those that it keeps at the least.
    held: usize,
}

/// A crowd, or hostile clients of one manner, at one ingress.
struct Group {
    ingress: usize,
    manner: Option<Manner>,
    over: bool,
    wanted: u32,
}

/// All clients.
pub struct Clients {
    scenario: Scenario,
    accounts: Accounts,
    conns: Slab<Conn>,
    tries: Slab<Tried>,
    places: Vec<Place>,
    groups: Vec<Group>,
    next: u64,
    chunk: Vec<u8>,
    start: Micros,
    /// Tries that reached no ingress, or crossed the end of a connection.
    pub unreachable: u64,
    /// See `unreachable`.
    pub crossed: u64,
}

impl Clients {
    /// For ingresses at such addresses; none is known to be up.
    pub fn new(s: &Scenario, at: &[SocketAddr]) -> Self {
        let place = |at: &SocketAddr| Place {
            at: *at,
            door: Door::Shut,
            since: 0,
            idle: VecDeque::new(),
            held: 0,
        };
        Clients {
            scenario: s.clone(),
            accounts: Accounts::new(s),
            conns: Slab::new(),
            tries: Slab::new(),
            places: at.iter().map(place).collect(),
            groups: Vec::new(),
            next: 0,
            chunk: vec![0; 64 * 1024],
            start: 0,
            unreachable: 0,
            crossed: 0,
        }
    }

    /// Arrivals count from now on.
    pub fn begin(&mut self, now: Micros) {
        self.start = now;
    }

    /// Whether the front takes an ingress for ready.
    pub fn up(&self, ingress: usize) -> bool {
        self.places[ingress].door == Door::Open
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Requests that wait for their answer.
    pub fn waiting(&self) -> usize {
        self.tries.len()
    }

    /// An ingress has been started: it is asked until it is ready.
    pub fn watch_for(&mut self, ingress: usize, context: &mut Context) {
        context.after(PING_AGAIN, Due::Client(ClientDue::Ping { ingress }));
    }

    /// An ingress has died: the front notices later.
    pub fn died(&mut self, ingress: usize, context: &mut Context) {
        let since = context.now;
        self.places[ingress].since = since;
        let notice = self.scenario.clients.notice;
        context.after(notice, Due::Client(ClientDue::Notice { ingress, since }));
    }

    /// An ingress was told to stop: new connections go on coming for a moment.
    pub fn leaving(&mut self, ingress: usize, context: &mut Context) {
        let since = context.now;
        self.places[ingress].since = since;
        context.after(STILL_NEW, Due::Client(ClientDue::NoNew { ingress, since }));
    }

    /// Clients open more connections to an ingress, and use them.
    pub fn crowd(&mut self, ingress: usize, count: u32, lasts: Micros, context: &mut Context) {
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

    /// Hostile clients come.
    pub fn hostile(
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

    /// A first try.
    pub fn arrive(&mut self, a: Arrival, context: &mut Context) {
        let first = self.new_id();
        let class = &self.scenario.classes[a.class];
        let op = Op {
            first,
            account: a.account,
            class: a.class,
            plan: self.accounts.plan(a.account),
            until: context.now + class.deadline,
            tries: 0,
            draw: lot(self.scenario.seed, &[21, first]),
        };
        self.try_it(op, first, context);
    }

    fn new_id(&mut self) -> u64 {
        self.next += 1;
        // Spread over all digits, so that nothing can be read off them; one to one.
        self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }

    fn try_it(&mut self, op: Op, id: u64, context: &mut Context) {
        let class = &self.scenario.classes[op.class];
        let (low, high) = self.scenario.clients.try_share;
        let share = low + (high - low) * lot(self.scenario.seed, &[22, op.first]);
        let left = op.until.saturating_sub(context.now);
        let wait = ((class.deadline as f64 * share) as Micros).min(left) / 1000 * 1000;
        if wait < 1000 {
            return;
        }
        let way = self
            .accounts
            .way(op.account, context.now.saturating_sub(self.start), op.draw);
        let open = |i: &&usize| self.places[**i].door == Door::Open;
        let kept =
            |i: &&usize| self.places[**i].door == Door::NoNew && !self.places[**i].idle.is_empty();
        let found = way.iter().find(|i| open(i) || kept(i)).copied();
        let Some(ingress) = found else {
            return self.unreached(op, context);
        };
        let stays = lot(self.scenario.seed, &[28, id]) < self.scenario.clients.stay;
        let (conn, until) = (usize::MAX, Micros::MAX);
        let tried = Tried {
            op,
            id,
            conn,
            ingress,
            wait,
            asked: false,
            crossed: false,
            stays,
            until,
        };
        let key = self.tries.insert(tried);
        self.send(key, context);
    }

    /// Sends a try over an idle connection, or a new one.
    fn send(&mut self, key: usize, context: &mut Context) {
        let t = &self.tries[key];
        let (ingress, fresh, stays) = (t.ingress, t.crossed || t.stays, t.stays);
        let place = &mut self.places[ingress];
        // A crowd's connections take turns; else the newest is used again.
        let found = match place.idle.len() {
            _ if fresh => None,
            n if n > 256 => place.idle.pop_front(),
            _ => place.idle.pop_back(),
        };
        let room = place.held < self.scenario.clients.most_connections;
        let usage = if stays { Use::Stay } else { Use::Front };
        let connect =
            |clients: &mut Self, context: &mut Context| clients.connect(ingress, usage, context);
        let conn = found.or_else(|| if room { connect(self, context) } else { None });
        let Some(conn) = conn else {
            return self.not_taken(key, context);
        };
        let t = &mut self.tries[key];
        t.conn = conn;
        let command = command(&self.scenario, &t.op, t.id, t.wait, &self.accounts);
        self.conns[conn].busy = Some(key);
        if !self.conns[conn].pipe.say(&command) {
            return self.ended(conn, context);
        }
        self.note_asked(conn, context);
    }

    /// Notes that a try is written whole, once.
    fn note_asked(&mut self, conn: usize, context: &mut Context) {
        let c = &self.conns[conn];
        let Some(key) = c.busy.filter(|_| c.pipe.all_written()) else {
            return;
        };
        let t = &mut self.tries[key];
        if std::mem::replace(&mut t.asked, true) {
            return;
        }
        context.read_clock();
        let deadline = context.now + t.wait;
        t.until = deadline;
        let (op, id, ingress) = (t.op, t.id, t.ingress);
        let (first, account) = (op.first, op.account);
        let asked = Try {
            id,
            first,
            account,
            class: op.class,
            plan: op.plan,
            deadline,
        };
        context.see(Seen::Asked(asked, ingress));
        // It is waited for as long as an answer counts.
        let most = deadline + ANSWER_SLACK + ON_SOCKETS + 1_000;
        context.at(most, Due::Client(ClientDue::Overdue { key, id }));
        let leave = self.scenario.clients.leave;
        if leave > 0.0 && lot(self.scenario.seed, &[23, id]) < leave {
            let after = (t.wait as f64 * 0.5 * lot(self.scenario.seed, &[24, id])) as Micros;
            context.after(after, Due::Client(ClientDue::Leave { key, id }));
        }
    }

    fn connect(&mut self, ingress: usize, usage: Use, context: &mut Context) -> Option<usize> {
        let mut stream = TcpStream::connect(self.places[ingress].at).ok()?;
        let place = self.conns.vacant_entry();
        let interest = Interest::READABLE | Interest::WRITABLE;
        context
            .registry
            .register(&mut stream, token(Part::Client, place.key()), interest)
            .ok()?;
        let pipe = Pipe::new(stream);
        let key = place.key();
        place.insert(Conn {
            pipe,
            ingress,
            usage,
            busy: None,
            last: 0,
        });
        self.places[ingress].held += usize::from(matches!(usage, Use::Front | Use::Stay));
        Some(key)
    }

    fn close(&mut self, conn: usize) {
        let Some(c) = self.conns.try_remove(conn) else {
            return;
        };
        if let Use::Front | Use::Stay = c.usage {
            self.places[c.ingress].held -= 1;
            if c.busy.is_none() && c.usage == Use::Front {
                self.places[c.ingress].idle.retain(|k| *k != conn);
            }
        }
    }

    /// Does what a connection is ready for.
    pub fn ready(&mut self, conn: usize, context: &mut Context) {
        context.read_clock();
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        let writes = c.pipe.flush();
        let deaf =
            matches!(c.usage, Use::Hostile(g) if self.groups[g].manner == Some(Manner::Deaf));
        if deaf && writes {
            return;
        }
        let flow = c.pipe.fill(&mut self.chunk);
        self.note_asked(conn, context);
        self.take_answers(conn, context);
        if flow != Flow::Open || !writes {
            self.ended(conn, context);
        }
    }

    fn take_answers(&mut self, conn: usize, context: &mut Context) {
        loop {
            let Some(c) = self.conns.get_mut(conn) else {
                return;
            };
            if c.pipe.inbox.is_empty() {
                return;
            }
            if let Use::Hostile(_) = c.usage {
                c.pipe.inbox.clear(); // what they are told is of no interest
                return;
            }
            let read = resp::reply(&c.pipe.inbox);
            let (answer, size) = match read {
                Ok(None) => return,
                Ok(Some((reply, size))) => (judge_reply(&c.pipe.inbox, &reply), size),
                Err(_) => (Reading::Failed, c.pipe.inbox.len()),
            };
            let answer = match (answer, c.busy) {
                (Reading::Value(at), Some(key)) => {
                    let good = value_of(self.tries[key].id).as_bytes() == &c.pipe.inbox[at];
                    Some(if good {
                        (Answer::Served, None)
                    } else {
                        (Answer::Foreign, None)
                    })
                }
                (Reading::Value(_), None) => None,
                (Reading::Busy(pause), _) => Some((Answer::Refused, pause)),
                (Reading::Pong, _) if c.usage == Use::Ping => {
                    let ingress = c.ingress;
                    self.close(conn);
                    return self.let_in(ingress, context);
                }
                (Reading::Failed | Reading::Pong, _) => Some((Answer::Failed, None)),
            };
            c.pipe.inbox.drain(..size);
            let Some(key) = c.busy.take() else {
                if c.usage == Use::Ping {
                    // Turned away: it is there, and lets nobody in yet.
                    let ingress = c.ingress;
                    self.close(conn);
                    return self.watch_for(ingress, context);
                }
                let last = c.last;
                if matches!(c.usage, Use::Front | Use::Stay) && last != 0 {
                    context.see(Seen::Surplus(last));
                }
                return self.close(conn);
            };
            let t = self.tries.remove(key);
            let c = &mut self.conns[conn];
            c.last = t.id;
            if c.usage == Use::Front {
                self.places[t.ingress].idle.push_back(conn);
            }
            let Some((answer, pause)) = answer else {
                continue;
            };
            context.see(Seen::Answered(t.id, answer));
            let all = matches!(
                self.scenario.classes[t.op.class].effect,
                Effect::Keyed { all: true, .. }
            );
            let safe = self.scenario.classes[t.op.class].effect == Effect::Safe || all;
            if answer == Answer::Refused || (answer == Answer::Failed && safe) {
                self.again(t.op, pause, context);
            }
        }
    }

    /// A further try, where there is one to be had.
    fn again(&mut self, mut op: Op, pause: Option<Micros>, context: &mut Context) {
        op.tries += 1;
        if op.tries > self.scenario.clients.retries {
            return;
        }
        let seed = self.scenario.seed;
        op.draw = lot(seed, &[25, op.first, u64::from(op.tries)]);
        let honours = lot(seed, &[26, op.first]) < self.scenario.clients.honour;
        let pause = pause
            .filter(|_| honours)
            .unwrap_or(0)
            .max(self.scenario.clients.backoff);
        if context.now + pause < op.until {
            context.after(pause, Due::Client(ClientDue::Again(op)));
        }
    }

    /// A try that no ingress has taken.
    fn not_taken(&mut self, key: usize, context: &mut Context) {
        let t = self.tries.remove(key);
        self.unreached(t.op, context);
    }

    fn unreached(&mut self, op: Op, context: &mut Context) {
        self.unreachable += 1;
        if op.tries == 0 {
            let Op {
                first,
                account,
                class,
                plan,
                until,
                ..
            } = op;
            context.see(Seen::Unreached(Try {
                id: first,
                first,
                account,
                class,
                plan,
                deadline: until,
            }));
        }
        self.again(op, None, context);
    }

    /// A connection has ended, by the ingress or by itself.
    fn ended(&mut self, conn: usize, context: &mut Context) {
        let Some(c) = self.conns.get(conn) else {
            return;
        };
        let (busy, usage, ingress) = (c.busy, c.usage, c.ingress);
        let between = c.pipe.inbox.is_empty();
        self.close(conn);
        match usage {
            Use::Ping => return self.watch_for(ingress, context),
            Use::Hostile(group) => {
                let due = ClientDue::Open { group, count: 1 };
                // Not all of a group at one moment: the rig would be busy with them for milliseconds.
                let pause = OPEN_AGAIN + OPEN_AGAIN / 4 * (conn as Micros % 8);
                return context.after(pause, Due::Client(due));
            }
            Use::Front | Use::Stay => {}
        }
        let Some(key) = busy else { return };
        let t = &mut self.tries[key];
        if !t.asked {
            return self.not_taken(key, context);
        }
        let id = t.id;
        if between && !t.crossed {
            // It crossed the end of a connection between two requests: asked once more on a new one, and where that
            // can't be had it was never taken.
            (t.crossed, t.asked) = (true, false);
            self.crossed += 1;
            context.see(Seen::Crossed(id));
            return self.send(key, context);
        }
        context.see(Seen::Broken(id));
        let t = self.tries.remove(key);
        if self.scenario.classes[t.op.class].effect == Effect::Safe {
            self.again(t.op, None, context);
        }
    }

    /// An ingress has answered `PING`.
    fn let_in(&mut self, ingress: usize, context: &mut Context) {
        let place = &mut self.places[ingress];
        (place.door, place.since) = (Door::Open, context.now);
        for _ in place.held..self.scenario.clients.connections as usize {
            if let Some(conn) = self.connect(ingress, Use::Front, context) {
                self.places[ingress].idle.push_back(conn);
            }
        }
    }

    /// Carries out what is due.
    pub fn due(&mut self, due: ClientDue, context: &mut Context) {
        match due {
            ClientDue::Again(op) => {
                let id = self.new_id();
                self.try_it(op, id, context);
            }
            ClientDue::Overdue { key, id } => {
                // One that was asked again has its time anew.
                let overdue = |t: &&Tried| t.id == id && t.until <= context.now;
                let Some(t) = self.tries.get(key).filter(overdue) else {
                    return;
                };
                let conn = t.conn;
                context.see(Seen::Overdue(id));
                self.close(conn);
                let t = self.tries.remove(key);
                if self.scenario.classes[t.op.class].effect == Effect::Safe {
                    self.again(t.op, None, context);
                }
            }
            ClientDue::Leave { key, id } => {
                let Some(t) = self.tries.get(key).filter(|t| t.id == id) else {
                    return;
                };
                let conn = t.conn;
                context.see(Seen::Left(id));
                self.close(conn);
                self.tries.remove(key);
            }
            ClientDue::Ping { ingress } => match self.connect(ingress, Use::Ping, context) {
                Some(conn) => drop(self.conns[conn].pipe.say(b"*1\r\n$4\r\nPING\r\n")),
                None => self.watch_for(ingress, context),
            },
            ClientDue::Notice { ingress, since } => {
                if self.places[ingress].since == since {
                    self.places[ingress].door = Door::Shut;
                }
            }
            ClientDue::NoNew { ingress, since } => {
                if self.places[ingress].since == since && self.places[ingress].door == Door::Open {
                    self.places[ingress].door = Door::NoNew;
                }
            }
            ClientDue::Open { group, count } => self.open_group(group, count, context),
            ClientDue::GroupOver { group } => {
                self.groups[group].over = true;
                let of = |c: &Conn| c.usage == Use::Hostile(group);
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
        for _ in 0..count.min(AT_ONCE) {
            match manner {
                None => {
                    if self.places[ingress].held < wanted as usize && self.up(ingress) {
                        if let Some(conn) = self.connect(ingress, Use::Front, context) {
                            self.places[ingress].idle.push_back(conn);
                        }
                    }
                }
                Some(manner) => {
                    if let Some(conn) = self.connect(ingress, Use::Hostile(group), context) {
                        let words = self.hostile_words(manner, ingress, context.now);
                        self.conns[conn].pipe.say(&words);
                    }
                }
            }
        }
        let (left, pause) = match manner {
            None => (wanted, OPEN_AGAIN / 20), // those that were closed are opened again
            Some(_) if count > AT_ONCE => (count - AT_ONCE, OPEN_AGAIN / 20),
            Some(_) => return,
        };
        context.after(pause, Due::Client(ClientDue::Open { group, count: left }));
    }

    fn hostile_words(&mut self, manner: Manner, ingress: usize, now: Micros) -> Vec<u8> {
        match manner {
            Manner::Mute => Vec::new(),
            Manner::Half => b"*5\r\n$9\r\nCALL.POST\r\n$16\r\n00000000000000".to_vec(),
            Manner::Garbage => {
                let draw = |n: u64| (lot(self.scenario.seed, &[27, now, n]) * 256.0) as u8;
                (0..512).map(draw).collect()
            }
            Manner::Deaf => b"*1\r\n$4\r\nPING\r\n".repeat(DEAF),
            Manner::SameId => {
                // The id of a request that waits for its answer there at this moment, if there is one.
                let Some((_, t)) = self
                    .tries
                    .iter()
                    .find(|(_, t)| t.ingress == ingress && t.asked)
                else {
                    return Vec::new();
                };
                command(&self.scenario, &t.op, t.id, t.wait, &self.accounts)
            }
        }
    }

    /// Looks whether all ingresses are up.
    pub fn all_up(&self) -> bool {
        self.places.iter().all(|p| p.door == Door::Open)
    }
}

/// What an answer says.
enum Reading {
    Value(std::ops::Range<usize>),
    Busy(Option<Micros>),
    Pong,
    Failed,
}

fn judge_reply(buf: &[u8], reply: &Reply) -> Reading {
    let first = match reply {
        Reply::Single(e) => e,
        Reply::Array(list) => match list.first() {
            Some(e) if e.kind == Kind::Bulk => e,
            _ => return Reading::Failed,
        },
    };
    let text = &buf[first.text.clone()];
    match first.kind {
        Kind::Bulk => Reading::Value(first.text.clone()),
        Kind::Simple if text == b"PONG" => Reading::Pong,
        Kind::Error if text == b"BUSY" => Reading::Busy(None),
        Kind::Error if text.starts_with(b"BUSY ") => {
            let ms = std::str::from_utf8(&text[5..])
                .ok()
                .and_then(|t| t.parse::<u64>().ok());
            Reading::Busy(ms.map(|ms| (ms * 1000).min(60 * SECOND)))
        }
        _ => Reading::Failed,
    }
}

/// A try as a command.
fn command(s: &Scenario, op: &Op, id: u64, wait: Micros, accounts: &Accounts) -> Vec<u8> {
    let class = &s.classes[op.class];
    let (width, first) = accounts.set(op.account);
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
