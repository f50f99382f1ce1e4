//! Links to the other members' control sockets: each one connection that stays, with one ask under way at most. One thread
//! serves all of them: renewals are many and small.

use crate::clock;
use rustix::event::{poll, PollFd, PollFlags};
use rustix::io::Errno;
use rustix::net::{connect, socket_with, AddressFamily, SocketAddrUnix, SocketFlags, SocketType};
use std::io::{ErrorKind, Read, Write};
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;
use wrenfork_commit::protocol;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};

/// What is read at once.
const CHUNK: usize = 16 << 10;
/// The longest pause between two tries at a socket where nobody listens.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What is under way on a link.
#[derive(Debug)]
struct Asked {
    ask: GroupRequest,
    sent: Duration,
}

/// A link to one member.
#[derive(Debug)]
pub struct Link {
    /// The member's name.
    pub name: String,
    path: PathBuf,
    stream: Option<UnixStream>,
    out: Vec<u8>,
    got: Vec<u8>,
    asked: Option<Asked>,
    failures: u32,
    not_before: Duration,
}

impl Link {
    /// To a member at a path; nothing is connected yet.
    pub fn new(name: &str, path: PathBuf) -> Link {
        let (out, got) = (Vec::new(), Vec::new());
        Link {
            name: name.into(),
            path,
            stream: None,
            out,
            got,
            asked: None,
            failures: 0,
            not_before: Duration::ZERO,
        }
    }

    /// Whether something can be asked now.
    pub fn free(&self, now: Duration) -> bool {
        self.asked.is_none() && self.not_before <= now
    }

    fn connect(&self) -> rustix::io::Result<UnixStream> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        let socket = socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None)?;
        connect(&socket, &SocketAddrUnix::new(&self.path)?)?;
        Ok(UnixStream::from(socket))
    }

    /// Asks; what comes of it is told by [`Link::answer`].
    pub fn ask(&mut self, ask: GroupRequest, now: Duration) {
        if self.stream.is_none() {
            match self.connect() {
                Ok(stream) => self.stream = Some(stream),
                Err(_) => return self.fail(now),
            }
        }
        self.out = protocol::encode_line(&ask).into_bytes();
        self.asked = Some(Asked { ask, sent: now });
        self.write(now);
    }

    fn fail(&mut self, now: Duration) {
        (self.stream, self.asked) = (None, None);
        self.out = Vec::new();
        self.got = Vec::new();
        self.failures = (self.failures + 1).min(8);
        self.not_before =
            now + (Duration::from_millis(10) * (1 << self.failures)).min(LONGEST_PAUSE);
    }

    fn write(&mut self, now: Duration) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        while !self.out.is_empty() {
            match stream.write(&self.out) {
                Ok(n) if n > 0 => drop(self.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return self.fail(now),
            }
        }
    }

    /// Reads what has come; the whole answer, if it has, with what was asked and when. `most` bounds it in bytes.
    fn read(
        &mut self,
        now: Duration,
        most: usize,
    ) -> Option<(GroupRequest, Duration, GroupResponse)> {
        let stream = self.stream.as_mut()?;
        let mut chunk = [0; CHUNK];
        loop {
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => {
                    self.got.extend_from_slice(&chunk[..n]);
                    if self.got.len() > most {
                        self.fail(now);
                        return None;
                    }
                    if chunk[..n].contains(&b'\n') {
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => {
                    self.fail(now);
                    return None;
                }
            }
        }
        let text = String::from_utf8(std::mem::take(&mut self.got)).ok();
        let say = text.and_then(|t| protocol::decode_line::<GroupResponse>(&t).ok());
        match (say, self.asked.take()) {
            (Some(say), Some(Asked { ask, sent })) => {
                self.failures = 0;
                Some((ask, sent, say))
            }
            // Another version, or somebody else: as if nobody were there.
            _ => {
                self.fail(now);
                None
            }
        }
    }

    /// Gives up what has not been answered for so long.
    fn expire(&mut self, now: Duration, patience: Duration) {
        if self.asked.as_ref().is_some_and(|a| now > a.sent + patience) {
            self.fail(now);
        }
    }
}

/// Waits until an answer comes, something else wakes it, or time is over, and reads what has come: by the place of its link,
/// with what was asked and when.
pub fn wait(
    links: &mut [Link],
    wake: &UnixStream,
    until: Duration,
    patience: Duration,
    most: usize,
) -> Vec<(usize, GroupRequest, Duration, GroupResponse)> {
    let mut now = clock::now();
    {
        let waiting = links.iter().filter_map(|l| {
            let stream = l.stream.as_ref().filter(|_| l.asked.is_some())?;
            let write = if l.out.is_empty() {
                PollFlags::empty()
            } else {
                PollFlags::OUT
            };
            Some(PollFd::from_borrowed_fd(
                stream.as_fd(),
                PollFlags::IN | write,
            ))
        });
        let mut fds: Vec<PollFd> = waiting.collect();
        fds.push(PollFd::new(wake, PollFlags::IN));
        let expires = links
            .iter()
            .filter_map(|l| l.asked.as_ref())
            .map(|a| a.sent + patience)
            .min();
        let until = expires.map_or(until, |e| e.min(until));
        let left = until.saturating_sub(now) + Duration::from_millis(1);
        let left = rustix::time::Timespec {
            tv_sec: left.as_secs() as i64,
            tv_nsec: left.subsec_nanos().into(),
        };
        match poll(&mut fds, Some(&left)) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(_) => std::thread::sleep(Duration::from_millis(10)),
        }
    }
    let mut woken = [0; 64];
    let _ = (&*wake).read(&mut woken); // it does not block: that it was there is all that it says
    now = clock::now();
    let mut came = Vec::new();
    for (n, link) in links
        .iter_mut()
        .enumerate()
        .filter(|(_, l)| l.asked.is_some())
    {
        link.write(now);
        if let Some((ask, sent, say)) = link.read(now, most) {
            came.push((n, ask, sent, say));
        }
        link.expire(now, patience);
    }
    came
}
