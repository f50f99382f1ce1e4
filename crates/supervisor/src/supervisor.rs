//! The state machine of a supervisor.

use crate::catalog::ProgramCatalog;
use crate::event::{Action, Event, Observation, ProcessSlot, StopMode, WantedProgram};
use crate::persistent_state::PersistentState;
use crate::policy::RestartPolicy;
use std::time::Duration;
use wrenfork_compatibility::Program;

/// Number of hex digits of a digest shown in messages.
const SHORT_DIGEST_DIGITS: usize = 8;

/// The processes that currently exist.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// No process exists; `program` is started at `start_at`.
    Stopped {
        program: Program,
        start_at: Duration,
        /// Whether the program intentionally replaces another one.
        replaces: bool,
    },
    /// One process exists and serves or is starting.
    Running(RunningProcess),
    /// One process serves, and a second one was started to take over from it.
    TakingOver {
        old: Program,
        new: Program,
        since: Duration,
        /// Whether one of the processes was killed because the handover took too long.
        killed: bool,
    },
    /// The old process is shutting down. `new` is started after it has ended.
    Replacing {
        new: Program,
        since: Duration,
        killed: bool,
    },
}

/// The only process.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RunningProcess {
    program: Program,
    since: Duration,
    /// Time of its first answer to a status request. `None` until it answers.
    answers_since: Option<Duration>,
    /// Whether the process was killed because it did not answer in time.
    killed: bool,
}

/// A report that a program is unfit for this machine.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnfitReport {
    program: Program,
    reported_at: Duration,
}

/// The state machine that supervises the process of one ingress.
#[derive(Clone, Debug)]
pub struct Supervisor {
    policy: RestartPolicy,
    persistent: PersistentState,
    state: State,
    /// Number of consecutive crashes.
    crashes: u32,
    /// The last report of an unfit program. It is repeated from time to time, because another process may have started to
    /// answer since.
    last_report: Option<UnfitReport>,
}

impl Supervisor {
    /// Creates a supervisor for a machine on which no process runs yet. It starts the proven program, otherwise the one wanted
    /// last, otherwise `first`. The proven and the wanted program are skipped if their files no longer exist, the wanted one
    /// also if it failed here.
    pub fn new(
        policy: RestartPolicy,
        persistent: PersistentState,
        first: Program,
        catalog: &dyn ProgramCatalog,
    ) -> Supervisor {
        let failed = persistent.failed.as_ref();
        let wanted = persistent.wanted.iter().filter(|p| failed != Some(*p));
        let mut candidates = persistent.proven.iter().chain(wanted);
        let program = candidates.find(|p| catalog.contains(p)).cloned();
        Supervisor {
            state: State::Stopped {
                program: program.unwrap_or(first),
                start_at: Duration::ZERO,
                replaces: false,
            },
            policy,
            persistent,
            crashes: 0,
            last_report: None,
        }
    }

    /// The state to store on disk. The caller must store it before it carries out the actions of a step.
    pub fn persistent_state(&self) -> &PersistentState {
        &self.persistent
    }

    /// The program that serves or will be started to serve.
    pub fn program(&self) -> &Program {
        match &self.state {
            State::Stopped { program, .. } => program,
            State::Running(process) => &process.program,
            State::TakingOver { old, .. } => old,
            State::Replacing { new, .. } => new,
        }
    }

    /// Whether one process is being replaced by another.
    pub fn is_changing(&self) -> bool {
        matches!(
            self.state,
            State::TakingOver { .. } | State::Replacing { .. }
        )
    }

    /// Handles an event at time `now` and returns the actions to carry out, in order.
    pub fn step(
        &mut self,
        now: Duration,
        event: Event,
        catalog: &dyn ProgramCatalog,
    ) -> Vec<Action> {
        match event {
            Event::Adopted(program) => {
                self.enter_running(program, now, Some(now));
                Vec::new()
            }
            Event::Exited { slot, reason } => self.handle_exit(now, slot, &reason),
            Event::Polled(observation) => self.handle_poll(now, observation, catalog),
        }
    }

    /// Enters the state in which `program` is the only process.
    fn enter_running(
        &mut self,
        program: Program,
        since: Duration,
        answers_since: Option<Duration>,
    ) {
        self.state = State::Running(RunningProcess {
            program,
            since,
            answers_since,
            killed: false,
        });
    }

