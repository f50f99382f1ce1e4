//! The channel between two processes of one ingress, on a Unix socket that is their user's alone. Both ends block, each for a
//! stated time at most.

use rustix::io::Errno;
use rustix::net::sockopt::socket_peercred;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use sha2::{Digest, Sha256};
use std::io::{ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

/// What both begin with, the last byte for this protocol's version.
const HELLO: &[u8; 8] = b"wrenhnd1";
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
    let _ = Read::by_ref(stream).take(MOST_REASON as u64).read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

fn refuse(stream: &mut UnixStream, why: &str) {
    let _ = stream
        .write_all(&[NO])
        .and_then(|()| stream.write_all(&why.as_bytes()[..why.len().min(MOST_REASON)]));
}

/// The process that comes after, as the old one sees it.
#[derive(Debug)]
pub struct Heir(UnixStream);

impl Heir {
    /// Hears who connected; `layout` is the number of the state's form.
    ///
    /// # Errors
    ///
    /// Where it is no process of this user's, or speaks of another form.
    pub fn hear(mut stream: UnixStream, layout: u32) -> Result<Heir, String> {
        waits(&stream, OLD_WAITS).map_err(|e| format!("cannot wait: {e}"))?;
        ours(&stream)?;
        let mut hello = [0; HELLO.len() + 4];
        stream.read_exact(&mut hello).map_err(told("hello"))?;
        if hello[..HELLO.len()] != HELLO[..] {
            refuse(&mut stream, "another channel");
            return Err("it speaks another version of the channel".into());
        }
        let has = u32::from_be_bytes([hello[8], hello[9], hello[10], hello[11]]);
        if has != layout {
            refuse(&mut stream, &format!("state of layout {layout}, not {has}"));
            return Err(format!("it reads states of layout {has}, this one is of layout {layout}"));
        }
        Ok(Heir(stream))
    }

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
        self.0.write_all(&head).and_then(|()| self.0.write_all(state)).map_err(told("state"))?;
        let mut word = [0];
        self.0.read_exact(&mut word).map_err(told("ready"))?;
        if word[0] != READY {
            return Err(format!("it does not take the state: {}", reason(&mut self.0)));
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
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
                let mut with = SendAncillaryBuffer::new(&mut space);
                with.push(SendAncillaryMessage::ScmRights(&borrowed));
                let count = [batch.len() as u8];
                match sendmsg(&self.0, &[IoSlice::new(&count)], &mut with, SendFlags::NOSIGNAL) {
                    Ok(_) => break,
                    // Too many are on their way: the other one takes them in.
                    Err(Errno::TOOMANYREFS | Errno::AGAIN | Errno::INTR) if start.elapsed() < PASSING => {
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
    ///
    /// # Errors
    ///
    /// Where it does not answer, or does not give a whole state of this `layout`.
    pub fn ask(path: &Path, layout: u32, most: usize) -> Result<Option<(Ancestor, Vec<u8>)>, String> {
        let mut stream = match UnixStream::connect(path) {
            Ok(stream) => stream,
            Err(e) if matches!(e.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return Ok(None)
            }
            Err(e) => return Err(format!("{}: {e}", path.display())),
        };
        waits(&stream, NEW_WAITS).map_err(|e| format!("cannot wait: {e}"))?;
        ours(&stream)?;
        let mut hello = HELLO.to_vec();
        hello.extend_from_slice(&layout.to_be_bytes());
        stream.write_all(&hello).map_err(told("hello"))?;
        let mut word = [0];
        stream.read_exact(&mut word).map_err(told("state"))?;
        if word[0] != STATE {
            return Err(format!("it gives no state: {}", reason(&mut stream)));
        }
        let mut head = [0; 8 + 32];
        stream.read_exact(&mut head).map_err(told("state"))?;
        let (length, digest) = head.split_at(8);
        let length = length.iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let Some(length) = usize::try_from(length).ok().filter(|n| *n <= most) else {
            refuse(&mut stream, "the state is too large");
            return Err(format!("a state of {length} bytes, {most} at most"));
        };
        let mut state = Vec::new();
        Read::by_ref(&mut stream).take(length as u64).read_to_end(&mut state).map_err(told("state"))?;
        if state.len() != length || Sha256::digest(&state)[..] != *digest {
            refuse(&mut stream, "the state is not whole");
            return Err("the state is not whole".into());
        }
        Ok(Some((Ancestor(stream), state)))
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
        heard.and_then(|()| if word[0] == YOURS { Ok(()) } else { Err("yours: another word came".into()) })
    }

    /// Takes descriptors in, so many or as many as came before the old process was gone.
    pub fn receive(&mut self, count: usize) -> Vec<OwnedFd> {
        let mut all = Vec::with_capacity(count);
        while all.len() < count {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
            let (mut with, mut byte) = (RecvAncillaryBuffer::new(&mut space), [0]);
            let mut into = [IoSliceMut::new(&mut byte)];
            match recvmsg(&self.0, &mut into, &mut with, RecvFlags::CMSG_CLOEXEC) {
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
}
