//! Tracks how often reused connections turn out to be dead, by how long they were idle. On some networks a connection dies after
//! a fraction of a second of idle time. That shows only when the next request fails, and the backend may have executed that
//! request.

use serde::{Deserialize, Serialize};
use wrenfork_decision::Micros;

/// Fraction of uses reset at once above which an idle time is considered too long.
const STALE_FRACTION: f64 = 0.2;
/// Minimum (decayed) number of uses before the fraction is considered.
const MIN_USES: f64 = 3.0;
/// Factor applied to the counts at each sweep, which halves them in about ten seconds.
pub(super) const DECAY: f64 = 0.97;
/// Number of idle time buckets; the last bucket includes all longer times.
const IDLE_BUCKETS: usize = 16;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Number of times that connections of one idle time bucket were reused; both counts decay.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Uses {
    total: f64,
    reset_at_once: f64,
}

/// Reuse statistics by idle time. The field order is part of the handover format.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct Staleness {
    /// Indexed by the binary logarithm of the idle time in milliseconds.
    uses: [Uses; IDLE_BUCKETS],
}

impl Staleness {
    /// Records that a connection was reused after this idle time.
    pub(super) fn record(&mut self, idle: Micros, reset_at_once: bool) {
        let bucket = (idle / MICROS_PER_MILLISECOND).max(1).ilog2() as usize;
        let uses = &mut self.uses[bucket.min(IDLE_BUCKETS - 1)];
        uses.total += 1.0;
        uses.reset_at_once += f64::from(u8::from(reset_at_once));
    }

    /// The idle time, in microseconds, from which a connection must not be reused.
    pub(super) fn max_idle(&self) -> Micros {
        let stale = |uses: &Uses| {
            uses.total >= MIN_USES && uses.reset_at_once > uses.total * STALE_FRACTION
        };
        let bucket = self.uses.iter().position(stale);
        bucket.map_or(Micros::MAX, |bucket| MICROS_PER_MILLISECOND << bucket)
    }

    /// Decays the counts; called once per sweep.
    pub(super) fn decay(&mut self) {
        for uses in &mut self.uses {
            uses.total *= DECAY;
            uses.reset_at_once *= DECAY;
        }
    }
}
