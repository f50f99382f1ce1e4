//! Handles of ingress processes: children of this process, and adopted ones that an earlier supervisor started.

use rustix::event::{poll, PollFd, PollFlags};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use rustix::time::Timespec;
use std::os::fd::OwnedFd;
use std::process::Child;

/// A process, identified by its pidfd.
pub struct Process {
    /// The process id.
    pub id: u32,
    /// Stays valid for this process even if its id is reused.
    pidfd: OwnedFd,
    /// Set if this process started it.
    child: Option<Child>,
}

impl Process {
    /// A child of this process.
    ///
    /// # Errors
    ///
    /// If no pidfd can be opened.
    pub fn spawned(child: Child) -> Result<Process, String> {
        let mut process = Process::adopted(child.id())?;
        process.child = Some(child);
        Ok(process)
    }

    /// A running process that is not a child of this one.
    ///
    /// # Errors
    ///
    /// If there is no process with this id.
    pub fn adopted(id: u32) -> Result<Process, String> {
        let pid = i32::try_from(id)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or("invalid process id")?;
        let pidfd = pidfd_open(pid, PidfdFlags::empty())
            .map_err(|e| format!("process {id}: cannot open a pidfd: {e}"))?;
        Ok(Process {
            id,
            pidfd,
            child: None,
        })
    }

    /// Why the process exited; none while it runs.
    pub fn exit_reason(&mut self) -> Option<String> {
        if let Some(child) = &mut self.child {
            return child
                .try_wait()
                .ok()
                .flatten()
                .map(|status| status.to_string());
        }
        let mut descriptors = [PollFd::new(&self.pidfd, PollFlags::IN)];
        let exited = poll(
            &mut descriptors,
            Some(&Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            }),
        )
        .is_ok_and(|n| n > 0);
        exited.then(|| "exit status unknown: an earlier supervisor started the process".to_string())
    }

    /// Sends SIGKILL if `kill` is set, otherwise SIGTERM.
    pub fn stop(&self, kill: bool) {
        // An error means that the process has exited already.
        let _ = pidfd_send_signal(&self.pidfd, if kill { Signal::KILL } else { Signal::TERM });
    }
}
