//! The stand-ins for backends: a listener of each backend for each ingress, their connections, and how they handle commands, faults
//! included.

use super::address;
use super::context::{token, Component, Context, Due};
use super::pipe::{Flow, Pipe};
use crate::arrivals::hash_draw;
use crate::judge::Seen;
use crate::machine::{Job, Machine, OfferResult};
use crate::scenario::{Effect, Micros, Reports, Scenario, SECOND};
use mio::net::TcpListener;
use mio::{Interest, Token};
use slab::Slab;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use wrenfork_wire::resp;

/// How often a backend refreshes the load that it reports.
const REPORT_PERIOD: Micros = 300_000;
/// The work of a probe, in microseconds.
const PROBE_WORK: Micros = 300;
/// The pause between the bytes of a reply that is sent byte by byte.
const BYTE_PAUSE: Micros = 200;
/// How many bytes of such a reply are sent one by one, at its end.
const SINGLE_BYTES: usize = 48;
/// The length of a value, in bytes.
const VALUE_BYTES: usize = 64;

/// A timer event of the backends.
pub enum BackendDue {
    /// A core has finished a job.
    Done {
        slot: usize,
        life: u64,
        key: usize,
        serial: u64,
    },
    /// The next byte of a reply is sent.
    Byte {
        conn: usize,
        serial: u64,
        rest: Vec<u8>,
    },
    /// The fault of a backend that began at `since` ends, unless a later one has replaced it.
    Recovered { slot: usize, since: Micros },
    /// The load of another program on the machine changes to `factor`.
    NeighbourLoad { slot: usize, factor: f64 },
}

/// The behaviour of a backend: normal, or with a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Normal,
    Hang,
    Reset { byte: u32 },
    Spoil,
    Bytewise,
    Echo,
}

/// A backend of the scenario, with its current process.
struct Slot {
    machine: Machine,
    /// The identity of the backend, which changes with its name.
    ident: usize,
    pod: usize,
    /// The number of the current process; timer events of earlier ones are ignored.
    life: u64,
    alive: bool,
    mode: (Mode, Micros),
    addresses: Vec<SocketAddr>,
    listeners: Vec<usize>,
    reached: u64,
}

struct Conn {
    pipe: Pipe,
    ingress: usize,
    slot: usize,
    serial: u64,
    /// When the first byte of the incomplete command was received.
    first_byte: Option<Micros>,
    /// How many bytes of the incomplete command were received.
    received: usize,
    /// Commands without a reply, in order.
    waiting: VecDeque<PendingReply>,
    shut: bool,
}

/// A command without a reply.
struct PendingReply {
    /// The key of its work; `None` if a hanging backend never begins it.
    number: Option<usize>,
    id: u64,
    /// The reply, while it waits for the replies before it.
    text: Option<Vec<u8>>,
}

/// A command that is queued or being worked on.
struct Work {
    serial: u64,
    conn: usize,
    conn_serial: u64,
    id: u64,
}

/// All backends, with their connections and work.
pub struct Backends {
    seed: u64,
    classes: Vec<(String, Effect, Micros)>,
    slots: Vec<Slot>,
    capacities: Vec<f64>,
    listeners: Slab<(TcpListener, usize, usize)>,
    conns: Slab<Conn>,
    work: Slab<Work>,
    serial: u64,
    chunk: Vec<u8>,
    args: Vec<Range<usize>>,
    /// Idempotency keys that each pod has carried out, and when.
    keys: HashMap<(usize, u64), Micros>,
    idents: usize,
    scenario: Scenario,
}

/// The value that a backend returns for a request; it contains the id, so that a foreign reply is noticed.
pub fn value_of(id: u64) -> String {
    let mut value = format!("value of {id:016x} ");
    while value.len() < VALUE_BYTES {
        value.push('.');
    }
    value
}

