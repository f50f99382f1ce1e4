//! Loopback addresses and ports that no other test uses.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};

/// Returns an address of 127.0.0.0/8 that is derived from the process id and a counter, another one at each call. A port on it can
/// be bound again later without colliding with ephemeral ports that the system assigns on other
/// loopback addresses.
pub fn own() -> IpAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let (high, low) = ((n / 250 % 250) as u8, (n % 250) as u8);
    Ipv4Addr::new(
        127,
        1 + (pid % 250) as u8,
        high.wrapping_add((pid / 250) as u8),
        low + 1,
    )
    .into()
}

/// Finds a port without a listener, below the ephemeral range. The port is probed by connecting, not by binding: a process that
/// another thread forks at that moment would inherit the bound descriptor and hold it until it calls `exec`.
///
/// # Errors
///
/// If no port is free, or a probe fails for another reason than a refused connection.
pub fn free(ip: IpAddr) -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    const PORTS: (u16, u16) = (10_000, 20_000);
    for _ in 0..PORTS.1 {
        let at = SocketAddr::new(ip, PORTS.0 + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS.1);
        match TcpStream::connect(at) {
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => return Ok(at),
            Err(e) => return Err(e),
            Ok(_) => {}
        }
    }
    Err(ErrorKind::AddrInUse.into())
}
