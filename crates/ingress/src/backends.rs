//! Connections to backends: a connection pool for each, attempts and health checks (probes), and how these end. A connection carries one
//! request at a time, for calling an attempt off means closing its connection.

use crate::discovery::Roster;
use crate::stream::Stream;
use mio::{Interest, Registry, Token};
use serde::{Deserialize, Serialize};
use slab::Slab;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::os::fd::OwnedFd;
use wrenfork_config::settings::note_field;
use wrenfork_decision::{BackendId, EndpointState, LoadReport, Micros, Outcome, RequestId};
use wrenfork_happy_eyeballs::{Address, AddressList, AddressOutcome, ConnectionRace, NextConnect};
use wrenfork_wire::call::Body;
use wrenfork_wire::long::{Long, Whole};
use wrenfork_wire::resp::{self, Element, Kind, Reply};

/// Bytes read at once.
const CHUNK: usize = 32 * 1024;
/// Reads from one connection in a turn: more than the longest answer needs.
const READS_A_TURN: usize = 8;

/// How long a connection rests behind an answer: noise or a second copy that comes right behind it must show
/// before the next request could be served with it.
const REST: Micros = 2_000;
/// How long the rest of an answer may take to come once it has begun.
const PATIENCE: Micros = 500_000;
/// How long one that passes on as it comes may stand still, where the client would take more: as long as a client waits for a
/// whole request of the longest deadline that the platform counts with.
const STANDSTILL: Micros = 3_000_000;

/// A reset that comes this soon after a request says that the connection was dead already.
const AT_ONCE: Micros = 10_000;
/// The share of uses that may end like that after some time of idleness, and how many say anything.
const STALE_SHARE: f64 = 0.2;
const STALE_LEAST: f64 = 3.0;
/// What is left of that record, and of [`Surplus`], from one sweep to the next: half in some ten seconds.
const KEEP: f64 = 0.97;

/// The share of a backend's answers with something behind them, and how many, from which its connections serve one
/// request each.
const SURPLUS_SHARE: f64 = 0.2;
const SURPLUS_LEAST: f64 = 3.0;
/// Connections of such a backend that are kept to see whether it goes on.
const WITNESSES: usize = 2;

/// How connections fare that are used again, by how long they were idle: on some networks one that is idle for a
/// fraction of a second is dead, and says so only under the next request, which may have run then.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Staleness {
    /// Uses, and how many were reset at once; the place is the logarithm of the idle milliseconds.
    uses: [(f64, f64); 16],
}

impl Staleness {
    fn note(&mut self, idle: Micros, dead: bool) {
        let place = (idle / 1000).max(1).ilog2() as usize;
        let (all, bad) = &mut self.uses[place.min(15)];
        (*all, *bad) = (*all + 1.0, *bad + f64::from(u8::from(dead)));
    }

    /// How long a connection may be idle and still be used.
    fn limit(&self) -> Micros {
        let stale = |u: &(f64, f64)| u.0 >= STALE_LEAST && u.1 > u.0 * STALE_SHARE;
        self.uses
            .iter()
            .position(stale)
            .map_or(Micros::MAX, |place| 1000 << place)
    }

    fn fade(&mut self) {
        self.uses
            .iter_mut()
            .for_each(|u| (u.0, u.1) = (u.0 * KEEP, u.1 * KEEP));
    }
}

/// What a backend sends that nobody asked for. A rest shows what comes right behind an answer; what comes later would
/// pass for the answer to the next request, and nothing in it tells whose it is. So a backend that does this often
/// gets a new connection for each request, for as long as it does.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Surplus {
    answers: f64,
    seen: f64,
}

impl Surplus {
    fn often(&self) -> bool {
        self.seen >= SURPLUS_LEAST && self.seen > self.answers * SURPLUS_SHARE
    }

    fn fade(&mut self) {
        (self.answers, self.seen) = (self.answers * KEEP, self.seen * KEEP);
    }
}

/// What a connection is busy with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    Attempt(RequestId, u16),
    Probe,
    /// Nothing yet: it comes up beside another connection, whose stream it gives its own if that is first to be up.
    Race(Link),
}

/// A connection, for as long as it lives: places in the slab are used again, serial numbers are not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Link {
    key: usize,
    serial: u64,
}

/// How an attempt or a health check ended.
pub struct Done {
    pub work: Work,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub began: Micros,
    pub report: Option<LoadReport>,
    /// With [`Outcome::Ok`]: the value's bytes as they came.
    pub value: Vec<u8>,
}

