//! The threads of the control plane: small stacks, and a low priority for those that parse and hash.

use std::io;
use std::thread::{Builder, JoinHandle};

/// Bytes of stack of a thread that parses and hashes.
const REQUEST_STACK: usize = 512 << 10;
/// Bytes of stack of a thread that reads and writes lines; large states are on the heap.
const MESSAGE_STACK: usize = 256 << 10;
/// The nice value of background threads.
const BACKGROUND_NICENESS: i32 = 10;

/// Starts a thread that yields the processor to the event loop: on a machine with one core, requests come first.
///
/// # Errors
///
/// Where the system gives no thread.
pub fn spawn_background(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        // Where a lower priority is not granted, the thread runs at the usual one.
        let _ = rustix::process::setpriority_process(
            Some(rustix::thread::gettid()),
            BACKGROUND_NICENESS,
        );
        work();
    };
    Builder::new()
        .name(name.into())
        .stack_size(REQUEST_STACK)
        .spawn(run)
}

/// Starts a thread that exchanges messages with other members.
///
/// # Errors
///
/// Where the system gives no thread.
pub fn spawn_messenger(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    Builder::new()
        .name(name.into())
        .stack_size(MESSAGE_STACK)
        .spawn(work)
}
