//! Transfer of file descriptors between two processes as ancillary data (`SCM_RIGHTS`).

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

/// Maximum number of descriptors per message; the kernel allows at most 253.
const MAX_PER_MESSAGE: usize = 64;
/// How long to retry while too many descriptors are in flight.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between two attempts to send a message.
const RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Sends one message with at most [`MAX_PER_MESSAGE`] descriptors. The payload is one byte: the number of descriptors.
pub fn send(stream: &UnixStream, batch: &[BorrowedFd]) -> Result<(), Errno> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PER_MESSAGE))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(batch));
    let count = [batch.len() as u8];
    let payload = [IoSlice::new(&count)];
    sendmsg(stream, &payload, &mut ancillary, SendFlags::NOSIGNAL).map(drop)
}

/// Sends descriptors and closes each one in this process once it has been sent.
///
/// # Errors
///
/// If the other process is gone or does not receive descriptors in time. The remaining descriptors are closed.
pub fn send_all(stream: &UnixStream, descriptors: Vec<OwnedFd>) -> Result<(), Errno> {
    let deadline = Instant::now() + SEND_TIMEOUT;
    let mut remaining = descriptors.into_iter();
    loop {
        let batch: Vec<OwnedFd> = remaining.by_ref().take(MAX_PER_MESSAGE).collect();
        if batch.is_empty() {
            return Ok(());
        }
        let borrowed: Vec<BorrowedFd> = batch.iter().map(AsFd::as_fd).collect();
        send_until(stream, &borrowed, deadline)?;
    }
}

/// Sends a message, retrying until `deadline` while too many descriptors are in flight.
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

/// Receives `count` descriptors, or fewer if the other process ends or an error occurs before.
pub fn receive(stream: &UnixStream, count: usize) -> Vec<OwnedFd> {
    let mut received = Vec::with_capacity(count);
    while received.len() < count {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PER_MESSAGE))];
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
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                        received.extend(descriptors);
                    }
                }
                // A descriptor is missing, so all later ones would be matched to the wrong connections.
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
