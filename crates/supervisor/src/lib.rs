//! The state machine of a supervisor, which runs an ingress process on a machine without the platform. It decides which program
//! runs, when it is restarted after a crash, when a successor is started beside it, and which program it reverts to. No I/O and
//! no clock: times are [`std::time::Duration`]s since an arbitrary epoch.
//!
//! The caller reports events to [`Supervisor::step`] and carries out the returned actions in order.

mod catalog;
mod event;
mod persistent_state;
mod policy;
mod supervisor;

pub use catalog::ProgramCatalog;
pub use event::{Action, Event, Observation, ProcessSlot, StopMode, WantedProgram};
pub use persistent_state::PersistentState;
pub use policy::RestartPolicy;
pub use supervisor::Supervisor;
