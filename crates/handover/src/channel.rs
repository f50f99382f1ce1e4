//! The channel between two processes of one ingress, on a Unix socket that is their user's alone. Both ends block, each for a
//! stated time at most.

use rustix::io::Errno;
use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
};
use sha2::{Digest, Sha256};
use std::io::{ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::ops::RangeInclusive;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// What both begin with, the last byte for this protocol's version.
const HELLO: &[u8; 8] = b"wrenhnd1";
/// What whoever keeps this ingress's process says in its place, to have the listening socket.
const KEEPS: &[u8; 8] = b"wrenkpr1";
/// How long the old process waits for each step of the new one: it serves nobody meanwhile.
const OLD_WAITS: Duration = Duration::from_millis(300);
/// How long the new process waits for each step of the old one, whose loop may be in a long turn.
const NEW_WAITS: Duration = Duration::from_millis(1000);
/// Descriptors in a message: the kernel takes 253 at most.
const BATCH: usize = 64;
/// How long descriptors may be held up on their way, and the pause before they are tried again.
const PASSING: Duration = Duration::from_millis(1500);
const AGAIN: Duration = Duration::from_millis(1);
/// The most bytes of a reason.
const MOST_REASON: usize = 512;
/// Words of one byte.
const STATE: u8 = b'S';
const NO: u8 = b'N';
/// No as well, because of the layout: the highest that the old one writes follows in the place of a reason.
const LAYOUT: u8 = b'L';
const READY: u8 = b'R';
const YOURS: u8 = b'Y';

fn told(step: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| match e.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => format!("{step}: no word in time"),
        ErrorKind::UnexpectedEof => format!("{step}: the other process is gone"),
        _ => format!("{step}: {e}"),
    }
}

fn ours(stream: &UnixStream) -> Result<(), String> {
    let peer = socket_peercred(stream).map_err(|e| format!("cannot tell who is there: {e}"))?;
    if peer.uid != rustix::process::geteuid() {
        return Err(format!("a process of user {} is there", peer.uid.as_raw()));
    }
    Ok(())
}

fn waits(stream: &UnixStream, time: Duration) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(time))?;
    stream.set_write_timeout(Some(time))
}

/// Reads why the other one does not go on; whatever it says.
fn reason(stream: &mut UnixStream) -> String {
    let mut text = Vec::new();
    let _ = Read::by_ref(stream)
        .take(MOST_REASON as u64)
        .read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn refuse(stream: &mut UnixStream, why: &str) {
    let _ = stream
        .write_all(&[NO])
        .and_then(|()| stream.write_all(&why.as_bytes()[..why.len().min(MOST_REASON)]));
}

/// Where the ingress that listens at an address offers itself: `$TMPDIR` is shared by its processes, whoever keeps them, and
/// nobody else.
pub fn path(listen: std::net::SocketAddr) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("wrenfork-{listen}.next"))
}

/// Whoever connects to a process that serves.
#[derive(Debug)]
pub enum Caller {
    /// The process that comes after, and the layout of the state that it reads.
    Next(Heir, u32),
    /// Whoever keeps this process: it has lost the listening socket, and is lent it again.
    Keeper(Lender),
}

impl Caller {
    /// Hears who connected; `layouts` are the numbers of the state's forms that are written here.
    ///
    /// # Errors
    ///
    /// Where it is no process of this user's, or speaks of another form.
    pub fn hear(mut stream: UnixStream, layouts: RangeInclusive<u32>) -> Result<Caller, String> {
        waits(&stream, OLD_WAITS).map_err(|e| format!("cannot wait: {e}"))?;
        ours(&stream)?;
        let mut hello = [0; HELLO.len() + 4];
        stream.read_exact(&mut hello).map_err(told("hello"))?;
        if hello[..KEEPS.len()] == KEEPS[..] {
            return Ok(Caller::Keeper(Lender(stream)));
        }
        if hello[..HELLO.len()] != HELLO[..] {
            refuse(&mut stream, "another channel");
            return Err("it speaks another version of the channel".into());
        }
        let has = u32::from_be_bytes([hello[8], hello[9], hello[10], hello[11]]);
        if !layouts.contains(&has) {
            let highest = layouts.end().to_be_bytes();
            let _ = stream
                .write_all(&[LAYOUT])
                .and_then(|()| stream.write_all(&highest));
            return Err(format!(
                "it reads states of layout {has}, this one writes up to {}",
                layouts.end()
            ));
        }
        Ok(Caller::Next(Heir(stream), has))
    }
}

