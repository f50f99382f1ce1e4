//! A member of a group of ingresses, as `wrenfork-consensus` decides: the deadline up to which requests may be let in, and the
//! thread that renews it, learns what stands, and settles what somebody left half decided. The loop that serves sees the
//! deadline alone.

use crate::clock;
use crate::drive::drive;
use crate::links::{self, Link};
use crate::rollout::{under_way, Driving};
use crate::{Enforcer, Inner};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::lease::{LeaseManager, RenewalResult};
use wrenfork_consensus::membership;
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};

/// Leases for which a start is waited for by a member that serves on as it is known.
const CATCH_UP: u32 = 2;
/// Leases in which a settlement must have come to an end, or it is begun anew.
const SETTLE: u32 = 4;
/// A thread here proposes; the large states are on the heap.
const STACK: usize = 256 << 10;

/// What a member does while it has no lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Alone {
    /// Lets nothing in: a change holds everywhere or nowhere.
    #[default]
    Refuse,
    /// Serves on with what it has: a change that is made meanwhile does not hold here.
    AsKnown,
}

/// What a member is told by its files.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The group as the files have it, without folders.
    pub charter: membership::Membership,
    /// The members' control sockets as they are reached from here, this one's among them.
    pub links: BTreeMap<String, PathBuf>,
    /// What is done without a lease.
    pub alone: Alone,
    /// What the process before had, where it has handed over to this one.
    pub inherited: Option<Inherited>,
}

/// The right to serve, as it passes from one process of a member to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inherited {
    /// The decree that it is under.
    pub number: u64,
    /// Until when, by [`clock::now`]; none without a lease.
    pub until: Option<Duration>,
    /// The microsecond up to which requests are let in: the same, or the last there is where it serves on alone.
    pub gate: u64,
}

impl Inherited {
    /// What stands before requests until the control side is there again; see [`Gate::pause_ms`].
    pub fn gate(&self, membership: &Membership) -> Gate {
        let pause_ms = micros(membership.charter.lease() / 3) / 1_000;
        Gate {
            until: Arc::new(AtomicU64::new(self.gate)),
            pause_ms,
        }
    }
}

/// A number by chance, never 0.
pub(crate) fn drawn() -> u64 {
    RandomState::new().hash_one(0) | 1
}

/// The deadline up to which requests may be let in, as the loop sees it.
#[derive(Clone, Debug)]
pub struct Gate {
    until: Arc<AtomicU64>,
    pause_ms: u64,
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Gate {
    /// Whether a request may be let in at this moment; the clock is read anew, since the process may have been stopped since
    /// it was read last.
    pub fn open(&self) -> bool {
        match self.until.load(Ordering::Acquire) {
            u64::MAX => true,
            until => micros(clock::now()) < until,
        }
    }

    /// Milliseconds after which it is worth to come again: the time between two renewals.
    pub fn pause_ms(&self) -> u64 {
        self.pause_ms
    }
}

/// What the threads of the control side share about the group.
#[derive(Debug)]
pub(crate) struct Shared {
    standing: Mutex<LeaseManager>,
    gate: Gate,
    alone: Alone,
    started: Duration,
    wake: UnixStream,
    closed: AtomicBool,
}

impl Shared {
    pub fn new(
        name: &str,
        memory: &PersistentState,
        membership: &Membership,
    ) -> Result<(Arc<Shared>, UnixStream), String> {
        let failed = |e: std::io::Error| format!("control: no wake-up: {e}");
        let (wake, woken) = UnixStream::pair().map_err(failed)?;
        wake.set_nonblocking(true)
            .and_then(|()| woken.set_nonblocking(true))
            .map_err(failed)?;
        let now = clock::now();
        let mut standing =
            LeaseManager::new(name, memory, membership.charter.clone(), drawn(), now);
        let inherited = membership.inherited.as_ref();
        if let Some((number, until)) = inherited.and_then(|i| Some((i.number, i.until?))) {
            standing.inherit_lease(number, until);
        }
        // One that was serving on alone goes on so.
        let started = if inherited.is_some_and(|i| i.gate == u64::MAX) {
            Duration::ZERO
        } else {
            now
        };
        let pause_ms = standing.renewal_interval().as_millis() as u64;
        let gate = Gate {
            until: Arc::default(),
            pause_ms,
        };
        let alone = membership.alone;
        let (standing, closed) = (Mutex::new(standing), AtomicBool::new(false));
        let shared = Shared {
            standing,
            gate,
            alone,
            started,
            wake,
            closed,
        };
        shared.publish(&shared.standing(), now);
        Ok((Arc::new(shared), woken))
    }