/// A connection; without its stream while it passes from one process to the next.
#[derive(Serialize, Deserialize)]
pub struct Conn<S = Stream> {
    #[serde(skip)]
    stream: S,
    serial: u64,
    backend: BackendId,
    place: Address,
    connected: bool,
    /// Where the backend has several addresses, until one of them is up. The next process has the first one alone.
    #[serde(skip)]
    race: Option<Box<Racing>>,
    work: Option<Work>,
    /// When its work began, or when it fell idle.
    since: Micros,
    /// How long it was idle before; none on its first use.
    idled: Option<Micros>,
    /// The latest moment at which its command may be written whole. It does not pass to the next process: what was not written
    /// by then begins anew.
    #[serde(skip)]
    begin_by: Micros,
    /// When the attempt is given up, which its command tells.
    #[serde(skip)]
    until: Micros,
    /// When its answer began to come.
    heard: Micros,
    out: Vec<u8>,
    /// A long body that is written behind that.
    body: Option<Body>,
    written: usize,
    buf: Vec<u8>,
    /// Its answer is too long to be kept whole and passes on as it comes.
    long: Option<Long>,
    /// It is not read: the client has to take first what has come.
    paused: bool,
}

/// A race of connects, kept with the connection that has the work.
struct Racing {
    race: ConnectionRace,
    /// Those that come up beside this one.
    beside: Vec<Link>,
    /// This one's own connect has failed.
    failed: bool,
}

/// What of the connections passes to the next process, with the connections' own records.
#[derive(Serialize, Deserialize)]
pub struct Saved<C> {
    conns: Vec<(usize, C)>,
    pools: Pools,
    serial: u64,
    staleness: Staleness,
}

/// Pools by backend, in an order of no meaning.
type Pools = Vec<(BackendId, Pool)>;

impl<C> Saved<C> {
    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }
}

impl Conn<()> {
    /// With its stream again.
    fn with(self, stream: Stream) -> Conn {
        let Conn {
            stream: (),
            serial,
            backend,
            place,
            connected,
            race,
            work,
            since,
            idled,
            ..
        } = self;
        let Conn {
            begin_by,
            until,
            heard,
            out,
            body,
            written,
            buf,
            long,
            paused,
            ..
        } = self;
        Conn {
            stream,
            serial,
            backend,
            place,
            connected,
            race,
            work,
            since,
            idled,
            begin_by,
            until,
            heard,
            out,
            body,
            written,
            buf,
            long,
            paused,
        }
    }
}

impl<S> Conn<S> {
    /// Whether the backend may have begun: the command's last byte is written.
    fn sent(&self) -> bool {
        self.written == self.out.len() + self.body.as_ref().map_or(0, |(_, part)| part.len())
    }

    /// What the end of the connection means for the work on it.
    fn broken(&self) -> Outcome {
        if self.sent() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }
}

#[derive(Clone, Default, Serialize, Deserialize)]
struct Pool {
    book: AddressList,
    /// The connections with no work, the newest last.
    idle: Vec<usize>,
    surplus: Surplus,
}

/// All backends, as far as sockets go.
pub struct Backends {
    conns: Slab<Conn>,
    pools: HashMap<BackendId, Pool>,
    serial: u64,
    chunk: Vec<u8>,
    /// Idle connections are closed after this, before the backend does.
    idle_for: Micros,
    /// How long a connection may take to come up.
    connect_within: Micros,
    staleness: Staleness,
    tokens: fn(usize) -> Token,
    /// What ended since it was last looked at, in order.
    pub done: Vec<Done>,
    /// Attempts whose command was written whole, since the start.
    pub relayed: u64,
    /// Answers that pass on as they come, of which some has come.
    flows: Vec<Link>,
    /// Connections to be read again before any socket shows as ready.
    again: Vec<Link>,
    /// Races in which something has happened, each by the connection that has the work.
    races: Vec<Link>,
    /// Connections that came up behind the begin of their attempts.
    opened: Vec<Link>,
}

/// The value's bytes if this is the answer to a request, else none.
fn served(buf: &[u8], list: &[Element]) -> Option<(Vec<u8>, Option<LoadReport>)> {
    let [value, _, load] = list else { return None };
    let report = (load.kind == Kind::Bulk)
        .then(|| report(&buf[load.text.clone()]))
        .flatten();
    (value.kind == Kind::Bulk).then(|| (buf[value.whole.clone()].to_vec(), report))
}

/// A load report such as `inflight=7,util=0.61`; none if nothing in it is one.
fn report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in std::str::from_utf8(text)
        .ok()?
        .split(',')
        .filter_map(|f| f.split_once('='))
    {
        let value = value
            .parse::<f64>()
            .ok()
            .filter(|v| v.is_finite() && *v >= 0.0);
        note_field(&mut report, name, value);
    }
    (report != LoadReport::default()).then_some(report)
}

/// What an answer means; none if it is no answer to this work.
fn judge(buf: &[u8], reply: &Reply, work: Work) -> Option<(Outcome, Vec<u8>, Option<LoadReport>)> {
    match (reply, work) {
        (Reply::Array(list), Work::Attempt(..)) => {
            served(buf, list).map(|(value, report)| (Outcome::Ok, value, report))
        }
        (Reply::One(e), _) if e.kind == Kind::Error => {
            let text = &buf[e.text.clone()];
            let first = text.split(|b| *b == b' ').next();
            let outcome = if first == Some(b"BUSY") {
                Outcome::Rejected
            } else {
                Outcome::Error
            };
            let last = text.rsplit(|b| *b == b' ').next();
            Some((outcome, Vec::new(), last.and_then(report)))
        }
        (Reply::One(e), Work::Probe) if e.kind == Kind::Bulk => {
            Some((Outcome::Ok, Vec::new(), report(&buf[e.text.clone()])))
        }
        _ => None,
    }
}

