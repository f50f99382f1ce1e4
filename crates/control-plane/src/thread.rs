//! Threads of the control plane, with small stacks; threads that parse and hash run at a lower priority.

use std::io;
use std::thread::{Builder, JoinHandle};

/// Stack size in bytes of a background thread, which parses and hashes requests.
const BACKGROUND_STACK_BYTES: usize = 512 << 10;
/// Stack size in bytes of a thread that exchanges messages; large states are on the heap.
const MESSAGE_STACK_BYTES: usize = 256 << 10;
/// Nice value of background threads.
const BACKGROUND_NICENESS: i32 = 10;

/// Spawns a thread of lower priority than the event loop, so that on a machine with one core customer requests come first.
///
/// # Errors
///
/// If the thread can't be spawned.
pub fn spawn_background(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        // If the system denies the lower priority, the thread runs at the default one.
        let _ = rustix::process::setpriority_process(
            Some(rustix::thread::gettid()),
            BACKGROUND_NICENESS,
        );
        work();
    };
    Builder::new()
        .name(name.into())
        .stack_size(BACKGROUND_STACK_BYTES)
        .spawn(run)
}

/// Spawns a thread that exchanges messages with other members.
///
/// # Errors
///
/// If the thread can't be spawned.
pub fn spawn_message_thread(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    Builder::new()
        .name(name.into())
        .stack_size(MESSAGE_STACK_BYTES)
        .spawn(work)
}