/// Lends the listening socket to whoever keeps this process.
#[derive(Debug)]
pub struct Lender(UnixStream);

impl Lender {
    /// Lends it.
    ///
    /// # Errors
    ///
    /// Where the other one is gone.
    pub fn lend(self, listener: BorrowedFd) -> Result<(), String> {
        send(&self.0, &[listener]).map_err(|e| format!("the listener: {e}"))
    }
}

/// Asks the process that listens at a path for its listening socket; none if there is no process. With it comes the process's
/// number.
///
/// # Errors
///
/// Where it does not answer, or is another user's.
pub fn borrow(path: &Path) -> Result<Option<(OwnedFd, u32)>, String> {
    let Some(mut stream) = connect(path)? else {
        return Ok(None);
    };
    let peer = socket_peercred(&stream).map_err(|e| format!("cannot tell who is there: {e}"))?;
    let hello: Vec<u8> = KEEPS.iter().chain(&[0; 4]).copied().collect();
    stream.write_all(&hello).map_err(told("hello"))?;
    let mut listener = receive(&stream, 1);
    let listener = listener.pop().ok_or("it lends no listener")?;
    Ok(Some((
        listener,
        peer.pid.as_raw_nonzero().get().unsigned_abs(),
    )))
}

/// Connects to the process that listens at a path, if there is one and it is this user's.
fn connect(path: &Path) -> Result<Option<UnixStream>, String> {
    let stream = match UnixStream::connect(path) {
        Ok(stream) => stream,
        Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
            return Ok(None)
        }
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    waits(&stream, NEW_WAITS).map_err(|e| format!("cannot wait: {e}"))?;
    ours(&stream)?;
    Ok(Some(stream))
}

/// Sends descriptors, a message's worth at most.
fn send(stream: &UnixStream, batch: &[BorrowedFd]) -> Result<(), Errno> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
    let mut with = SendAncillaryBuffer::new(&mut space);
    with.push(SendAncillaryMessage::ScmRights(batch));
    let count = [batch.len() as u8];
    sendmsg(
        stream,
        &[IoSlice::new(&count)],
        &mut with,
        SendFlags::NOSIGNAL,
    )
    .map(drop)
}

/// The process that comes after, as the old one sees it.
#[derive(Debug)]
pub struct Heir(UnixStream);

impl Heir {
    /// Gives the state away. If this succeeds it is the other's, and nothing may be decided here any more; if not, it is
    /// this one's as before.
    ///
    /// # Errors
    ///
    /// Why it is not the other's.
    pub fn give(&mut self, state: &[u8]) -> Result<(), String> {
        let mut head = vec![STATE];
        head.extend_from_slice(&(state.len() as u64).to_be_bytes());
        head.extend_from_slice(&Sha256::digest(state));
        self.0
            .write_all(&head)
            .and_then(|()| self.0.write_all(state))
            .map_err(told("state"))?;
        let mut word = [0];
        self.0.read_exact(&mut word).map_err(told("ready"))?;
        if word[0] != READY {
            return Err(format!(
                "it does not take the state: {}",
                reason(&mut self.0)
            ));
        }
        self.0.write_all(&[YOURS]).map_err(told("yours"))
    }

    /// Passes descriptors on, each closed here as soon as it is on its way.
    ///
    /// # Errors
    ///
    /// Where the other one is gone or takes none: these are lost.
    pub fn pass(&mut self, descriptors: Vec<OwnedFd>) -> Result<(), String> {
        let (start, mut left) = (Instant::now(), descriptors.into_iter().peekable());
        while left.peek().is_some() {
            let batch: Vec<OwnedFd> = left.by_ref().take(BATCH).collect();
            let borrowed: Vec<_> = batch.iter().map(AsFd::as_fd).collect();
            loop {
                match send(&self.0, &borrowed) {
                    Ok(()) => break,
                    // Too many are on their way: the other one takes them in.
                    Err(Errno::TOOMANYREFS | Errno::AGAIN | Errno::INTR)
                        if start.elapsed() < PASSING =>
                    {
                        std::thread::sleep(AGAIN);
                    }
                    Err(e) => return Err(format!("descriptors: {e}")),
                }
            }
        }
        Ok(())
    }
}

/// The process that was there before, as the new one sees it.
#[derive(Debug)]
pub struct Ancestor(UnixStream);

