//! The settings of a gateway: the classes and plans that it serves, what the deployment permits,
//! and how its backends and its peers behave.

use crate::ids::{GatewayId, Micros};
use serde::{Deserialize, Serialize};

/// The most pools that a request may go to one after the other.
pub const MAX_ROUTE_POOLS: usize = 4;
/// The most pools: an endpoint has a bit for each.
pub const MAX_POOLS: usize = 64;

/// Which backends know an idempotency key, and drop repeats of a request that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyScope {
    /// Any of them.
    All,
    /// Those in the zone of the first backend.
    Zone,
    /// Those in the cell of the first backend.
    Cell,
}

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Inside a group of backends, for `window` after the send of the first attempt that may have
    /// run.
    WithKey {
        /// The backends that know the key.
        scope: KeyScope,
        /// How long they know it, in microseconds.
        window: Micros,
    },
    /// Only with proof that no earlier attempt ran.
    #[default]
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// An answer within this time, in microseconds, earns the full weight.
    pub latency_objective: Micros,
    /// The latency objective grows by this multiple of a request's own work.
    pub objective_stretch: f64,
    /// The longest that a client waits, in microseconds, over all its attempts.
    pub deadline: Micros,
    /// What an answer is worth.
    pub priority_weight: f64,
    /// The fraction of the weight left after the latency objective.
    pub late_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// The answer comes as a stream.
    pub streaming: bool,
}

/// A plan, and the quotas that each of its customers has over all gateways together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Plan {
    /// Units a second that refill the quota's token bucket; 0 for no quota on the rate.
    pub rate: f64,
    /// Units that the bucket holds.
    pub burst: f64,
    /// Attempts in flight at once; 0 for no such quota.
    pub max_in_flight: u32,
    /// Units a second that refill the hard ceiling's token bucket; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Units that the ceiling's bucket holds.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's bucket may go below nothing.
    pub ceiling_slack: f64,
    /// Factor on the priority weight.
    pub weight_factor: f64,
    /// Fraction of the weight earned beyond the quota.
    pub over_quota_weight: f64,
    /// Fraction of the weight that sending beyond the quota costs.
    pub over_quota_cost: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Backends may be sent health checks.
    pub health_checks: bool,
    /// Gateways may send each other messages.
    pub peers: bool,
    /// Messages from peers that a gateway takes in a second.
    pub peer_messages_per_s: f64,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest such time that a client keeps, in microseconds.
    pub max_retry_after: Micros,
    /// A shared counter may be used.
    pub shared_counter: bool,
    /// Requests pending at once.
    pub max_pending: u32,
}

/// How backends behave, as the deployment promises it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct BackendRules {
    /// A final answer counts until this long past the deadline, in microseconds.
    pub answer_slack: Micros,
    /// New work to a draining backend must have ended after this time, in microseconds.
    pub drain_grace: Micros,
    /// A backend starts at this fraction of its capacity or more.
    pub warm_up_from: f64,
    /// It has all of its capacity after this time, in microseconds.
    pub warm_up_time: Micros,
    /// A backend that warms up fails when sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this long, in microseconds.
    pub overload_window: Micros,
    /// Discovery must be polled at least this often, in microseconds, where it must be polled.
    pub max_poll_interval: Micros,
}

/// How the endpoint list comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum DiscoveryMode {
    /// By itself.
    #[default]
    Push,
    /// Only when polled.
    Poll,
}

/// What the weight of an endpoint means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum WeightMeaning {
    /// Nothing, it is always 1.
    #[default]
    None,
    /// Its capacity as registered, or roughly.
    Capacity,
    /// Capacity over load, as of some time ago.
    Live,
}

/// What a gateway is configured with at its start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Settings {
    /// How many gateways there are.
    pub gateway_count: u16,
    /// The number of this one.
    pub gateway_id: GatewayId,
    /// The zone of this gateway.
    pub zone: u8,
    /// The least time between two calls with a new clock, in microseconds.
    pub tick: Micros,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// What is permitted.
    pub limits: Limits,
    /// How backends behave.
    pub rules: BackendRules,
    /// How the endpoint list comes.
    pub discovery: DiscoveryMode,
    /// What the weights of endpoints mean.
    pub weights: WeightMeaning,
    /// The period of the meter that reports use, in microseconds; 0 for none.
    pub meter_period: Micros,
    /// Units are estimates, settled with the answer.
    pub post_paid: bool,
    /// How many pools of backends there are, up to [`MAX_POOLS`]; numbered from 1.
    pub pool_count: u8,
    /// Digests of the names of the classes and of the plans in their order: gateways whose settings
    /// differ for a while do not take a place in one list for what it means in another.
    pub name_digests: [u8; 2],
}
