//! The other end of a control socket: one ask and its answer, within a time. What is asked and said is the control protocol's
//! or the group's.

use serde::{Deserialize, Serialize};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;
use wrenfork_commit::protocol;

/// The longest answer: a state of some hundred thousand accounts.
const MOST_ANSWER: u64 = 64 << 20;

/// Asks and waits for the answer, `patience` for each step on the way.
///
/// # Errors
///
/// In plain words, where nobody answers; what was asked may have been done all the same.
pub fn ask<A: Serialize, S: for<'a> Deserialize<'a>>(
    path: &Path,
    ask: &A,
    patience: Duration,
) -> Result<S, String> {
    let failed = |e: std::io::Error| match e.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
            "it does not answer".to_string()
        }
        std::io::ErrorKind::NotFound => format!("{}: there is no such socket", path.display()),
        std::io::ErrorKind::ConnectionRefused => {
            format!("{}: nobody listens there", path.display())
        }
        _ => format!("{}: {e}", path.display()),
    };
    let stream = UnixStream::connect(path).map_err(failed)?;
    stream.set_read_timeout(Some(patience)).map_err(failed)?;
    stream.set_write_timeout(Some(patience)).map_err(failed)?;
    (&stream)
        .write_all(protocol::encode_line(ask).as_bytes())
        .map_err(failed)?;
    let mut line = String::new();
    BufReader::new(&stream)
        .take(MOST_ANSWER)
        .read_line(&mut line)
        .map_err(failed)?;
    if !line.ends_with('\n') {
        return Err("it ended in the middle of its answer".into());
    }
    protocol::decode_line(&line).map_err(|e| e.to_string())
}
