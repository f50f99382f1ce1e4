//! The rig runs real ingress processes against stand-ins on sockets. One thread with one event loop plays the clients, backends,
//! discovery and the network. All observations have times of one clock, so that they are in order.

pub mod address;
mod backends;
mod clients;
mod context;
mod counter;
mod discovery;
mod group;
mod ingress_config;
mod peers;
mod pipe;
mod processes;
mod relays;
#[cfg(test)]
mod tests;

use crate::arrivals::{Arrivals, HOT};
use crate::judge::{Judge, Seen};
use crate::report::{Lateness, Report};

pub use crate::report::Snapshot;
use crate::scenario::{Fault, Leg, LegFault, Micros, Scenario, SECOND};
use backends::{BackendDue, Backends, Mode};
use clients::Clients;
use context::{decode_token, Component, Context, Due};
use counter::Counter;
use discovery::{AgentMode, Discovery, Line};
use group::{Group, MemberAddresses};
use ingress_config::Addresses;
use mio::{Events, Poll};
use peers::Peers;
use processes::{Ended, ProcessDue, Processes};
use relays::Relays;
use serde_json::Value;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long the ingresses may take until all are ready.
const READY_TIMEOUT: Micros = 10 * SECOND;
/// How long the run goes on after the last deadline, so that attempts sent too late are seen.
const RUN_ON: Micros = 300_000;
/// The delay from the death of a backend until discovery removes it.
const REMOVAL_DELAY: Micros = 500_000;
/// How long a backend drains before it is replaced.
const DRAIN_TIME: Micros = 1_500_000;
/// The time between two snapshots.
const SNAPSHOT_INTERVAL: Micros = 250_000;

/// The reason why a run could not be set up or finished.
#[derive(Debug)]
pub struct RigError(pub String);

impl std::fmt::Display for RigError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RigError {}

/// Turns an I/O error into a [`RigError`] with a description of the failed action.
fn with_context<T>(action: &str, result: io::Result<T>) -> Result<T, RigError> {
    result.map_err(|e| RigError(format!("{action}: {e}")))
}

/// The parameters of a run.
pub struct Run<'a> {
    /// The ingress executable.
    pub program: &'a Path,
    /// Ends the run early, with a report, once set.
    pub stop: &'a AtomicBool,
    /// Receives a snapshot four times a second. Each snapshot reads the logs of the ingresses.
    pub watch: Option<&'a mut dyn FnMut(&Snapshot)>,
}

struct Rig<'a> {
    scenario: &'a Scenario,
    context: Context,
    clients: Clients,
    backends: Backends,
    discovery: Discovery,
    peers: Peers,
    counter: Option<Counter>,
    relays: Relays,
    processes: Processes,
    judge: Judge,
    arrivals: Arrivals,
    begin: Micros,
    began: bool,
    crashes: Vec<String>,
    log: Vec<String>,
    listens: Vec<SocketAddr>,
    configs: Vec<Value>,
    failed: Option<RigError>,
}

