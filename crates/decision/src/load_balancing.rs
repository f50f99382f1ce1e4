//! Load balancing: which backend of a pool an attempt is sent to.
//!
//! A few candidates are sampled by weight, each is given a cost from its load, latency, health and
//! distance, and the one with the lowest cost is used: the power of two choices (Mitzenmacher
//! 2001). The larger this gateway's share of the load, the more candidates it compares. With many
//! gateways, comparing many candidates would make all of them pick the same least loaded backend.

use crate::backends::{Backend, Backends};
use crate::ids::{BackendId, Micros};
use crate::numeric::unit_hash;
use crate::outlier_ejection::{Zones, SUSPECT_ABOVE};
use crate::requests::{KeyBinding, PendingRequest};
use crate::slow_start::{SendContext, SlowStart};

/// Maximum number of candidates compared: more would improve the choice little, and would take as
/// long as all other work for a request.
const MAX_CANDIDATES: usize = 10;
/// Minimum number of backends that a gateway sends to: enough that half of them may fail, and few
/// enough that connections stay in use.
const MIN_SUBSET: usize = 12;
/// Average number of gateways that have a given backend in their subset: high enough that almost
/// every backend is in at least one.
const SUBSET_OVERLAP: usize = 8;
/// Limits on the backends examined: per member of the subset, and per wanted candidate.
const EXAMINED_PER_MEMBER: usize = 4;
const EXAMINED_PER_CANDIDATE: usize = 16;
/// The search for candidates ends after more than this many outliers per wanted candidate.
const OUTLIERS_PER_CANDIDATE: usize = 4;
/// Relative size of the random part of a cost.
const JITTER: f64 = 0.1;
/// Fractional part of the golden ratio: its multiples modulo 1 are spread evenly over the unit
/// interval (Knuth, vol. 3, 6.4).
const GOLDEN_FRACTION: f64 = 0.618_034;
/// Cost factor of a backend in another zone than the gateway.
const OTHER_ZONE_FACTOR: f64 = 1.05;
/// Cost factor of a backend to which the request has already been sent.
const TRIED_FACTOR: f64 = 8.0;
/// Increase of the cost factor at an error rate of 1; proportional below.
const ERROR_RATE_FACTOR: f64 = 10.0;
/// Cost factor of an ejected backend.
const EJECTED_FACTOR: f64 = 10.0;
/// Maximum number of gateways among which a reported queue is divided.
const MAX_QUEUE_GATEWAYS: u64 = 4;

/// The inputs to choosing a backend of a pool.
pub(crate) struct Choice<'a> {
    pub(crate) backends: &'a Backends,
    pub(crate) zones: &'a Zones,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) sends: SendContext<'a>,
    /// Indices of the pool's ready backends.
    pub(crate) backend_indices: &'a [usize],
    /// Total weight of the pool's ready backends.
    pub(crate) pool_weight: f64,
    pub(crate) request: &'a PendingRequest,
    pub(crate) binding: Option<KeyBinding>,
    /// Seed of this choice's random numbers.
    pub(crate) seed: u64,
    /// Zone of this gateway.
    pub(crate) zone: u8,
}

/// How many backends are examined and compared.
struct Sampling {
    /// Number of ready backends in the pool.
    pool_size: usize,
    /// Number of backends in the subset that this gateway sends to.
    subset: usize,
    /// Number of candidates to compare.
    wanted: usize,
    /// Maximum number of backends to examine.
    max_examined: usize,
}

impl Sampling {
    /// Whether candidates are sampled by weight; otherwise all backends are compared.
    fn is_sampled(&self) -> bool {
        self.wanted < self.pool_size
    }
}

/// A backend that the attempt may be sent to.
struct Candidate {
    backend: BackendId,
    cost: f64,
    /// Whether the backend is ejected or has a high error rate.
    outlier: bool,
}

