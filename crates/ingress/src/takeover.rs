//! What this ingress is, as it passes to the process that comes after it: the state of the module and of everything round it in
//! one piece, and the sockets by descriptor. The channel and its steps stand in `wrenfork-handover`.

use crate::backends::{self, Conn};
use crate::clients::{self, Client};
use crate::config::{compile, Enforced};
use crate::requests::Requests;
use crate::timers::Timers;
use mio::net::UnixListener;
use mio::{Interest, Registry, Token};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::Path;
use wrenfork_commit::state::State;
use wrenfork_config::enforced::Told;
use wrenfork_control_plane::group::InheritedLease as Right;
use wrenfork_control_plane::socket::{self, SocketFile};
use wrenfork_decision::{Gateway, Micros};
use wrenfork_handover::caller::Caller;
use wrenfork_handover::predecessor::{OfferedState, Predecessor};

/// The number of the state's form. It grows with every change of what is kept in it, here or in the module: a process of
/// another form must not read it wrongly. What a form has more than the one before stands behind all of that, so that a
/// neighbour's is written by leaving that away, and read with what it means that it is not there:
///
/// - 4: [`Given`].
/// - 5: and the right to serve of a member of a group.
pub const LAYOUT: u32 = 5;
/// The oldest form that is written and read here.
pub const OLDEST: u32 = 4;
/// The part of the memory that a state may take on its way, as it stands there beside what it is read into.
const MEMORY_SHARE: usize = 4;

/// What is passed on, by the old process.
#[derive(Serialize)]
pub struct Given<'a> {
    /// What is enforced, with the places that classes and plans have.
    pub told: &'a Told,
    /// The loop's clock and the system's, in microseconds of Unix time, at the same moment.
    pub clocks: (Micros, Micros),
    pub now: Micros,
    pub gateway: &'a Gateway,
    pub requests: &'a Requests,
    pub timers: &'a Timers,
    /// Where discovery is, and the version of the list that is held.
    pub watch: (SocketAddr, Option<u64>),
    /// Whether the first descriptor is the peers' socket.
    pub peers: bool,
    pub clients: clients::Saved<&'a Client>,
    pub backends: backends::Saved<&'a Conn>,
}

/// What a version of the program keeps behind all that, in forms that this one does not know; the shipped one nothing.
pub trait Form {
    /// The newest form that it writes and reads.
    const LAYOUT: u32 = LAYOUT;

    /// Writes what a form beyond the shipped one has more.
    fn write(_layout: u32, _state: &mut Vec<u8>) {}

    /// Reads it.
    ///
    /// # Errors
    ///
    /// Where it is something else.
    fn read(_layout: u32, rest: &[u8]) -> Result<(), String> {
        rest.is_empty()
            .then_some(())
            .ok_or_else(|| "there is more than its form has".into())
    }
}

/// The same, as the new process reads it.
#[derive(Deserialize)]
pub struct Inherited {
    pub told: Told,
    pub clocks: (Micros, Micros),
    pub now: Micros,
    pub gateway: Gateway,
    pub requests: Requests,
    pub timers: Timers,
    pub watch: (SocketAddr, Option<u64>),
    pub peers: bool,
    pub clients: clients::Saved<Client<()>>,
    pub backends: backends::Saved<Conn<()>>,
}

/// What was taken over.
pub struct Taken {
    pub state: Inherited,
    /// The right to serve of a member of a group; none where the other process's form has none.
    pub right: Option<Right>,
    pub enforced: Enforced,
    pub descriptors: Vec<OwnedFd>,
}

/// Takes over from the process that serves at this moment; none if there is none, or it can't: then this one begins anew.
pub fn ask<F: Form>(path: &Path, memory: usize) -> Option<Taken> {
    match try_ask::<F>(path, memory) {
        Ok(taken) => taken,
        Err(why) => {
            tracing::warn!(
                "handover: {why}; beginning anew beside the other process, which has to end by itself"
            );
            None
        }
    }
}

