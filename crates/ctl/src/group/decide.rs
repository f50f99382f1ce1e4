//! Proposes a change of a group state until it is decided; the change is rebuilt when another proposal commits first.

use super::query::query_group;
use super::Sockets;
use crate::style;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::{Duration, Instant};
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::Member;
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, ProposalPhase, Proposer};
use wrenfork_consensus::protocol::Ballot;
use wrenfork_control_plane::clock;
use wrenfork_control_plane::proposal::run_proposal;

/// Maximum delay before another attempt when another proposer competes.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Result of proposing a change to a group.
pub enum Outcome {
    /// The group state is committed, and no member serves under the previous one any more. With the unreachable members,
    /// the reason for each, and the time taken.
    Committed(Arc<GroupState>, Vec<(String, String)>, Duration),
    /// Nothing was changed; with the reason.
    Rejected(String),
    /// It is unknown whether the change was committed; the members recover it on their own.
    Unfinished,
}

/// A random number.
fn random() -> u64 {
    RandomState::new().hash_one(0)
}

/// Prints a line on standard error when the proposal enters another phase.
fn print_progress(step: &mut &'static str, proposer: &Proposer) {
    let phase = match proposer.phase {
        ProposalPhase::Preparing => "preparing",
        ProposalPhase::Accepting if proposer.is_waiting_for_leases() => {
            "waiting for the leases of unreachable members to expire"
        }
        ProposalPhase::Accepting => "accepting",
        ProposalPhase::Notifying => "notifying",
        ProposalPhase::Ended(_) => return,
    };
    if *step != phase {
        eprintln!("{phase}: {} members", proposer.member_names().count());
        *step = phase;
    }
}

/// What a group is asked to decide.
pub enum Request<'a> {
    /// A group state built from the current one. It must differ from other proposals in its change or its membership.
    Change(&'a dyn Fn(&GroupState) -> Result<GroupState, String>),
    /// Completes or discards an accepted but undecided proposal.
    Recover,
}

/// Proposes a request to a group until it is decided or the timeout expires.
pub fn decide(sockets: &Sockets, request: &Request, timeout: Duration) -> Outcome {
    let start = Instant::now();
    let (mut proposed, mut round): (Option<Arc<GroupState>>, u64) = (None, 0);
    let mut step = "";
    loop {
        let view = match query_group(sockets).and_then(|view| Ok((view.committed_state()?, view))) {
            Ok(view) => view,
            // Members may be unreachable for a while: a proposal that may have started is retried until the timeout.
            Err(_) if proposed.is_some() && start.elapsed() < timeout => {
                std::thread::sleep(MAX_RETRY_DELAY);
                continue;
            }
            Err(_) if proposed.is_some() => return Outcome::Unfinished,
            Err(reason) => return Outcome::Rejected(reason),
        };
        let (base, view) = view;
        if proposed.as_ref() == Some(&base) {
            // Another proposer committed the proposed state. Once a majority has it, no lease is granted under the previous state.
            let has_state = |s: &&Member| {
                view.statuses
                    .get(&s.name)
                    .is_some_and(|m| m.version >= base.version)
            };
            if base.membership.voters().filter(has_state).count() < base.membership.majority() {
                if start.elapsed() >= timeout {
                    return Outcome::Unfinished;
                }
                std::thread::sleep(MAX_RETRY_DELAY);
                continue;
            }
            std::thread::sleep(base.membership.lease_expiry_bound());
            return Outcome::Committed(
                base,
                view.unreachable.into_iter().collect(),
                start.elapsed(),
            );
        }
        if proposed.as_ref().is_some_and(|o| o.version < base.version) {
            return Outcome::Unfinished; // a later state is committed; it is unknown whether the proposed one was committed before it
        }
        let goal = match request {
            Request::Recover if !view.has_pending() => {
                return Outcome::Committed(
                    base,
                    view.unreachable.into_iter().collect(),
                    start.elapsed(),
                )
            }
            Request::Recover => ProposalGoal::Recover,
            Request::Change(build) => match build(&base) {
                Ok(state) => ProposalGoal::Change(Arc::new(state)),
                Err(reason) => return Outcome::Rejected(reason),
            },
        };
        if let ProposalGoal::Change(state) = &goal {
            proposed = Some(state.clone());
        }
        round = round.max(view.max_round()) + 1;
        let ballot = Ballot {
            round,
            proposer: random(),
        };
        let mut proposer = Proposer::new(base.clone(), goal, ballot, clock::now());
        let remaining = timeout.saturating_sub(start.elapsed());
        match run_proposal(&mut proposer, sockets, remaining, |p| {
            print_progress(&mut step, p)
        }) {
            ProposalOutcome::Committed => {
                let Some(state) = proposer.value().cloned() else {
                    return Outcome::Unfinished;
                };
                let unreachable = proposer.unresponsive().into_iter();
                let unreachable = unreachable.map(|m| (m.member, m.reason)).collect();
                return Outcome::Committed(state, unreachable, start.elapsed());
            }
            ProposalOutcome::Rejected(rejections) => {
                let rejections: Vec<String> = rejections
                    .into_iter()
                    .map(|m| format!("{}: {}", m.member, m.reason))
                    .collect();
                return Outcome::Rejected(rejections.join("; "));
            }
            ProposalOutcome::NoQuorum { votes, needed } => {
                let unreachable: Vec<String> = proposer
                    .unresponsive()
                    .into_iter()
                    .map(|m| format!("{} ({})", m.member, m.reason))
                    .collect();
                return Outcome::Rejected(format!(
                    "no quorum: {votes} votes of {needed} needed; no answer from: {}",
                    unreachable.join(", ")
                ));
            }
            ProposalOutcome::TimedOut => return Outcome::Unfinished,
            ProposalOutcome::HigherBallot(by) => round = round.max(by.round),
            ProposalOutcome::Superseded(_) => {}
        }
        if start.elapsed() >= timeout {
            return Outcome::Unfinished;
        }
        // A random delay lets a competing proposer finish.
        std::thread::sleep(MAX_RETRY_DELAY * (random() % 1_000) as u32 / 1_000);
    }
}

/// Prints an outcome; `action` names the requested change.
pub fn print_outcome(action: &str, outcome: &Outcome) {
    match outcome {
        Outcome::Committed(state, unreachable, elapsed) => {
            let members = state.membership.members.len();
            anstream::println!(
                "{} {action} at {} of {members} members in {} ms (generation {}, decree {})",
                style::good("made:"),
                members.saturating_sub(unreachable.len()),
                elapsed.as_millis(),
                state.generation,
                state.version
            );
            for (name, reason) in unreachable {
                anstream::println!("  {name} is away ({reason}): it rejects all requests until it has learned the new state");
            }
        }
        Outcome::Rejected(reason) => {
            anstream::eprintln!("{} {action}: {reason}; nothing has changed", style::bad("refused:"));
        }
        Outcome::Unfinished => anstream::eprintln!(
            "{} {action}: timed out before the result was known; the members recover the proposal on their own, \
             and wrenctl status shows the result",
            style::doubtful("unfinished:")
        ),
    }
}
