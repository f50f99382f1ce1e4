//! The form of a scenario file.

use super::timetable::{Fault, Row, Step};
use super::{Diagnostic, Micros, SECOND};
use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;
use std::fmt;
use std::path::Path;
use toml::Spanned;

/// The only version of the form so far.
const VERSION: u32 = 1;
/// The most of anything that a world may hold: what the rig can carry, with room to spare.
const MOST_INGRESSES: u16 = 64;
const MOST_BACKENDS: usize = 2_000;
const MOST_ACCOUNTS: u32 = 2_000_000;
const MOST_LISTED: u32 = 10_000;
const MOST_RATE: f64 = 20_000.0;
const LONGEST: Micros = 3_600 * SECOND;

/// A span of time, written as `"250ms"`, `"4s"`, `"1.5s"` or `"2m"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Span(pub Micros);

impl Span {
    fn parse(text: &str) -> Result<Span, String> {
        let split = text
            .find(|c: char| c.is_ascii_alphabetic())
            .unwrap_or(text.len());
        let (number, unit) = text.split_at(split);
        let factor = match unit {
            "us" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "m" => 60e6,
            _ => {
                return Err(format!(
                    "a time is a number with ms, s or m, such as \"1.5s\", not \"{text}\""
                ))
            }
        };
        let number = number.trim().parse::<f64>().ok().filter(|n| n.is_finite());
        let number =
            number.ok_or_else(|| format!("a time begins with a number, unlike \"{text}\""))?;
        let micros = number * factor;
        if micros < 0.0 {
            return Err(format!("a time is not negative: \"{text}\""));
        }
        if micros > LONGEST as f64 {
            return Err(format!("a time is an hour at the most: \"{text}\""));
        }
        Ok(Span(micros.round() as Micros))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Reader;
        impl Visitor<'_> for Reader {
            type Value = Span;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a time such as \"250ms\" or \"4s\"")
            }
            fn visit_str<E: de::Error>(self, text: &str) -> Result<Span, E> {
                Span::parse(text).map_err(E::custom)
            }
        }
        deserializer.deserialize_str(Reader)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: Spanned<u32>,
    about: String,
    seed: u64,
    lasts: Spanned<Span>,
    #[serde(default)]
    network: NetworkTable,
    ingresses: Spanned<IngressTable>,
    group: Option<Spanned<GroupTable>>,
    clients: Spanned<ClientTable>,
    class: Vec<Spanned<ClassTable>>,
    plan: Vec<Spanned<PlanTable>>,
    backends: Vec<Spanned<BackendTable>>,
    #[serde(default)]
    at: Vec<Spanned<Row>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct NetworkTable {
    halls: Vec<String>,
    tick: Span,
    peers: bool,
    peer_delay: [Span; 2],
    peer_loss: f64,
    peer_in_per_s: f64,
    /// Whether discovery tells sizes.
    weights: bool,
    /// Where load reports come: in answers, to probes alone, or not at all.
    reports: String,
    /// Whether one request may have two attempts out.
    second_copies: bool,
    drain_grace: Span,
    /// The least and the most that the count service takes for an answer, where there is one.
    counter: Option<[Span; 2]>,
}

