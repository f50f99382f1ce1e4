//! The decisions of a supervisor that runs an ingress's process on a machine without the platform: which program runs, when it is
//! restarted after a crash, when another program is started beside it, and which one is gone back to. No I/O and no clock: time
//! is a [`std::time::Duration`] since any moment.
//!
//! Whoever carries this out reports what happens by [`Supervisor::step`] and does what comes back, in its order.

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
