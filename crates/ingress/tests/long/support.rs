//! What the tests of long answers share.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use wrenfork_testbed::service_fixture::{Backend, Ingress, Setup};

/// Longest value that the ingress forwards.
pub const MAX_VALUE_BYTES: usize = 4 << 20;

pub fn setup(backends: &[&Backend]) -> Setup {
    Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
}

/// A value of `length` bytes made from the request's id.
pub fn value(id: &str, length: usize) -> String {
    id.bytes().cycle().take(length).map(char::from).collect()
}

pub fn long_answer(args: &[String], length: usize) -> Vec<u8> {
    format!(
        "*3\r\n${length}\r\n{}\r\n$-1\r\n$9\r\nutil=0.25\r\n",
        value(&args[2], length)
    )
    .into_bytes()
}

/// The peak resident memory of the process in KiB.
pub fn peak_rss_kib(ingress: &Ingress) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", ingress.child.id())).unwrap();
    let line = status
        .lines()
        .find_map(|l| l.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Reads until the end of the stream or `max_bytes`. Returns the bytes read and whether the connection has ended.
pub fn read_some(stream: &mut TcpStream, max_bytes: usize) -> (usize, bool) {
    let (mut read_bytes, mut chunk) = (0, vec![0; 64 * 1024]);
    while read_bytes < max_bytes {
        let room = chunk.len().min(max_bytes - read_bytes);
        match stream.read(&mut chunk[..room]) {
            Ok(0) => return (read_bytes, true),
            Ok(n) => read_bytes += n,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (read_bytes, true),
            Err(e) => panic!("{e}"),
        }
    }
    (read_bytes, false)
}
