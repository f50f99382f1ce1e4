//! When processes are restarted and programs given up.

use std::time::Duration;

/// What is asked of a supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartPolicy {
    /// The delay before a crashed process is restarted; it doubles with each crash in a row.
    pub initial_backoff: Duration,
    /// The longest of these delays.
    pub max_backoff: Duration,
    /// How long a process may take until it answers, or has taken over; as long for its end.
    pub timeout: Duration,
    /// How long a program must have served, with no other one wanted, until it counts as proven.
    pub probation: Duration,
    /// Crashes in a row after which a program that is not proven is given up for the proven one.
    pub max_crashes: u32,
    /// Whether the old process is ended before the new one is started, where it can't be taken over from.
    pub allow_cold_restart: bool,
}

impl Default for RestartPolicy {
    fn default() -> Self {
        RestartPolicy {
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(30),
            timeout: Duration::from_secs(10),
            probation: Duration::from_secs(60),
            max_crashes: 3,
            allow_cold_restart: false,
        }
    }
}

/// How often the delay doubles at the most.
const MAX_DOUBLINGS: u32 = 16;

impl RestartPolicy {
    /// The delay before a restart after so many crashes in a row.
    pub(crate) fn backoff(&self, crashes: u32) -> Duration {
        let doublings = crashes.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff = self.initial_backoff * 2u32.saturating_pow(doublings);
        backoff.min(self.max_backoff)
    }
}