/// How long a connection may stand idle: where both ends close at the same moment a request may be written to a dead one.
fn idle_for(keepalive: Micros) -> Micros {
    keepalive / 5 * 4
}

impl Backends {
    /// No backend yet. `tokens` names the connections to the poll.
    pub fn new(connect_within: Micros, keepalive: Micros, tokens: fn(usize) -> Token) -> Self {
        Backends {
            conns: Slab::new(),
            pools: HashMap::new(),
            serial: 0,
            chunk: vec![0; CHUNK],
            idle_for: idle_for(keepalive),
            connect_within,
            staleness: Staleness::default(),
            tokens,
            done: Vec::new(),
            relayed: 0,
            flows: Vec::new(),
            again: Vec::new(),
            races: Vec::new(),
            opened: Vec::new(),
        }
    }

    /// A connection may take so long to come up, and backends keep an idle one for so long, from now on.
    pub fn allow(&mut self, connect_within: Micros, keepalive: Micros) {
        (self.connect_within, self.idle_for) = (connect_within, idle_for(keepalive));
    }

    /// What passes to the next process, as it stands.
    pub fn save(&self) -> Saved<&Conn> {
        Saved {
            conns: self.conns.iter().collect(),
            pools: self
                .pools
                .iter()
                .map(|(id, pool)| (*id, pool.clone()))
                .collect(),
            serial: self.serial,
            staleness: self.staleness.clone(),
        }
    }

