//! The clock of leases. It counts from the machine's start, runs on while a process is stopped or the machine sleeps, and is not
//! affected by changes of the system's time.

use rustix::time::{clock_gettime, ClockId, Timespec};
use std::time::Duration;

/// The time since the machine's start (`CLOCK_BOOTTIME`).
pub fn now() -> Duration {
    duration(clock_gettime(ClockId::Boottime))
}

/// The processor time that this process has used.
pub fn cpu_time() -> Duration {
    duration(clock_gettime(ClockId::ProcessCPUTime))
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Whole microseconds of a duration.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Whole milliseconds of a duration.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
