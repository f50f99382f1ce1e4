//! Runs a commit coordinator: sends its requests to the ingresses until the change has ended or the timeout expires.

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

/// Maximum number of concurrent requests.
const MAX_CONCURRENT: usize = 32;
/// Timeout of one request; the ingress syncs to disk before it answers.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before ingresses that did not answer are asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends requests concurrently and returns the responses in the same order.
pub fn request_all(
    requests: Vec<(PathBuf, CommitRequest)>,
    timeout: Duration,
) -> Vec<Result<CommitResponse, String>> {
    let mut answers = Vec::with_capacity(requests.len());
    for chunk in requests.chunks(MAX_CONCURRENT) {
        std::thread::scope(|scope| {
            let pending: Vec<_> = chunk
                .iter()
                .map(|(at, request)| {
                    scope.spawn(move || {
                        client::request(at, request, timeout).map_err(|error| error.to_string())
                    })
                })
                .collect();
            for handle in pending {
                answers.push(
                    handle
                        .join()
                        .unwrap_or_else(|_| Err("the request thread panicked".into())),
                );
            }
        });
    }
    answers
}

/// Result of driving a change.
pub enum Outcome {
    /// All members have switched; with an upper bound of the time in which only some had.
    Committed(Duration),
    /// All members have dropped the change.
    Aborted,
    /// Another coordinator has taken over the change.
    Superseded,
    /// These members have not confirmed the decision yet, if there is one; with the reasons.
    Unfinished(Vec<String>),
}

/// Shows progress on standard error, as a bar on a terminal and as lines elsewhere. Results go to standard output.
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

    fn update(&mut self, coordinator: &Coordinator) {
        let phase = match coordinator.phase {
            CommitPhase::Preparing => "preparing",
            CommitPhase::Fencing => "fencing",
            CommitPhase::Deciding(Decision::Commit) => "committing",
            CommitPhase::Deciding(Decision::Abort) => "aborting",
            CommitPhase::Ended(_) | CommitPhase::Superseded => return,
        };
        let answered = coordinator.members.iter().filter(|m| m.answered).count();
        if let Some(bar) = &self.bar {
            bar.set_length(coordinator.members.len() as u64);
            bar.set_message(phase);
            bar.set_position(answered as u64);
        } else if self.phase != phase {
            eprintln!("{phase}: {} ingresses", coordinator.members.len());
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

/// Drives a change to its end; `sockets` has the control sockets of the members by name.
pub fn drive(
    coordinator: &mut Coordinator,
    sockets: &BTreeMap<String, PathBuf>,
    timeout: Duration,
) -> Outcome {
    let (failpoints, start) = (Failpoints::from_env(), Instant::now());
    let mut progress = Progress::new();
    let mut first_switch = None;
    let mut reasons: BTreeMap<String, String> = BTreeMap::new();
    failpoints.hit("apply", "begun");
    loop {
        progress.update(coordinator);
        let phase = coordinator.phase.clone();
        match phase {
            CommitPhase::Ended(Decision::Commit) => {
                return Outcome::Committed(
                    first_switch.map_or(Duration::ZERO, |t: Instant| t.elapsed()),
                )
            }
            CommitPhase::Ended(Decision::Abort) => return Outcome::Aborted,
            CommitPhase::Superseded => return Outcome::Superseded,
            CommitPhase::Deciding(Decision::Commit) => {
                first_switch = first_switch.or(Some(Instant::now()))
            }
            _ => {}
        }
        let mut pending = Vec::new();
        let mut requests = Vec::new();
        for member in 0..coordinator.members.len() {
            let Some(request) = coordinator.next_request(member) else {
                continue;
            };
            let Some(path) = sockets.get(&coordinator.members[member].ingress) else {
                reasons.insert(
                    coordinator.members[member].ingress.clone(),
                    "its control socket is not known".into(),
                );
                continue;
            };
            pending.push(member);
            requests.push((path.clone(), request));
        }
        // With failpoints set, requests are sent one by one, so that a test can end this process between two of them.
        let answers = requests
            .chunks(if failpoints.is_set() { 1 } else { usize::MAX })
            .flat_map(|chunk| {
                failpoints.hit("apply", "asking");
                let answers = request_all(chunk.to_vec(), REQUEST_TIMEOUT);
                failpoints.hit("apply", "answered");
                answers
            });
        let answers: Vec<_> = answers.collect();
        let mut retry = pending.is_empty();
        for (member, answer) in pending.into_iter().zip(answers) {
            if let Err(reason) | Ok(CommitResponse::Unavailable { reason }) = &answer {
                retry = true;
                reasons.insert(coordinator.members[member].ingress.clone(), reason.clone());
            }
            if coordinator.phase == phase {
                coordinator.handle_response(member, answer.ok());
            }
        }
        if coordinator.phase != phase {
            failpoints.hit("apply", "decided");
            continue;
        }
        let missing: Vec<&str> = coordinator
            .members
            .iter()
            .filter(|m| !m.answered)
            .map(|m| m.ingress.as_str())
            .collect();
        if !missing.is_empty() && start.elapsed() > timeout {
            let with_reason = |name: &str| {
                reasons
                    .get(name)
                    .map_or(name.to_string(), |reasons| format!("{name} ({reasons})"))
            };
            return Outcome::Unfinished(missing.into_iter().map(with_reason).collect());
        }
        if retry {
            std::thread::sleep(RETRY_DELAY);
        }
    }
}

/// Prints how a change ended.
pub fn print_outcome(outcome: &Outcome, coordinator: &Coordinator) {
    for MemberReason {
        member: name,
        reason,
    } in &coordinator.rejections
    {
        anstream::eprintln!("  {name}: {reason}");
    }
    match outcome {
        Outcome::Committed(mixed_time) => anstream::println!(
            "{} change {} at {} ingresses; two generations side by side for at most {} ms",
            style::good("made:"),
            coordinator.change.short(),
            coordinator.members.len(),
            mixed_time.as_millis()
        ),
        Outcome::Aborted => anstream::eprintln!(
            "{} change {}: nothing has changed at any ingress",
            style::bad("given up:"),
            coordinator.change.short()
        ),
        Outcome::Superseded => anstream::eprintln!(
            "{} change {}: another wrenctl decides it; wrenctl history shows the result",
            style::doubtful("overtaken:"),
            coordinator.change.short()
        ),
        Outcome::Unfinished(missing) => {
            let decided = match coordinator.phase {
                CommitPhase::Deciding(Decision::Commit) => "it is committed, but ",
                CommitPhase::Deciding(Decision::Abort) => {
                    "it is aborted and nothing has changed, but "
                }
                _ => "",
            };
            anstream::eprintln!(
                "{} change {}: {decided}not confirmed yet by: {}; when they are back, run wrenctl apply --resume",
                style::doubtful("unfinished:"),
                coordinator.change.short(),
                missing.join(", ")
            );
        }
    }
}
