//! Reads the list of nodes from a discovery address.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long discovery may take.
const PATIENCE: Duration = Duration::from_secs(3);
const MOST_BYTES: u64 = 32 << 20;

/// A list that was read, in a file that goes with this.
pub struct Listed(PathBuf);

impl Listed {
    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Asks for the whole list.
pub fn list(at: SocketAddr) -> Result<Listed, String> {
    let failed = |e: std::io::Error| format!("discovery at {at}: {e}");
    let mut stream = TcpStream::connect_timeout(&at, PATIENCE).map_err(failed)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(failed)?;
    let call = format!("GET /v1/endpoints HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    stream.write_all(call.as_bytes()).map_err(failed)?;
    let (mut came, mut limited) = (Vec::new(), stream.take(MOST_BYTES));
    let mut chunk = [0; 64 * 1024];
    let body = loop {
        if let Some(body) = body(&came).map_err(|why| format!("discovery at {at}: {why}"))? {
            break body;
        }
        match limited.read(&mut chunk).map_err(failed)? {
            0 => return Err(format!("discovery at {at}: the answer was cut off")),
            n => came.extend_from_slice(&chunk[..n]),
        }
    };
    let path = std::env::temp_dir().join(format!(
        "discovery-{}-{}.json",
        at.port(),
        std::process::id()
    ));
    fs::write(&path, body).map_err(|e| format!("cannot keep discovery's list: {e}"))?;
    Ok(Listed(path))
}

/// The body of an answer that has come as a whole.
fn body(came: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let size = match head
        .parse(came)
        .map_err(|e| format!("the answer is no HTTP: {e}"))?
    {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(size) => size,
    };
    if head.code != Some(200) {
        return Err(format!("it answers {}", head.code.unwrap_or(0)));
    }
    let length = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|h| {
        std::str::from_utf8(h.value)
            .ok()?
            .trim()
            .parse::<usize>()
            .ok()
    });
    let length = length.ok_or("the answer does not say how long it is")?;
    Ok(came
        .get(size..size.saturating_add(length))
        .map(<[u8]>::to_vec))
}
