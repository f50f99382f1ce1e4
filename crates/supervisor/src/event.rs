//! What a supervisor is told, and what it wants done.

use wrenfork_compatibility::Program;

/// One of the two processes that a supervisor has at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSlot {
    /// The one that serves, or is to.
    Serving,
    /// The one that is to take over from it.
    Successor,
}

/// A program that the group wants an ingress to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedProgram {
    /// Which.
    pub program: Program,
    /// Whether the ingress may change to it now.
    pub may_change: bool,
}

/// What an ingress answers when it is asked for its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// Nothing.
    NoAnswer,
    /// Its status.
    Status {
        /// The program that answers.
        running: Option<Program>,
        /// What its group wants it to run.
        wanted: Option<WantedProgram>,
        /// Whether no rollout is under way.
        settled: bool,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process was found that an earlier supervisor had started.
    Adopted(Program),
    /// The ingress was asked for its status; this happens some times a second.
    Polled(Observation),
    /// A process has ended.
    Exited {
        /// Which.
        slot: ProcessSlot,
        /// How, in words.
        reason: String,
    },
}

/// How a process is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// By itself, with what it has open.
    Graceful,
    /// At once.
    Kill,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a program.
    Start {
        /// Which.
        program: Program,
        /// For which slot: a successor is to take over from the process that serves.
        slot: ProcessSlot,
        /// Whether it replaces another program on purpose: whoever judges it must not take its start for a crash.
        replaces: bool,
    },
    /// End a process.
    Stop {
        /// Which.
        slot: ProcessSlot,
        /// How.
        mode: StopMode,
    },
    /// Tell the ingress that serves that a program does not come into service here.
    ReportUnfit {
        /// Which.
        program: Program,
        /// Why, in words.
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
