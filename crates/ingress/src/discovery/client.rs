//! The client of discovery: one connection, and a long poll for what is newer than the endpoint list. While discovery is silent
//! or broken the list stays as it was, and the poll is retried with growing backoff.

use super::backoff::{Backoff, Failure};
use super::endpoint_list::{EndpointList, LocationNames};
use super::http::{read_response, Response, MAX_BODY, MAX_HEAD};
use crate::stream::is_not_ready;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use wrenfork_decision::Micros;

/// How long one poll waits for a watch event. Short, since the silence of a poll can only be told once this is over.
pub(super) const POLL_WAIT: Micros = 2_000_000;
/// How much longer than that a response may take until the connection counts as dead, and how long a connection may take to be
/// established. A poll that falls silent is noticed after both, and retried after a backoff of up to 1.5 s: 4.5 s in the worst
/// case, where a change counts as reported after six.
pub(super) const TIMEOUT: Micros = 1_000_000;
/// The pause after an empty response that came at once: a watch goes on if polled within 200 ms.
pub(super) const EMPTY_PAUSE: Micros = 50_000;
/// A response that came faster than this did not wait.
const AT_ONCE: Micros = 20_000;
/// Bytes read at once.
const CHUNK: usize = 16 * 1024;

/// How far a client of discovery has come.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DiscoveryPosition {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The version of the endpoint list; none where the full list is to come.
    pub index: Option<u64>,
}

/// The client of discovery.
pub struct DiscoveryClient {
    address: SocketAddr,
    location_names: LocationNames,
    token: Token,
    pub(super) stream: Option<TcpStream>,
    /// The version of the endpoint list; none polls for the full list.
    pub(super) index: Option<u64>,
    /// What is still to be written of a request.
    pub(super) out: Vec<u8>,
    /// When the request was made; none while none is under way.
    pub(super) requested_at: Option<Micros>,
    buf: Vec<u8>,
    backoff: Backoff,
    /// When [`DiscoveryClient::wake`] has something to do.
    pub wake_at: Micros,
    /// Discovery failed, and no list has come since.
    broken: bool,
}

/// How reading from the connection ended.
enum ReadEnd {
    /// There is nothing more for now.
    WouldBlock,
    /// The connection has ended.
    Closed,
    /// The connection was reset, for this reason.
    Reset(io::Error),
}

impl DiscoveryClient {
    /// A client that polls for what is newer than the endpoint list of version `index`. The seed spreads its retries beside
    /// those of others.
    pub fn new(
        address: SocketAddr,
        location_names: LocationNames,
        index: u64,
        token: Token,
        seed: u64,
    ) -> Self {
        DiscoveryClient {
            address,
            location_names,
            token,
            stream: None,
            index: Some(index),
            out: Vec::new(),
            requested_at: None,
            buf: Vec::new(),
            backoff: Backoff::new(seed),
            wake_at: 0,
            broken: false,
        }
    }

    /// How far it has come.
    pub fn position(&self) -> DiscoveryPosition {
        DiscoveryPosition {
            address: self.address,
            index: self.index,
        }
    }

