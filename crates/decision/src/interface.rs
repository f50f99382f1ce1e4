//! The types at the border of the decision module: what a gateway is told at its start ([`Settings`]), what
//! it then sees ([`Event`]) and what it asks its host to do ([`Action`]). No decision lives here.

use serde::{Deserialize, Serialize};

/// A time on the host's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// A request, as named by the host. Never used twice.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct RequestId(pub u64);

/// A backend; means nothing but identity.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct BackendId(pub u64);

/// A customer, the holder of a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct CustomerId(pub u64);

/// The number of a gateway among its peers, from 0.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct GatewayNo(pub u16);

/// Which backends drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    /// Any of them.
    All,
    /// Those in the zone of the first backend.
    Zone,
    /// Those in the cell of the first backend.
    Cell,
}

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Repeat {
    /// Always.
    Safe,
    /// Inside a group of backends, for `window` after the send of the first attempt that may have run.
    Keyed {
        /// The backends that know the key.
        group: Group,
        /// How long they know it.
        window: Micros,
    },
    /// Only with proof that no earlier attempt ran.
    #[default]
    Once,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub aim: Micros,
    /// The aim grows by this multiple of a request's own work.
    pub aim_stretch: f64,
    /// The longest a client waits, over all its tries.
    pub deadline: Micros,
    /// What a request is worth.
    pub worth: f64,
    /// The share of the worth left after the aim.
    pub late_worth: f64,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// The answer comes as a stream.
    pub stream: bool,
}

/// A plan, and the quotas that each of its customers has over all gateways together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Units a second that fill the quota's token bucket; 0 for no quota on the rate.
    pub rate: f64,
    /// Units that the bucket holds.
    pub burst: f64,
    /// Attempts out at once; 0 for no such quota.
    pub open_cap: u32,
    /// Units a second that fill the hard ceiling's token bucket; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling's bucket holds.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may go below nothing.
    pub ceiling_slack: f64,
    /// Factor on the worth.
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    pub over_worth: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub over_cost: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Backends may be probed.
    pub probes: bool,
    /// Gateways may send each other messages.
    pub peers: bool,
    /// Messages that a gateway takes in a second.
    pub peer_in_per_s: f64,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest pause that a client keeps.
    pub max_retry_after: Micros,
    /// A shared counter may be used.
    pub counter: bool,
    /// Requests open at once.
    pub max_open: u32,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Rules {
    /// A final answer counts until this long past the deadline.
    pub answer_slack: Micros,
    /// New work to a draining backend must have ended after this.
    pub drain_grace: Micros,
    /// A backend starts at this share of its capacity or more.
    pub cold_from: f64,
    /// It is warm after this long.
    pub cold_time: Micros,
    /// A cold backend falls over when sent more than this multiple of its capacity ...
    pub fall_factor: f64,
    /// ... for this long.
    pub fall_time: Micros,
    /// Discovery must be asked at least this often where it must be asked.
    pub must_ask: Micros,
}

/// How the list of backends comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Discovery {
    /// By itself.
    #[default]
    Push,
    /// Only when asked for.
    Ask,
}

/// What the `size` of a backend means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum SizeMeaning {
    /// Nothing, it is always 1.
    #[default]
    None,
    /// Its capacity as registered, or roughly.
    Capacity,
    /// Capacity over load, as of some time ago.
    Live,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u16,
    /// The number of this one.
    pub me: GatewayNo,
    /// The zone of this gateway.
    pub zone: u8,
    /// The least time between two calls with a new clock.
    pub tick: Micros,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// What is permitted.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// How the list of backends comes.
    pub discovery: Discovery,
    /// What sizes mean.
    pub sizes: SizeMeaning,
    /// The period of the meter that reports use; 0 for none.
    pub meter_period: Micros,
    /// Units are guesses, settled with the answer.
    pub post_paid: bool,
    /// How many pools of backends there are, up to [`MOST_POOLS`]; numbered from 1.
    pub pools: u8,
    /// Digests of the names of the classes and of the plans at their places: gateways whose settings differ for a while do not
    /// take a place for what it means elsewhere.
    pub words: [u8; 2],
}

