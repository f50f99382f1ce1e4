//! The clients' side: the listener, the connections, and the answers in the order of their requests.

use crate::config::Callers;
use crate::door::{Door, Proof};
use crate::eviction::{Kind, Lines, Standing};
use crate::gate::Gate;
use crate::ledger::End;
use crate::stream::{Listener, Stream};
use mio::{Interest, Registry, Token};
use serde::{Deserialize, Serialize};
use slab::Slab;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use std::ops::Range;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use wrenfork_decision::{Micros, RequestId};
use wrenfork_wire::call::{Call, Vocabulary};
use wrenfork_wire::resp;

/// Bytes read at once, and reads from one connection in a turn: a fast client must not hold up the others.
const CHUNK: usize = 16 * 1024;
const READS_A_TURN: usize = 4;
/// What an idle connection may keep of its buffer for answers.
const SMALL: usize = 2 * 1024;
/// Connections accepted in a turn.
const ACCEPTS_A_TURN: usize = 64;
/// Requests of one connection that may wait for their answer, and bytes of answers that may wait for the
/// client to read them: beyond either, no more is read from it. Clients that ask and never read, as many as there
/// are descriptors, must fit in the memory.
const MOST_WAITING: usize = 256;
const MOST_UNREAD: usize = 64 * 1024;
/// Bytes of an answer that passes on as it comes which may wait for the client to read them: beyond that, no more is read
/// from the backend. As many as there are descriptors must fit in the memory.
const MOST_PASSING: usize = 32 * 1024;
/// Bad commands in a row after which a connection is closed: each costs an answer, and some clients never tire.
const MOST_ERRORS: u32 = 8;
/// How long before the latest connection one must have come to be closed for never having said anything.
const FRESH: Micros = 10_000;
/// How long a new connection may say nothing, and how long the rest of a command may take to come: a client may take 2 s for
/// a head, and a bad one has to be told within 3 s; it is looked at twice a second.
const PATIENCE: Micros = 2_300_000;
/// How long a long body may take to come from its grant on: others wait for the memory.
const BODY_TIME: Micros = 15_000_000;
/// How long answers may lie unread until their client is taken for gone.
const UNREAD: Micros = 15_000_000;
/// How long a connection that was told why it is closed may take to read that, and how long while it still sends:
/// closed with something unread, it would be reset, and what it was told be lost.
const LINGER: Micros = 1_000_000;
const LONGEST_LINGER: Micros = 5_000_000;

/// Where an answer belongs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Origin {
    key: usize,
    serial: u64,
    slot: u64,
}

/// What a connection brought.
pub enum Incoming {
    /// A request, under the name that it has here.
    Call(RequestId, Origin, Call),
    /// The client of a request that is not answered has gone.
    Gone(RequestId),
    /// A request of the class at this place was answered here, before it had a name.
    Ended(u8, End),
}

/// An answer, or the place for one that is still to come.
#[derive(Serialize, Deserialize)]
enum Slot {
    Waiting(RequestId),
    /// Its answer passes on as it comes; behind others in the line it is left where it is until they are written.
    Passing(RequestId),
    Ready(Vec<u8>),
}

/// A connection; without its stream while it passes from one process to the next.
#[derive(Serialize, Deserialize)]
pub struct Client<S = Stream> {
    #[serde(skip)]
    stream: S,
    serial: u64,
    buf: Vec<u8>,
    /// Answers in the order of the requests, and the number of the first of them.
    slots: VecDeque<Slot>,
    first: u64,
    /// Bytes of answers that wait for those before them.
    ready: usize,
    out: Vec<u8>,
    written: usize,
    /// What it was last found to hold in memory.
    counted: usize,
    since: Micros,
    /// When what `buf` holds of a command began to come; with none, when it was accepted.
    begun: Micros,
    /// What it has proved of who it is; where callers are asked, no connection passes to another process.
    #[serde(skip)]
    proof: Option<Proof>,
    /// Bad commands since the last good one.
    errors: u32,
    /// What it still says is not read: it is closed once all before that is answered.
    closing: bool,
    /// Its answers are written and its sending has ended; until then it may read them.
    linger_until: Option<Micros>,
    /// Taken in beyond the budget of descriptors: told so with its first request, and closed.
    surplus: bool,
    half_closed: bool,
    /// It is not read any more: a request that crosses the half-close is one that was never read, and its client sends it again.
    #[serde(skip)]
    unread: bool,
    /// Reading stopped since its line of answers is full.
    stalled: bool,
    /// In the list of those to be written to, and of those to be read again.
    dirty: bool,
    listed: bool,
    /// The bytes of memory that a long body has been granted, until it is whole, and since when; it is read only with that.
    granted: usize,
    granted_at: Micros,
    /// It waits for such a grant.
    waits: bool,
    /// Where it stands among those that may make room.
    #[serde(skip)]
    standing: Option<Standing>,
}

/// What of the connections passes to the next process, with the connections' own records.
#[derive(Serialize, Deserialize)]
pub struct Saved<C> {
    conns: Vec<(usize, C)>,
    serial: u64,
    next_id: u64,
    dirty: Vec<usize>,
    again: Vec<usize>,
    lingering: usize,
    surplus: usize,
    accepted_at: Micros,
    held: usize,
}

