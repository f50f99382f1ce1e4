//! The ingress's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};
use wrenfork_decision::Micros;

/// The clock: monotonic, but counted from the same moment as Unix time, since backends' starts are told in that
/// and peers compare theirs. It is set once; later steps of the system's clock do not reach it.
pub struct Clock {
    start: Instant,
    offset: Micros,
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

    /// Goes on from another process's: what that and the system's clock said at one moment. Never back, and by no more than
    /// a second: the system's clock may have been set meanwhile.
    pub fn resume((clock, unix): (Micros, Micros)) -> Self {
        let own = Clock::new();
        let passed = own.offset.saturating_sub(unix).min(1_000_000);
        Clock {
            offset: clock + passed,
            ..own
        }
    }

    /// What it says and what the system's says.
    pub fn both(&self) -> (Micros, Micros) {
        (self.now(), Clock::new().offset)
    }

    /// Microseconds of Unix time.
    pub fn now(&self) -> Micros {
        self.offset + self.start.elapsed().as_micros() as Micros
    }
}
