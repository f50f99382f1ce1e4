//! Links to the other members' control sockets: each one connection that stays open, with one request in flight at most. One
//! thread serves all of them by polling: renewals are many and small.

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

/// Bytes that are read at once.
const READ_BYTES: usize = 16 << 10;
/// The first delay before a socket where nobody listens is tried again; it doubles with each failure in a row.
const FIRST_BACKOFF: Duration = Duration::from_millis(10);
/// The longest of these delays.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Failures in a row up to which the delay doubles.
const MAX_DOUBLINGS: u32 = 8;
/// The pause where polling itself fails.
const POLL_ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A request in flight.
#[derive(Debug)]
struct InFlight {
    request: GroupRequest,
    sent_at: Duration,
}

/// A link to one member.
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

/// A response that came over a link.
#[derive(Debug)]
pub struct Response {
    /// The link's place in the list that was waited for.
    pub link: usize,
    /// What was requested.
    pub request: GroupRequest,
    /// When, by [`clock::now`].
    pub sent_at: Duration,
    /// What came.
    pub response: GroupResponse,
}

/// How long and for how much to wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimits {
    /// Until when, by [`clock::now`].
    pub deadline: Duration,
    /// How long a request may be in flight.
    pub timeout: Duration,
    /// The most bytes of a response.
    pub max_bytes: usize,
}

impl MemberLink {
    /// A link to a member's socket; nothing is connected yet.
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

    /// Whether a request can be sent now.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.in_flight.is_none() && self.retry_at <= now
    }

    /// Sends a request; its response comes by [`wait`].
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

    /// Closes the connection; the request in flight is lost.
    fn fail(&mut self, now: Duration) {
        self.stream = None;
        self.in_flight = None;
        self.outgoing = Vec::new();
        self.incoming = Vec::new();
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let backoff = (FIRST_BACKOFF * (1 << self.failures)).min(MAX_BACKOFF);
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

    /// Reads what has come; the response once it is complete. One that is none, or longer than `max_bytes`, closes the
    /// connection.
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
                // Another version, or another program: as if nobody were there.
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

    /// Closes the connection where the request in flight has had no response for too long.
    fn expire(&mut self, now: Duration, timeout: Duration) {
        let in_flight = self.in_flight.as_ref();
        if in_flight.is_some_and(|request| now > request.sent_at + timeout) {
            self.fail(now);
        }
    }
}

enum ReadLine {
    Complete(String),
    Incomplete,
    Failed,
}

/// Waits until a response comes, `wake_up` becomes readable, or time is over; the responses that came.
pub fn wait(links: &mut [MemberLink], wake_up: &UnixStream, limits: WaitLimits) -> Vec<Response> {
    poll_links(links, wake_up, limits);
    // It does not block; that something came is all that it says.
    let _ = (&*wake_up).read(&mut [0; 64]);
    let now = clock::now();
    let mut responses = Vec::new();
    let in_flight = links
        .iter_mut()
        .enumerate()
        .filter(|(_, link)| link.in_flight.is_some());
    for (place, link) in in_flight {
        link.write(now);
        if let Some((InFlight { request, sent_at }, response)) = link.read(now, limits.max_bytes) {
            responses.push(Response {
                link: place,
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
    let expires = links
        .iter()
        .filter_map(|link| link.in_flight.as_ref())
        .map(|request| request.sent_at + limits.timeout)
        .min();
    let deadline = expires.map_or(limits.deadline, |at| at.min(limits.deadline));
    // A millisecond more: the time that is waited for is over then, whatever the clock's steps.
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
