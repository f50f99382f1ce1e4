//! Serves one connection of the control socket: reads a request a line, has it carried out, and writes the response.

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

/// How long a connection may be idle, or read nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The failpoint name of what is no request of the two protocols.
const OTHER: &str = "other";

/// What a connection's requests are carried out on.
pub struct ConnectionHandler<D> {
    pub state: Arc<Mutex<ControlState<D>>>,
    /// Of a member of a group.
    pub lease: Option<Arc<SharedLease>>,
}

// By hand: the derived one would want the data plane itself to be cloned.
impl<D> Clone for ConnectionHandler<D> {
    fn clone(&self) -> Self {
        ConnectionHandler {
            state: self.state.clone(),
            lease: self.lease.clone(),
        }
    }
}

/// A line that came.
enum Line {
    Request(String),
    /// Longer than this many bytes.
    TooLong(usize),
    /// The peer is gone, maybe in the middle of a line: nobody waits for a response.
    End,
}

/// A response, and what is to be passed once it is written.
struct Answer<R> {
    response: R,
    failpoints: Failpoints,
    failpoint: &'static str,
}

impl<R> Answer<R> {
    fn plain(response: R) -> Answer<R> {
        Answer {
            response,
            failpoints: Failpoints::default(),
            failpoint: OTHER,
        }
    }
}

impl<R: Serialize> Answer<R> {
    fn write(&self, stream: &UnixStream) -> io::Result<()> {
        write_line(stream, &self.response)?;
        self.failpoints.hit(self.failpoint, "answered");
        Ok(())
    }
}

fn write_line<R: Serialize>(mut stream: &UnixStream, response: &R) -> io::Result<()> {
    stream.write_all(protocol::encode_line(response).as_bytes())
}

/// Writes that a connection is not admitted.
pub fn reject_connection(stream: &UnixStream) {
    let reason = "too many control connections: try again".to_string();
    // A peer that is gone needs no reason.
    let _ = write_line(stream, &CommitResponse::Rejected { reason });
}

impl<D: DataPlane> ConnectionHandler<D> {
    /// Serves a connection to its end.
    ///
    /// # Errors
    ///
    /// Where the connection breaks or is idle for too long; its peer connects again.
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
                Line::Request(text) => self.answer(text, stream)?,
                Line::TooLong(limit) => {
                    let reason = format!("the message is longer than {limit} bytes, which is what this ingress's memory allows");
                    return write_line(stream, &CommitResponse::Rejected { reason });
                }
                Line::End => return Ok(()),
            }
        }
    }

    /// Carries out a request and writes the response.
    fn answer(&self, text: String, stream: &UnixStream) -> io::Result<()> {
        if is_group_request(&text) {
            let request = protocol::decode_line::<GroupRequest>(&text);
            drop(text);
            return match request {
                Ok(request) => self.answer_group(request).write(stream),
                Err(error) => {
                    let reason = error.to_string();
                    Answer::plain(GroupResponse::Rejected { reason }).write(stream)
                }
            };
        }
        let request = protocol::decode_line::<CommitRequest>(&text);
        drop(text);
        match request {
            Ok(request) => self.answer_change(request).write(stream),
            Err(error) => {
                let reason = error.to_string();
                Answer::plain(CommitResponse::Rejected { reason }).write(stream)
            }
        }
    }

    /// A request of the protocol of changes.
    fn answer_change(&self, request: CommitRequest) -> Answer<CommitResponse> {
        let failpoint = ingress_requests::failpoint_name(&request);
        let mut state = lock(&self.state);
        state.failpoints.hit(failpoint, "heard");
        let response = state.handle(request, failpoint);
        state.failpoints.hit(failpoint, "unanswered");
        Answer {
            response,
            failpoints: state.failpoints.clone(),
            failpoint,
        }
    }

    /// A request of the protocol of groups. A renewal waits for nothing that another request does: neither for a disk nor for
    /// a large change that is read.
    fn answer_group(&self, request: GroupRequest) -> Answer<GroupResponse> {
        let Some(lease) = &self.lease else {
            return Answer::plain(consensus_requests::no_group());
        };
        if matches!(request, GroupRequest::Renew { .. }) {
            return Answer::plain(lease.renew(&request));
        }
        let failpoint = consensus_requests::failpoint_name(&request);
        let mut state = lock(&self.state);
        state.failpoints.hit(failpoint, "heard");
        let response = state.handle_group(request, failpoint);
        state.failpoints.hit(failpoint, "unanswered");
        Answer {
            response,
            failpoints: state.failpoints.clone(),
            failpoint,
        }
    }
}

/// Reads a line of bounded length; the connection is busy once one has come.
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
