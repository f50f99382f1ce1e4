//! An operator's connection: its line, and the answer to that.

use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;
use wrenfork_decision::Micros;

/// The most bytes of a line.
const MAX_LINE: usize = 256;
/// The most characters of an unknown query that are shown in the answer.
const MAX_SHOWN: usize = 32;
/// Reads in a turn behind the line.
const READS_PER_TURN: usize = 8;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Whether a request that came now would be served.
    Readiness,
    /// The telemetry.
    Telemetry,
}

/// Why a line is no query.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum QueryError {
    /// The line is empty.
    #[error("no call: readyz or telemetry is wanted")]
    Empty,
    /// The line is something else.
    #[error("unknown call {0:?}: readyz or telemetry is wanted")]
    Unknown(String),
    /// The line has no end within [`MAX_LINE`].
    #[error("a line has {MAX_LINE} bytes at most")]
    TooLong,
}

/// Parses a line.
pub(super) fn parse(line: &[u8]) -> Result<Query, QueryError> {
    match line.trim_ascii() {
        b"readyz" => Ok(Query::Readiness),
        b"telemetry" => Ok(Query::Telemetry),
        b"" => Err(QueryError::Empty),
        other => {
            let text = String::from_utf8_lossy(other);
            Err(QueryError::Unknown(text.chars().take(MAX_SHOWN).collect()))
        }
    }
}

/// What a connection brought.
pub(super) enum Received {
    /// Nothing that asks for something.
    Nothing,
    /// A query to be answered.
    Query(Query),
    /// It is to be closed.
    Gone,
}

/// An operator's connection.
pub(super) struct Connection {
    stream: TcpStream,
    pub(super) serial: u64,
    /// When it was accepted.
    pub(super) since: Micros,
    line: Vec<u8>,
    /// Its answer; empty until it has sent its line.
    out: Vec<u8>,
    written: usize,
    /// Its answer is written: what it still sends is read and dropped, so that the end is no reset.
    answered: bool,
}

impl Connection {
    /// One that was accepted now.
    pub(super) fn new(stream: TcpStream, serial: u64, now: Micros) -> Connection {
        Connection {
            stream,
            serial,
            since: now,
            line: Vec::new(),
            out: Vec::new(),
            written: 0,
            answered: false,
        }
    }

    /// Its place among those that are closed to make room, the least first.
    pub(super) fn eviction_order(&self) -> impl Ord {
        let answering = !self.out.is_empty() && !self.answered;
        (answering, !self.answered, self.since, self.serial)
    }

    /// Reads what has come.
    pub(super) fn receive(&mut self) -> Received {
        let mut chunk = [0; MAX_LINE];
        let mut reads_left = READS_PER_TURN;
        // Whatever it still sends beyond that, it has its answer.
        while reads_left > 0 {
            match self.stream.read(&mut chunk) {
                Ok(0) => return self.end_of_input(),
                Ok(_) if !self.out.is_empty() => reads_left -= 1,
                Ok(n) => {
                    self.line.extend_from_slice(&chunk[..n]);
                    if let Some(query) = self.take_line() {
                        return Received::Query(query);
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Received::Nothing,
                Err(_) => return Received::Gone,
            }
        }
        Received::Nothing
    }

    /// The end of its input is the end of its line, if it has begun one.
    fn end_of_input(&mut self) -> Received {
        if self.out.is_empty() && !self.line.is_empty() {
            let line = std::mem::take(&mut self.line);
            if let Some(query) = self.accept(parse(&line)) {
                return Received::Query(query);
            }
            // Its refusal is written before the end is read again.
            return self.receive();
        }
        if self.out.is_empty() || self.answered {
            Received::Gone
        } else {
            Received::Nothing
        }
    }

    /// The query, once its line has come.
    fn take_line(&mut self) -> Option<Query> {
        let end = self.line.iter().position(|byte| *byte == b'\n');
        let parsed = match end {
            Some(end) if end <= MAX_LINE => parse(&self.line[..end]),
            None if self.line.len() <= MAX_LINE => return None,
            _ => Err(QueryError::TooLong),
        };
        let query = self.accept(parsed);
        if query.is_none() {
            self.line = Vec::new();
        }
        query
    }

    /// Notes the refusal of a line that is no query.
    fn accept(&mut self, parsed: Result<Query, QueryError>) -> Option<Query> {
        match parsed {
            Ok(query) => Some(query),
            Err(error) => {
                self.out = format!("-ERR {error}\r\n").into_bytes();
                None
            }
        }
    }

    /// Sets the answer; false where there is one.
    pub(super) fn set_answer(&mut self, text: String) -> bool {
        if !self.out.is_empty() {
            return false;
        }
        self.out = text.into_bytes();
        true
    }

    /// Writes what is left of the answer, and ends the connection's output behind it.
    pub(super) fn write(&mut self) -> io::Result<()> {
        while self.written < self.out.len() {
            match self.stream.write(&self.out[self.written..]) {
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
        }
        if !self.out.is_empty() && !std::mem::replace(&mut self.answered, true) {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        Ok(())
    }
}