impl Default for NetworkTable {
    fn default() -> Self {
        NetworkTable {
            halls: vec!["hall-a".into(), "hall-b".into()],
            tick: Span(4_000),
            peers: true,
            peer_delay: [Span(1_600), Span(23_000)],
            peer_loss: 0.02,
            peer_in_per_s: 40.0,
            weights: true,
            reports: "answers".into(),
            second_copies: true,
            drain_grace: Span(SECOND),
            counter: None,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct IngressTable {
    count: u16,
    #[serde(default = "one")]
    cores: f64,
    #[serde(default = "memory")]
    memory_mb: u32,
    #[serde(default = "descriptors")]
    descriptors: u32,
    /// The first of the ports to listen on; free ones where it is not given.
    port: Option<u16>,
}

/// That the ingresses are sidecars that decide together.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GroupTable {
    lease: Span,
    #[serde(default = "refuse")]
    alone: String,
}

fn refuse() -> String {
    "refuse".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClientTable {
    rate: f64,
    accounts: u32,
    #[serde(default)]
    connections: u32,
    #[serde(default = "two")]
    retries: u32,
    #[serde(default = "backoff")]
    backoff: Span,
    #[serde(default = "one")]
    honour: f64,
    #[serde(default = "try_share")]
    try_share: [f64; 2],
    #[serde(default = "spread")]
    spread: [u16; 2],
    #[serde(default = "shift")]
    shift: Span,
    #[serde(default = "notice")]
    notice: Span,
    #[serde(default)]
    leave: f64,
    #[serde(default)]
    stay: f64,
    most_connections: Option<u32>,
    #[serde(default)]
    heavy: f64,
    #[serde(default = "heavy_factor")]
    heavy_factor: f64,
}

fn one() -> f64 {
    1.0
}
fn memory() -> u32 {
    192
}
fn descriptors() -> u32 {
    1024
}
fn two() -> u32 {
    2
}
fn backoff() -> Span {
    Span(50_000)
}
fn try_share() -> [f64; 2] {
    [0.5, 1.0]
}
fn spread() -> [u16; 2] {
    [2, 4]
}
fn shift() -> Span {
    Span(8 * SECOND)
}
fn notice() -> Span {
    Span(2 * SECOND)
}
fn heavy_factor() -> f64 {
    4.0
}
fn group() -> String {
    "cell".into()
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassTable {
    name: String,
    share: f64,
    work: Span,
    aim: Span,
    deadline: Span,
    worth: f64,
    #[serde(default = "one")]
    units: f64,
    effect: Spanned<String>,
    #[serde(default = "group")]
    group: String,
    #[serde(default)]
    window: Span,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanTable {
    name: String,
    share: f64,
    rate: f64,
    burst: f64,
    #[serde(default)]
    ceiling: f64,
    #[serde(default)]
    ceiling_burst: f64,
    /// Attempts that may be out at once inside the quota; 0 for no such quota.
    #[serde(default)]
    open: u32,
    #[serde(default = "one")]
    price: f64,
    #[serde(default = "one")]
    beyond_costs: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BackendTable {
    count: usize,
    model: String,
    hall: String,
    cores: u32,
    #[serde(default = "one")]
    speed: f64,
    #[serde(default = "queue")]
    queue: u32,
    #[serde(default = "pod")]
    pod: u16,
    #[serde(default)]
    cold: bool,
    /// Whether it is listed from the start on; one that is not comes with `up`.
    #[serde(default = "yes")]
    listed: bool,
    /// Whether work runs on, waiting or begun, when its attempt is called off.
    #[serde(default)]
    runs_on: bool,
}

fn queue() -> u32 {
    40
}
fn pod() -> u16 {
    4
}
fn yes() -> bool {
    true
}

/// A scenario that was read and checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The file's name without its ending.
    pub name: String,
    /// What it is about, in a line.
    pub about: String,
    /// Draws arrivals, fates and faults.
    pub seed: u64,
    /// How long requests arrive.
    pub lasts: Micros,
    /// The network and the module's settings that depend on it.
    pub network: Network,
    /// The ingresses.
    pub ingresses: Ingresses,
    /// What makes them a group; none where each serves for itself.
    pub group: Option<Group>,
    /// The clients.
    pub clients: Clients,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// The backends, in sets of equal ones.
    pub backends: Vec<BackendSet>,
    /// The faults in the order of their times.
    pub steps: Vec<Step>,
}

/// The network between the parts.
#[derive(Clone, Debug)]
pub struct Network {
    /// Names of the halls.
    pub halls: Vec<String>,
    /// The module's tick.
    pub tick: Micros,
    /// Whether ingresses may send each other messages.
    pub peers: bool,
    /// The least and the most that a message is under way.
    pub peer_delay: (Micros, Micros),
    /// The share of messages that are lost.
    pub peer_loss: f64,
    /// Messages that an ingress takes in a second.
    pub peer_in_per_s: f64,
    /// Whether discovery tells sizes.
    pub weights: bool,
    /// Where load reports come.
    pub reports: Reports,
    /// Whether one request may have two attempts out.
    pub second_copies: bool,
    /// How long after it was told that a backend drains an ingress may still send it new work.
    pub drain_grace: Micros,
    /// The least and the most that the count service takes for an answer; none where there is no such service.
    pub counter: Option<(Micros, Micros)>,
}

/// Where load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// In answers and to probes: the share of the cores in use.
    Answers,
    /// To probes alone: the queue and what is held.
    Probes,
    /// Nowhere.
    None,
}

/// The ingress processes.
#[derive(Clone, Debug)]
pub struct Ingresses {
    /// How many there are.
    pub count: u16,
    /// Cores that each may use.
    pub cores: f64,
    /// Megabytes that each may use.
    pub memory_mb: u32,
    /// Descriptors that each may hold.
    pub descriptors: u32,
    /// The first of the ports that they listen on; none for free ones.
    pub port: Option<u16>,
}

/// What makes the ingresses a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// How long one may serve on the word of a majority.
    pub lease: Micros,
    /// Whether one without a lease serves on.
    pub as_known: bool,
}

/// The clients and the front before the ingresses.
#[derive(Clone, Debug)]
pub struct Clients {
    /// First tries a second, all accounts together.
    pub rate: f64,
    /// How many accounts there are.
    pub accounts: u32,
    /// Connections to each ingress that are opened before the start.
    pub connections: u32,
    /// Further tries of a request.
    pub retries: u32,
    /// The pause before a further try.
    pub backoff: Micros,
    /// The share of the clients who keep the pause that a refusal names.
    pub honour: f64,
    /// A try is given up after such a share of the class's deadline.
    pub try_share: (f64, f64),
    /// Over how many ingresses an account's requests come.
    pub spread: (u16, u16),
    /// How long the weights of a set last.
    pub shift: Micros,
    /// How long the front goes on sending to a dead ingress.
    pub notice: Micros,
    /// The share of the requests whose client leaves before the answer.
    pub leave: f64,
    /// The share of the requests whose client opens a connection of its own, asks once, and stays connected.
    pub stay: f64,
    /// The most connections that the front holds to an ingress for requests.
    pub most_connections: usize,
    /// The share of the accounts that ask for `heavy_factor` times what the others do.
    pub heavy: f64,
    /// See `heavy`.
    pub heavy_factor: f64,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Always.
    Safe,
    /// Within a group of backends, for `window`.
    Keyed {
        /// Whether all backends drop repeats, not only those of one cell.
        all: bool,
        /// How long they do.
        window: Micros,
    },
    /// Never, if it may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// The mean work of one on a core of speed 1.
    pub work: Micros,
    /// An answer within this earns the worth.
    pub aim: Micros,
    /// The longest that a client waits over all tries.
    pub deadline: Micros,
    /// What one is worth.
    pub worth: f64,
    /// What one takes from the quota.
    pub units: f64,
    /// Whether one may run again.
    pub effect: Effect,
}

/// A plan.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its share of the accounts.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// Units at once.
    pub burst: f64,
    /// Units a second that are never passed; 0 for no ceiling.
    pub ceiling: f64,
    /// Units at once that are never passed.
    pub ceiling_burst: f64,
    /// Attempts that may be out at once inside the quota; 0 for no such quota.
    pub open: u32,
    /// Factor on the worth.
    pub price: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub beyond_costs: f64,
}

/// Backends that are alike.
#[derive(Clone, Debug)]
pub struct BackendSet {
    /// How many.
    pub count: usize,
    /// The model's name.
    pub model: String,
    /// Index of the hall they stand in.
    pub hall: usize,
    /// Cores of each.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
    /// Requests that wait at the most.
    pub queue: u32,
    /// How many share a pod, whose backends know each other's keys.
    pub pod: u16,
    /// Whether they have just started when the run begins.
    pub cold: bool,
    /// Whether discovery lists them from the start on.
    pub listed: bool,
    /// Whether work runs on, waiting or begun, when its attempt is called off.
    pub runs_on: bool,
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// All that is wrong with it: one entry where it can't be read or is no TOML of this form, else each check.
    pub fn read(path: &Path) -> Result<Scenario, Vec<Diagnostic>> {
        let file = path.display().to_string();
        let source = std::fs::read_to_string(path)
            .map_err(|e| vec![Diagnostic::whole(&file, format!("cannot read it: {e}"))])?;
        Scenario::parse(&file, &source)
    }

    /// Reads the text of a file.
    ///
    /// # Errors
    ///
    /// As [`Scenario::read`].
    pub fn parse(file: &str, source: &str) -> Result<Scenario, Vec<Diagnostic>> {
        let read: File = toml::from_str(source).map_err(|e| {
            let (span, reason) = (e.span().unwrap_or(0..0), e.message().trim());
            let mut found = Diagnostic::at(file, source, span, reason);
            // The key that is missing stands on no line: its table's does.
            if let Some(missing) = reason.strip_prefix("missing field `") {
                found.key = Some(missing.trim_end_matches('`').to_string());
            }
            vec![found]
        })?;
        let mut checks = Checks {
            file,
            source,
            found: Vec::new(),
        };
        let scenario = read.check(&mut checks);
        if checks.found.is_empty() {
            Ok(scenario)
        } else {
            Err(checks.found)
        }
    }

    /// How many backends there are in all.
    pub fn backend_count(&self) -> usize {
        self.backends.iter().map(|s| s.count).sum()
    }

    /// The set that a backend belongs to.
    pub fn set_of(&self, backend: usize) -> &BackendSet {
        let mut left = backend;
        for set in &self.backends {
            if left < set.count {
                return set;
            }
            left -= set.count;
        }
        &self.backends[0]
    }
}

/// Collects what is wrong.
pub(super) struct Checks<'a> {
    file: &'a str,
    source: &'a str,
    found: Vec<Diagnostic>,
}

impl Checks<'_> {
    /// Notes what is wrong with a part of the text.
    pub fn wrong(&mut self, span: std::ops::Range<usize>, reason: impl Into<String>) {
        let found = match span.is_empty() {
            true => Diagnostic::whole(self.file, reason),
            false => Diagnostic::at(self.file, self.source, span, reason),
        };
        self.found.push(found);
    }

