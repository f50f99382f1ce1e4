//! The event loop's end of the control port: commands that the control threads send, taken between two turns.

use super::command::ControlCommand;
use super::event_loop_handle::EventLoopHandle;
use crate::admission::AdmissionGuard;
use std::sync::mpsc::Receiver;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_control_plane::{ControlServer, HandoverError};

/// The event loop's end of the control port.
pub struct ControlPort {
    pub(super) commands: Receiver<ControlCommand>,
    pub(super) server: ControlServer<EventLoopHandle>,
}

impl ControlPort {
    /// The commands that have arrived, without waiting for one.
    pub fn commands(&self) -> Vec<ControlCommand> {
        self.commands.try_iter().collect()
    }

    /// The guard that admits requests while this member's lease holds.
    pub fn admission_guard(&self) -> AdmissionGuard {
        AdmissionGuard::new(self.server.lease_guard())
    }

    /// Hands the control port over with all else, see [`ControlServer::hand_over`]. `meanwhile` carries commands out that
    /// arrive while one is under way.
    ///
    /// # Errors
    ///
    /// Where `give` fails or a change is under way for too long: this process serves on as before.
    pub fn hand_over<T, E>(
        &self,
        mut meanwhile: impl FnMut(Vec<ControlCommand>),
        give: impl FnOnce(Option<InheritedLease>) -> Result<T, E>,
    ) -> Result<T, HandoverError<E>> {
        self.server.hand_over(|| meanwhile(self.commands()), give)
    }

    /// Closes the socket and the state folder.
    pub fn close(self) {
        self.server.close();
    }
}
