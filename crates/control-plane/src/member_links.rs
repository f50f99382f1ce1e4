//! Links to the other members' control sockets. Each link is one persistent connection with at most one request in flight. A
//! single thread polls all links, since renewals are small and frequent.

use crate::clock;
use rustix::event::{poll, PollFd, PollFlags};
use rustix::io::Errno;
use rustix::net::{connect, socket_with, AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use rustix::time::Timespec;
use std::io::{ErrorKind, Read, Write};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;
use wrenfork_commit::protocol;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 << 10;
/// Base of the reconnection delay, which doubles with each consecutive failure.
const BASE_BACKOFF: Duration = Duration::from_millis(10);
/// Upper bound of the reconnection delay.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Consecutive failures after which the delay stops doubling; also bounds the shift of the delay.
const MAX_DOUBLINGS: u32 = 8;
/// Pause after `poll` fails, so that the loop does not spin.
const POLL_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A request that has been sent and has no response yet.
#[derive(Debug)]
struct InFlight {
    request: GroupRequest,
    sent_at: Duration,
}

/// A persistent connection to one member's control socket.
#[derive(Debug)]
pub struct MemberLink {
    /// The member's name.
    pub name: String,
    path: PathBuf,
    stream: Option<UnixStream>,
    outgoing: Vec<u8>,
    incoming: Vec<u8>,
    in_flight: Option<InFlight>,
    failures: u32,
    retry_at: Duration,
}

/// A response received over a link.
#[derive(Debug)]
pub struct Response {
    /// Index of the link in the slice passed to [`wait`].
    pub link: usize,
    /// The request that this response answers.
    pub request: GroupRequest,
    /// When the request was sent, by [`clock::now`].
    pub sent_at: Duration,
    /// The decoded response.
    pub response: GroupResponse,
}

/// Time and size limits of [`wait`].
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// When to stop waiting, by [`clock::now`].
    pub deadline: Duration,
    /// How long a request may stay in flight before its connection is closed.
    pub timeout: Duration,
    /// Maximum size of a response in bytes.
    pub max_bytes: usize,
}

impl MemberLink {
    /// Creates a link to a member's socket; the connection is opened by the first [`MemberLink::send`].
    pub fn new(name: &str, path: PathBuf) -> MemberLink {
        MemberLink {
            name: name.into(),
            path,
            stream: None,
            outgoing: Vec::new(),
            incoming: Vec::new(),
            in_flight: None,
            failures: 0,
            retry_at: Duration::ZERO,
        }
    }

    /// Whether a request can be sent now: none is in flight and the reconnection delay is over.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.in_flight.is_none() && self.retry_at <= now
    }

    /// Sends a request; [`wait`] returns the response.
    pub fn send(&mut self, request: GroupRequest, now: Duration) {
        if self.stream.is_none() {
            match self.connect() {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => return self.fail(now),
            }
        }
        self.outgoing = protocol::encode_line(&request).into_bytes();
        self.in_flight = Some(InFlight {
            request,
            sent_at: now,
        });
        self.write(now);
    }

    fn connect(&self) -> rustix::io::Result<UnixStream> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
        connect(&socket, &SocketAddrUnix::new(&self.path)?)?;
        Ok(UnixStream::from(socket))
    }

    /// Closes the connection, drops the request in flight and schedules the next attempt to connect.
    fn fail(&mut self, now: Duration) {
        self.stream = None;
        self.in_flight = None;
        self.outgoing = Vec::new();
        self.incoming = Vec::new();
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let backoff = (BASE_BACKOFF * (1 << self.failures)).min(MAX_BACKOFF);
        self.retry_at = now + backoff;
    }

    fn write(&mut self, now: Duration) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        while !self.outgoing.is_empty() {
            match stream.write(&self.outgoing) {
                Ok(written) if written > 0 => drop(self.outgoing.drain(..written)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                _ => return self.fail(now),
            }
        }
    }

    /// Reads available bytes and returns the response once it is complete. An invalid response, or one longer than
    /// `max_bytes`, closes the connection.
    fn read(&mut self, now: Duration, max_bytes: usize) -> Option<(InFlight, GroupResponse)> {
        match self.read_line(max_bytes) {
            ReadLine::Incomplete => return None,
            ReadLine::Failed => self.fail(now),
            ReadLine::Complete(line) => {
                let response = protocol::decode_line::<GroupResponse>(&line).ok();
                if let (Some(response), Some(in_flight)) = (response, self.in_flight.take()) {
                    self.failures = 0;
                    return Some((in_flight, response));
                }
                // The peer speaks another protocol version or is another program: treat it as unreachable.
                self.fail(now);
            }
        }
        None
    }

    fn read_line(&mut self, max_bytes: usize) -> ReadLine {
        let Some(stream) = &mut self.stream else {
            return ReadLine::Incomplete;
        };
        let mut buffer = [0; READ_BYTES];
        loop {
            let bytes = match stream.read(&mut buffer) {
                Ok(count) if count > 0 => &buffer[..count],
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return ReadLine::Incomplete;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                _ => return ReadLine::Failed,
            };
            self.incoming.extend_from_slice(bytes);
            if self.incoming.len() > max_bytes {
                return ReadLine::Failed;
            }
            if bytes.contains(&b'\n') {
                let line = String::from_utf8(std::mem::take(&mut self.incoming));
                return line.map_or(ReadLine::Failed, ReadLine::Complete);
            }
        }
    }

    /// Closes the connection if the request in flight has timed out.
    fn expire(&mut self, now: Duration, timeout: Duration) {
        let in_flight = self.in_flight.as_ref();
        if in_flight.is_some_and(|request| now > request.sent_at + timeout) {
            self.fail(now);
        }
    }
}