    fn want(&mut self, good: bool, span: std::ops::Range<usize>, reason: &str) {
        if !good {
            self.wrong(span, reason);
        }
    }
}

fn from_zero(n: f64) -> bool {
    n.is_finite() && n >= 0.0
}

fn share(n: f64) -> bool {
    (0.0..=1.0).contains(&n)
}

impl File {
    fn check(self, c: &mut Checks) -> Scenario {
        c.want(
            *self.version.get_ref() == VERSION,
            self.version.span(),
            "the only version of this form is 1; a newer file needs a newer wrenctl",
        );
        c.want(
            self.lasts.get_ref().0 >= SECOND / 10,
            self.lasts.span(),
            "a run lasts 100ms at the least",
        );
        let name = Path::new(c.file)
            .file_stem()
            .map_or("scenario".into(), |s| s.to_string_lossy());
        let name = name.into_owned();
        let network = self.network;
        let at = self.ingresses.span();
        c.want(
            !network.halls.is_empty(),
            at.clone(),
            "network.halls names no hall",
        );
        c.want(
            (500..=100_000).contains(&network.tick.0),
            at.clone(),
            "network.tick is from 0.5ms to 100ms",
        );
        c.want(
            share(network.peer_loss),
            at.clone(),
            "network.peer_loss is a share from 0 to 1",
        );
        c.want(
            from_zero(network.peer_in_per_s),
            at.clone(),
            "network.peer_in_per_s is a number from 0 up",
        );
        let [least, most] = network.peer_delay;
        c.want(
            least.0 <= most.0,
            at.clone(),
            "network.peer_delay is the least and the most, in this order",
        );
        let reports = match network.reports.as_str() {
            "answers" => Reports::Answers,
            "probes" => Reports::Probes,
            "none" => Reports::None,
            other => {
                c.wrong(
                    at.clone(),
                    format!("network.reports is answers, probes or none, not {other}"),
                );
                Reports::None
            }
        };
        let counter = network.counter.map(|[least, most]| (least.0, most.0));
        let in_order = counter.is_none_or(|(least, most)| least <= most);
        c.want(
            in_order,
            at.clone(),
            "network.counter is the least and the most, in this order",
        );
        let i = self.ingresses.into_inner();
        c.want(
            (1..=MOST_INGRESSES).contains(&i.count),
            at.clone(),
            "count is from 1 to 64",
        );
        c.want(
            i.cores > 0.0 && i.cores <= 64.0,
            at.clone(),
            "cores is above 0",
        );
        c.want(
            i.memory_mb >= 16,
            at.clone(),
            "memory_mb is 16 at the least",
        );
        c.want(
            (64..=65_536).contains(&i.descriptors),
            at.clone(),
            "descriptors is from 64 to 65536",
        );
        let ports = i
            .port
            .is_none_or(|p| p >= 1024 && u32::from(p) + u32::from(i.count) < 65_536);
        c.want(
            ports,
            at,
            "port leaves no room for one port each up to 65535, from 1024 on",
        );
        let clients = check_clients(self.clients, i.count, c);
        let classes = self
            .class
            .into_iter()
            .map(|t| check_class(t, c))
            .collect::<Vec<_>>();
        let plans = self
            .plan
            .into_iter()
            .map(|t| check_plan(t, c))
            .collect::<Vec<_>>();
        let mut sets = Vec::new();
        for table in self.backends {
            let span = table.span();
            let b = table.into_inner();
            let hall = network.halls.iter().position(|h| *h == b.hall);
            let unknown = format!(
                "hall \"{}\" is none of {}",
                b.hall,
                network.halls.join(", ")
            );
            c.want(hall.is_some(), span.clone(), &unknown);
            c.want(b.count > 0, span.clone(), "count is above 0");
            c.want(
                (1..=1024).contains(&b.cores),
                span.clone(),
                "cores is from 1 to 1024",
            );
            c.want(
                b.speed.is_finite() && b.speed > 0.0,
                span.clone(),
                "speed is above 0",
            );
            c.want(b.pod > 0, span.clone(), "pod is above 0");
            sets.push(BackendSet {
                count: b.count,
                model: b.model,
                hall: hall.unwrap_or(0),
                cores: b.cores,
                speed: b.speed,
                queue: b.queue,
                pod: b.pod,
                cold: b.cold,
                listed: b.listed,
                runs_on: b.runs_on,
            });
        }
        let count = sets.iter().fold(0usize, |n, s| n.saturating_add(s.count));
        let top = 0..0;
        c.want(
            (1..=MOST_BACKENDS).contains(&count),
            top.clone(),
            "there are 1 to 2000 [[backends]] in all",
        );
        c.want(
            (1..=8).contains(&classes.len()),
            top.clone(),
            "there are 1 to 8 [[class]]es",
        );
        c.want(
            (1..=8).contains(&plans.len()),
            top,
            "there are 1 to 8 [[plan]]s",
        );
        let grouped = self.group.is_some();
        let group = self
            .group
            .map(|t| check_group(t, &network, reports, &i, &clients, &plans, c));
        let lasts = self.lasts.get_ref().0;
        let mut steps: Vec<Step> = Vec::new();
        for row in self.at {
            let (span, row) = (row.span(), row.into_inner());
            let step = row.check(i.count, count, self.seed, c);
            let counts = step
                .as_ref()
                .is_some_and(|s| matches!(s.fault, Fault::Counter { .. }));
            c.want(
                !counts || counter.is_some(),
                span.clone(),
                "there is no count service: network.counter is not given",
            );
            let fault = step.as_ref().map(|s| &s.fault);
            let linked = matches!(fault, Some(Fault::Link { .. }));
            c.want(
                !linked || grouped,
                span.clone(),
                "there are no links: [group] is not given",
            );
            let other = matches!(
                fault,
                Some(
                    Fault::Move { .. }
                        | Fault::Split { .. }
                        | Fault::Lossy { .. }
                        | Fault::Hot { .. }
                        | Fault::Scan { .. }
                )
            );
            let reason =
                "a group's members are told by checked files: their peers, their discovery and their \
                          accounts are as they stand there";
            c.want(!other || !grouped, span, reason);
            steps.extend(step);
        }
        steps.sort_by_key(|s| s.at);
        Scenario {
            name,
            about: self.about,
            seed: self.seed,
            lasts,
            network: Network {
                halls: network.halls,
                tick: network.tick.0,
                peers: network.peers && i.count > 1,
                peer_delay: (least.0, most.0),
                peer_loss: network.peer_loss,
                peer_in_per_s: network.peer_in_per_s,
                weights: network.weights,
                reports,
                second_copies: network.second_copies,
                drain_grace: network.drain_grace.0,
                counter,
            },
            ingresses: Ingresses {
                count: i.count,
                cores: i.cores,
                memory_mb: i.memory_mb,
                descriptors: i.descriptors,
                port: i.port,
            },
            group,
            clients,
            classes,
            plans,
            backends: sets,
            steps,
        }
    }
}

