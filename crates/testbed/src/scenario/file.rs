//! Format of scenario files, and the checks on their values.

use super::timetable::{Fault, Row, Site, Step};
use super::{Diagnostic, Micros, SECOND};
use serde::de::{self, Deserializer, Visitor};
use serde::Deserialize;
use std::fmt;
use std::path::Path;
use toml::Spanned;

/// The only supported version of the file format.
const VERSION: u32 = 1;
// Upper limits on the size of a scenario, below what the rig can handle.
const MAX_INGRESSES: u16 = 64;
const MAX_BACKENDS: usize = 2_000;
const MAX_ACCOUNTS: u32 = 2_000_000;
/// Limit on the accounts of a group, which are listed one by one in its files.
const MAX_GROUP_ACCOUNTS: u32 = 10_000;
/// First tries per second.
const MAX_RATE: f64 = 20_000.0;
/// Longest duration that a file may give.
const MAX_SPAN: Micros = 3_600 * SECOND;

/// A duration, written as `"250ms"`, `"4s"`, `"1.5s"` or `"2m"`.
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
        if micros > MAX_SPAN as f64 {
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
    /// Whether discovery reports the weights of backends.
    weights: bool,
    /// Where load reports come from: `answers`, `probes` or `none`.
    reports: String,
    /// Whether hedged requests are on: two outstanding attempts of one request.
    second_copies: bool,
    drain_grace: Span,
    /// Shortest and longest response time of the count service; `None` for no such service.
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
    /// First of the consecutive ports to listen on; `None` for free ports.
    port: Option<u16>,
}

/// Makes the ingresses sidecars that form a group.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GroupTable {
    lease: Span,
    #[serde(default = "default_alone")]
    alone: String,
}

fn default_alone() -> String {
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
    /// Outstanding attempts allowed inside the quota; 0 for no limit.
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
    /// Whether discovery lists the backends from the start; the `up` fault adds them later.
    #[serde(default = "yes")]
    listed: bool,
    /// Whether queued and running work continues after its attempt is cancelled.
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

/// A scenario whose file was read and checked.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// File name without its extension.
    pub name: String,
    /// One-line description.
    pub about: String,
    /// Seed of all random draws of the run.
    pub seed: u64,
    /// Length of the arrival period, in microseconds.
    pub lasts: Micros,
    /// Network properties and the decision settings that depend on them.
    pub network: Network,
    /// Number and limits of the ingress processes.
    pub ingresses: Ingresses,
    /// Group settings; `None` if the ingresses are independent.
    pub group: Option<Group>,
    /// Load and behaviour of the clients.
    pub clients: Clients,
    /// Classes of requests, 1 to 8.
    pub classes: Vec<Class>,
    /// Plans of the accounts, 1 to 8.
    pub plans: Vec<Plan>,
    /// Sets of identical backends; backends are numbered through all sets from 0.
    pub backends: Vec<BackendSet>,
    /// Faults in order of time.
    pub steps: Vec<Step>,
}

/// Network between the processes of a run.
#[derive(Clone, Debug)]
pub struct Network {
    /// Names of the zones (`halls` in the file).
    pub halls: Vec<String>,
    /// Tick interval of the decision module, in microseconds.
    pub tick: Micros,
    /// Whether ingresses exchange messages; false with a single ingress.
    pub peers: bool,
    /// Shortest and longest delay of a message between peers, in microseconds.
    pub peer_delay: (Micros, Micros),
    /// Share of messages between peers that are lost.
    pub peer_loss: f64,
    /// Messages per second that an ingress accepts from peers.
    pub peer_in_per_s: f64,
    /// Whether discovery reports the weights of backends.
    pub weights: bool,
    /// Where load reports come from.
    pub reports: Reports,
    /// Whether hedged requests are on: two outstanding attempts of one request.
    pub second_copies: bool,
    /// Time after the report of a drain during which an ingress may still send new work, in microseconds.
    pub drain_grace: Micros,
    /// Shortest and longest response time of the count service, in microseconds; `None` for no such service.
    pub counter: Option<(Micros, Micros)>,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// Utilization, in answers and in responses to probes.
    Answers,
    /// Queue length and number of held requests, in responses to probes only.
    Probes,
    /// Backends send no load reports.
    None,
}

