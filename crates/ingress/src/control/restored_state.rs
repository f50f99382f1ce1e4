//! The durable state at a start: what was enforced last stands, whatever the files say, and the control socket serves it.

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

/// How long another ingress may take to report what it enforces, at a start without durable state.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// One part in so many of the memory bounds a message: it is parsed, and a prepared change is held beside what is enforced.
const MESSAGE_MEMORY_SHARE: usize = 8;
/// Permissions of the control socket: its owner's alone.
const SOCKET_MODE: u32 = 0o600;

/// The durable state of an ingress that starts, before its control socket is served.
pub struct RestoredState {
    control: ControlConfig,
    fixed: FixedPairs,
    durable: DurableState,
    /// The most bytes of a message.
    max_message: usize,
}

/// Opens the durable state, and has the configuration say what was enforced last; none where there is no control port.
///
/// # Errors
///
/// Where the folder can't be used, or what is stored there can't be enforced by this program.
pub fn restore(config: &mut Config) -> Result<Option<RestoredState>, ControlError> {
    if !config.has_control_port() {
        return Ok(None);
    }
    let control = config.control.clone();
    let from_files = State(config.source_pairs.state.clone());
    let first = || {
        // A group reports itself what is enforced, and nothing is served before it has.
        if control.membership.is_some() {
            ParticipantState::new(1, from_files.clone())
        } else {
            first_state(&control, &from_files)
        }
    };
    let durable = open_durable_state(control.state.as_deref(), first)?;
    enforce_last(config, durable.participant(), &from_files)?;
    Ok(Some(RestoredState {
        control,
        fixed: config.source_pairs.fixed.clone(),
        durable,
        max_message: max_message(config),
    }))
}

/// The most bytes of a control message, by the memory that the ingress may use.
pub(super) fn max_message(config: &Config) -> usize {
    config.memory / MESSAGE_MEMORY_SHARE
}

fn open_durable_state(
    folder: Option<&Path>,
    first: impl FnOnce() -> ParticipantState,
) -> Result<DurableState, ControlError> {
    DurableState::open(folder, first).map_err(ControlError::State)
}

/// Replaces what the files say by what was enforced last.
fn enforce_last(
    config: &mut Config,
    memory: &ParticipantState,
    from_files: &State,
) -> Result<(), ControlError> {
    let Generation { number, digest } = &memory.enforced;
    let (generation, digest) = (*number, digest.short());
    if *memory.state != *from_files {
        tracing::warn!(
            generation,
            digest,
            "control: enforcing what was applied last, not the files"
        );
    }
    config.active = compile(&config.source_pairs.fixed, &memory.state)
        .map_err(|source| ControlError::LastGeneration { generation, source })?;
    config.source_pairs.state = memory.state.0.clone();
    tracing::info!(generation, digest, "control: enforcing");
    if let Some(prepared) = &memory.prepared {
        tracing::warn!(
            change = prepared.vote.change.short(),
            author = prepared.vote.author.as_str(),
            "control: a change is prepared and not decided; wrenctl apply --resume ends it"
        );
    }
    Ok(())
}

/// What an ingress begins with that has nothing stored: what the others enforce, since what was applied there was applied here.
/// A change that they have only prepared is not decided: what was enforced before it is the safest, as all have kept to it.
fn first_state(control: &ControlConfig, from_files: &State) -> ParticipantState {
    let reported = control.others.iter().filter_map(|path| status_of(path));
    let newest = reported.max_by_key(|(generation, _)| generation.number);
    match newest.filter(|(generation, _)| generation.number > 1) {
        Some((generation, state)) => {
            tracing::info!(
                generation = generation.number,
                "control: no state of its own, taken from another ingress"
            );
            ParticipantState::new(generation.number, state)
        }
        None => ParticipantState::new(1, from_files.clone()),
    }
}

/// What the ingress with this control socket enforces; none where it doesn't answer in time or its digest is wrong.
fn status_of(socket: &Path) -> Option<(Generation, Arc<State>)> {
    match client::request(socket, &CommitRequest::Status, STATUS_TIMEOUT) {
        Ok(CommitResponse::Status {
            generation, state, ..
        }) if state.digest() == generation.digest => Some((generation, state)),
        _ => None,
    }
}

impl RestoredState {
    /// Opens the durable state behind a process that has handed over, whose `state` the event loop enforces.
    ///
    /// # Errors
    ///
    /// Where the folder can't be used, as while the other process still has it.
    pub(super) fn open_after_handover(
        control: &ControlConfig,
        fixed: &FixedPairs,
        state: &State,
        max_message: usize,
    ) -> Result<RestoredState, ControlError> {
        let first = || ParticipantState::new(1, state.clone());
        Ok(RestoredState {
            durable: open_durable_state(control.state.as_deref(), first)?,
            control: control.clone(),
            fixed: fixed.clone(),
            max_message,
        })
    }

    /// Serves the control socket, if there is one; the event loop is woken by `token`.
    ///
    /// # Errors
    ///
    /// Where the socket can't be bound.
    pub fn serve(
        self,
        registry: &Registry,
        token: Token,
    ) -> Result<Option<ControlPort>, ControlError> {
        let waker = Waker::new(registry, token).map_err(ControlError::Waker)?;
        self.listen(Arc::new(waker))
    }

    /// The stored configuration, where it is another one than that which was handed over: the stored one stands, since what
    /// is stored is enforced before anything else is done. It differs where a folder was put in another's place.
    pub(super) fn differs_from(
        &self,
        handed_over: &State,
    ) -> Result<Option<NewConfig>, ControlError> {
        let stored = &self.durable.participant().state;
        if **stored == *handed_over {
            return Ok(None);
        }
        tracing::warn!(
            "control: the stored state is not what was handed over, enforcing the stored one"
        );
        Ok(Some(NewConfig {
            compiled: Box::new(compile(&self.fixed, stored)?),
            state: Box::new(State::clone(stored)),
        }))
    }

    /// Binds the control socket and starts the control threads.
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