fn check_clients(table: Spanned<ClientTable>, ingresses: u16, c: &mut Checks) -> Clients {
    let span = table.span();
    let t = table.into_inner();
    let mut want = |good: bool, reason: &str| c.want(good, span.clone(), reason);
    want(
        t.rate > 0.0 && t.rate <= MOST_RATE,
        "rate is above 0 and 20000 requests a second at the most",
    );
    want(
        (1..=MOST_ACCOUNTS).contains(&t.accounts),
        "accounts is from 1 to 2000000",
    );
    want(t.connections <= 20_000, "connections is 20000 at the most");
    want(t.retries <= 10, "retries is 10 at the most");
    want(share(t.honour), "honour is a share from 0 to 1");
    want(share(t.leave), "leave is a share from 0 to 1");
    want(share(t.stay), "stay is a share from 0 to 1");
    want(t.most_connections != Some(0), "most_connections is above 0");
    want(share(t.heavy), "heavy is a share from 0 to 1");
    want(
        from_zero(t.heavy_factor),
        "heavy_factor is a number from 0 up",
    );
    let [low, high] = t.try_share;
    want(
        low > 0.0 && low <= high && high <= 1.0,
        "try_share is two shares above 0, the lesser first",
    );
    want(
        t.spread[0] > 0 && t.spread[0] <= t.spread[1],
        "spread is two numbers from 1 up, the lesser first",
    );
    want(t.shift.0 > 0, "shift is above 0");
    Clients {
        rate: t.rate,
        accounts: t.accounts,
        connections: t.connections,
        retries: t.retries,
        backoff: t.backoff.0,
        honour: t.honour,
        try_share: (low, high),
        spread: (t.spread[0].min(ingresses), t.spread[1].min(ingresses)),
        shift: t.shift.0,
        notice: t.notice.0,
        leave: t.leave,
        stay: t.stay,
        most_connections: t.most_connections.map_or(usize::MAX, |n| n as usize),
        heavy: t.heavy,
        heavy_factor: t.heavy_factor,
    }
}

