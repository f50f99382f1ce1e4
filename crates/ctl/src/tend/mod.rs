//! `wrenctl tend`: supervises an ingress process on a machine without the platform. `wrenfork-supervisor` decides what to
//! do; this module holds the listening socket, starts and stops processes, and polls the ingress for what its group wants.

mod file;
mod process;

use crate::change::failed;
use clap::Args;
use file::TendFile;
pub use file::{digest, format_versions};
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

/// Interval at which the ingress and its processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a request to the ingress's control socket.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);
/// Name of the file with the supervisor's saved state.
const STATE_FILE: &str = "tend.json";

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
    let file = file::read(&options.file)?;
    let errors = file.programs.errors();
    if options.check {
        errors.iter().for_each(|reason| {
            failed(reason);
        });
        return Ok(if errors.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        });
    }
    errors.iter().for_each(|reason| log(reason));
    // Handlers are registered before any process is started. SIGXFSZ is caught so that a write beyond the file size limit
    // fails with an error instead of ending this process.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP, SIGXFSZ])
        .map_err(|e| format!("cannot register signal handlers: {e}"))?;
    let mut tender = Tender::start(file)?;
    loop {
        match signals.pending().find(|signal| *signal != SIGXFSZ) {
            Some(SIGHUP) => {
                log("exiting without stopping the ingress: the next supervisor adopts it");
                return Ok(ExitCode::SUCCESS);
            }
            Some(_) => return tender.shut_down(),
            None => {}
        }
        tender.poll()?;
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Writes a log line. A failed write, as on a full disk, is ignored so that the ingress stays supervised.
fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "tend: {line}");
}

/// Loads the saved state from a folder; the default if there is none.
fn load_state(folder: &Path) -> Result<PersistentState, String> {
    let path = folder.join(STATE_FILE);
    match fs::read_to_string(&path) {
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(PersistentState::default()),
        Err(e) => Err(format!("{}: {e}", path.display())),
        Ok(text) => serde_json::from_str(&text).map_err(|e| {
            format!(
                "{}: {e}; remove it to start with the first program of the file",
                path.display()
            )
        }),
    }
}

/// Replaces the saved state atomically. It is synced to disk when this returns.
fn save_state(folder: &Path, state: &PersistentState) -> Result<(), String> {
    let in_folder = |e: std::io::Error| format!("{}: {e}", folder.display());
    let text = serde_json::to_vec_pretty(state).map_err(|e| e.to_string())?;
    let mut temporary = tempfile::NamedTempFile::new_in(folder).map_err(in_folder)?;
    temporary
        .write_all(&text)
        .and_then(|()| temporary.as_file().sync_all())
        .map_err(in_folder)?;
    temporary
        .persist(folder.join(STATE_FILE))
        .map_err(|e| in_folder(e.error))?;
    File::open(folder)
        .and_then(|f| f.sync_all())
        .map_err(in_folder)
}

/// A supervised ingress: its settings, listening socket and processes.
struct Tender {
    file: TendFile,
    supervisor: Supervisor,
    listener: TcpListener,
    serving: Option<Process>,
    successor: Option<Process>,
    /// Held so that no second supervisor runs for the same ingress.
    _lock: File,
}

