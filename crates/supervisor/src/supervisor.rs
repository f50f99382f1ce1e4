//! The state machine of a supervisor.

use crate::catalog::ProgramCatalog;
use crate::event::{Action, Event, Observation, ProcessSlot, StopMode, WantedProgram};
use crate::persistent_state::PersistentState;
use crate::policy::RestartPolicy;
use std::time::Duration;
use wrenfork_compatibility::Program;

/// Hex digits of a program's digest that people are told.
const SHORT_DIGEST: usize = 8;

/// Which processes there are.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// None.
    Stopped {
        program: Program,
        start_at: Duration,
        /// Whether it replaces another program on purpose.
        replaces: bool,
    },
    /// One.
    Running(RunningProcess),
    /// One serves, and another one is to take over.
    TakingOver {
        old: Program,
        new: Program,
        since: Duration,
        /// One of them is being ended: it took too long.
        ending: bool,
    },
    /// One ends, and another program is started behind it.
    Replacing {
        new: Program,
        since: Duration,
        killed: bool,
    },
}

/// A process that runs alone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RunningProcess {
    program: Program,
    since: Duration,
    /// Since when it answers.
    answers_since: Option<Duration>,
    /// It is being ended: it did not answer in time.
    ending: bool,
}

/// A program that was reported as unfit.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnfitReport {
    program: Program,
    reported_at: Duration,
}

/// Decides for one ingress's process.
#[derive(Clone, Debug)]
pub struct Supervisor {
    policy: RestartPolicy,
    persistent: PersistentState,
    state: State,
    /// Crashes in a row.
    crashes: u32,
    /// What was reported to the ingress last. It is repeated: another process may answer by now.
    last_report: Option<UnfitReport>,
}

impl Supervisor {
    /// Starts on a machine on which nothing runs yet: with the proven program, else with the one wanted last, else with
    /// `first`. What has no file any more is passed over.
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

    /// What is to be on the disk before anything else is done.
    pub fn persistent_state(&self) -> &PersistentState {
        &self.persistent
    }

    /// The program that serves, or is to.
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

    /// Takes what happened; what is to be done.
    pub fn step(
        &mut self,
        now: Duration,
        event: Event,
        catalog: &dyn ProgramCatalog,
    ) -> Vec<Action> {
        match event {
            Event::Adopted(program) => {
                self.run(program, now, Some(now));
                Vec::new()
            }
            Event::Exited { slot, reason } => self.exited(now, slot, &reason),
            Event::Polled(observation) => self.polled(now, observation, catalog),
        }
    }

    /// From now on one process runs alone.
    fn run(&mut self, program: Program, since: Duration, answers_since: Option<Duration>) {
        self.state = State::Running(RunningProcess {
            program,
            since,
            answers_since,
            ending: false,
        });
    }