/// A group's members are told by files, which have no words for all that a scenario may want.
fn check_group(
    table: Spanned<GroupTable>,
    network: &NetworkTable,
    reports: Reports,
    i: &IngressTable,
    clients: &Clients,
    plans: &[Plan],
    c: &mut Checks,
) -> Group {
    let span = table.span();
    let t = table.into_inner();
    let mut want = |good: bool, reason: &str| c.want(good, span.clone(), reason);
    let lease = t.lease.0;
    want(
        (SECOND * 3 / 10..=60 * SECOND).contains(&lease),
        "lease is from 300ms to 60s",
    );
    want(
        ["refuse", "as-known"].contains(&t.alone.as_str()),
        "alone is \"refuse\" or \"as-known\"",
    );
    want(
        i.count >= 3,
        "the ingresses decide by majority: count is 3 at the least",
    );
    want(
        clients.accounts <= MOST_LISTED,
        "a group's accounts are listed one by one: 10000 at the most",
    );
    want(
        network.peers
            && network.weights
            && reports == Reports::Answers
            && network.counter.is_none(),
        "a group has peers, weights and reports in answers, and no count service",
    );
    want(
        plans.iter().all(|p| p.rate > 0.0 && p.open == 0),
        "a group's plans have a rate, and no `open`",
    );
    Group {
        lease,
        as_known: t.alone == "as-known",
    }
}

