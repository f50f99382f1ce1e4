//! The control threads' handle to the event loop: sends commands, wakes the loop, and waits for answers.

use super::command::{ControlCommand, NewConfig};
use super::error::ControlError;
use crate::config::{compile, FixedPairs};
use mio::Waker;
use std::sync::mpsc::{sync_channel, Sender, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::State;
use wrenfork_control_plane::{DataPlane, DataPlaneError, PROGRAM_VARIABLE, REPLACEMENT_VARIABLE};
use wrenfork_rollout::MemberMetrics;

/// Maximum time to wait for the event loop's answer to a command. A turn takes far less.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// The control threads' handle to the event loop.
pub(super) struct EventLoopHandle {
    /// Settings that are fixed at startup and can't be changed through the control port.
    pub(super) fixed: FixedPairs,
    pub(super) commands: Sender<ControlCommand>,
    pub(super) waker: Arc<Waker>,
    /// Random number that distinguishes this process from earlier ones.
    pub(super) incarnation: u64,
    /// When the control port was opened, for the reported uptime.
    pub(super) started_at: Instant,
}

impl EventLoopHandle {
    fn setting(&self, key: &str) -> Option<&str> {
        let found = self.fixed.iter().find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }

    /// The name of this ingress's zone.
    fn zone(&self) -> Option<&str> {
        let index = self.setting("zone")?.parse().ok()?;
        self.setting("zones")?.split(',').nth(index)
    }

    /// Sends a command to the event loop and waits for the answer.
    fn send_command<T>(
        &self,
        command: impl FnOnce(SyncSender<T>) -> ControlCommand,
    ) -> Result<T, ControlError> {
        let (sender, answer) = sync_channel(1);
        self.commands
            .send(command(sender))
            .map_err(|_| ControlError::Stopping)?;
        self.waker.wake().map_err(ControlError::Wake)?;
        answer
            .recv_timeout(COMMAND_TIMEOUT)
            .map_err(|_| ControlError::LoopStalled)
    }
}

impl DataPlane for EventLoopHandle {
    fn check(&self, state: &State) -> Result<(), DataPlaneError> {
        compile(&self.fixed, state)
            .map(drop)
            .map_err(|e| DataPlaneError::InvalidState(e.to_string()))
    }

    fn activate(&self, state: &State) -> Result<(), DataPlaneError> {
        let compiled =
            compile(&self.fixed, state).map_err(|e| DataPlaneError::InvalidState(e.to_string()))?;
        let config = NewConfig {
            state: Box::new(state.clone()),
            compiled: Box::new(compiled),
        };
        // Drop the replaced vocabulary here rather than in the event loop: with 100,000 accounts, that takes milliseconds.
        self.send_command(|reply| ControlCommand::Apply(config, reply))
            .map(drop)
            .map_err(|e| DataPlaneError::Unavailable(e.to_string()))
    }

    fn ingress_metrics(&self) -> IngressMetrics {
        self.send_command(ControlCommand::ReportIngressMetrics)
            .unwrap_or_default()
    }

    fn member_metrics(&self) -> MemberMetrics {
        let cohort_metrics = self
            .send_command(ControlCommand::ReportCohortMetrics)
            .unwrap_or_default();
        MemberMetrics {
            program: self.running_program().unwrap_or_default(),
            is_replacement: environment_variable(REPLACEMENT_VARIABLE).is_some(),
            incarnation: self.incarnation,
            uptime_ms: self.started_at.elapsed().as_millis() as u64,
            zone_group: self.zone().unwrap_or_default().to_string(),
            memory_kb: resident_kilobytes(),
            ..cohort_metrics
        }
    }

    fn running_program(&self) -> Option<String> {
        environment_variable(PROGRAM_VARIABLE)
    }

    fn log(&self, record: &AuditRecord) {
        let change = record.change.short();
        let (generation, author) = (record.generation, record.author.as_str());
        if record.detail.is_empty() {
            tracing::info!(change, generation, author, "control: {}", record.event);
        } else {
            let reason = record.detail.as_str();
            tracing::warn!(
                change,
                generation,
                author,
                reason,
                "control: {}",
                record.event
            );
        }
    }
}

/// An environment variable that the supervisor of this process sets; `None` if unset or empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Resident memory of this process in kilobytes, or 0 if the system doesn't report it.
fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|value| value.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
