//! Drives the current rollout of a group on a separate thread. Once a second, the controller collects metrics from all members,
//! passes them to `wrenfork-rollout`, and proposes the resulting step to the group.
//!
//! The rollout's id determines an order of the voters; the first voter in that order that holds a lease drives the rollout. If two
//! members drive at the same time, no harm is done: both propose the same version of the group state, and only one is decided.

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

/// Interval between two observations of the members; also the minimum length of a block of the comparison.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);
/// How long an observation waits for a member: half of [`OBSERVATION_INTERVAL`].
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the checks whether the rollout's group state is still in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of the proposal of a step, in lease durations; the step is proposed again afterwards.
const DECISION_TIMEOUT_LEASES: u32 = 4;

/// The rollout of a group state, if it is active or being rolled back.
pub fn rollout_under_way(state: &GroupState) -> Option<&Rollout> {
    let rollout = state.rollout.as_deref()?;
    matches!(
        rollout.phase,
        RolloutPhase::Active { .. } | RolloutPhase::RollingBack { .. }
    )
    .then_some(rollout)
}

/// Drives one rollout from this member.
pub struct RolloutController<D> {
    /// This member's name.
    pub name: String,
    /// The group state that contains the rollout.
    pub group_state: Arc<GroupState>,
    /// Control sockets by member name, including this member's own.
    pub control_sockets: BTreeMap<String, PathBuf>,
    pub lease: Arc<SharedLease>,
    pub control: Arc<Mutex<ControlState<D>>>,
    /// Maximum size of a response in bytes.
    pub max_message_bytes: usize,
}

/// Connections to the members that serve requests (not to witnesses).
struct Links {
    links: Vec<MemberLink>,
    wake_up: UnixStream,
    /// The other end of `wake_up`. Never written to, but kept open so that `wake_up` does not become readable.
    _wake: UnixStream,
}

impl<D: DataPlane> RolloutController<D> {
    /// Drives the rollout until another group state is in force or this member's lease is closed.
    pub fn run(self) {
        let Some(rollout) = rollout_under_way(&self.group_state).cloned() else {
            return;
        };
        let Some(mut links) = self.create_links() else {
            return;
        };
        let mut monitor: Option<StageMonitor> = None;
        let mut highest_round = 0;
        while self.is_current() {
            let started = clock::now();
            if self.lease.remaining_ms().is_none() || self.is_driven_by_another(&rollout) {
                // The observations of the other driver are not known here, so start anew after it.
                monitor = None;
            } else {
                let observations = self.observe(&mut links);
                let monitor = monitor.get_or_insert_with(|| {
                    self.log(&rollout.phase.to_string(), "driven from here");
                    StageMonitor::new(rollout.clone(), self.group_state.version, started)
                });
                let next_step = monitor.observe(clock::now(), &observations);
                self.grant_turns(&rollout, monitor.grant_turns(&observations));
                if let Some(next_step) = next_step {
                    highest_round = self.propose_step(next_step, highest_round);
                }
            }
            self.wait_until(started + OBSERVATION_INTERVAL);
        }
    }

    fn create_links(&self) -> Option<Links> {
        let (wake, wake_up) = UnixStream::pair().ok()?;
        wake_up.set_nonblocking(true).ok()?;
        let is_ingress = |name: &str| {
            let member = self.group_state.membership.member(name);
            member.is_some_and(|member| member.role == MemberRole::Ingress)
        };
        let links = self
            .control_sockets
            .iter()
            .filter(|(name, _)| is_ingress(name))
            .map(|(name, path)| MemberLink::new(name, path.clone()))
            .collect();
        Some(Links {
            links,
            wake_up,
            _wake: wake,
        })
    }

    fn wait_until(&self, deadline: Duration) {
        while clock::now() < deadline && self.is_current() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Whether the rollout's group state is still in force and the lease is open.
    fn is_current(&self) -> bool {
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

    /// Whether a voter that precedes this member in the rollout's order holds a lease.
    fn is_driven_by_another(&self, rollout: &Rollout) -> bool {
        let order_key =
            |name: &str| Digest::of(format!("{:?} drives {name}", rollout.id).as_bytes());
        let own_key = order_key(&self.name);
        let voters = self.group_state.membership.voters();
        let earlier_sockets: Vec<&PathBuf> = voters
            .filter(|voter| order_key(&voter.name) < own_key)
            .filter_map(|voter| self.control_sockets.get(&voter.name))
            .collect();
        std::thread::scope(|scope| {
            let queries: Vec<_> = earlier_sockets
                .iter()
                .map(|path| scope.spawn(|| self.may_drive(path)))
                .collect();
            queries
                .into_iter()
                .any(|query| query.join().unwrap_or(false))
        })
    }

    /// Whether the member at a socket has the same group state in force and holds a lease.
    fn may_drive(&self, path: &Path) -> bool {
        match client::request(path, &GroupRequest::Status, MEMBER_TIMEOUT) {
            Ok(GroupResponse::Status(status)) => {
                status.version == self.group_state.version && status.lease_ms.is_some()
            }
            _ => false,
        }
    }

    /// Collects the metrics of each serving member; `None` for a member that does not respond in time.
    fn observe(&self, links: &mut Links) -> Observations {
        let started = clock::now();
        let names = links.links.iter().map(|link| link.name.clone());
        let mut observations: Observations = names.map(|name| (name, None)).collect();
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
                // The response to an earlier observation is too old to compare with the other members' metrics.
                if let (GroupResponse::Tallied(tally), true) = (response, sent_at >= started) {
                    observations.insert(links.links[link].name.clone(), Some(*tally));
                }
            }
        }
        observations
    }

    /// Grants members their turn to change their program.
    fn grant_turns(&self, rollout: &Rollout, members: Vec<String>) {
        let turn = GroupRequest::UpgradeTurn {
            version: self.group_state.version,
        };
        for name in members {
            let Some(path) = self.control_sockets.get(&name) else {
                continue;
            };
            // A member that can't be reached is granted its turn at the next observation.
            if let Ok(GroupResponse::Acknowledged) = client::request(path, &turn, MEMBER_TIMEOUT) {
                let detail = format!("{name}'s turn to change its program");
                self.log(&rollout.phase.to_string(), &detail);
            }
        }
    }

    /// Proposes a step to the group. Returns the highest ballot round seen so far.
    fn propose_step(&self, next_step: Rollout, highest_round: u64) -> u64 {
        let (phase, reason) = (next_step.phase.to_string(), next_step.reason.clone());
        let state = match self
            .group_state
            .with_rollout(&self.group_state.author, next_step)
        {
            Ok(state) => Arc::new(state),
            Err(error) => {
                self.log(&phase, &format!("the step is invalid: {error}"));
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
        let timeout = self.group_state.membership.lease() * DECISION_TIMEOUT_LEASES;
        match run_proposal(&mut proposer, &self.control_sockets, timeout, |_| {}) {
            ProposalOutcome::Committed => self.log(&phase, &reason),
            ProposalOutcome::HigherBallot(ballot) => return ballot.round,
            ProposalOutcome::Rejected(members) => {
                let reasons: Vec<String> = members
                    .into_iter()
                    .map(|member| format!("{}: {}", member.member, member.reason))
                    .collect();
                self.log(&phase, &format!("rejected: {}", reasons.join("; ")));
            }
            // Another proposal was first, or the members recover this one. Either way the group state in force shows the outcome.
            ProposalOutcome::NoQuorum { .. }
            | ProposalOutcome::Superseded(_)
            | ProposalOutcome::TimedOut => {}
        }
        highest_round
    }
}
