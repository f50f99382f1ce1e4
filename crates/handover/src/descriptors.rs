//! Descriptors on their way between two processes, as ancillary data (`SCM_RIGHTS`).

use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags,
    SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// Descriptors in a message: the kernel takes 253 at most.
const BATCH: usize = 64;
/// How long descriptors may be held up on their way, and the pause before they are sent again.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);
const RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Sends one message of descriptors, a batch at the most; its only byte is their number.
pub fn send(stream: &UnixStream, batch: &[BorrowedFd]) -> Result<(), Errno> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(batch));
    let count = [batch.len() as u8];
    let payload = [IoSlice::new(&count)];
    sendmsg(stream, &payload, &mut ancillary, SendFlags::NOSIGNAL).map(drop)
}

/// Sends descriptors, each closed here as soon as it is on its way.
///
/// # Errors
///
/// Where the other process is gone or takes none: those that are left are closed.
pub fn send_all(stream: &UnixStream, descriptors: Vec<OwnedFd>) -> Result<(), Errno> {
    let deadline = Instant::now() + SEND_TIMEOUT;
    let mut remaining = descriptors.into_iter();
    loop {
        let batch: Vec<OwnedFd> = remaining.by_ref().take(BATCH).collect();
        if batch.is_empty() {
            return Ok(());
        }
        let borrowed: Vec<BorrowedFd> = batch.iter().map(AsFd::as_fd).collect();
        send_until(stream, &borrowed, deadline)?;
    }
}

/// Sends a message again for as long as too many descriptors are on their way.
fn send_until(stream: &UnixStream, batch: &[BorrowedFd], deadline: Instant) -> Result<(), Errno> {
    loop {
        match send(stream, batch) {
            Err(Errno::TOOMANYREFS | Errno::AGAIN | Errno::INTR) if Instant::now() < deadline => {
                std::thread::sleep(RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

/// Receives so many descriptors, or as many as came before the other process was gone.
pub fn receive(stream: &UnixStream, count: usize) -> Vec<OwnedFd> {
    let mut received = Vec::with_capacity(count);
    while received.len() < count {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(BATCH))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        let mut payload = [IoSliceMut::new(&mut byte)];
        match recvmsg(
            stream,
            &mut payload,
            &mut ancillary,
            RecvFlags::CMSG_CLOEXEC,
        ) {
            Ok(message) if message.bytes > 0 => {
                for part in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = part {
                        received.extend(descriptors);
                    }
                }
                // One is missing in the order: what comes behind it would be taken for another.
                if message.flags.contains(ReturnFlags::CTRUNC) {
                    break;
                }
            }
            Err(Errno::INTR) => {}
            _ => break,
        }
    }
    received
}
