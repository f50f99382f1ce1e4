//! Loopback addresses that nobody else has.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// An address of 127.0.0.0/8 of this process's own, a new one at each call, so that ports can be bound again
/// later without meeting those that the system hands out elsewhere.
pub fn own() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let (high, low) = ((n / 250 % 250) as u8, (n % 250) as u8);
    Ipv4Addr::new(127, 1 + (pid % 250) as u8, high.wrapping_add((pid / 250) as u8), low + 1).into()
}

/// A port that is free for TCP and UDP at an address.
///
/// # Errors
///
/// Where the address can't be bound.
pub fn free(ip: IpAddr) -> std::io::Result<SocketAddr> {
    loop {
        let at = TcpListener::bind((ip, 0))?.local_addr()?;
        if UdpSocket::bind(at).is_ok() {
            return Ok(at);
        }
    }
}