fn check_class(table: Spanned<ClassTable>, c: &mut Checks) -> Class {
    let span = table.span();
    let t = table.into_inner();
    let all = t.group == "all";
    let effect = match t.effect.get_ref().as_str() {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed {
            all,
            window: t.window.0,
        },
        "unsafe" => Effect::Unsafe,
        other => {
            c.wrong(
                t.effect.span(),
                format!("an effect is safe, keyed or unsafe, not {other}"),
            );
            Effect::Unsafe
        }
    };
    let mut want = |good: bool, reason: &str| c.want(good, span.clone(), reason);
    want(
        t.name
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b',' && b != b'='),
        "name is a plain word",
    );
    want(t.share > 0.0 && t.share.is_finite(), "share is above 0");
    want(t.work.0 > 0, "work is above 0");
    want(
        t.aim.0 > 0 && t.aim.0 <= t.deadline.0,
        "aim is above 0 and no longer than deadline",
    );
    want(t.worth > 0.0 && t.worth.is_finite(), "worth is above 0");
    want(
        t.units > 0.0 && t.units <= 100.0,
        "units is above 0 and 100 at the most",
    );
    want(all || t.group == "cell", "group is \"cell\" or \"all\"");
    want(
        effect != (Effect::Keyed { all, window: 0 }),
        "window is above 0 in a keyed class",
    );
    Class {
        name: t.name,
        share: t.share,
        work: t.work.0,
        aim: t.aim.0,
        deadline: t.deadline.0,
        worth: t.worth,
        units: t.units,
        effect,
    }
}

