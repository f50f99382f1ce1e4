//! Loopback addresses that nobody else has.

use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, AtomicU32, Ordering};

/// An address of 127.0.0.0/8 of this process's own, a new one at each call, so that ports can be bound again
/// later without meeting those that the system hands out elsewhere.
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

/// A port that nobody listens at, below those that the system hands out by itself. It is not tried by binding it: a process
/// that another thread starts at that moment would hold the trial's descriptor for as long as it takes to become another program.
///
/// # Errors
///
/// Where none of them is free.
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
