//! Rules for restarting processes and giving up programs.

use std::time::Duration;

/// Timing and limits of restarts and program changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartPolicy {
    /// Delay before a crashed process is restarted. Doubles with each consecutive crash.
    pub initial_backoff: Duration,
    /// Maximum delay before a restart.
    pub max_backoff: Duration,
    /// Time limit for a new process to answer, for a successor to take over, and for a process to shut down.
    pub timeout: Duration,
    /// How long a program must serve, while no other program is wanted, before it counts as proven.
    pub probation: Duration,
    /// Number of consecutive crashes after which an unproven program is replaced by the proven one.
    pub max_crashes: u32,
    /// Whether to stop the old process before starting the new one if no handover is possible between them.
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

/// Maximum number of doublings of the restart delay.
const MAX_DOUBLINGS: u32 = 16;

impl RestartPolicy {
    /// Delay before a restart after this number of consecutive crashes.
    pub(crate) fn backoff(&self, crashes: u32) -> Duration {
        let doublings = crashes.saturating_sub(1).min(MAX_DOUBLINGS);
        let backoff = self.initial_backoff * 2u32.saturating_pow(doublings);
        backoff.min(self.max_backoff)
    }
}