    /// The sockets of all connections in the order in which they were saved; none is left here.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        self.conns
            .drain()
            .map(|c| c.stream.into_descriptor())
            .collect()
    }

    /// Goes on with another process's connections. The work on one whose socket did not come has ended as if it had broken.
    pub fn resume(
        &mut self,
        saved: Saved<Conn<()>>,
        sockets: &mut impl Iterator<Item = OwnedFd>,
        registry: &Registry,
    ) {
        (self.serial, self.staleness) = (saved.serial, saved.staleness);
        self.pools = saved.pools.into_iter().collect();
        let mut conns = Vec::with_capacity(saved.conns.len());
        for (key, conn) in saved.conns {
            let stream = sockets
                .next()
                .map(|s| Stream::passed_to(&conn.place, s))
                .and_then(|mut stream| {
                    let interests = Interest::READABLE | Interest::WRITABLE;
                    registry
                        .register(&mut stream, (self.tokens)(key), interests)
                        .ok()
                        .map(|()| stream)
                });
            match (stream, conn.work) {
                // Those that come up beside another are that one's, which goes on alone.
                (Some(stream), work) if !matches!(work, Some(Work::Race(_))) => {
                    conns.push((key, conn.with(stream)));
                }
                (_, work) => {
                    if let Some(work) = work.filter(|w| !matches!(w, Work::Race(_))) {
                        let outcome = if conn.sent() {
                            Outcome::Reset
                        } else {
                            Outcome::ConnectFailed
                        };
                        let (backend, began, report, value) =
                            (conn.backend, conn.since, None, Vec::new());
                        self.done.push(Done {
                            work,
                            backend,
                            outcome,
                            began,
                            report,
                            value,
                        });
                    }
                }
            }
        }
        for (key, conn) in conns.iter().filter(|(_, conn)| conn.long.is_some()) {
            let link = Link {
                key: *key,
                serial: conn.serial,
            };
            if conn.paused {
                &mut self.flows
            } else {
                &mut self.again
            }
            .push(link);
        }
        self.conns = conns.into_iter().collect();
        let conns = &self.conns;
        self.pools
            .values_mut()
            .for_each(|p| p.idle.retain(|key| conns.contains(*key)));
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// How many backends are listed.
    pub fn listed(&self) -> usize {
        self.pools.len()
    }

    /// Takes over the addresses of a list.
    pub fn update(&mut self, roster: &Roster) {
        let mut absent: Vec<BackendId> = Vec::new();
        if roster.whole {
            let listed = |id: &BackendId| roster.entries.iter().any(|e| e.listed.backend == *id);
            absent.extend(self.pools.keys().filter(|id| !listed(id)));
        }
        for e in &roster.entries {
            let id = e.listed.backend;
            if e.listed.state == EndpointState::Removed {
                absent.push(id);
                continue;
            }
            let moved = self
                .pools
                .entry(id)
                .or_default()
                .book
                .update(e.places.clone());
            // What is idle at a place that it left, or that drains, is of no more use.
            if moved || e.listed.state == EndpointState::Draining {
                self.close_idle(id);
            }
            if e.listed.state == EndpointState::Draining {
                self.call_off_unsent(id);
            }
        }
        for id in absent {
            self.call_off_unsent(id);
            self.close_idle(id);
            self.pools.remove(&id);
        }
    }

    /// Ends the attempts at a backend that are not written whole: what has not begun when a drain is told does not begin, and
    /// may go elsewhere.
    fn call_off_unsent(&mut self, backend: BackendId) {
        let unsent = |c: &Conn| {
            c.backend == backend && matches!(c.work, Some(Work::Attempt(..))) && !c.sent()
        };
        let unsent: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| unsent(c))
            .map(|(key, _)| key)
            .collect();
        unsent.into_iter().for_each(|key| self.never_sent(key));
    }

    /// Ends an attempt that is not written whole, and its connection.
    fn never_sent(&mut self, key: usize) {
        self.end(key, Outcome::NotSent, Vec::new(), None, Micros::MAX);
        self.remove(key);
    }

    /// Whether the command on a connection is written whole; none where the connection is gone.
    pub fn sent(&self, link: Link) -> Option<bool> {
        self.alive(link).map(Conn::sent)
    }

    /// Whether work for a backend would need a new connection. `now` is the true time.
    pub fn must_connect(&self, backend: BackendId, now: Micros) -> bool {
        self.pools
            .get(&backend)
            .is_some_and(|p| self.newest_rested(p, now).is_none())
    }

    fn newest_rested(&self, pool: &Pool, now: Micros) -> Option<usize> {
        if pool.surplus.often() {
            return None;
        }
        let most = self.staleness.limit();
        let idle = |key: usize| now.saturating_sub(self.conns[key].since);
        pool.idle
            .iter()
            .rposition(|key| (REST..most).contains(&idle(*key)))
    }

    /// Takes the newest idle connection to a backend that has rested and has nothing unread.
    fn rested(&mut self, backend: BackendId, now: Micros) -> Option<usize> {
        loop {
            let at = self.newest_rested(self.pools.get(&backend)?, now)?;
            let key = self.pools.get_mut(&backend)?.idle.remove(at);
            // Nobody asked for what is there, or the backend has closed. Its descriptor serves the next one.
            match self.conns[key].stream.read(&mut [0]) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let conn = &mut self.conns[key];
                    conn.idled = Some(now.saturating_sub(conn.since));
                    return Some(key);
                }
                read => {
                    drop(self.conns.remove(key));
                    if read.is_ok_and(|n| n > 0) {
                        self.pools.get_mut(&backend)?.surplus.seen += 1.0;
                    }
                }
            }
        }
    }

    /// Begins an attempt or a health check with what `fill` writes, which has to be written whole by `begin_by` and tells that it is given
    /// up at `until`. What fails at once is in `done`; else the connection is told, and whether it is still to come up.
    pub fn begin(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        work: Work,
        (now, begin_by, until): (Micros, Micros, Micros),
        fill: impl FnOnce(&mut Vec<u8>) -> Option<Body>,
    ) -> Option<(Link, bool)> {
        let Some(key) = self.connection(registry, backend, now) else {
            let (outcome, report, value) = (Outcome::ConnectFailed, None, Vec::new());
            self.done.push(Done {
                work,
                backend,
                outcome,
                began: now,
                report,
                value,
            });
            return None;
        };
        let conn = &mut self.conns[key];
        (conn.work, conn.since, conn.written) = (Some(work), now, 0);
        (conn.begin_by, conn.until) = (begin_by, until);
        conn.out.clear();
        conn.body = fill(&mut conn.out);
        let link = Link {
            key,
            serial: conn.serial,
        };
        let conn = &self.conns[key];
        if conn.race.is_none() {
            self.write(key, now);
        } else if conn.stream.up() {
            self.settled(key);
            self.write(key, now);
        }
        self.conns.get(key).map(|conn| (link, !conn.connected))
    }

    /// An idle connection to a backend, or a new one.
    fn connection(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        now: Micros,
    ) -> Option<usize> {
        if let Some(key) = self.rested(backend, now) {
            return Some(key);
        }
        let book = &self.pools.get(&backend)?.book;
        if let Some(place) = book.only().cloned() {
            return self.dial(registry, backend, place, now);
        }
        let mut race = ConnectionRace::new(book.ordered(now), self.connect_within, now);
        // One that can't even be begun, such as an address of a family that this machine has no way to, costs no time.
        while let NextConnect::Start(place) = race.next(now) {
            if let Some(key) = self.dial(registry, backend, place.clone(), now) {
                self.conns[key].race = Some(Box::new(Racing {
                    race,
                    beside: Vec::new(),
                    failed: false,
                }));
                return Some(key);
            }
            self.note(backend, &place, AddressOutcome::Unreachable, now);
            race.attempt_failed(now);
        }
        None
    }

    /// Begins a connection to an address.
    fn dial(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        place: Address,
        now: Micros,
    ) -> Option<usize> {
        let mut stream = Stream::connect(&place).ok()?;
        let entry = self.conns.vacant_entry();
        registry
            .register(
                &mut stream,
                (self.tokens)(entry.key()),
                Interest::READABLE | Interest::WRITABLE,
            )
            .ok()?;
        self.serial += 1;
        let key = entry.key();
        entry.insert(Conn {
            stream,
            serial: self.serial,
            backend,
            place,
            connected: false,
            race: None,
            work: None,
            since: now,
            idled: None,
            begin_by: 0,
            until: 0,
            heard: 0,
            out: Vec::new(),
            body: None,
            written: 0,
            buf: Vec::new(),
            long: None,
            paused: false,
        });
        Some(key)
    }

    fn note(&mut self, backend: BackendId, place: &Address, outcome: AddressOutcome, now: Micros) {
        if let Some(pool) = self.pools.get_mut(&backend) {
            pool.book.record(place, outcome, now);
        }
    }

    // ---- Races ----

    fn alive(&self, link: Link) -> Option<&Conn> {
        self.conns.get(link.key).filter(|c| c.serial == link.serial)
    }

    /// When the next address of a connection's race is due.
    pub fn race_due(&self, link: Link) -> Option<Micros> {
        self.alive(link)?.race.as_ref()?.race.next_due()
    }

    /// Whether something has happened in a race that [`Backends::race`] must be called for.
    pub fn raced(&mut self) -> Option<Link> {
        self.races.pop()
    }

    /// Goes on with a connection's race: one that is up gives it its stream, and the next address is tried when it is due.
    /// Without room for one more descriptor nothing is begun beside a connection that may still come up. Tells when to come
    /// again.
    pub fn race(
        &mut self,
        registry: &Registry,
        link: Link,
        now: Micros,
        room: bool,
    ) -> Option<Micros> {
        let conn = self.alive(link).filter(|c| !c.connected)?;
        let backend = conn.backend;
        let beside = conn.race.as_ref()?.beside.clone();
        if let Some(winner) = beside
            .iter()
            .copied()
            .find(|l| self.alive(*l).is_some_and(|c| c.connected))
        {
            self.take_stream(registry, link, winner, now);
            return None;
        }
        loop {
            let racing = self.conns[link.key].race.as_mut()?;
            if !room && !racing.failed {
                return None;
            }
            match racing.race.next(now) {
                NextConnect::Start(place) => match self.dial(registry, backend, place.clone(), now)
                {
                    Some(key) => {
                        let conn = &mut self.conns[key];
                        conn.work = Some(Work::Race(link));
                        let one = Link {
                            key,
                            serial: conn.serial,
                        };
                        self.conns[link.key].race.as_mut()?.beside.push(one);
                    }
                    None => {
                        self.note(backend, &place, AddressOutcome::Unreachable, now);
                        self.conns[link.key].race.as_mut()?.race.attempt_failed(now);
                    }
                },
                NextConnect::WaitUntil(until) => return Some(until),
                NextConnect::Exhausted => break,
            }
        }
        // Nothing more to try, and nothing under way: it can't be reached.
        let racing = self.conns[link.key].race.as_ref()?;
        let over = racing.failed && racing.beside.iter().all(|l| self.alive(*l).is_none());
        if over {
            self.end(link.key, Outcome::ConnectFailed, Vec::new(), None, now);
            self.remove(link.key);
        }
        None
    }

    /// The connection with the work has the stream of one that came up beside it; the others are closed.
    fn take_stream(&mut self, registry: &Registry, link: Link, winner: Link, now: Micros) {
        let won = self.conns.remove(winner.key);
        let token = (self.tokens)(link.key);
        let Some(conn) = self.conns.get_mut(link.key) else {
            return;
        };
        let (mut stream, interests) = (won.stream, Interest::READABLE | Interest::WRITABLE);
        if registry.reregister(&mut stream, token, interests).is_err() {
            self.end(link.key, Outcome::ConnectFailed, Vec::new(), None, now);
            return self.remove(link.key);
        }
        let backend = conn.backend;
        let overtaken = std::mem::replace(&mut conn.place, won.place);
        conn.stream = stream;
        // It began first and is not up yet: next time it comes behind the others.
        self.note(backend, &overtaken, AddressOutcome::Unreachable, now);
        self.settled(link.key);
        self.write_up(link.key, now);
    }

    /// A connection is up: its race is over.
    fn settled(&mut self, key: usize) {
        let conn = &mut self.conns[key];
        conn.connected = true;
        for beside in conn.race.take().into_iter().flat_map(|r| r.beside) {
            if self.alive(beside).is_some() {
                self.conns.remove(beside.key);
            }
        }
    }

    /// Whether a connection that broke before it was up has others that may still be: it is kept for these.
    fn still_races(&mut self, key: usize, now: Micros) -> bool {
        let conn = &mut self.conns[key];
        if conn.connected {
            return false;
        }
        let (backend, place, serial) = (conn.backend, conn.place.clone(), conn.serial);
        if let Some(racing) = &mut conn.race {
            if !std::mem::replace(&mut racing.failed, true) {
                racing.race.attempt_failed(now);
                self.races.push(Link { key, serial });
                self.note(backend, &place, AddressOutcome::Unreachable, now);
            }
            return true;
        }
        if let Some(Work::Race(of)) = conn.work {
            self.note(backend, &place, AddressOutcome::Unreachable, now);
            if let Some(racing) = self.conns.get_mut(of.key).and_then(|c| c.race.as_mut()) {
                racing.race.attempt_failed(now);
                self.races.push(of);
            }
        }
        false
    }

    /// Closes a connection, if it is still the one meant; the work on it is the caller's to account for. `overdue` is the
    /// time where that is because its answer has not come. Tells whether the command's last byte had been written.
    pub fn abandon(&mut self, link: Link, overdue: Option<Micros>) -> Option<bool> {
        let conn = self.alive(link)?;
        let sent = conn.sent();
        // It took the request, and not a word came in time: the node's other addresses come before this one from now on.
        if let Some(now) = overdue.filter(|_| sent && conn.connected && conn.buf.is_empty()) {
            let (backend, place) = (conn.backend, conn.place.clone());
            self.note(backend, &place, AddressOutcome::TimedOut, now);
        }
        self.remove(link.key);
        Some(sent)
    }

    /// Ends a connection that has not come up in time.
    pub fn connect_overdue(&mut self, link: Link, now: Micros) {
        if let Some(conn) = self.alive(link).filter(|c| !c.connected) {
            if now >= conn.begin_by {
                return self.never_sent(link.key);
            }
            let (backend, place) = (conn.backend, conn.place.clone());
            self.note(backend, &place, AddressOutcome::Unreachable, now);
            self.end(
                link.key,
                Outcome::ConnectFailed,
                Vec::new(),
                None,
                Micros::MAX,
            );
            self.remove(link.key);
        }
    }

    fn remove(&mut self, key: usize) {
        if self.conns[key].race.is_some() {
            self.settled(key);
        }
        let conn = self.conns.remove(key); // dropped, it is closed, and so out of the poll
        if let Some(pool) = self
            .pools
            .get_mut(&conn.backend)
            .filter(|_| conn.work.is_none())
        {
            pool.idle.retain(|k| *k != key);
        }
    }

    /// Notes how a connection's work ended.
    fn end(
        &mut self,
        key: usize,
        outcome: Outcome,
        value: Vec<u8>,
        report: Option<LoadReport>,
        now: Micros,
    ) {
        let conn = &mut self.conns[key];
        if let Some(work) = conn.work.filter(|w| !matches!(w, Work::Race(_))) {
            let broken = matches!(outcome, Outcome::Reset | Outcome::ConnectFailed);
            let dead = broken && conn.buf.is_empty() && now <= conn.since + AT_ONCE;
            if let Some(idle) = conn.idled.filter(|_| dead || !broken) {
                self.staleness.note(idle, dead);
            }
            let (backend, began) = (conn.backend, conn.since);
            self.done.push(Done {
                work,
                backend,
                outcome,
                began,
                report,
                value,
            });
        }
    }

    /// Ends a connection that is of no more use, and the work on it with what that means for it.
    fn breaks(&mut self, key: usize, now: Micros) {
        let outcome = self.conns[key].broken();
        self.end(key, outcome, Vec::new(), None, now);
        self.remove(key);
    }

    /// Writes to a connection that has just come up: an attempt's command tells how long is left, and that is less by now.
    fn write_up(&mut self, key: usize, now: Micros) {
        let conn = &self.conns[key];
        match conn.work {
            Some(Work::Attempt(..)) => self.opened.push(Link {
                key,
                serial: conn.serial,
            }),
            _ => self.write(key, now),
        }
    }

    /// A connection that came up behind the begin of its attempt, which is to be [written](Backends::write_anew), and when that
    /// is given up.
    pub fn opened(&mut self) -> Option<(Link, RequestId, Micros)> {
        while let Some(link) = self.opened.pop() {
            if let Some(Conn {
                work: Some(Work::Attempt(id, _)),
                until,
                ..
            }) = self.alive(link)
            {
                return Some((link, *id, *until));
            }
        }
        None
    }

    /// Writes an attempt's command as `fill` has it by now.
    pub fn write_anew(&mut self, link: Link, now: Micros, fill: impl FnOnce(&mut Vec<u8>)) {
        let conn = &mut self.conns[link.key];
        if conn.written == 0 {
            conn.out.clear();
            fill(&mut conn.out);
        }
        self.write(link.key, now);
    }

    fn write(&mut self, key: usize, now: Micros) {
        let conn = &mut self.conns[key];
        while !conn.sent() {
            if now > conn.begin_by {
                return self.never_sent(key);
            }
            // Borrowed from the record, and written to the stream beside it.
            let bytes = std::mem::take(&mut conn.out);
            let body = conn.body.take();
            let rest = match (&body, conn.written.checked_sub(bytes.len())) {
                (Some((bytes, part)), Some(of)) => &bytes[part.start + of..part.end],
                _ => &bytes[conn.written..],
            };
            let wrote = conn.stream.write(rest);
            (conn.out, conn.body) = (bytes, body);
            match wrote {
                Ok(n) => {
                    conn.written += n;
                    conn.connected = true;
                    let attempt = matches!(conn.work, Some(Work::Attempt(..)));
                    self.relayed += u64::from(attempt && conn.sent());
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                // Not up yet, or no room: the socket will show as writable.
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return
                }
                Err(_) => {
                    // It may have said why before it broke: turned away with too many connections, say.
                    let (serial, since) = (conn.serial, conn.since);
                    if self.still_races(key, since) {
                        return;
                    }
                    self.read(key, since, true);
                    if self.conns.get(key).is_some_and(|c| c.serial == serial) {
                        self.end(key, Outcome::ConnectFailed, Vec::new(), None, since);
                        self.remove(key);
                    }
                    return;
                }
            }
        }
    }

    /// Does what a connection is ready for; `closed` says that its end is near, `now` when it falls idle.
    pub fn ready(&mut self, key: usize, now: Micros, writable: bool, closed: bool) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if writable && !conn.connected && conn.stream.up() {
            if let Some(Work::Race(of)) = conn.work {
                conn.connected = true;
                return self.races.push(of);
            }
            self.settled(key);
            self.write_up(key, now);
        } else if writable && !conn.sent() {
            self.write(key, now);
        }
        // It may have come up between the look at it and the write.
        if self
            .conns
            .get(key)
            .is_some_and(|c| c.connected && c.race.is_some())
        {
            self.settled(key);
        }
        if self.conns.contains(key) {
            self.read(key, now, closed);
        }
    }

    // ---- Answers that pass on as they come ----

    /// An answer of which more has come than was passed on.
    pub fn flow(&mut self) -> Option<Link> {
        self.flows.pop()
    }

    /// What a connection is busy with, and since when, if its answer passes on as it comes.
    pub fn flowing(&self, link: Link) -> Option<(Work, Micros)> {
        let conn = self.alive(link).filter(|c| c.long.is_some())?;
        Some((conn.work?, conn.since))
    }

    /// Whether an answer stands still until its client has room.
    pub fn waits(&self, link: Link) -> bool {
        self.alive(link).is_some_and(|c| c.paused)
    }

    /// Has an answer read whole before any of it passes on, where that takes no more than `room` bytes beside others that are; false
    /// if it is to pass on now: it is whole, or it takes more.
    pub fn hold(&mut self, link: Link, room: usize, now: Micros) -> bool {
        let others = self
            .conns
            .iter()
            .filter(|(key, c)| *key != link.key && c.long.is_some());
        let held: usize = others.map(|(_, c)| c.buf.capacity()).sum();
        let Some(conn) = self
            .conns
            .get_mut(link.key)
            .filter(|c| c.serial == link.serial)
        else {
            return true;
        };
        let Some(long) = &conn.long else { return true };
        match long.whole(&conn.buf) {
            Ok(true) => return false,
            Ok(false) if held + long.left() > room => return false,
            Ok(false) => {
                conn.buf
                    .reserve_exact((long.left() + CHUNK).saturating_sub(conn.buf.len()));
                (conn.paused, conn.heard) = (false, now);
                self.again.push(link);
            }
            Err(_) => self.breaks(link.key, now),
        }
        true
    }

    /// Passes on what has come; the connection is read on from the next turn.
    pub fn pull(&mut self, link: Link, out: &mut Vec<u8>, now: Micros) {
        if self.alive(link).is_none() {
            return;
        }
        let conn = &mut self.conns[link.key];
        let Some(long) = &mut conn.long else { return };
        let fed = long.feed(&conn.buf, out);
        conn.buf.clear();
        match fed {
            Ok(None) => {
                (conn.paused, conn.heard) = (false, now);
                self.again.push(link);
            }
            Ok(Some(Whole {
                report: text,
                alone,
            })) => {
                (conn.long, conn.paused) = (None, false);
                let report = text.as_deref().and_then(report);
                self.end(link.key, Outcome::Ok, Vec::new(), report, now);
                if !self.rest(link.key, now, alone, true) {
                    self.remove(link.key);
                }
            }
            Err(_) => self.breaks(link.key, now),
        }
    }

    /// Whether there is something to read before any socket shows as ready.
    pub fn has_more(&self) -> bool {
        !self.again.is_empty()
    }

    /// Reads on where a turn's bound ended the reading.
    pub fn read_again(&mut self, now: Micros) {
        for link in std::mem::take(&mut self.again) {
            if self.alive(link).is_some() {
                self.read(link.key, now, true);
            }
        }
    }

    fn read(&mut self, key: usize, now: Micros, closed: bool) {
        for _ in 0..READS_A_TURN {
            let conn = &mut self.conns[key];
            if conn.paused {
                return;
            }
            match conn.stream.read(&mut self.chunk) {
                Ok(n) if n > 0 => {
                    if conn.buf.is_empty() {
                        conn.heard = now;
                    }
                    conn.buf.extend_from_slice(&self.chunk[..n]);
                    if conn.long.is_some() {
                        (conn.paused, conn.heard) = (true, now);
                        return self.flows.push(Link {
                            key,
                            serial: conn.serial,
                        });
                    }
                    if !self.take_answer(key, now) {
                        return self.remove(key);
                    }
                    // Less than there was room for: that was all, and more will be told.
                    if n < CHUNK && !closed {
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    return
                }
                Ok(_) | Err(_) => {
                    if self.still_races(key, now) {
                        return;
                    }
                    return self.breaks(key, now);
                }
            }
        }
        // No answer is that long, and a backend that sends without end is not waited for.
        self.breaks(key, now);
    }

    /// Looks whether the answer is whole; false if the connection is of no more use.
    fn take_answer(&mut self, key: usize, now: Micros) -> bool {
        let conn = &mut self.conns[key];
        let Some(work) = conn.work else {
            // Nobody asked for anything.
            if let Some(pool) = self.pools.get_mut(&conn.backend) {
                pool.surplus.seen += 1.0;
            }
            return false;
        };
        let (reply, end) = match resp::reply(&conn.buf) {
            Ok(None) => return true,
            Ok(Some(found)) => found,
            Err(_) if Self::begin_long(conn, work) => {
                self.flows.push(Link {
                    key,
                    serial: conn.serial,
                });
                return true;
            }
            Err(_) => {
                let outcome = conn.broken();
                self.end(key, outcome, Vec::new(), None, now);
                return false;
            }
        };
        let judged = judge(&conn.buf, &reply, work);
        // An answer to half a command can only say that it was not let in.
        let judged = judged.filter(|j| conn.sent() || j.0 == Outcome::Rejected);
        let broken = conn.broken();
        let alone = end == conn.buf.len();
        let clean = judged.is_some() && conn.sent() && alone;
        let (outcome, value, report) = judged.unwrap_or((broken, Vec::new(), None));
        self.end(key, outcome, value, report, now);
        self.rest(key, now, alone, clean)
    }

    /// Whether an answer passes on as it comes from here on: its value is too long to be kept whole.
    fn begin_long(conn: &mut Conn, work: Work) -> bool {
        let attempt = matches!(work, Work::Attempt(..)) && conn.sent();
        let Some((long, at)) = attempt.then(|| Long::begin(&conn.buf)).flatten() else {
            return false;
        };
        conn.buf.drain(..at);
        (conn.long, conn.paused) = (Some(long), true);
        true
    }

    /// A connection whose answer has come goes back to its pool, if it is of use: a sound answer, with nothing behind it.
    fn rest(&mut self, key: usize, now: Micros, alone: bool, clean: bool) -> bool {
        let conn = &mut self.conns[key];
        let pool = self
            .pools
            .get_mut(&conn.backend)
            .filter(|p| p.book.contains(&conn.place));
        let Some(pool) = pool else { return false };
        if pool.book.only().is_none() {
            pool.book
                .record(&conn.place, AddressOutcome::Responded, now);
        }
        pool.surplus.answers += 1.0;
        pool.surplus.seen += f64::from(u8::from(!alone));
        if !clean || (pool.surplus.often() && pool.idle.len() >= WITNESSES) {
            return false;
        }
        (conn.work, conn.since) = (None, now);
        conn.buf.clear();
        conn.body = None;
        conn.buf.shrink_to(CHUNK);
        conn.out.shrink_to(CHUNK);
        pool.idle.push(key);
        true
    }

    /// Closes the idle connections to a backend.
    pub fn close_idle(&mut self, backend: BackendId) {
        let idle = self
            .pools
            .get_mut(&backend)
            .map(|p| std::mem::take(&mut p.idle));
        idle.into_iter()
            .flatten()
            .for_each(|key| drop(self.conns.remove(key)));
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&mut self, now: Micros) {
        self.staleness.fade();
        self.pools.values_mut().for_each(|p| p.surplus.fade());
        let most = self.idle_for.min(self.staleness.limit());
        let old = |c: &Conn| c.work.is_none() && now.saturating_sub(c.since) > most;
        let old: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| old(c))
            .map(|(key, _)| key)
            .collect();
        old.into_iter().for_each(|key| self.remove(key));
        // An answer that began and goes no further will not be whole: a line or a length without an end.
        let stuck = |c: &Conn| match c.long {
            Some(_) => !c.paused && now > c.heard + STANDSTILL,
            None => !c.buf.is_empty() && now > c.heard + PATIENCE,
        };
        let stuck: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| stuck(c))
            .map(|(key, _)| key)
            .collect();
        stuck.into_iter().for_each(|key| self.breaks(key, now));
    }

    /// Whether any connection is idle.
    pub fn any_idle(&self) -> bool {
        self.pools.values().any(|p| !p.idle.is_empty())
    }

    /// Evicts the connection that has been idle for longest, to make room; false if none is idle.
    pub fn evict_oldest(&mut self) -> bool {
        let idle = self.conns.iter().filter(|(_, c)| c.work.is_none());
        let oldest = idle
            .min_by_key(|(_, c)| (c.since, c.serial))
            .map(|(key, _)| key);
        oldest.into_iter().for_each(|key| self.remove(key));
        oldest.is_some()
    }
}

#[cfg(test)]
pub(crate) mod tests;