/// Runs a scenario and reports what the judge found.
///
/// # Errors
///
/// If the rig cannot be set up, as a port is in use or an ingress does not start or become ready, or if a component fails during
/// the run. No process is left running.
pub fn play(scenario: &Scenario, run: Run) -> Result<Report, RigError> {
    let mut watch = run.watch;
    let dir = with_context(
        "cannot make a folder for the ingresses' files",
        tempfile::tempdir(),
    )?;
    raise_limit();
    let mut poll = with_context("cannot poll", Poll::new())?;
    let registry = with_context("cannot poll", poll.registry().try_clone())?;
    let mut rig = Rig::set_up(scenario, run.program, dir.path(), Context::new(registry))?;
    rig.processes.pin_rig_thread();
    let mut events = Events::with_capacity(1024);
    let ready_by = rig.context.now + READY_TIMEOUT;
    for ingress in 0..rig.listens.len() {
        rig.start(ingress)?;
    }
    rig.context.after(0, Due::Process(ProcessDue::Measure));
    let mut next_snapshot = 0;
    let end = loop {
        let now = rig.context.read_clock();
        if rig.began && now >= next_snapshot {
            next_snapshot = now + SNAPSHOT_INTERVAL;
            if let Some(watch) = &mut watch {
                watch(&rig.snapshot());
            }
        }
        if !rig.began && rig.clients.all_ready() {
            rig.begin();
        }
        if !rig.began && now > ready_by {
            return Err(rig.never_ready());
        }
        if run.stop.load(Ordering::Relaxed) || rig.is_over(now) {
            break now;
        }
        let wait = rig
            .context
            .next_time()
            .map_or(SNAPSHOT_INTERVAL, |at| at.saturating_sub(now))
            .min(SNAPSHOT_INTERVAL / 10);
        match poll.poll(&mut events, Some(Duration::from_micros(wait))) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => {
                return Err(RigError(format!("cannot poll: {e}")))
            }
            _ => {}
        }
        for event in events.iter() {
            let (component, key) = decode_token(event.token());
            rig.handle_ready(component, key);
        }
        while let Some(due) = rig.context.next_due(rig.began) {
            rig.handle_due(due);
        }
        rig.reap();
        rig.report_to_judge();
        if let Some(e) = rig.failed.take() {
            return Err(e);
        }
    };
    rig.report_to_judge();
    rig.judge.finish(end);
    rig.processes.end();
    Ok(rig.report(end))
}

/// Raises the descriptor limit to the maximum: hundreds of backends need more than the default of a shell.
fn raise_limit() {
    use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
    let limit = getrlimit(Resource::Nofile);
    let _ = setrlimit(
        Resource::Nofile,
        Rlimit {
            current: limit.maximum,
            maximum: limit.maximum,
        },
    );
}