impl<C> Saved<C> {
    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }
}

impl Client<()> {
    /// With its stream again.
    fn with(self, stream: Stream) -> Client {
        let Client {
            stream: (),
            serial,
            buf,
            slots,
            first,
            ready,
            out,
            written,
            counted,
            since,
            ..
        } = self;
        let Client {
            begun,
            proof,
            errors,
            closing,
            linger_until,
            surplus,
            half_closed,
            ..
        } = self;
        let Client {
            unread,
            stalled,
            dirty,
            listed,
            granted,
            granted_at,
            waits,
            ..
        } = self;
        Client {
            stream,
            serial,
            buf,
            slots,
            first,
            ready,
            out,
            written,
            counted,
            since,
            begun,
            proof,
            errors,
            closing,
            linger_until,
            surplus,
            half_closed,
            unread,
            stalled,
            dirty,
            listed,
            granted,
            granted_at,
            waits,
            standing: None,
        }
    }
}

impl Client {
    /// Between two requests, with nothing under way in either direction.
    fn idle(&self) -> bool {
        self.slots.is_empty()
            && self.out.is_empty()
            && self.buf.is_empty()
            && !self.closing
            && !self.surplus
    }

    /// Where it stands, and since when; none where something is under way, or its end is.
    fn stands(&self) -> Option<Standing> {
        if self.unread {
            return Some((Kind::HalfClosed, self.since));
        }
        let nothing_owed =
            self.slots.is_empty() && self.out.is_empty() && !self.closing && !self.surplus;
        let standing = match (self.buf.is_empty(), self.spoke()) {
            (false, _) => (Kind::Half, self.begun),
            (true, false) => (Kind::Silent, self.begun),
            (true, true) => (Kind::Idle, self.since),
        };
        nothing_owed.then_some(standing)
    }

    /// Whether it is not to be read on. Not behind an answer that passes on as it comes either: if that breaks the connection ends,
    /// and whatever came of a request behind it would be lost.
    fn full(&self) -> bool {
        let passing = matches!(self.slots.front(), Some(Slot::Passing(_)));
        passing
            || self.slots.len() >= MOST_WAITING
            || self.ready + self.out.len() - self.written >= MOST_UNREAD
    }

    /// Brings up to date what it holds, in the sum as well.
    fn recount(&mut self, held: &mut usize) {
        let now = self.memory();
        *held = *held - self.counted + now;
        self.counted = now;
    }

    fn memory(&self) -> usize {
        // What was granted counts with the open requests, which it will be one of.
        self.buf.capacity().saturating_sub(self.granted) + self.ready + self.out.capacity()
    }

    /// Whether a whole command has ever come.
    fn spoke(&self) -> bool {
        self.first > 0 || !self.slots.is_empty()
    }

    /// Notes a bad command; the last one that is borne ends the connection behind its answer.
    fn strike(&mut self) {
        self.errors += 1;
        self.closing |= self.errors >= MOST_ERRORS;
    }

    /// Puts down an answer that is known at once.
    fn answer_now(&mut self, text: &[u8]) {
        if self.slots.is_empty() {
            self.out.extend_from_slice(text);
            self.first += 1;
        } else {
            self.ready += text.len();
            self.slots.push_back(Slot::Ready(text.to_vec()));
        }
    }
}

fn standing(conns: &Slab<Client>, key: usize, serial: u64) -> Option<Standing> {
    conns.get(key).filter(|c| c.serial == serial)?.standing
}

/// Whether there is a descriptor for one more connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    Free,
    /// Only to say that there is none.
    Surplus,
}

/// What accepting came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepted {
    /// All that waited is in.
    All,
    /// There may be more.
    More,
    /// There is no descriptor to accept with.
    NoRoom,
}

/// All client connections.
pub struct Clients {
    listener: Option<Listener>,
    conns: Slab<Client>,
    /// Those that may make room for others.
    lines: Lines,
    serial: u64,
    next_id: u64,
    tokens: fn(usize) -> Token,
    /// What requests are read by; another one with another generation.
    pub words: Vocabulary,
    /// What stands before requests.
    pub gate: Gate,
    /// Who may come in; none where nobody is asked.
    door: Option<Door>,
    chunk: Vec<u8>,
    args: Vec<Range<usize>>,
    /// Connections with something to write, and those to be read again.
    dirty: Vec<usize>,
    again: Vec<usize>,
    /// Connections are closed as soon as they are between requests.
    draining: bool,
    /// What comes is refused: there is no time left to serve it.
    ending: bool,
    lingering: usize,
    /// When the latest connection came.
    pub accepted_at: Micros,
    surplus: usize,
    /// What all of them hold in memory, and may.
    held: usize,
    memory: usize,
    /// What came since it was last looked at, in order.
    pub incoming: VecDeque<Incoming>,
    /// Requests whose answers may pass on again.
    pub hungry: Vec<RequestId>,
    /// Bytes granted to long bodies that are coming, and those that wait for a grant, the first one first.
    granted: usize,
    queue: VecDeque<(usize, u64)>,
}

