//! Decides for whoever keeps the process of an ingress on a machine without the platform: which program runs, when it is started
//! again after a crash, when another one is started beside it, and which one is gone back to. No I/O and no clock; time is told
//! as a [`Duration`] since any moment.
//!
//! Whoever carries this out tells what happens by [`Tend::step`] and does what comes back, in its order.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wrenfork_compatibility::Program;

/// What is asked of a keeper.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Terms {
    /// The pause before a crashed process is started again; it doubles with each crash in a row.
    pub pause: Duration,
    /// The longest of these.
    pub longest: Duration,
    /// How long a process may take until it answers, or has taken over; as long for its end.
    pub patience: Duration,
    /// How long a program must have served, with nothing else wanted, until it counts as proven.
    pub prove: Duration,
    /// Crashes in a row after which a program that is not proven is given up for the proven one.
    pub tries: u32,
    /// Whether the old process is ended before the new one begins, where no handover is possible.
    pub cold: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            pause: Duration::from_millis(200),
            longest: Duration::from_secs(30),
            patience: Duration::from_secs(10),
            prove: Duration::from_secs(60),
            tries: 3,
            cold: false,
        }
    }
}

/// What is kept on the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Memory {
    /// What the group wanted last.
    pub wanted: Option<Program>,
    /// The last one that has proven itself: what a machine begins with.
    pub proven: Option<Program>,
    /// The one that was given up, until another one is wanted.
    pub failed: Option<Program>,
}

/// Which of the two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// The one that serves, or is to.
    Serving,
    /// The one that is to take over from it.
    Next,
}

/// What the ingress says when it is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing.
    Silent,
    /// How it stands.
    Says {
        /// The program that answers.
        runs: Option<Program>,
        /// What its group wants it to run, and whether it is its turn to change.
        wanted: Option<(Program, bool)>,
        /// Whether no rollout is under way.
        settled: bool,
    },
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A process was found that an earlier keeper had started.
    Found(Program),
    /// The ingress was asked; some times a second.
    Looked(Seen),
    /// A process has ended.
    Ended(Which, String),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a program: alone, or beside the one that serves, to take over from it.
    Start {
        /// Which.
        program: Program,
        /// Whether another one serves.
        beside: bool,
        /// Whether it comes in another's place on purpose: whoever judges it must not take its start for a crash.
        changed: bool,
    },
    /// End a process, at once or as it can.
    Stop(Which, bool),
    /// Tell the ingress that serves that a program does not come into service here.
    Tell(Program, String),
    /// A line for people.
    Log(String),
}

/// What is known of a program's file.
pub trait Catalog {
    /// Whether there is a file with that digest.
    fn has(&self, program: &Program) -> bool;

    /// Whether the one can take over from the other while that serves.
    fn hands_over(&self, old: &Program, new: &Program) -> bool;
}

/// Where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Nothing runs.
    Down {
        program: Program,
        at: Duration,
        changed: bool,
    },
    /// One process; since when, and since when it answers.
    Alone {
        program: Program,
        since: Duration,
        answers: Option<Duration>,
        ending: bool,
    },
    /// Another one is to take over.
    Both {
        old: Program,
        new: Program,
        since: Duration,
        ending: bool,
    },
    /// One ends, for another one to begin.
    Between {
        to: Program,
        since: Duration,
        hard: bool,
    },
}

/// Whoever keeps the process.
#[derive(Clone, Debug)]
pub struct Tend {
    terms: Terms,
    memory: Memory,
    state: State,
    /// Crashes in a row.
    crashes: u32,
    /// What was told to the ingress last as not to be had, and when: it may have been another process.
    told: Option<(Program, Duration)>,
}