impl Tender {
    /// Adopts a running ingress, or binds the listening address if there is none.
    fn start(file: TendFile) -> Result<Tender, String> {
        let failed = |e: std::io::Error| format!("{}: {e}", file.state.display());
        fs::create_dir_all(&file.state).map_err(failed)?;
        let mut options = OpenOptions::new();
        let lock = options
            .write(true)
            .create(true)
            .truncate(false)
            .open(file.state.join("lock"))
            .map_err(failed)?;
        flock(&lock, FlockOperation::NonBlockingLockExclusive).map_err(|_| {
            format!(
                "{}: another supervisor holds the folder's lock",
                file.state.display()
            )
        })?;
        let state = load_state(&file.state)?;
        let mut supervisor = Supervisor::new(
            file.policy.clone(),
            state,
            file.programs.first().clone(),
            &file.programs,
        );
        let started = Instant::now();
        let (listener, serving) = loop {
            if let Some((listener, process)) = find_running(&file) {
                let program =
                    running_program(&file).unwrap_or_else(|| file.programs.first().clone());
                log(&format!(
                    "{} already runs, as process {}",
                    program.name, process.id
                ));
                supervisor.step(clock::now(), Event::Adopted(program), &file.programs);
                break (listener, Some(process));
            }
            match TcpListener::bind(file.listen) {
                Ok(listener) => break (listener, None),
                // A process that was just started or is taking over holds the address but cannot be found yet.
                Err(e) if started.elapsed() > file.policy.timeout => {
                    return Err(format!("listen: cannot listen at {}: {e}", file.listen));
                }
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        };
        // Clear close-on-exec, so that started processes inherit the socket.
        fcntl_setfd(&listener, FdFlags::empty()).map_err(|e| format!("listen: {e}"))?;
        Ok(Tender {
            file,
            supervisor,
            listener,
            serving,
            successor: None,
            _lock: lock,
        })
    }

    /// One iteration: reports exited processes and the ingress's status to the supervisor and performs its actions.
    fn poll(&mut self) -> Result<(), String> {
        if let Some(reason) = self.successor.as_mut().and_then(Process::exit_reason) {
            self.successor = None;
            self.step(Event::Exited {
                slot: ProcessSlot::Successor,
                reason,
            });
        }
        if let Some(reason) = self.serving.as_mut().and_then(Process::exit_reason) {
            let changing = self.successor.is_some();
            self.serving = self.successor.take();
            match find_running(&self.file).filter(|_| !changing) {
                // A process started by an earlier supervisor has taken over in the meantime.
                Some((_, process)) => {
                    let program = running_program(&self.file)
                        .unwrap_or_else(|| self.supervisor.program().clone());
                    self.serving = Some(process);
                    self.step(Event::Adopted(program));
                }
                None => self.step(Event::Exited {
                    slot: ProcessSlot::Serving,
                    reason,
                }),
            }
        }
        let observation = match query_status(&self.file) {
            None => Observation::NoAnswer,
            Some(GroupStatus {
                running_program: running,
                wanted_program: wanted,
                may_upgrade: may_change,
                rollout,
                ..
            }) => Observation::Status {
                running: running.and_then(|text| Program::parse(&text).ok()),
                wanted: wanted.and_then(|text| {
                    Some(WantedProgram {
                        program: Program::parse(&text).ok()?,
                        may_change,
                    })
                }),
                settled: rollout.is_none_or(|phase| phase.ended()),
            },
        };
        self.step(Event::Polled(observation));
        Ok(())
    }

    /// Passes an event to the supervisor and performs its actions. Changed state is saved before any action.
    fn step(&mut self, event: Event) {
        let (before, polled) = (self.supervisor.clone(), matches!(event, Event::Polled(_)));
        let actions = self
            .supervisor
            .step(clock::now(), event, &self.file.programs);
        if self.supervisor.persistent_state() != before.persistent_state() {
            if let Err(reason) = save_state(&self.file.state, self.supervisor.persistent_state()) {
                log(&format!("cannot save the state: {reason}"));
                if polled {
                    // Drop the event and its actions; the next poll retries.
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
            } => match self.spawn(&program, replaces) {
                Ok(process) => {
                    log(&format!(
                        "{} started as process {}",
                        program.name, process.id
                    ));
                    *self.slot(slot) = Some(process);
                }
                Err(reason) => self.step(Event::Exited { slot, reason }),
            },
            Action::Stop { slot, mode } => {
                if let Some(process) = self.slot(slot) {
                    process.stop(mode == StopMode::Kill);
                }
            }
            Action::ReportUnfit { program, reason } => {
                let unfit = GroupRequest::ProgramUnfit {
                    program: program.to_string(),
                    reason,
                };
                if let Err(reason) =
                    client::request::<_, GroupResponse>(&self.file.control, &unfit, CONTROL_TIMEOUT)
                {
                    log(&format!(
                        "cannot report the unfit program to the ingress: {reason}"
                    ));
                }
            }
        }
    }

    fn slot(&mut self, slot: ProcessSlot) -> &mut Option<Process> {
        match slot {
            ProcessSlot::Serving => &mut self.serving,
            ProcessSlot::Successor => &mut self.successor,
        }
    }

    fn spawn(&self, program: &Program, replaces: bool) -> Result<Process, String> {
        let path = self.file.programs.path(program)?;
        let mut command = Command::new(path);
        command.args(&self.file.arguments).stdin(Stdio::null());
        command.env("LB_PASSED_SOCKET", self.listener.as_raw_fd().to_string());
        command.env(PROGRAM_VARIABLE, program.to_string());
        match replaces {
            true => command.env(REPLACEMENT_VARIABLE, "1"),
            false => command.env_remove(REPLACEMENT_VARIABLE),
        };
        if let Some(path) = &self.file.log {
            let open = OpenOptions::new().create(true).append(true).open(path);
            command.stderr(open.map_err(|e| format!("{}: {e}", path.display()))?);
        }
        Process::spawned(
            command
                .spawn()
                .map_err(|e| format!("{}: {e}", path.display()))?,
        )
    }

    /// Stops the ingress and waits for its processes to exit; they are killed after the timeout.
    fn shut_down(mut self) -> Result<ExitCode, String> {
        log("stopping the ingress");
        let started = Instant::now();
        for process in [self.serving.as_mut(), self.successor.as_mut()]
            .into_iter()
            .flatten()
        {
            process.stop(false);
            while process.exit_reason().is_none() {
                if started.elapsed() > self.file.policy.timeout {
                    process.stop(true);
                }
                std::thread::sleep(POLL_INTERVAL / 10);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// The serving process and its listening socket, if there is one.
fn find_running(file: &TendFile) -> Option<(TcpListener, Process)> {
    let BorrowedListener {
        listener,
        process_id,
    } = listener::borrow(&socket_path(file.listen)).ok().flatten()?;
    Some((
        TcpListener::from(listener),
        Process::adopted(process_id).ok()?,
    ))
}

/// The program that the ingress reports to run, if it answers.
fn running_program(file: &TendFile) -> Option<Program> {
    Program::parse(&query_status(file)?.running_program?).ok()
}

/// Requests the status of the ingress; none if it does not answer.
fn query_status(file: &TendFile) -> Option<GroupStatus> {
    match client::request(&file.control, &GroupRequest::Status, CONTROL_TIMEOUT) {
        Ok(GroupResponse::Status(status)) => Some(*status),
        // An ingress without a group rejects the request: no group wants another program.
        Ok(GroupResponse::Rejected { .. }) => Some(GroupStatus {
            may_upgrade: true,
            ..GroupStatus::default()
        }),
        _ => None,
    }
}
