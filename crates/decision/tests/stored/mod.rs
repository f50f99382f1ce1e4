//! The layout of a gateway's stored state, field by field as it is written: a second, independent
//! description that shows which parts of a golden state are filled, and that the bytes mean what
//! they always did.
#![allow(dead_code)]

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use wrenfork_decision::{
    BackendId, Class, CustomerId, Endpoint, Micros, Request, RequestId, Settings,
};

#[derive(Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub to: Endpoint,
    pub sent: Micros,
    pub out: bool,
    pub cancelled: bool,
    pub lost: bool,
    pub pool: usize,
    pub guest: bool,
    pub void: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Open {
    pub request: Request,
    pub class: Class,
    pub most: u32,
    pub arrived: Micros,
    pub attempts: Vec<Attempt>,
    pub done: bool,
    pub streaming: bool,
    pub held: bool,
    pub asks_again: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Heard {
    pub total: u16,
    pub promised: f64,
    pub rate: f64,
    pub at: Micros,
    pub open: u8,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Customer {
    pub plan: usize,
    pub level: f64,
    pub filled: Micros,
    pub ceiling: f64,
    pub used: f64,
    pub pools: [u16; 2],
    pub part: f64,
    pub first: u16,
    pub asks: f64,
    pub short: bool,
    pub asked: u16,
    pub promise: f64,
    pub granted: f64,
    pub rate: f64,
    pub open: u32,
    pub width: f64,
    pub seen: Micros,
    pub homes: Vec<u16>,
    pub home: bool,
    pub heard: BTreeMap<u16, Heard>,
    pub others: f64,
    pub others_open: u32,
    pub news_at: Micros,
    pub asked_at: Micros,
    pub answered: Vec<u16>,
    pub held: Vec<RequestId>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Peer {
    pub born: u32,
    pub seq: u16,
    pub sent: u16,
    pub next: Micros,
    pub silent_until: Micros,
    pub told: CustomerId,
    pub outbox: BTreeMap<CustomerId, (u8, bool)>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Health {
    pub errors: f64,
    pub at: Micros,
    pub heard: Micros,
    pub rest_until: Micros,
    pub strikes: u32,
    pub by: Option<BackendId>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Backend {
    pub listed: Endpoint,
    pub size: f64,
    pub ready: bool,
    pub out: u32,
    pub slow: f64,
    pub troubled: bool,
    pub health: Vec<Health>,
    pub queue: f64,
    pub told_at: Micros,
    pub cold_sends: Vec<Micros>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Backends {
    pub places: BTreeMap<BackendId, usize>,
    pub records: Vec<Backend>,
    pub free: Vec<usize>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Usual {
    pub recent: f64,
    pub calm: f64,
    pub long: f64,
    pub count: f64,
    pub at: Micros,
}

#[derive(Debug, Serialize, Deserialize)]
pub enum Fared {
    Answered(f64),
    Failed,
    Silent,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Sample {
    pub tag: u32,
    pub class: u8,
    pub fared: Fared,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Pool {
    pub order: Vec<usize>,
    pub ready_size: f64,
    pub able: f64,
    pub waiting: Vec<RequestId>,
    pub out: u32,
    pub guests: u32,
    pub guest_pressure: f64,
    pub guest_at: Micros,
    pub need: f64,
    pub need_at: Micros,
    pub places: f64,
    pub limit_at: Micros,
    pub pressure: f64,
    pub pressure_at: Micros,
    pub strain: f64,
    pub turned_away: f64,
    pub rung: usize,
    pub rung_since: Micros,
    pub bad: f64,
    pub fails: bool,
    pub back_at: Option<Micros>,
    pub known: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Stored {
    pub settings: Settings,
    pub rng: u64,
    pub now: Micros,
    pub born: Micros,
    pub changed_at: Micros,
    pub wake_at: Micros,
    pub woke: Micros,
    pub requests: BTreeMap<RequestId, Open>,
    pub checks: Vec<(Micros, RequestId)>,
    pub customers: BTreeMap<CustomerId, Customer>,
    pub peers: BTreeMap<u16, Peer>,
    pub due: BTreeSet<u16>,
    pub samples: Vec<(u8, Sample)>,
    pub backends: Backends,
    pub tags: BTreeMap<u32, BackendId>,
    pub pools: Vec<Pool>,
    pub able_at: Micros,
    pub cold_able: f64,
    pub cold_sends: Vec<Micros>,
    pub tells: f64,
    pub tells_at: Micros,
    pub zones: BTreeMap<u8, Health>,
    pub usual: Vec<Usual>,
    pub pace: f64,
    pub retries: f64,
    pub sent_rate: f64,
    pub sent_at: Micros,
    pub period: Micros,
    pub sweep_at: Micros,
    pub watch_at: Micros,
    pub shares: u64,
}

/// A part of a state by name, and whether the state has it.
pub type Part = (&'static str, bool);

impl Stored {
    /// The parts that a state may have or not, by name, with whether it has them.
    pub fn parts(&self) -> Vec<Part> {
        let all = [
            self.request_parts(),
            self.customer_parts(),
            self.backend_parts(),
            self.pool_parts(),
        ];
        all.concat()
    }

    fn request_parts(&self) -> Vec<Part> {
        let requests = || self.requests.values();
        let attempts = || requests().flat_map(|r| &r.attempts);
        vec![
            ("settings changed", self.changed_at > 0),
            ("stall", self.woke > 0),
            ("attempts", attempts().any(|a| a.out)),
            ("several attempts", requests().any(|r| r.attempts.len() > 1)),
            ("attempt cancelled", attempts().any(|a| a.cancelled)),
            ("attempt lost", attempts().any(|a| a.lost)),
            ("attempt void", attempts().any(|a| a.void)),
            ("attempt as a guest", attempts().any(|a| a.guest)),
            ("attempt in a pool", attempts().any(|a| a.pool > 0)),
            ("request done", requests().any(|r| r.done)),
            ("request streaming", requests().any(|r| r.streaming)),
            ("request held", requests().any(|r| r.held)),
            ("request asks again", requests().any(|r| r.asks_again)),
            ("checks", self.checks.len() > 3),
        ]
    }

    fn customer_parts(&self) -> Vec<Part> {
        let customers = || self.customers.values();
        vec![
            ("customer's heard", customers().any(|c| !c.heard.is_empty())),
            ("customer's homes", customers().any(|c| c.homes.len() > 1)),
            (
                "customer's answered",
                customers().any(|c| !c.answered.is_empty()),
            ),
            ("customer's held", customers().any(|c| !c.held.is_empty())),
            ("customer's promise", customers().any(|c| c.promise > 0.0)),
            ("customer's grant", customers().any(|c| c.granted > 0.0)),
            (
                "customer's open",
                customers().any(|c| c.open > 0 && c.others_open > 0),
            ),
            ("customer short", customers().any(|c| c.short)),
            (
                "peer's outbox",
                self.peers.values().any(|p| !p.outbox.is_empty()),
            ),
            (
                "peer silent",
                self.peers.values().any(|p| p.silent_until > 0),
            ),
            ("due", !self.due.is_empty()),
            ("samples", !self.samples.is_empty()),
        ]
    }

    fn backend_parts(&self) -> Vec<Part> {
        let backends = || self.backends.records.iter();
        let health = || backends().flat_map(|b| &b.health);
        vec![
            ("free places", !self.backends.free.is_empty()),
            (
                "backend ejected",
                health().any(|h| h.strikes > 0 && h.rest_until > 0),
            ),
            (
                "backend's queue",
                backends().any(|b| b.queue > 0.0 && b.told_at > 0),
            ),
            (
                "backend's cold sends",
                backends().any(|b| !b.cold_sends.is_empty()),
            ),
            ("cold sends", !self.cold_sends.is_empty()),
            ("tags", !self.tags.is_empty()),
            ("zones", !self.zones.is_empty()),
            (
                "zone's last silent one",
                self.zones.values().any(|z| z.by.is_some()),
            ),
            ("cold backends", self.cold_able > 0.0),
        ]
    }

    fn pool_parts(&self) -> Vec<Part> {
        let pools = || self.pools.iter();
        vec![
            ("pool's line", pools().any(|p| !p.waiting.is_empty())),
            ("pool's guests", pools().any(|p| p.guests > 0)),
            (
                "pool's rung",
                pools().any(|p| p.rung > 0 && p.rung_since > 0),
            ),
            ("pool turned away", pools().any(|p| p.turned_away > 0.0)),
            ("pool fails", pools().any(|p| p.fails)),
            ("pool back", pools().any(|p| p.back_at.is_some())),
            ("pool's limit cut", pools().any(|p| p.limit_at > 0)),
        ]
    }

    /// The names of the parts that this state has.
    pub fn filled(&self) -> BTreeSet<&'static str> {
        self.parts()
            .into_iter()
            .filter_map(|(name, has)| has.then_some(name))
            .collect()
    }
}
