//! The event loop. It feeds the decision module what the sockets brought, carries out what the module asks for in that order,
//! and answers clients. It decides nothing: no backend, no retry, no rejection but where a limit of the settings leaves no
//! capacity to ask the module.
//!
//! [`Ingress`] owns all state of a running ingress. [`IngressBuilder`] makes it; its methods stand by concern in the modules below.

mod actions;
mod answers;
mod attempts;
mod builder;
mod client_events;
mod configuration;
mod endpoints;
mod handover;
mod listener;
mod operators;
mod signals;
mod streaming;
mod timeouts;
mod tokens;
mod turn;

pub use builder::IngressBuilder;
pub use signals::receive_signals;

use crate::backend::Backends;
use crate::client::Clients;
use crate::clock::Clock;
use crate::cohort_metrics::CohortMetrics;
use crate::control::{ControlPort, PendingControlServer};
use crate::counter::CounterClient;
use crate::descriptor_budget::DescriptorBudget;
use crate::discovery::DiscoveryClient;
use crate::error::IngressError;
use crate::management::ManagementServer;
use crate::peers::PeerSocket;
use crate::reload::ConfigReloader;
use crate::request_metrics::RequestMetrics;
use crate::requests::OpenRequests;
use crate::routing::Routing;
use crate::shutdown::{OpenClients, Shutdown};
use crate::timers::Timers;
use crate::variant::Variant;
use handover::SuccessorListener;
use mio::{Events, Poll};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;
use turn::Readiness;
use wrenfork_control_plane::socket::SocketFile;
use wrenfork_decision::{Action, Event, Gateway, Micros};

/// The most readiness events of a turn.
const MAX_READINESS: usize = 512;
/// One part in so many of the memory is for open requests, and one for what clients have sent in part or not yet read.
const MEMORY_SHARE: usize = 4;
/// Time between looks at what has been idle for long.
const SWEEP_INTERVAL: Micros = 500_000;

/// A running ingress.
pub struct Ingress<V> {
    /// The version of the program that this is.
    variant: V,
    poll: Poll,
    clock: Clock,
    /// The time of this turn.
    now: Micros,
    limits: Limits,
    budget: DescriptorBudget,
    /// The decision module.
    gateway: Gateway,
    /// What the module is still to be given.
    events: VecDeque<Event>,
    /// What the module asks for; empty between two events.
    actions: Vec<Action>,
    clients: Clients,
    backends: Backends,
    discovery: DiscoveryClient,
    reloader: ConfigReloader,
    routing: Routing,
    /// The file of the clients' socket, where it is one.
    socket: Option<SocketFile>,
    control: Option<ControlPort>,
    /// The control port that is still to come, behind another process.
    pending_control: Option<PendingControlServer>,
    metrics: RequestMetrics,
    cohort_metrics: CohortMetrics,
    management: Option<ManagementServer>,
    peers: Option<PeerSocket>,
    counter: Option<CounterClient>,
    signals: Signals,
    requests: OpenRequests,
    timers: Timers,
    unfinished: UnfinishedWork,
    shutdown: Shutdown,
    successor: SuccessorListener,
}

/// Limits of the settings that the event loop keeps to.
struct Limits {
    /// The length of a tick of the clock.
    tick: Micros,
    /// The most attempts of a request that comes now.
    max_attempts: usize,
    /// Whether the module is told where discovery fails.
    polls_discovery: bool,
    /// How long a connection to a backend may take to be established.
    connect_timeout: Micros,
    /// The most bytes of memory.
    memory: usize,
}

/// What a turn's bounds left for the next turn.
#[derive(Default)]
struct UnfinishedWork {
    /// Clients may wait to be accepted.
    accept: bool,
    /// Messages of peers may wait.
    peers: bool,
    /// Operators may wait to be accepted.
    operators: bool,
    /// A next process may wait.
    handover: bool,
}

impl<V: Variant> Ingress<V> {
    /// Runs until told to stop and idle, or until another process has taken over.
    ///
    /// # Errors
    ///
    /// Where the poll fails.
    pub fn run(mut self) -> Result<(), IngressError> {
        let mut events = Events::with_capacity(MAX_READINESS);
        let mut ready: Vec<Readiness> = Vec::new();
        loop {
            let timeout = self.poll_timeout();
            if let Err(e) = self.poll.poll(&mut events, Some(timeout)) {
                if e.kind() != ErrorKind::Interrupted {
                    return Err(IngressError::Poll(e));
                }
            }
            self.advance_clock();
            ready.clear();
            ready.extend(events.iter().map(Readiness::from));
            self.variant.turn();
            self.turn(&mut ready);
            self.take_control_commands();
            if self.hand_over() {
                return Ok(());
            }
            if self.may_exit() {
                self.close();
                return Ok(());
            }
        }
    }

    /// What comes within a tick of the last clock is read with that clock. Sleeping for the rest of the tick instead, for one
    /// clock to hold all of it, cost each request two sleeps and 1.7 ms each way.
    fn advance_clock(&mut self) {
        let clock = self.clock.now();
        if clock >= self.now + self.limits.tick {
            self.now = clock;
        }
    }

    fn poll_timeout(&self) -> Duration {
        if self.unfinished.accept
            || self.unfinished.peers
            || self.unfinished.operators
            || self.clients.has_more()
            || self.backends.has_more()
        {
            return Duration::ZERO;
        }
        // Nothing falls due before there is a new clock.
        let timer = self.timers.next().min(self.discovery.wake_at);
        let wake_at = timer.max(self.now + self.limits.tick);
        Duration::from_micros(wake_at.saturating_sub(self.clock.now()))
    }

    /// Whether all that was admitted is answered, and nobody is left who might send more.
    fn may_exit(&self) -> bool {
        if self.requests.any_incomplete() {
            return false;
        }
        let open = OpenClients {
            connected: self.clients.len(),
            has_more: self.clients.has_more(),
        };
        self.shutdown
            .may_exit(self.now, open, || self.clients.any_busy())
    }

    /// Removes what the next process must not find.
    fn close(&mut self) {
        self.successor.close();
        if let Some(control) = self.control.take() {
            control.close();
        }
        self.reloader.close();
        if let Some(socket) = &self.socket {
            socket.remove();
        }
        tracing::info!("stopped");
    }
}
