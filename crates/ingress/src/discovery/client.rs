//! The discovery client: long-polls the service over a single connection for changes to the endpoint list. While discovery
//! doesn't answer or its answers are invalid, the ingress keeps the last list, and the client retries with increasing backoff.

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

/// How long one poll waits for a watch event. It is short because a lost connection can be detected only after this time.
pub(super) const POLL_WAIT: Micros = 2_000_000;
/// Timeout for establishing a connection, and the time a response may take beyond [`POLL_WAIT`] before the connection is given
/// up. An unanswered poll is detected after [`POLL_WAIT`] plus this timeout and retried after a backoff of up to 1.5 s: after
/// 4.5 s in the worst case, which is within the 6 s after which a change counts as reported.
pub(super) const RESPONSE_TIMEOUT: Micros = 1_000_000;
/// Delay before the next poll after an immediate empty response. The service continues a watch if polled again within 200 ms.
pub(super) const EMPTY_RESPONSE_DELAY: Micros = 50_000;
/// A response that arrives within this time counts as immediate: the service did not wait for a watch event.
const IMMEDIATE_RESPONSE: Micros = 20_000;
/// Size in bytes of the read buffer.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A discovery client's address and list version, which are handed over to the next process.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct DiscoveryPosition {
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// Version of the last endpoint list; `None` if the full list must be requested.
    pub index: Option<u64>,
}

/// The discovery client. [`DiscoveryClient::wake`] sends requests, [`DiscoveryClient::ready`] processes responses.
pub struct DiscoveryClient {
    address: SocketAddr,
    location_names: LocationNames,
    token: Token,
    pub(super) stream: Option<TcpStream>,
    /// Version of the last endpoint list; `None` requests the full list.
    pub(super) index: Option<u64>,
    /// The unwritten rest of the current request.
    pub(super) out: Vec<u8>,
    /// Time of the current request; `None` between two requests.
    pub(super) requested_at: Option<Micros>,
    buf: Vec<u8>,
    backoff: Backoff,
    /// Time at which [`DiscoveryClient::wake`] must be called: the next request is due or the current one times out.
    pub wake_at: Micros,
    /// Whether a poll has failed and no list has arrived since.
    broken: bool,
}

/// Why reading from the connection stopped.
enum ReadEnd {
    /// No more data is available at the moment.
    WouldBlock,
    /// The service has closed the connection.
    Closed,
    /// Reading failed, for instance because the connection was reset.
    Reset(io::Error),
}

impl DiscoveryClient {
    /// Creates a client that polls for changes since version `index` of the endpoint list. `seed` randomizes the retry times, so
    /// that ingresses don't retry simultaneously.
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

    /// The address and list version to hand over to the next process.
    pub fn position(&self) -> DiscoveryPosition {
        DiscoveryPosition {
            address: self.address,
            index: self.index,
        }
    }

    /// The address of the discovery service.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches to another address and requests the full list immediately. A request or backoff in progress is dropped.
    pub fn move_to(&mut self, address: SocketAddr, now: Micros) {
        self.stream = None;
        self.requested_at = None;
        self.index = None;
        self.buf.clear();
        self.address = address;
        self.wake_at = now;
        self.backoff.reset();
    }

    /// Continues from the position that the predecessor handed over.
    pub fn resume(&mut self, position: DiscoveryPosition) {
        self.address = position.address;
        self.index = position.index;
    }

    /// Makes the next request ask for the full list.
    pub fn request_full_list(&mut self) {
        self.index = None;
    }

    /// Closes the connection and schedules a retry after a backoff. Returns whether this is the first failure since the last
    /// list.
    fn fail(&mut self, now: Micros, failure: Failure, error: &dyn std::fmt::Display) -> bool {
        self.stream = None;
        self.requested_at = None;
        self.buf.clear();
        self.wake_at = now + self.backoff.delay(failure);
        let is_first_failure = !std::mem::replace(&mut self.broken, true);
        if is_first_failure {
            tracing::warn!(%error, "discovery: poll failed, keeping the last endpoint list");
        }
        is_first_failure
    }

