//! A management connection: reads one query line and writes the answer.

use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use wrenfork_decision::Micros;

/// Maximum length of a query line in bytes.
const MAX_LINE: usize = 256;
/// Maximum number of characters of an unknown query that the answer repeats.
const MAX_SHOWN: usize = 32;
/// Maximum number of reads per event loop iteration after the query line.
const READS_PER_TURN: usize = 8;

/// A query of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Whether the ingress would currently serve a request.
    Readiness,
    /// The current telemetry.
    Telemetry,
}

/// Why a line is not a valid query.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum QueryError {
    /// The line is empty.
    #[error("no call: readyz or telemetry is wanted")]
    Empty,
    /// The line is not a known query; the value is its beginning.
    #[error("unknown call {0:?}: readyz or telemetry is wanted")]
    Unknown(String),
    /// The line is longer than [`MAX_LINE`].
    #[error("a line has {MAX_LINE} bytes at most")]
    TooLong,
}

/// Parses a query line; surrounding whitespace is ignored.
pub(super) fn parse(line: &[u8]) -> Result<Query, QueryError> {
    match line.trim_ascii() {
        b"readyz" => Ok(Query::Readiness),
        b"telemetry" => Ok(Query::Telemetry),
        b"" => Err(QueryError::Empty),
        unknown => {
            let text = String::from_utf8_lossy(unknown);
            Err(QueryError::Unknown(text.chars().take(MAX_SHOWN).collect()))
        }
    }
}

/// Result of reading from a connection.
pub(super) enum Received {
    /// No complete query.
    Nothing,
    /// A query that is to be answered.
    Query(Query),
    /// The connection is finished or broken and is to be closed.
    Closed,
}

/// A management connection.
pub(super) struct Connection {
    stream: TcpStream,
    /// Serial number, which increases in the order of accepting.
    pub(super) serial: u64,
    /// Time at which the connection was accepted.
    pub(super) accepted_at: Micros,
    /// Input received so far, up to the end of the query line.
    line: Vec<u8>,
    /// The answer; empty until the query has been answered.
    answer: Vec<u8>,
    /// Number of bytes of the answer that have been written.
    written: usize,
    /// Whether the answer has been written completely. Later input is read and discarded, since closing a socket with unread
    /// input would reset the connection.
    answered: bool,
}

impl Connection {
    /// Creates a connection that was accepted at `now`.
    pub(super) fn new(stream: TcpStream, serial: u64, now: Micros) -> Connection {
        Connection {
            stream,
            serial,
            accepted_at: now,
            line: Vec::new(),
            answer: Vec::new(),
            written: 0,
            answered: false,
        }
    }

    /// Sort key for evicting connections, lowest first: those that are answered, then those that have not sent their line, then
    /// those whose answer is being written; the oldest first in each case.
    pub(super) fn eviction_order(&self) -> impl Ord {
        let answering = !self.answer.is_empty() && !self.answered;
        (answering, !self.answered, self.accepted_at, self.serial)
    }

    /// Reads the available input.
    pub(super) fn receive(&mut self) -> Received {
        let mut chunk = [0; MAX_LINE];
        let mut reads_left = READS_PER_TURN;
        // Only input after the query line counts against the limit: the answer is already set, and the input is discarded.
        while reads_left > 0 {
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.end_of_input(),
                Ok(_) if !self.answer.is_empty() => reads_left -= 1,
                Ok(n) => {
                    self.line.extend_from_slice(&chunk[..n]);
                    if let Some(query) = self.take_query() {
                        return Received::Query(query);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Received::Nothing,
                Err(_) => return Received::Closed,
            }
        }
        Received::Nothing
    }

    /// Handles the end of input, which also ends an incomplete query line.
    fn end_of_input(&mut self) -> Received {
        if self.answer.is_empty() && !self.line.is_empty() {
            let line = std::mem::take(&mut self.line);
            if let Some(query) = self.query_or_error_answer(parse(&line)) {
                return Received::Query(query);
            }
            // The error answer is written before the end of input is handled.
            return self.receive();
        }
        if self.answer.is_empty() || self.answered {
            Received::Closed
        } else {
            Received::Nothing
        }
    }

    /// Returns the query once its line is complete.
    fn take_query(&mut self) -> Option<Query> {
        let end = self.line.iter().position(|byte| *byte == b'\n');
        let parsed = match end {
            Some(end) if end <= MAX_LINE => parse(&self.line[..end]),
            None if self.line.len() <= MAX_LINE => return None,
            _ => Err(QueryError::TooLong),
        };
        let query = self.query_or_error_answer(parsed);
        if query.is_none() {
            self.line = Vec::new();
        }
        query
    }

    /// Returns the parsed query, or sets the error answer for an invalid one.
    fn query_or_error_answer(&mut self, parsed: Result<Query, QueryError>) -> Option<Query> {
        match parsed {
            Ok(query) => Some(query),
            Err(error) => {
                self.answer = format!("-ERR {error}\r\n").into_bytes();
                None
            }
        }
    }

    /// Sets the answer; returns false if there already is one.
    pub(super) fn set_answer(&mut self, text: String) -> bool {
        if !self.answer.is_empty() {
            return false;
        }
        self.answer = text.into_bytes();
        true
    }

    /// Writes the rest of the answer, and then shuts down the write side of the connection.
    pub(super) fn write(&mut self) -> io::Result<()> {
        while self.written < self.answer.len() {
            match self.stream.write(&self.answer[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if !self.answer.is_empty() && !std::mem::replace(&mut self.answered, true) {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }
}
