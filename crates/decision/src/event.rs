//! Events that the host passes to the gateway: requests, attempt outcomes, endpoint lists, and
//! messages from peers.

use crate::ids::{BackendId, CustomerId, GatewayId, Micros, RequestId};
use crate::settings::{Settings, MAX_ROUTE_POOLS};
use serde::{Deserialize, Serialize};

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes the work it has and accepts no new work.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Endpoint {
    /// The backend at this endpoint.
    pub backend: BackendId,
    /// Zone that the backend runs in.
    pub zone: u8,
    /// Cell of the backend: backends in the same cell share their idempotency keys.
    pub cell: u16,
    /// Identifies the type of machine that the backend runs on.
    pub machine_kind: u16,
    /// Whether the backend accepts new work.
    pub state: EndpointState,
    /// Weight of the endpoint, interpreted according to [`WeightMeaning`](crate::WeightMeaning).
    pub weight: f64,
    /// When the backend last started; 0 if that was long ago.
    pub started_at: Micros,
    /// Bit set of the pools that contain the endpoint; the lowest bit is pool 1.
    pub pools: u64,
}

/// How to interpret an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Contains only the entries that changed.
    Delta,
    /// The complete list: a backend that is not listed is gone.
    Full,
    /// The complete list as last known before a restart; it may be stale.
    Cached,
    /// A call to discovery failed; the previous list remains in effect.
    Failed,
}

/// Load reported by a backend. Values that the backend does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being processed.
    pub in_flight: Option<f64>,
    /// Requests waiting in the backend's queue.
    pub queue: Option<f64>,
    /// Fraction of the CPU cores in use.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub served: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// Result of an attempt, a health check, or a call to a shared counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Succeeded.
    Ok,
    /// The backend answered with an error; the attempt may have run.
    Error,
    /// The backend rejected the attempt without processing it.
    Rejected,
    /// No answer arrived in time; the attempt may have run.
    TimedOut,
    /// No connection could be established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
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

/// A request from a client.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request in later events and actions.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u8,
    /// Index into [`Settings::plans`].
    pub plan: u16,
    /// The customer that sent the request.
    pub customer: CustomerId,
    /// Time at which the client gives up on the request.
    pub deadline: Micros,
    /// Units that the request draws from the customer's quota and ceiling.
    pub units: f64,
    /// Number of gateways that receive the customer's requests.
    pub gateway_span: f64,
    /// Number of the first of those gateways; the following numbers wrap around at
    /// [`Settings::gateway_count`].
    pub first_gateway: f64,
    /// Pools that the request may use, preferred first, numbered from 1. A 0 ends the list; a list
    /// of zeros allows every backend.
    pub route: [u8; MAX_ROUTE_POOLS],
    /// How many pools of `route`, counted from the first, are the request's own. It uses the
    /// remaining ones only as fallback traffic. Treated as at least 1.
    pub own_pools: u8,
}

/// An input to [`Gateway::handle`](crate::Gateway::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed or was delivered again.
    EndpointsChanged(EndpointListKind, Vec<Endpoint>),
    /// A request arrived.
    Request(Request),
    /// An attempt at a backend ended.
    AttemptCompleted {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u16,
        /// The backend that the attempt was sent to.
        backend: BackendId,
        /// Result of the attempt.
        outcome: Outcome,
        /// Whether the request has its final answer.
        complete: bool,
        /// Time that the attempt was in flight, in microseconds.
        elapsed: Micros,
        /// The customer's metered usage as a fraction of its rate or cap; `None` without a meter.
        metered_usage: Option<f64>,
        /// Actual units of the request, if units are settled after the answer.
        charged_units: Option<f64>,
        /// Load report sent with the answer, if any.
        report: Option<LoadReport>,
    },
    /// The first byte of a streamed answer arrived; from now on the client receives this attempt's
    /// answer.
    FirstByte {
        /// The request whose answer is streamed.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u16,
    },
    /// The client disconnected and needs no answer.
    ClientDisconnected(RequestId),
    /// New classes, plans, limits, backend rules, and pool count; other settings are unchanged. An
    /// index in a list keeps naming the same class or plan, and new requests do not use the index
    /// of a removed one.
    SettingsChanged(Box<Settings>),
    /// The timer with this token fired.
    Timer(u32),
    /// A health check ended.
    HealthChecked {
        /// The backend that was checked.
        backend: BackendId,
        /// Result of the health check.
        outcome: Outcome,
        /// Duration of the health check, in microseconds.
        elapsed: Micros,
        /// Load report sent with the answer, if any.
        report: Option<LoadReport>,
    },
    /// A message from a peer arrived.
    PeerMessage {
        /// The gateway that sent the message.
        from: GatewayId,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// A call to a shared counter ended.
    CounterUpdated {
        /// Identifier of the shared counter.
        counter: u64,
        /// Result of the call.
        outcome: Outcome,
        /// Total of the counter after the call; valid only with [`Outcome::Ok`].
        total: f64,
    },
}
