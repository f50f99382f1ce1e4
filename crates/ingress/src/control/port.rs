//! The event loop's end of the control port: receives the commands of the control threads.

use super::command::ControlCommand;
use super::event_loop_handle::EventLoopHandle;
use crate::admission::AdmissionGuard;
use std::sync::mpsc::Receiver;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_control_plane::{ControlServer, HandoverError};

/// The event loop's end of the control port, with the server that runs the control threads.
pub struct ControlPort {
    pub(super) commands: Receiver<ControlCommand>,
    pub(super) server: ControlServer<EventLoopHandle>,
}

impl ControlPort {
    /// Returns the commands received so far, without blocking.
    pub fn commands(&self) -> Vec<ControlCommand> {
        self.commands.try_iter().collect()
    }

    /// The guard that admits requests only while this member's lease is valid.
    pub fn admission_guard(&self) -> AdmissionGuard {
        AdmissionGuard::new(self.server.lease_guard())
    }

    /// Hands over the control port by calling `transfer`; see [`ControlServer::hand_over`]. `execute` runs the commands that
    /// arrive while a control request is still being processed.
    ///
    /// # Errors
    ///
    /// Returns an error if `transfer` fails or a control request takes too long; this process then keeps serving.
    pub fn hand_over<T, E>(
        &self,
        mut execute: impl FnMut(Vec<ControlCommand>),
        transfer: impl FnOnce(Option<InheritedLease>) -> Result<T, E>,
    ) -> Result<T, HandoverError<E>> {
        self.server.hand_over(|| execute(self.commands()), transfer)
    }

    /// Closes the socket and the state folder.
    pub fn close(self) {
        self.server.close();
    }
}
