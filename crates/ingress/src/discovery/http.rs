//! Parses HTTP/1.1 responses of discovery in all three framings (RFC 9112): chunked, with `Content-Length`, and delimited
//! by the end of the connection.

use super::backoff::Failure;
use super::endpoint_list::{EndpointList, EndpointListError, LocationNames};
use httparse::{Header, Status};

/// Maximum size of a response's head in bytes.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// Maximum size of a response's body in bytes.
pub(super) const MAX_BODY: usize = 4 << 20;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 64;
/// Status code of a response that contains an endpoint list.
const STATUS_OK: u16 = 200;
/// InvalidLength in bytes of the CR LF after a chunk's data.
const CHUNK_TERMINATOR_LEN: usize = 2;

/// Result of parsing the data received so far.
pub(super) enum Response {
    /// The response is incomplete.
    Partial,
    /// The response is complete and valid.
    Complete {
        /// The endpoint list from the body.
        list: EndpointList,
        /// Whether the connection can be used for another request.
        keep_alive: bool,
    },
    /// The response can't be used.
    Invalid(ResponseError),
}

/// Reasons why a response can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The head is not valid HTTP.
    #[error("response is not valid HTTP: {0}")]
    NotHttp(#[source] httparse::Error),
    /// The head is longer than [`MAX_HEAD`].
    #[error("response head is longer than {MAX_HEAD} bytes")]
    HeadTooLong,
    /// Discovery answered with a status code other than 200.
    #[error("response has status {0}")]
    Status(u16),
    /// `Content-Length` is not a number, or greater than [`MAX_BODY`].
    #[error("response has an invalid or too large Content-Length: {0}")]
    InvalidLength(String),
    /// The size of a chunk is missing or malformed.
    #[error("response has a chunk without a valid size")]
    InvalidChunkSize,
    /// A chunk is longer than [`MAX_BODY`].
    #[error("response has a chunk longer than {MAX_BODY} bytes")]
    ChunkTooLong,
    /// The body is not valid JSON.
    #[error("response body is not valid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The body is not a valid endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
}

impl ResponseError {
    /// The kind of failure, which determines the backoff.
    pub(super) fn failure(&self) -> Failure {
        match self {
            ResponseError::Status(_) => Failure::Rejected,
            _ => Failure::Broken,
        }
    }
}

/// A complete response body, and whether the connection can be used for another request.
struct Body {
    bytes: Vec<u8>,
    keep_alive: bool,
}

/// Parses the received data as a response. `closed` says whether the service has closed the connection after this data.
pub(super) fn read_response(buf: &[u8], closed: bool, names: &LocationNames) -> Response {
    let body = match read_body(buf, closed) {
        Ok(None) => return Response::Partial,
        Ok(Some(body)) => body,
        Err(error) => return Response::Invalid(error),
    };
    let json = serde_json::from_slice(&body.bytes).map_err(ResponseError::NotJson);
    let list = json.and_then(|json| Ok(EndpointList::read(&json, names)?));
    match list {
        Ok(list) => Response::Complete {
            list,
            keep_alive: body.keep_alive,
        },
        Err(error) => Response::Invalid(error),
    }
}

/// Returns the body, or `None` if the response is incomplete.
fn read_body(buf: &[u8], closed: bool) -> Result<Option<Body>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(buf).map_err(ResponseError::NotHttp)? {
        Status::Complete(start) => start,
        Status::Partial if buf.len() > MAX_HEAD => return Err(ResponseError::HeadTooLong),
        Status::Partial => return Ok(None),
    };
    if head.code != Some(STATUS_OK) {
        return Err(ResponseError::Status(head.code.unwrap_or(0)));
    }
    let closes = header_value(head.headers, "connection").is_some_and(|value| value == "close");
    let keep_alive = head.version == Some(1) && !closes;
    let rest = &buf[start..];
    if header_value(head.headers, "transfer-encoding")
        .is_some_and(|value| value.contains("chunked"))
    {
        let bytes = read_chunks(rest)?;
        return Ok(bytes.map(|bytes| Body { bytes, keep_alive }));
    }
    match header_value(head.headers, "content-length") {
        Some(length) => read_with_length(rest, length, keep_alive),
        None => Ok(closed.then(|| Body {
            bytes: rest.to_vec(),
            keep_alive: false,
        })),
    }
}

/// The value of a header, trimmed and in lower case.
fn header_value(headers: &[Header], name: &str) -> Option<String> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    let value = String::from_utf8_lossy(found.value);
    Some(value.trim().to_ascii_lowercase())
}

fn read_with_length(
    rest: &[u8],
    length: String,
    keep_alive: bool,
) -> Result<Option<Body>, ResponseError> {
    let body_len = length.parse::<usize>().ok().filter(|n| *n <= MAX_BODY);
    let body_len = body_len.ok_or(ResponseError::InvalidLength(length))?;
    Ok(rest.get(..body_len).map(|body| Body {
        bytes: body.to_vec(),
        keep_alive: keep_alive && rest.len() == body_len,
    }))
}

/// Decodes a chunked body, or returns `None` if it is incomplete.
fn read_chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, ResponseError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(found)) => found,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(ResponseError::InvalidChunkSize),
        };
        let size = usize::try_from(size).ok().filter(|n| *n <= MAX_BODY);
        let size = size.ok_or(ResponseError::ChunkTooLong)?;
        let end = start + size + CHUNK_TERMINATOR_LEN;
        let Some(chunk) = rest.get(start..end) else {
            return Ok(None);
        };
        if size == 0 {
            return Ok(Some(body));
        }
        body.extend_from_slice(&chunk[..size]);
        rest = &rest[end..];
    }
}