    /// Sends the next request if it is due, or fails the current one if it has timed out. Returns whether this is the first
    /// failure since the last list.
    pub fn wake(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.wake_at {
            return false;
        }
        if self.requested_at.is_some() {
            return self.fail(now, Failure::Broken, &"no response within the timeout");
        }
        if self.stream.is_none() {
            match self.connect(registry) {
                Ok(stream) => self.stream = Some(stream),
                Err(error) => {
                    return self.fail(
                        now,
                        Failure::Broken,
                        &format_args!("cannot connect: {error}"),
                    )
                }
            }
        }
        self.out = self.build_request();
        self.requested_at = Some(now);
        self.wake_at = now + RESPONSE_TIMEOUT;
        self.write(now)
    }

    fn connect(&self, registry: &Registry) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        let interests = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, self.token, interests)?;
        Ok(stream)
    }

    fn build_request(&self) -> Vec<u8> {
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
                    // Allow the same time for a request for the full list, although it doesn't wait for a watch event: with a
                    // timeout shorter than the service's response time, retries would never succeed.
                    self.wake_at = now + RESPONSE_TIMEOUT + POLL_WAIT;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Not connected yet, or the send buffer is full: a writable event will follow.
                Err(e) if is_not_ready(&e) => break,
                Err(error) => {
                    return self.fail(
                        now,
                        Failure::Broken,
                        &format_args!("cannot send the request: {error}"),
                    )
                }
            }
        }
        false
    }

    /// Continues the current request and reads its response. Calls `on_list` for each list received. Returns whether this is
    /// the first failure since the last list.
    pub fn ready(
        &mut self,
        now: Micros,
        registry: &Registry,
        on_list: &mut impl FnMut(EndpointList),
    ) -> bool {
        if self.write(now) {
            return true;
        }
        let end = match self.read(now) {
            Ok(Some(end)) => end,
            Ok(None) => return false,
            Err(first_failure) => return first_failure,
        };
        let Some(requested_at) = self.requested_at else {
            // Between two requests the service sends nothing but the end of the connection. Drop the connection and anything
            // received on it; the next request opens a new one.
            self.stream = None;
            self.buf.clear();
            return false;
        };
        // A response without a length is complete only when the connection is closed. A reset doesn't count as closing the
        // connection, but a response received completely before the reset is valid.
        let closed = matches!(end, ReadEnd::Closed);
        match read_response(&self.buf, closed, &self.location_names) {
            Response::Partial => match end {
                ReadEnd::WouldBlock => false,
                ReadEnd::Closed => self.fail(
                    now,
                    Failure::Broken,
                    &"connection closed before the end of the response",
                ),
                ReadEnd::Reset(error) => self.fail(now, Failure::Broken, &error),
            },
            Response::Invalid(error) => self.fail(now, error.failure(), &error),
            Response::Complete { list, keep_alive } => {
                let reusable = keep_alive && matches!(end, ReadEnd::WouldBlock);
                self.finish_request(&list, reusable, requested_at, now);
                on_list(list);
                self.wake(now, registry)
            }
        }
    }

    /// Reads all available data. Returns `None` if there is no connection, and as an error the result of [`Self::fail`].
    fn read(&mut self, now: Micros) -> Result<Option<ReadEnd>, bool> {
        let mut chunk = [0; READ_BUFFER_BYTES];
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
                return Err(self.fail(now, Failure::Broken, &"response exceeds the size limit"));
            }
        }
    }

    /// Records a received list and schedules the next request: immediately, or after a delay if this response was immediate and
    /// empty.
    fn finish_request(
        &mut self,
        list: &EndpointList,
        reusable: bool,
        requested_at: Micros,
        now: Micros,
    ) {
        if std::mem::take(&mut self.broken) {
            tracing::info!("discovery: polling works again");
        }
        self.index = Some(list.index);
        self.requested_at = None;
        self.backoff.reset();
        self.buf.clear();
        if !reusable {
            self.stream = None;
        }
        // The delay avoids a busy loop with a service that answers immediately without changes.
        let immediate_and_empty =
            list.endpoints.is_empty() && now < requested_at + IMMEDIATE_RESPONSE;
        self.wake_at = if immediate_and_empty {
            now + EMPTY_RESPONSE_DELAY
        } else {
            now
        };
    }
}
