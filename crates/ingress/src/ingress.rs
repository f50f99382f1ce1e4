//! The loop. It feeds the module what the sockets brought, carries out what the module asks for in that order,
//! and answers clients. It decides nothing: no backend, no further attempt, no refusal but where a limit of the
//! settings leaves no room to ask the module. The open requests, the timers, the descriptors' budget and the end
//! stand in modules of their own.

use crate::backends::{Backends, Done, Link, Work};
use crate::clients::{Accepted, Clients, Incoming, Origin};
use crate::clock::Clock;
use crate::config::{Config, Enforced, Listen, Told};
use crate::control::{self, Coming, Order, Port};
use crate::counter::{Counted, Counter};
use crate::discovery::{Roster, Watch};
use crate::gate::Gate;
use crate::ledger::{End, Ledger, Now};
use crate::management::{self, Ask, Management, MOST_CALLERS};
use crate::peers::Peers;
use crate::reload::Reload;
use crate::requests::{Attempt, Place, Requests, LONGEST_WAIT};
use crate::room::Budget;
use crate::routing::Routing;
use crate::shutdown::Shutdown;
use crate::status::Status;
use crate::stream::Listener;
use crate::takeover::{self, Given, Inherited, Offer, Taken};
use crate::tallies::Tallies;
use crate::timers::{Due, Timers};
use crate::variant::Variant;
use mio::net::{TcpListener, UnixListener};
use mio::{Events, Interest, Poll, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::io;
use std::io::Write;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::time::Duration;
use wrenfork_commit::metrics::{IngressMetrics, PlanUsage};
use wrenfork_control_plane::group::InheritedLease as Right;
use wrenfork_control_plane::socket::{self, SocketFile};
use wrenfork_decision::{
    Action, BackendId, DiscoveryMode, EndpointListKind, Event, Gateway, Micros, Outcome, RequestId,
};
use wrenfork_handover::caller::Caller;
use wrenfork_handover::listener;
use wrenfork_handover::socket_path;
use wrenfork_handover::successor::Successor;
use wrenfork_wire::call::{Call, Vocabulary};
use wrenfork_wire::resp;

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const DISCOVERY: Token = Token(2);
const PEERS: Token = Token(3);
const COUNTER: Token = Token(4);
const CONTROL: Token = Token(5);
const MANAGEMENT: Token = Token(6);
const HANDOVER: Token = Token(7);
/// From here on, the operators' callers.
const CALLERS: usize = 8;
/// From here on, even tokens are clients and odd ones backends.
const FIRST: usize = CALLERS + MOST_CALLERS;

/// The part of the memory that open requests may take, and what clients have half said or not yet read.
const MEMORY_SHARE: usize = 4;
/// Time between looks at what has been idle for long.
const SWEEP: Micros = 500_000;
/// Time until accepting is tried again after there was no descriptor for it.
const ACCEPT_AGAIN: Micros = 10_000;
/// What an answer may take on its way to the client, besides two ticks.
const ON_THE_WAY: Micros = 2_000;
/// The answer to a request that has failed.
const FAILED: &[u8] = b"-ERR failed\r\n";

/// The ingress.
pub struct Ingress<V> {
    /// The version of the program that this is.
    variant: V,
    poll: Poll,
    clock: Clock,
    now: Micros,
    tick: Micros,
    /// What a request may have that comes now.
    most_attempts: usize,
    asks_discovery: bool,
    connect_timeout: Micros,
    budget: Budget,
    /// The most bytes of memory.
    memory: usize,
    gateway: Gateway,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    clients: Clients,
    backends: Backends,
    watch: Watch,
    reload: Reload,
    routing: Routing,
    /// The file of the clients' socket, where it is one.
    socket: Option<SocketFile>,
    control: Option<Port>,
    /// The control side that is still to come, behind another process.
    coming: Option<Coming>,
    ledger: Ledger,
    tallies: Tallies,
    management: Option<Management>,
    calls_more: bool,
    peers: Option<Peers>,
    counter: Option<Counter>,
    signals: Signals,
    requests: Requests,
    timers: Timers,
    accept_more: bool,
    peers_more: bool,
    shutdown: Shutdown,
    /// Where the next process finds this one, if it may come while this one serves.
    next: Option<PathBuf>,
    offer: Option<Offer>,
    asked_to_hand_over: bool,
    /// It was logged that the next process can't find this one.
    told_unfound: bool,
}

fn settled(
    id: RequestId,
    attempt: u16,
    a: (BackendId, Micros),
    outcome: Outcome,
    complete: bool,
    now: Micros,
) -> Event {
    let (backend, took) = (a.0, now.saturating_sub(a.1));
    Event::AttemptCompleted {
        id,
        attempt,
        backend,
        outcome,
        complete,
        elapsed: took,
        metered_usage: None,
        charged_units: None,
        report: None,
    }
}

/// The names of the classes by their places.
fn names(words: &Vocabulary) -> impl Iterator<Item = &str> {
    words.classes.iter().map(|c| c.0.as_str())
}

/// Takes the signals that the loop heeds.
pub fn signals() -> Result<Signals, String> {
    // A file that may not grow is an error of the write, and no end of the process.
    Signals::new([SIGTERM, SIGINT, SIGHUP, SIGXFSZ])
        .map_err(|e| format!("cannot take signals: {e}"))
}

impl<V: Variant> Ingress<V> {
    /// Opens the sockets. From here on clients may come; they are served once [`Ingress::run`] runs.
    pub fn start(
        variant: V,
        mut config: Config,
        told: Told,
        status: Status,
        mut signals: Signals,
    ) -> Result<Self, String> {
        let failed = |what: &str, e: io::Error| format!("{what}: {e}");
        let poll = Poll::new().map_err(|e| failed("cannot poll", e))?;
        let registry = poll.registry();
        let (mut listener, socket) = match &config.listen {
            Listen::Tcp(at) => {
                let passed = config
                    .passed
                    .as_ref()
                    .map(|number| listener::take_passed(number, *at));
                let bound = match passed {
                    Some(Ok(passed)) => Ok(TcpListener::from_std(passed)),
                    Some(Err(why)) => {
                        tracing::warn!("{why}; binding an own one");
                        TcpListener::bind(*at)
                    }
                    None => TcpListener::bind(*at),
                };
                let bound =
                    bound.map_err(|e| failed(&format!("listen: cannot listen at {at}"), e))?;
                (Listener::Tcp(bound), None)
            }
            Listen::Unix(path, mode, users) => {
                let bound = socket::listen(path, *mode).map_err(|why| format!("listen: {why}"))?;
                bound
                    .listener
                    .set_nonblocking(true)
                    .map_err(|e| failed("listen: cannot be polled", e))?;
                (
                    Listener::unix(UnixListener::from_std(bound.listener), users.clone()),
                    Some(bound.file),
                )
            }
        };
        let registered = registry
            .register(&mut listener, LISTENER, Interest::READABLE)
            .and_then(|()| registry.register(&mut signals, SIGNALS, Interest::READABLE));
        registered.map_err(|e| failed("cannot poll", e))?;
        // Where the platform holds the listener, another process of this ingress may be serving at this moment. What callers
        // have proved does not pass to another process, nor does what is kept in memory alone of what was applied.
        let controlled = control::wanted(&config);
        let keeps = !controlled || config.control.state.is_some();
        let passed = config.passed.is_some() && config.enforced.callers.is_none() && keeps;
        let next = match &config.listen {
            Listen::Tcp(at) => passed.then(|| socket_path(*at)),
            Listen::Unix(..) => None,
        };
        let taken = next
            .as_deref()
            .and_then(|path| takeover::ask::<V>(path, config.memory));
        let mut control = None;
        if taken.is_none() {
            let kept = control::open(&mut config)?;
            control = kept
                .map(|k| k.serve(registry, CONTROL))
                .transpose()?
                .flatten();
        }
        let reload = Reload::new(told, &config, status);
        let membership = config.control.membership.as_ref();
        let mut coming = None;
        let mut gate = control.as_ref().map(Port::gate).unwrap_or_default();
        if let Some(Taken { state, right, .. }) = taken.as_ref().filter(|_| controlled) {
            coming = Some(control::follow(
                &config,
                &state.told,
                *right,
                registry,
                CONTROL,
            )?);
            // A member whose right did not come lets nothing in before it has one.
            let none = Right {
                group_version: 0,
                expires_at: None,
                admission_deadline: 0,
            };
            gate = Gate::of(membership.map(|m| right.unwrap_or(none).lease_guard(m)));
        }
        let (inherited, enforced, descriptors) = match taken {
            Some(Taken {
                state,
                enforced,
                descriptors,
                ..
            }) => (Some(state), enforced, descriptors),
            None => (None, config.enforced, Vec::new()),
        };
        let mut descriptors = descriptors.into_iter();
        let socket_of_peers = inherited
            .as_ref()
            .filter(|i| i.peers)
            .and_then(|_| descriptors.next());
        let peers = config.peers.map(|p| {
            let at = p.listen;
            let bound = match socket_of_peers {
                Some(descriptor) => Peers::passed(p, descriptor, registry, PEERS),
                None => Peers::bind(p, registry, PEERS, next.is_some()),
            };
            bound.map_err(|e| failed(&format!("peer_listen: cannot bind {at}"), e))
        });
        let peers = peers.transpose()?;
        let clock = inherited
            .as_ref()
            .map_or_else(Clock::new, |i| Clock::resume(i.clocks));
        let now = clock.now();
        let Enforced {
            settings,
            vocabulary,
            routes,
            callers,
            discovery,
            connect_timeout,
            keepalive,
        } = enforced;
        let longest = settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        let grouped = membership.map_or(0, |m| {
            wrenfork_control_plane::max_descriptors(m.control_sockets.len())
        });
        let budget = Budget::new(config.sockets, config.management.is_some(), grouped)?;
        let management = management::open(config.management, registry, MANAGEMENT, |key| {
            Token(CALLERS + key)
        })?;
        let ledger = Ledger::new(names(&vocabulary));
        let mut tallies = Tallies::default();
        if membership.is_some() {
            tallies.begin();
        }
        tallies.enforce(&settings, &vocabulary);
        let requests = Requests::new(
            settings.limits.max_pending as usize,
            config.memory / MEMORY_SHARE,
        );
        let mut timers = Timers::default();
        timers.set(now + SWEEP, Due::Sweep);
        let mut ingress = Ingress {
            variant,
            poll,
            clock,
            now,
            tick: settings.tick,
            most_attempts: settings.limits.max_attempts as usize,
            asks_discovery: settings.discovery == DiscoveryMode::Poll,
            connect_timeout,
            budget,
            memory: config.memory,
            gateway: Gateway::new(settings, config.seed, now),
            events: VecDeque::new(),
            actions: Vec::new(),
            clients: Clients::new(listener, vocabulary, config.memory / MEMORY_SHARE, |key| {
                Token(FIRST + 2 * key)
            }),
            backends: Backends::new(connect_timeout, keepalive, |key| Token(FIRST + 1 + 2 * key)),
            watch: Watch::new(
                discovery,
                config.sites,
                config.known.index,
                DISCOVERY,
                config.seed,
            ),
            reload,
            routing: Routing::new(routes, !config.platform || controlled),
            socket,
            control,
            coming,
            ledger,
            tallies,
            management,
            calls_more: false,
            peers,
            counter: config
                .counter
                .map(|(at, wait)| Counter::new(at, wait, COUNTER)),
            signals,
            requests,
            timers,
            accept_more: false,
            peers_more: false,
            shutdown: Shutdown::new(longest),
            next,
            offer: None,
            asked_to_hand_over: false,
            told_unfound: false,
        };
        ingress.clients.ask(callers);
        ingress.clients.gate = gate;
        match inherited {
            Some(inherited) => ingress.resume(inherited, descriptors),
            None => ingress.take_roster(config.known, EndpointListKind::Cached),
        }
        ingress.pump();
        ingress.settle();
        tracing::info!("listening at {}", config.listen);
        Ok(ingress)
    }

    /// Runs until told to stop and idle.
    pub fn run(mut self) -> Result<(), String> {
        let mut events = Events::with_capacity(512);
        let mut ready: Vec<(Token, bool, bool)> = Vec::new();
        loop {
            let timeout = self.timeout();
            match self.poll.poll(&mut events, Some(timeout)) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => {
                    return Err(format!("cannot poll: {e}"))
                }
                _ => {}
            }
            // What comes within a tick of the last clock is read with that clock. Sleeping for the rest of the tick
            // instead, for one clock to hold all of it, cost each request two sleeps and 1.7 ms each way.
            let clock = self.clock.now();
            if clock >= self.now + self.tick {
                self.now = clock;
            }
            ready.clear();
            ready.extend(events.iter().map(|e| {
                (
                    e.token(),
                    e.is_writable(),
                    e.is_read_closed() || e.is_error(),
                )
            }));
            self.variant.turn();
            self.turn(&mut ready);
            self.take_orders();
            if self.hand_over() {
                return Ok(());
            }
            if self.may_exit() {
                if let Some(offer) = &self.offer {
                    offer.close();
                }
                if let Some(control) = self.control.take() {
                    control.close();
                }
                self.reload.end();
                if let Some(socket) = &self.socket {
                    socket.remove();
                }
                tracing::info!("stopped");
                return Ok(());
            }
        }
    }

    fn timeout(&self) -> Duration {
        if self.accept_more
            || self.peers_more
            || self.calls_more
            || self.clients.has_more()
            || self.backends.has_more()
        {
            return Duration::ZERO;
        }
        // Nothing falls due before there is a new clock.
        let timer = self.timers.next().min(self.watch.wake_at);
        Duration::from_micros(
            timer
                .max(self.now + self.tick)
                .saturating_sub(self.clock.now()),
        )
    }

    /// One turn: all that came is read with one clock. Discovery comes first, so that a drain that has been told
    /// reaches the module before any send; answers come before the timers that would call them missing.
    fn turn(&mut self, ready: &mut [(Token, bool, bool)]) {
        // Clients that have gone come before all else: nothing that this turn sends may be for them.
        for &(token, _, closed) in ready.iter() {
            if closed && token.0 >= FIRST && (token.0 - FIRST).is_multiple_of(2) {
                self.clients.left((token.0 - FIRST) / 2);
            }
        }
        self.take_incoming();
        ready.sort_unstable_by_key(|r| match r.0 {
            DISCOVERY => 0,
            Token(t) if t >= FIRST && (t - FIRST) % 2 == 1 => 1,
            PEERS => 2,
            _ => 3,
        });
        self.discover(ready.first().is_some_and(|r| r.0 == DISCOVERY));
        if std::mem::take(&mut self.peers_more) {
            self.hear_peers();
        }
        self.backends.read_again(self.clock.now());
        self.pump();
        self.clients.read_again(self.now);
        self.take_incoming();
        for &(token, writable, closed) in ready.iter() {
            match token {
                DISCOVERY | CONTROL => {}
                HANDOVER => self.asked_to_hand_over = true,
                LISTENER => self.accept_more = true,
                SIGNALS => self.take_signals(),
                PEERS => self.hear_peers(),
                MANAGEMENT => self.calls_more = true,
                Token(t) if (CALLERS..FIRST).contains(&t) => self.hear_caller(t - CALLERS),
                COUNTER => {
                    if let Some(counter) = &mut self.counter {
                        counter.ready(self.now);
                    }
                    self.pump();
                }
                Token(t) if (t - FIRST) % 2 == 1 => {
                    // The true time: a connection rests for less than a tick.
                    self.backends
                        .ready((t - FIRST) / 2, self.clock.now(), writable, closed);
                    self.pump();
                }
                Token(t) => {
                    self.clients.ready((t - FIRST) / 2, self.now, writable);
                    self.take_incoming();
                }
            }
        }
        if std::mem::take(&mut self.accept_more) {
            self.accept();
        }
        self.fire();
        self.clients.flush(self.now);
        self.feed();
        self.clients.grant(self.requests.held(), self.now);
        self.take_incoming();
        // Last, so that the figures hold all that this turn brought.
        if std::mem::take(&mut self.calls_more) {
            self.accept_callers();
        }
    }

    // ---- Operators ----

    fn accept_callers(&mut self) {
        let Some(management) = &mut self.management else {
            return;
        };
        self.calls_more = management.accept(self.poll.registry(), self.now);
        self.answer_callers();
    }

    fn hear_caller(&mut self, key: usize) {
        let Some(management) = &mut self.management else {
            return;
        };
        management.ready(key);
        self.answer_callers();
    }

    fn answer_callers(&mut self) {
        let asked = self
            .management
            .as_mut()
            .map_or(Vec::new(), |m| std::mem::take(&mut m.asked));
        for asked in asked {
            let answer = match asked.ask {
                Ask::Ready => match self.unready() {
                    None => "+OK ready\r\n".into(),
                    Some(why) => format!("-ERR {why}\r\n"),
                },
                Ask::Telemetry => format!("+OK\n{}.\n", self.telemetry()),
            };
            if let Some(management) = &mut self.management {
                management.answer(&asked, answer);
            }
        }
    }

    /// Why a request that came now would not be served; none if it would.
    fn unready(&self) -> Option<&'static str> {
        if self.shutdown.begun() {
            return Some("stopping");
        }
        if !self.clients.gate.open() {
            return Some("too few members of its group answer");
        }
        (self.backends.listed() == 0).then_some("no backend is listed")
    }

    fn telemetry(&self) -> String {
        let now = Now {
            relayed: self.backends.relayed,
            open: self.requests.owing_count(),
            listed: self.backends.listed(),
            avoided: self
                .backends
                .listed()
                .saturating_sub(self.gateway.backends_in_rotation()),
        };
        self.ledger.telemetry(&now)
    }

    // ---- From one process to the next ----

    /// Takes what a process that ends, or ended, leaves free: the offer's place and the peers' address.
    fn settle(&mut self) {
        let registry = self.poll.registry();
        let Some(path) = self.next.as_deref().filter(|_| !self.shutdown.begun()) else {
            return;
        };
        if self.offer.is_none() {
            match Offer::open(path, registry, HANDOVER) {
                Ok(offer) => self.offer = Some(offer),
                Err(why) if !std::mem::replace(&mut self.told_unfound, true) => {
                    tracing::warn!("handover: the next process can't find this one yet: {why}");
                }
                Err(_) => {}
            }
        }
        if let Some(peers) = self.peers.as_mut().filter(|p| !p.bound()) {
            if peers.bind_again(registry, PEERS).is_ok() {
                tracing::info!("peer_listen: bound");
            }
        }
    }

    /// Hands all over to a process that asks for it; true if it is that one's. Between two turns nothing is half done.
    fn hand_over(&mut self) -> bool {
        if !std::mem::take(&mut self.asked_to_hand_over) {
            return false;
        }
        while let Some(caller) = self.offer.as_ref().and_then(Offer::next::<V>) {
            let began = self.clock.now();
            let given = match caller {
                Ok(Caller::Successor { successor, layout }) => self.give(successor, layout),
                Ok(Caller::Supervisor(lender)) => {
                    if let Some(Err(why)) = self
                        .clients
                        .listening()
                        .map(|listener| lender.lend(listener))
                    {
                        tracing::warn!("handover: {why}");
                    }
                    continue;
                }
                Err(why) => Err(why),
            };
            let mut successor = match given {
                Ok(successor) => successor,
                Err(why) => {
                    tracing::warn!("handover: {why}; going on as before");
                    continue;
                }
            };
            let mut descriptors: Vec<OwnedFd> = self
                .peers
                .take()
                .and_then(Peers::into_descriptor)
                .into_iter()
                .collect();
            descriptors.extend(self.clients.take_descriptors());
            descriptors.extend(self.backends.take_descriptors());
            let count = descriptors.len();
            if let Err(why) = successor.send_descriptors(descriptors) {
                tracing::error!("handover: {why}: what had not passed is lost");
            }
            let took = self.clock.now().saturating_sub(began);
            tracing::info!(
                connections = count,
                took_us = took,
                "handed over to the next process"
            );
            return true;
        }
        false
    }

    /// Gives all away, with the control side where there is one. With an error it is this process's as before.
    fn give(&mut self, mut successor: Successor, layout: u32) -> Result<Successor, String> {
        // One that was told to stop ends by itself, and the next one begins anew.
        if self.shutdown.begun() {
            return Err("told to stop".into());
        }
        if self.clients.words.asks {
            return Err("what callers have proved does not pass to another process".into());
        }
        if self.coming.is_some() {
            return Err("what the process before kept has not come yet".into());
        }
        let Some(control) = self.control.take() else {
            self.take_incoming();
            let bytes = takeover::bytes::<V>(layout, &self.given(), None)?;
            return successor
                .hand_over(&bytes)
                .map(|()| successor)
                .map_err(|error| error.to_string());
        };
        let ingress = std::cell::RefCell::new(self);
        let given = control.hand_over(
            |orders| ingress.borrow_mut().carry_out_orders(orders),
            |right| {
                let mut this = ingress.borrow_mut();
                this.take_incoming();
                let bytes = takeover::bytes::<V>(layout, &this.given(), right)?;
                successor
                    .hand_over(&bytes)
                    .map_err(|error| error.to_string())
            },
        );
        if given.is_err() {
            ingress.into_inner().control = Some(control);
        }
        given.map(|()| successor)
    }

    fn given(&self) -> Given<'_> {
        Given {
            told: self.reload.told(),
            clocks: self.clock.both(),
            now: self.now,
            gateway: &self.gateway,
            requests: &self.requests,
            timers: &self.timers,
            watch: (self.watch.address(), self.watch.index()),
            peers: self.peers.as_ref().is_some_and(Peers::bound),
            clients: self.clients.save(),
            backends: self.backends.save(),
        }
    }

    /// Goes on where another process stopped.
    fn resume(&mut self, inherited: Inherited, mut descriptors: impl Iterator<Item = OwnedFd>) {
        let Inherited {
            told,
            now,
            gateway,
            requests,
            timers,
            watch,
            clients,
            backends,
            ..
        } = inherited;
        let registry = self.poll.registry();
        let connections = clients.len() + backends.len();
        self.now = now;
        self.gateway = gateway;
        (self.requests, self.timers) = (requests, timers);
        self.requests.within(self.memory / MEMORY_SHARE);
        self.clients.resume(clients, &mut descriptors, registry);
        self.backends.resume(backends, &mut descriptors, registry);
        self.watch.resume(watch);
        (self.accept_more, self.peers_more) = (true, true);
        self.take_incoming();
        if let Some(enforced) = self.reload.resume(told, self.coming.is_none()) {
            drop(self.switch(*enforced));
        }
        tracing::info!(connections, "taken over from the process before");
    }

    // ---- Changes ----

    /// Takes what the control side asks for, between two turns.
    fn take_orders(&mut self) {
        if let Some((port, stands)) = self.coming.as_ref().and_then(Coming::take) {
            self.coming = None;
            self.clients.gate = port.gate();
            self.control = Some(port);
            if let Some((enforced, state)) = stands {
                self.reload.stands(state.0);
                drop(self.switch(*enforced));
            }
        }
        let orders = self.control.as_ref().map_or(Vec::new(), Port::orders);
        self.carry_out_orders(orders);
    }

    fn carry_out_orders(&mut self, orders: Vec<Order>) {
        for order in orders {
            // Whoever asked may have given up: the answer is lost then, and nothing else.
            match order {
                Order::Switch(enforced, state, done) => {
                    self.reload.stands(state.0);
                    let old = self.switch(*enforced);
                    let _ = done.send(old);
                }
                Order::Figures(done) => drop(done.send(self.figures())),
                Order::Tally(done) => drop(done.send(self.tallies.tally(&self.clients.words))),
            }
        }
    }

    /// Enforces a new generation: requests that are open end under the one in which they came. What they were read by comes
    /// back.
    fn switch(&mut self, enforced: Enforced) -> Vocabulary {
        let Enforced {
            settings,
            vocabulary,
            routes,
            callers,
            discovery,
            connect_timeout,
            keepalive,
        } = enforced;
        self.clients.ask(callers);
        self.most_attempts = settings.limits.max_attempts as usize;
        self.connect_timeout = connect_timeout;
        self.requests.allow(settings.limits.max_pending as usize);
        self.backends.allow(connect_timeout, keepalive);
        self.shutdown.longest(
            settings
                .classes
                .iter()
                .map(|c| c.deadline)
                .max()
                .unwrap_or(0),
        );
        self.tallies.enforce(&settings, &self.clients.words);
        let old = std::mem::replace(&mut self.clients.words, vocabulary);
        self.ledger.name(names(&self.clients.words));
        if self.watch.address() != discovery {
            self.watch.move_to(discovery, self.now);
        }
        self.events
            .push_back(Event::SettingsChanged(Box::new(settings)));
        // Which node is of which pool comes at once behind the pools.
        if let Some(list) = self.routing.change(routes) {
            self.events
                .push_back(Event::EndpointsChanged(EndpointListKind::Full, list));
        }
        self.pump();
        old
    }

    fn figures(&self) -> IngressMetrics {
        let ended = |end| self.ledger.all(end);
        let (served, refused, failed) =
            (ended(End::Served), ended(End::Refused), ended(End::Failed));
        let taken = self.ledger.taken;
        let names = self.clients.words.plans.iter();
        let plans = names
            .zip(self.gateway.plan_usage())
            .filter(|(name, u)| !name.is_empty() && u.customers > 0);
        let plans = plans.map(|(name, u)| {
            (
                name.clone(),
                PlanUsage {
                    customers: u.customers,
                    rate: u.rate,
                    open_attempts: u.in_flight,
                },
            )
        });
        let classes = &self.clients.words.classes;
        let nodes = self.routing.seen(|id| {
            let status = self.gateway.backend_status(id);
            (
                status.accepts_work,
                status
                    .ejected_for
                    .into_iter()
                    .filter_map(|k| classes.get(k))
                    .map(|c| c.0.clone())
                    .collect(),
            )
        });
        IngressMetrics {
            received: taken,
            served,
            rejected: refused,
            failed,
            plans: plans.collect(),
            nodes,
        }
    }

    // ---- What comes in ----

    fn discover(&mut self, ready: bool) {
        let (now, registry, mut came) = (self.now, self.poll.registry(), Vec::new());
        let mut failed = ready
            && self
                .watch
                .ready(now, registry, &mut |roster| came.push(roster));
        failed |= self.watch.wake(now, registry);
        for roster in came {
            let kind = if roster.whole {
                EndpointListKind::Full
            } else {
                EndpointListKind::Delta
            };
            self.take_roster(roster, kind);
        }
        if failed && self.asks_discovery {
            self.events.push_back(Event::EndpointsChanged(
                EndpointListKind::Failed,
                Vec::new(),
            ));
        }
        self.pump();
    }

    fn take_roster(&mut self, mut roster: Roster, kind: EndpointListKind) {
        self.routing.member(&mut roster);
        self.backends.update(&roster);
        if kind != EndpointListKind::Delta || !roster.entries.is_empty() {
            let list = roster.entries.iter().map(|e| e.listed).collect();
            self.events.push_back(Event::EndpointsChanged(kind, list));
        }
    }

    fn hear_peers(&mut self) {
        let events = &mut self.events;
        if let Some(peers) = &mut self.peers {
            self.peers_more |=
                peers.receive(|from, bytes| events.push_back(Event::PeerMessage { from, bytes }));
        }
        self.pump();
    }

    fn take_signals(&mut self) {
        // All that came since the last look, several of one kind as one.
        let came: Vec<i32> = self.signals.pending().collect();
        if came.contains(&SIGHUP) && (self.control.is_some() || self.coming.is_some()) {
            self.reload
                .refuse("changes are planned and applied here, with wrenctl plan and apply");
        } else if came.contains(&SIGHUP) {
            self.reload.asked();
            self.reload();
        }
        if came.iter().any(|s| matches!(*s, SIGTERM | SIGINT)) {
            self.shutdown.begin(self.now, &mut self.timers);
        }
    }

    /// Reads the configuration again and takes what it says, or tries that again later.
    fn reload(&mut self) {
        match self.reload.read(self.now) {
            Ok(enforced) => drop(self.switch(*enforced)),
            Err(Some(at)) => self.timers.set(at, Due::Reload),
            Err(None) => {}
        }
        (self.ledger.accepted, self.ledger.invalid) = self.reload.verdicts();
    }

    fn accept(&mut self) {
        let (budget, backends, now) = (self.budget, &mut self.backends, self.now);
        let (count, idle) = (backends.len(), backends.any_idle());
        let may = |clients: &Clients| budget.accepts(clients, count, idle);
        let room = |clients: &mut Clients| budget.client(clients, backends, now);
        match self
            .clients
            .accept(self.poll.registry(), self.now, may, room)
        {
            Accepted::All => {}
            Accepted::More => self.accept_more = true,
            // The poll tells of each arrival once: who waits now must not wait for the next one to come.
            Accepted::NoRoom => self.timers.set(self.now + ACCEPT_AGAIN, Due::Accept),
        }
        self.take_incoming();
    }

    fn take_incoming(&mut self) {
        while let Some(incoming) = self.clients.incoming.pop_front() {
            match incoming {
                Incoming::Call(id, origin, call) => self.take_call(id, origin, call),
                Incoming::Gone(id) => {
                    if let Some(open) = self.requests.owing(id) {
                        open.over = true;
                        let passing = open.passing;
                        self.events.push_back(Event::ClientDisconnected(id));
                        // Nobody reads on: the module calls nothing off that is the client's.
                        if let Some(attempt) = passing {
                            self.abandon(id, attempt, None, |_| Outcome::Cancelled);
                        }
                    }
                    self.forget(id);
                }
                Incoming::Ended(class, end) => self.ledger.ended(class, end),
            }
            self.pump();
        }
    }

    fn take_call(&mut self, id: RequestId, origin: Origin, call: Call) {
        let name = match self.requests.place(&call) {
            Place::Free(name) => name,
            Place::Taken => {
                self.ledger.ended(call.request.class, End::Failed);
                return self.clients.reject(origin, "the id is not new");
            }
            // Never let in, so trying again is harmless.
            Place::Full => {
                self.ledger.ended(call.request.class, End::Refused);
                self.tallies.turned_away(&call.request);
                return self.clients.answer(origin, b"-BUSY\r\n");
            }
        };
        // The module's deadline is a little before the client's: the last answer has a way to go.
        let wait = call.wait.min(LONGEST_WAIT);
        let early = (2 * self.tick + ON_THE_WAY).min(wait / 4);
        let mut request = call.request;
        (request.id, request.deadline) = (id, self.now + wait - early);
        self.routing.route(&mut request);
        // One timer for all of it: nearly every request is answered long before, and each timer costs a place in the
        // heap until its time comes.
        self.timers.set(request.deadline, Due::Deadline(id));
        let times = (request.deadline, request.deadline + early);
        self.requests
            .insert(id, call, name, origin, times, self.most_attempts);
        self.ledger.taken += 1;
        self.events.push_back(Event::Request(request));
    }

    // ---- Time ----

    fn fire(&mut self) {
        for one in self.timers.take(self.now) {
            match one {
                Due::Module(token) => self.events.push_back(Event::Timer(token)),
                Due::Expire(id, attempt) => self.expire(id, attempt),
                Due::Deadline(id) => self.deadline(id),
                Due::Overdue(id) if self.requests.get(id).is_some_and(|o| o.passing.is_some()) => {}
                Due::Overdue(id) => self.overdue(id),
                Due::Connect(link) => self.backends.connect_overdue(link, self.now),
                Due::Race(link) => self.race(link),
                Due::Probe(link, backend, began) => {
                    if let Some(sent) = self.backends.abandon(link, Some(self.now)) {
                        let outcome = if sent {
                            Outcome::TimedOut
                        } else {
                            Outcome::ConnectFailed
                        };
                        let took = self.now - began;
                        self.events.push_back(Event::HealthChecked {
                            backend,
                            outcome,
                            elapsed: took,
                            report: None,
                        });
                    }
                }
                Due::Sweep => {
                    self.backends.sweep(self.now);
                    self.clients.sweep(self.now);
                    self.requests.sweep(self.now);
                    self.settle();
                    if let Some(management) = &mut self.management {
                        management.sweep(self.now);
                    }
                    if let Some(counter) = &mut self.counter {
                        counter.sweep(self.now);
                    }
                    self.timers.set(self.now + SWEEP, Due::Sweep);
                }
                Due::Count => {
                    if let Some(counter) = &mut self.counter {
                        counter.overdue(self.now);
                    }
                }
                Due::Accept => self.accept(),
                Due::Reload => self.reload(),
                Due::Close => {
                    self.accept(); // those that the kernel took in meanwhile are ours as well
                    let latest = self.clients.accepted_at;
                    let coming = self
                        .shutdown
                        .still_coming(self.now, latest, &mut self.timers);
                    self.clients.drain(self.now, coming);
                    self.take_incoming();
                }
                Due::Last => {
                    self.clients.end();
                    self.requests
                        .ids()
                        .into_iter()
                        .for_each(|id| self.overdue(id));
                }
            }
            self.pump();
        }
    }

    /// Gives an attempt up whose time is over. It may have run only if its last byte was written.
    fn expire(&mut self, id: RequestId, attempt: u16) {
        if self
            .requests
            .get(id)
            .is_some_and(|o| o.passing == Some(attempt))
        {
            return; // from its first byte on nothing but a standstill ends it
        }
        let outcome = |sent| {
            if sent {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            }
        };
        self.abandon(id, attempt, Some(self.now), outcome);
    }

    /// Gives up what is out of a request.
    fn deadline(&mut self, id: RequestId) {
        let Some(open) = self.requests.get(id).filter(|o| o.passing.is_none()) else {
            return;
        };
        let attempts = u16::try_from(open.attempts.len()).unwrap_or(u16::MAX);
        self.timers.set(open.overdue, Due::Overdue(id));
        (0..attempts).for_each(|attempt| self.expire(id, attempt));
    }

    fn abandon(
        &mut self,
        id: RequestId,
        attempt: u16,
        overdue: Option<Micros>,
        outcome: impl Fn(bool) -> Outcome,
    ) {
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let Some(a) = open.attempts.get_mut(usize::from(attempt)) else {
            return;
        };
        let Some(sent) = a.link.and_then(|link| self.backends.abandon(link, overdue)) else {
            return;
        };
        a.link = None;
        let who = (a.backend, a.began);
        self.events.push_back(settled(
            id,
            attempt,
            who,
            outcome(sent),
            open.over,
            self.clock.now(),
        ));
        self.forget(id);
    }

    /// A request without its final answer when the client's time is over is failed: the module should never let it
    /// come to this, but no client is left without a word.
    fn overdue(&mut self, id: RequestId) {
        if self.requests.owing(id).is_some() {
            self.fail(id);
            self.events.push_back(Event::ClientDisconnected(id));
        }
    }

    // ---- What the module asks for ----

    /// Feeds what has come and carries out what is asked, until neither leaves anything.
    fn pump(&mut self) {
        loop {
            while let Some(link) = self.backends.raced() {
                self.race(link);
            }
            while let Some((link, id, until)) = self.backends.opened() {
                // What it says of the time left is as old as its begin.
                let now = self.clock.now();
                if let Some(open) = self.requests.get(id) {
                    self.backends.write_anew(link, now, |out| {
                        open.call.write(until.saturating_sub(now), out)
                    });
                }
            }
            while let Some(link) = self.backends.flow() {
                self.pass_on(link);
            }
            for done in std::mem::take(&mut self.backends.done) {
                self.finish(done);
            }
            if let Some(counter) = &mut self.counter {
                let counted = |Counted {
                                   name,
                                   outcome,
                                   total,
                               }| Event::CounterUpdated {
                    counter: name,
                    outcome,
                    total,
                };
                self.events.extend(counter.done.drain(..).map(counted));
            }
            let Some(event) = self.events.pop_front() else {
                return;
            };
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(self.now, event, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.actions = actions;
        }
    }

    /// Passes on what has come of a long answer, as far as its client has room for it.
    fn pass_on(&mut self, link: Link) {
        let Some((Work::Attempt(id, attempt), began)) = self.backends.flowing(link) else {
            return;
        };
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        if open.over || open.passing.is_some_and(|first| first != attempt) {
            return self.abandon(id, attempt, None, |_| Outcome::Cancelled); // another one was first
        }
        let origin = open.origin;
        if open.passing.is_none() {
            // Once some of it has passed on, only the end of the connection can tell that it broke; where that is owed to others,
            // it is read whole first.
            if self.clients.shares(origin) && self.backends.hold(link, self.clients.spare(), now) {
                return;
            }
            open.passing = Some(attempt);
            if let Some(a) = open.attempts.get_mut(usize::from(attempt)) {
                a.took = Some(now.saturating_sub(began));
            }
            self.events.push_back(Event::FirstByte { id, attempt });
        }
        if let Some(out) = self.clients.passing(origin) {
            self.backends.pull(link, out, now);
            self.clients.passed(origin);
        }
    }

    /// Goes on with the long answers whose clients have room again.
    fn feed(&mut self) {
        let mut hungry = std::mem::take(&mut self.clients.hungry);
        for id in hungry.drain(..) {
            let open = self.requests.get(id);
            let attempt = open.and_then(|o| o.attempts.get(usize::from(o.passing?)));
            if let Some(link) = attempt
                .and_then(|a| a.link)
                .filter(|link| self.backends.waits(*link))
            {
                self.pass_on(link);
            }
        }
        if self.clients.hungry.is_empty() {
            self.clients.hungry = hungry;
        }
        self.pump();
    }

    /// An attempt or a probe has ended.
    fn finish(&mut self, done: Done) {
        let Done {
            work,
            backend,
            outcome,
            began,
            report,
            value,
        } = done;
        let mut took = self.clock.now().saturating_sub(began);
        let (id, attempt) = match work {
            Work::Attempt(id, attempt) => (id, attempt),
            Work::Probe => {
                return self.events.push_back(Event::HealthChecked {
                    backend,
                    outcome,
                    elapsed: took,
                    report,
                })
            }
            Work::Race(_) => return, // it has nothing of its own to end
        };
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(a) = open.attempts.get_mut(usize::from(attempt)) {
            a.link = None;
            took = a.took.unwrap_or(took); // how long a client reads says nothing of the backend
        }
        if open.passing == Some(attempt) && outcome != Outcome::Ok {
            self.cut(id);
        }
        if outcome == Outcome::Ok {
            // The first one is the final answer.
            match self.spoils(id) {
                true => self.fail(id),
                false => self.answer(id, &value, End::Served),
            }
        }
        let complete = self.requests.get(id).is_none_or(|o| o.over);
        let (metered, charged) = (None, None);
        self.events.push_back(Event::AttemptCompleted {
            id,
            attempt,
            backend,
            outcome,
            complete,
            elapsed: took,
            metered_usage: metered,
            charged_units: charged,
            report,
        });
        self.forget(id);
    }

    /// Whether this version of the program makes a failure of what was served; the shipped one never.
    fn spoils(&mut self, id: RequestId) -> bool {
        if !V::SPOILS {
            return false;
        }
        let open = self.requests.owing_count();
        let (Some(request), words) = (self.requests.get(id), &self.clients.words) else {
            return false;
        };
        let request = &request.call.request;
        let class = words
            .classes
            .get(usize::from(request.class))
            .map_or("", |c| c.0.as_str());
        let plan = words
            .plans
            .get(usize::from(request.plan))
            .map_or("", String::as_str);
        self.variant.spoils(class, plan, open)
    }

    /// Gives the final answer, once: here, and nowhere else, a request that was let in ends.
    fn answer(&mut self, id: RequestId, text: &[u8], end: End) {
        if let Some(open) = self.requests.owing(id) {
            open.over = true;
            self.ledger.ended(open.call.request.class, end);
            self.tallies.ended(open, end, self.now, &self.gateway);
            self.clients.answer(open.origin, text);
        }
        self.forget(id);
    }

    /// Ends a request whose answer had begun to pass on and can't be finished.
    fn cut(&mut self, id: RequestId) {
        if let Some(open) = self.requests.owing(id) {
            open.over = true;
            self.ledger.ended(open.call.request.class, End::Failed);
            self.tallies
                .ended(open, End::Failed, self.now, &self.gateway);
            self.clients.cut(open.origin, FAILED);
        }
    }

    fn fail(&mut self, id: RequestId) {
        if self.requests.get(id).is_some_and(|o| o.passing.is_some()) {
            return self.cut(id);
        }
        self.answer(id, FAILED, End::Failed);
    }

    /// Forgets a request that is over once nothing is out of it. What is not written whole by then is called off here, also
    /// where the settings let nothing be called off: nobody waits for it, and it has not begun.
    fn forget(&mut self, id: RequestId) {
        if let Some(open) = self.requests.get(id).filter(|o| o.over) {
            let unsent = |a: &Attempt| a.link.is_some_and(|l| self.backends.sent(l) == Some(false));
            let next = open.attempts.iter().position(unsent);
            if let Some(attempt) = next.and_then(|n| u16::try_from(n).ok()) {
                // It comes back here, for the next one.
                return self.abandon(id, attempt, None, |_| Outcome::NotSent);
            }
        }
        self.requests.forget(id, self.now);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send {
                id,
                backend,
                expires_at,
                start_by,
            } => self.send(id, backend, expires_at, start_by),
            Action::Reject {
                id,
                retry_after: pause,
            } => {
                let mut text = [0; 40];
                let mut rest = &mut text[..];
                let _ = match pause {
                    0 => write!(rest, "-BUSY\r\n"),
                    _ => write!(rest, "-BUSY {}\r\n", pause.div_ceil(1000)),
                };
                let left = rest.len();
                self.answer(id, &text[..40 - left], End::Refused);
            }
            Action::Fail(id) => self.fail(id),
            Action::Cancel { id, attempt } => {
                self.abandon(id, attempt, None, |_| Outcome::Cancelled)
            }
            Action::SetTimer { delay, token } => {
                self.timers
                    .set(self.now.saturating_add(delay), Due::Module(token));
            }
            Action::SendToPeer { to, bytes } => {
                if let Some(peers) = &self.peers {
                    (0..V::COPIES).for_each(|_| peers.tell(to, &bytes));
                }
            }
            Action::CheckHealth(backend) => self.probe(backend),
            Action::CloseIdleConnections(backend) => self.backends.close_idle(backend),
            // The watch is always on: a real ingress must keep one in any case.
            Action::WatchEndpoints(_) => {}
            Action::FetchEndpoints => self.watch.fetch_whole(),
            Action::AddToCounter {
                counter: name,
                delta,
                lifetime,
            } => self.count(name, delta, lifetime),
            Action::Log(event) => tracing::info!("{event}"),
        }
    }

    fn send(&mut self, id: RequestId, backend: BackendId, expires: Micros, begin_by: Micros) {
        let Some(open) = self.requests.get_mut(id) else {
            // Ended and forgotten: there is no attempt to count.
            return self.events.push_back(settled(
                id,
                0,
                (backend, self.now),
                Outcome::NotSent,
                true,
                self.now,
            ));
        };
        let number = open.attempts.len();
        let attempt = u16::try_from(number).unwrap_or(u16::MAX);
        let until = if expires == 0 {
            open.deadline
        } else {
            expires.min(open.deadline)
        };
        open.attempts.push(Attempt {
            backend,
            began: self.now,
            link: None,
            took: None,
        });
        if open.over || until <= self.now || number >= open.most {
            let event = settled(
                id,
                attempt,
                (backend, self.now),
                Outcome::NotSent,
                open.over,
                self.now,
            );
            return self.events.push_back(event);
        }
        if !self.make_room(backend) {
            let outcome = Outcome::ConnectFailed;
            let event = settled(id, attempt, (backend, self.now), outcome, false, self.now);
            return self.events.push_back(event);
        }
        let (registry, work, wait) = (
            self.poll.registry(),
            Work::Attempt(id, attempt),
            until - self.now,
        );
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        // How long an attempt takes is measured to the microsecond: by the turns' clock one that is answered within
        // a tick would take no time at all.
        let began = self.clock.now();
        open.attempts[number].began = began;
        let begin_by = begin_by.min(until);
        let begun = self
            .backends
            .begin(registry, backend, work, (began, begin_by, until), |out| {
                open.call.write(wait, out);
                open.call.body()
            });
        if let Some((link, connecting)) = begun {
            open.attempts[number].link = Some(link);
            if until < open.deadline {
                self.timers.set(until, Due::Expire(id, attempt));
            }
            if connecting {
                self.timers.set(
                    (self.now + self.connect_timeout).min(begin_by),
                    Due::Connect(link),
                );
                if let Some(at) = self.backends.race_due(link) {
                    self.timers.set(at, Due::Race(link));
                }
            }
        }
    }

    /// Goes on with the connects to a node that has several addresses.
    fn race(&mut self, link: Link) {
        let (now, room) = (
            self.clock.now(),
            self.budget.beside(&self.clients, &self.backends),
        );
        if let Some(at) = self.backends.race(self.poll.registry(), link, now, room) {
            self.timers.set(at, Due::Race(link));
        }
    }

    fn make_room(&mut self, backend: BackendId) -> bool {
        self.budget.backend(
            backend,
            self.clock.now(),
            &mut self.clients,
            &mut self.backends,
        )
    }

    fn probe(&mut self, backend: BackendId) {
        if !self.make_room(backend) {
            let (outcome, took) = (Outcome::ConnectFailed, 0);
            return self.events.push_back(Event::HealthChecked {
                backend,
                outcome,
                elapsed: took,
                report: None,
            });
        }
        let fill = |out: &mut Vec<u8>| {
            resp::put_array(out, 2);
            resp::put_bulk(out, &[b"INFO"]);
            resp::put_bulk(out, &[b"load"]);
            None
        };
        let until = self.now + self.connect_timeout;
        let times = (self.now, until, until);
        let begun = self
            .backends
            .begin(self.poll.registry(), backend, Work::Probe, times, fill);
        if let Some((link, _)) = begun {
            if let Some(at) = self.backends.race_due(link) {
                self.timers.set(at, Due::Race(link));
            }
            let due = Due::Probe(link, backend, self.now);
            self.timers.set(self.now + self.connect_timeout, due);
        }
    }

    fn count(&mut self, name: u64, delta: f64, lifetime: Micros) {
        let (now, registry) = (self.now, self.poll.registry());
        match &mut self.counter {
            Some(counter) => {
                if let Some(at) = counter.call((name, delta, lifetime), now, registry) {
                    self.timers.set(at, Due::Count);
                }
            }
            // There is none: nothing was added.
            None => {
                let (outcome, total) = (Outcome::ConnectFailed, 0.0);
                self.events.push_back(Event::CounterUpdated {
                    counter: name,
                    outcome,
                    total,
                });
            }
        }
    }

    // ---- The end ----

    /// Whether all that was taken is answered, and nobody is left who might say more.
    fn may_exit(&self) -> bool {
        let (clients, more) = (self.clients.len(), self.clients.has_more());
        !self.requests.owe()
            && self
                .shutdown
                .may_exit(self.now, clients, more, || self.clients.busy() > 0)
    }
}