impl Choice<'_> {
    /// The backend to send the attempt to; `None` if no backend may receive it.
    pub(crate) fn pick(&self) -> Option<BackendId> {
        let sampling = self.sampling();
        let random = unit_hash(self.seed);
        let start = (random * sampling.subset as f64) as usize;
        let mut best: Option<Candidate> = None;
        let mut healthy = 0;
        let mut outliers = 0;
        for position in 0..sampling.max_examined {
            let index = self.backend_indices[(start + position) % sampling.subset];
            let backend = self.backends.at(index);
            let Some(candidate) = self.candidate(backend, position, random, &sampling) else {
                continue;
            };
            if candidate.outlier {
                outliers += 1;
            } else {
                healthy += 1;
            }
            let lowest_cost = best.as_ref().map_or(f64::MAX, |b| b.cost);
            if candidate.cost < lowest_cost {
                best = Some(candidate);
            }
            if healthy >= sampling.wanted || outliers > OUTLIERS_PER_CANDIDATE * sampling.wanted {
                break;
            }
        }
        best.map(|b| b.backend)
    }

    fn sampling(&self) -> Sampling {
        let pool_size = self.backend_indices.len();
        let gateways = self.sends.gateway_count as usize;
        let wanted = (2 + 3 * pool_size / gateways).min(MAX_CANDIDATES);
        let sampled = wanted < pool_size;
        // Send to the same few backends each time: connections that are seldom used are closed and
        // would have to be opened again.
        let subset = if sampled && self.binding.is_none() {
            pool_size.min(MIN_SUBSET.max(SUBSET_OVERLAP * pool_size / gateways))
        } else {
            pool_size
        };
        let max_examined = if !sampled {
            subset
        } else if self.binding.is_some() {
            EXAMINED_PER_MEMBER * subset
        } else {
            (EXAMINED_PER_MEMBER * subset).min(EXAMINED_PER_CANDIDATE * wanted)
        };
        Sampling {
            pool_size,
            subset,
            wanted,
            max_examined,
        }
    }

    /// Returns a backend as a candidate with its cost; `None` if the attempt may not be sent there
    /// or the backend is not sampled.
    #[inline]
    fn candidate(
        &self,
        backend: &Backend,
        position: usize,
        random: f64,
        sampling: &Sampling,
    ) -> Option<Candidate> {
        let bound_elsewhere = self.binding.is_some_and(|b| !b.covers(backend.endpoint()));
        if bound_elsewhere {
            return None;
        }
        let warm_up = self.slow_start.warm_up(backend, &self.sends);
        if !warm_up.may_send {
            return None;
        }
        // The relative latency already includes the slowness during warm-up; the square root keeps
        // warm-up from counting twice.
        let weight = backend.weight() * warm_up.factor.sqrt() / backend.relative_latency()
            * sampling.pool_size as f64
            / self.pool_weight
            / 2.0;
        let sampled = sampling.is_sampled();
        if sampled && unit_hash(self.seed ^ (position as u64) << 40) > weight {
            return None;
        }
        let jitter = 1.0 + JITTER * ((random + position as f64 * GOLDEN_FRACTION) % 1.0);
        let share = if sampled { 1.0 } else { weight };
        Some(self.cost(backend, jitter, share))
    }

    /// The cost of sending to a backend: its load relative to its share of the pool, times factors
    /// for its distance, its errors and earlier attempts of the request there.
    #[inline]
    fn cost(&self, backend: &Backend, jitter: f64, share: f64) -> Candidate {
        let now = self.now();
        let zone = backend.endpoint().zone;
        let health = backend.health_if_faulty(usize::from(self.request.request().class));
        // Errors of the whole zone count as well: the zone may be cut off with all of its backends.
        let zone_errors = self.zones.error_rate(zone, now);
        let errors = health.map_or(0.0, |h| h.error_rate(now)).max(zone_errors);
        let ejected = health.is_some_and(|h| h.is_on_trial(now, backend.in_flight()));
        let distance = if zone == self.zone {
            1.0
        } else {
            OTHER_ZONE_FACTOR
        };
        let tried = if self.has_tried(backend.id()) {
            TRIED_FACTOR
        } else {
            1.0
        };
        let faults = (1.0 + ERROR_RATE_FACTOR * errors) * tried;
        let cost = self.load(backend) * jitter * distance * faults / share;
        Candidate {
            backend: backend.id(),
            // Ejected backends are the last choice but not excluded: if most are ejected, excluding
            // them would overload the rest.
            cost: cost * if ejected { EJECTED_FACTOR } else { 1.0 },
            outlier: ejected || errors > SUSPECT_ABOVE,
        }
    }

    /// Attempts in flight including the new one, plus this gateway's part of the reported queue.
    #[inline]
    fn load(&self, backend: &Backend) -> f64 {
        let gateways = self.sends.gateway_count.min(MAX_QUEUE_GATEWAYS) as f64;
        f64::from(backend.in_flight()) + 1.0 + backend.queue(self.now()) / gateways
    }

    #[inline]
    fn has_tried(&self, backend: BackendId) -> bool {
        let mut attempts = self.request.attempts().iter();
        attempts.any(|a| a.endpoint().backend == backend)
    }

    fn now(&self) -> Micros {
        self.sends.now
    }
}
