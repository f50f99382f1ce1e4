//! The control port of a process that took over from another one: a thread waits until that one has let go of the state folder
//! and of the socket.

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

/// The thread only opens the stored state: nothing there recurses.
const STACK_SIZE: usize = 512 << 10;
/// Backoff between attempts to take the folder and the socket, the first and the longest.
const FIRST_BACKOFF: Duration = Duration::from_millis(2);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A control port that is served now.
pub struct ReadyControlPort {
    /// The event loop's end of it.
    pub port: ControlPort,
    /// What is stored and has to be enforced, where that is not what was handed over.
    pub stored: Option<NewConfig>,
}

/// The control port of a process that another one handed over to. Until it is there the event loop serves on by the lease that
/// was passed to it.
pub struct PendingControlServer(Receiver<ReadyControlPort>);

impl PendingControlServer {
    /// Starts the thread that opens the durable state and serves the control socket as soon as the process before has let go
    /// of both. The event loop enforces `handed_over` by then.
    ///
    /// # Errors
    ///
    /// Where no thread can be started.
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
        let (sender, ready) = channel();
        let opening = Opening {
            control,
            // What is fixed from the start on is what the loop goes on with, whatever the files say by now.
            fixed: handed_over.fixed.clone(),
            state: State(handed_over.state.clone()),
            max_message: max_message(config),
            waker: Arc::new(waker),
            ready: sender,
        };
        thread::Builder::new()
            .name("control".into())
            .stack_size(STACK_SIZE)
            .spawn(move || opening.run())
            .map_err(ControlError::Thread)?;
        Ok(PendingControlServer(ready))
    }

    /// The control port, once it is served.
    pub fn take(&self) -> Option<ReadyControlPort> {
        self.0.try_recv().ok()
    }
}

/// What the thread needs to open the control port.
struct Opening {
    control: ControlConfig,
    fixed: FixedPairs,
    state: State,
    max_message: usize,
    waker: Arc<Waker>,
    ready: Sender<ReadyControlPort>,
}

impl Opening {
    /// Tries until the control port is served, or there is none to serve.
    fn run(&self) {
        let mut backoff = FIRST_BACKOFF;
        let mut warned = false;
        loop {
            match self.open() {
                Ok(Some(ready)) => return self.pass_on(ready),
                Ok(None) => return,
                Err(error) if backoff >= MAX_BACKOFF && !warned => {
                    warned = true;
                    tracing::warn!(%error, "control: not opened yet, trying again");
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
        let stored = restored.differs_from(&self.state)?;
        let port = restored.listen(self.waker.clone())?;
        Ok(port.map(|port| ReadyControlPort { port, stored }))
    }

    fn pass_on(&self, ready: ReadyControlPort) {
        // Nobody takes it any more where the ingress has ended meanwhile.
        let _ = self.ready.send(ready);
        let _ = self.waker.wake();
    }
}