    pub fn standing(&self) -> MutexGuard<'_, LeaseManager> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn gate(&self) -> Gate {
        self.gate.clone()
    }

    /// Tells the loop how long it may let requests in.
    fn publish(&self, standing: &LeaseManager, now: Duration) {
        let caught_up = now >= self.started + standing.renewal_interval() * 3 * CATCH_UP;
        let until = match self.alone {
            Alone::AsKnown if caught_up => u64::MAX,
            _ => standing.lease_deadline().map_or(0, micros),
        };
        self.gate.until.store(until, Ordering::Release);
    }

    /// The memory has changed, or a change of it failed.
    pub fn follow(&self, memory: &PersistentState) {
        let now = clock::now();
        let mut standing = self.standing();
        standing.apply_state(memory, now);
        self.publish(&standing, now);
        drop(standing);
        self.wake();
    }

    fn wake(&self) {
        let _ = (&self.wake).write(&[0]); // full: it is awake
    }

    pub fn closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Ends it. Once this has returned nothing is granted here any more.
    pub fn close(&self) {
        let standing = self.standing();
        self.closed.store(true, Ordering::Release);
        drop(standing);
        self.wake();
    }

    /// Answers a renewal.
    pub fn renew(&self, ask: &GroupRequest) -> GroupResponse {
        let GroupRequest::Renew {
            from,
            replica: folder,
            replica_version: age,
            version: number,
            accepted: ready,
        } = ask
        else {
            return GroupResponse::Rejected {
                reason: "this is no renewal".into(),
            };
        };
        let mut standing = self.standing();
        if self.closed() {
            return GroupResponse::Rejected {
                reason: "it is stopping".into(),
            };
        }
        standing.handle_renewal(from, *folder, *age, *number, ready.as_ref(), clock::now())
    }

    /// The right to serve as it stands now, for the process that comes after.
    pub fn passed_on(&self) -> Inherited {
        let standing = self.standing();
        let number = standing.group_state().map_or(0, |d| d.version);
        Inherited {
            number,
            until: standing.lease_deadline(),
            gate: self.gate.until.load(Ordering::Acquire),
        }
    }

    /// Milliseconds for which this member may still serve by its lease; none where it has none.
    pub fn lease_ms(&self) -> Option<u64> {
        let left = self
            .standing()
            .lease_deadline()?
            .checked_sub(clock::now())?;
        Some(left.as_millis() as u64).filter(|ms| *ms > 0)
    }
}

/// The thread that renews, learns and settles.
pub(crate) struct Driver<E> {
    pub name: String,
    pub membership: Membership,
    pub shared: Arc<Shared>,
    pub woken: UnixStream,
    pub inner: Arc<Mutex<Inner<E>>>,
    /// The most bytes of an answer.
    pub most: usize,
}

/// What a driver is at besides renewing.
#[derive(Default)]
struct Busy {
    /// A decree is being taken up from another: it is written on a thread of its own, so that renewals go on.
    learning: Arc<AtomicBool>,
    settling: Arc<AtomicBool>,
    /// A rollout is driven from here.
    rolling: Arc<AtomicBool>,
    /// The highest ballot that was heard of.
    outbid: Arc<AtomicU64>,
    form_at: Duration,
}

