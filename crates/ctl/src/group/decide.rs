//! Brings a decree to its end: made from what stands, proposed, and made anew where another came first.

use super::look::look;
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

/// The longest pause before another try, where somebody else proposes as well.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// How it ended.
pub enum Outcome {
    /// This decree stands, and nobody serves under the one before. Who is away, and how long it took.
    Made(Arc<GroupState>, Vec<(String, String)>, Duration),
    /// Nothing has happened.
    Refused(String),
    /// It may be decided or not; the members settle it among themselves.
    Unfinished,
}

/// A number by chance.
fn drawn() -> u64 {
    RandomState::new().hash_one(0)
}

/// Tells of progress on standard error, a line for each step.
fn progress(step: &mut &'static str, proposer: &Proposer) {
    let now = match proposer.phase {
        ProposalPhase::Preparing => "promises",
        ProposalPhase::Accepting if proposer.is_waiting_for_leases() => {
            "waiting for the leases of those that are away to run out"
        }
        ProposalPhase::Accepting => "taking it up",
        ProposalPhase::Notifying => "switches",
        ProposalPhase::Ended(_) => return,
    };
    if *step != now {
        eprintln!("{now}: {} members", proposer.member_names().count());
        *step = now;
    }
}

/// What is wanted of a group.
pub enum Wanted<'a> {
    /// A decree made from the one that stands; its change tells it from others, or its roster does.
    Decree(&'a dyn Fn(&GroupState) -> Result<GroupState, String>),
    /// An end of what was left undecided.
    End,
}

/// Has a group decide what is wanted, within a time.
pub fn decide(at: &Sockets, wanted: &Wanted, patience: Duration) -> Outcome {
    let start = Instant::now();
    let (mut ours, mut round): (Option<Arc<GroupState>>, u64) = (None, 0);
    let mut step = "";
    loop {
        let seen = match look(at).and_then(|seen| Ok((seen.known()?, seen))) {
            Ok(seen) => seen,
            // Members come and go: as long as there is time, it is tried again where something may have been begun.
            Err(_) if ours.is_some() && start.elapsed() < patience => {
                std::thread::sleep(LONGEST_PAUSE);
                continue;
            }
            Err(_) if ours.is_some() => return Outcome::Unfinished,
            Err(why) => return Outcome::Refused(why),
        };
        let (base, seen) = seen;
        if ours.as_ref() == Some(&base) {
            // Somebody settled it for us. From when a majority stands there on, the one before is granted to nobody.
            let there = |s: &&Member| {
                seen.stands
                    .get(&s.name)
                    .is_some_and(|m| m.version >= base.version)
            };
            if base.membership.voters().filter(there).count() < base.membership.majority() {
                if start.elapsed() >= patience {
                    return Outcome::Unfinished;
                }
                std::thread::sleep(LONGEST_PAUSE);
                continue;
            }
            std::thread::sleep(base.membership.lease_expiry_bound());
            return Outcome::Made(base, seen.away.into_iter().collect(), start.elapsed());
        }
        if ours.as_ref().is_some_and(|o| o.version < base.version) {
            return Outcome::Unfinished; // it has been decided or not, and another one after it
        }
        let aim = match wanted {
            Wanted::End if !seen.pending() => {
                return Outcome::Made(base, seen.away.into_iter().collect(), start.elapsed())
            }
            Wanted::End => ProposalGoal::Recover,
            Wanted::Decree(make) => match make(&base) {
                Ok(decree) => ProposalGoal::Change(Arc::new(decree)),
                Err(why) => return Outcome::Refused(why),
            },
        };
        if let ProposalGoal::Change(decree) = &aim {
            ours = Some(decree.clone());
        }
        round = round.max(seen.round()) + 1;
        let ballot = Ballot {
            round,
            proposer: drawn(),
        };
        let mut proposer = Proposer::new(base.clone(), aim, ballot, clock::now());
        let left = patience.saturating_sub(start.elapsed());
        match run_proposal(&mut proposer, at, left, |p| progress(&mut step, p)) {
            ProposalOutcome::Committed => {
                let Some(decree) = proposer.value().cloned() else {
                    return Outcome::Unfinished;
                };
                let away = proposer.unresponsive().into_iter();
                let away = away.map(|m| (m.member, m.reason)).collect();
                return Outcome::Made(decree, away, start.elapsed());
            }
            ProposalOutcome::Rejected(all) => {
                let all: Vec<String> = all
                    .into_iter()
                    .map(|m| format!("{}: {}", m.member, m.reason))
                    .collect();
                return Outcome::Refused(all.join("; "));
            }
            ProposalOutcome::NoQuorum { votes, needed } => {
                let away: Vec<String> = proposer
                    .unresponsive()
                    .into_iter()
                    .map(|m| format!("{} ({})", m.member, m.reason))
                    .collect();
                return Outcome::Refused(format!(
                    "too few members vote: {votes}, and {needed} are enough; without an answer: {}",
                    away.join(", ")
                ));
            }
            ProposalOutcome::TimedOut => return Outcome::Unfinished,
            ProposalOutcome::HigherBallot(by) => round = round.max(by.round),
            ProposalOutcome::Superseded(_) => {}
        }
        if start.elapsed() >= patience {
            return Outcome::Unfinished;
        }
        // Whoever else proposes comes to an end meanwhile.
        std::thread::sleep(LONGEST_PAUSE * (drawn() % 1_000) as u32 / 1_000);
    }
}

/// Tells people how it ended; `what` is what was to be made.
pub fn tell(what: &str, outcome: &Outcome) {
    match outcome {
        Outcome::Made(decree, away, took) => {
            let members = decree.membership.members.len();
            anstream::println!(
                "{} {what} at {} of {members} members in {} ms (generation {}, decree {})",
                style::good("made:"),
                members.saturating_sub(away.len()),
                took.as_millis(),
                decree.generation,
                decree.version
            );
            for (name, why) in away {
                anstream::println!("  {name} is away ({why}): it serves nobody until it has learnt this");
            }
        }
        Outcome::Refused(why) => {
            anstream::eprintln!("{} {what}: {why}; nothing has changed", style::bad("refused:"));
        }
        Outcome::Unfinished => anstream::eprintln!(
            "{} {what}: time was over before it was known to be made; the members settle it among themselves, \
             and wrenctl status tells how",
            style::doubtful("unfinished:")
        ),
    }
}
