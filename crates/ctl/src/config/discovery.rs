//! Reads the endpoint list from a discovery address.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Timeout of the connection and of each read.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum bytes read of the response.
const MAX_RESPONSE_BYTES: u64 = 32 << 20;

/// The endpoint list in a temporary file, which is removed on drop.
pub struct Listed(PathBuf);

impl Listed {
    /// Path of the temporary file.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Requests the complete list.
pub fn list(address: SocketAddr) -> Result<Listed, String> {
    let failed = |e: std::io::Error| format!("discovery at {address}: {e}");
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(failed)?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    let request =
        format!("GET /v1/endpoints HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).map_err(failed)?;
    let (mut received, mut limited) = (Vec::new(), stream.take(MAX_RESPONSE_BYTES));
    let mut chunk = [0; 64 * 1024];
    let body = loop {
        if let Some(body) =
            parse_body(&received).map_err(|error| format!("discovery at {address}: {error}"))?
        {
            break body;
        }
        match limited.read(&mut chunk).map_err(failed)? {
            0 => return Err(format!("discovery at {address}: the answer was cut off")),
            n => received.extend_from_slice(&chunk[..n]),
        }
    };
    let path = std::env::temp_dir().join(format!(
        "discovery-{}-{}.json",
        address.port(),
        std::process::id()
    ));
    fs::write(&path, body)
        .map_err(|e| format!("cannot write the endpoint list to a temporary file: {e}"))?;
    Ok(Listed(path))
}

/// The body of a response; none if it is not complete yet.
fn parse_body(received: &[u8]) -> Result<Option<Vec<u8>>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Response::new(&mut headers);
    let head_len = match head
        .parse(received)
        .map_err(|e| format!("the response is not HTTP: {e}"))?
    {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(head_len) => head_len,
    };
    if head.code != Some(200) {
        return Err(format!("unexpected status {}", head.code.unwrap_or(0)));
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
    let length = length.ok_or("the response has no Content-Length")?;
    Ok(received
        .get(head_len..head_len.saturating_add(length))
        .map(<[u8]>::to_vec))
}
