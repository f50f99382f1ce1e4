//! The layout of a gateway's stored state, field by field in stored order. This second description,
//! independent of the types in `src`, checks the meaning of the stored bytes and shows which
//! optional contents a golden state has.
#![allow(dead_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wrenfork_decision::{
    BackendId, Class, CustomerId, Endpoint, Micros, Request, RequestId, Settings,
};

#[derive(Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub endpoint: Endpoint,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub cancelled: bool,
    pub released: bool,
    pub pool: usize,
    pub fallback: bool,
    pub never_ran: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct PendingRequest {
    pub request: Request,
    pub class: Class,
    pub max_attempts: u32,
    pub arrived_at: Micros,
    pub attempts: Vec<Attempt>,
    pub done: bool,
    pub streaming: bool,
    pub awaiting_owner: bool,
    pub owner_query_scheduled: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct ReportedUsage {
    pub total: u16,
    pub pledged: f64,
    pub rate: f64,
    pub at: Micros,
    pub in_flight: u8,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Customer {
    pub plan: usize,
    pub tokens: f64,
    pub refilled_at: Micros,
    pub ceiling_tokens: f64,
    pub used: f64,
    pub owner_pair: [u16; 2],
    pub ceiling_share: f64,
    pub first_gateway: u16,
    pub asked_units: f64,
    pub wants_ceiling: bool,
    pub asked: u16,
    pub pledged: f64,
    pub granted: f64,
    pub rate: f64,
    pub in_flight: u32,
    pub gateway_span: f64,
    pub seen_at: Micros,
    pub owners: Vec<u16>,
    pub is_owner: bool,
    pub reported: BTreeMap<u16, ReportedUsage>,
    pub others_rate: f64,
    pub others_in_flight: u32,
    pub updated_at: Micros,
    pub asked_at: Micros,
    pub answered: Vec<u16>,
    pub waiting: Vec<RequestId>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Peer {
    pub incarnation: u32,
    pub last_received: u16,
    pub last_sent: u16,
    pub next_at: Micros,
    pub silent_until: Micros,
    pub cursor: CustomerId,
    pub outbox: BTreeMap<CustomerId, (u8, bool)>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Health {
    pub errors: f64,
    pub noted_at: Micros,
    pub answered_at: Micros,
    pub ejected_until: Micros,
    pub consecutive_ejections: u32,
    pub last_silent: Option<BackendId>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Backend {
    pub endpoint: Endpoint,
    pub weight: f64,
    pub ready: bool,
    pub in_flight: u32,
    pub relative_latency: f64,
    pub has_failed: bool,
    pub health: Vec<Health>,
    pub queue: f64,
    pub queue_reported_at: Micros,
    pub warm_up_sends: Vec<Micros>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Backends {
    pub index_by_id: BTreeMap<BackendId, usize>,
    pub records: Vec<Backend>,
    pub free: Vec<usize>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct LatencyBaseline {
    pub recent: f64,
    pub calm: f64,
    pub long: f64,
    pub count: f64,
    pub at: Micros,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum AttemptOutcome {
    Answered(f64),
    Failed,
    Silent,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Sample {
    pub tag: u32,
    pub class: u8,
    pub outcome: AttemptOutcome,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Pool {
    pub backend_indices: Vec<usize>,
    pub weight: f64,
    pub capacity: f64,
    pub waiting: Vec<RequestId>,
    pub in_flight: u32,
    pub fallback_in_flight: u32,
    pub fallback_pressure: f64,
    pub fallback_pressure_at: Micros,
    pub own_peak: f64,
    pub own_peak_at: Micros,
    pub limit_per_backend: f64,
    pub limit_cut_at: Micros,
    pub pressure: f64,
    pub pressure_at: Micros,
    pub slowdown: f64,
    pub rejected: f64,
    pub level: usize,
    pub level_since: Micros,
    pub error_rate: f64,
    pub failing: bool,
    pub recovering_since: Option<Micros>,
    pub had_members: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct StoredGateway {
    pub settings: Settings,
    pub choice_seed: u64,
    pub now: Micros,
    pub started_at: Micros,
    pub settings_changed_at: Micros,
    pub wake_at: Micros,
    pub stall_ended_at: Micros,
    pub requests: BTreeMap<RequestId, PendingRequest>,
    pub scheduled_checks: Vec<(Micros, RequestId)>,
    pub customers: BTreeMap<CustomerId, Customer>,
    pub peers: BTreeMap<u16, Peer>,
    pub due: BTreeSet<u16>,
    pub samples: Vec<(u8, Sample)>,
    pub backends: Backends,
    pub backend_by_tag: BTreeMap<u32, BackendId>,
    pub pools: Vec<Pool>,
    pub warming_weight_counted_at: Micros,
    pub warming_weight: f64,
    pub recent_warm_up_sends: Vec<Micros>,
    pub message_tokens: f64,
    pub message_tokens_refilled_at: Micros,
    pub zones: BTreeMap<u8, Health>,
    pub latency_baselines: Vec<LatencyBaseline>,
    pub mean_latency: f64,
    pub retry_tokens: f64,
    pub sent_rate: f64,
    pub sent_at: Micros,
    pub report_period: Micros,
    pub next_sweep_at: Micros,
    pub next_poll_at: Micros,
    pub gateway_count: u64,
}

/// Name of an optional content of a state, and whether the state has it.
pub type Feature = (&'static str, bool);

impl StoredGateway {
    /// All optional contents by name, with whether this state has them.
    pub fn features(&self) -> Vec<Feature> {
        let all = [
            self.request_features(),
            self.customer_features(),
            self.backend_features(),
            self.pool_features(),
        ];
        all.concat()
    }

    fn request_features(&self) -> Vec<Feature> {
        let requests = || self.requests.values();
        let attempts = || requests().flat_map(|r| &r.attempts);
        vec![
            ("settings changed", self.settings_changed_at > 0),
            ("stall ended", self.stall_ended_at > 0),
            ("attempt in flight", attempts().any(|a| a.in_flight)),
            ("several attempts", requests().any(|r| r.attempts.len() > 1)),
            ("attempt cancelled", attempts().any(|a| a.cancelled)),
            ("attempt released", attempts().any(|a| a.released)),
            ("attempt that never ran", attempts().any(|a| a.never_ran)),
            (
                "attempt as fallback traffic",
                attempts().any(|a| a.fallback),
            ),
            ("attempt in a pool", attempts().any(|a| a.pool > 0)),
            ("request done", requests().any(|r| r.done)),
            ("request streaming", requests().any(|r| r.streaming)),
            (
                "request awaiting an owner",
                requests().any(|r| r.awaiting_owner),
            ),
            (
                "request with an owner query scheduled",
                requests().any(|r| r.owner_query_scheduled),
            ),
            ("scheduled checks", self.scheduled_checks.len() > 3),
        ]
    }

    fn customer_features(&self) -> Vec<Feature> {
        let customers = || self.customers.values();
        vec![
            (
                "customer with reported usage",
                customers().any(|c| !c.reported.is_empty()),
            ),
            (
                "customer with several owners",
                customers().any(|c| c.owners.len() > 1),
            ),
            (
                "customer with an answered owner query",
                customers().any(|c| !c.answered.is_empty()),
            ),
            (
                "customer with waiting requests",
                customers().any(|c| !c.waiting.is_empty()),
            ),
            (
                "customer with pledged units",
                customers().any(|c| c.pledged > 0.0),
            ),
            (
                "customer with a ceiling grant",
                customers().any(|c| c.granted > 0.0),
            ),
            (
                "customer in flight here and elsewhere",
                customers().any(|c| c.in_flight > 0 && c.others_in_flight > 0),
            ),
            (
                "customer that wants ceiling tokens",
                customers().any(|c| c.wants_ceiling),
            ),
            (
                "peer with an outbox",
                self.peers.values().any(|p| !p.outbox.is_empty()),
            ),
            (
                "silent peer",
                self.peers.values().any(|p| p.silent_until > 0),
            ),
            ("peers due for a message", !self.due.is_empty()),
            ("samples", !self.samples.is_empty()),
        ]
    }

    fn backend_features(&self) -> Vec<Feature> {
        let backends = || self.backends.records.iter();
        let health = || backends().flat_map(|b| &b.health);
        vec![
            ("free backend records", !self.backends.free.is_empty()),
            (
                "ejected backend",
                health().any(|h| h.consecutive_ejections > 0 && h.ejected_until > 0),
            ),
            (
                "backend with a reported queue",
                backends().any(|b| b.queue > 0.0 && b.queue_reported_at > 0),
            ),
            (
                "backend with warm-up sends",
                backends().any(|b| !b.warm_up_sends.is_empty()),
            ),
            ("warm-up sends", !self.recent_warm_up_sends.is_empty()),
            ("backend tags", !self.backend_by_tag.is_empty()),
            ("zones", !self.zones.is_empty()),
            (
                "zone with a silent backend",
                self.zones.values().any(|z| z.last_silent.is_some()),
            ),
            ("warming backends", self.warming_weight > 0.0),
        ]
    }

    fn pool_features(&self) -> Vec<Feature> {
        let pools = || self.pools.iter();
        vec![
            ("pool with a queue", pools().any(|p| !p.waiting.is_empty())),
            (
                "pool with fallback traffic",
                pools().any(|p| p.fallback_in_flight > 0),
            ),
            (
                "pool with a raised load-shedding level",
                pools().any(|p| p.level > 0 && p.level_since > 0),
            ),
            ("pool with rejections", pools().any(|p| p.rejected > 0.0)),
            ("failing pool", pools().any(|p| p.failing)),
            (
                "recovering pool",
                pools().any(|p| p.recovering_since.is_some()),
            ),
            (
                "pool with a lowered concurrency limit",
                pools().any(|p| p.limit_cut_at > 0),
            ),
        ]
    }

    /// Names of the optional contents that this state has.
    pub fn present_features(&self) -> BTreeSet<&'static str> {
        self.features()
            .into_iter()
            .filter_map(|(name, has)| has.then_some(name))
            .collect()
    }
}
