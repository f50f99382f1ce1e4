//! Opens the control port after a takeover: a thread waits until the predecessor has released the state folder and the control
//! socket.

use super::command::NewConfig;
use super::error::ControlError;
use super::port::ControlPort;
use super::restored_state::{max_message, RestoredState};
use crate::config::{Config, ControlConfig, FixedPairs};
use mio::{Registry, Token, Waker};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wrenfork_commit::state::State;
use wrenfork_config::enforced::SplitSettings;
use wrenfork_control_plane::group::InheritedLease;

/// Stack size of the thread in bytes. The thread only opens the stored state, without recursion.
const STACK_SIZE: usize = 512 << 10;
/// Delay after the first failed attempt to open the folder and the socket; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(2);
/// Longest delay between two attempts to open the folder and the socket.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A control port that has been opened after a takeover.
pub struct ReadyControlPort {
    /// The event loop's end of the control port.
    pub port: ControlPort,
    /// The stored configuration if it differs from the one handed over; the event loop must enforce it.
    pub stored: Option<NewConfig>,
}

/// A control port that is being opened after a takeover. Meanwhile, the event loop admits requests under the lease that the
/// predecessor handed over.
pub struct PendingControlServer(Receiver<ReadyControlPort>);

impl PendingControlServer {
    /// Starts the thread that opens the durable state and serves the control socket once the predecessor has released both. Until
    /// then, the event loop enforces `handed_over`.
    ///
    /// # Errors
    ///
    /// Returns an error if the waker can't be created or the thread can't be started.
    pub fn start(
        config: &Config,
        handed_over: &SplitSettings,
        lease: Option<InheritedLease>,
        registry: &Registry,
        token: Token,
    ) -> Result<PendingControlServer, ControlError> {
        let waker = Waker::new(registry, token).map_err(ControlError::Waker)?;
        let mut control = config.control.clone();
        if let Some(membership) = &mut control.membership {
            membership.inherited_lease = lease;
        }
        let (sender, receiver) = channel();
        let opener = ControlPortOpener {
            control,
            // Keep the predecessor's fixed settings, since the event loop uses them, even if the files have changed.
            fixed: handed_over.fixed.clone(),
            state: State(handed_over.state.clone()),
            max_message: max_message(config),
            waker: Arc::new(waker),
            ready: sender,
        };
        thread::Builder::new()
            .name("control".into())
            .stack_size(STACK_SIZE)
            .spawn(move || opener.run())
            .map_err(ControlError::Thread)?;
        Ok(PendingControlServer(receiver))
    }

    /// Returns the control port once it is open.
    pub fn take_ready_port(&self) -> Option<ReadyControlPort> {
        self.0.try_recv().ok()
    }
}

/// State of the thread that opens the control port.
struct ControlPortOpener {
    control: ControlConfig,
    fixed: FixedPairs,
    state: State,
    max_message: usize,
    waker: Arc<Waker>,
    ready: Sender<ReadyControlPort>,
}

impl ControlPortOpener {
    /// Retries until the control port is open, or returns if no control socket is configured.
    fn run(&self) {
        let mut backoff = FIRST_BACKOFF;
        let mut warned = false;
        loop {
            match self.open() {
                Ok(Some(ready)) => return self.send_to_event_loop(ready),
                Ok(None) => return,
                Err(error) if backoff >= MAX_BACKOFF && !warned => {
                    warned = true;
                    tracing::warn!(%error, "control: cannot open the control port yet, retrying");
                }
                Err(_) => {}
            }
            thread::sleep(backoff);
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn open(&self) -> Result<Option<ReadyControlPort>, ControlError> {
        let restored = RestoredState::open_after_handover(
            &self.control,
            &self.fixed,
            &self.state,
            self.max_message,
        )?;
        let stored = restored.stored_if_different(&self.state)?;
        let port = restored.listen(self.waker.clone())?;
        Ok(port.map(|port| ReadyControlPort { port, stored }))
    }

    fn send_to_event_loop(&self, ready: ReadyControlPort) {
        // Sending fails only if the event loop has ended, and then the control port is no longer needed.
        let _ = self.ready.send(ready);
        let _ = self.waker.wake();
    }
}
