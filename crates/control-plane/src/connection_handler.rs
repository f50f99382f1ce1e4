//! Serves one connection of the control socket: reads one request per line, executes the request and writes the response.

use crate::connection_table::Connection;
use crate::consensus_requests;
use crate::control_state::{lock, ControlState};
use crate::data_plane::DataPlane;
use crate::failpoints::Failpoints;
use crate::ingress_requests;
use crate::shared_lease::SharedLease;
use serde::Serialize;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wrenfork_commit::protocol::{self, CommitRequest, CommitResponse};
use wrenfork_consensus::protocol::{is_group_request, GroupRequest, GroupResponse};

/// How long a read of the next request or a write of a response may block.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Failpoint name used for messages that belong to neither protocol.
const OTHER_FAILPOINT: &str = "other";

/// Handles the requests of control connections.
pub struct ConnectionHandler<D> {
    pub state: Arc<Mutex<ControlState<D>>>,
    /// `None` if the ingress is not a member of a group.
    pub lease: Option<Arc<SharedLease>>,
}

// Implemented by hand because `derive(Clone)` would require `D: Clone`.
impl<D> Clone for ConnectionHandler<D> {
    fn clone(&self) -> Self {
        ConnectionHandler {
            state: self.state.clone(),
            lease: self.lease.clone(),
        }
    }
}

/// The result of reading a line.
enum Line {
    Request(String),
    /// The line exceeds this limit in bytes.
    TooLong(usize),
    /// The peer closed the connection, possibly in the middle of a line; no response is needed.
    End,
}

/// A response with the failpoint to hit once it has been written.
struct PendingResponse<R> {
    response: R,
    failpoints: Failpoints,
    failpoint: &'static str,
}

impl<R> PendingResponse<R> {
    fn without_failpoint(response: R) -> PendingResponse<R> {
        PendingResponse {
            response,
            failpoints: Failpoints::default(),
            failpoint: OTHER_FAILPOINT,
        }
    }
}

impl<R: Serialize> PendingResponse<R> {
    fn write(&self, stream: &UnixStream) -> io::Result<()> {
        write_line(stream, &self.response)?;
        self.failpoints.hit(self.failpoint, "answered");
        Ok(())
    }
}

fn write_line<R: Serialize>(mut stream: &UnixStream, response: &R) -> io::Result<()> {
    stream.write_all(protocol::encode_line(response).as_bytes())
}

/// Rejects a connection because the connection limit has been reached.
pub fn reject_connection(stream: &UnixStream) {
    let reason = "too many control connections: try again".to_string();
    // If the peer is gone, the reason is not needed.
    let _ = write_line(stream, &CommitResponse::Rejected { reason });
}

impl<D: DataPlane> ConnectionHandler<D> {
    /// Serves a connection until the peer closes it.
    ///
    /// # Errors
    ///
    /// If the connection fails or times out; the peer is expected to reconnect.
    pub fn serve(&self, connection: &Connection) -> io::Result<()> {
        let stream: &UnixStream = &connection.stream;
        stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
        stream.set_write_timeout(Some(IDLE_TIMEOUT))?;
        let max_bytes = lock(&self.state).max_message_bytes;
        let mut reader = BufReader::new(stream);
        loop {
            connection.set_idle();
            let line = read_line(&mut reader, max_bytes, connection)?;
            match line {
                Line::Request(text) => self.handle_line(text, stream)?,
                Line::TooLong(limit) => {
                    let reason = format!("the message exceeds the limit of {limit} bytes, which is set by the memory of this ingress");
                    return write_line(stream, &CommitResponse::Rejected { reason });
                }
                Line::End => return Ok(()),
            }
        }
    }

    /// Decodes and executes one request and writes the response.
    fn handle_line(&self, text: String, stream: &UnixStream) -> io::Result<()> {
        if is_group_request(&text) {
            let request = protocol::decode_line::<GroupRequest>(&text);
            drop(text);
            return match request {
                Ok(request) => self.handle_group_request(request).write(stream),
                Err(error) => {
                    let reason = error.to_string();
                    PendingResponse::without_failpoint(GroupResponse::Rejected { reason })
                        .write(stream)
                }
            };
        }
        let request = protocol::decode_line::<CommitRequest>(&text);
        drop(text);
        match request {
            Ok(request) => self.handle_commit_request(request).write(stream),
            Err(error) => {
                let reason = error.to_string();
                PendingResponse::without_failpoint(CommitResponse::Rejected { reason })
                    .write(stream)
            }
        }
    }

    /// Executes a request of the two-phase commit protocol.
    fn handle_commit_request(&self, request: CommitRequest) -> PendingResponse<CommitResponse> {
        let failpoint = ingress_requests::failpoint_name(&request);
        let mut state = lock(&self.state);
        state.failpoints.hit(failpoint, "heard");
        let response = state.handle(request, failpoint);
        state.failpoints.hit(failpoint, "unanswered");
        PendingResponse {
            response,
            failpoints: state.failpoints.clone(),
            failpoint,
        }
    }

    /// Executes a request of the group protocol. A lease renewal does not take the lock of the control state, so it is never
    /// delayed by a disk write or a large change of another request.
    fn handle_group_request(&self, request: GroupRequest) -> PendingResponse<GroupResponse> {
        let Some(lease) = &self.lease else {
            return PendingResponse::without_failpoint(consensus_requests::no_group());
        };
        if matches!(request, GroupRequest::Renew { .. }) {
            return PendingResponse::without_failpoint(lease.handle_renewal(&request));
        }
        let failpoint = consensus_requests::failpoint_name(&request);
        let mut state = lock(&self.state);
        state.failpoints.hit(failpoint, "heard");
        let response = state.handle_group(request, failpoint);
        state.failpoints.hit(failpoint, "unanswered");
        PendingResponse {
            response,
            failpoints: state.failpoints.clone(),
            failpoint,
        }
    }
}

/// Reads a line of at most `max_bytes` and marks the connection as busy once data has arrived.
fn read_line(
    reader: &mut BufReader<&UnixStream>,
    max_bytes: usize,
    connection: &Connection,
) -> io::Result<Line> {
    let mut text = String::new();
    let bytes = reader.take(max_bytes as u64 + 1).read_line(&mut text)?;
    if bytes == 0 {
        return Ok(Line::End);
    }
    connection.set_busy();
    Ok(if bytes > max_bytes {
        Line::TooLong(max_bytes)
    } else if text.ends_with('\n') {
        Line::Request(text)
    } else {
        Line::End
    })
}
