//! Load balancing: which backend of a pool takes an attempt.
//!
//! A few backends are drawn by their weight, each gets a cost by its load, latency, health and
//! distance, and the cheapest is picked: the power of two choices (Mitzenmacher 2001), with more
//! choices the more of the load is this gateway's own, since what many gateways see as the least
//! would be the least for all of them at once.

use crate::backends::{Backend, Backends};
use crate::ids::{BackendId, Micros};
use crate::numeric::unit_hash;
use crate::outlier_ejection::{Zones, SUSPECT_FROM};
use crate::requests::{KeyBinding, PendingRequest};
use crate::slow_start::{SendContext, SlowStart};

/// Backends compared in a choice: more change it little, and cost as much as all else (ours).
const MAX_CANDIDATES: usize = 10;
/// Backends that a small gateway sends to: half may fail; connections stay few and in use (ours).
const MIN_SUBSET: usize = 12;
/// Times that the gateways' subsets of the backends overlap: next to none is left out (ours).
const SUBSET_OVERLAP: usize = 8;
/// Backends looked at, for each in the subset and for each candidate wanted (ours).
const LOOKS_PER_MEMBER: usize = 4;
const LOOKS_PER_CANDIDATE: usize = 16;
/// Outliers found for each candidate wanted after which the search ends (ours).
const OUTLIERS_PER_CANDIDATE: usize = 4;
/// The random part of a cost (ours).
const JITTER: f64 = 0.1;
/// The golden ratio's fraction: its multiples are spread evenly over a unit (Knuth, vol. 3, 6.4).
const GOLDEN_FRACTION: f64 = 0.618_034;
/// The factor on the cost of a backend in another zone (ours).
const OTHER_ZONE: f64 = 1.05;
/// The factor on the cost of a backend that the request has been at (ours).
const TRIED: f64 = 8.0;
/// What an error rate of 1 adds to the factor on the cost (ours).
const ERRORS: f64 = 10.0;
/// The factor on the cost of an ejected backend (ours).
const EJECTED: f64 = 10.0;
/// The most gateways that a reported queue is split among (ours).
const QUEUE_GATEWAYS: u64 = 4;

/// What a choice among the backends of a pool depends on.
pub(crate) struct Choice<'a> {
    pub(crate) backends: &'a Backends,
    pub(crate) zones: &'a Zones,
    pub(crate) slow_start: &'a SlowStart,
    pub(crate) sends: SendContext<'a>,
    /// The places of the pool's ready backends, and their weight.
    pub(crate) places: &'a [usize],
    pub(crate) pool_weight: f64,
    pub(crate) request: &'a PendingRequest,
    pub(crate) binding: Option<KeyBinding>,
    /// The seed of this choice's draws.
    pub(crate) seed: u64,
    /// The zone of this gateway.
    pub(crate) zone: u8,
}

/// How many backends are looked at.
struct Sampling {
    /// All of the pool, and those of them that this gateway sends to.
    all: usize,
    subset: usize,
    /// Candidates wanted.
    wanted: usize,
    /// Backends looked at, at most.
    looks: usize,
}

impl Sampling {
    /// Candidates are drawn by their weight, rather than all compared.
    fn is_drawn(&self) -> bool {
        self.wanted < self.all
    }
}

/// A backend that may take the attempt.
struct Candidate {
    backend: BackendId,
    cost: f64,
    /// It is ejected, or suspect.
    outlier: bool,
}

impl Choice<'_> {
    /// The backend that takes the attempt; none where none may.
    pub(crate) fn pick(&self) -> Option<BackendId> {
        let sampling = self.sampling();
        let noise = unit_hash(self.seed);
        let start = (noise * sampling.subset as f64) as usize;
        let mut best: Option<Candidate> = None;
        let mut sound = 0;
        let mut outliers = 0;
        for look in 0..sampling.looks {
            let place = self.places[(start + look) % sampling.subset];
            let backend = self.backends.at(place);
            let Some(candidate) = self.candidate(backend, look, noise, &sampling) else {
                continue;
            };
            if candidate.outlier {
                outliers += 1;
            } else {
                sound += 1;
            }
            let least = best.as_ref().map_or(f64::MAX, |b| b.cost);
            if candidate.cost < least {
                best = Some(candidate);
            }
            if sound >= sampling.wanted || outliers > OUTLIERS_PER_CANDIDATE * sampling.wanted {
                break;
            }
        }
        best.map(|b| b.backend)
    }

    fn sampling(&self) -> Sampling {
        let all = self.places.len();
        let gateways = self.sends.gateway_count as usize;
        let wanted = (2 + 3 * all / gateways).min(MAX_CANDIDATES);
        let drawn = wanted < all;
        // Always among the same few: connections seldom used are closed, and made anew at each
        // request.
        let subset = if drawn && self.binding.is_none() {
            all.min(MIN_SUBSET.max(SUBSET_OVERLAP * all / gateways))
        } else {
            all
        };
        let looks = if !drawn {
            subset
        } else if self.binding.is_some() {
            LOOKS_PER_MEMBER * subset
        } else {
            (LOOKS_PER_MEMBER * subset).min(LOOKS_PER_CANDIDATE * wanted)
        };
        Sampling {
            all,
            subset,
            wanted,
            looks,
        }
    }

    /// A backend as a candidate with its cost; none where it may not take the attempt or is not
    /// drawn.
    #[inline]
    fn candidate(
        &self,
        backend: &Backend,
        look: usize,
        noise: f64,
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
        // Its latency was learned while it warmed up: by both, it would count twice.
        let weight = backend.weight() * warm_up.factor.sqrt() / backend.relative_latency()
            * sampling.all as f64
            / self.pool_weight
            / 2.0;
        let drawn = sampling.is_drawn();
        if drawn && unit_hash(self.seed ^ (look as u64) << 40) > weight {
            return None;
        }
        let jitter = 1.0 + JITTER * ((noise + look as f64 * GOLDEN_FRACTION) % 1.0);
        let share = if drawn { 1.0 } else { weight };
        Some(self.cost(backend, jitter, share))
    }

    /// The cost of a backend: its load, by its share of the pool, and by all that speaks against
    /// it.
    #[inline]
    fn cost(&self, backend: &Backend, jitter: f64, share: f64) -> Candidate {
        let now = self.now();
        let zone = backend.endpoint().zone;
        let health = backend.fault(usize::from(self.request.request().class));
        // Failing connections count against the zone as well: it may be cut off, with all that is
        // in it.
        let zone_errors = self.zones.error_rate(zone, now);
        let errors = health.map_or(0.0, |h| h.error_rate(now)).max(zone_errors);
        let ejected = health.is_some_and(|h| h.is_on_trial(now, backend.in_flight()));
        let distance = if zone == self.zone { 1.0 } else { OTHER_ZONE };
        let tried = if self.has_tried(backend.id()) {
            TRIED
        } else {
            1.0
        };
        let faults = (1.0 + ERRORS * errors) * tried;
        let cost = self.load(backend) * jitter * distance * faults / share;
        Candidate {
            backend: backend.id(),
            // Ejected ones come last, but none is shut out: else where most are ejected the rest
            // are pushed over.
            cost: cost * if ejected { EJECTED } else { 1.0 },
            outlier: ejected || errors > SUSPECT_FROM,
        }
    }

    #[inline]
    fn load(&self, backend: &Backend) -> f64 {
        let gateways = self.sends.gateway_count.min(QUEUE_GATEWAYS) as f64;
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
