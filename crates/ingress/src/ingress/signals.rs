//! Process signals: SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the configuration.

use super::Ingress;
use crate::error::IngressError;
use crate::variant::Variant;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook_mio::v1_0::Signals;

/// Installs handlers for the signals that the event loop handles. None of these signals terminates the process from now on.
///
/// # Errors
///
/// Returns an error if a handler can't be installed.
pub fn receive_signals() -> Result<Signals, IngressError> {
    // SIGXFSZ is included so that a write beyond the file size limit fails with an error instead of killing the process.
    Signals::new([SIGTERM, SIGINT, SIGHUP, SIGXFSZ]).map_err(IngressError::Signals)
}

impl<V: Variant> Ingress<V> {
    /// Handles the signals received since the last call. Repeated signals of one kind are handled once.
    pub(super) fn handle_signals(&mut self) {
        let received: Vec<i32> = self.signals.pending().collect();
        if received.contains(&SIGHUP) {
            self.handle_sighup();
        }
        if received
            .iter()
            .any(|signal| matches!(*signal, SIGTERM | SIGINT))
        {
            self.shutdown.begin(self.now, &mut self.timers);
        }
    }

    /// Reloads the configuration files, unless the configuration is managed through the control port.
    fn handle_sighup(&mut self) {
        if self.control.is_some() || self.pending_control.is_some() {
            self.reloader.refuse(
                "the configuration is managed through the control port: use wrenctl plan and apply",
            );
        } else {
            self.reloader.request();
            self.reload();
        }
    }
}