impl Backends {
    /// Opens the listeners of all backends, a separate one for each ingress.
    pub fn open(s: &Scenario, context: &mut Context) -> io::Result<Self> {
        let mut backends = Backends {
            seed: s.seed,
            classes: s
                .classes
                .iter()
                .map(|c| (c.name.clone(), c.effect, c.work))
                .collect(),
            slots: Vec::new(),
            capacities: Vec::new(),
            listeners: Slab::new(),
            conns: Slab::new(),
            work: Slab::new(),
            serial: 0,
            chunk: vec![0; 64 * 1024],
            args: Vec::new(),
            keys: HashMap::new(),
            idents: s.backend_count(),
            scenario: s.clone(),
        };
        let mut pods = 0;
        for set in &s.backends {
            for n in 0..set.count {
                if n % usize::from(set.pod) == 0 {
                    pods += 1;
                }
                let started = if set.cold { context.now } else { 0 };
                let ip = address::own();
                let addresses = vec![SocketAddr::new(ip, 0); usize::from(s.ingresses.count)];
                backends.slots.push(Slot {
                    machine: Machine::new(set, started, context.now),
                    ident: backends.slots.len(),
                    pod: pods,
                    life: 0,
                    alive: true,
                    mode: (Mode::Normal, 0),
                    addresses,
                    listeners: Vec::new(),
                    reached: 0,
                });
                backends.capacities.push(Machine::capacity(set));
                backends.listen(backends.slots.len() - 1, context)?;
            }
        }
        Ok(backends)
    }

    fn listen(&mut self, slot: usize, context: &mut Context) -> io::Result<()> {
        for (ingress, at) in self.slots[slot].addresses.clone().into_iter().enumerate() {
            let mut listener = TcpListener::bind(at)?;
            // The system assigns a port the first time; a restart binds the same one.
            self.slots[slot].addresses[ingress] = listener.local_addr()?;
            let place = self.listeners.vacant_entry();
            let (key, token) = (place.key(), token(Component::BackendListener, place.key()));
            context
                .registry
                .register(&mut listener, token, Interest::READABLE)?;
            place.insert((listener, ingress, slot));
            self.slots[slot].listeners.push(key);
        }
        Ok(())
    }

    /// The address of a backend for an ingress.
    pub fn address(&self, slot: usize, ingress: usize) -> SocketAddr {
        self.slots[slot].addresses[ingress]
    }

    /// The identity of a backend, its pod, and its start time.
    pub fn identity(&self, slot: usize) -> (usize, usize, Micros) {
        let s = &self.slots[slot];
        (s.ident, s.pod, s.machine.started)
    }

    /// Whether the process of a backend runs.
    pub fn is_alive(&self, slot: usize) -> bool {
        self.slots[slot].alive
    }

    /// The number of commands that each backend received, and its capacity.
    pub fn commands_and_capacities(&self) -> Vec<(u64, f64)> {
        self.slots
            .iter()
            .map(|s| s.reached)
            .zip(self.capacities.iter().copied())
            .collect()
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Sets the behaviour of a backend for a time.
    pub fn set_mode(&mut self, slot: usize, mode: Mode, lasts: Micros, context: &mut Context) {
        self.slots[slot].mode = (mode, context.now);
        context.after(
            lasts,
            Due::Backend(BackendDue::Recovered {
                slot,
                since: context.now,
            }),
        );
    }

    /// Sets the load that another program puts on the machine of a backend.
    pub fn set_neighbour(&mut self, slot: usize, factor: f64) {
        self.slots[slot].machine.taken = factor;
    }

    /// Ends the process of a backend: its connections are reset and new ones refused.
    pub fn die(&mut self, slot: usize, context: &mut Context) {
        let s = &mut self.slots[slot];
        (s.alive, s.life) = (false, s.life + 1);
        for key in std::mem::take(&mut s.listeners) {
            self.listeners.remove(key);
        }
        let gone: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| c.slot == slot)
            .map(|(key, _)| key)
            .collect();
        gone.into_iter().for_each(|key| self.reset(key, context));
    }

    /// Starts the process of a backend, cold. With a new name it gets a new identity.
    pub fn start(&mut self, slot: usize, new_name: bool, context: &mut Context) -> io::Result<()> {
        let machine = Machine::new(self.scenario.set_of(slot), context.now, context.now);
        let s = &mut self.slots[slot];
        (s.machine, s.alive, s.mode) = (machine, true, (Mode::Normal, context.now));
        if new_name {
            s.ident = self.idents;
            self.idents += 1;
        }
        self.listen(slot, context)
    }