impl<'a> Rig<'a> {
    fn set_up(
        s: &'a Scenario,
        program: &Path,
        dir: &Path,
        mut context: Context,
    ) -> Result<Rig<'a>, RigError> {
        let count = usize::from(s.ingresses.count);
        if !program.exists() {
            return Err(RigError(format!(
                "there is no program at {}; build it first",
                program.display()
            )));
        }
        let listens = (0..count)
            .map(|n| listen_at(s, n))
            .collect::<Result<Vec<_>, _>>()?;
        let backends = with_context("cannot open the backends", Backends::open(s, &mut context))?;
        let mut relays = Relays::new();
        let legs: HashSet<(u8, usize)> = s
            .steps
            .iter()
            .filter_map(|step| match &step.fault {
                Fault::Leg { leg, ingresses, .. } => Some((*leg, ingresses)),
                _ => None,
            })
            .flat_map(|(leg, list)| list.iter().map(move |i| (leg as u8, *i)))
            .collect();
        let relayed = |leg: Leg, ingress: usize| legs.contains(&(leg as u8, ingress));
        let mut lines = Vec::new();
        for slot in 0..s.backend_count() {
            let addresses = (0..count).map(|ingress| {
                let at = backends.address(slot, ingress);
                if relayed(Leg::Backends, ingress) {
                    relays.open((Leg::Backends, ingress), at, &mut context)
                } else {
                    Ok(at)
                }
            });
            let addresses = with_context(
                "cannot open a relay",
                addresses.collect::<io::Result<Vec<_>>>(),
            )?;
            let (ident, pod, started) = backends.identity(slot);
            let set = s.set_of(slot);
            lines.push(Line {
                ident,
                name: format!("s-{ident:04}"),
                hall: s.network.halls[set.hall].clone(),
                model: set.model.clone(),
                pod,
                status: if set.listed { "up" } else { "removed" },
                started,
                weight: if s.network.weights {
                    f64::from(set.cores) * set.speed
                } else {
                    1.0
                },
                addresses,
            });
        }
        let discovery = with_context(
            "cannot open discovery",
            Discovery::open(s, lines, &mut context),
        )?;
        let peers = with_context("cannot open the peers' relay", Peers::open(s, &mut context))?;
        let counter = with_context(
            "cannot open the count service",
            Counter::open(s, &mut context),
        )?;
        let (mut fronts, mut configs, mut members) = (Vec::new(), Vec::new(), Vec::new());
        for (ingress, listen) in listens.iter().copied().enumerate() {
            let mut front = listen;
            if relayed(Leg::Clients, ingress) {
                let relay = relays.open((Leg::Clients, ingress), listen, &mut context);
                front = with_context("cannot open a relay", relay)?;
            }
            fronts.push(front);
            let mut agent = discovery.address(ingress);
            if relayed(Leg::Discovery, ingress) {
                let relay = relays.open((Leg::Discovery, ingress), agent, &mut context);
                agent = with_context("cannot open a relay", relay)?;
            }
            let peers = with_context("cannot open the peers' relay", peers.addresses(ingress))?;
            members.push(MemberAddresses {
                listen,
                discovery: agent,
                peers: peers.0,
            });
            let (_, known) = discovery.list_at(ingress, None);
            let counter = counter.as_ref().map(|c| c.address(ingress));
            let at = Addresses {
                listen,
                discovery: agent,
                peers,
                counter,
            };
            configs.push(ingress_config::config(s, ingress, &at, &known));
        }
        let group = s
            .group
            .as_ref()
            .map(|g| Group::open(s, g, &members, dir))
            .transpose();
        let processes = Processes::new(
            program,
            &s.ingresses,
            with_context("cannot set up the group", group)?,
            dir,
        );
        discovery.record_initial_lists(&mut context);
        let now = context.now;
        let mut rig = Rig {
            clients: Clients::new(s, &fronts),
            judge: Judge::new(s, now),
            arrivals: Arrivals::new(s),
            scenario: s,
            context,
            backends,
            discovery,
            peers,
            counter,
            relays,
            processes,
            begin: now,
            began: false,
            crashes: Vec::new(),
            log: Vec::new(),
            listens,
            configs,
            failed: None,
        };
        for ingress in 0..count {
            rig.configure(ingress)?;
        }
        Ok(rig)
    }

    fn configure(&mut self, ingress: usize) -> Result<(), RigError> {
        let text = self.configs[ingress].to_string();
        with_context(
            "cannot write a configuration",
            self.processes.configure(ingress, &text),
        )
    }

    fn start(&mut self, ingress: usize) -> Result<(), RigError> {
        let started = self.processes.start(ingress, &mut self.context);
        with_context("cannot start an ingress", started)?;
        self.context.record(Seen::Started(ingress));
        self.clients.ping_until_ready(ingress, &mut self.context);
        Ok(())
    }

    fn never_ready(&mut self) -> RigError {
        let missing = (0..self.listens.len())
            .find(|i| !self.clients.is_ready(*i))
            .unwrap_or(0);
        let log = self.processes.log(missing);
        let last = log.lines().last().unwrap_or("its log is empty").to_string();
        RigError(format!(
            "ingress {missing} was not ready within {} s: {last}",
            READY_TIMEOUT / SECOND
        ))
    }

    /// Starts the arrivals and the steps of the scenario, once all ingresses are ready.
    fn begin(&mut self) {
        let now = self.context.now;
        (self.begin, self.began) = (now, true);
        self.judge = Judge::new(self.scenario, now);
        self.report_to_judge();
        self.clients.begin(now);
        for (n, step) in self.scenario.steps.iter().enumerate() {
            self.context.at(now + step.at, Due::Step(n));
        }
        self.next_arrival();
    }

    fn next_arrival(&mut self) {
        if let Some(a) = self.arrivals.next() {
            self.context.at(self.begin + a.at, Due::Arrival(a));
        }
    }

    fn is_over(&self, now: Micros) -> bool {
        let longest = self
            .scenario
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        let idle = self.clients.waiting() == 0;
        let last = self.begin + self.scenario.lasts;
        self.began && (now > last + longest + RUN_ON || (idle && now > last + RUN_ON.max(SECOND)))
    }

    fn handle_ready(&mut self, component: Component, key: usize) {
        let context = &mut self.context;
        match component {
            Component::Client => self.clients.handle_ready(key, context),
            Component::BackendListener => self.backends.accept(key, context),
            Component::Backend => self.backends.handle_ready(key, context),
            Component::DiscoveryListener => self.discovery.accept(key, context),
            Component::Discovery => self.discovery.handle_ready(key, context),
            Component::Peer => self.peers.handle_ready(key, context),
            Component::RelayListener => self.relays.accept(key, context),
            Component::Relay => self.relays.handle_ready(key, context),
            Component::CounterListener => {
                self.counter.iter_mut().for_each(|c| c.accept(key, context))
            }
            Component::Counter => self
                .counter
                .iter_mut()
                .for_each(|c| c.handle_ready(key, context)),
        }
    }

    fn report_to_judge(&mut self) {
        if !self.began {
            return;
        }
        for (at, seen) in std::mem::take(&mut self.context.seen) {
            // An ingress knows what discovery wrote only once it has passed the relay between them.
            let leg_fault = match seen {
                Seen::BackendReported { ingress, .. } => {
                    self.relays.fault((Leg::Discovery, ingress))
                }
                _ => None,
            };
            match leg_fault {
                None => self.judge.note(at, seen),
                Some(LegFault::Slow(delay)) => self.context.after(delay, Due::Seen(seen)),
                Some(LegFault::Silent | LegFault::Reset) => {}
            }
        }
    }

    fn handle_due(&mut self, due: Due) {
        match due {
            Due::Arrival(a) => {
                self.clients.arrive(a, &mut self.context);
                if a.account < HOT {
                    self.next_arrival();
                }
            }
            Due::Step(n) => self.step(n),
            Due::Client(due) => self.clients.handle_due(due, &mut self.context),
            Due::Backend(due) => self.backends.handle_due(due, &mut self.context),
            Due::Discovery(due) => self.discovery.handle_due(due, &mut self.context),
            Due::Peer(due) => self.peers.handle_due(due, &mut self.context),
            Due::Counter(due) => {
                let done = self
                    .counter
                    .as_mut()
                    .map(|c| c.handle_due(due, &mut self.context));
                if let Some(Err(e)) = done {
                    self.failed = Some(RigError(format!("cannot restart the count service: {e}")));
                }
            }
            Due::Relay(due) => {
                if let Some((leg, ingress)) = self.relays.handle_due(due, &mut self.context) {
                    self.record_leg(leg, ingress, false);
                }
            }
            Due::Process(ProcessDue::Start { ingress }) => {
                if let Err(e) = self.start(ingress) {
                    self.failed = Some(e);
                }
                self.log_event(format!("ingress {ingress} starts"));
            }
            Due::Process(ProcessDue::Resume { ingress, life }) => {
                if self
                    .processes
                    .handle_due(ProcessDue::Resume { ingress, life }, &mut self.context)
                {
                    self.context.record(Seen::Resumed(ingress));
                    self.log_event(format!("ingress {ingress} goes on"));
                }
            }
            Due::Process(ProcessDue::Measure) => {
                self.processes
                    .handle_due(ProcessDue::Measure, &mut self.context);
                self.backends.sweep(self.context.now);
            }
            Due::Process(due) => drop(self.processes.handle_due(due, &mut self.context)),
            Due::FollowUp(action) => self.follow_up(action),
            Due::Seen(seen) => self.judge.note(self.context.now, seen),
        }
    }

    fn log_event(&mut self, text: String) {
        let at = self.context.now.saturating_sub(self.begin) as f64 / SECOND as f64;
        self.log.push(format!("{at:6.2} s  {text}"));
    }

    fn reap(&mut self) {
        for ended in self.processes.reap() {
            match ended {
                Ended::Requested(ingress, down) => {
                    // Requests of a killed ingress are left to the clients; an ingress that shut down
                    // gracefully must have answered all of its requests.
                    self.clients.died(ingress, &mut self.context);
                    if let Some(down) = down {
                        self.context
                            .after(down, Due::Process(ProcessDue::Start { ingress }));
                    }
                }
                Ended::Crashed(ingress, status) => {
                    let log = self.processes.log(ingress);
                    let last = log.lines().last().unwrap_or("its log is empty");
                    let text = format!("ingress {ingress} ended by itself ({status}): {last}");
                    if self.began {
                        self.context.record(Seen::Killed(ingress));
                        self.clients.died(ingress, &mut self.context);
                        self.log_event(text.clone());
                        self.crashes.push(text);
                    } else {
                        self.failed = Some(RigError(text));
                    }
                }
            }
        }
    }

    fn record_leg(&mut self, leg: Leg, ingress: usize, down: bool) {
        if leg == Leg::Clients {
            let seen = if down {
                Seen::LegDown(ingress)
            } else {
                Seen::LegUp(ingress)
            };
            self.context.record(seen);
        }
    }

    fn set_status(&mut self, slot: usize, status: &'static str) {
        let (ident, _, started) = self.backends.identity(slot);
        let Some(line) = self.discovery.line(ident) else {
            return;
        };
        let line = Line {
            status,
            started,
            ..line.clone()
        };
        self.discovery.change(line, &mut self.context);
    }

    /// Starts the process of a backend again, under its old name or a new one.
    fn revive(&mut self, slot: usize, new_name: bool) {
        let (old, pod, _) = self.backends.identity(slot);
        let Some(line) = self.discovery.line(old).cloned() else {
            return;
        };
        if let Err(e) = self.backends.start(slot, new_name, &mut self.context) {
            self.failed = Some(RigError(format!("cannot start backend {slot} again: {e}")));
            return;
        }
        let (ident, _, started) = self.backends.identity(slot);
        if new_name {
            let gone = Line {
                status: "removed",
                ..line.clone()
            };
            self.discovery.change(gone, &mut self.context);
        }
        let name = format!("s-{ident:04}");
        let line = Line {
            ident,
            name,
            pod,
            status: "up",
            started,
            ..line
        };
        self.discovery.change(line, &mut self.context);
        self.log_event(format!(
            "backend {slot} is back, cold{}",
            if new_name { ", under a new name" } else { "" }
        ));
    }

    /// Carries out a delayed action.
    fn follow_up(&mut self, action: context::FollowUp) {
        use context::FollowUp;
        match action {
            FollowUp::Die {
                slot,
                down,
                new_name,
            } => {
                self.backends.die(slot, &mut self.context);
                self.context
                    .after(down, Due::FollowUp(FollowUp::Revive { slot, new_name }));
                self.context
                    .after(REMOVAL_DELAY, Due::FollowUp(FollowUp::Remove { slot }));
            }
            FollowUp::Remove { slot } => {
                if !self.backends.is_alive(slot) {
                    self.set_status(slot, "removed");
                }
            }
            FollowUp::Revive { slot, new_name } => self.revive(slot, new_name),
            FollowUp::Replace { slot, down } => {
                self.set_status(slot, "draining");
                self.log_event(format!("backend {slot} is replaced"));
                let die = FollowUp::Die {
                    slot,
                    down,
                    new_name: true,
                };
                self.context.after(DRAIN_TIME, Due::FollowUp(die));
            }
            FollowUp::RestoreLinks { from, to } => self.processes.link(&from, &to, None),
            FollowUp::Stop { ingress, down } => {
                self.processes.stop(ingress, Some(down), &mut self.context);
                self.clients.shutting_down(ingress, &mut self.context);
                self.log_event(format!("ingress {ingress} is told to stop"));
            }
        }
    }

    fn step(&mut self, n: usize) {
        use context::FollowUp;
        let fault = self.scenario.steps[n].fault.clone();
        self.log_event(fault.to_string());
        let context = &mut self.context;
        match fault {
            Fault::Kill { ingresses, down } => {
                for ingress in ingresses {
                    self.processes.kill(ingress, down);
                    self.context.record(Seen::Killed(ingress));
                }
            }
            Fault::Restart {
                ingresses,
                every,
                down,
            } => {
                for (n, ingress) in (0..).zip(ingresses) {
                    context.after(n * every, Due::FollowUp(FollowUp::Stop { ingress, down }));
                }
            }
            Fault::Freeze { ingresses, lasts } => {
                for ingress in ingresses {
                    if self.processes.freeze(ingress, lasts, context) {
                        context.record(Seen::Frozen(ingress));
                    }
                }
            }
            Fault::Throttle {
                ingresses,
                cores,
                lasts,
            } => {
                ingresses
                    .into_iter()
                    .for_each(|i| self.processes.throttle(i, cores, lasts, context));
            }
            Fault::Move { ingresses } => {
                for ingress in ingresses {
                    if let Err(e) = self.discovery.move_agent(ingress, context) {
                        self.failed = Some(RigError(format!("cannot move discovery: {e}")));
                        return;
                    }
                    self.configs[ingress]["discovery"] =
                        self.discovery.address(ingress).to_string().into();
                    let text = self.configs[ingress].to_string();
                    if let Err(e) = self.processes.configure(ingress, &text) {
                        self.failed = Some(RigError(format!("cannot write a configuration: {e}")));
                    }
                    self.processes.reload(ingress);
                }
            }
            Fault::Drain { backends } => backends
                .into_iter()
                .for_each(|b| self.set_status(b, "draining")),
            Fault::Up { backends } => backends.into_iter().for_each(|b| self.set_status(b, "up")),
            Fault::Remove { backends } => backends
                .into_iter()
                .for_each(|b| self.set_status(b, "removed")),
            Fault::Die { backends, down } => {
                for slot in backends {
                    let die = FollowUp::Die {
                        slot,
                        down,
                        new_name: false,
                    };
                    self.context.after(0, Due::FollowUp(die));
                }
            }
            Fault::Replace {
                backends,
                every,
                down,
            } => {
                for (n, slot) in (0..).zip(backends) {
                    self.context
                        .after(n * every, Due::FollowUp(FollowUp::Replace { slot, down }));
                }
            }
            Fault::Hang { backends, lasts } => self.behave(backends, Mode::Hang, lasts),
            Fault::Reset {
                backends,
                byte,
                lasts,
            } => self.behave(backends, Mode::Reset { byte }, lasts),
            Fault::Spoil { backends, lasts } => self.behave(backends, Mode::Spoil, lasts),
            Fault::Bytewise { backends, lasts } => self.behave(backends, Mode::Bytewise, lasts),
            Fault::Echo { backends, lasts } => self.behave(backends, Mode::Echo, lasts),
            Fault::Neighbour {
                backends,
                factor,
                lasts,
            } => {
                for slot in backends {
                    self.backends.set_neighbour(slot, factor);
                    let over = BackendDue::NeighbourLoad { slot, factor: 0.0 };
                    self.context.after(lasts, Due::Backend(over));
                }
            }
            Fault::DiscoverySilent { ingresses, lasts } => {
                self.fail_agents(ingresses, AgentMode::Silent, lasts)
            }
            Fault::DiscoveryGone { ingresses, lasts } => {
                self.fail_agents(ingresses, AgentMode::Gone, lasts)
            }
            Fault::DiscoveryLate {
                ingresses,
                delay,
                lasts,
            } => {
                self.fail_agents(ingresses, AgentMode::Late(delay), lasts);
            }
            Fault::Split { lasts } => self.peers.split(lasts, context),
            Fault::Lossy {
                loss,
                repeat,
                delay,
                lasts,
            } => {
                self.peers.lossy((loss, repeat, delay), lasts, context);
            }
            Fault::Hot {
                accounts,
                rate,
                lasts,
            } => self.add_arrivals(n, lasts, rate, Some(accounts)),
            Fault::Scan { rate, lasts } => self.add_arrivals(n, lasts, rate, None),
            Fault::Crowd {
                ingresses,
                count,
                lasts,
            } => {
                ingresses
                    .into_iter()
                    .for_each(|i| self.clients.add_crowd(i, count, lasts, context));
            }
            Fault::Hostile {
                ingresses,
                count,
                manner,
                lasts,
            } => {
                ingresses
                    .into_iter()
                    .for_each(|i| self.clients.add_hostile(i, count, manner, lasts, context));
            }
            Fault::Link {
                from,
                to,
                fault,
                lasts,
            } => {
                self.processes.link(&from, &to, Some(fault));
                context.after(lasts, Due::FollowUp(FollowUp::RestoreLinks { from, to }));
            }
            Fault::Counter { fault, lasts } => {
                if let Some(counter) = &mut self.counter {
                    counter.fail(fault, lasts, context);
                }
            }
            Fault::Leg {
                leg,
                fault,
                ingresses,
                lasts,
            } => {
                for ingress in ingresses {
                    self.relays
                        .fail((leg, ingress), fault, lasts, &mut self.context);
                    if let (Leg::Backends, LegFault::Slow(delay)) = (leg, fault) {
                        self.context.record(Seen::Slow(ingress, delay));
                    }
                    self.record_leg(leg, ingress, true);
                }
            }
        }
    }

    fn behave(&mut self, backends: Vec<usize>, mode: Mode, lasts: Micros) {
        backends
            .into_iter()
            .for_each(|b| self.backends.set_mode(b, mode, lasts, &mut self.context));
    }

    fn fail_agents(&mut self, ingresses: Vec<usize>, mode: AgentMode, lasts: Micros) {
        ingresses
            .into_iter()
            .for_each(|i| self.discovery.fail(i, mode, lasts, &mut self.context));
    }

    /// Schedules the additional arrivals of a fault.
    fn add_arrivals(&mut self, n: usize, lasts: Micros, rate: f64, hot: Option<u32>) {
        let from = self.scenario.steps[n].at;
        for a in Arrivals::extra(self.scenario, from, lasts, rate, hot) {
            self.context.at(self.begin + a.at, Due::Arrival(a));
        }
    }

    fn snapshot(&mut self) -> Snapshot {
        let worth = self.judge.worth();
        let count = self.listens.len();
        let (asked, served, refused, failed) =
            (worth.asked, worth.served, worth.refused, worth.failed);
        let rungs = (0..count).map(|i| last_rung(&self.processes.log(i)));
        Snapshot {
            at: self.context.now - self.begin,
            lasts: self.scenario.lasts,
            asked,
            served,
            refused,
            failed,
            waiting: self.clients.waiting(),
            ingresses: (0..count)
                .map(|i| (self.processes.is_running(i), self.clients.is_ready(i)))
                .collect(),
            rungs: rungs.collect(),
            backends: (0..self.scenario.backend_count())
                .map(|b| self.backends.is_alive(b))
                .collect(),
            broken: self.judge.counts(),
            log: self.log.last().cloned().unwrap_or_default(),
        }
    }

    fn report(mut self, end: Micros) -> Report {
        let usage = (0..self.listens.len())
            .map(|i| self.processes.usage(i))
            .collect::<Vec<_>>();
        let logs: Vec<String> = (0..self.listens.len())
            .map(|i| self.processes.log(i))
            .collect();
        let rig = crate::report::RigFigures {
            lateness: Lateness::of(&mut self.context.lateness),
            unreachable: self.clients.unreachable,
            crossed: self.clients.crossed,
            peer_messages: self.peers.sent,
            peer_too_long: self.peers.too_long,
            connections: (self.clients.connections(), self.backends.connections()),
        };
        let usage = usage
            .into_iter()
            .map(|u| (u.cpu, u.memory_kb, u.descriptors))
            .collect();
        let spread = self.backends.commands_and_capacities();
        let lasted = end - self.begin;
        Report::new(
            self.scenario,
            &self.judge,
            lasted,
            usage,
            spread,
            rig,
            self.crashes,
            self.log,
            logs,
        )
    }
}

/// The last load-shedding level in the log of an ingress. It is shown in snapshots; the judge does not use it.
fn last_rung(log: &str) -> u8 {
    let last = log
        .lines()
        .rev()
        .find_map(|l| l.split_once("ladder: rung "))
        .map(|(_, rest)| rest);
    let to = last
        .and_then(|l| l.split_once(" to "))
        .map(|(_, rest)| rest);
    to.and_then(|t| t.bytes().next())
        .map_or(0, |b| b.saturating_sub(b'0'))
}

fn listen_at(s: &Scenario, ingress: usize) -> Result<SocketAddr, RigError> {
    match s.ingresses.port {
        None => with_context("cannot find a free address", address::free(address::own())),
        Some(first) => {
            let at = SocketAddr::from(([127, 0, 0, 1], first + ingress as u16));
            let free = std::net::TcpListener::bind(at);
            free.map(|_| at)
                .map_err(|e| RigError(format!("ingress {ingress} can't listen at {at}: {e}")))
        }
    }
}
