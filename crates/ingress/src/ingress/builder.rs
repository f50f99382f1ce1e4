//! Startup of an ingress: binds the client listener, takes over from the predecessor or restores the durable state, then opens
//! the remaining sockets.

use super::handover::SuccessorListener;
use super::listener::{self, BoundListener};
use super::tokens::{
    backend_token, client_token, operator_token, CONTROL, COUNTER, DISCOVERY, LISTENER, MANAGEMENT,
    PEERS, SIGNALS,
};
use super::{
    Ingress, Limits, UnfinishedWork, ANSWER_MEMORY_DIVISOR, MEMORY_DIVISOR, SWEEP_INTERVAL,
};
use crate::admission::AdmissionGuard;
use crate::backend::Backends;
use crate::client::Clients;
use crate::clock::Clock;
use crate::cohort_metrics::CohortMetrics;
use crate::config::{
    ActiveConfig, Callers, Config, ConfigSource, CounterConfig, ListenAddress, PeerAddresses,
};
use crate::control::{self, ControlPort, PendingControlServer};
use crate::counter::CounterClient;
use crate::descriptor_budget::{DescriptorBudget, ReservedDescriptors};
use crate::discovery::DiscoveryClient;
use crate::error::IngressError;
use crate::management::ManagementServer;
use crate::peers::PeerSocket;
use crate::reload::ConfigReloader;
use crate::reload_status::ReloadStatusFile;
use crate::request_metrics::RequestMetrics;
use crate::requests::OpenRequests;
use crate::routing::Routing;
use crate::shutdown::Shutdown;
use crate::stream::Listener;
use crate::takeover::{take_over, InheritedState, TakenOver};
use crate::timers::{Due, Timers};
use crate::variant::Variant;
use mio::{Interest, Poll, Registry};
use signal_hook_mio::v1_0::Signals;
use std::collections::VecDeque;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_decision::{DiscoveryMode, EndpointListKind, Gateway, Micros, Settings};
use wrenfork_handover::socket_path;
use wrenfork_wire::call::Vocabulary;

/// Placeholder for a group member whose predecessor passed no lease: no request is admitted until a lease is granted.
const NO_LEASE: InheritedLease = InheritedLease {
    group_version: 0,
    expires_at: None,
    admission_deadline: 0,
};

/// Builds an [`Ingress`]: [`IngressBuilder::new`] binds the client listener, [`IngressBuilder::build`] does the rest.
pub struct IngressBuilder<V> {
    variant: V,
    config: Config,
    poll: Poll,
    signals: Signals,
    bound: BoundListener,
}

/// The control port during startup: served (`port`), waiting for the predecessor (`pending`), or not configured.
#[derive(Default)]
struct ControlStart {
    port: Option<ControlPort>,
    pending: Option<PendingControlServer>,
    admission: AdmissionGuard,
}

/// Resources opened during startup besides the client listener.
struct OpenedResources {
    peers: Option<PeerSocket>,
    management: Option<ManagementServer>,
    budget: DescriptorBudget,
    clock: Clock,
}

/// State and sockets inherited from the predecessor.
struct InheritedResources {
    state: InheritedState,
    /// Sockets not yet claimed, in the order in which the state lists them.
    descriptors: std::vec::IntoIter<OwnedFd>,
}

impl<V: Variant> IngressBuilder<V> {
    /// Binds the address for clients. Clients can connect from now on, but are served only once [`Ingress::run`] runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the poll can't be created or the address can't be bound.
    pub fn new(variant: V, config: Config, mut signals: Signals) -> Result<Self, IngressError> {
        let poll = Poll::new().map_err(IngressError::Poll)?;
        let mut bound = listener::bind(&config)?;
        let registry = poll.registry();
        registry
            .register(&mut bound.listener, LISTENER, Interest::READABLE)
            .and_then(|()| registry.register(&mut signals, SIGNALS, Interest::READABLE))
            .map_err(IngressError::Poll)?;
        Ok(IngressBuilder {
            variant,
            config,
            poll,
            signals,
            bound,
        })
    }

