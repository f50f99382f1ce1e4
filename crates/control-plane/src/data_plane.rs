//! The interface of the control plane to whatever serves requests.

use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::State;
use wrenfork_rollout::MemberMetrics;

/// Why the data plane does not enforce a state.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DataPlaneError {
    /// The state is not valid here; the reason is in plain words.
    #[error("{0}")]
    InvalidState(String),
    /// Nothing serves any more, or it does not answer; the reason is in plain words.
    #[error("{0}")]
    Unavailable(String),
}

/// What serves requests, as the control plane sees it.
pub trait DataPlane: Send + 'static {
    /// Checks whether a state could be enforced here.
    ///
    /// # Errors
    ///
    /// [`DataPlaneError::InvalidState`] where it could not.
    fn check(&self, state: &State) -> Result<(), DataPlaneError>;

    /// Enforces a checked state in one step; returns once it is in force.
    ///
    /// # Errors
    ///
    /// [`DataPlaneError::Unavailable`] where nothing serves any more.
    fn activate(&self, state: &State) -> Result<(), DataPlaneError>;

    /// The metrics of an ingress since its start.
    fn figures(&self) -> IngressMetrics;

    /// The counts by which a rollout compares members. The control plane fills in what it knows itself.
    fn member_metrics(&self) -> MemberMetrics;

    /// The program that runs here, where a supervisor has said so.
    fn running_program(&self) -> Option<String> {
        None
    }

    /// Writes an audit record to the log.
    fn log(&self, record: &AuditRecord);
}
