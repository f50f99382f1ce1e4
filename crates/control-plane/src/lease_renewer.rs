//! The background thread of a group member. It renews the lease, learns the group state from other members, recovers unfinished
//! proposals, forms the group and starts the rollout controller. Slow work runs on separate threads, so that renewals are not
//! delayed.

use crate::clock;
use crate::control_state::{lock, ControlState};
use crate::data_plane::DataPlane;
use crate::group::{GroupConfig, WithoutLease, RENEWALS_PER_LEASE};
use crate::member_links::{self, MemberLink, Response, WaitLimits};
use crate::proposal::run_proposal;
use crate::rollout_controller::{rollout_under_way, RolloutController};
use crate::shared_lease::{random_id, SharedLease};
use crate::thread::spawn_message_thread;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::lease::{RenewalResult, SentRenewal};
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};

/// Timeout of a proposal that recovers a decision or forms the group, in lease durations; it is retried afterwards.
const RECOVERY_TIMEOUT_LEASES: u32 = 4;

/// Renews a member's lease and keeps the member up to date with its group.
pub struct LeaseRenewer<D> {
    name: String,
    group: GroupConfig,
    lease: Arc<SharedLease>,
    wake_up: UnixStream,
    control: Arc<Mutex<ControlState<D>>>,
    max_message_bytes: usize,
    tasks: Tasks,
    /// When the next renewal is due, by [`clock::now`].
    renewal_due: Duration,
    /// The version of the group state in the last snapshot.
    version: u64,
    /// Whether the last logged event was that the lease is held; `None` until the member has held a lease.
    had_lease: Option<bool>,
    /// Earliest time of the next attempt to form the group.
    form_at: Duration,
}

/// Tasks that run on other threads.
#[derive(Default)]
struct Tasks {
    /// Applies a group state learned from another member.
    learning: Task,
    /// Recovers an unfinished proposal, or forms the group.
    proposing: Task,
    /// Runs the rollout controller.
    rollout: Task,
    /// The highest round of a ballot by which a proposal of this member was outbid.
    highest_round: Arc<AtomicU64>,
}

/// A task of which at most one instance runs at a time. Holds whether it is running.
#[derive(Clone, Default)]
struct Task(Arc<AtomicBool>);