impl Tend {
    /// Begins on a machine on which nothing runs yet: with the proven one, else with what was wanted last, else with `first`; what has
    /// no file any more is passed over.
    pub fn new(terms: Terms, memory: Memory, first: Program, catalog: &dyn Catalog) -> Tend {
        let wanted = memory
            .wanted
            .clone()
            .filter(|p| memory.failed.as_ref() != Some(p));
        let mut may = memory
            .proven
            .iter()
            .cloned()
            .chain(wanted)
            .filter(|p| catalog.has(p));
        let program = may.next().unwrap_or(first);
        let state = State::Down {
            program,
            at: Duration::ZERO,
            changed: false,
        };
        Tend {
            terms,
            memory,
            state,
            crashes: 0,
            told: None,
        }
    }

    /// What is to be on the disk before anything else is done.
    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The program that serves, or is to.
    pub fn program(&self) -> &Program {
        match &self.state {
            State::Down { program, .. } | State::Alone { program, .. } => program,
            State::Both { old, .. } => old,
            State::Between { to, .. } => to,
        }
    }

    /// Whether one process changes into another at this moment.
    pub fn changing(&self) -> bool {
        matches!(self.state, State::Both { .. } | State::Between { .. })
    }

    /// Takes what happened; what is to be done.
    pub fn step(&mut self, now: Duration, event: Event, catalog: &dyn Catalog) -> Vec<Action> {
        match event {
            Event::Found(program) => {
                self.state = State::Alone {
                    program,
                    since: now,
                    answers: Some(now),
                    ending: false,
                };
                Vec::new()
            }
            Event::Ended(which, how) => self.ended(now, which, &how),
            Event::Looked(seen) => self.looked(now, seen, catalog),
        }
    }

