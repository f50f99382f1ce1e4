//! `wrenctl tend`: keeps an ingress's process on a machine without the platform. What is to be done is `wrenfork-supervisor`'s to say;
//! here it is carried out: the clients' socket is held, programs are started and ended, the ingress is asked what its group wants.

mod file;
mod process;

use crate::change::failed;
use clap::Args;
use file::Told;
pub use file::{digest, speaks};
use process::Process;
use rustix::fs::{flock, FlockOperation};
use rustix::io::{fcntl_setfd, FdFlags};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ};
use signal_hook::iterator::Signals;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode, Stdio};
use std::time::{Duration, Instant};
use wrenfork_compatibility::Program;
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse, GroupStatus};
use wrenfork_control_plane::{client, clock, PROGRAM_VARIABLE, REPLACEMENT_VARIABLE};
use wrenfork_handover::listener::{self, BorrowedListener};
use wrenfork_handover::socket_path;
use wrenfork_supervisor::{
    Action, Event, Observation, PersistentState, ProcessSlot, StopMode, Supervisor, WantedProgram,
};

/// Between two looks at the ingress and its processes.
const EVERY: Duration = Duration::from_millis(100);
/// How long the ingress may take to answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// What is remembered.
const MEMORY: &str = "tend.json";

#[derive(Args)]
pub struct Options {
    /// The file that says what is kept
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Reads the file and looks at the programs that it names, and does nothing else
    #[arg(long)]
    check: bool,
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(failed)
}

fn run(options: &Options) -> Result<ExitCode, String> {
    let told = file::read(&options.file)?;
    let wrong = told.programs.wrong();
    if options.check {
        wrong.iter().for_each(|why| {
            failed(why);
        });
        return Ok(if wrong.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    wrong.iter().for_each(|why| log(why));
    // What ends it is taken before anything is started. A file that may not grow is an error of the write, and no end.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP, SIGXFSZ])
        .map_err(|e| format!("cannot take signals: {e}"))?;
    let mut keeper = Keeper::begin(told)?;
    loop {
        match signals.pending().find(|signal| *signal != SIGXFSZ) {
            Some(SIGHUP) => {
                log("ending alone: the ingress goes on, and the next keeper finds it");
                return Ok(ExitCode::SUCCESS);
            }
            Some(_) => return keeper.end(),
            None => {}
        }
        keeper.turn()?;
        std::thread::sleep(EVERY);
    }
}

/// A line for people; where it can't be written, as on a full disk, the ingress is kept all the same.
fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "tend: {line}");
}

/// What is remembered in a folder.
fn remembered(folder: &Path) -> Result<PersistentState, String> {
    let path = folder.join(MEMORY);
    match fs::read_to_string(&path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(PersistentState::default()),
        Err(e) => Err(format!("{}: {e}", path.display())),
        Ok(text) => serde_json::from_str(&text).map_err(|e| {
            format!(
                "{}: {e}; take it away and the first program of the file is begun with",
                path.display()
            )
        }),
    }
}

/// Writes it, whole or not at all; it is on the disk once this has returned.
fn remember(folder: &Path, memory: &PersistentState) -> Result<(), String> {
    let told = |e: std::io::Error| format!("{}: {e}", folder.display());
    let text = serde_json::to_vec_pretty(memory).map_err(|e| e.to_string())?;
    let mut new = tempfile::NamedTempFile::new_in(folder).map_err(told)?;
    new.write_all(&text)
        .and_then(|()| new.as_file().sync_all())
        .map_err(told)?;
    new.persist(folder.join(MEMORY))
        .map_err(|e| told(e.error))?;
    File::open(folder).and_then(|f| f.sync_all()).map_err(told)
}

struct Keeper {
    told: Told,
    supervisor: Supervisor,
    listener: TcpListener,
    serving: Option<Process>,
    next: Option<Process>,
    /// That two don't keep one ingress.
    _lock: File,
}