/// The state of a backend as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Availability {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work, takes nothing new.
    Draining,
    /// Taken away.
    Gone,
}

/// A line of the list of backends.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Listed {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: backends that know each other's keys.
    pub cell: u16,
    /// The kind of its machine.
    pub kind: u16,
    /// Its state.
    pub availability: Availability,
    /// Its size, see [`SizeMeaning`].
    pub size: f64,
    /// When it last started; 0 for long ago.
    pub started: Micros,
    /// The pools that it is of: the lowest bit for pool 1.
    pub pools: u64,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RosterKind {
    /// Changed lines only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last held before a restart, perhaps stale.
    Cached,
    /// A call to discovery failed; the list stays as it was.
    Failed,
}

/// The load that a backend reported, as far as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests in work.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub served: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u8,
    /// Index into [`Settings::plans`].
    pub plan: u16,
    /// Whose it is.
    pub customer: CustomerId,
    /// When the client abandons it.
    pub deadline: Micros,
    /// What it draws from the quota.
    pub units: f64,
    /// Over how many gateways the customer's requests come.
    pub width: f64,
    /// The first of these, counted round.
    pub first: f64,
    /// The pools that it may go to, best first, as numbers from 1; nought ends them, and all nought is every backend.
    pub tiers: [u8; MOST_TIERS],
    /// How many of these are its own, rather than what it falls back on; at least one is.
    pub own: u8,
}

/// The most pools that a request may go to one after the other.
pub const MOST_TIERS: usize = 4;
/// The most pools: a backend has a bit for each.
pub const MOST_POOLS: usize = 64;

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list of backends.
    Roster(RosterKind, Vec<Listed>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    Settled {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u16,
        /// Where it went.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// The request has its final answer.
        complete: bool,
        /// How long it was out.
        took: Micros,
        /// The customer's metered use as a share of its rate or cap, where there is a meter.
        metered: Option<f64>,
        /// True units, where they are settled afterwards.
        charged: Option<f64>,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// A streamed answer began; the attempt is the client's from now on.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// The client left; no answer is owed.
    Withdrawn(RequestId),
    /// Other classes, plans, limits and figures of the rules from now on; all else of them is as it was. A place in a list
    /// stays its class's or plan's; one that is no longer there is in no request that comes.
    Settings(Box<Settings>),
    /// A timer came due.
    Timer(u32),
    /// A probe ended.
    Probed {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Micros,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// A peer's message.
    Peer {
        /// The sender.
        from: GatewayNo,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A counter call ended.
    Counted {
        /// The number's name.
        name: u64,
        /// How it ended.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
}

/// What a gateway asks its host to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend; `expires` 0 means at the client's deadline.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to give the attempt up.
        expires: Micros,
        /// The latest moment at which it may begin. What is not written whole by then, since its connection came up late, is
        /// not sent: it never ran.
        begin_by: Micros,
    },
    /// Final answer: refused, trying again is harmless; `pause` 0 gives no advice.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should keep away.
        pause: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u16,
    },
    /// Wake the gateway after `delay` with [`Event::Timer`].
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back with the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer, or to all.
    Tell {
        /// The receiver; none means all.
        to: Option<GatewayNo>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Probe a backend.
    Probe(BackendId),
    /// Close idle connections to a backend.
    CloseIdle(BackendId),
    /// Subscribe to discovery, or no longer.
    Watch(bool),
    /// Ask discovery for the whole list once.
    FetchRoster,
    /// Add to a shared number.
    Count {
        /// Its name.
        name: u64,
        /// The amount.
        delta: f64,
        /// How long a new name lives.
        lifetime: Micros,
    },
    /// A line for the log.
    Log(String),
}