impl<E: Enforcer> Driver<E> {
    fn log(&self, what: &str, why: &str) {
        let decree = self.shared.standing().group_state().cloned();
        let generation = decree.map_or(0, |d| d.generation);
        let record = AuditRecord {
            event: what.into(),
            detail: why.into(),
            generation,
            ..AuditRecord::default()
        };
        self.inner
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .enforcer
            .log(&record);
    }

    pub fn run(self) {
        let others = self
            .membership
            .links
            .iter()
            .filter(|(name, _)| **name != self.name);
        let mut links: Vec<Link> = others
            .map(|(name, path)| Link::new(name, path.clone()))
            .collect();
        let (mut due, mut busy, mut held) = (Duration::ZERO, Busy::default(), None);
        let mut number = 0;
        while !self.shared.closed.load(Ordering::Acquire) {
            let now = clock::now();
            let (ask, whom, every, settle_at, form, until, stands) = {
                let mut s = self.shared.standing();
                if s.group_state().map_or(0, |d| d.version) != number {
                    number = s.group_state().map_or(0, |d| d.version);
                    due = now; // under what stands now
                }
                let whom = if due <= now {
                    s.renew_from_self(now);
                    s.renewal_targets(now)
                } else {
                    Vec::new()
                };
                self.shared.publish(&s, now);
                (
                    s.renewal_request(),
                    whom,
                    s.renewal_interval(),
                    s.recovery_deadline(),
                    s.can_form_group(now),
                    s.lease_deadline(),
                    s.group_state().cloned(),
                )
            };
            if due <= now {
                due = now + every;
                for link in links
                    .iter_mut()
                    .filter(|l| whom.contains(&l.name) && l.free(now))
                {
                    link.ask(ask.clone(), now);
                }
            }
            let holds = until.is_some_and(|u| u > now);
            if held != Some(holds) && (holds || held.is_some()) {
                self.tell(holds);
                held = Some(holds);
            }
            if let Some(decree) = stands.as_ref().filter(|d| holds && under_way(d).is_some()) {
                self.roll(decree, &busy);
            }
            if !busy.settling.load(Ordering::Acquire) {
                if settle_at.is_some_and(|at| at <= now) {
                    self.propose(&mut busy, stands.as_ref(), every);
                } else if form && busy.form_at <= now {
                    busy.form_at = now + every;
                    self.propose(&mut busy, None, every);
                }
            }
            let wake_at = [
                Some(due),
                settle_at.filter(|at| *at > now),
                until.filter(|u| *u > now),
            ];
            let wake_at = wake_at.into_iter().flatten().min().unwrap_or(due);
            // An answer that took longer than a lease is worth nothing.
            let came = links::wait(&mut links, &self.woken, wake_at, every * 3, self.most);
            for (n, ask, sent, say) in came {
                self.heard(&mut links[n], &ask, sent, say, &busy, stands.as_ref());
            }
        }
    }

    fn tell(&self, holds: bool) {
        match (holds, self.membership.alone) {
            (true, _) => self.log("lease held", ""),
            (false, Alone::Refuse) => self.log(
                "lease lost",
                "too few members answer: requests are turned away",
            ),
            (false, Alone::AsKnown) => {
                self.log(
                    "lease lost",
                    "too few members answer: serving on as known, and a change may be missed",
                );
            }
        }
    }

    fn heard(
        &self,
        link: &mut Link,
        ask: &GroupRequest,
        sent: Duration,
        say: GroupResponse,
        busy: &Busy,
        stands: Option<&Arc<GroupState>>,
    ) {
        let now = clock::now();
        match (ask, say) {
            (
                GroupRequest::Renew {
                    replica_version: age,
                    ..
                },
                say @ GroupResponse::Renewed { .. },
            ) => {
                let found = {
                    let mut s = self.shared.standing();
                    let found = s.handle_response(&link.name, (sent, Some(age.writes)), &say, now);
                    self.shared.publish(&s, now);
                    found
                };
                match (found, stands) {
                    (RenewalResult::FetchState, _) => link.ask(GroupRequest::Learn, now),
                    (RenewalResult::SendState, Some(decree)) => {
                        let (number, digest) = (decree.version, decree.digest.clone());
                        link.ask(
                            GroupRequest::Decided {
                                version: number,
                                digest,
                                state: Some(decree.clone()),
                            },
                            now,
                        );
                    }
                    (RenewalResult::StaleReplica, _) => {
                        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
                        inner.shed();
                    }
                    _ => {}
                }
            }
            (
                GroupRequest::Learn,
                GroupResponse::State {
                    state: Some(decree),
                },
            ) => self.learn(decree, busy),
            _ => {}
        }
    }