    fn ended(&mut self, now: Duration, which: Which, how: &str) -> Vec<Action> {
        match (self.state.clone(), which) {
            (
                State::Alone {
                    program, answers, ..
                },
                Which::Serving,
            ) => {
                // One that served for long has not crashed because of how it began.
                if answers.is_some_and(|at| now.saturating_sub(at) >= self.terms.prove) {
                    self.crashes = 0;
                }
                self.crashes += 1;
                let mut next = program.clone();
                let proven = self.memory.proven.clone().filter(|p| *p != program);
                if let Some(proven) = proven.filter(|_| self.crashes >= self.terms.tries) {
                    self.memory.failed = Some(program.clone());
                    (next, self.crashes) = (proven, 1);
                }
                let pause = self.terms.pause * 2u32.saturating_pow((self.crashes - 1).min(16));
                let pause = pause.min(self.terms.longest);
                let what = if next == program {
                    "again"
                } else {
                    next.name.as_str()
                };
                let line = format!(
                    "{} ended ({how}): {what} in {} ms",
                    program.name,
                    pause.as_millis()
                );
                self.state = State::Down {
                    program: next,
                    at: now + pause,
                    changed: false,
                };
                vec![Action::Log(line)]
            }
            (State::Both { new, .. }, Which::Serving) => {
                // It has handed over, or has died; whichever it was, the other one goes on.
                let line = format!("{} goes on alone", new.name);
                self.state = State::Alone {
                    program: new,
                    since: now,
                    answers: None,
                    ending: false,
                };
                vec![Action::Log(line)]
            }
            (State::Both { old, new, .. }, Which::Next) => {
                self.memory.failed = Some(new.clone());
                self.told = Some((new.clone(), now));
                self.state = State::Alone {
                    program: old,
                    since: now,
                    answers: Some(now),
                    ending: false,
                };
                let why = format!("it did not come into service: {how}");
                vec![
                    Action::Log(format!("{}: {why}", new.name)),
                    Action::Tell(new, why),
                ]
            }
            (State::Between { to, .. }, Which::Serving) => {
                self.state = State::Down {
                    program: to,
                    at: now,
                    changed: true,
                };
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn looked(&mut self, now: Duration, seen: Seen, catalog: &dyn Catalog) -> Vec<Action> {
        let late = |since: Duration| now.saturating_sub(since) > self.terms.patience;
        match self.state.clone() {
            State::Down {
                program,
                at,
                changed,
            } if now >= at => {
                let (since, answers, ending) = (now, None, false);
                self.state = State::Alone {
                    program: program.clone(),
                    since,
                    answers,
                    ending,
                };
                vec![Action::Start {
                    program,
                    beside: false,
                    changed,
                }]
            }
            State::Down { .. } => Vec::new(),
            State::Alone {
                program,
                since,
                answers,
                ending,
            } => match seen {
                Seen::Silent if answers.is_none() && late(since) && !ending => {
                    self.state = State::Alone {
                        program,
                        since,
                        answers,
                        ending: true,
                    };
                    vec![Action::Stop(Which::Serving, true)]
                }
                Seen::Silent => Vec::new(),
                Seen::Says {
                    wanted, settled, ..
                } => {
                    let at = answers.unwrap_or(now);
                    self.state = State::Alone {
                        program: program.clone(),
                        since,
                        answers: Some(at),
                        ending,
                    };
                    self.answered(now, program, at, wanted, settled, catalog)
                }
            },
            State::Both {
                old,
                new,
                since,
                ending,
            } => {
                let taken = matches!(&seen, Seen::Says { runs: Some(runs), .. } if *runs == new && new != old);
                if !late(since) || ending {
                    return Vec::new();
                }
                self.state = State::Both {
                    old,
                    new,
                    since,
                    ending: true,
                };
                // Once the new one answers, the old one has nothing any more that could be lost.
                vec![Action::Stop(
                    if taken { Which::Serving } else { Which::Next },
                    true,
                )]
            }
            State::Between { to, since, hard } if late(since) && !hard => {
                self.state = State::Between {
                    to,
                    since,
                    hard: true,
                };
                vec![Action::Stop(Which::Serving, true)]
            }
            State::Between { .. } => Vec::new(),
        }
    }

    /// The process that is alone answers.
    fn answered(
        &mut self,
        now: Duration,
        program: Program,
        since: Duration,
        wanted: Option<(Program, bool)>,
        settled: bool,
        catalog: &dyn Catalog,
    ) -> Vec<Action> {
        let other = wanted.filter(|(wanted, _)| *wanted != program);
        let Some((wanted, may)) = other else {
            self.told = None;
            let proven = settled && now.saturating_sub(since) >= self.terms.prove;
            if proven && self.memory.proven.as_ref() != Some(&program) {
                self.crashes = 0;
                self.memory = Memory {
                    wanted: Some(program.clone()),
                    proven: Some(program),
                    failed: None,
                };
                return vec![Action::Log("it has proven itself".into())];
            }
            if self.memory.failed.as_ref().is_some_and(|f| *f != program) {
                self.memory.failed = None; // it is not wanted any more
            }
            return Vec::new();
        };
        let why = if self.memory.failed.as_ref() == Some(&wanted) {
            Some("it was tried here and given up".to_string())
        } else if !catalog.has(&wanted) {
            Some(format!(
                "no file here has the digest {}",
                &wanted.sha256[..8]
            ))
        } else if !self.terms.cold && !catalog.hands_over(&program, &wanted) {
            Some(format!(
                "it can't take over from {}, and the file does not say cold = true",
                program.name
            ))
        } else {
            None
        };
        if let Some(why) = why {
            let lately = |(told, at): &(Program, Duration)| {
                *told == wanted && now < *at + self.terms.patience
            };
            if self.told.as_ref().is_some_and(lately) {
                return Vec::new();
            }
            self.told = Some((wanted.clone(), now));
            return vec![
                Action::Log(format!("{}: {why}", wanted.name)),
                Action::Tell(wanted, why),
            ];
        }
        if !may {
            return Vec::new();
        }
        (self.told, self.crashes) = (None, 0);
        self.memory.wanted = Some(wanted.clone());
        let line = Action::Log(format!("changing from {} to {}", program.name, wanted.name));
        if catalog.hands_over(&program, &wanted) {
            self.state = State::Both {
                old: program,
                new: wanted.clone(),
                since: now,
                ending: false,
            };
            return vec![
                line,
                Action::Start {
                    program: wanted,
                    beside: true,
                    changed: true,
                },
            ];
        }
        self.state = State::Between {
            to: wanted,
            since: now,
            hard: false,
        };
        vec![line, Action::Stop(Which::Serving, false)]
    }
}
