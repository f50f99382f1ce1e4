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
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset: unix.as_micros() as Micros }
    }

    /// Microseconds of Unix time.
    pub fn now(&self) -> Micros {
        self.offset + self.start.elapsed().as_micros() as Micros
    }
}
