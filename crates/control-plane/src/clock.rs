//! The clock of leases. It counts from the boot of the machine, continues while a process is stopped or the machine is suspended,
//! and is not affected by changes of the system time.

use rustix::time::{clock_gettime, ClockId, Timespec};
use std::time::Duration;

/// Time since the machine booted (`CLOCK_BOOTTIME`).
pub fn now() -> Duration {
    duration(clock_gettime(ClockId::Boottime))
}

/// CPU time that the calling thread has used (`CLOCK_THREAD_CPUTIME_ID`).
pub fn thread_cpu_time() -> Duration {
    duration(clock_gettime(ClockId::ThreadCPUTime))
}

fn duration(time: Timespec) -> Duration {
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}

/// Converts a duration to whole microseconds, saturating at `u64::MAX`.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a duration to whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