    /// Takes over from the predecessor, if there is one, and opens everything else.
    ///
    /// # Errors
    ///
    /// Returns an error if the durable state can't be opened, an address can't be bound, or there are too few file descriptors.
    pub fn build(
        mut self,
        source: ConfigSource,
        status: ReloadStatusFile,
    ) -> Result<Ingress<V>, IngressError> {
        let path = self.handover_path();
        let memory = self.config.memory;
        let takeover = path
            .as_deref()
            .and_then(|path| take_over::<V>(path, memory));
        let control = self.open_control(takeover.as_ref())?;
        let reloader = ConfigReloader::new(source, &self.config, status);
        let mut inherited = takeover.map(|takeover| self.adopt_enforced_config(takeover));
        let opened = self.open_sockets(inherited.as_mut(), path.is_some())?;
        let listen = self.config.listen.clone();
        let cached_endpoints = std::mem::take(&mut self.config.known_endpoints);
        let mut ingress = self.assemble(opened, control, reloader, path, cached_endpoints.index);
        match inherited {
            Some(inherited) => ingress.resume(inherited.state, inherited.descriptors),
            None => ingress.update_endpoints(cached_endpoints, EndpointListKind::Cached),
        }
        ingress.process_events();
        ingress.bind_free_addresses();
        tracing::info!(address = %listen, "listening");
        Ok(ingress)
    }

    /// Path of the handover socket, or `None` if this ingress doesn't support a handover. A handover requires a TCP listener held
    /// by the platform. Neither the authentication of callers nor applied changes kept only in memory can be handed over, so
    /// authenticating ingresses and control ports without a state folder are excluded.
    fn handover_path(&self) -> Option<PathBuf> {
        let config = &self.config;
        let stores_state = !config.has_control_port() || config.control.state.is_some();
        let supports_handover =
            config.inherited_listener.is_some() && config.active.callers.is_none() && stores_state;
        match &config.listen {
            ListenAddress::Tcp(address) => supports_handover.then(|| socket_path(*address)),
            ListenAddress::Unix { .. } => None,
        }
    }

    /// Opens the control port. After a takeover, starts a thread that opens it once the predecessor has released it.
    fn open_control(&mut self, takeover: Option<&TakenOver>) -> Result<ControlStart, IngressError> {
        let registry = self.poll.registry();
        let Some(takeover) = takeover else {
            let restored = control::restore(&mut self.config)?;
            let port = restored
                .map(|restored| restored.serve(registry, CONTROL))
                .transpose()?
                .flatten();
            let admission = port.as_ref().map(ControlPort::admission_guard);
            return Ok(ControlStart {
                admission: admission.unwrap_or_default(),
                port,
                pending: None,
            });
        };
        if !self.config.has_control_port() {
            return Ok(ControlStart::default());
        }
        let enforced_pairs = &takeover.state.source_pairs;
        let pending = PendingControlServer::start(
            &self.config,
            enforced_pairs,
            takeover.lease,
            registry,
            CONTROL,
        )?;
        let membership = self.config.control.membership.as_ref();
        let lease = takeover.lease.unwrap_or(NO_LEASE);
        Ok(ControlStart {
            port: None,
            pending: Some(pending),
            admission: AdmissionGuard::new(
                membership.map(|membership| lease.lease_guard(membership)),
            ),
        })
    }

    /// Replaces the configuration from the files by the one that the predecessor enforced.
    fn adopt_enforced_config(&mut self, takeover: TakenOver) -> InheritedResources {
        self.config.active = takeover.active;
        InheritedResources {
            state: takeover.state,
            descriptors: takeover.descriptors.into_iter(),
        }
    }

    /// Opens the configured sockets for peers and operators, and budgets the remaining file descriptors.
    fn open_sockets(
        &mut self,
        inherited: Option<&mut InheritedResources>,
        may_bind_later: bool,
    ) -> Result<OpenedResources, IngressError> {
        let registry = self.poll.registry();
        let mut peer_descriptor = None;
        let mut clocks = None;
        if let Some(inherited) = inherited {
            clocks = Some(inherited.state.clocks);
            if inherited.state.has_peer_socket {
                peer_descriptor = inherited.descriptors.next();
            }
        }
        let addresses = self.config.peers.take();
        let peers = addresses
            .map(|addresses| open_peers(addresses, peer_descriptor, registry, may_bind_later))
            .transpose()?;
        let clock = clocks.map_or_else(Clock::new, Clock::resume);
        let budget = DescriptorBudget::new(self.config.max_descriptors, self.reserved())?;
        let management = self
            .config
            .management
            .map(|address| ManagementServer::bind(address, registry, MANAGEMENT, operator_token));
        Ok(OpenedResources {
            peers,
            management: management.transpose()?,
            budget,
            clock,
        })
    }

    fn reserved(&self) -> ReservedDescriptors {
        let membership = self.config.control.membership.as_ref();
        let members = membership.map(|membership| membership.control_sockets.len());
        ReservedDescriptors {
            management: self.config.management.is_some(),
            group: members.map_or(0, wrenfork_control_plane::max_descriptors),
        }
    }

