//! Settings of a gateway: its classes and plans, the operations that the deployment permits, and
//! the behavior of backends and peers.

use crate::ids::{GatewayId, Micros};
use serde::{Deserialize, Serialize};

/// Maximum number of pools in the route of a request.
pub const MAX_ROUTE_POOLS: usize = 4;
/// Maximum number of pools: [`Endpoint::pools`](crate::Endpoint::pools) has one bit per pool.
pub const MAX_POOLS: usize = 64;

/// Set of backends that share an idempotency key, and so drop a repeated request with that key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyScope {
    /// All backends.
    All,
    /// Backends in the same zone as the backend of the first attempt that may have run.
    Zone,
    /// Backends in the same cell as the backend of the first attempt that may have run.
    Cell,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Idempotency {
    /// The request may always be sent again.
    Idempotent,
    /// The request may be sent again to the backends in `scope`, until `window` after the first
    /// attempt that may have run was sent.
    WithKey {
        /// Backends that recognize the idempotency key.
        scope: KeyScope,
        /// How long those backends remember the key, in microseconds.
        window: Micros,
    },
    /// The request may be sent again only if it is certain that no earlier attempt ran.
    #[default]
    NotIdempotent,
}

/// A class of requests with common latency and retry requirements.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// Latency objective in microseconds: an answer within this time earns the full weight.
    pub latency_objective: Micros,
    /// The latency objective is extended by this multiple of a request's own work.
    pub objective_stretch: f64,
    /// Maximum time that a client waits over all attempts, in microseconds.
    pub deadline: Micros,
    /// Weight that an answer earns, before the factor of the customer's plan.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective earns.
    pub late_weight: f64,
    /// Whether a request may be sent again after an attempt that may have run.
    pub idempotency: Idempotency,
    /// Whether answers are streamed.
    pub streaming: bool,
}

/// A plan, with the quotas that each of its customers has across all gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Refill rate of the quota's token bucket in units per second; 0 means no rate quota.
    pub rate: f64,
    /// Capacity of the quota's token bucket in units.
    pub burst: f64,
    /// Maximum number of attempts in flight at once; 0 means no such quota.
    pub max_in_flight: u32,
    /// Refill rate of the hard ceiling's token bucket in units per second; 0 means no ceiling.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may go below zero.
    pub ceiling_slack: f64,
    /// Factor applied to the priority weight of the request's class.
    pub weight_factor: f64,
    /// Fraction of the weight that an answer beyond the quota earns.
    pub over_quota_weight: f64,
    /// Fraction of the weight that sending a request beyond the quota costs.
    pub over_quota_cost: f64,
}

/// Operations that the deployment permits, and their limits.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether hedged requests are permitted: two attempts of one request in flight at once.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent to backends.
    pub health_checks: bool,
    /// Whether gateways may send messages to each other.
    pub peers: bool,
    /// Messages per second that a gateway accepts from its peers.
    pub peer_messages_per_s: f64,
    /// Whether rejections advise clients how long to wait before they try again.
    pub retry_after: bool,
    /// Maximum wait advised to a client, in microseconds.
    pub max_retry_after: Micros,
    /// Whether shared counters may be used.
    pub shared_counter: bool,
    /// Maximum number of requests pending at once.
    pub max_pending: u32,
}

/// Behavior of backends that the deployment guarantees.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BackendRules {
    /// How long after the deadline a final answer still counts, in microseconds.
    pub answer_slack: Micros,
    /// Time within which new work sent to a draining backend must have ended, in microseconds.
    pub drain_grace: Micros,
    /// Minimum fraction of its capacity that a backend has when it starts.
    pub warm_up_from: f64,
    /// Time after its start at which a backend has its full capacity, in microseconds.
    pub warm_up_time: Micros,
    /// A backend that is warming up fails when it is sent more than this multiple of its capacity
    /// for `overload_window`.
    pub overload_factor: f64,
    /// How long a backend that is warming up tolerates more than `overload_factor`, in
    /// microseconds.
    pub overload_window: Micros,
    /// Maximum time between two polls of discovery, in microseconds; used with
    /// [`DiscoveryMode::Poll`].
    pub max_poll_interval: Micros,
}

/// How the gateway receives the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum DiscoveryMode {
    /// Discovery sends changes without being asked.
    #[default]
    Push,
    /// Discovery sends the list only when polled.
    Poll,
}

/// Meaning of the weight of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum WeightMeaning {
    /// The weight has no meaning and is always 1.
    #[default]
    None,
    /// Registered or approximate capacity of the backend.
    Capacity,
    /// Capacity divided by load, as of some time ago.
    Live,
}

/// Configuration of a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// Number of gateways in the deployment.
    pub gateway_count: u16,
    /// Number of this gateway, from 0.
    pub gateway_id: GatewayId,
    /// Zone that this gateway runs in.
    pub zone: u8,
    /// Minimum clock advance between two calls with different times, in microseconds.
    pub tick: Micros,
    /// Request classes; [`Request::class`](crate::Request::class) is an index into this list.
    pub classes: Vec<Class>,
    /// Plans; [`Request::plan`](crate::Request::plan) is an index into this list.
    pub plans: Vec<Plan>,
    /// Operations that the deployment permits.
    pub limits: Limits,
    /// Guaranteed behavior of backends.
    pub rules: BackendRules,
    /// How the gateway receives the endpoint list.
    pub discovery: DiscoveryMode,
    /// Meaning of the weights in the endpoint list.
    pub weights: WeightMeaning,
    /// Period of the meter that reports usage, in microseconds; 0 means no meter.
    pub meter_period: Micros,
    /// Whether units are estimates that are settled with the answer.
    pub post_paid: bool,
    /// Number of backend pools, numbered from 1, at most [`MAX_POOLS`].
    pub pool_count: u8,
    /// Digests of the class names and of the plan names, each in list order. Messages carry them so
    /// that gateways whose settings differ for a while do not misread each other's list indexes.
    pub name_digests: [u8; 2],
}
