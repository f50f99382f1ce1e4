//! Pools of backends: the backends of a pool, what it has in flight and waiting, and how it fares.
//! Pool 0 is that of all backends. Each pool decides by itself how much may be in flight and who is
//! rejected: one that is pressed sheds its own load and nobody else's.

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
    /// Their places, in an order of this gateway's own.
    places: Vec<usize>,
    weight: f64,
    /// As many as they are worth, the slow and those that warm up for less than one.
    capacity: f64,
}

/// A pool, as this gateway knows it.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pool {
    members: Members,
    waiting: VecDeque<RequestId>,
    /// Attempts in flight that went through this pool.
    in_flight: u32,
    fallback: FallbackTraffic,
    limit: ConcurrencyLimit,
    shedding: LoadShedding,
    recovery: PoolRecovery,
}

/// A change of a pool's load-shedding level, with the figures that led to it.
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

    /// The places of its ready backends.
    pub(crate) fn places(&self) -> &[usize] {
        &self.members.places
    }

    /// The weight of its ready backends.
    pub(crate) fn weight(&self) -> f64 {
        self.members.weight
    }

    pub(crate) fn set_capacity(&mut self, capacity: f64) {
        self.members.capacity = capacity;
    }

    /// Its ready backends are others now.
    pub(crate) fn set_members(&mut self, places: Vec<usize>, weight: f64, now: Micros) {
        let was_empty = self.members.places.is_empty();
        let returned = self
            .recovery
            .note_members(was_empty, places.is_empty(), now);
        if returned {
            self.shedding.forget();
        }
        self.members.places = places;
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

    /// The request at the head of its queue.
    pub(crate) fn queue_head(&self) -> Option<RequestId> {
        self.waiting.front().copied()
    }

    pub(crate) fn enqueue(&mut self, id: RequestId) {
        self.waiting.push_back(id);
    }

    pub(crate) fn dequeue(&mut self) {
        self.waiting.pop_front();
    }

    /// Takes all that waits.
    pub(crate) fn take_queue(&mut self) -> VecDeque<RequestId> {
        std::mem::take(&mut self.waiting)
    }

    /// The bound on what this gateway has in flight through it, of so many gateways.
    pub(crate) fn concurrency_limit(&self, gateways: u64) -> f64 {
        let pressure = self.shedding.pressure();
        self.limit
            .value(self.members.capacity, pressure, gateways as f64)
    }

    /// The part of the pool that a request may use, from 0 to 1.
    pub(crate) fn part_for(&self, fallback: bool, gateways: u64, now: Micros) -> f64 {
        if fallback {
            let limit = self.concurrency_limit(gateways);
            self.fallback.part(limit, self.own_load(), now)
        } else {
            1.0
        }
    }

    /// Slots that its own requests take now, in flight or waiting.
    fn own_load(&self) -> f64 {
        let own = self.fallback.own_in_flight(self.in_flight);
        f64::from(own) + self.waiting.len() as f64
    }

    /// An attempt goes out through it.
    pub(crate) fn note_sent(&mut self, fallback: bool, now: Micros) {
        self.in_flight += 1;
        if fallback {
            self.fallback.note_sent();
        } else {
            let load = self.own_load();
            self.fallback.note_own_load(load, now);
        }
    }

    /// One that went out through it has ended.
    pub(crate) fn release(&mut self, fallback: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.fallback.release(fallback);
    }

    /// Notes what an answer says of its load.
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
        self.shedding.note(sample, now);
        self.limit
            .grow(&self.shedding, f64::from(self.in_flight), limit);
    }

    /// Notes how an attempt of its own ended.
    pub(crate) fn note_outcome(&mut self, failed: bool, now: Micros) {
        self.recovery.note(failed, now);
    }

    /// Moves its load-shedding level and cuts its limit, as the pressure says.
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

    /// Whether one of its own requests may go at once.
    fn has_capacity(&self, gateways: u64) -> bool {
        f64::from(self.in_flight) < self.concurrency_limit(gateways)
    }

    /// Whether one more request may fall back on it.
    fn has_spare_capacity(&self, gateways: u64, now: Micros) -> bool {
        let limit = self.concurrency_limit(gateways);
        let calm = self.fallback.is_calm(self.shedding.pressure(), now);
        let room = self.fallback.has_room(limit, self.own_load(), now)
            && f64::from(self.in_flight) < limit;
        let usable = !self.recovery.is_failing() && !self.members.places.is_empty();
        calm && room && self.waiting.is_empty() && usable
    }
}

/// All pools, by their numbers.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pools {
    by_number: Vec<Pool>,
}

impl Pools {
    /// The pool of all backends and `routed` more.
    pub(crate) fn new(routed: usize) -> Pools {
        let mut pools = Pools::default();
        pools.grow(routed);
        pools
    }

    /// Makes pools up to `routed` besides that of all backends. None goes: what is in flight
    /// through it counts until it is back.
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

    /// An attempt has ended, or counts no more.
    pub(crate) fn release(&mut self, selection: PoolSelection) {
        self.by_number[selection.pool].release(selection.fallback);
    }
}
