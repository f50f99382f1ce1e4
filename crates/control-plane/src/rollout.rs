//! Drives the rollout that stands in a group, on a thread of its own: looks at all members once a second, lets
//! `wrenfork-rollout` judge, and has the group decide what that wants. Of the voters the first one of an order drawn by the
//! rollout drives; the next ones do when it has no lease. Two that both believe to be it do no harm: what they want has one
//! number, and is decided once.

use crate::clock;
use crate::drive::drive;
use crate::group::{drawn, Shared};
use crate::links::{self, Link};
use crate::{Enforcer, Inner};
use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use wrenfork_commit::protocol::AuditRecord as Note;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::MemberRole;
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};
use wrenfork_rollout::record::{Phase, Record};
use wrenfork_rollout::watch::{Seen, Watch};

/// Between two looks. A block of the comparison is as long at the least.
const EVERY: Duration = Duration::from_secs(1);
/// How long a look waits for a member: half the time to the next one.
const PATIENCE: Duration = Duration::from_millis(500);
/// Leases in which a step must have been decided, or it is tried anew.
const DECIDE: u32 = 4;

/// The rollout of a decree, if there is something to drive.
pub(crate) fn under_way(decree: &GroupState) -> Option<&Record> {
    let record = decree.rollout.as_deref()?;
    matches!(record.phase, Phase::On { .. } | Phase::Back { .. }).then_some(record)
}

/// All that the thread works with.
pub(crate) struct Driving<E> {
    /// The member that this is.
    pub name: String,
    /// What stands.
    pub decree: Arc<GroupState>,
    /// The members' control sockets, this one's among them.
    pub at: BTreeMap<String, PathBuf>,
    pub shared: Arc<Shared>,
    pub inner: Arc<Mutex<Inner<E>>>,
    /// The most bytes of an answer.
    pub most: usize,
}

impl<E: Enforcer> Driving<E> {
    /// Drives until something else stands, or this member ends.
    pub fn run(self) {
        let Some(record) = under_way(&self.decree).cloned() else {
            return;
        };
        let Ok((_wake, woken)) = UnixStream::pair() else {
            return;
        };
        if woken.set_nonblocking(true).is_err() {
            return;
        }
        let serves = |name: &&String| {
            self.decree
                .membership
                .member(name)
                .is_some_and(|s| s.role == MemberRole::Ingress)
        };
        let mut links: Vec<Link> = self
            .at
            .iter()
            .filter(|(name, _)| serves(name))
            .map(|(n, p)| Link::new(n, p.clone()))
            .collect();
        let (mut watch, mut round) = (None::<Watch>, 0);
        while self.stands() {
            let now = clock::now();
            if self.shared.lease_ms().is_none() || self.led_by_another(&record) {
                watch = None; // what another has seen meanwhile is not known here
            } else {
                let seen = self.look(&mut links, &woken);
                let watch = watch.get_or_insert_with(|| {
                    self.log(&record.phase.to_string(), "driven from here");
                    Watch::new(record.clone(), self.decree.version, now)
                });
                let next = watch.look(clock::now(), &seen);
                for name in watch.turns(&seen) {
                    let turn = GroupRequest::UpgradeTurn {
                        version: self.decree.version,
                    };
                    let told = self
                        .at
                        .get(&name)
                        .map(|at| crate::client::ask::<_, GroupResponse>(at, &turn, PATIENCE));
                    // One that was not reached is told at the next look.
                    if let Some(Ok(GroupResponse::Acknowledged)) = told {
                        self.log(
                            &record.phase.to_string(),
                            &format!("{name}'s turn to change its program"),
                        );
                    }
                }
                if let Some(next) = next {
                    self.decide(next, &mut round);
                }
            }
            while clock::now() < now + EVERY && self.stands() {
                std::thread::sleep(PATIENCE / 10);
            }
        }
    }

