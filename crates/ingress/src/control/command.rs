//! Commands from the control threads to the event loop.

use crate::config::ActiveConfig;
use std::sync::mpsc::SyncSender;
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::state::State;
use wrenfork_rollout::MemberMetrics;
use wrenfork_wire::call::Vocabulary;

/// A configuration to enforce, both as key-value pairs and compiled for this ingress.
pub struct NewConfig {
    /// The key-value pairs, which are handed over to the next process.
    pub state: Box<State>,
    /// The compiled form of `state`.
    pub compiled: Box<ActiveConfig>,
}

/// A command from a control thread to the event loop, with the channel for the answer.
pub enum ControlCommand {
    /// Enforce a configuration. The answer is the replaced vocabulary.
    Apply(NewConfig, SyncSender<Vocabulary>),
    /// Report the usage metrics against which a planned change is checked.
    ReportIngressMetrics(SyncSender<IngressMetrics>),
    /// Report the counts and the processor time by which a staged rollout compares cohorts.
    ReportCohortMetrics(SyncSender<MemberMetrics>),
}