    fn handle_exit(&mut self, now: Duration, slot: ProcessSlot, reason: &str) -> Vec<Action> {
        match (self.state.clone(), slot) {
            (State::Running(process), ProcessSlot::Serving) => {
                self.handle_crash(now, process, reason)
            }
            (State::TakingOver { new, .. }, ProcessSlot::Serving) => {
                // The old process has handed over or crashed. In both cases the new one continues.
                let line = format!(
                    "the previous process has ended: {} is now the only process",
                    new.name
                );
                self.enter_running(new, now, None);
                vec![Action::Log(line)]
            }
            (State::TakingOver { old, new, .. }, ProcessSlot::Successor) => {
                self.enter_running(old, now, Some(now));
                self.persistent.failed = Some(new.clone());
                let reason = format!("it did not come into service: {reason}");
                self.report_unfit(now, new, reason)
            }
            (State::Replacing { new, .. }, ProcessSlot::Serving) => {
                self.state = State::Stopped {
                    program: new,
                    start_at: now,
                    replaces: true,
                };
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Handles a crash of the only process: schedules a restart, or the start of the proven program in its place.
    fn handle_crash(
        &mut self,
        now: Duration,
        process: RunningProcess,
        reason: &str,
    ) -> Vec<Action> {
        let program = process.program;
        let served_for = process.answers_since.map(|at| now.saturating_sub(at));
        if served_for.is_some_and(|served| served >= self.policy.probation) {
            // A process that served through its probation did not crash because of its start, so the backoff begins again.
            self.crashes = 0;
        }
        self.crashes += 1;
        let mut next = program.clone();
        let proven = self.persistent.proven.clone().filter(|p| *p != program);
        if let Some(proven) = proven.filter(|_| self.crashes >= self.policy.max_crashes) {
            self.persistent.failed = Some(program.clone());
            next = proven;
            self.crashes = 1;
        }
        let backoff = self.policy.backoff(self.crashes);
        let next_name = if next == program {
            "the same program"
        } else {
            next.name.as_str()
        };
        let line = format!(
            "{} ended ({reason}): starting {next_name} in {} ms",
            program.name,
            backoff.as_millis()
        );
        self.state = State::Stopped {
            program: next,
            start_at: now + backoff,
            replaces: false,
        };
        vec![Action::Log(line)]
    }

    fn is_overdue(&self, now: Duration, since: Duration) -> bool {
        now.saturating_sub(since) > self.policy.timeout
    }

    fn handle_poll(
        &mut self,
        now: Duration,
        observation: Observation,
        catalog: &dyn ProgramCatalog,
    ) -> Vec<Action> {
        match self.state.clone() {
            State::Stopped {
                program,
                start_at,
                replaces,
            } if now >= start_at => {
                self.enter_running(program.clone(), now, None);
                vec![Action::Start {
                    program,
                    slot: ProcessSlot::Serving,
                    replaces,
                }]
            }
            State::Stopped { .. } => Vec::new(),
            State::Running(process) => self.handle_poll_running(now, process, observation, catalog),
            State::TakingOver {
                old,
                new,
                since,
                killed: false,
            } if self.is_overdue(now, since) => {
                self.kill_delaying_process(old, new, since, &observation)
            }
            State::TakingOver { .. } => Vec::new(),
            State::Replacing {
                new,
                since,
                killed: false,
            } if self.is_overdue(now, since) => {
                self.state = State::Replacing {
                    new,
                    since,
                    killed: true,
                };
                vec![Action::kill(ProcessSlot::Serving)]
            }
            State::Replacing { .. } => Vec::new(),
        }
    }

    /// Kills the process that delays a handover.
    fn kill_delaying_process(
        &mut self,
        old: Program,
        new: Program,
        since: Duration,
        observation: &Observation,
    ) -> Vec<Action> {
        let running = match observation {
            Observation::Status { running, .. } => running.as_ref(),
            Observation::NoAnswer => None,
        };
        // Once the new process answers, it has taken over all state, so that killing the old one loses nothing.
        let has_taken_over = running == Some(&new) && new != old;
        self.state = State::TakingOver {
            old,
            new,
            since,
            killed: true,
        };
        vec![Action::kill(if has_taken_over {
            ProcessSlot::Serving
        } else {
            ProcessSlot::Successor
        })]
    }

    fn handle_poll_running(
        &mut self,
        now: Duration,
        process: RunningProcess,
        observation: Observation,
        catalog: &dyn ProgramCatalog,
    ) -> Vec<Action> {
        let Observation::Status {
            wanted, settled, ..
        } = observation
        else {
            let never_answered = process.answers_since.is_none() && !process.killed;
            if !never_answered || !self.is_overdue(now, process.since) {
                return Vec::new();
            }
            self.state = State::Running(RunningProcess {
                killed: true,
                ..process
            });
            return vec![Action::kill(ProcessSlot::Serving)];
        };
        let answers_since = process.answers_since.unwrap_or(now);
        let program = process.program.clone();
        self.state = State::Running(RunningProcess {
            answers_since: Some(answers_since),
            ..process
        });
        match wanted.filter(|wanted| wanted.program != program) {
            Some(wanted) => self.handle_other_wanted(now, program, wanted, catalog),
            None => {
                let served = now.saturating_sub(answers_since);
                self.handle_same_wanted(program, settled && served >= self.policy.probation)
            }
        }
    }

    /// Handles a status in which no other program than the running one is wanted.
    fn handle_same_wanted(&mut self, program: Program, is_proven: bool) -> Vec<Action> {
        self.last_report = None;
        if is_proven && self.persistent.proven.as_ref() != Some(&program) {
            self.crashes = 0;
            self.persistent = PersistentState {
                wanted: Some(program.clone()),
                proven: Some(program),
                failed: None,
            };
            return vec![Action::Log(
                "the program has served through its probation and is now proven".into(),
            )];
        }
        let failed = self.persistent.failed.as_ref();
        if failed.is_some_and(|failed| *failed != program) {
            // The failed program is no longer wanted, so it may be tried again if it is wanted later.
            self.persistent.failed = None;
        }
        Vec::new()
    }

    /// Handles a status in which another program than the running one is wanted.
    fn handle_other_wanted(
        &mut self,
        now: Duration,
        program: Program,
        wanted: WantedProgram,
        catalog: &dyn ProgramCatalog,
    ) -> Vec<Action> {
        let WantedProgram {
            program: wanted,
            may_change,
        } = wanted;
        if let Some(reason) = self.unfit_reason(&program, &wanted, catalog) {
            return self.report_unfit_if_due(now, wanted, reason);
        }
        if !may_change {
            return Vec::new();
        }
        self.last_report = None;
        self.crashes = 0;
        self.persistent.wanted = Some(wanted.clone());
        let line = Action::Log(format!("changing from {} to {}", program.name, wanted.name));
        let start = if catalog.can_take_over(&program, &wanted) {
            self.start_take_over(now, program, wanted)
        } else {
            self.start_replacement(now, wanted)
        };
        vec![line, start]
    }

    /// The reason why a wanted program cannot run on this machine, or `None` if it can.
    fn unfit_reason(
        &self,
        program: &Program,
        wanted: &Program,
        catalog: &dyn ProgramCatalog,
    ) -> Option<String> {
        if self.persistent.failed.as_ref() == Some(wanted) {
            return Some("it failed on this machine before".into());
        }
        if !catalog.contains(wanted) {
            let digest = &wanted.sha256[..SHORT_DIGEST_DIGITS];
            return Some(format!("no file on this machine has the digest {digest}"));
        }
        if !self.policy.allow_cold_restart && !catalog.can_take_over(program, wanted) {
            return Some(format!(
                "it cannot take over from {}, and the configuration does not set cold = true",
                program.name
            ));
        }
        None
    }

    /// Starts a successor beside the serving process.
    fn start_take_over(&mut self, now: Duration, old: Program, new: Program) -> Action {
        self.state = State::TakingOver {
            old,
            new: new.clone(),
            since: now,
            killed: false,
        };
        Action::Start {
            program: new,
            slot: ProcessSlot::Successor,
            replaces: true,
        }
    }

    /// Stops the serving process. The new program is started after it has ended.
    fn start_replacement(&mut self, now: Duration, new: Program) -> Action {
        self.state = State::Replacing {
            new,
            since: now,
            killed: false,
        };
        Action::Stop {
            slot: ProcessSlot::Serving,
            mode: StopMode::Graceful,
        }
    }

    fn report_unfit(&mut self, now: Duration, program: Program, reason: String) -> Vec<Action> {
        self.last_report = Some(UnfitReport {
            program: program.clone(),
            reported_at: now,
        });
        vec![
            Action::Log(format!("{}: {reason}", program.name)),
            Action::ReportUnfit { program, reason },
        ]
    }

    /// Reports an unfit program, unless the same report was made within the last [`RestartPolicy::timeout`].
    fn report_unfit_if_due(
        &mut self,
        now: Duration,
        program: Program,
        reason: String,
    ) -> Vec<Action> {
        let last = self.last_report.as_ref();
        let was_reported_recently = last.is_some_and(|report| {
            report.program == program && now < report.reported_at + self.policy.timeout
        });
        if was_reported_recently {
            return Vec::new();
        }
        self.report_unfit(now, program, reason)
    }
}
