//! Outlier ejection: the health of each backend with each class, when it is ejected, and when it is
//! tried again.
//!
//! A backend whose recent error rate passes a threshold is ejected for a while that doubles with
//! each ejection in a row; then one attempt tries it again. The same record is kept of each zone,
//! whose network may be cut off with all that is in it.

use crate::ids::{BackendId, Micros};
use crate::numeric::decay;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The error rate of recent answers from which a backend is ejected (ours).
const EJECT_FROM: f64 = 0.25;
/// The first ejection, in microseconds (ours); it doubles with each one in a row ...
const EJECTION_TIME: Micros = 500_000;
/// ... so many times (ours).
const MAX_DOUBLINGS: u32 = 3;
/// The memory of errors in seconds: an outlier is tried again by and by (ours).
const ERROR_TIME_CONSTANT: f64 = 4.0;
/// The error rate from which a backend is looked past in a choice (ours).
pub(crate) const SUSPECT_FROM: f64 = 0.4;
/// The weight in an error rate of an answer that this gateway had, and of one that a peer had
/// (ours).
pub(crate) const OWN_ANSWER_WEIGHT: f64 = 0.15;
pub(crate) const PEER_ANSWER_WEIGHT: f64 = 0.1;
/// The weight in a zone's error rate of one of its backends that was not reached: two in a row tell
/// (ours).
pub(crate) const UNREACHED_WEIGHT: f64 = 0.3;

/// The record of a backend with one class, which may fail for that one alone, or of a zone.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct Health {
    errors: f64,
    noted_at: Micros,
    answered_at: Micros,
    ejected_until: Micros,
    consecutive_ejections: u32,
    /// Of a zone: the last backend whose silence counted against it.
    last_silent: Option<BackendId>,
}

impl Health {
    /// The recent error rate, from 0 to 1.
    #[inline]
    pub(crate) fn error_rate(&self, now: Micros) -> f64 {
        // Most have never failed: a choice looks at many of them.
        if self.errors > 0.0 {
            self.errors * decay(self.noted_at, now, ERROR_TIME_CONSTANT)
        } else {
            0.0
        }
    }

    /// Notes an answer, or the want of one, by its weight.
    pub(crate) fn note(&mut self, now: Micros, failed: bool, weight: f64) {
        let errors = self.error_rate(now);
        self.errors = errors + weight * (f64::from(u8::from(failed)) - errors);
        self.noted_at = now;
    }

    /// Ejects or readmits a backend by an answer that came; the answer is noted apart.
    pub(crate) fn judge(&mut self, now: Micros, failed: bool) {
        let hit = if failed { OWN_ANSWER_WEIGHT } else { 0.0 };
        let outlier = self.error_rate(now) * 0.85 + hit > EJECT_FROM;
        if failed && (outlier || self.consecutive_ejections > 0) {
            self.eject(now);
        } else if !failed && !outlier {
            self.consecutive_ejections = 0;
        }
    }

    /// Ejects it for a while that doubles with each ejection in a row.
    pub(crate) fn eject(&mut self, now: Micros) {
        let doublings = self.consecutive_ejections.min(MAX_DOUBLINGS);
        self.ejected_until = now + (EJECTION_TIME << doublings);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    /// An ejection's time is over, or there is none.
    pub(crate) fn may_be_ejected(&self, now: Micros) -> bool {
        now >= self.ejected_until
    }

    /// It is ejected now.
    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        self.consecutive_ejections > 0 && now < self.ejected_until
    }

    /// It is ejected, or the one attempt that tries it again is still in flight.
    #[inline]
    pub(crate) fn is_on_trial(&self, now: Micros, in_flight: u32) -> bool {
        self.consecutive_ejections > 0 && (now < self.ejected_until || in_flight > 0)
    }

    /// Notes that it answered, well or badly.
    pub(crate) fn note_answered(&mut self, now: Micros) {
        self.answered_at = now;
    }

    /// Nothing was heard of it since.
    pub(crate) fn silent_since(&self, since: Micros) -> bool {
        self.answered_at < since
    }
}

/// Whether the zones could be reached.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Zones {
    by_zone: BTreeMap<u8, Health>,
}

impl Zones {
    /// The rate of a zone's attempts that did not reach its backends.
    pub(crate) fn error_rate(&self, zone: u8, now: Micros) -> f64 {
        self.by_zone.get(&zone).map_or(0.0, |z| z.error_rate(now))
    }

    /// Notes whether a backend of a zone was reached.
    pub(crate) fn note(&mut self, zone: u8, now: Micros, unreached: bool, weight: f64) {
        self.by_zone
            .entry(zone)
            .or_default()
            .note(now, unreached, weight);
    }

    /// Notes a backend's silence. Only another one than the last counts: one that is silent by
    /// itself says nothing of the rest.
    pub(crate) fn note_silence(&mut self, zone: u8, backend: BackendId, now: Micros) {
        let health = self.by_zone.entry(zone).or_default();
        if health.last_silent != Some(backend) {
            health.last_silent = Some(backend);
            health.note(now, true, UNREACHED_WEIGHT);
        }
    }

    /// Forgets a zone: a backend there is new.
    pub(crate) fn forget(&mut self, zone: u8) {
        self.by_zone.remove(&zone);
    }
}