    /// Whether what is driven still stands.
    fn stands(&self) -> bool {
        let number = self
            .shared
            .standing()
            .group_state()
            .map_or(0, |d| d.version);
        !self.shared.closed() && number == self.decree.version
    }

    fn log(&self, what: &str, why: &str) {
        let (change, generation) = (self.decree.change.clone(), self.decree.generation);
        let note = Note {
            event: format!("rollout: {what}"),
            detail: why.into(),
            change,
            generation,
            ..Note::default()
        };
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .enforcer
            .log(&note);
    }

    /// Whether a voter that comes before this one is there and may serve.
    fn led_by_another(&self, record: &Record) -> bool {
        let lot = |name: &str| Digest::of(format!("{:?} drives {name}", record.id).as_bytes());
        let own = lot(&self.name);
        let before = self
            .decree
            .membership
            .voters()
            .filter(|s| lot(&s.name) < own);
        let before: Vec<&PathBuf> = before.filter_map(|s| self.at.get(&s.name)).collect();
        let leads = |at: &PathBuf| match crate::client::ask(at, &GroupRequest::Status, PATIENCE) {
            Ok(GroupResponse::Status(stand)) => {
                stand.version == self.decree.version && stand.lease_ms.is_some()
            }
            _ => false,
        };
        std::thread::scope(|scope| {
            let asked: Vec<_> = before.iter().map(|at| scope.spawn(|| leads(at))).collect();
            asked.into_iter().any(|one| one.join().unwrap_or(false))
        })
    }

    /// What each member that serves counted so far, or that it does not answer.
    fn look(&self, links: &mut [Link], woken: &UnixStream) -> BTreeMap<String, Seen> {
        let begun = clock::now();
        let mut seen: BTreeMap<String, Seen> = links
            .iter()
            .map(|l| (l.name.clone(), Err("it does not answer".to_string())))
            .collect();
        let mut left = 0;
        for link in links.iter_mut().filter(|l| l.free(begun)) {
            link.ask(GroupRequest::Tally, begun);
            left += 1;
        }
        let until = begun + PATIENCE;
        while left > 0 && clock::now() < until {
            for (n, _, sent, say) in links::wait(links, woken, until, PATIENCE, self.most) {
                // What was asked before this look is too old to be compared with the others'.
                if let (GroupResponse::Tallied(tally), true) = (say, sent >= begun) {
                    seen.insert(links[n].name.clone(), Ok(*tally));
                }
                left -= 1;
            }
        }
        seen
    }

    /// Has the group decide a step.
    fn decide(&self, next: Record, round: &mut u64) {
        let (what, why) = (next.phase.to_string(), next.why.clone());
        let decree = match self.decree.with_rollout(&self.decree.author, next) {
            Ok(decree) => Arc::new(decree),
            Err(why) => return self.log(&what, &format!("can't be: {why}")),
        };
        let promised = {
            let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.group.as_ref().map_or(0, |g| g.state().promised.round)
        };
        let ballot = Ballot {
            round: promised.max(*round) + 1,
            proposer: drawn(),
        };
        let mut proposer = Proposer::new(
            self.decree.clone(),
            ProposalGoal::Change(decree),
            ballot,
            clock::now(),
        );
        match drive(
            &mut proposer,
            &self.at,
            self.decree.membership.lease() * DECIDE,
            |_| {},
        ) {
            ProposalOutcome::Committed => self.log(&what, &why),
            ProposalOutcome::HigherBallot(by) => *round = by.round,
            ProposalOutcome::Rejected(all) => {
                let all: Vec<String> = all
                    .into_iter()
                    .map(|(name, why)| format!("{name}: {why}"))
                    .collect();
                self.log(&what, &format!("refused: {}", all.join("; ")));
            }
            // Somebody else was first, or it is settled by the members; either way it shows in what stands.
            ProposalOutcome::NoQuorum(..)
            | ProposalOutcome::Superseded(_)
            | ProposalOutcome::TimedOut => {}
        }
    }
}
