//! Drives the rollout that stands in a group, on a thread of its own: looks at all members once a second, has `wrenfork-rollout`
//! judge, and has the group decide what that wants.
//!
//! The voters have an order drawn by the rollout; the first of them that has a lease drives. Two that both believe to be it do no
//! harm: what they want has one version, and is decided once.

use crate::audit_log::ROLLOUT_RECORD;
use crate::client;
use crate::clock;
use crate::control_state::{lock, ControlState};
use crate::data_plane::DataPlane;
use crate::member_links::{self, MemberLink, Response, WaitLimits};
use crate::proposal::run_proposal;
use crate::shared_lease::{random_id, SharedLease};
use std::collections::BTreeMap;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::membership::MemberRole;
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};
use wrenfork_rollout::{Observations, Rollout, RolloutPhase, StageMonitor};

/// Between two looks. A block of the comparison is as long at the least.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// How long a look waits for a member: half the time to the next one.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);
/// Between two looks at whether the rollout still stands.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Leases in which a step must have been decided, or it is proposed anew.
const DECISION_LEASES: u32 = 4;

/// The rollout of a group's state, if there is something to drive.
pub fn rollout_under_way(state: &GroupState) -> Option<&Rollout> {
    let rollout = state.rollout.as_deref()?;
    matches!(
        rollout.phase,
        RolloutPhase::Active { .. } | RolloutPhase::RollingBack { .. }
    )
    .then_some(rollout)
}

/// All that the thread works with.
pub struct RolloutController<D> {
    /// This member's name.
    pub name: String,
    /// The group's state whose rollout it is.
    pub group_state: Arc<GroupState>,
    /// The members' control sockets, this one's among them.
    pub control_sockets: BTreeMap<String, PathBuf>,
    pub lease: Arc<SharedLease>,
    pub control: Arc<Mutex<ControlState<D>>>,
    /// The most bytes of a response.
    pub max_message_bytes: usize,
}

/// The connections to the members that serve.
struct Links {
    links: Vec<MemberLink>,
    wake_up: UnixStream,
    /// Nothing is written to it: it keeps `wake_up` silent for as long as it is open.
    _wake: UnixStream,
}

impl<D: DataPlane> RolloutController<D> {
    /// Drives until another state stands in the group, or this member ends.
    pub fn run(self) {
        let Some(rollout) = rollout_under_way(&self.group_state).cloned() else {
            return;
        };
        let Some(mut links) = self.links() else {
            return;
        };
        let mut monitor: Option<StageMonitor> = None;
        let mut highest_round = 0;
        while self.stands() {
            let started = clock::now();
            if self.lease.remaining_ms().is_none() || self.is_led_by_another(&rollout) {
                // What another sees meanwhile is not known here.
                monitor = None;
            } else {
                let seen = self.look(&mut links);
                let monitor = monitor.get_or_insert_with(|| {
                    self.log(&rollout.phase.to_string(), "driven from here");
                    StageMonitor::new(rollout.clone(), self.group_state.version, started)
                });
                let next = monitor.observe(clock::now(), &seen);
                self.grant_turns(&rollout, monitor.grant_turns(&seen));
                if let Some(next) = next {
                    highest_round = self.decide(next, highest_round);
                }
            }
            self.wait_until(started + LOOK_INTERVAL);
        }
    }

    fn links(&self) -> Option<Links> {
        let (wake, wake_up) = UnixStream::pair().ok()?;
        wake_up.set_nonblocking(true).ok()?;
        let serves = |name: &str| {
            let member = self.group_state.membership.member(name);
            member.is_some_and(|member| member.role == MemberRole::Ingress)
        };
        let links = self
            .control_sockets
            .iter()
            .filter(|(name, _)| serves(name))
            .map(|(name, path)| MemberLink::new(name, path.clone()))
            .collect();
        Some(Links {
            links,
            wake_up,
            _wake: wake,
        })
    }