    fn assemble(
        self,
        opened: OpenedResources,
        control: ControlStart,
        reloader: ConfigReloader,
        handover_path: Option<PathBuf>,
        endpoints_index: u64,
    ) -> Ingress<V> {
        let config = self.config;
        let now = opened.clock.now();
        let may_change_pools = !config.platform_only || config.has_control_port();
        let counter = config.counter.map(open_counter);
        let active = config.active;
        let discovery = DiscoveryClient::new(
            active.discovery,
            config.location_names,
            endpoints_index,
            DISCOVERY,
            config.seed,
        );
        let backends = open_backends(&active, config.memory);
        let memory = config.memory / MEMORY_DIVISOR;
        let max_open = active.settings.limits.max_pending as usize;
        let in_group = config.control.membership.is_some();
        let limits = Limits::new(&active, config.memory);
        let max_customers = limits.max_customers();
        Ingress {
            variant: self.variant,
            poll: self.poll,
            clock: opened.clock,
            now,
            limits,
            budget: opened.budget,
            metrics: RequestMetrics::new(active.vocabulary.class_names()),
            cohort_metrics: cohort_metrics(&active, in_group),
            shutdown: Shutdown::new(active.longest_deadline()),
            gateway: open_gateway(active.settings, config.seed, now, max_customers),
            events: VecDeque::new(),
            actions: Vec::new(),
            backends,
            clients: open_clients(
                self.bound.listener,
                active.vocabulary,
                active.callers,
                memory,
                control.admission,
            ),
            discovery,
            reloader,
            routing: Routing::new(active.routes, may_change_pools),
            socket: self.bound.socket,
            control: control.port,
            pending_control: control.pending,
            management: opened.management,
            peers: opened.peers,
            counter,
            signals: self.signals,
            requests: OpenRequests::new(max_open, memory),
            timers: initial_timers(now),
            unfinished: UnfinishedWork::default(),
            successor: SuccessorListener::new(handover_path),
        }
    }
}

impl Limits {
    fn new(active: &ActiveConfig, memory: usize) -> Limits {
        let settings = &active.settings;
        Limits {
            tick: settings.tick,
            max_attempts: settings.limits.max_attempts as usize,
            polls_discovery: settings.discovery == DiscoveryMode::Poll,
            connect_timeout: active.connect_timeout,
            memory,
        }
    }
}

/// Opens the socket to the peers. With `may_bind_later`, an address still in use by another process is not an error and is
/// bound later.
fn open_peers(
    addresses: PeerAddresses,
    descriptor: Option<OwnedFd>,
    registry: &Registry,
    may_bind_later: bool,
) -> Result<PeerSocket, IngressError> {
    let address = addresses.listen;
    let opened = match descriptor {
        Some(descriptor) => PeerSocket::from_descriptor(addresses, descriptor, registry, PEERS),
        None => PeerSocket::bind(addresses, registry, PEERS, may_bind_later),
    };
    opened.map_err(|source| IngressError::PeerListen { address, source })
}

fn open_clients(
    listener: Listener,
    vocabulary: Vocabulary,
    callers: Option<Callers>,
    memory: usize,
    admission: AdmissionGuard,
) -> Clients {
    let mut clients = Clients::new(listener, vocabulary, memory, client_token);
    clients.set_callers(callers);
    clients.admission = admission;
    clients
}

fn open_gateway(settings: Settings, seed: u64, now: Micros, max_customers: usize) -> Gateway {
    let mut gateway = Gateway::new(settings, seed, now);
    gateway.set_max_customers(max_customers);
    gateway
}

fn open_backends(active: &ActiveConfig, memory: usize) -> Backends {
    Backends::new(
        active.connect_timeout,
        active.keepalive,
        memory / ANSWER_MEMORY_DIVISOR,
        backend_token,
    )
}

fn open_counter(counter: CounterConfig) -> CounterClient {
    CounterClient::new(counter.address, counter.timeout, COUNTER)
}

/// Creates the counts for staged rollouts. Counting starts only in a group, since only groups run rollouts.
fn cohort_metrics(active: &ActiveConfig, in_group: bool) -> CohortMetrics {
    let mut metrics = CohortMetrics::default();
    if in_group {
        metrics.start();
    }
    metrics.set_weights(&active.settings, &active.vocabulary);
    metrics
}

fn initial_timers(now: Micros) -> Timers {
    let mut timers = Timers::default();
    timers.set(now + SWEEP_INTERVAL, Due::Sweep);
    timers
}
