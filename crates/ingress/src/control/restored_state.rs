//! Restores the durable state at startup. The configuration enforced last takes precedence over the files, and the control socket
//! serves it.

use super::command::NewConfig;
use super::error::ControlError;
use super::event_loop_handle::EventLoopHandle;
use super::port::ControlPort;
use crate::config::{compile, Config, ControlConfig, FixedPairs};
use mio::{Registry, Token, Waker};
use std::hash::{BuildHasher, RandomState};
use std::path::Path;
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_commit::participant::ParticipantState;
use wrenfork_commit::protocol::{CommitRequest, CommitResponse};
use wrenfork_commit::state::{Generation, State};
use wrenfork_control_plane::durable_state::DurableState;
use wrenfork_control_plane::{client, socket, ControlServer, ServerConfig};

/// Timeout for asking another ingress for its enforced configuration, at startup without durable state.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Divisor of the memory limit that gives the maximum size of a control message. A message takes several times its size: it is
/// parsed, and a prepared change is kept in addition to the enforced configuration.
const MESSAGE_MEMORY_DIVISOR: usize = 8;
/// File mode of the control socket: accessible only to its owner.
const SOCKET_MODE: u32 = 0o600;

/// The durable state of a starting ingress, before its control socket is served.
pub struct RestoredState {
    control: ControlConfig,
    fixed: FixedPairs,
    durable: DurableState,
    /// Maximum size of a control message in bytes.
    max_message: usize,
}

/// Opens the durable state and replaces the configuration from the files in `config` by the one enforced last. Returns `None`
/// if no control port is configured.
///
/// # Errors
///
/// Returns an error if the state folder can't be used, or the configuration stored there is invalid for this program.
pub fn restore(config: &mut Config) -> Result<Option<RestoredState>, ControlError> {
    if !config.has_control_port() {
        return Ok(None);
    }
    let control = config.control.clone();
    let file_state = State(config.source_pairs.state.clone());
    let initial_state = || {
        // A group member learns the enforced configuration from the group, and serves nothing until then.
        if control.membership.is_some() {
            ParticipantState::new(1, file_state.clone())
        } else {
            state_from_others(&control, &file_state)
        }
    };
    let durable = open_durable_state(control.state.as_deref(), initial_state)?;
    enforce_stored_state(config, durable.participant(), &file_state)?;
    Ok(Some(RestoredState {
        control,
        fixed: config.source_pairs.fixed.clone(),
        durable,
        max_message: max_message(config),
    }))
}

/// Maximum size of a control message in bytes, derived from the memory limit of the ingress.
pub(super) fn max_message(config: &Config) -> usize {
    config.memory / MESSAGE_MEMORY_DIVISOR
}

fn open_durable_state(
    folder: Option<&Path>,
    initial_state: impl FnOnce() -> ParticipantState,
) -> Result<DurableState, ControlError> {
    DurableState::open(folder, initial_state).map_err(ControlError::State)
}

/// Replaces the configuration from the files by the one enforced last.
fn enforce_stored_state(
    config: &mut Config,
    participant: &ParticipantState,
    file_state: &State,
) -> Result<(), ControlError> {
    let Generation { number, digest } = &participant.enforced;
    let (generation, digest) = (*number, digest.short());
    if *participant.state != *file_state {
        tracing::warn!(
            generation,
            digest,
            "control: enforcing the last applied configuration instead of the configuration files"
        );
    }
    config.active = compile(&config.source_pairs.fixed, &participant.state)
        .map_err(|source| ControlError::StoredGeneration { generation, source })?;
    config.source_pairs.state = participant.state.0.clone();
    tracing::info!(
        generation,
        digest,
        "control: enforcing the stored generation"
    );
    if let Some(prepared) = &participant.prepared {
        tracing::warn!(
            change = prepared.vote.change.short(),
            author = prepared.vote.author.as_str(),
            "control: a change is prepared but not decided; run wrenctl apply --resume to finish it"
        );
    }
    Ok(())
}