    /// Takes up what another member says stands, on a thread of its own.
    fn learn(&self, decree: Arc<GroupState>, busy: &Busy) {
        if busy.learning.swap(true, Ordering::AcqRel) {
            return;
        }
        let (inner, learning) = (self.inner.clone(), busy.learning.clone());
        let work = move || {
            let (number, digest) = (decree.version, decree.digest.clone());
            let ask = GroupRequest::Decided {
                version: number,
                digest,
                state: Some(decree),
            };
            inner
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take_group(ask, "learn");
            learning.store(false, Ordering::Release);
        };
        if std::thread::Builder::new()
            .name("group".into())
            .stack_size(STACK)
            .spawn(work)
            .is_err()
        {
            busy.learning.store(false, Ordering::Release);
        }
    }

    /// Drives the rollout that stands, on a thread of its own, if that is not being done.
    fn roll(&self, decree: &Arc<GroupState>, busy: &Busy) {
        if busy.rolling.swap(true, Ordering::AcqRel) {
            return;
        }
        let driving = Driving {
            name: self.name.clone(),
            decree: decree.clone(),
            at: self.membership.links.clone(),
            shared: self.shared.clone(),
            inner: self.inner.clone(),
            most: self.most,
        };
        let (rolling, shared) = (busy.rolling.clone(), self.shared.clone());
        let work = move || {
            driving.run();
            rolling.store(false, Ordering::Release);
            shared.wake();
        };
        if std::thread::Builder::new()
            .name("rollout".into())
            .stack_size(STACK)
            .spawn(work)
            .is_err()
        {
            busy.rolling.store(false, Ordering::Release);
        }
    }

    /// Settles what was left half decided, or forms the group, on a thread of its own.
    fn propose(&self, busy: &mut Busy, base: Option<&Arc<GroupState>>, every: Duration) {
        let promised = {
            let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.group.as_ref().map_or(0, |g| g.state().promised.round)
        };
        let round = promised.max(busy.outbid.load(Ordering::Acquire)) + 1;
        let (ballot, now) = (
            Ballot {
                round,
                proposer: drawn(),
            },
            clock::now(),
        );
        // A pending decree without one that stands is the first one: all must take part in it.
        let mut proposer = match base {
            Some(base) => Proposer::new(base.clone(), ProposalGoal::Recover, ballot, now),
            None => Proposer::form_group(self.membership.charter.clone(), ballot, now),
        };
        self.log(
            if base.is_some() {
                "settling"
            } else {
                "forming"
            },
            "",
        );
        busy.settling.store(true, Ordering::Release);
        let (shared, links) = (self.shared.clone(), self.membership.links.clone());
        let (settling, outbid) = (busy.settling.clone(), busy.outbid.clone());
        let work = move || {
            if let ProposalOutcome::HigherBallot(by) =
                drive(&mut proposer, &links, every * 3 * SETTLE, |_| {})
            {
                outbid.fetch_max(by.round, Ordering::AcqRel);
            }
            shared.standing().postpone_recovery(clock::now());
            settling.store(false, Ordering::Release);
            shared.wake();
        };
        if std::thread::Builder::new()
            .name("group".into())
            .stack_size(STACK)
            .spawn(work)
            .is_err()
        {
            busy.settling.store(false, Ordering::Release);
        }
    }
}