    fn reset(&mut self, key: usize, context: &mut Context) {
        if let Some(conn) = self.conns.get(key) {
            conn.pipe.reset_on_close();
            self.close(key, context);
        }
    }

    fn close(&mut self, key: usize, context: &mut Context) {
        let Some(conn) = self.conns.try_remove(key) else {
            return;
        };
        let runs_on = self.scenario.set_of(conn.slot).runs_on;
        let backend = self.slots[conn.slot].ident;
        for PendingReply { number, id, .. } in conn.waiting {
            context.record(Seen::AttemptEnded { id, backend });
            // Unless work outlives its connection, queued work is dropped. Running work continues,
            // and its reply is discarded.
            let Some(work) = number.filter(|_| !runs_on) else {
                continue;
            };
            if self.slots[conn.slot].machine.drop_waiting(work as u64) {
                self.work.try_remove(work);
            }
        }
    }

    /// Accepts pending connections.
    pub fn accept(&mut self, key: usize, context: &mut Context) {
        loop {
            let Some((listener, ingress, slot)) = self.listeners.get(key) else {
                return;
            };
            let (ingress, slot) = (*ingress, *slot);
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            let place = self.conns.vacant_entry();
            let token: Token = token(Component::Backend, place.key());
            let interest = Interest::READABLE | Interest::WRITABLE;
            if context
                .registry
                .register(&mut stream, token, interest)
                .is_err()
            {
                continue;
            }
            self.serial += 1;
            place.insert(Conn {
                pipe: Pipe::new(stream),
                ingress,
                slot,
                serial: self.serial,
                first_byte: None,
                received: 0,
                waiting: VecDeque::new(),
                shut: false,
            });
        }
    }

    /// Reads and writes a connection that is ready.
    pub fn handle_ready(&mut self, key: usize, context: &mut Context) {
        context.read_clock();
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let before = conn.pipe.inbox.len();
        let flow = conn.pipe.fill(&mut self.chunk);
        let received = conn.pipe.inbox.len() - before;
        if received > 0 {
            conn.first_byte.get_or_insert(context.now);
            conn.received += received;
        }
        if !conn.pipe.flush() || flow == Flow::Reset {
            return self.close(key, context);
        }
        let slot = conn.slot;
        if let Mode::Reset { byte } = self.slots[slot].mode.0 {
            if byte > 0 && conn.received >= byte as usize {
                return self.reset(key, context);
            }
        }
        self.take_commands(key, context);
        if flow == Flow::Ended {
            // An ingress that closes its sending side cancels its attempt.
            self.close(key, context);
        }
    }

    fn take_commands(&mut self, key: usize, context: &mut Context) {
        loop {
            let Some(conn) = self.conns.get_mut(key).filter(|c| !c.shut) else {
                return;
            };
            let found = match resp::command(&conn.pipe.inbox, &mut self.args) {
                Ok(None) => return,
                Ok(Some(n)) => n,
                Err(_) => {
                    conn.shut = true;
                    conn.pipe.send(b"-SYNTAX\r\n");
                    return;
                }
            };
            let command: Vec<u8> = conn.pipe.inbox.drain(..found).collect();
            let first_byte = conn.first_byte.take().unwrap_or(context.now);
            conn.received = conn.pipe.inbox.len();
            if conn.received > 0 {
                conn.first_byte = Some(context.now);
            }
            let args: Vec<&[u8]> = self.args.iter().map(|r| &command[r.clone()]).collect();
            match args.first().copied() {
                Some(b"CALL.GET" | b"CALL.POST") if args.len() >= 4 => {
                    let (customer, id, options) = (text(args[1]), text(args[2]), text(args[3]));
                    if let Some(known) = self.read_call(&customer, &id, &options) {
                        self.call(key, known, first_byte, context);
                    } else {
                        self.send(key, b"-SYNTAX\r\n", context);
                    }
                }
                Some(b"PING") => self.send(key, b"+PONG\r\n", context),
                Some(b"INFO") => {
                    let slot = conn.slot;
                    let machine = &mut self.slots[slot].machine;
                    machine.withstands(context.now, PROBE_WORK);
                    let load = match self.scenario.network.reports {
                        Reports::Answers => {
                            format!("util={:.3}", machine.util(context.now, REPORT_PERIOD))
                        }
                        Reports::Probes => {
                            format!("queue={},inflight={}", machine.queue(), machine.held())
                        }
                        Reports::None => {
                            self.send(key, b"-NOPERM\r\n", context);
                            continue;
                        }
                    };
                    let answer = format!("${}\r\n{load}\r\n", load.len());
                    self.send(key, answer.as_bytes(), context);
                }
                Some(b"CLIENT" | b"SELECT") => self.send(key, b"+OK\r\n", context),
                _ => self.send(key, b"-ERR unknown command\r\n", context),
            }
        }
    }

