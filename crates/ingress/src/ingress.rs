//! The event loop. It passes events from the sockets to the decision module, executes the actions that the module returns, in
//! order, and answers clients. The event loop makes no decisions itself: the module chooses backends, retries and rejections.
//! The one exception is a request beyond a configured limit, which is rejected without asking the module.
//!
//! [`Ingress`] owns all state of a running ingress and is created by [`IngressBuilder`]. The methods of [`Ingress`] are grouped
//! by topic in the submodules.

mod actions;
mod answers;
mod attempts;
mod builder;
mod client_events;
mod configuration;
mod endpoints;
mod handover;
mod listener;
mod memory;
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

/// Maximum number of readiness events handled in one turn.
const MAX_READINESS_EVENTS: usize = 512;
/// Divisor of the memory limit: one share of this size is for open requests, and another for the clients' buffers (partly
/// received requests and answers not yet read).
const MEMORY_DIVISOR: usize = 4;
/// Divisor of the memory limit: a share of this size is for answers that are being received from backends.
const ANSWER_MEMORY_DIVISOR: usize = 8;
/// Fraction of the memory limit for what the decision module knows of customers: one part in this many.
const CUSTOMER_MEMORY_DIVISOR: usize = 8;
/// Approximate memory in bytes that the decision module takes for a customer.
const CUSTOMER_BYTES: usize = 1024;
/// Interval between sweeps for idle connections and old requests.
const SWEEP_INTERVAL: Micros = 500_000;

/// A running ingress.
pub struct Ingress<V> {
    /// Behaviour that differs between versions of the program.
    variant: V,
    poll: Poll,
    clock: Clock,
    /// Time at which this turn started; see [`Ingress::advance_clock`].
    now: Micros,
    limits: Limits,
    budget: DescriptorBudget,
    /// The decision module, which chooses backends, retries and rejections.
    gateway: Gateway,
    /// Events not yet passed to the decision module.
    events: VecDeque<Event>,
    /// Reusable buffer for the module's actions; empty between two events.
    actions: Vec<Action>,
    clients: Clients,
    backends: Backends,
    discovery: DiscoveryClient,
    reloader: ConfigReloader,
    routing: Routing,
    /// File of the clients' listening socket; `None` with a TCP listener.
    socket: Option<SocketFile>,
    control: Option<ControlPort>,
    /// Set after a takeover until the predecessor has released the control port.
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

/// Limits from the settings that the event loop enforces.
struct Limits {
    /// Granularity of [`Ingress::now`].
    tick: Micros,
    /// Maximum number of attempts for each new request.
    max_attempts: usize,
    /// Whether the decision module is notified when a discovery poll fails.
    polls_discovery: bool,
    /// Timeout for establishing a connection to a backend.
    connect_timeout: Micros,
    /// Memory limit of the process in bytes.
    memory: usize,
}

impl Limits {
    /// Maximum number of customers that the decision module remembers.
    fn max_customers(&self) -> usize {
        self.memory / CUSTOMER_MEMORY_DIVISOR / CUSTOMER_BYTES
    }
}

/// Work left for the next turn because this turn reached a limit.
#[derive(Default)]
struct UnfinishedWork {
    /// Client connections may be waiting in the accept queue.
    accept: bool,
    /// Messages from peers may be waiting in the socket buffer.
    peers: bool,
    /// Operator connections may be waiting in the accept queue.
    operators: bool,
    /// A successor may be waiting for the handover.
    handover: bool,
}

impl<V: Variant> Ingress<V> {
    /// Runs until a graceful shutdown is complete or a successor has taken over.
    ///
    /// # Errors
    ///
    /// Returns an error if polling for readiness events fails.
    pub fn run(mut self) -> Result<(), IngressError> {
        let mut events = Events::with_capacity(MAX_READINESS_EVENTS);
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
            self.run_turn(&mut ready);
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

    /// Updates `now` once a full tick has passed, so that all events within one tick share a timestamp. Sleeping until the end
    /// of the tick instead cost each request two sleeps and 1.7 ms in each direction.
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
        // Timers expire only when `now` advances, which takes at least one tick.
        let waits_for_memory =
            self.backends.any_waiting_for_memory() || self.backends.any_deferred();
        let timer = if waits_for_memory {
            self.now
        } else {
            let timers = self.timers.next().min(self.discovery.wake_at);
            timers.min(self.clients.next_grant_deadline())
        };
        let wake_at = timer.max(self.now + self.limits.tick);
        Duration::from_micros(wake_at.saturating_sub(self.clock.now()))
    }

    /// Whether every admitted request is answered and no client is left that could send another one.
    fn may_exit(&self) -> bool {
        if self.requests.any_incomplete() {
            return false;
        }
        let open = OpenClients {
            connected: self.clients.len(),
            has_more: self.clients.has_more(),
        };
        self.shutdown
            .may_exit(self.now, open, || self.clients.last_progress(self.now))
    }

    /// Closes and removes sockets and files that the next process must not find.
    fn close(&mut self) {
        self.successor.close();
        if let Some(control) = self.control.take() {
            control.close();
        }
        self.reloader.close();
        if let Some(socket) = &self.socket {
            socket.remove();
        }
        self.clients.close_all(self.now);
        let lost = self.clients.lost_answers;
        tracing::info!(
            broken_stream = lost.broken_stream,
            memory = lost.memory,
            unread = lost.unread,
            unwritten_bytes = self.clients.unwritten_bytes(),
            bodies_rejected = self.clients.bodies_rejected,
            undelivered_connections = self.clients.undelivered_connections(self.now),
            "stopped; requests without an answer by reason, bytes of answers not written, bodies rejected for memory, and connections with answers not received"
        );
    }
}
