//! The rig: one thread and one readiness loop that is clients, backends, discovery and the network at once, round
//! real ingress processes. One clock orders all that is seen.

pub mod address;
mod backends;
mod clients;
mod context;
mod counter;
mod discovery;
mod group;
mod peers;
mod pipe;
mod processes;
mod relays;
#[cfg(test)]
mod tests;
mod told;

use crate::arrivals::{Arrivals, HOT};
use crate::judge::{Judge, Seen};
use crate::report::{Lateness, Report};

pub use crate::report::Snapshot;
use crate::scenario::{Fault, Leg, LegFault, Micros, Scenario, SECOND};
use backends::{BackendDue, Backends, Mode};
use clients::Clients;
use context::{owner, Context, Due, Part};
use counter::Counter;
use discovery::{AgentMode, Discovery, Line};
use group::{Group, Place};
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
use told::Addresses;

/// How long the ingresses may take to be ready.
const READY_WITHIN: Micros = 10 * SECOND;
/// How long after the last deadline the run goes on: what is sent on too late must show.
const AFTER: Micros = 300_000;
/// How long after a backend's death discovery lists it no more, and before its death that it drains.
const NOTICED: Micros = 500_000;
const DRAINED: Micros = 1_500_000;
/// Time between two snapshots.
const LOOK: Micros = 250_000;

/// Why a run could not be made.
#[derive(Debug)]
pub struct RigError(pub String);

impl std::fmt::Display for RigError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RigError {}

fn rig<T>(what: &str, result: io::Result<T>) -> Result<T, RigError> {
    result.map_err(|e| RigError(format!("{what}: {e}")))
}

/// How a run is to be made.
pub struct Run<'a> {
    /// The built ingress.
    pub program: &'a Path,
    /// Ends the run early, with its report, once it is set.
    pub stop: &'a AtomicBool,
    /// Is shown how the run goes, four times a second; the ingresses' logs are read for that.
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

/// Plays a scenario.
///
/// # Errors
///
/// Where the rig can't be set up: a port that is taken, a program that doesn't start or is never ready. No process is
/// left behind.
pub fn play(scenario: &Scenario, run: Run) -> Result<Report, RigError> {
    let mut watch = run.watch;
    let dir = rig(
        "cannot make a folder for the ingresses' files",
        tempfile::tempdir(),
    )?;
    raise_limit();
    let mut poll = rig("cannot poll", Poll::new())?;
    let registry = rig("cannot poll", poll.registry().try_clone())?;
    let mut rig = Rig::set_up(scenario, run.program, dir.path(), Context::new(registry))?;
    rig.processes.keep_apart();
    let mut events = Events::with_capacity(1024);
    let ready_by = rig.context.now + READY_WITHIN;
    for ingress in 0..rig.listens.len() {
        rig.start(ingress)?;
    }
    rig.context.after(0, Due::Process(ProcessDue::Look));
    let mut next_look = 0;
    let end = loop {
        let now = rig.context.read_clock();
        if rig.began && now >= next_look {
            next_look = now + LOOK;
            if let Some(watch) = &mut watch {
                watch(&rig.snapshot());
            }
        }
        if !rig.began && rig.clients.all_up() {
            rig.begin();
        }
        if !rig.began && now > ready_by {
            return Err(rig.never_ready());
        }
        if run.stop.load(Ordering::Relaxed) || rig.over(now) {
            break now;
        }
        let wait = rig
            .context
            .next()
            .map_or(LOOK, |at| at.saturating_sub(now))
            .min(LOOK / 10);
        match poll.poll(&mut events, Some(Duration::from_micros(wait))) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => {
                return Err(RigError(format!("cannot poll: {e}")))
            }
            _ => {}
        }
        for event in events.iter() {
            let (part, key) = owner(event.token());
            rig.ready(part, key);
        }
        while let Some(due) = rig.context.take(rig.began) {
            rig.due(due);
        }
        rig.reap();
        rig.tell_judge();
        if let Some(e) = rig.failed.take() {
            return Err(e);
        }
    };
    rig.tell_judge();
    rig.judge.finish(end);
    rig.processes.end();
    Ok(rig.report(end))
}

