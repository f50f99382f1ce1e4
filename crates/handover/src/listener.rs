//! The listening socket. The platform, or a supervisor in its place, holds the socket and each process inherits it. A supervisor
//! that was restarted borrows the socket from the serving process.

use crate::connection::{connect, peer_credentials};
use crate::descriptors;
use crate::error::{HandoverError, PassedListenerError, PassedListenerProblem};
use crate::frame::{Hello, SUPERVISOR_PROTOCOL};
use rustix::net::sockopt::socket_acceptconn;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;

/// The first descriptor after the standard streams.
const FIRST_DESCRIPTOR: usize = 3;
/// Maximum number of passed descriptors to accept; no platform passes this many.
const MAX_PASSED_DESCRIPTORS: usize = 64;

/// Lends the listening socket to the supervisor of this process.
#[derive(Debug)]
pub struct ListenerLender(UnixStream);

impl ListenerLender {
    pub(crate) fn new(stream: UnixStream) -> ListenerLender {
        ListenerLender(stream)
    }

    /// Sends the listening socket to the supervisor; this process keeps using it.
    ///
    /// # Errors
    ///
    /// If the supervisor is gone.
    pub fn lend(self, listener: BorrowedFd) -> Result<(), HandoverError> {
        descriptors::send(&self.0, &[listener]).map_err(|errno| HandoverError::Lend(errno.into()))
    }
}

/// A listening socket borrowed from the serving process.
#[derive(Debug)]
pub struct BorrowedListener {
    /// The listening socket.
    pub listener: OwnedFd,
    /// The id of the process that serves with this socket.
    pub process_id: u32,
}

/// Borrows the listening socket of the process that waits for callers on `path`; `None` if there is no such process.
///
/// # Errors
///
/// If the process does not respond, or runs as another user.
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

/// Takes the listener that the platform passes as descriptor `number`; it must listen at `address`.
///
/// # Errors
///
/// If `number` is not a valid descriptor number, or the descriptor is closed, is not a listening TCP socket or listens at another
/// address.
pub fn take_passed(number: &str, address: SocketAddr) -> Result<TcpListener, PassedListenerError> {
    take_descriptor(number, address).map_err(|problem| PassedListenerError {
        number: number.into(),
        problem,
    })
}

fn take_descriptor(
    number: &str,
    expected: SocketAddr,
) -> Result<TcpListener, PassedListenerProblem> {
    let parsed = number.trim().parse::<usize>().ok();
    let index = parsed
        .filter(|n| (FIRST_DESCRIPTOR..FIRST_DESCRIPTOR + MAX_PASSED_DESCRIPTORS).contains(n))
        .map(|n| n - FIRST_DESCRIPTOR)
        .ok_or(PassedListenerProblem::NotANumber)?;
    // `listenfd` implements systemd's protocol: descriptors are numbered from 3, and LISTEN_PID names the receiving process.
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    std::env::set_var("LISTEN_FDS", (index + 1).to_string());
    let listener = listenfd::ListenFd::from_env()
        .take_tcp_listener(index)?
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