    /// Parses a call: the id, the class and the idempotency key. Returns `None` if it is malformed.
    fn read_call(
        &self,
        customer: &str,
        id: &str,
        options: &str,
    ) -> Option<(u64, usize, Option<u64>)> {
        u64::from_str_radix(customer, 16).ok()?;
        let id = u64::from_str_radix(id, 16).ok()?;
        let option = |name: &str| options.split(',').find_map(|o| o.strip_prefix(name));
        let class = option("c=").and_then(|c| self.classes.iter().position(|k| k.0 == c))?;
        let wait = option("d=").and_then(|d| d.parse::<u64>().ok());
        wait.filter(|d| *d > 0)?;
        let key = option("k=").and_then(|k| u64::from_str_radix(k, 16).ok());
        Some((id, class, key))
    }

    fn call(
        &mut self,
        key: usize,
        call: (u64, usize, Option<u64>),
        first_byte: Micros,
        context: &mut Context,
    ) {
        let (id, class, keyed) = call;
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let (index, now) = (conn.slot, context.now);
        let (_, effect, mean) = &self.classes[class];
        // Derived from the request id, so that each attempt has the same work on every backend.
        let work = (*mean as f64 * (0.7 + 0.6 * hash_draw(self.seed, &[11, id]))) as Micros;
        let slot = &mut self.slots[index];
        slot.reached += 1;
        context.record(Seen::Reached {
            id,
            ingress: conn.ingress,
            backend: slot.ident,
            pod: slot.pod,
            first_byte,
            work,
            capacity: self.capacities[index],
            started: slot.machine.started,
        });
        if !slot.machine.withstands(now, work) {
            return self.die(index, context);
        }
        let mode = slot.mode.0;
        if mode == Mode::Hang {
            conn.waiting.push_back(PendingReply {
                number: None,
                id,
                text: None,
            });
            return;
        }
        self.serial += 1;
        let (serial, conn_serial) = (self.serial, conn.serial);
        let number = self.work.insert(Work {
            serial,
            conn: key,
            conn_serial,
            id,
        });
        conn.waiting.push_back(PendingReply {
            number: Some(number),
            id,
            text: None,
        });
        let window = if let Effect::Keyed { window, .. } = effect {
            *window
        } else {
            0
        };
        if let Some(k) = keyed.filter(|_| window > 0) {
            let known = self
                .keys
                .get(&(slot.pod, k))
                .is_some_and(|at| now < at + window);
            if known {
                return self.finish(number, context); // a repeat: replied to without work
            }
            self.keys.insert((slot.pod, k), now);
        }
        match slot.machine.offer(
            now,
            Job {
                key: number as u64,
                work,
            },
        ) {
            OfferResult::Started(at) => {
                let life = slot.life;
                context.record(Seen::Ran { id });
                context.at(
                    at,
                    Due::Backend(BackendDue::Done {
                        slot: index,
                        life,
                        key: number,
                        serial,
                    }),
                );
            }
            OfferResult::Queued => {}
            OfferResult::Rejected => {
                context.record(Seen::Rejected {
                    id,
                    backend: slot.ident,
                });
                if let Some(k) = keyed {
                    self.keys.remove(&(self.slots[index].pod, k));
                }
                self.store_reply(number, b"-BUSY\r\n".to_vec(), context);
            }
        }
        if mode == (Mode::Reset { byte: 0 }) {
            self.reset(key, context);
        }
    }