/// The initial state of an ingress without stored state: the newest configuration that another ingress enforces, since changes
/// are applied to all of them, or else the files. A change that the others have only prepared is not adopted, because it is not
/// decided yet; the generation before it is safe, as all ingresses have enforced it.
fn state_from_others(control: &ControlConfig, file_state: &State) -> ParticipantState {
    let reported = control.others.iter().filter_map(|path| query_status(path));
    let newest = reported.max_by_key(|(generation, _)| generation.number);
    match newest.filter(|(generation, _)| generation.number > 1) {
        Some((generation, state)) => {
            tracing::info!(
                generation = generation.number,
                "control: no stored state, adopting the configuration of another ingress"
            );
            ParticipantState::new(generation.number, state)
        }
        None => ParticipantState::new(1, file_state.clone()),
    }
}

/// Asks the ingress at this control socket for its enforced configuration. Returns `None` if it doesn't answer in time or the
/// digest doesn't match.
fn query_status(socket: &Path) -> Option<(Generation, Arc<State>)> {
    match client::request(socket, &CommitRequest::Status, STATUS_TIMEOUT) {
        Ok(CommitResponse::Status {
            generation, state, ..
        }) if state.digest() == generation.digest => Some((generation, state)),
        _ => None,
    }
}

impl RestoredState {
    /// Opens the durable state after a takeover. `state` is the predecessor's configuration, which the event loop enforces.
    ///
    /// # Errors
    ///
    /// Returns an error if the state folder can't be used, for instance because the predecessor still holds it.
    pub(super) fn open_after_handover(
        control: &ControlConfig,
        fixed: &FixedPairs,
        state: &State,
        max_message: usize,
    ) -> Result<RestoredState, ControlError> {
        let initial_state = || ParticipantState::new(1, state.clone());
        Ok(RestoredState {
            durable: open_durable_state(control.state.as_deref(), initial_state)?,
            control: control.clone(),
            fixed: fixed.clone(),
            max_message,
        })
    }

    /// Serves the control socket, if one is configured. Control threads wake the event loop with an event for `token`.
    ///
    /// # Errors
    ///
    /// Returns an error if the waker can't be created, the socket can't be bound, or the control threads can't be started.
    pub fn serve(
        self,
        registry: &Registry,
        token: Token,
    ) -> Result<Option<ControlPort>, ControlError> {
        let waker = Waker::new(registry, token).map_err(ControlError::Waker)?;
        self.listen(Arc::new(waker))
    }

    /// Returns the stored configuration if it differs from the one handed over, for instance because the state folder was
    /// replaced. The stored configuration takes precedence.
    pub(super) fn stored_if_different(
        &self,
        handed_over: &State,
    ) -> Result<Option<NewConfig>, ControlError> {
        let stored = &self.durable.participant().state;
        if **stored == *handed_over {
            return Ok(None);
        }
        tracing::warn!(
            "control: the stored state differs from the one handed over, enforcing the stored state"
        );
        Ok(Some(NewConfig {
            compiled: Box::new(compile(&self.fixed, stored)?),
            state: Box::new(State::clone(stored)),
        }))
    }

    /// Binds the control socket, if one is configured, and starts the control threads.
    pub(super) fn listen(self, waker: Arc<Waker>) -> Result<Option<ControlPort>, ControlError> {
        let Some(path) = &self.control.socket else {
            return Ok(None);
        };
        let socket = socket::listen(path, SOCKET_MODE).map_err(ControlError::Socket)?;
        let (sender, commands) = channel();
        let handle = EventLoopHandle {
            fixed: self.fixed,
            commands: sender,
            waker,
            incarnation: RandomState::new().hash_one(0),
            started_at: Instant::now(),
        };
        let server = ControlServer::start(ServerConfig {
            name: self.control.name.clone(),
            socket,
            durable: self.durable,
            data_plane: handle,
            max_message_bytes: self.max_message,
            group: self.control.membership,
        })
        .map_err(ControlError::Server)?;
        tracing::info!(path = %path.display(), "control: listening");
        Ok(Some(ControlPort { commands, server }))
    }
}