impl Clients {
    /// Starts from a listener that is registered already; `memory` is what connections may hold in all.
    pub fn new(
        listener: Listener,
        words: Vocabulary,
        memory: usize,
        tokens: fn(usize) -> Token,
    ) -> Self {
        Clients {
            listener: Some(listener),
            conns: Slab::new(),
            lines: Lines::default(),
            serial: 0,
            next_id: 0,
            tokens,
            words,
            gate: Gate::default(),
            door: None,
            chunk: vec![0; CHUNK],
            args: Vec::new(),
            dirty: Vec::new(),
            again: Vec::new(),
            draining: false,
            ending: false,
            lingering: 0,
            accepted_at: 0,
            surplus: 0,
            held: 0,
            memory,
            incoming: VecDeque::new(),
            hungry: Vec::new(),
            granted: 0,
            queue: VecDeque::new(),
        }
    }

    /// What passes to the next process, as it stands.
    pub fn save(&self) -> Saved<&Client> {
        Saved {
            conns: self.conns.iter().collect(),
            serial: self.serial,
            next_id: self.next_id,
            dirty: self.dirty.clone(),
            again: self.again.clone(),
            lingering: self.lingering,
            surplus: self.surplus,
            accepted_at: self.accepted_at,
            held: self.held,
        }
    }