fn check_plan(table: Spanned<PlanTable>, c: &mut Checks) -> Plan {
    let span = table.span();
    let t = table.into_inner();
    let mut want = |good: bool, reason: &str| c.want(good, span.clone(), reason);
    want(
        t.name
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b',' && b != b'='),
        "name is a plain word",
    );
    want(t.share > 0.0 && t.share.is_finite(), "share is above 0");
    want(
        from_zero(t.rate) && from_zero(t.burst),
        "rate and burst are numbers from 0 up",
    );
    want(
        t.rate == 0.0 || t.burst > 0.0,
        "burst is above 0 where there is a rate",
    );
    want(
        from_zero(t.ceiling) && from_zero(t.ceiling_burst),
        "ceiling and ceiling_burst are from 0 up",
    );
    want(
        (t.ceiling > 0.0) == (t.ceiling_burst > 0.0),
        "ceiling and ceiling_burst come together",
    );
    want(
        t.ceiling == 0.0 || t.ceiling >= t.rate,
        "ceiling is not below rate",
    );
    want(
        from_zero(t.price) && from_zero(t.beyond_costs),
        "price and beyond_costs are numbers from 0 up",
    );
    Plan {
        name: t.name,
        share: t.share,
        rate: t.rate,
        burst: t.burst,
        ceiling: t.ceiling,
        ceiling_burst: t.ceiling_burst,
        open: t.open,
        price: t.price,
        beyond_costs: t.beyond_costs,
    }
}

#[cfg(test)]
mod tests {
    use super::Span;

    #[test]
    fn times_are_read_in_their_units_and_bad_ones_are_told() {
        assert_eq!(Span::parse("250ms"), Ok(Span(250_000)));
        assert_eq!(Span::parse("1.5s"), Ok(Span(1_500_000)));
        assert_eq!(Span::parse("2m"), Ok(Span(120_000_000)));
        for bad in ["-1s", "4", "s", "1e99s", "nans", "1 h", "", "two s", "99m"] {
            assert!(Span::parse(bad).is_err(), "{bad}");
        }
    }
}