/// A fleet of hundreds of backends wants more descriptors than a shell gives.
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
        let backends = rig("cannot open the backends", Backends::open(s, &mut context))?;
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
            let addresses = rig(
                "cannot open a relay",
                addresses.collect::<io::Result<Vec<_>>>(),
            )?;
            let (ident, pod, started) = backends.facts(slot);
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
        let discovery = rig(
            "cannot open discovery",
            Discovery::open(s, lines, &mut context),
        )?;
        let peers = rig("cannot open the peers' relay", Peers::open(s, &mut context))?;
        let counter = rig(
            "cannot open the count service",
            Counter::open(s, &mut context),
        )?;
        let (mut fronts, mut configs, mut places) = (Vec::new(), Vec::new(), Vec::new());
        for (ingress, listen) in listens.iter().copied().enumerate() {
            let mut front = listen;
            if relayed(Leg::Clients, ingress) {
                let relay = relays.open((Leg::Clients, ingress), listen, &mut context);
                front = rig("cannot open a relay", relay)?;
            }
            fronts.push(front);
            let mut agent = discovery.address(ingress);
            if relayed(Leg::Discovery, ingress) {
                let relay = relays.open((Leg::Discovery, ingress), agent, &mut context);
                agent = rig("cannot open a relay", relay)?;
            }
            let peers = rig("cannot open the peers' relay", peers.addresses(ingress))?;
            places.push(Place {
                listen,
                discovery: agent,
                peers: peers.0,
            });
            let (_, known) = discovery.known(ingress, None);
            let counter = counter.as_ref().map(|c| c.address(ingress));
            let at = Addresses {
                listen,
                discovery: agent,
                peers,
                counter,
            };
            configs.push(told::config(s, ingress, &at, &known));
        }
        let group = s
            .group
            .as_ref()
            .map(|g| Group::open(s, g, &places, dir))
            .transpose();
        let processes = Processes::new(
            program,
            &s.ingresses,
            rig("cannot set up the group", group)?,
            dir,
        );
        discovery.told_at_start(&mut context);
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
        rig(
            "cannot write a configuration",
            self.processes.configure(ingress, &text),
        )
    }

    fn start(&mut self, ingress: usize) -> Result<(), RigError> {
        let started = self.processes.start(ingress, &mut self.context);
        rig("cannot start an ingress", started)?;
        self.context.see(Seen::Started(ingress));
        self.clients.watch_for(ingress, &mut self.context);
        Ok(())
    }

    fn never_ready(&mut self) -> RigError {
        let missing = (0..self.listens.len())
            .find(|i| !self.clients.up(*i))
            .unwrap_or(0);
        let log = self.processes.log(missing);
        let last = log.lines().last().unwrap_or("it said nothing").to_string();
        RigError(format!(
            "ingress {missing} was not ready within {} s: {last}",
            READY_WITHIN / SECOND
        ))
    }

    /// All ingresses are ready: the first arrivals and the timetable count from now on.
    fn begin(&mut self) {
        let now = self.context.now;
        (self.begin, self.began) = (now, true);
        self.judge = Judge::new(self.scenario, now);
        self.tell_judge();
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

    fn over(&self, now: Micros) -> bool {
        let longest = self
            .scenario
            .classes
            .iter()
            .map(|c| c.deadline)
            .max()
            .unwrap_or(0);
        let idle = self.clients.waiting() == 0;
        let last = self.begin + self.scenario.lasts;
        self.began && (now > last + longest + AFTER || (idle && now > last + AFTER.max(SECOND)))
    }

    fn ready(&mut self, part: Part, key: usize) {
        let context = &mut self.context;
        match part {
            Part::Client => self.clients.ready(key, context),
            Part::BackendListener => self.backends.accept(key, context),
            Part::Backend => self.backends.ready(key, context),
            Part::DiscoveryListener => self.discovery.accept(key, context),
            Part::Discovery => self.discovery.ready(key, context),
            Part::Peer => self.peers.ready(key, context),
            Part::RelayListener => self.relays.accept(key, context),
            Part::Relay => self.relays.ready(key, context),
            Part::CounterListener => self.counter.iter_mut().for_each(|c| c.accept(key, context)),
            Part::Counter => self.counter.iter_mut().for_each(|c| c.ready(key, context)),
        }
    }

    fn tell_judge(&mut self) {
        if !self.began {
            return;
        }
        for (at, seen) in std::mem::take(&mut self.context.seen) {
            // What discovery writes is told once it has passed the way to the ingress.
            let way = match seen {
                Seen::BackendReported { ingress, .. } => {
                    self.relays.fault((Leg::Discovery, ingress))
                }
                _ => None,
            };
            match way {
                None => self.judge.note(at, seen),
                Some(LegFault::Slow(delay)) => self.context.after(delay, Due::Seen(seen)),
                Some(LegFault::Silent | LegFault::Reset) => {}
            }
        }
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Arrival(a) => {
                self.clients.arrive(a, &mut self.context);
                if a.account < HOT {
                    self.next_arrival();
                }
            }
            Due::Step(n) => self.step(n),
            Due::Client(due) => self.clients.due(due, &mut self.context),
            Due::Backend(due) => self.backends.due(due, &mut self.context),
            Due::Discovery(due) => self.discovery.due(due, &mut self.context),
            Due::Peer(due) => self.peers.due(due, &mut self.context),
            Due::Counter(due) => {
                let done = self.counter.as_mut().map(|c| c.due(due, &mut self.context));
                if let Some(Err(e)) = done {
                    self.failed = Some(RigError(format!("the count service can't come back: {e}")));
                }
            }
            Due::Relay(due) => {
                if let Some((leg, ingress)) = self.relays.due(due, &mut self.context) {
                    self.leg_seen(leg, ingress, false);
                }
            }
            Due::Process(ProcessDue::Start { ingress }) => {
                if let Err(e) = self.start(ingress) {
                    self.failed = Some(e);
                }
                self.say(format!("ingress {ingress} starts"));
            }
            Due::Process(ProcessDue::Resume { ingress, life }) => {
                if self
                    .processes
                    .due(ProcessDue::Resume { ingress, life }, &mut self.context)
                {
                    self.context.see(Seen::Resumed(ingress));
                    self.say(format!("ingress {ingress} goes on"));
                }
            }
            Due::Process(ProcessDue::Look) => {
                self.processes.due(ProcessDue::Look, &mut self.context);
                self.backends.sweep(self.context.now);
            }
            Due::Process(due) => drop(self.processes.due(due, &mut self.context)),
            Due::Later(later) => self.carry_on(later),
            Due::Seen(seen) => self.judge.note(self.context.now, seen),
        }
    }

    fn say(&mut self, text: String) {
        let at = self.context.now.saturating_sub(self.begin) as f64 / SECOND as f64;
        self.log.push(format!("{at:6.2} s  {text}"));
    }

    fn reap(&mut self) {
        for ended in self.processes.reap() {
            match ended {
                Ended::AsTold(ingress, down) => {
                    // What a killed ingress held is the client's; one that was told to stop owes all its answers.
                    self.clients.died(ingress, &mut self.context);
                    if let Some(down) = down {
                        self.context
                            .after(down, Due::Process(ProcessDue::Start { ingress }));
                    }
                }
                Ended::Crashed(ingress, status) => {
                    let log = self.processes.log(ingress);
                    let last = log.lines().last().unwrap_or("it said nothing");
                    let text = format!("ingress {ingress} ended by itself ({status}): {last}");
                    if self.began {
                        self.context.see(Seen::Killed(ingress));
                        self.clients.died(ingress, &mut self.context);
                        self.say(text.clone());
                        self.crashes.push(text);
                    } else {
                        self.failed = Some(RigError(text));
                    }
                }
            }
        }
    }

    fn leg_seen(&mut self, leg: Leg, ingress: usize, down: bool) {
        if leg == Leg::Clients {
            let seen = if down {
                Seen::LegDown(ingress)
            } else {
                Seen::LegUp(ingress)
            };
            self.context.see(seen);
        }
    }

    fn status(&mut self, slot: usize, status: &'static str) {
        let (ident, _, started) = self.backends.facts(slot);
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

    /// A backend's process starts again, under its old name or a new one.
    fn revive(&mut self, slot: usize, new_name: bool) {
        let (old, pod, _) = self.backends.facts(slot);
        let Some(line) = self.discovery.line(old).cloned() else {
            return;
        };
        if let Err(e) = self.backends.start(slot, new_name, &mut self.context) {
            self.failed = Some(RigError(format!("cannot start backend {slot} again: {e}")));
            return;
        }
        let (ident, _, started) = self.backends.facts(slot);
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
        self.say(format!(
            "backend {slot} is back, cold{}",
            if new_name { ", under a new name" } else { "" }
        ));
    }

    /// The later parts of what happens to backends.
    fn carry_on(&mut self, later: context::Later) {
        use context::Later;
        match later {
            Later::Die {
                slot,
                down,
                new_name,
            } => {
                self.backends.die(slot, &mut self.context);
                self.context
                    .after(down, Due::Later(Later::Revive { slot, new_name }));
                self.context
                    .after(NOTICED, Due::Later(Later::Noticed { slot }));
            }
            Later::Noticed { slot } => {
                if !self.backends.alive(slot) {
                    self.status(slot, "removed");
                }
            }
            Later::Revive { slot, new_name } => self.revive(slot, new_name),
            Later::Replace { slot, down } => {
                self.status(slot, "draining");
                self.say(format!("backend {slot} is replaced"));
                let die = Later::Die {
                    slot,
                    down,
                    new_name: true,
                };
                self.context.after(DRAINED, Due::Later(die));
            }
            Later::LinksWell { from, to } => self.processes.link(&from, &to, None),
            Later::Stop { ingress, down } => {
                self.processes.stop(ingress, Some(down), &mut self.context);
                self.clients.leaving(ingress, &mut self.context);
                self.say(format!("ingress {ingress} is told to stop"));
            }
        }
    }

    fn step(&mut self, n: usize) {
        use context::Later;
        let fault = self.scenario.steps[n].fault.clone();
        self.say(fault.to_string());
        let context = &mut self.context;
        match fault {
            Fault::Kill { ingresses, down } => {
                for ingress in ingresses {
                    self.processes.kill(ingress, down);
                    self.context.see(Seen::Killed(ingress));
                }
            }
            Fault::Restart {
                ingresses,
                every,
                down,
            } => {
                for (n, ingress) in (0..).zip(ingresses) {
                    context.after(n * every, Due::Later(Later::Stop { ingress, down }));
                }
            }
            Fault::Freeze { ingresses, lasts } => {
                for ingress in ingresses {
                    if self.processes.freeze(ingress, lasts, context) {
                        context.see(Seen::Frozen(ingress));
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
                    self.processes.hang_up(ingress);
                }
            }
            Fault::Drain { backends } => backends
                .into_iter()
                .for_each(|b| self.status(b, "draining")),
            Fault::Up { backends } => backends.into_iter().for_each(|b| self.status(b, "up")),
            Fault::Remove { backends } => {
                backends.into_iter().for_each(|b| self.status(b, "removed"))
            }
            Fault::Die { backends, down } => {
                for slot in backends {
                    let die = Later::Die {
                        slot,
                        down,
                        new_name: false,
                    };
                    self.context.after(0, Due::Later(die));
                }
            }
            Fault::Replace {
                backends,
                every,
                down,
            } => {
                for (n, slot) in (0..).zip(backends) {
                    self.context
                        .after(n * every, Due::Later(Later::Replace { slot, down }));
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
                    self.backends.neighbour(slot, factor);
                    let over = BackendDue::Taken { slot, factor: 0.0 };
                    self.context.after(lasts, Due::Backend(over));
                }
            }
            Fault::DiscoverySilent { ingresses, lasts } => {
                self.agents(ingresses, AgentMode::Silent, lasts)
            }
            Fault::DiscoveryGone { ingresses, lasts } => {
                self.agents(ingresses, AgentMode::Gone, lasts)
            }
            Fault::DiscoveryLate {
                ingresses,
                delay,
                lasts,
            } => {
                self.agents(ingresses, AgentMode::Late(delay), lasts);
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
            } => self.more(n, lasts, rate, Some(accounts)),
            Fault::Scan { rate, lasts } => self.more(n, lasts, rate, None),
            Fault::Crowd {
                ingresses,
                count,
                lasts,
            } => {
                ingresses
                    .into_iter()
                    .for_each(|i| self.clients.crowd(i, count, lasts, context));
            }
            Fault::Hostile {
                ingresses,
                count,
                manner,
                lasts,
            } => {
                ingresses
                    .into_iter()
                    .for_each(|i| self.clients.hostile(i, count, manner, lasts, context));
            }
            Fault::Link {
                from,
                to,
                fault,
                lasts,
            } => {
                self.processes.link(&from, &to, Some(fault));
                context.after(lasts, Due::Later(Later::LinksWell { from, to }));
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
                        self.context.see(Seen::Slow(ingress, delay));
                    }
                    self.leg_seen(leg, ingress, true);
                }
            }
        }
    }

    fn behave(&mut self, backends: Vec<usize>, mode: Mode, lasts: Micros) {
        backends
            .into_iter()
            .for_each(|b| self.backends.behave(b, mode, lasts, &mut self.context));
    }

    fn agents(&mut self, ingresses: Vec<usize>, mode: AgentMode, lasts: Micros) {
        ingresses
            .into_iter()
            .for_each(|i| self.discovery.fail(i, mode, lasts, &mut self.context));
    }

    /// Arrivals that a fault adds.
    fn more(&mut self, n: usize, lasts: Micros, rate: f64, hot: Option<u32>) {
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
        let rungs = (0..count).map(|i| rung(&self.processes.log(i)));
        Snapshot {
            at: self.context.now - self.begin,
            lasts: self.scenario.lasts,
            asked,
            served,
            refused,
            failed,
            waiting: self.clients.waiting(),
            ingresses: (0..count)
                .map(|i| (self.processes.runs(i), self.clients.up(i)))
                .collect(),
            rungs: rungs.collect(),
            backends: (0..self.scenario.backend_count())
                .map(|b| self.backends.alive(b))
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
        let spread = self.backends.spread();
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

/// The rung of the ladder that an ingress's log tells last: shown to people, and nothing that the judge goes by.
fn rung(log: &str) -> u8 {
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
        None => rig("cannot find a free address", address::free(address::own())),
        Some(first) => {
            let at = SocketAddr::from(([127, 0, 0, 1], first + ingress as u16));
            let free = std::net::TcpListener::bind(at);
            free.map(|_| at)
                .map_err(|e| RigError(format!("ingress {ingress} can't listen at {at}: {e}")))
        }
    }
}