/// The result of reading from a link.
enum ReadLine {
    Complete(String),
    Incomplete,
    Failed,
}

/// Waits until a response arrives, `wake_up` becomes readable, or the deadline has passed. Returns the received responses.
pub fn wait(links: &mut [MemberLink], wake_up: &UnixStream, limits: WaitLimits) -> Vec<Response> {
    poll_links(links, wake_up, limits);
    // Drain the wake-up bytes; the socket is nonblocking, and the bytes carry no information.
    let _ = (&*wake_up).read(&mut [0; 64]);
    let now = clock::now();
    let mut responses = Vec::new();
    let in_flight = links
        .iter_mut()
        .enumerate()
        .filter(|(_, link)| link.in_flight.is_some());
    for (index, link) in in_flight {
        link.write(now);
        if let Some((InFlight { request, sent_at }, response)) = link.read(now, limits.max_bytes) {
            responses.push(Response {
                link: index,
                request,
                sent_at,
                response,
            });
        }
        link.expire(now, limits.timeout);
    }
    responses
}

fn poll_links(links: &[MemberLink], wake_up: &UnixStream, limits: WaitLimits) {
    let waiting = links.iter().filter(|link| link.in_flight.is_some());
    let mut descriptors: Vec<PollFd> = waiting.filter_map(poll_descriptor).collect();
    descriptors.push(PollFd::new(wake_up, PollFlags::IN));
    let earliest_expiry = links
        .iter()
        .filter_map(|link| link.in_flight.as_ref())
        .map(|request| request.sent_at + limits.timeout)
        .min();
    let deadline = earliest_expiry.map_or(limits.deadline, |at| at.min(limits.deadline));
    // One extra millisecond, so that the deadline has passed on return whatever the clock's resolution.
    let remaining = deadline.saturating_sub(clock::now()) + Duration::from_millis(1);
    let remaining = Timespec {
        tv_sec: remaining.as_secs() as i64,
        tv_nsec: remaining.subsec_nanos().into(),
    };
    match poll(&mut descriptors, Some(&remaining)) {
        Ok(_) | Err(Errno::INTR) => {}
        Err(_) => std::thread::sleep(POLL_ERROR_PAUSE),
    }
}

fn poll_descriptor(link: &MemberLink) -> Option<PollFd<'_>> {
    let stream = link.stream.as_ref()?;
    let flags = if link.outgoing.is_empty() {
        PollFlags::IN
    } else {
        PollFlags::IN | PollFlags::OUT
    };
    Some(PollFd::from_borrowed_fd(stream.as_fd(), flags))
}
