//! Handover to the next process of this ingress, and resuming from the predecessor. The handover takes place between two turns,
//! when no event is partly processed, so that the complete state can be passed on.

use super::tokens::{HANDOVER, PEERS};
use super::{Ingress, MEMORY_DIVISOR};
use crate::peers::PeerSocket;
use crate::takeover::{encode, HandoverError, HandoverListener, InheritedState, OutgoingState};
use crate::variant::Variant;
use std::cell::RefCell;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use wrenfork_control_plane::HandoverError as ControlHandoverError;
use wrenfork_decision::Micros;
use wrenfork_handover::caller::Caller;
use wrenfork_handover::listener::ListenerLender;
use wrenfork_handover::successor::Successor;

/// The socket to which the successor connects.
pub(super) struct SuccessorListener {
    /// `None` if this ingress doesn't support a handover.
    path: Option<PathBuf>,
    /// `None` while another process listens at the path.
    listener: Option<HandoverListener>,
    /// Whether the failure to listen at the path has been logged; it is logged only once.
    warned: bool,
}

impl SuccessorListener {
    /// Creates the value without listening yet; see [`Ingress::bind_free_addresses`].
    pub(super) fn new(path: Option<PathBuf>) -> SuccessorListener {
        SuccessorListener {
            path,
            listener: None,
            warned: false,
        }
    }

    /// Removes the socket, so that no successor connects to this process any more.
    pub(super) fn close(&self) {
        if let Some(listener) = &self.listener {
            listener.close();
        }
    }
}

impl<V: Variant> Ingress<V> {
    /// Binds the handover socket and the peer address if they are not bound yet. A predecessor may hold them until it exits.
    pub(super) fn bind_free_addresses(&mut self) {
        let registry = self.poll.registry();
        let successor = &mut self.successor;
        let Some(path) = successor.path.as_deref() else {
            return;
        };
        if self.shutdown.has_begun() {
            return;
        }
        if successor.listener.is_none() {
            match HandoverListener::open(path, registry, HANDOVER) {
                Ok(listener) => successor.listener = Some(listener),
                Err(error) if !successor.warned => {
                    successor.warned = true;
                    tracing::warn!(%error, "handover: cannot listen for a successor yet, retrying");
                }
                Err(_) => {}
            }
        }
        if let Some(peers) = self.peers.as_mut().filter(|peers| !peers.is_bound()) {
            if peers.bind_if_unbound(registry, PEERS).is_ok() {
                tracing::info!("peer_listen: address bound");
            }
        }
    }

    /// Hands over to a successor that has connected. Returns whether the successor now owns the state and the sockets.
    pub(super) fn hand_over(&mut self) -> bool {
        if !std::mem::take(&mut self.unfinished.handover) {
            return false;
        }
        while let Some(caller) = self.next_caller() {
            let started_at = self.clock.now();
            let handed_over = match caller {
                Ok(Caller::Successor { successor, layout }) => {
                    self.hand_over_state(successor, layout)
                }
                Ok(Caller::Supervisor(lender)) => {
                    self.lend_listener(lender);
                    continue;
                }
                Err(error) => Err(error),
            };
            match handed_over {
                Ok(successor) => {
                    self.hand_over_sockets(successor, started_at);
                    return true;
                }
                Err(error) => tracing::warn!(%error, "handover: failed, continuing to serve"),
            }
        }
        false
    }

    fn next_caller(&self) -> Option<Result<Caller, HandoverError>> {
        self.successor.listener.as_ref()?.accept::<V>()
    }

    /// Lends the listening socket to the supervisor of this process.
    fn lend_listener(&self, lender: ListenerLender) {
        if let Some(listener) = self.clients.tcp_listener() {
            if let Err(error) = lender.lend(listener) {
                tracing::warn!(%error, "handover: failed to lend the listener to the supervisor");
            }
        }
    }