fn try_ask<F: Form>(path: &Path, memory: usize) -> Result<Option<Taken>, String> {
    let offered = Predecessor::request_state(path, OLDEST..=F::LAYOUT, memory / MEMORY_SHARE)
        .map_err(|error| error.to_string())?;
    let Some(OfferedState {
        mut predecessor,
        layout,
        state: bytes,
    }) = offered
    else {
        return Ok(None);
    };
    // All that may fail comes before it is this process's.
    let read = read::<F>(layout, &bytes).and_then(|(state, right)| {
        let enforced = compile(&state.told.fixed, &State(state.told.state.clone()));
        let enforced = enforced.map_err(|why| format!("what it enforces can't be: {why}"))?;
        Ok((state, right, enforced))
    });
    let (state, right, enforced) = match read {
        Ok(read) => read,
        Err(why) => {
            predecessor.decline(&why);
            return Err(why);
        }
    };
    drop(bytes);
    predecessor.take_over().map_err(|error| error.to_string())?;
    let count = usize::from(state.peers) + state.clients.len() + state.backends.len();
    let descriptors = predecessor.receive_descriptors(count);
    if descriptors.len() < count {
        tracing::warn!(
            "handover: {} of {count} connections did not come; they are lost",
            count - descriptors.len()
        );
    }
    Ok(Some(Taken {
        state,
        right,
        enforced,
        descriptors,
    }))
}

/// Reads a state of a form.
fn read<F: Form>(layout: u32, bytes: &[u8]) -> Result<(Inherited, Option<Right>), String> {
    let told = |e: postcard::Error| format!("the state can't be read: {e}");
    let (state, mut rest) = postcard::take_from_bytes::<Inherited>(bytes).map_err(told)?;
    let mut right = None;
    if layout >= 5 {
        (right, rest) = postcard::take_from_bytes(rest).map_err(told)?;
    }
    F::read(layout, rest)?;
    Ok((state, right))
}

/// The offer to the next process.
pub struct Offer {
    listener: UnixListener,
    socket: SocketFile,
}

impl Offer {
    /// Listens for the next process.
    ///
    /// # Errors
    ///
    /// Where another process of this ingress still does, or the folder can't be used.
    pub fn open(path: &Path, registry: &Registry, token: Token) -> Result<Offer, String> {
        let bound = socket::listen(path, 0o600).map_err(|error| error.to_string())?;
        bound
            .listener
            .set_nonblocking(true)
            .map_err(|e| format!("{}: {e}", path.display()))?;
        let mut listener = UnixListener::from_std(bound.listener);
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Offer {
            listener,
            socket: bound.file,
        })
    }

    /// Whoever asks next.
    pub fn next<F: Form>(&self) -> Option<Result<Caller, String>> {
        let (stream, _) = self.listener.accept().ok()?;
        let stream = UnixStream::from(OwnedFd::from(stream));
        let caller = Caller::accept(stream, OLDEST..=F::LAYOUT);
        Some(caller.map_err(|error| error.to_string()))
    }

    /// The ingress ends, with nobody behind it.
    pub fn close(&self) {
        self.socket.remove();
    }
}

/// The bytes of a state, in a form.
///
/// # Errors
///
/// Where it can't be written down, or a process of that form could not go on with it.
pub fn bytes<F: Form>(layout: u32, state: &Given, right: Option<Right>) -> Result<Vec<u8>, String> {
    if layout < 5 && right.is_some() {
        return Err(format!(
            "a process of layout {layout} knows no right to serve, and this is a member of a group"
        ));
    }
    let mut bytes =
        postcard::to_stdvec(state).map_err(|e| format!("the state can't be written: {e}"))?;
    if layout >= 5 {
        bytes = postcard::to_extend(&right, bytes)
            .map_err(|e| format!("the state can't be written: {e}"))?;
    }
    F::write(layout, &mut bytes);
    Ok(bytes)
}

#[cfg(test)]
mod tests;
