//! Pools of backends: the backends of each pool, its attempts in flight, its queue, and its load.
//! Pool 0 contains all backends. Each pool decides on its own how many attempts may be in flight
//! and which requests are rejected: an overloaded pool sheds only its own load.

mod fallback;
mod recovery;
pub(crate) mod routing;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::ids::{Micros, RequestId};
use crate::load_shedding::{LevelChange, LoadShedding, PressureSample};
use crate::requests::PoolSelection;
use fallback::FallbackTraffic;
use recovery::PoolRecovery;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The ready backends of a pool.
#[derive(Default, Serialize, Deserialize)]
struct Members {
    /// Their indices in [`Backends`](crate::backends::Backends), in an order specific to this
    /// gateway.
    backend_indices: Vec<usize>,
    weight: f64,
    /// Effective number of backends: a slow one, or one that warms up, counts for less than one.
    capacity: f64,
}

/// The state of a pool on this gateway.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pool {
    members: Members,
    waiting: VecDeque<RequestId>,
    /// Attempts in flight that were sent through this pool.
    in_flight: u32,
    fallback: FallbackTraffic,
    limit: ConcurrencyLimit,
    shedding: LoadShedding,
    recovery: PoolRecovery,
}

/// A change of a pool's load-shedding level, with the values that led to it.
pub(crate) struct PoolLevelChange {
    pub(crate) level: LevelChange,
    pub(crate) pressure: f64,
    pub(crate) limit: f64,
    pub(crate) in_flight: u32,
}

impl Pool {
    fn new() -> Pool {
        Pool {
            limit: ConcurrencyLimit::new(),
            ..Pool::default()
        }
    }

    /// Indices of the pool's ready backends.
    pub(crate) fn backend_indices(&self) -> &[usize] {
        &self.members.backend_indices
    }