impl Keeper {
    /// Finds what runs already, or binds the clients' address.
    fn begin(told: Told) -> Result<Keeper, String> {
        let failed = |e: std::io::Error| format!("{}: {e}", told.state.display());
        fs::create_dir_all(&told.state).map_err(failed)?;
        let mut options = OpenOptions::new();
        let lock = options
            .write(true)
            .create(true)
            .truncate(false)
            .open(told.state.join("lock"))
            .map_err(failed)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive)
            .map_err(|_| format!("{}: another keeper has the folder", told.state.display()))?;
        let memory = remembered(&told.state)?;
        let mut supervisor = Supervisor::new(
            told.terms.clone(),
            memory,
            told.programs.first().clone(),
            &told.programs,
        );
        let begun = Instant::now();
        let (listener, serving) = loop {
            if let Some((listener, process)) = running(&told) {
                let program = serves(&told).unwrap_or_else(|| told.programs.first().clone());
                log(&format!(
                    "{} serves already, as process {}",
                    program.name, process.id
                ));
                supervisor.step(clock::now(), Event::Adopted(program), &told.programs);
                break (listener, Some(process));
            }
            match TcpListener::bind(told.listen) {
                Ok(listener) => break (listener, None),
                // One that an earlier keeper has just started, or that is just taking over, can't be found yet.
                Err(e) if begun.elapsed() > told.terms.timeout => {
                    return Err(format!("listen: cannot listen at {}: {e}", told.listen));
                }
                Err(_) => std::thread::sleep(EVERY),
            }
        };
        // It is to pass to those that are started.
        fcntl_setfd(&listener, FdFlags::empty()).map_err(|e| format!("listen: {e}"))?;
        Ok(Keeper {
            told,
            supervisor,
            listener,
            serving,
            next: None,
            _lock: lock,
        })
    }

    /// One turn: who has ended, what the ingress says, and what is to be done.
    fn turn(&mut self) -> Result<(), String> {
        if let Some(how) = self.next.as_mut().and_then(Process::ended) {
            self.next = None;
            self.step(Event::Exited {
                slot: ProcessSlot::Successor,
                reason: how,
            });
        }
        if let Some(how) = self.serving.as_mut().and_then(Process::ended) {
            let changing = self.next.is_some();
            self.serving = self.next.take();
            match running(&self.told).filter(|_| !changing) {
                // An earlier keeper had started another one, that has taken over since.
                Some((_, process)) => {
                    let program =
                        serves(&self.told).unwrap_or_else(|| self.supervisor.program().clone());
                    self.serving = Some(process);
                    self.step(Event::Adopted(program));
                }
                None => self.step(Event::Exited {
                    slot: ProcessSlot::Serving,
                    reason: how,
                }),
            }
        }
        let seen = match asked(&self.told) {
            None => Observation::NoAnswer,
            Some(GroupStatus {
                running_program: runs,
                wanted_program: wants,
                may_upgrade: turn,
                rollout,
                ..
            }) => Observation::Status {
                running: runs.and_then(|text| Program::parse(&text).ok()),
                wanted: wants.and_then(|text| {
                    Some(WantedProgram {
                        program: Program::parse(&text).ok()?,
                        may_change: turn,
                    })
                }),
                settled: rollout.is_none_or(|phase| phase.ended()),
            },
        };
        self.step(Event::Polled(seen));
        Ok(())
    }

    /// Takes what happened, and does what comes of it. What is to be remembered is on the disk first.
    fn step(&mut self, event: Event) {
        let (before, looked) = (self.supervisor.clone(), matches!(event, Event::Polled(_)));
        let actions = self
            .supervisor
            .step(clock::now(), event, &self.told.programs);
        if self.supervisor.persistent_state() != before.persistent_state() {
            if let Err(why) = remember(&self.told.state, self.supervisor.persistent_state()) {
                log(&format!("cannot remember: {why}"));
                if looked {
                    // Nothing has happened, and it is tried again at the next look.
                    self.supervisor = before;
                    return;
                }
            }
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Log(line) => log(&line),
            Action::Start {
                program,
                slot,
                replaces,
            } => match self.start(&program, replaces) {
                Ok(process) => {
                    log(&format!(
                        "{} started as process {}",
                        program.name, process.id
                    ));
                    *self.place(slot) = Some(process);
                }
                Err(reason) => self.step(Event::Exited { slot, reason }),
            },
            Action::Stop { slot, mode } => {
                if let Some(process) = self.place(slot) {
                    process.end(mode == StopMode::Kill);
                }
            }
            Action::ReportUnfit {
                program,
                reason: why,
            } => {
                let unfit = GroupRequest::ProgramUnfit {
                    program: program.to_string(),
                    reason: why,
                };
                if let Err(why) =
                    client::request::<_, GroupResponse>(&self.told.control, &unfit, PATIENCE)
                {
                    log(&format!("the ingress could not be told: {why}"));
                }
            }
        }
    }

    fn place(&mut self, slot: ProcessSlot) -> &mut Option<Process> {
        match slot {
            ProcessSlot::Serving => &mut self.serving,
            ProcessSlot::Successor => &mut self.next,
        }
    }

    fn start(&self, program: &Program, changed: bool) -> Result<Process, String> {
        let path = self.told.programs.path(program)?;
        let mut command = Command::new(path);
        command.args(&self.told.arguments).stdin(Stdio::null());
        command.env("LB_PASSED_SOCKET", self.listener.as_raw_fd().to_string());
        command.env(PROGRAM_VARIABLE, program.to_string());
        match changed {
            true => command.env(REPLACEMENT_VARIABLE, "1"),
            false => command.env_remove(REPLACEMENT_VARIABLE),
        };
        if let Some(to) = &self.told.log {
            let open = OpenOptions::new().create(true).append(true).open(to);
            command.stderr(open.map_err(|e| format!("{}: {e}", to.display()))?);
        }
        Process::own(
            command
                .spawn()
                .map_err(|e| format!("{}: {e}", path.display()))?,
        )
    }

    /// Ends the ingress, and waits for that.
    fn end(mut self) -> Result<ExitCode, String> {
        log("ending the ingress");
        let begun = Instant::now();
        for process in [self.serving.as_mut(), self.next.as_mut()]
            .into_iter()
            .flatten()
        {
            process.end(false);
            while process.ended().is_none() {
                if begun.elapsed() > self.told.terms.timeout {
                    process.end(true);
                }
                std::thread::sleep(EVERY / 10);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// The process that serves, with the clients' socket, if there is one.
fn running(told: &Told) -> Option<(TcpListener, Process)> {
    let BorrowedListener {
        listener,
        process_id,
    } = listener::borrow(&socket_path(told.listen)).ok().flatten()?;
    Some((
        TcpListener::from(listener),
        Process::found(process_id).ok()?,
    ))
}

/// The program that serves, where it says so.
fn serves(told: &Told) -> Option<Program> {
    Program::parse(&asked(told)?.running_program?).ok()
}

/// How the ingress stands, as it says itself.
fn asked(told: &Told) -> Option<GroupStatus> {
    match client::request(&told.control, &GroupRequest::Status, PATIENCE) {
        Ok(GroupResponse::Status(stand)) => Some(*stand),
        // It belongs to no group, which wants nothing then.
        Ok(GroupResponse::Rejected { .. }) => Some(GroupStatus {
            may_upgrade: true,
            ..GroupStatus::default()
        }),
        _ => None,
    }
}