/// Number and limits of the ingress processes.
#[derive(Clone, Debug)]
pub struct Ingresses {
    /// Number of ingresses.
    pub count: u16,
    /// CPU limit of each ingress, in cores.
    pub cores: f64,
    /// Memory limit of each ingress, in megabytes.
    pub memory_mb: u32,
    /// File descriptor limit of each ingress.
    pub descriptors: u32,
    /// First of the consecutive ports to listen on; `None` for free ports.
    pub port: Option<u16>,
}

/// Settings of a group of ingresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Lease duration in microseconds.
    pub lease: Micros,
    /// Whether a member without a lease goes on serving with its last state.
    pub as_known: bool,
}

/// The clients, and the front that distributes their requests over the ingresses.
#[derive(Clone, Debug)]
pub struct Clients {
    /// First tries per second, over all accounts.
    pub rate: f64,
    /// Number of accounts.
    pub accounts: u32,
    /// Connections opened to each ingress before the start.
    pub connections: u32,
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Pause before a retry, in microseconds.
    pub backoff: Micros,
    /// Share of the clients that wait as long as a refusal asks before they retry.
    pub honour: f64,
    /// Lower and upper bound of a try's time limit, as a share of the class's deadline.
    pub try_share: (f64, f64),
    /// Smallest and largest number of ingresses that an account's requests use.
    pub spread: (u16, u16),
    /// Time after which an account's ingress weights change, in microseconds.
    pub shift: Micros,
    /// Time that the front needs to notice a dead ingress, in microseconds.
    pub notice: Micros,
    /// Share of the requests whose client leaves before the answer.
    pub leave: f64,
    /// Share of the requests whose client opens its own connection, sends one request, and stays connected.
    pub stay: f64,
    /// Maximum number of connections for requests from the front to an ingress.
    pub most_connections: usize,
    /// Share of the accounts with `heavy_factor` times the normal load.
    pub heavy: f64,
    /// Load of heavy accounts as a multiple of the normal load.
    pub heavy_factor: f64,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are always harmless.
    Safe,
    /// Repeats are harmless for `window` within a group of backends that share idempotency keys.
    Keyed {
        /// Whether all backends recognize repeats, not only those of the same pod.
        all: bool,
        /// Time during which repeats are recognized, in microseconds.
        window: Micros,
    },
    /// Must not be repeated if it may have run.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean execution time on a core of speed 1, in microseconds.
    pub work: Micros,
    /// Latency objective in microseconds; an answer within this time earns the worth.
    pub aim: Micros,
    /// Longest time that a client waits over all tries, in microseconds.
    pub deadline: Micros,
    /// Worth of a request.
    pub worth: f64,
    /// Quota units that a request takes.
    pub units: f64,
    /// Whether a request of this class may be repeated.
    pub effect: Effect,
}

/// A plan: the quota and ceiling of its accounts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Share of the accounts, relative to the other plans.
    pub share: f64,
    /// Quota refill in units per second; 0 for no quota.
    pub rate: f64,
    /// Quota burst in units.
    pub burst: f64,
    /// Ceiling refill in units per second; 0 for no ceiling.
    pub ceiling: f64,
    /// Ceiling burst in units.
    pub ceiling_burst: f64,
    /// Outstanding attempts allowed inside the quota; 0 for no limit.
    pub open: u32,
    /// Factor on the worth of requests.
    pub price: f64,
    /// Worth lost by sending beyond the quota, as a multiple of the request's worth.
    pub beyond_costs: f64,
}