    /// Handles a timer event.
    pub fn handle_due(&mut self, due: BackendDue, context: &mut Context) {
        match due {
            BackendDue::Done {
                slot,
                life,
                key,
                serial,
            } => {
                if self.slots[slot].life != life {
                    return;
                }
                if self.work.get(key).is_some_and(|w| w.serial == serial) {
                    self.finish(key, context);
                }
                // The core takes the next job. Jobs whose connection has closed are dropped.
                if let Some((job, at)) = self.slots[slot].machine.done(context.now) {
                    let key = job.key as usize;
                    if let Some(work) = self.work.get(key) {
                        let (id, serial) = (work.id, work.serial);
                        context.record(Seen::Ran { id });
                        context.at(
                            at,
                            Due::Backend(BackendDue::Done {
                                slot,
                                life,
                                key,
                                serial,
                            }),
                        );
                    }
                }
            }
            BackendDue::Byte {
                conn,
                serial,
                mut rest,
            } => {
                if self.conns.get(conn).is_some_and(|c| c.serial == serial) {
                    let next: Vec<u8> = rest.drain(..1).collect();
                    self.send(conn, &next, context);
                    if !rest.is_empty() {
                        context.after(
                            BYTE_PAUSE,
                            Due::Backend(BackendDue::Byte { conn, serial, rest }),
                        );
                    }
                }
            }
            BackendDue::Recovered { slot, since } => {
                if self.slots[slot].mode.1 == since {
                    self.slots[slot].mode = (Mode::Normal, context.now);
                }
            }
            BackendDue::NeighbourLoad { slot, factor } => self.set_neighbour(slot, factor),
        }
    }

    fn finish(&mut self, number: usize, context: &mut Context) {
        let Some(work) = self.work.get(number) else {
            return;
        };
        let Some(conn) = self
            .conns
            .get(work.conn)
            .filter(|c| c.serial == work.conn_serial)
        else {
            self.work.remove(number);
            return;
        };
        let value = value_of(work.id);
        let load = self.slots[conn.slot]
            .machine
            .util(context.now, REPORT_PERIOD);
        let load = match self.scenario.network.reports {
            Reports::Answers => format!("${}\r\nutil={load:.3}", format!("util={load:.3}").len()),
            Reports::Probes | Reports::None => "$-1".into(),
        };
        let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n{load}\r\n", value.len()).into_bytes();
        self.store_reply(number, answer, context);
    }

    /// Stores a reply, and sends all replies whose predecessors have been sent.
    fn store_reply(&mut self, number: usize, text: Vec<u8>, context: &mut Context) {
        let work = self.work.remove(number);
        let Some(conn) = self
            .conns
            .get_mut(work.conn)
            .filter(|c| c.serial == work.conn_serial)
        else {
            return;
        };
        if let Some(pending) = conn.waiting.iter_mut().find(|w| w.number == Some(number)) {
            pending.text = Some(text);
        }
        let (mode, backend) = (self.slots[conn.slot].mode.0, self.slots[conn.slot].ident);
        while conn.waiting.front().is_some_and(|w| w.text.is_some()) {
            let Some(PendingReply {
                id,
                text: Some(mut text),
                ..
            }) = conn.waiting.pop_front()
            else {
                return;
            };
            context.record(Seen::AttemptEnded { id, backend });
            match mode {
                Mode::Spoil => {
                    let at = text.len() / 2;
                    text[at] ^= 0x55;
                    text[1] = b'x';
                }
                Mode::Echo => text.extend_from_within(..),
                Mode::Bytewise => {
                    let rest = text.split_off(text.len().saturating_sub(SINGLE_BYTES).max(1));
                    let serial = conn.serial;
                    let due = BackendDue::Byte {
                        conn: work.conn,
                        serial,
                        rest,
                    };
                    context.after(BYTE_PAUSE, Due::Backend(due));
                }
                _ => {}
            }
            if !conn.pipe.send(&text) {
                return self.close(work.conn, context);
            }
        }
    }

    fn send(&mut self, key: usize, text: &[u8], context: &mut Context) {
        if self.conns.get_mut(key).is_some_and(|c| !c.pipe.send(text)) {
            self.close(key, context);
        }
    }

    /// Drops idempotency keys that are older than ten seconds.
    pub fn sweep(&mut self, now: Micros) {
        self.keys.retain(|_, at| *at + 10 * SECOND > now);
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