    /// Hands over the state, and the control port if there is one. On an error, this process keeps both.
    fn hand_over_state(
        &mut self,
        mut successor: Successor,
        layout: u32,
    ) -> Result<Successor, HandoverError> {
        self.check_can_hand_over()?;
        let Some(control) = self.control.take() else {
            self.take_client_events();
            self.clients.prepare_handover();
            let bytes = encode::<V>(layout, &self.outgoing_state(), None)?;
            successor.hand_over(&bytes)?;
            return Ok(successor);
        };
        let ingress = RefCell::new(self);
        let result = control.hand_over(
            |commands| ingress.borrow_mut().execute_commands(commands),
            |lease| {
                let mut this = ingress.borrow_mut();
                this.take_client_events();
                this.clients.prepare_handover();
                let bytes = encode::<V>(layout, &this.outgoing_state(), lease)?;
                Ok(successor.hand_over(&bytes)?)
            },
        );
        match result {
            Ok(()) => Ok(successor),
            Err(error) => {
                ingress.into_inner().control = Some(control);
                Err(match error {
                    ControlHandoverError::Busy => HandoverError::ControlPortBusy,
                    ControlHandoverError::Transfer(error) => error,
                })
            }
        }
    }

    /// Returns an error if this ingress can't be handed over at the moment.
    fn check_can_hand_over(&self) -> Result<(), HandoverError> {
        if self.shutdown.has_begun() {
            return Err(HandoverError::Stopping);
        }
        if self.clients.vocabulary.authenticates {
            return Err(HandoverError::Authenticated);
        }
        if self.pending_control.is_some() {
            return Err(HandoverError::ControlPortPending);
        }
        Ok(())
    }

    fn hand_over_sockets(&mut self, mut successor: Successor, started_at: Micros) {
        let peers = self.peers.take().and_then(PeerSocket::into_descriptor);
        let mut descriptors: Vec<OwnedFd> = peers.into_iter().collect();
        descriptors.extend(self.clients.take_descriptors());
        descriptors.extend(self.backends.take_descriptors());
        let connections = descriptors.len();
        if let Err(error) = successor.send_descriptors(descriptors) {
            tracing::error!(%error, "handover: failed to send all sockets, the remaining connections are lost");
        }
        let took_us = self.clock.now().saturating_sub(started_at);
        tracing::info!(connections, took_us, "handed over to the successor");
    }

    fn outgoing_state(&self) -> OutgoingState<'_> {
        OutgoingState {
            source_pairs: self.reloader.enforced(),
            clocks: self.clock.reading(),
            now: self.now,
            gateway: &self.gateway,
            requests: &self.requests,
            timers: &self.timers,
            discovery: self.discovery.position(),
            has_peer_socket: self.peers.as_ref().is_some_and(PeerSocket::is_bound),
            clients: self.clients.save(),
            backends: self.backends.save(),
        }
    }

    /// Resumes with the state and the sockets of the predecessor.
    pub(super) fn resume(
        &mut self,
        state: InheritedState,
        mut descriptors: impl Iterator<Item = OwnedFd>,
    ) {
        let registry = self.poll.registry();
        let connections = state.clients.len() + state.backends.len();
        self.now = state.now;
        self.gateway = state.gateway;
        self.gateway.set_max_customers(self.limits.max_customers());
        self.requests = state.requests;
        self.timers = state.timers;
        self.requests
            .set_max_memory(self.limits.memory / MEMORY_DIVISOR);
        self.clients
            .resume(state.clients, &mut descriptors, registry);
        self.backends
            .resume(state.backends, &mut descriptors, registry);
        self.discovery.resume(state.discovery);
        self.unfinished.accept = true;
        self.unfinished.peers = true;
        self.take_client_events();
        let files_decide = self.pending_control.is_none();
        let changed = self.reloader.resume(state.source_pairs, files_decide);
        if let Some(active) = changed {
            drop(self.apply_config(*active));
        }
        tracing::info!(connections, "taken over from the predecessor");
    }
}
