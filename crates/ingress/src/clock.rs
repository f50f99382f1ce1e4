//! The ingress's clock.

use serde::{Deserialize, Serialize};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use wrenfork_decision::Micros;

/// The most that a clock goes forward from one process to the next: the system's clock may have been set meanwhile.
const MAX_RESUME_STEP: Micros = 1_000_000;

/// The clock: monotonic, but counted from the same moment as Unix time, since backends' starts are told in that
/// and peers compare theirs. It is set once; later steps of the system's clock do not reach it.
pub struct Clock {
    start: Instant,
    offset: Micros,
}

/// An ingress's clock and the system's at one moment, in microseconds of Unix time.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ClockReading {
    /// The ingress's clock.
    pub ingress: Micros,
    /// The system's clock.
    pub system: Micros,
}

impl Clock {
    /// Sets it by the system's clock.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            offset: unix.as_micros() as Micros,
        }
    }

    /// Goes on from another process's clock. Never back, and by no more than a second.
    pub fn resume(before: ClockReading) -> Self {
        let own = Clock::new();
        let elapsed = own.offset.saturating_sub(before.system);
        Clock {
            offset: before.ingress + elapsed.min(MAX_RESUME_STEP),
            ..own
        }
    }

    /// This clock and the system's.
    pub fn reading(&self) -> ClockReading {
        ClockReading {
            ingress: self.now(),
            system: Clock::new().offset,
        }
    }

    /// Microseconds of Unix time.
    pub fn now(&self) -> Micros {
        self.offset + self.start.elapsed().as_micros() as Micros
    }
}
