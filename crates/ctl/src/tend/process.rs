//! Processes of an ingress: those that were started here, and those that an earlier keeper had started.

use rustix::event::{poll, PollFd, PollFlags};
use rustix::process::{pidfd_open, pidfd_send_signal, Pid, PidfdFlags, Signal};
use rustix::time::Timespec;
use std::os::fd::OwnedFd;
use std::process::Child;

/// A process.
pub struct Process {
    /// Its number.
    pub id: u32,
    /// Names it for as long as it is held, also where its number is another's by then.
    handle: OwnedFd,
    /// Where it was started here.
    child: Option<Child>,
}

impl Process {
    /// One that was started here.
    ///
    /// # Errors
    ///
    /// Where the system gives no handle of it.
    pub fn own(child: Child) -> Result<Process, String> {
        let mut process = Process::found(child.id())?;
        process.child = Some(child);
        Ok(process)
    }

    /// One that runs already.
    ///
    /// # Errors
    ///
    /// Where there is none by now.
    pub fn found(id: u32) -> Result<Process, String> {
        let pid = i32::try_from(id)
            .ok()
            .and_then(Pid::from_raw)
            .ok_or("no number of a process")?;
        let handle = pidfd_open(pid, PidfdFlags::empty())
            .map_err(|e| format!("process {id}: no handle: {e}"))?;
        Ok(Process {
            id,
            handle,
            child: None,
        })
    }

    /// How it has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        if let Some(child) = &mut self.child {
            return child
                .try_wait()
                .ok()
                .flatten()
                .map(|status| status.to_string());
        }
        let mut list = [PollFd::new(&self.handle, PollFlags::IN)];
        let ended = poll(
            &mut list,
            Some(&Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            }),
        )
        .is_ok_and(|n| n > 0);
        ended.then(|| "how is not known: an earlier keeper had started it".to_string())
    }

    /// Ends it, at once or as it can.
    pub fn end(&self, at_once: bool) {
        // One that has ended by itself needs no signal.
        let _ = pidfd_send_signal(
            &self.handle,
            if at_once { Signal::KILL } else { Signal::TERM },
        );
    }
}