    /// Total weight of the pool's ready backends.
    pub(crate) fn weight(&self) -> f64 {
        self.members.weight
    }

    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.members.capacity = capacity;
    }

    /// Replaces the pool's ready backends. If the pool had lost all of its backends before, its
    /// load shedding is reset.
    pub(crate) fn set_members(&mut self, backend_indices: Vec<usize>, weight: f64, now: Micros) {
        let was_empty = self.members.backend_indices.is_empty();
        let returned = self
            .recovery
            .note_members(was_empty, backend_indices.is_empty(), now);
        if returned {
            self.shedding.reset();
        }
        self.members.backend_indices = backend_indices;
        self.members.weight = weight;
    }

    pub(crate) fn level(&self) -> usize {
        self.shedding.level()
    }

    pub(crate) fn shedding_mut(&mut self) -> &mut LoadShedding {
        &mut self.shedding
    }

    pub(crate) fn queue_length(&self) -> usize {
        self.waiting.len()
    }

    /// The request at the head of the queue.
    pub(crate) fn queue_head(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.waiting.push_back(id);
    }

    pub(crate) fn dequeue(&mut self) {
        self.waiting.pop_front();
    }

    /// Empties the queue and returns its requests in order.
    pub(crate) fn take_queue(&mut self) -> VecDeque<RequestId> {
        std::mem::take(&mut self.waiting)
    }

    /// The number of attempts that this gateway, one of `gateways`, may have in flight through the
    /// pool.
    pub(crate) fn concurrency_limit(&self, gateways: u64) -> f64 {
        let pressure = self.shedding.pressure();
        self.limit
            .value(self.members.capacity, pressure, gateways as f64)
    }

    /// Fraction of the pool that a request may use, from 0 to 1.
    pub(crate) fn usable_fraction(&self, fallback: bool, gateways: u64, now: Micros) -> f64 {
        if fallback {
            let limit = self.concurrency_limit(gateways);
            self.fallback.usable_fraction(limit, self.own_load(), now)
        } else {
            1.0
        }
    }

    /// Slots that the pool's own requests need now: attempts in flight and queued requests.
    fn own_load(&self) -> f64 {
        let own = self.fallback.own_in_flight(self.in_flight);
        f64::from(own) + self.waiting.len() as f64
    }

    /// Records that an attempt is sent through the pool.
    pub(crate) fn note_sent(&mut self, fallback: bool, now: Micros) {
        self.in_flight += 1;
        if fallback {
            self.fallback.note_sent();
        } else {
            let load = self.own_load();
            self.fallback.note_own_load(load, now);
        }
    }

    /// Records that an attempt sent through the pool has ended, or no longer counts.
    pub(crate) fn release(&mut self, fallback: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.fallback.release(fallback);
    }

    /// Adds the load seen by one answer. An answer of the pool's own requests counts towards its
    /// pressure and may grow its concurrency limit; one of fallback traffic is kept apart.
    pub(crate) fn note_pressure(
        &mut self,
        fallback: bool,
        sample: PressureSample,
        gateways: u64,
        now: Micros,
    ) {
        if fallback {
            return self.fallback.note_pressure(sample.pressure, now);
        }
        let limit = self.concurrency_limit(gateways);
        self.shedding.note_answer(sample, now);
        self.limit
            .grow(&self.shedding, f64::from(self.in_flight), limit);
    }

    /// Records the outcome of an attempt sent through the pool.
    pub(crate) fn note_outcome(&mut self, failed: bool, now: Micros) {
        self.recovery.note_outcome(failed, now);
    }

    /// Adjusts the load-shedding level and the concurrency limit to the current pressure; returns a
    /// change of the level.
    pub(crate) fn step(&mut self, gateways: u64, now: Micros) -> Option<PoolLevelChange> {
        let limit = self.concurrency_limit(gateways);
        let change = self.shedding.step(now);
        let pressure = self.shedding.pressure();
        self.limit.cut(pressure, now);
        change.map(|level| PoolLevelChange {
            level,
            pressure,
            limit,
            in_flight: self.in_flight,
        })
    }

    /// Whether one of the pool's own requests may be sent at once.
    fn has_capacity(&self, gateways: u64) -> bool {
        f64::from(self.in_flight) < self.concurrency_limit(gateways)
    }

    /// Whether one more request may fall back on the pool.
    fn has_spare_capacity(&self, gateways: u64, now: Micros) -> bool {
        let limit = self.concurrency_limit(gateways);
        let is_calm = self.fallback.is_calm(self.shedding.pressure(), now);
        let has_room = self.fallback.has_room(limit, self.own_load(), now)
            && f64::from(self.in_flight) < limit;
        let usable = !self.recovery.is_failing() && !self.members.backend_indices.is_empty();
        is_calm && has_room && self.waiting.is_empty() && usable
    }
}

/// All pools, indexed by their numbers.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pools {
    by_number: Vec<Pool>,
}

impl Pools {
    /// Creates the pool of all backends and `routed` further pools.
    pub(crate) fn new(routed: usize) -> Pools {
        let mut pools = Pools::default();
        pools.grow(routed);
        pools
    }

    /// Adds pools until there are `routed` besides the pool of all backends. No pool is removed,
    /// because attempts in flight through it are still counted there.
    pub(crate) fn grow(&mut self, routed: usize) {
        let count = (routed + 1).max(self.by_number.len());
        self.by_number.resize_with(count, Pool::new);
    }

    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(crate) fn get(&self, pool: usize) -> &Pool {
        &self.by_number[pool]
    }

    pub(crate) fn get_mut(&mut self, pool: usize) -> &mut Pool {
        &mut self.by_number[pool]
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Pool> {
        self.by_number.iter_mut()
    }

    /// Records that an attempt has ended, or no longer counts in its pool.
    pub(crate) fn release(&mut self, selection: PoolSelection) {
        self.by_number[selection.pool].release(selection.fallback);
    }
}
