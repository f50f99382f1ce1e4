//! The listening socket. The platform, or a supervisor in its place, holds it and every process inherits it; a supervisor that
//! was restarted is lent it again by the process that serves.

use crate::connection::{connect, peer_credentials};
use crate::descriptors;
use crate::error::{HandoverError, PassedListenerError, PassedListenerProblem};
use crate::frame::{Hello, SUPERVISOR_PROTOCOL};
use rustix::net::sockopt::socket_acceptconn;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;

/// The first descriptor behind the standard streams.
const FIRST_DESCRIPTOR: usize = 3;
/// More descriptors than any platform passes.
const MAX_PASSED: usize = 64;

/// Lends the listening socket to the supervisor of this process.
#[derive(Debug)]
pub struct ListenerLender(UnixStream);

impl ListenerLender {
    pub(crate) fn new(stream: UnixStream) -> ListenerLender {
        ListenerLender(stream)
    }

    /// Lends it.
    ///
    /// # Errors
    ///
    /// Where the supervisor is gone.
    pub fn lend(self, listener: BorrowedFd) -> Result<(), HandoverError> {
        descriptors::send(&self.0, &[listener]).map_err(|errno| HandoverError::Lend(errno.into()))
    }
}

/// A listening socket that was lent.
#[derive(Debug)]
pub struct BorrowedListener {
    /// The socket.
    pub listener: OwnedFd,
    /// The process that serves with it.
    pub process_id: u32,
}

/// Asks the process that listens at a path for its listening socket; none if there is no process.
///
/// # Errors
///
/// Where it does not answer, or is another user's.
pub fn borrow(path: &Path) -> Result<Option<BorrowedListener>, HandoverError> {
    let Some(mut stream) = connect(path)? else {
        return Ok(None);
    };
    let peer = peer_credentials(&stream)?;
    let hello = Hello {
        protocol: SUPERVISOR_PROTOCOL,
        layout: 0,
    };
    hello
        .write(&mut stream)
        .map_err(HandoverError::connection("hello"))?;
    let listener = descriptors::receive(&stream, 1)
        .pop()
        .ok_or(HandoverError::NoListener)?;
    Ok(Some(BorrowedListener {
        listener,
        process_id: peer.pid.as_raw_nonzero().get().unsigned_abs(),
    }))
}

/// Takes the listener that the platform passes as the descriptor of that number; it must listen at an address.
///
/// # Errors
///
/// Where the number is none, or what it names is closed, no listening TCP socket, or one of another address.
pub fn take_passed(number: &str, address: SocketAddr) -> Result<TcpListener, PassedListenerError> {
    take(number, address).map_err(|problem| PassedListenerError {
        number: number.into(),
        problem,
    })
}

fn take(number: &str, expected: SocketAddr) -> Result<TcpListener, PassedListenerProblem> {
    let descriptor = number.trim().parse::<usize>().ok();
    let place = descriptor
        .filter(|n| (FIRST_DESCRIPTOR..FIRST_DESCRIPTOR + MAX_PASSED).contains(n))
        .map(|n| n - FIRST_DESCRIPTOR)
        .ok_or(PassedListenerProblem::NotANumber)?;
    // The crate takes descriptors by systemd's protocol, which counts them from 3 and names the process meant.
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    std::env::set_var("LISTEN_FDS", (place + 1).to_string());
    let listener = listenfd::ListenFd::from_env()
        .take_tcp_listener(place)?
        .ok_or(PassedListenerProblem::Missing)?;
    if !socket_acceptconn(&listener).unwrap_or(false) {
        return Err(PassedListenerProblem::NotListening);
    }
    let actual = listener.local_addr()?;
    if actual != expected {
        return Err(PassedListenerProblem::OtherAddress { actual, expected });
    }
    listener.set_nonblocking(true)?;
    Ok(listener)
}
