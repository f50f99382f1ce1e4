//! Commands of the control threads to the event loop.

use crate::config::ActiveConfig;
use std::sync::mpsc::SyncSender;
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::state::State;
use wrenfork_rollout::MemberMetrics;
use wrenfork_wire::call::Vocabulary;

/// A configuration that is to be enforced: as text pairs, and compiled for this ingress.
pub struct NewConfig {
    /// The pairs, which pass to the next process.
    pub state: Box<State>,
    /// The same, compiled.
    pub compiled: Box<ActiveConfig>,
}

/// A command of a control thread to the event loop, with the channel for its answer.
pub enum ControlCommand {
    /// Enforce a configuration from now on. The vocabulary that it replaces comes back.
    Apply(NewConfig, SyncSender<Vocabulary>),
    /// Report the usage figures that a planned change is judged by.
    ReportFigures(SyncSender<IngressMetrics>),
    /// Report the counts that a staged rollout compares.
    ReportCohortMetrics(SyncSender<MemberMetrics>),
}