/// A set of identical backends.
#[derive(Clone, Debug)]
pub struct BackendSet {
    /// Number of backends in the set.
    pub count: usize,
    /// Name of the machine model.
    pub model: String,
    /// Index of the zone in [`Network::halls`].
    pub hall: usize,
    /// Cores of each backend.
    pub cores: u32,
    /// Speed of a core, relative to the core on which `work` is given.
    pub speed: f64,
    /// Maximum queue length.
    pub queue: u32,
    /// Number of backends per pod; the backends of a pod share idempotency keys.
    pub pod: u16,
    /// Whether the backends are cold at the start of the run.
    pub cold: bool,
    /// Whether discovery lists the backends from the start.
    pub listed: bool,
    /// Whether queued and running work continues after its attempt is cancelled.
    pub runs_on: bool,
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// A single entry if the file can't be read or parsed, otherwise one entry for each failed check.
    pub fn read(path: &Path) -> Result<Scenario, Vec<Diagnostic>> {
        let file = path.display().to_string();
        let source = std::fs::read_to_string(path)
            .map_err(|e| vec![Diagnostic::whole(&file, format!("cannot read it: {e}"))])?;
        Scenario::parse(&file, &source)
    }

    /// Parses and checks the text of a scenario file.
    ///
    /// # Errors
    ///
    /// See [`Scenario::read`].
    pub fn parse(file: &str, source: &str) -> Result<Scenario, Vec<Diagnostic>> {
        let read: File = toml::from_str(source).map_err(|e| {
            let (span, reason) = (e.span().unwrap_or(0..0), e.message().trim());
            let mut found = Diagnostic::at(file, source, span, reason);
            // A missing key is on no line, so the location is that of its table.
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

    /// Number of backends in all sets.
    pub fn backend_count(&self) -> usize {
        self.backends.iter().map(|s| s.count).sum()
    }

    /// The set of a backend; the first set if the number is out of range.
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

/// Collects the errors found in a file.
pub(super) struct Checks<'a> {
    file: &'a str,
    source: &'a str,
    found: Vec<Diagnostic>,
}

impl Checks<'_> {
    /// Records an error at a byte range of the text; an empty range means the whole file.
    pub fn error(&mut self, span: std::ops::Range<usize>, reason: impl Into<String>) {
        let found = match span.is_empty() {
            true => Diagnostic::whole(self.file, reason),
            false => Diagnostic::at(self.file, self.source, span, reason),
        };
        self.found.push(found);
    }

    fn require(&mut self, valid: bool, span: std::ops::Range<usize>, reason: &str) {
        if !valid {
            self.error(span, reason);
        }
    }
}

fn is_non_negative(n: f64) -> bool {
    n.is_finite() && n >= 0.0
}

fn is_share(n: f64) -> bool {
    (0.0..=1.0).contains(&n)
}

impl File {
    fn check(self, c: &mut Checks) -> Scenario {
        c.require(
            *self.version.get_ref() == VERSION,
            self.version.span(),
            "the only version of this form is 1; a newer file needs a newer wrenctl",
        );
        c.require(
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
        c.require(
            !network.halls.is_empty(),
            at.clone(),
            "network.halls names no hall",
        );
        c.require(
            (500..=100_000).contains(&network.tick.0),
            at.clone(),
            "network.tick is from 0.5ms to 100ms",
        );
        c.require(
            is_share(network.peer_loss),
            at.clone(),
            "network.peer_loss is a share from 0 to 1",
        );
        c.require(
            is_non_negative(network.peer_in_per_s),
            at.clone(),
            "network.peer_in_per_s is a number from 0 up",
        );
        let [shortest, longest] = network.peer_delay;
        c.require(
            shortest.0 <= longest.0,
            at.clone(),
            "network.peer_delay is the least and the most, in this order",
        );
        let reports = match network.reports.as_str() {
            "answers" => Reports::Answers,
            "probes" => Reports::Probes,
            "none" => Reports::None,
            other => {
                c.error(
                    at.clone(),
                    format!("network.reports is answers, probes or none, not {other}"),
                );
                Reports::None
            }
        };
        let counter = network
            .counter
            .map(|[shortest, longest]| (shortest.0, longest.0));
        let in_order = counter.is_none_or(|(shortest, longest)| shortest <= longest);
        c.require(
            in_order,
            at.clone(),
            "network.counter is the least and the most, in this order",
        );
        let i = self.ingresses.into_inner();
        c.require(
            (1..=MAX_INGRESSES).contains(&i.count),
            at.clone(),
            "count is from 1 to 64",
        );
        c.require(
            i.cores > 0.0 && i.cores <= 64.0,
            at.clone(),
            "cores is above 0",
        );
        c.require(
            i.memory_mb >= 16,
            at.clone(),
            "memory_mb is 16 at the least",
        );
        c.require(
            (64..=65_536).contains(&i.descriptors),
            at.clone(),
            "descriptors is from 64 to 65536",
        );
        let ports = i
            .port
            .is_none_or(|p| p >= 1024 && u32::from(p) + u32::from(i.count) < 65_536);
        c.require(
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
            c.require(hall.is_some(), span.clone(), &unknown);
            c.require(b.count > 0, span.clone(), "count is above 0");
            c.require(
                (1..=1024).contains(&b.cores),
                span.clone(),
                "cores is from 1 to 1024",
            );
            c.require(
                b.speed.is_finite() && b.speed > 0.0,
                span.clone(),
                "speed is above 0",
            );
            c.require(b.pod > 0, span.clone(), "pod is above 0");
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
        c.require(
            (1..=MAX_BACKENDS).contains(&count),
            top.clone(),
            "there are 1 to 2000 [[backends]] in all",
        );
        c.require(
            (1..=8).contains(&classes.len()),
            top.clone(),
            "there are 1 to 8 [[class]]es",
        );
        c.require(
            (1..=8).contains(&plans.len()),
            top,
            "there are 1 to 8 [[plan]]s",
        );
        let grouped = self.group.is_some();
        let group = self
            .group
            .map(|t| check_group(t, &network, reports, &i, &clients, &plans, c));
        let lasts = self.lasts.get_ref().0;
        let site = Site {
            ingresses: i.count,
            backends: count,
            seed: self.seed,
        };
        let mut steps: Vec<Step> = Vec::new();
        for row in self.at {
            let (span, row) = (row.span(), row.into_inner());
            let step = row.check(site, c);
            let is_counter_fault = step
                .as_ref()
                .is_some_and(|s| matches!(s.fault, Fault::Counter { .. }));
            c.require(
                !is_counter_fault || counter.is_some(),
                span.clone(),
                "there is no count service: network.counter is not given",
            );
            let fault = step.as_ref().map(|s| &s.fault);
            let is_link_fault = matches!(fault, Some(Fault::Link { .. }));
            c.require(
                !is_link_fault || grouped,
                span.clone(),
                "there are no links: [group] is not given",
            );
            let unsupported_in_group = matches!(
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
            c.require(!unsupported_in_group || !grouped, span, reason);
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
                peer_delay: (shortest.0, longest.0),
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
    let mut require = |valid: bool, reason: &str| c.require(valid, span.clone(), reason);
    require(
        t.rate > 0.0 && t.rate <= MAX_RATE,
        "rate is above 0 and 20000 requests a second at the most",
    );
    require(
        (1..=MAX_ACCOUNTS).contains(&t.accounts),
        "accounts is from 1 to 2000000",
    );
    require(t.connections <= 20_000, "connections is 20000 at the most");
    require(t.retries <= 10, "retries is 10 at the most");
    require(is_share(t.honour), "honour is a share from 0 to 1");
    require(is_share(t.leave), "leave is a share from 0 to 1");
    require(is_share(t.stay), "stay is a share from 0 to 1");
    require(t.most_connections != Some(0), "most_connections is above 0");
    require(is_share(t.heavy), "heavy is a share from 0 to 1");
    require(
        is_non_negative(t.heavy_factor),
        "heavy_factor is a number from 0 up",
    );
    let [low, high] = t.try_share;
    require(
        low > 0.0 && low <= high && high <= 1.0,
        "try_share is two shares above 0, the lesser first",
    );
    require(
        t.spread[0] > 0 && t.spread[0] <= t.spread[1],
        "spread is two numbers from 1 up, the lesser first",
    );
    require(t.shift.0 > 0, "shift is above 0");
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

/// Members of a group are configured by files, which can't express every option of a scenario; this rejects the others.
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
    let mut require = |valid: bool, reason: &str| c.require(valid, span.clone(), reason);
    let lease = t.lease.0;
    require(
        (SECOND * 3 / 10..=60 * SECOND).contains(&lease),
        "lease is from 300ms to 60s",
    );
    require(
        ["refuse", "as-known"].contains(&t.alone.as_str()),
        "alone is \"refuse\" or \"as-known\"",
    );
    require(
        i.count >= 3,
        "the ingresses decide by majority: count is 3 at the least",
    );
    require(
        clients.accounts <= MAX_GROUP_ACCOUNTS,
        "a group's accounts are listed one by one: 10000 at the most",
    );
    require(
        network.peers
            && network.weights
            && reports == Reports::Answers
            && network.counter.is_none(),
        "a group has peers, weights and reports in answers, and no count service",
    );
    require(
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
            c.error(
                t.effect.span(),
                format!("an effect is safe, keyed or unsafe, not {other}"),
            );
            Effect::Unsafe
        }
    };
    let mut require = |valid: bool, reason: &str| c.require(valid, span.clone(), reason);
    require(
        t.name
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b',' && b != b'='),
        "name is a plain word",
    );
    require(t.share > 0.0 && t.share.is_finite(), "share is above 0");
    require(t.work.0 > 0, "work is above 0");
    require(
        t.aim.0 > 0 && t.aim.0 <= t.deadline.0,
        "aim is above 0 and no longer than deadline",
    );
    require(t.worth > 0.0 && t.worth.is_finite(), "worth is above 0");
    require(
        t.units > 0.0 && t.units <= 100.0,
        "units is above 0 and 100 at the most",
    );
    require(all || t.group == "cell", "group is \"cell\" or \"all\"");
    require(
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
    let mut require = |valid: bool, reason: &str| c.require(valid, span.clone(), reason);
    require(
        t.name
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b',' && b != b'='),
        "name is a plain word",
    );
    require(t.share > 0.0 && t.share.is_finite(), "share is above 0");
    require(
        is_non_negative(t.rate) && is_non_negative(t.burst),
        "rate and burst are numbers from 0 up",
    );
    require(
        t.rate == 0.0 || t.burst > 0.0,
        "burst is above 0 where there is a rate",
    );
    require(
        is_non_negative(t.ceiling) && is_non_negative(t.ceiling_burst),
        "ceiling and ceiling_burst are from 0 up",
    );
    require(
        (t.ceiling > 0.0) == (t.ceiling_burst > 0.0),
        "ceiling and ceiling_burst come together",
    );
    require(
        t.ceiling == 0.0 || t.ceiling >= t.rate,
        "ceiling is not below rate",
    );
    require(
        is_non_negative(t.price) && is_non_negative(t.beyond_costs),
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
    fn spans_are_parsed_by_unit_and_invalid_ones_are_rejected() {
        assert_eq!(Span::parse("250ms"), Ok(Span(250_000)));
        assert_eq!(Span::parse("1.5s"), Ok(Span(1_500_000)));
        assert_eq!(Span::parse("2m"), Ok(Span(120_000_000)));
        for bad in ["-1s", "4", "s", "1e99s", "nans", "1 h", "", "two s", "99m"] {
            assert!(Span::parse(bad).is_err(), "{bad:?} was accepted");
        }
    }
}
