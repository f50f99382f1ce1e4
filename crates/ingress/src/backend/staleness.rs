//! How connections fare that are used again, by how long they were idle: on some networks one that is idle for a fraction of a
//! second is dead, and says so only under the next request, which may have run then.

use serde::{Deserialize, Serialize};
use wrenfork_decision::Micros;

/// The fraction of uses that may be reset at once after some time of idleness, and how many say anything.
const STALE_FRACTION: f64 = 0.2;
const MIN_USES: f64 = 3.0;
/// What is left of the counts from one sweep to the next: half in some ten seconds.
pub(super) const DECAY: f64 = 0.97;
/// Classes of idle time; the last one holds all that is longer.
const CLASSES: usize = 16;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Uses of connections of a class of idle time, each decaying.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Uses {
    all: f64,
    reset_at_once: f64,
}

/// How connections fare that are used again.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct Staleness {
    /// By the logarithm of the idle milliseconds.
    uses: [Uses; CLASSES],
}

impl Staleness {
    /// Notes a use behind so much idle time.
    pub(super) fn record(&mut self, idle: Micros, reset_at_once: bool) {
        let class = (idle / MICROS_PER_MILLISECOND).max(1).ilog2() as usize;
        let uses = &mut self.uses[class.min(CLASSES - 1)];
        uses.all += 1.0;
        uses.reset_at_once += f64::from(u8::from(reset_at_once));
    }

    /// How long a connection may be idle and still be used.
    pub(super) fn max_idle(&self) -> Micros {
        let stale = |u: &Uses| u.all >= MIN_USES && u.reset_at_once > u.all * STALE_FRACTION;
        let class = self.uses.iter().position(stale);
        class.map_or(Micros::MAX, |class| MICROS_PER_MILLISECOND << class)
    }

    /// Has the counts decay, once a sweep.
    pub(super) fn decay(&mut self) {
        for uses in &mut self.uses {
            uses.all *= DECAY;
            uses.reset_at_once *= DECAY;
        }
    }
}