impl Ancestor {
    /// Asks the process that listens at a path for its state; none if there is no process. A state has `most` bytes at most.
    /// The highest of these `layouts` that the other one writes is asked for, and comes back with the state.
    ///
    /// # Errors
    ///
    /// Where it does not answer, or does not give a whole state of one of them.
    pub fn ask(
        path: &Path,
        layouts: RangeInclusive<u32>,
        most: usize,
    ) -> Result<Option<(Ancestor, u32, Vec<u8>)>, String> {
        let mut layout = *layouts.end();
        let mut stream = loop {
            let Some(mut stream) = connect(path)? else {
                return Ok(None);
            };
            let mut hello = HELLO.to_vec();
            hello.extend_from_slice(&layout.to_be_bytes());
            stream.write_all(&hello).map_err(told("hello"))?;
            let mut word = [0];
            stream.read_exact(&mut word).map_err(told("state"))?;
            let why = match word[0] {
                STATE => break stream,
                LAYOUT => {
                    let mut highest = [0; 4];
                    stream.read_exact(&mut highest).map_err(told("layout"))?;
                    let highest = u32::from_be_bytes(highest);
                    // Always a lower one than before, so that this comes to an end.
                    if layouts.contains(&highest) && highest < layout {
                        layout = highest;
                        continue;
                    }
                    format!("state of layout {highest}, not {layout}")
                }
                _ => reason(&mut stream),
            };
            // One from before there was more than one layout turns any other down in words.
            if layout > *layouts.start() && why.starts_with("state of layout ") && word[0] == NO {
                layout -= 1;
                continue;
            }
            return Err(format!("it gives no state: {why}"));
        };
        let mut head = [0; 8 + 32];
        stream.read_exact(&mut head).map_err(told("state"))?;
        let (length, digest) = head.split_at(8);
        let length = length.iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let Some(length) = usize::try_from(length).ok().filter(|n| *n <= most) else {
            refuse(&mut stream, "the state is too large");
            return Err(format!("a state of {length} bytes, {most} at most"));
        };
        let mut state = Vec::new();
        Read::by_ref(&mut stream)
            .take(length as u64)
            .read_to_end(&mut state)
            .map_err(told("state"))?;
        if state.len() != length || Sha256::digest(&state)[..] != *digest {
            refuse(&mut stream, "the state is not whole");
            return Err("the state is not whole".into());
        }
        Ok(Some((Ancestor(stream), layout, state)))
    }

    /// Turns the state down: it stays the old process's.
    pub fn decline(mut self, why: &str) {
        refuse(&mut self.0, why);
    }

    /// Takes the state over. If this succeeds all is this process's; if not it is the old one's, for good.
    ///
    /// # Errors
    ///
    /// Why it is not this one's.
    pub fn take(&mut self) -> Result<(), String> {
        self.0.write_all(&[READY]).map_err(told("ready"))?;
        let mut word = [0];
        let heard = self.0.read_exact(&mut word).map_err(told("yours"));
        if heard.is_err() {
            // From here on the old one can't say it any more; if it has, all is this process's, but for the sockets that
            // were still to come.
            let _ = self.0.shutdown(Shutdown::Read);
            let _ = self.0.set_nonblocking(true);
            if self.0.read(&mut word).is_ok_and(|n| n == 1) && word[0] == YOURS {
                return Ok(());
            }
        }
        heard.and_then(|()| {
            if word[0] == YOURS {
                Ok(())
            } else {
                Err("yours: another word came".into())
            }
        })
    }

    /// Takes descriptors in, so many or as many as came before the old process was gone.
    pub fn receive(&mut self, count: usize) -> Vec<OwnedFd> {
        receive(&self.0, count)
    }
}

fn receive(stream: &UnixStream, count: usize) -> Vec<OwnedFd> {
    let mut all = Vec::with_capacity(count);
    while all.len() < count {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
        let (mut with, mut byte) = (RecvAncillaryBuffer::new(&mut space), [0]);
        let mut into = [IoSliceMut::new(&mut byte)];
        match recvmsg(stream, &mut into, &mut with, RecvFlags::CMSG_CLOEXEC) {
            Ok(message) if message.bytes > 0 => {
                for part in with.drain() {
                    if let RecvAncillaryMessage::ScmRights(some) = part {
                        all.extend(some);
                    }
                }
                // A place in the order is missing: what comes behind it would be taken for another.
                if message.flags.contains(ReturnFlags::CTRUNC) {
                    break;
                }
            }
            Err(Errno::INTR) => {}
            _ => break,
        }
    }
    all
}
