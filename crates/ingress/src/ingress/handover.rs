//! From one process of this ingress to the next: between two turns nothing is half done, and all of it passes.

use super::tokens::{HANDOVER, PEERS};
use super::{Ingress, MEMORY_SHARE};
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

/// Where the next process finds this one.
pub(super) struct SuccessorListener {
    /// None where it may not come while this one serves.
    path: Option<PathBuf>,
    /// None while another process has the path.
    listener: Option<HandoverListener>,
    /// It was logged that the path can't be had.
    warned: bool,
}

impl SuccessorListener {
    /// Not listening yet.
    pub(super) fn new(path: Option<PathBuf>) -> SuccessorListener {
        SuccessorListener {
            path,
            listener: None,
            warned: false,
        }
    }

    /// Nobody is to find this process any more.
    pub(super) fn close(&self) {
        if let Some(listener) = &self.listener {
            listener.close();
        }
    }
}

impl<V: Variant> Ingress<V> {
    /// Takes the addresses that a process before leaves free when it ends: that for the next process, and the peers'.
    pub(super) fn occupy_free_addresses(&mut self) {
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
                    tracing::warn!(%error, "handover: the next process can't find this one yet");
                }
                Err(_) => {}
            }
        }
        if let Some(peers) = self.peers.as_mut().filter(|peers| !peers.is_bound()) {
            if peers.bind_if_unbound(registry, PEERS).is_ok() {
                tracing::info!("peer_listen: bound");
            }
        }
    }

    /// Hands all over to a process that asks for it; true if it is that one's.
    pub(super) fn hand_over(&mut self) -> bool {
        if !std::mem::take(&mut self.unfinished.handover) {
            return false;
        }
        while let Some(caller) = self.next_caller() {
            let started_at = self.clock.now();
            let given = match caller {
                Ok(Caller::Successor { successor, layout }) => {
                    self.hand_over_state(successor, layout)
                }
                Ok(Caller::Supervisor(lender)) => {
                    self.lend_listener(lender);
                    continue;
                }
                Err(error) => Err(error),
            };
            match given {
                Ok(successor) => {
                    self.hand_over_sockets(successor, started_at);
                    return true;
                }
                Err(error) => tracing::warn!(%error, "handover: failed, going on as before"),
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
                tracing::warn!(%error, "handover: the listener was not lent");
            }
        }
    }

    /// Hands the state over, with the control port where there is one. With an error it is this process's as before.
    fn hand_over_state(
        &mut self,
        mut to: Successor,
        layout: u32,
    ) -> Result<Successor, HandoverError> {
        self.check_hand_over()?;
        let Some(control) = self.control.take() else {
            self.take_client_events();
            let bytes = encode::<V>(layout, &self.outgoing_state(), None)?;
            to.hand_over(&bytes)?;
            return Ok(to);
        };
        let ingress = RefCell::new(self);
        let given = control.hand_over(
            |commands| ingress.borrow_mut().execute_commands(commands),
            |lease| {
                let mut this = ingress.borrow_mut();
                this.take_client_events();
                let bytes = encode::<V>(layout, &this.outgoing_state(), lease)?;
                Ok(to.hand_over(&bytes)?)
            },
        );
        match given {
            Ok(()) => Ok(to),
            Err(error) => {
                ingress.into_inner().control = Some(control);
                Err(match error {
                    ControlHandoverError::Busy => HandoverError::ControlPortBusy,
                    ControlHandoverError::Transfer(error) => error,
                })
            }
        }
    }

    /// Whether this ingress may be handed over now.
    fn check_hand_over(&self) -> Result<(), HandoverError> {
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

    fn hand_over_sockets(&mut self, mut to: Successor, started_at: Micros) {
        let peers = self.peers.take().and_then(PeerSocket::into_descriptor);
        let mut descriptors: Vec<OwnedFd> = peers.into_iter().collect();
        descriptors.extend(self.clients.take_descriptors());
        descriptors.extend(self.backends.take_descriptors());
        let connections = descriptors.len();
        if let Err(error) = to.send_descriptors(descriptors) {
            tracing::error!(%error, "handover: what had not passed is lost");
        }
        let took_us = self.clock.now().saturating_sub(started_at);
        tracing::info!(connections, took_us, "handed over to the next process");
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

    /// Goes on where another process stopped.
    pub(super) fn resume(
        &mut self,
        state: InheritedState,
        mut descriptors: impl Iterator<Item = OwnedFd>,
    ) {
        let registry = self.poll.registry();
        let connections = state.clients.len() + state.backends.len();
        self.now = state.now;
        self.gateway = state.gateway;
        self.requests = state.requests;
        self.timers = state.timers;
        self.requests
            .set_max_memory(self.limits.memory / MEMORY_SHARE);
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
            drop(self.apply(*active));
        }
        tracing::info!(connections, "taken over from the process before");
    }
}
