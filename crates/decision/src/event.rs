//! What a gateway sees: requests, how their attempts end, the endpoint list, peers' messages.

use crate::ids::{BackendId, CustomerId, GatewayId, Micros, RequestId};
use crate::settings::{Settings, MAX_ROUTE_POOLS};
use serde::{Deserialize, Serialize};

/// The state of an endpoint as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work, takes nothing new.
    Draining,
    /// Taken off the list.
    Removed,
}

/// A line of the endpoint list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// The backend.
    pub backend: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: backends that know each other's idempotency keys.
    pub cell: u16,
    /// The kind of its machine.
    pub machine_kind: u16,
    /// Its state.
    pub state: EndpointState,
    /// Its weight, see [`WeightMeaning`](crate::WeightMeaning).
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Micros,
    /// The pools that it is in: the lowest bit for pool 1.
    pub pools: u64,
}

/// How an endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changed lines only.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last known before a restart, perhaps stale.
    Cached,
    /// A call to discovery failed; the list stays as it was.
    Failed,
}

/// The load that a backend reported, as far as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in work.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Fraction of the cores in use.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub served: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Rejected by the backend, unseen.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A client's request.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Request {
    /// Its identity.
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
    /// How many gateways the customer's requests come through.
    pub gateway_span: f64,
    /// The first of these, counted round.
    pub first_gateway: f64,
    /// The pools that it may go to, best first, as numbers from 1; 0 ends them, and all 0 is every
    /// backend.
    pub route: [u8; MAX_ROUTE_POOLS],
    /// How many of these are its own, rather than what it falls back on; at least one is.
    pub own_pools: u8,
}

/// What a gateway sees.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or came anew.
    EndpointsChanged(EndpointListKind, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    AttemptCompleted {
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
        /// How long it was in flight, in microseconds.
        elapsed: Micros,
        /// The customer's metered use as a fraction of its rate or cap, where there is a meter.
        metered_usage: Option<f64>,
        /// True units, where they are settled afterwards.
        charged_units: Option<f64>,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A streamed answer began; the attempt is the client's from now on.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// The client left; no answer is owed.
    ClientDisconnected(RequestId),
    /// Other classes, plans, limits and backend rules from now on; all else of them is as it was. A
    /// place in a list stays its class's or plan's; one that is no longer there is in no request
    /// that comes.
    SettingsChanged(Box<Settings>),
    /// A timer came due.
    Timer(u32),
    /// A health check ended.
    HealthChecked {
        /// The backend.
        backend: BackendId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took, in microseconds.
        elapsed: Micros,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A peer's message.
    PeerMessage {
        /// The sender.
        from: GatewayId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A call to a shared counter ended.
    CounterUpdated {
        /// The counter's name.
        counter: u64,
        /// How it ended.
        outcome: Outcome,
        /// The total, with [`Outcome::Ok`].
        total: f64,
    },
}