    fn exited(&mut self, now: Duration, slot: ProcessSlot, reason: &str) -> Vec<Action> {
        match (self.state.clone(), slot) {
            (State::Running(process), ProcessSlot::Serving) => self.crashed(now, process, reason),
            (State::TakingOver { new, .. }, ProcessSlot::Serving) => {
                // It has handed over, or has died; whichever it was, the other one goes on.
                let line = format!("{} goes on alone", new.name);
                self.run(new, now, None);
                vec![Action::Log(line)]
            }
            (State::TakingOver { old, new, .. }, ProcessSlot::Successor) => {
                self.run(old, now, Some(now));
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

    /// The only process has ended by itself: it is restarted, or the proven program in its place.
    fn crashed(&mut self, now: Duration, process: RunningProcess, reason: &str) -> Vec<Action> {
        let program = process.program;
        let proven_for = process.answers_since.map(|at| now.saturating_sub(at));
        if proven_for.is_some_and(|served| served >= self.policy.probation) {
            // One that served for long has not crashed because of how it was started.
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
        let what = if next == program {
            "again"
        } else {
            next.name.as_str()
        };
        let line = format!(
            "{} ended ({reason}): {what} in {} ms",
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

    fn polled(
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
                self.run(program.clone(), now, None);
                vec![Action::Start {
                    program,
                    slot: ProcessSlot::Serving,
                    replaces,
                }]
            }
            State::Stopped { .. } => Vec::new(),
            State::Running(process) => self.polled_running(now, process, observation, catalog),
            State::TakingOver {
                old,
                new,
                since,
                ending: false,
            } if self.is_overdue(now, since) => self.end_take_over(old, new, since, &observation),
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

    /// Ends the process that holds a take-over up.
    fn end_take_over(
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
        // Once the new one answers, the old one has nothing any more that could be lost.
        let has_taken_over = running == Some(&new) && new != old;
        self.state = State::TakingOver {
            old,
            new,
            since,
            ending: true,
        };
        vec![Action::kill(if has_taken_over {
            ProcessSlot::Serving
        } else {
            ProcessSlot::Successor
        })]
    }

    fn polled_running(
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
            let never_answered = process.answers_since.is_none() && !process.ending;
            if !never_answered || !self.is_overdue(now, process.since) {
                return Vec::new();
            }
            self.state = State::Running(RunningProcess {
                ending: true,
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
            Some(wanted) => self.other_wanted(now, program, wanted, catalog),
            None => {
                let served = now.saturating_sub(answers_since);
                self.none_other_wanted(program, settled && served >= self.policy.probation)
            }
        }
    }

    /// The program that runs is the one that is wanted.
    fn none_other_wanted(&mut self, program: Program, is_proven: bool) -> Vec<Action> {
        self.last_report = None;
        if is_proven && self.persistent.proven.as_ref() != Some(&program) {
            self.crashes = 0;
            self.persistent = PersistentState {
                wanted: Some(program.clone()),
                proven: Some(program),
                failed: None,
            };
            return vec![Action::Log("it has proven itself".into())];
        }
        let failed = self.persistent.failed.as_ref();
        if failed.is_some_and(|failed| *failed != program) {
            // It is not wanted any more.
            self.persistent.failed = None;
        }
        Vec::new()
    }

    /// Another program is wanted than the one that runs.
    fn other_wanted(
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
        if let Some(reason) = self.why_unfit(&program, &wanted, catalog) {
            return self.report_unfit_again(now, wanted, reason);
        }
        if !may_change {
            return Vec::new();
        }
        self.last_report = None;
        self.crashes = 0;
        self.persistent.wanted = Some(wanted.clone());
        let line = Action::Log(format!("changing from {} to {}", program.name, wanted.name));
        let start = if catalog.can_take_over(&program, &wanted) {
            self.take_over(now, program, wanted)
        } else {
            self.replace(now, wanted)
        };
        vec![line, start]
    }

    /// Why a wanted program can't come into service here, if it can't.
    fn why_unfit(
        &self,
        program: &Program,
        wanted: &Program,
        catalog: &dyn ProgramCatalog,
    ) -> Option<String> {
        if self.persistent.failed.as_ref() == Some(wanted) {
            return Some("it was tried here and given up".into());
        }
        if !catalog.contains(wanted) {
            let digest = &wanted.sha256[..SHORT_DIGEST];
            return Some(format!("no file here has the digest {digest}"));
        }
        if !self.policy.allow_cold_restart && !catalog.can_take_over(program, wanted) {
            return Some(format!(
                "it can't take over from {}, and the file does not say cold = true",
                program.name
            ));
        }
        None
    }

    /// Starts a successor beside the process that serves.
    fn take_over(&mut self, now: Duration, old: Program, new: Program) -> Action {
        self.state = State::TakingOver {
            old,
            new: new.clone(),
            since: now,
            ending: false,
        };
        Action::Start {
            program: new,
            slot: ProcessSlot::Successor,
            replaces: true,
        }
    }

    /// Ends the process that serves, for another program to be started behind it.
    fn replace(&mut self, now: Duration, new: Program) -> Action {
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

    /// Reports an unfit program, unless that was done lately.
    fn report_unfit_again(
        &mut self,
        now: Duration,
        program: Program,
        reason: String,
    ) -> Vec<Action> {
        let last = self.last_report.as_ref();
        let was_reported_lately = last.is_some_and(|report| {
            report.program == program && now < report.reported_at + self.policy.timeout
        });
        if was_reported_lately {
            return Vec::new();
        }
        self.report_unfit(now, program, reason)
    }
}
