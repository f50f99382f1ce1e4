//! The interface between the control plane and the data plane.

use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::State;
use wrenfork_rollout::MemberMetrics;

/// Why the data plane can't enforce a state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DataPlaneError {
    /// The state is not valid on this ingress; the string is the reason shown to the operator.
    #[error("{0}")]
    InvalidState(String),
    /// The event loop has stopped or does not respond; the string is the reason shown to the operator.
    #[error("{0}")]
    Unavailable(String),
}

/// The component that serves requests, as seen by the control plane.
pub trait DataPlane: Send + 'static {
    /// Checks whether a state could be enforced on this ingress.
    ///
    /// # Errors
    ///
    /// [`DataPlaneError::InvalidState`] if it could not.
    fn check(&self, state: &State) -> Result<(), DataPlaneError>;

    /// Atomically switches to a state that passed [`DataPlane::check`]; returns once the state is in force.
    ///
    /// # Errors
    ///
    /// [`DataPlaneError::Unavailable`] if the data plane has stopped.
    fn activate(&self, state: &State) -> Result<(), DataPlaneError>;

    /// The metrics of this ingress since its start.
    fn ingress_metrics(&self) -> IngressMetrics;

    /// The metrics by which a rollout compares members. The control plane fills in the group versions, the upgrade turn and the
    /// unfit reason.
    fn member_metrics(&self) -> MemberMetrics;

    /// The running program, if a supervisor has passed its identity to this process.
    fn running_program(&self) -> Option<String> {
        None
    }

    /// Writes an audit record to the process log.
    fn log(&self, record: &AuditRecord);
}