    /// The address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on at another address: it is polled for its full list at once, whatever the old one still owed and
    /// however long a backoff was to take.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros) {
        self.stream = None;
        self.requested_at = None;
        self.index = None;
        self.buf.clear();
        self.address = address;
        self.wake_at = now;
        self.backoff.reset();
    }

    /// Goes on where another process was.
    pub fn resume(&mut self, position: DiscoveryPosition) {
        self.address = position.address;
        self.index = position.index;
    }

    /// Polls for the full list with the next request.
    pub fn request_full_list(&mut self) {
        self.index = None;
    }

    /// Gives the connection up; the next one comes after a backoff. True if all had been well before.
    fn fail(&mut self, now: Micros, failure: Failure, error: &dyn std::fmt::Display) -> bool {
        self.stream = None;
        self.requested_at = None;
        self.buf.clear();
        self.wake_at = now + self.backoff.delay(failure);
        let first = !std::mem::replace(&mut self.broken, true);
        if first {
            tracing::warn!(%error, "discovery: poll failed, serving on with the list as it is");
        }
        first
    }

    /// Makes the next request, or notices that the last one stays unanswered; true if discovery just failed.
    pub fn wake(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.wake_at {
            return false;
        }
        if self.requested_at.is_some() {
            return self.fail(now, Failure::Broken, &"no answer in time");
        }
        if self.stream.is_none() {
            match self.connect(registry) {
                Ok(stream) => self.stream = Some(stream),
                Err(e) => {
                    return self.fail(now, Failure::Broken, &format_args!("cannot connect: {e}"))
                }
            }
        }
        self.out = self.request();
        self.requested_at = Some(now);
        self.wake_at = now + TIMEOUT;
        self.write(now)
    }

    fn connect(&self, registry: &Registry) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        let interests = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, self.token, interests)?;
        Ok(stream)
    }

    fn request(&self) -> Vec<u8> {
        let since = self.index.map_or(String::new(), |index| {
            format!("?since={index}&timeout_ms={}", POLL_WAIT / 1000)
        });
        let host = self.address;
        format!("GET /v1/endpoints{since} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
    }

    fn write(&mut self, now: Micros) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        while !self.out.is_empty() {
            match stream.write(&self.out) {
                Ok(n) => {
                    self.out.drain(..n);
                    // A request for the full list waits for no watch event, but one that is given up sooner than the service
                    // answers is never answered.
                    self.wake_at = now + TIMEOUT + POLL_WAIT;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Not connected yet, or no room: the socket will show as writable.
                Err(e) if is_not_ready(&e) => break,
                Err(e) => return self.fail(now, Failure::Broken, &format_args!("cannot ask: {e}")),
            }
        }
        false
    }

    /// Takes in what the socket has. Gives lists as they come; true if discovery just failed.
    pub fn ready(
        &mut self,
        now: Micros,
        registry: &Registry,
        take: &mut impl FnMut(EndpointList),
    ) -> bool {
        if self.write(now) {
            return true;
        }
        let end = match self.read(now) {
            Ok(Some(end)) => end,
            Ok(None) => return false,
            Err(failed_now) => return failed_now,
        };
        let Some(requested_at) = self.requested_at else {
            // Between two requests nothing is due but the end of the connection; the next request has one of its own.
            self.stream = None;
            self.buf.clear();
            return false;
        };
        // A response that ends with its connection can only be judged with the end known. A reset is no end, but what came
        // before it has been reported.
        let ended = matches!(end, ReadEnd::Closed);
        match read_response(&self.buf, ended, &self.location_names) {
            Response::Partial => match end {
                ReadEnd::WouldBlock => false,
                ReadEnd::Closed => self.fail(now, Failure::Broken, &"the connection ended"),
                ReadEnd::Reset(e) => self.fail(now, Failure::Broken, &e),
            },
            Response::Invalid(error) => self.fail(now, error.failure(), &error),
            Response::Complete { list, keep_alive } => {
                let reusable = keep_alive && matches!(end, ReadEnd::WouldBlock);
                self.complete(&list, reusable, requested_at, now);
                take(list);
                self.wake(now, registry)
            }
        }
    }

    /// Reads what the connection has; none where there is no connection. The error says whether discovery failed just now.
    fn read(&mut self, now: Micros) -> Result<Option<ReadEnd>, bool> {
        let mut chunk = [0; CHUNK];
        loop {
            let Some(stream) = &mut self.stream else {
                return Ok(None);
            };
            match stream.read(&mut chunk) {
                Ok(0) => return Ok(Some(ReadEnd::Closed)),
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_not_ready(&e) => return Ok(Some(ReadEnd::WouldBlock)),
                Err(e) => return Ok(Some(ReadEnd::Reset(e))),
            }
            if self.buf.len() > MAX_HEAD + MAX_BODY {
                return Err(self.fail(now, Failure::Broken, &"an answer is too long"));
            }
        }
    }

    /// A list has come: the next request follows at once, unless this one came at once with nothing in it.
    fn complete(&mut self, list: &EndpointList, reusable: bool, requested_at: Micros, now: Micros) {
        if std::mem::take(&mut self.broken) {
            tracing::info!("discovery: back");
        }
        self.index = Some(list.index);
        self.requested_at = None;
        self.backoff.reset();
        self.buf.clear();
        if !reusable {
            self.stream = None;
        }
        // One that answers at once with nothing must not be polled without end.
        let empty = list.endpoints.is_empty() && now < requested_at + AT_ONCE;
        self.wake_at = if empty { now + EMPTY_PAUSE } else { now };
    }
}
