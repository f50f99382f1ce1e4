//! Carries an applier's asks to the ingresses and their answers back, until the change has ended or time is over.

use crate::style;
use std::collections::BTreeMap;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use wrenfork_commit::coordinator::{CommitPhase, Coordinator, Decision};
use wrenfork_commit::protocol::{CommitRequest, CommitResponse};
use wrenfork_commit::reason::MemberReason;
use wrenfork_control_plane::client;
use wrenfork_control_plane::failpoints::Failpoints;

/// Asks that are under way at once.
const MOST_AT_ONCE: usize = 32;
/// How long one ask may take; the disk may be slow.
const PATIENCE: Duration = Duration::from_secs(10);
/// Between two tries at those that did not answer.
const AGAIN: Duration = Duration::from_millis(200);

/// Asks many at once; their answers, in the same order.
pub fn ask_all(
    asks: Vec<(PathBuf, CommitRequest)>,
    patience: Duration,
) -> Vec<Result<CommitResponse, String>> {
    let mut answers = Vec::with_capacity(asks.len());
    for some in asks.chunks(MOST_AT_ONCE) {
        std::thread::scope(|scope| {
            let asked: Vec<_> = some
                .iter()
                .map(|(at, ask)| {
                    scope.spawn(move || {
                        client::request(at, ask, patience).map_err(|error| error.to_string())
                    })
                })
                .collect();
            for one in asked {
                answers.push(one.join().unwrap_or_else(|_| Err("the ask ended".into())));
            }
        });
    }
    answers
}

/// How a change ended.
pub enum End {
    /// Every member has made the switch. For how long, at the most, some had made it and some had not.
    Made(Duration),
    /// Every member has forgotten it.
    GivenUp,
    /// Somebody else decides it.
    Overtaken,
    /// These have not been told what was decided.
    Unfinished(Vec<String>),
}

/// Tells of progress, on standard error: results are on standard output.
struct Progress {
    bar: Option<indicatif::ProgressBar>,
    phase: &'static str,
}

impl Progress {
    fn new() -> Progress {
        let bar = std::io::stderr()
            .is_terminal()
            .then(|| indicatif::ProgressBar::new(0));
        Progress { bar, phase: "" }
    }

    fn tell(&mut self, applier: &Coordinator) {
        let phase = match applier.phase {
            CommitPhase::Preparing => "promises",
            CommitPhase::Fencing => "asking how it stands",
            CommitPhase::Deciding(Decision::Commit) => "switches",
            CommitPhase::Deciding(Decision::Abort) => "giving up",
            CommitPhase::Ended(_) | CommitPhase::Superseded => return,
        };
        let answered = applier.members.iter().filter(|m| m.answered).count();
        if let Some(bar) = &self.bar {
            bar.set_length(applier.members.len() as u64);
            bar.set_message(phase);
            bar.set_position(answered as u64);
        } else if self.phase != phase {
            eprintln!("{phase}: {} ingresses", applier.members.len());
        }
        self.phase = phase;
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        if let Some(bar) = &self.bar {
            bar.finish_and_clear();
        }
    }
}

/// Drives a change to its end; `at` has the control sockets of the members by name.
pub fn drive(applier: &mut Coordinator, at: &BTreeMap<String, PathBuf>, patience: Duration) -> End {
    let (failpoints, start) = (Failpoints::from_env(), Instant::now());
    let mut progress = Progress::new();
    let mut first_switch = None;
    let mut why: BTreeMap<String, String> = BTreeMap::new();
    failpoints.hit("apply", "begun");
    loop {
        progress.tell(applier);
        let phase = applier.phase.clone();
        match phase {
            CommitPhase::Ended(Decision::Commit) => {
                return End::Made(first_switch.map_or(Duration::ZERO, |t: Instant| t.elapsed()))
            }
            CommitPhase::Ended(Decision::Abort) => return End::GivenUp,
            CommitPhase::Superseded => return End::Overtaken,
            CommitPhase::Deciding(Decision::Commit) => {
                first_switch = first_switch.or(Some(Instant::now()))
            }
            _ => {}
        }
        let mut asked = Vec::new();
        let mut asks = Vec::new();
        for member in 0..applier.members.len() {
            let Some(ask) = applier.next_request(member) else {
                continue;
            };
            let Some(path) = at.get(&applier.members[member].ingress) else {
                why.insert(
                    applier.members[member].ingress.clone(),
                    "nothing says where its socket is".into(),
                );
                continue;
            };
            asked.push(member);
            asks.push((path.clone(), ask));
        }
        // One after the other where a test ends this process in between.
        let answers = asks
            .chunks(if failpoints.is_set() { 1 } else { usize::MAX })
            .flat_map(|some| {
                failpoints.hit("apply", "asking");
                let answers = ask_all(some.to_vec(), PATIENCE);
                failpoints.hit("apply", "answered");
                answers
            });
        let answers: Vec<_> = answers.collect();
        let mut silent = asked.is_empty();
        for (member, answer) in asked.into_iter().zip(answers) {
            if let Err(what) | Ok(CommitResponse::Unavailable { reason: what }) = &answer {
                silent = true;
                why.insert(applier.members[member].ingress.clone(), what.clone());
            }
            if applier.phase == phase {
                applier.handle_response(member, answer.ok());
            }
        }
        if applier.phase != phase {
            failpoints.hit("apply", "decided");
            continue;
        }
        let left: Vec<&str> = applier
            .members
            .iter()
            .filter(|m| !m.answered)
            .map(|m| m.ingress.as_str())
            .collect();
        if !left.is_empty() && start.elapsed() > patience {
            let told = |name: &str| {
                why.get(name)
                    .map_or(name.to_string(), |why| format!("{name} ({why})"))
            };
            return End::Unfinished(left.into_iter().map(told).collect());
        }
        if silent {
            std::thread::sleep(AGAIN);
        }
    }
}

/// Tells people how a change ended.
pub fn tell(end: &End, applier: &Coordinator) {
    for MemberReason {
        member: name,
        reason: why,
    } in &applier.rejections
    {
        anstream::eprintln!("  {name}: {why}");
    }
    match end {
        End::Made(mixed) => anstream::println!(
            "{} change {} at {} ingresses; two generations side by side for at most {} ms",
            style::good("made:"),
            applier.change.short(),
            applier.members.len(),
            mixed.as_millis()
        ),
        End::GivenUp => anstream::eprintln!(
            "{} change {}: nothing has changed at any ingress",
            style::bad("given up:"),
            applier.change.short()
        ),
        End::Overtaken => anstream::eprintln!(
            "{} change {}: somebody else decides it; wrenctl history tells how it ended",
            style::doubtful("overtaken:"),
            applier.change.short()
        ),
        End::Unfinished(left) => {
            let decided = match applier.phase {
                CommitPhase::Deciding(Decision::Commit) => "it is made, and ",
                CommitPhase::Deciding(Decision::Abort) => {
                    "it is given up and nothing has changed, but "
                }
                _ => "",
            };
            anstream::eprintln!(
                "{} change {}: {decided}not told yet: {}; when they are back, run wrenctl apply --resume",
                style::doubtful("unfinished:"),
                applier.change.short(),
                left.join(", ")
            );
        }
    }
}
