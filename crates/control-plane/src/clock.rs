//! The clock of leases: it counts from the machine's start, runs on while a process is stopped or the machine sleeps, and no
//! setting of the system's time reaches it.

use rustix::time::{clock_gettime, ClockId};
use std::time::Duration;

/// The time since the machine's start.
pub fn now() -> Duration {
    let t = clock_gettime(ClockId::Boottime);
    Duration::new(t.tv_sec.unsigned_abs(), t.tv_nsec as u32)
}

/// The processor time of this process so far.
pub fn processor() -> Duration {
    let t = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(t.tv_sec.unsigned_abs(), t.tv_nsec as u32)
}

#[cfg(test)]
mod tests {
    use super::{now, Duration};

    #[test]
    fn it_goes_on_and_never_back() {
        let first = now();
        assert!(first > Duration::ZERO && now() >= first);
    }
}
