//! The event loop as the control threads see it: a channel for commands, a waker, and the answers.

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
use wrenfork_control_plane::{
    clock, DataPlane, DataPlaneError, PROGRAM_VARIABLE, REPLACEMENT_VARIABLE,
};
use wrenfork_rollout::MemberMetrics;

/// How long the event loop may take to its next turn before a command counts as lost: far longer than any turn.
const TURN_TIMEOUT: Duration = Duration::from_secs(30);

/// The event loop, as the control threads see it.
pub(super) struct EventLoopHandle {
    /// The settings that no change changes.
    pub(super) fixed: FixedPairs,
    pub(super) commands: Sender<ControlCommand>,
    pub(super) waker: Arc<Waker>,
    /// A random number that tells this process from earlier ones, and when it began.
    pub(super) incarnation: u64,
    pub(super) started_at: Instant,
}

impl EventLoopHandle {
    fn setting(&self, key: &str) -> Option<&str> {
        let found = self.fixed.iter().find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }

    /// The name of the zone that this ingress stands in.
    fn zone(&self) -> Option<&str> {
        let index = self.setting("zone")?.parse().ok()?;
        self.setting("zones")?.split(',').nth(index)
    }

    /// Sends a command and waits for its answer.
    fn call<T>(
        &self,
        command: impl FnOnce(SyncSender<T>) -> ControlCommand,
    ) -> Result<T, ControlError> {
        let (sender, answer) = sync_channel(1);
        self.commands
            .send(command(sender))
            .map_err(|_| ControlError::Stopping)?;
        self.waker.wake().map_err(ControlError::Wake)?;
        answer
            .recv_timeout(TURN_TIMEOUT)
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
        // The replaced vocabulary comes back to be dropped here: for 100,000 accounts that takes the loop milliseconds.
        self.call(|done| ControlCommand::Apply(config, done))
            .map(drop)
            .map_err(|e| DataPlaneError::Unavailable(e.to_string()))
    }

    fn ingress_metrics(&self) -> IngressMetrics {
        self.call(ControlCommand::ReportFigures).unwrap_or_default()
    }

    fn member_metrics(&self) -> MemberMetrics {
        let counted = self
            .call(ControlCommand::ReportCohortMetrics)
            .unwrap_or_default();
        MemberMetrics {
            program: self.running_program().unwrap_or_default(),
            is_replacement: environment_variable(REPLACEMENT_VARIABLE).is_some(),
            incarnation: self.incarnation,
            uptime_ms: self.started_at.elapsed().as_millis() as u64,
            zone_group: self.zone().unwrap_or_default().to_string(),
            cpu_us: clock::cpu_time().as_micros() as u64,
            memory_kb: resident_kilobytes(),
            ..counted
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

/// A variable that the supervisor of this process sets; none where it is empty.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

/// Kilobytes of resident memory of this process; 0 where the system does not tell.
fn resident_kilobytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
