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
use std::path::{Path, PathBuf};
use wrenfork_config::enforced::Told;
use wrenfork_control::state::State;
use wrenfork_decision::{Gateway, Micros};
use wrenfork_handover::channel::{Ancestor, Heir};
use wrenfork_keeper::socket::{self, Socket};

/// The number of the state's form. It changes with every change of what is kept in it, here or in the module: a process of
/// another form begins anew rather than read it wrongly.
const LAYOUT: u32 = 4;
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
    pub enforced: Enforced,
    pub descriptors: Vec<OwnedFd>,
}

/// Where the ingress that listens at an address offers itself: `$TMPDIR` is shared by its processes and nobody else's.
pub fn path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("wrenfork-{listen}.next"))
}

/// Takes over from the process that serves at this moment; none if there is none, or it can't: then this one begins anew.
pub fn ask(path: &Path, memory: usize) -> Option<Taken> {
    match try_ask(path, memory) {
        Ok(taken) => taken,
        Err(why) => {
            tracing::warn!(
                "handover: {why}; beginning anew beside the other process, which has to end by itself"
            );
            None
        }
    }
}

fn try_ask(path: &Path, memory: usize) -> Result<Option<Taken>, String> {
    let Some((mut ancestor, bytes)) = Ancestor::ask(path, LAYOUT, memory / MEMORY_SHARE)? else {
        return Ok(None);
    };
    let read = postcard::from_bytes::<Inherited>(&bytes).map_err(|e| format!("the state can't be read: {e}"));
    // All that may fail comes before it is this process's.
    let read = read.and_then(|state| {
        let enforced = compile(&state.told.fixed, &State(state.told.state.clone()));
        enforced.map(|enforced| (state, enforced)).map_err(|why| format!("what it enforces can't be: {why}"))
    });
    let (state, enforced) = match read {
        Ok(read) => read,
        Err(why) => {
            ancestor.decline(&why);
            return Err(why);
        }
    };
    drop(bytes);
    ancestor.take()?;
    let count = usize::from(state.peers) + state.clients.len() + state.backends.len();
    let descriptors = ancestor.receive(count);
    if descriptors.len() < count {
        tracing::warn!(
            "handover: {} of {count} connections did not come; they are lost",
            count - descriptors.len()
        );
    }
    Ok(Some(Taken { state, enforced, descriptors }))
}

/// The offer to the next process.
pub struct Offer {
    listener: UnixListener,
    socket: Socket,
}

impl Offer {
    /// Listens for the next process.
    ///
    /// # Errors
    ///
    /// Where another process of this ingress still does, or the folder can't be used.
    pub fn open(path: &Path, registry: &Registry, token: Token) -> Result<Offer, String> {
        let (listener, socket) = socket::listen(path, 0o600)?;
        listener.set_nonblocking(true).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut listener = UnixListener::from_std(listener);
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Offer { listener, socket })
    }

    /// Whoever asks next.
    pub fn next(&self) -> Option<Result<Heir, String>> {
        let (stream, _) = self.listener.accept().ok()?;
        Some(Heir::hear(UnixStream::from(OwnedFd::from(stream)), LAYOUT))
    }

    /// The ingress ends, with nobody behind it.
    pub fn close(&self) {
        self.socket.remove();
    }
}

/// The bytes of a state.
///
/// # Errors
///
/// Where it can't be written down.
pub fn bytes(state: &Given) -> Result<Vec<u8>, String> {
    postcard::to_stdvec(state).map_err(|e| format!("the state can't be written: {e}"))
}
