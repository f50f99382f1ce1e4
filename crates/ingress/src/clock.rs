//! The clock of the ingress, which is monotonic and survives a handover.

use serde::{Deserialize, Serialize};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use wrenfork_decision::Micros;

/// Maximum forward step of the clock at a handover, in microseconds. The difference of the system clocks is not trusted beyond
/// this, since the system clock may have been set meanwhile.
const MAX_RESUME_STEP: Micros = 1_000_000;

/// A monotonic clock with the epoch of Unix time, since start times of backends are given in Unix time and peers compare
/// timestamps. It is set from the system clock once; later steps of the system clock do not affect it.
pub struct Clock {
    start: Instant,
    /// Reading of this clock at `start`, in microseconds.
    offset: Micros,
}

/// The ingress clock and the system clock read at the same moment, in microseconds of Unix time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ClockReading {
    /// Reading of the ingress clock.
    pub ingress: Micros,
    /// Reading of the system clock.
    pub system: Micros,
}

impl Clock {
    /// Creates a clock set from the system clock.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            offset: unix.as_micros() as Micros,
        }
    }

    /// Continues the clock of the predecessor. It never goes back, and goes forward by at most [`MAX_RESUME_STEP`].
    pub fn resume(predecessor: ClockReading) -> Self {
        let current = Clock::new();
        let elapsed = current.offset.saturating_sub(predecessor.system);
        Clock {
            offset: predecessor.ingress + elapsed.min(MAX_RESUME_STEP),
            ..current
        }
    }

    /// Reads this clock and the system clock.
    pub fn reading(&self) -> ClockReading {
        ClockReading {
            ingress: self.now(),
            system: Clock::new().offset,
        }
    }

    /// Current time, in microseconds of Unix time.
    pub fn now(&self) -> Micros {
        self.offset + self.start.elapsed().as_micros() as Micros
    }
}
