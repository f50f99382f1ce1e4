//! HTTP/1.1 responses of discovery, in all three framings (RFC 9112): chunked, with a length, and up to the end of the
//! connection.

use super::backoff::Failure;
use super::endpoint_list::{EndpointList, EndpointListError, LocationNames};
use httparse::{Header, Status};

/// The most bytes of a response's head.
pub(super) const MAX_HEAD: usize = 16 * 1024;
/// The most bytes of a response's body.
pub(super) const MAX_BODY: usize = 4 << 20;
/// The most headers of a response.
const MAX_HEADERS: usize = 64;
/// The status of a response with a list.
const STATUS_OK: u16 = 200;
/// The bytes behind a chunk's data: CR LF.
const CHUNK_END: usize = 2;

/// What has come of a response.
pub(super) enum Response {
    /// Not all of it yet.
    Partial,
    /// A list.
    Complete {
        /// The list.
        list: EndpointList,
        /// Whether the connection can be used for another request.
        keep_alive: bool,
    },
    /// Not to be used.
    Invalid(ResponseError),
}

/// Why a response can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// It is not HTTP.
    #[error("an answer is no HTTP: {0}")]
    NotHttp(#[source] httparse::Error),
    /// Its head has no end within [`MAX_HEAD`].
    #[error("an answer's head is too long")]
    HeadTooLong,
    /// Discovery is there and does not serve the request.
    #[error("it answers with status {0}")]
    Status(u16),
    /// Its length is no number, or over [`MAX_BODY`].
    #[error("an answer's length is {0}")]
    Length(String),
    /// A chunk has no size.
    #[error("an answer's chunk is no chunk")]
    Chunk,
    /// It is longer than [`MAX_BODY`].
    #[error("an answer is too long")]
    TooLong,
    /// Its body is not JSON.
    #[error("an answer is no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// Its body is no endpoint list.
    #[error(transparent)]
    List(#[from] EndpointListError),
}

impl ResponseError {
    /// How the request failed, by which the backoff is chosen.
    pub(super) fn failure(&self) -> Failure {
        match self {
            ResponseError::Status(_) => Failure::Rejected,
            _ => Failure::Broken,
        }
    }
}

/// A response's body, and whether the connection goes on behind it.
struct Body {
    bytes: Vec<u8>,
    keep_alive: bool,
}

/// Reads what has come of a response; `ended` says that the connection has ended behind it.
pub(super) fn read_response(buf: &[u8], ended: bool, names: &LocationNames) -> Response {
    let body = match read_body(buf, ended) {
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

/// The body, once all of it has come.
fn read_body(buf: &[u8], ended: bool) -> Result<Option<Body>, ResponseError> {
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
    let closes = header(head.headers, "connection").is_some_and(|value| value == "close");
    let keep_alive = head.version == Some(1) && !closes;
    let rest = &buf[start..];
    if header(head.headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let bytes = read_chunks(rest)?;
        return Ok(bytes.map(|bytes| Body { bytes, keep_alive }));
    }
    match header(head.headers, "content-length") {
        Some(length) => read_with_length(rest, length, keep_alive),
        None => Ok(ended.then(|| Body {
            bytes: rest.to_vec(),
            keep_alive: false,
        })),
    }
}

/// The value of a header in lower case.
fn header(headers: &[Header], name: &str) -> Option<String> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    let value = String::from_utf8_lossy(found.value);
    Some(value.trim().to_ascii_lowercase())
}

fn read_with_length(
    rest: &[u8],
    length: String,
    keep_alive: bool,
) -> Result<Option<Body>, ResponseError> {
    let bytes = length.parse::<usize>().ok().filter(|n| *n <= MAX_BODY);
    let bytes = bytes.ok_or(ResponseError::Length(length))?;
    Ok(rest.get(..bytes).map(|body| Body {
        bytes: body.to_vec(),
        keep_alive: keep_alive && rest.len() == bytes,
    }))
}

/// A body in chunks, once all of it has come.
fn read_chunks(mut rest: &[u8]) -> Result<Option<Vec<u8>>, ResponseError> {
    let mut body = Vec::new();
    loop {
        let (start, size) = match httparse::parse_chunk_size(rest) {
            Ok(Status::Complete(found)) => found,
            Ok(Status::Partial) => return Ok(None),
            Err(_) => return Err(ResponseError::Chunk),
        };
        let size = usize::try_from(size).ok().filter(|n| *n <= MAX_BODY);
        let size = size.ok_or(ResponseError::TooLong)?;
        let end = start + size + CHUNK_END;
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
