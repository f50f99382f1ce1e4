//! The listening socket that the platform holds and every process inherits.

use rustix::net::sockopt::socket_acceptconn;
use std::net::{SocketAddr, TcpListener};

/// The first descriptor behind the standard streams.
const FIRST: usize = 3;
/// More than any platform passes.
const MOST: usize = 64;

/// Takes the listener with a descriptor's number; it must listen at an address.
///
/// # Errors
///
/// Where the number is none, or what it names is closed, no listening TCP socket or one of another address.
pub fn listener(number: &str, at: SocketAddr) -> Result<TcpListener, String> {
    let wrong = |why: &str| format!("LB_PASSED_SOCKET: descriptor {number}: {why}");
    let place = number
        .trim()
        .parse::<usize>()
        .ok()
        .filter(|n| (FIRST..FIRST + MOST).contains(n));
    let place = place.ok_or_else(|| wrong("not a number of a passed descriptor"))? - FIRST;
    // The crate takes descriptors by systemd's protocol, which counts them from 3 and names the process meant.
    std::env::set_var("LISTEN_PID", std::process::id().to_string());
    std::env::set_var("LISTEN_FDS", (place + 1).to_string());
    let mut passed = listenfd::ListenFd::from_env();
    let taken = passed
        .take_tcp_listener(place)
        .map_err(|e| wrong(&e.to_string()))?;
    let listener = taken.ok_or_else(|| wrong("there is none"))?;
    if !socket_acceptconn(&listener).unwrap_or(false) {
        return Err(wrong("it does not listen"));
    }
    let has = listener.local_addr().map_err(|e| wrong(&e.to_string()))?;
    if has != at {
        return Err(wrong(&format!("it listens at {has}, not at {at}")));
    }
    listener
        .set_nonblocking(true)
        .map_err(|e| wrong(&e.to_string()))?;
    Ok(listener)
}