    fn wait_until(&self, deadline: Duration) {
        while clock::now() < deadline && self.stands() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether what is driven still stands.
    fn stands(&self) -> bool {
        !self.lease.is_closed() && self.lease.group_version() == self.group_state.version
    }

    fn log(&self, event: &str, detail: &str) {
        let record = AuditRecord {
            event: format!("{ROLLOUT_RECORD}: {event}"),
            detail: detail.into(),
            change: self.group_state.change.clone(),
            generation: self.group_state.generation,
            ..AuditRecord::default()
        };
        lock(&self.control).data_plane.log(&record);
    }

    /// Whether a voter that comes before this one in the order has a lease.
    fn is_led_by_another(&self, rollout: &Rollout) -> bool {
        let lot = |name: &str| Digest::of(format!("{:?} drives {name}", rollout.id).as_bytes());
        let own_lot = lot(&self.name);
        let voters = self.group_state.membership.voters();
        let before: Vec<&PathBuf> = voters
            .filter(|voter| lot(&voter.name) < own_lot)
            .filter_map(|voter| self.control_sockets.get(&voter.name))
            .collect();
        std::thread::scope(|scope| {
            let queries: Vec<_> = before
                .iter()
                .map(|path| scope.spawn(|| self.may_lead(path)))
                .collect();
            queries
                .into_iter()
                .any(|query| query.join().unwrap_or(false))
        })
    }

    /// Whether the member at a socket is under the same state of the group and has a lease.
    fn may_lead(&self, path: &Path) -> bool {
        match client::request(path, &GroupRequest::Status, MEMBER_TIMEOUT) {
            Ok(GroupResponse::Status(status)) => {
                status.version == self.group_state.version && status.lease_ms.is_some()
            }
            _ => false,
        }
    }

    /// What each member that serves has counted so far, or that it does not answer.
    fn look(&self, links: &mut Links) -> Observations {
        let started = clock::now();
        let names = links.links.iter().map(|link| link.name.clone());
        let mut seen: Observations = names.map(|name| (name, None)).collect();
        let mut outstanding = 0;
        for link in links.links.iter_mut().filter(|l| l.is_ready(started)) {
            link.send(GroupRequest::Tally, started);
            outstanding += 1;
        }
        let limits = WaitLimits {
            deadline: started + MEMBER_TIMEOUT,
            timeout: MEMBER_TIMEOUT,
            max_bytes: self.max_message_bytes,
        };
        while outstanding > 0 && clock::now() < limits.deadline {
            for response in member_links::wait(&mut links.links, &links.wake_up, limits) {
                outstanding -= 1;
                let Response {
                    link,
                    sent_at,
                    response,
                    ..
                } = response;
                // What was requested before this look is too old to be compared with the others'.
                if let (GroupResponse::Tallied(tally), true) = (response, sent_at >= started) {
                    seen.insert(links.links[link].name.clone(), Some(*tally));
                }
            }
        }
        seen
    }

    /// Tells members that it is their turn to change their program.
    fn grant_turns(&self, rollout: &Rollout, members: Vec<String>) {
        let turn = GroupRequest::UpgradeTurn {
            version: self.group_state.version,
        };
        for name in members {
            let Some(path) = self.control_sockets.get(&name) else {
                continue;
            };
            // One that is not reached is told at the next look.
            if let Ok(GroupResponse::Acknowledged) = client::request(path, &turn, MEMBER_TIMEOUT) {
                let why = format!("{name}'s turn to change its program");
                self.log(&rollout.phase.to_string(), &why);
            }
        }
    }

    /// Has the group decide a step; the highest round of a ballot that was heard of.
    fn decide(&self, next: Rollout, highest_round: u64) -> u64 {
        let (what, why) = (next.phase.to_string(), next.reason.clone());
        let state = match self
            .group_state
            .with_rollout(&self.group_state.author, next)
        {
            Ok(state) => Arc::new(state),
            Err(error) => {
                self.log(&what, &format!("can't be: {error}"));
                return highest_round;
            }
        };
        let promised_round = lock(&self.control).promised_round();
        let ballot = Ballot {
            round: promised_round.max(highest_round) + 1,
            proposer: random_id(),
        };
        let base = self.group_state.clone();
        let mut proposer = Proposer::new(base, ProposalGoal::Change(state), ballot, clock::now());
        let timeout = self.group_state.membership.lease() * DECISION_LEASES;
        match run_proposal(&mut proposer, &self.control_sockets, timeout, |_| {}) {
            ProposalOutcome::Committed => self.log(&what, &why),
            ProposalOutcome::HigherBallot(by) => return by.round,
            ProposalOutcome::Rejected(members) => {
                let reasons: Vec<String> = members
                    .into_iter()
                    .map(|member| format!("{}: {}", member.member, member.reason))
                    .collect();
                self.log(&what, &format!("refused: {}", reasons.join("; ")));
            }
            // Somebody else was first, or the members settle it; either way it shows in what stands.
            ProposalOutcome::NoQuorum { .. }
            | ProposalOutcome::Superseded(_)
            | ProposalOutcome::TimedOut => {}
        }
        highest_round
    }
}