    /// The sockets of all connections in the order in which they were saved; none is left here.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        self.conns
            .drain()
            .map(|c| c.stream.into_descriptor())
            .collect()
    }

    /// Goes on with another process's connections. Of one whose socket did not come the requests have lost their client.
    pub fn resume(
        &mut self,
        saved: Saved<Client<()>>,
        sockets: &mut impl Iterator<Item = OwnedFd>,
        registry: &Registry,
    ) {
        let mut lost = Vec::new();
        let conns = saved.conns.into_iter().filter_map(|(key, c)| {
            let stream = sockets.next().map(Stream::passed).and_then(|mut stream| {
                let interests = Interest::READABLE | Interest::WRITABLE;
                registry
                    .register(&mut stream, (self.tokens)(key), interests)
                    .ok()
                    .map(|()| stream)
            });
            match stream {
                Some(stream) => Some((key, c.with(stream))),
                None => {
                    lost.push(c);
                    None
                }
            }
        });
        self.conns = conns.collect();
        let keys: Vec<usize> = self.conns.iter().map(|(key, _)| key).collect();
        keys.into_iter().for_each(|key| self.stand(key));
        (self.serial, self.next_id, self.accepted_at) =
            (saved.serial, saved.next_id, saved.accepted_at);
        (self.dirty, self.again) = (saved.dirty, saved.again);
        (self.lingering, self.surplus, self.held) = (saved.lingering, saved.surplus, saved.held);
        let granted = self
            .conns
            .iter()
            .map(|(_, c)| c.granted)
            .chain(lost.iter().map(|c| c.granted));
        self.granted = granted.sum();
        let waits = self.conns.iter().filter(|(_, c)| c.waits);
        self.queue = waits.map(|(key, c)| (key, c.serial)).collect();
        lost.into_iter().for_each(|c| self.gone(&c));
        let conns = &self.conns;
        self.dirty.retain(|key| conns.contains(*key));
        self.again.retain(|key| conns.contains(*key));
    }

    /// Asks callers who they are from now on, or nobody.
    pub fn ask(&mut self, callers: Option<Callers>) {
        match (&mut self.door, callers) {
            (Some(door), Some(callers)) => door.change(callers),
            (door, callers) => *door = callers.map(Door::new),
        }
    }

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// How many of them were taken in beyond the budget.
    pub fn surplus(&self) -> usize {
        self.surplus
    }

    /// How many of them still owe or await something.
    pub fn busy(&self) -> usize {
        self.conns
            .iter()
            .filter(|(_, c)| !c.slots.is_empty() || !c.out.is_empty())
            .count()
    }

    /// The listening socket, where it is one of TCP that is still open.
    pub fn listening(&self) -> Option<BorrowedFd<'_>> {
        match self.listener.as_ref()? {
            Listener::Tcp(listener) => Some(listener.as_fd()),
            Listener::Unix(..) => None,
        }
    }

    /// Accepts what waits, for as long as there `may` be a place for one more; `room` makes it once one has come: nobody is evicted
    /// for one that does not come.
    pub fn accept(
        &mut self,
        registry: &Registry,
        now: Micros,
        may: impl Fn(&Self) -> bool,
        mut room: impl FnMut(&mut Self) -> Room,
    ) -> Accepted {
        for _ in 0..ACCEPTS_A_TURN {
            if !may(self) {
                return Accepted::NoRoom;
            }
            let Some(listener) = &self.listener else {
                return Accepted::All;
            };
            match listener.accept() {
                Ok(stream) => {
                    let room = room(self);
                    self.add(stream, registry, now, room == Room::Surplus);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Accepted::All,
                // One that was gone before it was accepted, or may not connect.
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(e) if e.kind() == ErrorKind::PermissionDenied => {}
                // Out of descriptors or memory in spite of the budget: an idle one may make room.
                Err(_) if self.evict_oldest(now) => {}
                Err(_) => return Accepted::NoRoom,
            }
        }
        Accepted::More
    }

    fn add(&mut self, mut stream: Stream, registry: &Registry, now: Micros, surplus: bool) {
        let place = self.conns.vacant_entry();
        let key = place.key();
        let token = (self.tokens)(key);
        if registry
            .register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)
            .is_err()
        {
            return;
        }
        self.serial += 1;
        self.accepted_at = now;
        self.lingering += usize::from(surplus);
        self.surplus += usize::from(surplus);
        place.insert(Client {
            stream,
            serial: self.serial,
            buf: Vec::new(),
            slots: VecDeque::new(),
            first: 0,
            ready: 0,
            out: Vec::new(),
            written: 0,
            counted: 0,
            since: now,
            begun: now,
            proof: None,
            errors: 0,
            closing: false,
            linger_until: surplus.then_some(now + LINGER),
            surplus,
            half_closed: false,
            unread: false,
            stalled: false,
            dirty: false,
            listed: false,
            granted: 0,
            granted_at: 0,
            waits: false,
            standing: None,
        });
        self.stand(key);
    }

    /// A connection has ended at its other side: its client has gone, whatever it said before that and was not read. Told by the
    /// poll, that is known also of one that is not read on at the moment.
    pub fn left(&mut self, key: usize) {
        if self.conns.contains(key) {
            self.remove(key);
        }
    }

    /// Does what a connection is ready for.
    pub fn ready(&mut self, key: usize, now: Micros, writable: bool) {
        let Some(c) = self.conns.get_mut(key) else {
            return;
        };
        if writable && !c.out.is_empty() && !c.dirty {
            c.dirty = true;
            self.dirty.push(key);
        }
        self.read(key, now, false);
    }

    /// Whether there is something to do before any socket shows as ready.
    pub fn has_more(&self) -> bool {
        !(self.again.is_empty() && self.dirty.is_empty() && self.incoming.is_empty())
    }

    /// Reads on where a turn's bound ended the reading.
    pub fn read_again(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.again) {
            if let Some(c) = self.conns.get_mut(key) {
                c.listed = false;
                self.read(key, now, true);
            }
        }
    }

    fn read(&mut self, key: usize, now: Micros, closed: bool) {
        if self.conns.get(key).is_some_and(|c| !c.unread) {
            self.read_some(key, now, closed);
            self.account(key);
            self.stand(key);
        }
    }

    /// Notes where a connection stands by now.
    fn stand(&mut self, key: usize) {
        let Some(c) = self.conns.get_mut(key) else {
            return;
        };
        let to = c.stands();
        let from = std::mem::replace(&mut c.standing, to);
        if from != to {
            let (serial, conns) = (c.serial, &self.conns);
            self.lines.moved((key, serial), from, to, |key, serial| {
                standing(conns, key, serial)
            });
        }
    }

    fn read_some(&mut self, key: usize, now: Micros, closed: bool) {
        for step in 0..READS_A_TURN {
            // Of one whose end is near all is read first: what it asked for before it left wants no answer, and must
            // not run for nobody. An ingress that stood still finds many such.
            if (!closed || step == 0 && self.conns[key].stalled) && !self.take_commands(key, now) {
                self.conns[key].stalled = true;
                return;
            }
            let c = &mut self.conns[key];
            match c.stream.read(&mut self.chunk) {
                Ok(0) => return self.remove(key),
                Ok(n) if c.closing => {
                    // Read, or the kernel would reset the connection under the answers; but not looked at.
                    if let (true, Some(until)) = (c.half_closed, &mut c.linger_until) {
                        *until = (now + LINGER).min(c.since + LONGEST_LINGER).max(*until);
                    }
                    if n < CHUNK && !closed {
                        return;
                    }
                }
                Ok(n) => {
                    // Half a command is timed from its first byte, however long its connection has rested; a long body may
                    // take its time as long as it comes.
                    if c.buf.is_empty() || c.granted > 0 {
                        c.begun = now.max(c.begun);
                    }
                    c.buf.extend_from_slice(&self.chunk[..n]);
                    // Less than there was room for: that was all, and more will be told.
                    if n < CHUNK && !closed {
                        self.conns[key].stalled = !self.take_commands(key, now);
                        return;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.conns[key].stalled = !self.take_commands(key, now);
                    return;
                }
                Err(_) => return self.remove(key),
            }
        }
        self.conns[key].stalled = !self.take_commands(key, now);
        if !self.conns[key].stalled {
            self.read_later(key);
        }
    }

    /// Notes what a connection holds. Bounds for each are none for all together: beyond that, the one that has
    /// half said most is told so and closed, or else the one that has most to read.
    fn account(&mut self, key: usize) {
        let Some(c) = self.conns.get_mut(key) else {
            return;
        };
        c.recount(&mut self.held);
        while self.held > self.memory {
            let half_said = |c: &Client| c.buf.capacity().saturating_sub(c.granted);
            let most = self
                .conns
                .iter_mut()
                .max_by_key(|(_, c)| (half_said(c), c.counted));
            let Some((key, c)) = most else { return };
            if c.buf.is_empty() {
                self.remove(key);
                continue;
            }
            Self::break_off(c, "no memory for the rest of a command");
            c.recount(&mut self.held);
            if !std::mem::replace(&mut c.dirty, true) {
                self.dirty.push(key);
            }
        }
    }

    /// Ends a connection in the middle of a command, once it has been told why.
    fn break_off(c: &mut Client, why: &str) {
        let mut text = Vec::new();
        resp::put_error(&mut text, why);
        c.answer_now(&text);
        (c.closing, c.buf, c.waits) = (true, Vec::new(), false);
    }

    fn read_later(&mut self, key: usize) {
        if !std::mem::replace(&mut self.conns[key].listed, true) {
            self.again.push(key);
        }
    }

    /// Has a long body wait until it has the memory that it takes; false if it is not to be read now.
    fn may_read_on(&mut self, key: usize) -> bool {
        let c = &mut self.conns[key];
        if c.granted > 0 || c.buf.is_empty() || c.closing {
            return true;
        }
        let Some(whole) = resp::long_command(&c.buf, &mut self.args) else {
            return true;
        };
        if whole > self.memory {
            Self::break_off(c, "the body is longer than there is memory for");
            if !std::mem::replace(&mut c.dirty, true) {
                self.dirty.push(key);
            }
            return true;
        }
        if !std::mem::replace(&mut c.waits, true) {
            self.queue.push_back((key, c.serial));
        }
        false
    }

    /// Grants memory to long bodies in the order in which they came, as far as it goes beside the open requests' `held`.
    pub fn grant(&mut self, held: usize, now: Micros) {
        while let Some((key, serial)) = self.queue.front().copied() {
            let c = self
                .conns
                .get_mut(key)
                .filter(|c| c.serial == serial && c.waits);
            let whole = c
                .as_ref()
                .and_then(|c| resp::long_command(&c.buf, &mut self.args));
            if let (Some(c), Some(whole)) = (c, whole) {
                if held + self.granted + whole > self.memory {
                    return;
                }
                self.granted += whole;
                (c.granted, c.granted_at, c.begun) = (whole, now, now.max(c.begun));
                (c.waits, c.stalled) = (false, false);
                c.buf.reserve_exact(whole.saturating_sub(c.buf.len()));
                c.recount(&mut self.held);
                self.read_later(key);
            }
            self.queue.pop_front();
        }
    }

    /// Takes the whole commands out of what a connection has said; false if it is not to be read now.
    fn take_commands(&mut self, key: usize, now: Micros) -> bool {
        let taken = self.take_whole(key, now);
        taken && self.may_read_on(key)
    }

    fn take_whole(&mut self, key: usize, now: Micros) -> bool {
        let c = &mut self.conns[key];
        let (mut at, mut refused) = (0, false);
        while !c.closing && !c.full() && at < c.buf.len() {
            let slots = c.slots.len() as u64;
            match resp::command(&c.buf[at..], &mut self.args) {
                Ok(None) => break,
                Ok(Some(n)) => {
                    // One with a long body is kept as it came; what stands behind it is moved instead.
                    let long = self
                        .args
                        .get(resp::BODY)
                        .is_some_and(|body| body.len() > resp::MOST_VALUE);
                    let long = long.then(|| {
                        let mut whole = c.buf.split_off(at);
                        c.buf.extend_from_slice(&whole[n..]);
                        whole.truncate(n);
                        self.granted -= std::mem::take(&mut c.granted);
                        whole
                    });
                    let (part, read) = match long {
                        Some(whole) => (
                            &b"CALL.POST"[..],
                            Call::read_long(whole, &self.args, &self.words),
                        ),
                        None => {
                            let part = &c.buf[at..at + n];
                            at += n;
                            (part, Call::read(part, &self.args, &self.words))
                        }
                    };
                    (c.since, c.begun) = (now.max(c.since), now.max(c.begun));
                    match read {
                        Some(Ok(call)) if c.surplus => {
                            self.incoming
                                .push_back(Incoming::Ended(call.request.class, End::Refused));
                            c.answer_now(b"-BUSY\r\n");
                            refused = true;
                        }
                        Some(Ok(call)) if self.ending => {
                            self.incoming
                                .push_back(Incoming::Ended(call.request.class, End::Refused));
                            c.answer_now(b"-BUSY\r\n");
                        }
                        Some(Ok(call)) if !self.gate.open() => {
                            self.incoming
                                .push_back(Incoming::Ended(call.request.class, End::Refused));
                            c.answer_now(&self.gate.shut());
                        }
                        Some(Ok(mut call)) => {
                            let asked = (call.request.customer.0, call.request.class);
                            let token = call.take_token();
                            let shown = token.as_deref().map(|t| (t, c.stream.source()));
                            let may = |d: &mut Door| d.may(&mut c.proof, shown, asked, now);
                            if let Some(Err(why)) = self.door.as_mut().map(may) {
                                c.answer_now(format!("-DENIED {why}\r\n").as_bytes());
                                c.strike();
                                self.incoming
                                    .push_back(Incoming::Ended(call.request.class, End::Failed));
                            } else {
                                self.next_id += 1;
                                let id = RequestId(self.next_id);
                                let origin = Origin {
                                    key,
                                    serial: c.serial,
                                    slot: c.first + slots,
                                };
                                c.errors = 0;
                                c.slots.push_back(Slot::Waiting(id));
                                self.incoming.push_back(Incoming::Call(id, origin, call));
                                continue;
                            }
                        }
                        Some(Err(why)) => {
                            let mut text = Vec::new();
                            resp::put_error(&mut text, &why);
                            c.answer_now(&text);
                            c.strike();
                        }
                        None if part
                            .get(self.args[0].clone())
                            .is_some_and(|verb| verb.eq_ignore_ascii_case(b"PING")) =>
                        {
                            let open = self.gate.open();
                            c.answer_now(&if open {
                                b"+PONG\r\n".to_vec()
                            } else {
                                self.gate.shut()
                            });
                            c.errors = 0;
                        }
                        None if self.door.is_some()
                            && part
                                .get(self.args[0].clone())
                                .is_some_and(|v| v.eq_ignore_ascii_case(b"AUTH"))
                            && self.args.len() == 2 =>
                        {
                            let token = &part[self.args[1].clone()];
                            match self
                                .door
                                .as_mut()
                                .map(|d| d.auth(token, c.stream.source(), now))
                            {
                                Some(Ok(proof)) => {
                                    c.proof = Some(proof);
                                    c.answer_now(b"+OK\r\n");
                                    c.errors = 0;
                                }
                                // What it had proved before holds no longer: it wants to be somebody else.
                                Some(Err(why)) => {
                                    c.proof = None;
                                    c.answer_now(format!("-DENIED {why}\r\n").as_bytes());
                                    c.strike();
                                }
                                None => {}
                            }
                        }
                        None => {
                            c.answer_now(b"-ERR unknown command\r\n");
                            c.strike();
                        }
                    }
                }
                Err(why) => {
                    let mut text = Vec::new();
                    resp::put_error(&mut text, &format!("protocol error: {}", why.0));
                    c.answer_now(&text);
                    c.closing = true;
                    at = c.buf.len();
                }
            }
            if !std::mem::replace(&mut c.dirty, true) {
                self.dirty.push(key);
            }
        }
        // Told so with all that it asked at once.
        c.closing |= refused;
        if c.closing {
            at = c.buf.len(); // what follows the last thing that is answered is not looked at
        }
        c.buf.drain(..at);
        if c.buf.is_empty() {
            c.buf = Vec::new(); // there are many that wait: none keeps more than it needs
        }
        !c.full()
    }

    /// Answers a request that could not be taken: the connection bears some of them.
    pub fn reject(&mut self, origin: Origin, why: &str) {
        let mut text = Vec::new();
        resp::put_error(&mut text, why);
        if let Some(c) = self
            .conns
            .get_mut(origin.key)
            .filter(|c| c.serial == origin.serial)
        {
            c.strike();
        }
        self.answer(origin, &text);
    }

    /// Gives a request its final answer, a whole RESP2 value.
    pub fn answer(&mut self, origin: Origin, text: &[u8]) {
        let found = self
            .conns
            .get_mut(origin.key)
            .filter(|c| c.serial == origin.serial);
        let Some(c) = found.filter(|c| origin.slot >= c.first) else {
            return;
        };
        let at = (origin.slot - c.first) as usize;
        if at == 0 && matches!(c.slots.front(), Some(Slot::Waiting(_) | Slot::Passing(_))) {
            c.slots.pop_front();
            c.first += 1;
            c.out.extend_from_slice(text);
        } else if let Some(slot) = c.slots.get_mut(at) {
            *slot = Slot::Ready(text.to_vec());
            c.ready += text.len();
        }
        while let Some(Slot::Ready(_)) = c.slots.front() {
            if let Some(Slot::Ready(text)) = c.slots.pop_front() {
                c.first += 1;
                c.ready -= text.len();
                c.out.extend_from_slice(&text);
            }
        }
        if let Some(Slot::Passing(id)) = c.slots.front() {
            self.hungry.push(*id);
        }
        c.recount(&mut self.held);
        if !std::mem::replace(&mut c.dirty, true) {
            self.dirty.push(origin.key);
        }
    }

    /// Whether others are owed an answer on the connection that this one belongs to.
    pub fn shares(&self, origin: Origin) -> bool {
        self.conns
            .get(origin.key)
            .is_some_and(|c| c.serial == origin.serial && c.slots.len() > 1)
    }

    /// Bytes of answers for which there is room: what is left of half of what connections may hold.
    pub fn spare(&self) -> usize {
        (self.memory / 2).saturating_sub(self.held)
    }

    /// Where an answer that passes on as it comes is written to, if there is room for more of it now; else the client is
    /// `hungry` once there is. None as well where the client has gone.
    pub fn passing(&mut self, origin: Origin) -> Option<&mut Vec<u8>> {
        let found = self
            .conns
            .get_mut(origin.key)
            .filter(|c| c.serial == origin.serial);
        let c = found.filter(|c| origin.slot >= c.first)?;
        let at = (origin.slot - c.first) as usize;
        if let Some(slot) = c.slots.get_mut(at) {
            if let Slot::Waiting(id) = *slot {
                *slot = Slot::Passing(id);
            }
        }
        // Where memory is short all go on, each with no more than it reads at once.
        let most = if self.held > self.memory / 2 {
            1
        } else {
            MOST_PASSING
        };
        (at == 0 && c.out.len() - c.written < most).then_some(&mut c.out)
    }

    /// Something was written to [`Clients::passing`].
    pub fn passed(&mut self, origin: Origin) {
        if let Some(c) = self.conns.get_mut(origin.key) {
            c.recount(&mut self.held);
            if !std::mem::replace(&mut c.dirty, true) {
                self.dirty.push(origin.key);
            }
        }
    }

    /// An answer that had begun to pass on can't be finished: its connection ends, so that the client can tell. What stood
    /// before it has been written, as far as the client read it. Where others stand before it none of it has been written, and its
    /// answer is `text`.
    pub fn cut(&mut self, origin: Origin, text: &[u8]) {
        if let Some(c) = self
            .conns
            .get_mut(origin.key)
            .filter(|c| c.serial == origin.serial)
        {
            if origin.slot > c.first {
                return self.answer(origin, text);
            }
            let _ = c.stream.write(&c.out[c.written..]);
            self.remove(origin.key);
        }
    }

    /// Writes what there is to write: one write for all answers that a connection gets in a turn.
    pub fn flush(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.dirty) {
            let Some(c) = self.conns.get_mut(key) else {
                continue;
            };
            c.dirty = false;
            let broken = loop {
                if c.written == c.out.len() {
                    break false;
                }
                match c.stream.write(&c.out[c.written..]) {
                    Ok(n) => (c.written, c.since) = (c.written + n, now.max(c.since)),
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break false,
                    Err(_) => break true,
                }
            };
            if broken {
                self.remove(key);
                continue;
            }
            if c.written == c.out.len() {
                (c.written, c.since) = (0, now.max(c.since));
                c.out.clear();
                c.out.shrink_to(SMALL);
                c.recount(&mut self.held);
            }
            if let Some(Slot::Passing(id)) = c.slots.front() {
                // What is written makes room at once, or a long answer would be kept whole behind a slow reader.
                if c.out.len() - c.written < MOST_PASSING {
                    c.out.drain(..std::mem::take(&mut c.written));
                    self.hungry.push(*id);
                }
            }
            // Commands that were held back by a full line of answers are taken up again.
            if c.stalled && !c.full() && !c.waits {
                c.stalled = false;
                self.read_later(key);
            }
            self.finish(key, now);
            self.stand(key);
        }
    }

    /// Closes a connection that is done with.
    fn finish(&mut self, key: usize, now: Micros) {
        let c = &mut self.conns[key];
        if c.closing && c.slots.is_empty() && c.out.is_empty() && !c.half_closed {
            self.half_close(key, now);
        } else if self.draining && c.idle() {
            self.half_close_if_silent(key, now);
        }
    }

    /// Ends the sending on a connection and leaves it to its client to close it, for a while. Closed at once, what the client
    /// still sends would reset the connection under the last answer.
    fn half_close(&mut self, key: usize, now: Micros) {
        let c = &mut self.conns[key];
        let _ = c.stream.shutdown(Shutdown::Write);
        c.half_closed = true;
        self.lingering += usize::from(c.linger_until.is_none());
        c.linger_until = Some(now + LINGER);
    }

    /// Closes an idle connection unless a request has come on it that was not read yet.
    fn close_if_silent(&mut self, key: usize, now: Micros) {
        self.read(key, now, true);
        if self.conns.get(key).is_some_and(Client::idle) {
            self.remove(key);
        }
    }

    /// The same where the descriptor is not wanted at once: a last answer may still be on its way, and the next request on its own,
    /// so the client is left to close it.
    fn half_close_if_silent(&mut self, key: usize, now: Micros) {
        self.read(key, now, true);
        let Some(c) = self.conns.get_mut(key).filter(|c| c.idle()) else {
            return;
        };
        if !c.spoke() {
            return self.remove(key);
        }
        (c.closing, c.unread, c.since) = (true, true, now.max(c.since));
        self.half_close(key, now);
        self.stand(key);
    }

    /// Evicts, by a half-close, one of the connections that are idle behind an answer, the one that has been so for longest, if there
    /// are more of them than `most`. One that has something to say by now stays.
    pub fn evict_spare(&mut self, most: usize, now: Micros) {
        if self.lines.count(Kind::Idle) > most {
            if let Some((key, _)) = self.oldest(Kind::Idle) {
                self.half_close_if_silent(key, now);
            }
        }
    }

    fn oldest(&mut self, kind: Kind) -> Option<(usize, Micros)> {
        let conns = &self.conns;
        self.lines
            .oldest(kind, |key, serial| standing(conns, key, serial))
    }

    /// Whether some connection has nothing owed to it.
    pub fn evictable(&self) -> bool {
        [Kind::HalfClosed, Kind::Silent, Kind::Half, Kind::Idle]
            .into_iter()
            .any(|kind| self.lines.count(kind) > 0)
    }

    /// Evicts a connection that nothing is owed to, to make room; false if there is none.
    pub fn evict_oldest(&mut self, now: Micros) -> bool {
        if let Some((key, _)) = self.oldest(Kind::HalfClosed) {
            self.remove(key);
            return true;
        }
        loop {
            // What the latest say may be a moment behind their connecting: these go last.
            let latest = self.accepted_at;
            let fresh = |since: Micros| since + FRESH > latest;
            let silent = self
                .oldest(Kind::Silent)
                .filter(|(_, since)| !fresh(*since));
            let others = [Kind::Half, Kind::Idle, Kind::Silent];
            let next = silent.or_else(|| others.into_iter().find_map(|kind| self.oldest(kind)));
            let Some((key, _)) = next else { return false };
            if !self.conns[key].buf.is_empty() {
                // What it has said since may be all of its command.
                self.read(key, now, true);
                if self
                    .conns
                    .get(key)
                    .is_some_and(|c| matches!(c.standing, Some((Kind::Half, _))))
                {
                    self.remove(key);
                }
            } else {
                self.close_if_silent(key, now);
            }
            if !self.conns.contains(key) {
                return true;
            }
        }
    }

    /// Forgets a connection; requests that it still waits for have lost their client.
    fn remove(&mut self, key: usize) {
        let c = self.conns.remove(key); // dropped, it is closed, and so out of the poll
        self.gone(&c);
    }

    /// Counts a connection no longer.
    fn gone<S>(&mut self, c: &Client<S>) {
        self.granted -= c.granted;
        if let Some((kind, _)) = c.standing {
            self.lines.left(kind);
        }
        self.lingering -= usize::from(c.linger_until.is_some());
        self.surplus -= usize::from(c.surplus);
        self.held -= c.counted;
        let waiting = c.slots.iter().filter_map(|s| match s {
            Slot::Waiting(id) | Slot::Passing(id) => Some(*id),
            Slot::Ready(_) => None,
        });
        self.incoming.extend(waiting.map(Incoming::Gone));
    }

    /// Ends what says nothing, or half a command, for too long: it holds a descriptor and memory.
    fn end_silent(&mut self, now: Micros) {
        let slow = |c: &Client| c.granted > 0 && now > c.granted_at + BODY_TIME;
        let late = |c: &Client| {
            (now > c.begun + PATIENCE || slow(c)) && !c.closing && !c.surplus && !c.stalled
        };
        let silent = |c: &Client| {
            if c.buf.is_empty() {
                !c.spoke()
            } else {
                !c.full()
            }
        };
        let over = self.conns.iter().filter(|(_, c)| late(c) && silent(c));
        let over: Vec<usize> = over.map(|(key, _)| key).collect();
        let unread = self
            .conns
            .iter()
            .filter(|(_, c)| !c.out.is_empty() && now > c.since + UNREAD);
        let unread: Vec<usize> = unread.map(|(key, _)| key).collect();
        unread.into_iter().for_each(|key| self.remove(key));
        for key in over {
            let Some(c) = self.conns.get_mut(key) else {
                continue;
            };
            if c.buf.is_empty() {
                self.close_if_silent(key, now);
                continue;
            }
            Self::break_off(c, "the rest of a command did not come in time");
            if !std::mem::replace(&mut c.dirty, true) {
                self.dirty.push(key);
            }
        }
    }

    /// Closes what has lingered for long enough.
    pub fn sweep(&mut self, now: Micros) {
        self.end_silent(now);
        if self.lingering > 0 {
            let over = |c: &Client| c.linger_until.is_some_and(|t| t <= now);
            let over: Vec<usize> = self
                .conns
                .iter()
                .filter(|(_, c)| over(c))
                .map(|(key, _)| key)
                .collect();
            over.into_iter().for_each(|key| self.remove(key));
        }
    }

    /// Refuses what comes from now on, also what was read and waits behind a full line.
    pub fn end(&mut self) {
        self.ending = true;
    }

    /// Closes connections between requests from now on, those as well that have not said anything yet and takes
    /// no new ones, unless some are still `coming`.
    pub fn drain(&mut self, now: Micros, coming: bool) {
        self.draining = true;
        if !coming {
            self.listener = None;
        }
        let idle = self
            .conns
            .iter()
            .filter(|(_, c)| c.idle() && (c.spoke() || !coming));
        let idle: Vec<usize> = idle.map(|(key, _)| key).collect();
        idle.into_iter()
            .for_each(|key| self.half_close_if_silent(key, now));
    }
}

#[cfg(test)]
pub(crate) mod tests;