impl Task {
    fn is_running(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Starts `work` on a thread with the given name, unless the task is already running. Wakes the lease renewer when `work`
    /// has finished.
    fn start(&self, thread: &str, lease: &Arc<SharedLease>, work: impl FnOnce() + Send + 'static) {
        if self.0.swap(true, Ordering::AcqRel) {
            return;
        }
        let task = self.clone();
        let lease = lease.clone();
        let run = move || {
            work();
            task.finish();
            lease.wake();
        };
        if spawn_message_thread(thread, run).is_err() {
            self.finish();
        }
    }

    fn finish(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// The state of the lease at the start of one iteration of the renewer.
struct LeaseSnapshot {
    now: Duration,
    renewal: GroupRequest,
    /// The members to send a renewal to; empty if no renewal is due.
    recipients: Vec<String>,
    renewal_interval: Duration,
    /// When an unfinished proposal is to be recovered; `None` if there is none.
    recovery_deadline: Option<Duration>,
    can_form_group: bool,
    lease_deadline: Option<Duration>,
    group_state: Option<Arc<GroupState>>,
}

impl LeaseSnapshot {
    fn has_lease(&self) -> bool {
        self.lease_deadline
            .is_some_and(|deadline| deadline > self.now)
    }

    fn lease_duration(&self) -> Duration {
        self.renewal_interval * RENEWALS_PER_LEASE
    }
}

impl<D: DataPlane> LeaseRenewer<D> {
    /// Creates the renewer of a member. `wake_up` becomes readable when the renewer must check the lease again.
    pub fn new(
        group: GroupConfig,
        lease: Arc<SharedLease>,
        wake_up: UnixStream,
        control: Arc<Mutex<ControlState<D>>>,
    ) -> LeaseRenewer<D> {
        let (name, max_message_bytes) = {
            let state = lock(&control);
            (state.name.clone(), state.max_message_bytes)
        };
        LeaseRenewer {
            name,
            group,
            lease,
            wake_up,
            control,
            max_message_bytes,
            tasks: Tasks::default(),
            renewal_due: Duration::ZERO,
            version: 0,
            had_lease: None,
            form_at: Duration::ZERO,
        }
    }

    /// Runs until the lease is closed.
    pub fn run(mut self) {
        let others = self.group.control_sockets.iter();
        let mut links: Vec<MemberLink> = others
            .filter(|(name, _)| **name != self.name)
            .map(|(name, path)| MemberLink::new(name, path.clone()))
            .collect();
        while !self.lease.is_closed() {
            let snapshot = self.take_snapshot();
            self.send_renewals(&mut links, &snapshot);
            self.log_lease_change(&snapshot);
            self.start_rollout_controller(&snapshot);
            self.propose_if_due(&snapshot);
            let limits = WaitLimits {
                deadline: self.wait_deadline(&snapshot),
                // A response that takes longer than a lease is useless: the lease would have expired.
                timeout: snapshot.lease_duration(),
                max_bytes: self.max_message_bytes,
            };
            for response in member_links::wait(&mut links, &self.wake_up, limits) {
                let link = response.link;
                self.handle_response(&mut links[link], &response, snapshot.group_state.as_ref());
            }
        }
    }

    /// Reads the state of the lease and publishes its deadline to the guard.
    fn take_snapshot(&mut self) -> LeaseSnapshot {
        let now = clock::now();
        let mut manager = self.lease.manager();
        let version = manager.group_state().map_or(0, |state| state.version);
        if version != self.version {
            self.version = version;
            // A lease under the new group state is needed immediately.
            self.renewal_due = now;
        }
        let mut recipients = Vec::new();
        if self.renewal_due <= now {
            manager.renew_from_self(now);
            recipients = manager.renewal_targets(now);
        }
        self.lease.publish(&manager, now);
        LeaseSnapshot {
            now,
            renewal: GroupRequest::Renew(manager.renewal_request()),
            recipients,
            renewal_interval: manager.renewal_interval(),
            recovery_deadline: manager.recovery_deadline(),
            can_form_group: manager.can_form_group(now),
            lease_deadline: manager.lease_deadline(),
            group_state: manager.group_state().cloned(),
        }
    }

    fn send_renewals(&mut self, links: &mut [MemberLink], snapshot: &LeaseSnapshot) {
        if self.renewal_due > snapshot.now {
            return;
        }
        self.renewal_due = snapshot.now + snapshot.renewal_interval;
        let recipients = links
            .iter_mut()
            .filter(|link| snapshot.recipients.contains(&link.name) && link.is_ready(snapshot.now));
        for link in recipients {
            link.send(snapshot.renewal.clone(), snapshot.now);
        }
    }

    /// Logs when the lease has been acquired or lost.
    fn log_lease_change(&mut self, snapshot: &LeaseSnapshot) {
        let has_lease = snapshot.has_lease();
        let never_held = self.had_lease.is_none() && !has_lease;
        if self.had_lease == Some(has_lease) || never_held {
            return;
        }
        self.had_lease = Some(has_lease);
        match (has_lease, self.group.without_lease) {
            (true, _) => self.log("lease held", ""),
            (false, WithoutLease::Reject) => self.log(
                "lease lost",
                "too few members respond: requests are rejected",
            ),
            (false, WithoutLease::ServeLastKnown) => self.log(
                "lease lost",
                "too few members respond: serving under the last known state, which may miss a change",
            ),
        }
    }

    fn log(&self, event: &str, detail: &str) {
        let state = self.lease.group_state();
        let record = AuditRecord {
            event: event.into(),
            detail: detail.into(),
            generation: state.map_or(0, |state| state.generation),
            ..AuditRecord::default()
        };
        lock(&self.control).data_plane.log(&record);
    }

    /// Starts the rollout controller if a rollout is under way and this member holds a lease.
    fn start_rollout_controller(&self, snapshot: &LeaseSnapshot) {
        let Some(state) = snapshot
            .group_state
            .as_ref()
            .filter(|_| snapshot.has_lease())
        else {
            return;
        };
        if rollout_under_way(state).is_none() || self.tasks.rollout.is_running() {
            return;
        }
        let controller = RolloutController {
            name: self.name.clone(),
            group_state: state.clone(),
            control_sockets: self.group.control_sockets.clone(),
            lease: self.lease.clone(),
            control: self.control.clone(),
            max_message_bytes: self.max_message_bytes,
        };
        self.tasks
            .rollout
            .start("rollout", &self.lease, move || controller.run());
    }

    /// Recovers an unfinished proposal or forms the group, if either is due.
    fn propose_if_due(&mut self, snapshot: &LeaseSnapshot) {
        if self.tasks.proposing.is_running() {
            return;
        }
        if snapshot
            .recovery_deadline
            .is_some_and(|deadline| deadline <= snapshot.now)
        {
            self.propose(snapshot.group_state.as_ref(), snapshot);
        } else if snapshot.can_form_group && self.form_at <= snapshot.now {
            self.form_at = snapshot.now + snapshot.renewal_interval;
            self.propose(None, snapshot);
        }
    }

    /// Runs a proposal on a separate thread: with `base`, recovers the proposal that follows `base`; without, forms the group.
    fn propose(&self, base: Option<&Arc<GroupState>>, snapshot: &LeaseSnapshot) {
        let promised_round = lock(&self.control).promised_round();
        let outbid_by = self.tasks.highest_round.load(Ordering::Acquire);
        let ballot = Ballot {
            round: promised_round.max(outbid_by) + 1,
            proposer: random_id(),
        };
        let now = clock::now();
        // Every initial member must take part in forming the group.
        let mut proposer = match base {
            Some(base) => Proposer::new(base.clone(), ProposalGoal::Recover, ballot, now),
            None => Proposer::form_group(self.group.initial_members.clone(), ballot, now),
        };
        self.log(
            if base.is_some() {
                "settling"
            } else {
                "forming"
            },
            "",
        );
        let lease = self.lease.clone();
        let control_sockets = self.group.control_sockets.clone();
        let highest_round = self.tasks.highest_round.clone();
        let timeout = snapshot.lease_duration() * RECOVERY_TIMEOUT_LEASES;
        self.tasks.proposing.start("group", &self.lease, move || {
            let outcome = run_proposal(&mut proposer, &control_sockets, timeout, |_| {});
            if let ProposalOutcome::HigherBallot(ballot) = outcome {
                highest_round.fetch_max(ballot.round, Ordering::AcqRel);
            }
            lease.manager().postpone_recovery(clock::now());
        });
    }

    /// When the next renewal, recovery or lease expiry is due.
    fn wait_deadline(&self, snapshot: &LeaseSnapshot) -> Duration {
        let deadlines = [snapshot.recovery_deadline, snapshot.lease_deadline];
        deadlines
            .into_iter()
            .flatten()
            .filter(|deadline| *deadline > snapshot.now)
            .fold(self.renewal_due, Duration::min)
    }

    /// Handles a response from another member; `state` is the group state of the current snapshot.
    fn handle_response(
        &self,
        link: &mut MemberLink,
        response: &Response,
        state: Option<&Arc<GroupState>>,
    ) {
        match (&response.request, &response.response) {
            (GroupRequest::Renew { .. }, GroupResponse::Renewed { .. }) => {
                self.handle_renewal(link, response, state)
            }
            (
                GroupRequest::Learn,
                GroupResponse::State {
                    state: Some(learned),
                },
            ) => self.apply_learned_state(learned.clone()),
            _ => {}
        }
    }

    fn handle_renewal(
        &self,
        link: &mut MemberLink,
        response: &Response,
        state: Option<&Arc<GroupState>>,
    ) {
        let (GroupRequest::Renew(request), GroupResponse::Renewed(renewed)) =
            (&response.request, &response.response)
        else {
            return;
        };
        let now = clock::now();
        let result = {
            let mut manager = self.lease.manager();
            let sent = SentRenewal {
                at: response.sent_at,
                writes: Some(request.replica_version.writes),
            };
            let result = manager.handle_response(&link.name, sent, renewed, now);
            self.lease.publish(&manager, now);
            result
        };
        match (result, state) {
            (RenewalResult::FetchState, _) => link.send(GroupRequest::Learn, now),
            (RenewalResult::SendState, Some(state)) => {
                link.send(decided_request(state.clone()), now)
            }
            (RenewalResult::StaleReplica, _) => lock(&self.control).give_up_votes(),
            _ => {}
        }
    }

    /// Applies a group state that another member reports as decided, on a separate thread.
    fn apply_learned_state(&self, state: Arc<GroupState>) {
        let control = self.control.clone();
        self.tasks.learning.start("group", &self.lease, move || {
            lock(&control).handle_group(decided_request(state), "learn");
        });
    }
}

/// Builds the request that reports a group state as decided.
fn decided_request(state: Arc<GroupState>) -> GroupRequest {
    GroupRequest::Decided {
        version: state.version,
        digest: state.digest.clone(),
        state: Some(state),
    }
}
