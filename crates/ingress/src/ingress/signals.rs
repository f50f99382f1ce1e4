//! The signals of the process.

use super::Ingress;
use crate::error::IngressError;
use crate::variant::Variant;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook_mio::v1_0::Signals;

/// Receives the signals that the event loop heeds; none of them ends the process from here on.
///
/// # Errors
///
/// Where the system refuses it.
pub fn receive_signals() -> Result<Signals, IngressError> {
    // A file that may not grow is an error of the write, and no end of the process.
    Signals::new([SIGTERM, SIGINT, SIGHUP, SIGXFSZ]).map_err(IngressError::Signals)
}

impl<V: Variant> Ingress<V> {
    /// Takes the signals that came since the last look, several of one kind as one.
    pub(super) fn take_signals(&mut self) {
        let received: Vec<i32> = self.signals.pending().collect();
        if received.contains(&SIGHUP) {
            self.hang_up();
        }
        if received.iter().any(|s| matches!(*s, SIGTERM | SIGINT)) {
            self.shutdown.begin(self.now, &mut self.timers);
        }
    }

    /// Reads the configuration again, unless changes are applied through the control port.
    fn hang_up(&mut self) {
        if self.control.is_some() || self.pending_control.is_some() {
            self.reloader
                .refuse("changes are planned and applied here, with wrenctl plan and apply");
        } else {
            self.reloader.request();
            self.reload();
        }
    }
}
