//! Events reported to a supervisor, and the actions that it requests.

use wrenfork_compatibility::Program;

/// One of the at most two processes of a supervisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSlot {
    /// The process that serves or is starting to serve.
    Serving,
    /// The process that is started to take over from the serving one.
    Successor,
}

/// A program that the group wants an ingress to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedProgram {
    /// The program that the group wants.
    pub program: Program,
    /// Whether the ingress may change to it now.
    pub may_change: bool,
}

/// Answer of an ingress to a status request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The ingress did not answer.
    NoAnswer,
    /// The ingress answered with its status.
    Status {
        /// The program that answered. `None` if it did not report one.
        running: Option<Program>,
        /// The program that the group wants the ingress to run.
        wanted: Option<WantedProgram>,
        /// Whether no rollout is in progress.
        settled: bool,
    },
}

/// An event reported to a supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A running process was found that an earlier supervisor started.
    Adopted(Program),
    /// The ingress was polled for its status. This happens several times a second.
    Polled(Observation),
    /// A process has ended.
    Exited {
        /// Slot of the process.
        slot: ProcessSlot,
        /// Description of how it ended, such as its exit status.
        reason: String,
    },
}

/// How to stop a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// Ask the process to shut down and finish its open requests.
    Graceful,
    /// Kill the process immediately.
    Kill,
}

/// An action that a supervisor requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a program.
    Start {
        /// The program to start.
        program: Program,
        /// Slot of the new process. A successor takes over from the serving process.
        slot: ProcessSlot,
        /// Whether the program intentionally replaces another one, so that the start must not be counted as a crash.
        replaces: bool,
    },
    /// Stop a process.
    Stop {
        /// Slot of the process.
        slot: ProcessSlot,
        /// How to stop it.
        mode: StopMode,
    },
    /// Report to the serving ingress that a program cannot run on this machine.
    ReportUnfit {
        /// The unfit program.
        program: Program,
        /// Why it is unfit, for operators.
        reason: String,
    },
    /// Write a line to the log.
    Log(String),
}

impl Action {
    pub(crate) fn kill(slot: ProcessSlot) -> Action {
        Action::Stop {
            slot,
            mode: StopMode::Kill,
        }
    }
}
