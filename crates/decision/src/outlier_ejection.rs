//! Outlier ejection: the health of each backend for each class, when a backend is ejected, and when
//! it is tried again.
//!
//! A backend whose recent error rate exceeds a threshold is ejected for a time that doubles with
//! each consecutive ejection; after that, one attempt tries it again. The same health record is
//! kept for each zone, whose network may be cut off with all of its backends.

use crate::ids::{BackendId, Micros};
use crate::numeric::decay;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Error rate above which a backend is ejected.
const EJECT_ABOVE: f64 = 0.25;
/// Duration of the first ejection in microseconds; it doubles with each consecutive one.
const EJECTION_TIME: Micros = 500_000;
/// Maximum number of doublings.
const MAX_DOUBLINGS: u32 = 3;
/// Time constant of error rates in seconds; as the rate fades, an outlier is gradually used again.
const ERROR_TIME_CONSTANT: f64 = 4.0;
/// Error rate above which a backend counts as an outlier in load balancing.
pub(crate) const SUSPECT_ABOVE: f64 = 0.4;
/// Weights in an error rate of an answer to this gateway and of one to a peer.
pub(crate) const OWN_ANSWER_WEIGHT: f64 = 0.15;
pub(crate) const PEER_ANSWER_WEIGHT: f64 = 0.1;
/// Weight in a zone's error rate of an attempt that did not reach its backend: two in a row raise
/// the rate above [`SUSPECT_ABOVE`].
pub(crate) const UNREACHED_WEIGHT: f64 = 0.3;

/// The health of a backend for one class, because a backend may fail for a single class, or of a
/// zone.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Health {
    errors: f64,
    noted_at: Micros,
    answered_at: Micros,
    ejected_until: Micros,
    consecutive_ejections: u32,
    /// For a zone: the last backend whose silence counted against the zone.
    last_silent: Option<BackendId>,
}

impl Health {
    /// Recent error rate, from 0 to 1.
    #[inline]
    pub(crate) fn error_rate(&self, now: Micros) -> f64 {
        // Most backends have never failed, and load balancing reads many of them: skip the
        // exponential function.
        if self.errors > 0.0 {
            self.errors * decay(self.noted_at, now, ERROR_TIME_CONSTANT)
        } else {
            0.0
        }
    }

    /// Adds an answer, or the lack of one, to the error rate with this weight.
    pub(crate) fn note(&mut self, now: Micros, failed: bool, weight: f64) {
        let errors = self.error_rate(now);
        self.errors = errors + weight * (f64::from(u8::from(failed)) - errors);
        self.noted_at = now;
    }

    /// Ejects or readmits a backend after an answer; the caller adds the answer to the error rate
    /// separately.
    pub(crate) fn update_ejection(&mut self, now: Micros, failed: bool) {
        let weight = if failed { OWN_ANSWER_WEIGHT } else { 0.0 };
        let outlier = self.error_rate(now) * 0.85 + weight > EJECT_ABOVE;
        if failed && (outlier || self.consecutive_ejections > 0) {
            self.eject(now);
        } else if !failed && !outlier {
            self.consecutive_ejections = 0;
        }
    }

    /// Ejects the backend for a time that doubles with each consecutive ejection.
    pub(crate) fn eject(&mut self, now: Micros) {
        let doublings = self.consecutive_ejections.min(MAX_DOUBLINGS);
        self.ejected_until = now + (EJECTION_TIME << doublings);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    /// Whether the last ejection has expired, or there was none.
    pub(crate) fn may_be_ejected(&self, now: Micros) -> bool {
        now >= self.ejected_until
    }

    /// Whether the backend is ejected now.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        self.consecutive_ejections > 0 && now < self.ejected_until
    }

    /// Whether the backend is ejected, or the attempt that tries it again is still in flight.
    #[inline]
    pub(crate) fn is_on_trial(&self, now: Micros, in_flight: u32) -> bool {
        self.consecutive_ejections > 0 && (now < self.ejected_until || in_flight > 0)
    }

    /// Records that the backend answered, successfully or not.
    pub(crate) fn note_answered(&mut self, now: Micros) {
        self.answered_at = now;
    }

    /// Whether the backend has not answered since `since`.
    pub(crate) fn silent_since(&self, since: Micros) -> bool {
        self.answered_at < since
    }
}

/// The health of all zones: whether their backends could be reached.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Zones {
    by_zone: BTreeMap<u8, Health>,
}

impl Zones {
    /// Fraction of a zone's recent attempts that did not reach its backends.
    pub(crate) fn error_rate(&self, zone: u8, now: Micros) -> f64 {
        self.by_zone.get(&zone).map_or(0.0, |z| z.error_rate(now))
    }

    /// Records whether a backend of a zone was reached.
    pub(crate) fn note(&mut self, zone: u8, now: Micros, unreached: bool, weight: f64) {
        self.by_zone
            .entry(zone)
            .or_default()
            .note(now, unreached, weight);
    }

    /// Records a backend's silence. It counts against the zone only if the previous silent backend
    /// was another one: a single silent backend says nothing about the rest of the zone.
    pub(crate) fn note_silence(&mut self, zone: u8, backend: BackendId, now: Micros) {
        let health = self.by_zone.entry(zone).or_default();
        if health.last_silent != Some(backend) {
            health.last_silent = Some(backend);
            health.note(now, true, UNREACHED_WEIGHT);
        }
    }

    /// Resets a zone's health, because a backend there is new.
    pub(crate) fn forget(&mut self, zone: u8) {
        self.by_zone.remove(&zone);
    }
}
