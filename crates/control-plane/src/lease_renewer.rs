//! The thread of a member that renews its lease, learns the group's state from others, settles what was left half decided, forms
//! the group, and starts the controller of a rollout. What may take long runs on threads of its own, so that renewals go on.

use crate::clock;
use crate::control_state::{lock, ControlState};
use crate::data_plane::DataPlane;
use crate::group::{GroupConfig, WithoutLease, RENEWALS_PER_LEASE};
use crate::member_links::{self, MemberLink, Response, WaitLimits};
use crate::proposal::run_proposal;
use crate::rollout_controller::{rollout_under_way, RolloutController};
use crate::shared_lease::{random_id, SharedLease};
use crate::thread::spawn_messenger;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use wrenfork_commit::protocol::AuditRecord;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::lease::{RenewalResult, SentRenewal};
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};

/// Leases in which a settlement must have come to an end, or it is begun anew.
const SETTLEMENT_LEASES: u32 = 4;

/// The thread that renews a member's lease.
pub struct LeaseRenewer<D> {
    name: String,
    group: GroupConfig,
    lease: Arc<SharedLease>,
    wake_up: UnixStream,
    control: Arc<Mutex<ControlState<D>>>,
    max_message_bytes: usize,
    tasks: Tasks,
    /// When the next renewal is due.
    renewal_due: Duration,
    /// The version of the group's state at the last look.
    version: u64,
    /// Whether there was a lease at the last look; none before there was one.
    had_lease: Option<bool>,
    /// When the group may be formed.
    form_at: Duration,
}

/// The work on other threads.
#[derive(Default)]
struct Tasks {
    /// A group's state is taken over from another member.
    learning: Task,
    /// A state that was left half decided is settled, or the group is formed.
    proposing: Task,
    /// A rollout is driven from here.
    rollout: Task,
    /// The highest round of a ballot that outbid one of here.
    highest_round: Arc<AtomicU64>,
}

/// Work that runs once at a time.
#[derive(Clone, Default)]
struct Task(Arc<AtomicBool>);

impl Task {
    fn is_running(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Starts the work on a thread of that name, unless it is running; `lease` is woken behind it, so that its renewer looks
    /// again.
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
        if spawn_messenger(thread, run).is_err() {
            self.finish();
        }
    }

    fn finish(&self) {
        self.0.store(false, Ordering::Release);
    }
}

/// What the lease says at one look.
struct Look {
    now: Duration,
    renewal: GroupRequest,
    /// The members that a renewal is to be sent to; none where it is not due.
    recipients: Vec<String>,
    interval: Duration,
    settle_at: Option<Duration>,
    may_form: bool,
    lease_until: Option<Duration>,
    group_state: Option<Arc<GroupState>>,
}

impl Look {
    fn has_lease(&self) -> bool {
        self.lease_until.is_some_and(|until| until > self.now)
    }

    fn lease_time(&self) -> Duration {
        self.interval * RENEWALS_PER_LEASE
    }
}

impl<D: DataPlane> LeaseRenewer<D> {
    /// The renewer of a member; `wake_up` becomes readable when it is to look again.
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

    /// Renews until the lease is closed.
    pub fn run(mut self) {
        let others = self.group.control_sockets.iter();
        let mut links: Vec<MemberLink> = others
            .filter(|(name, _)| **name != self.name)
            .map(|(name, path)| MemberLink::new(name, path.clone()))
            .collect();
        while !self.lease.is_closed() {
            let look = self.look();
            self.send_renewals(&mut links, &look);
            self.log_lease_change(&look);
            self.drive_rollout(&look);
            self.propose_if_due(&look);
            let limits = WaitLimits {
                deadline: self.wait_deadline(&look),
                // A response that takes longer than a lease is worth nothing.
                timeout: look.lease_time(),
                max_bytes: self.max_message_bytes,
            };
            for response in member_links::wait(&mut links, &self.wake_up, limits) {
                let link = response.link;
                self.handle(&mut links[link], &response, look.group_state.as_ref());
            }
        }
    }

    /// Looks at the lease, and publishes its deadline.
    fn look(&mut self) -> Look {
        let now = clock::now();
        let mut manager = self.lease.manager();
        let version = manager.group_state().map_or(0, |state| state.version);
        if version != self.version {
            self.version = version;
            // A lease under the new state is needed at once.
            self.renewal_due = now;
        }
        let mut recipients = Vec::new();
        if self.renewal_due <= now {
            manager.renew_from_self(now);
            recipients = manager.renewal_targets(now);
        }
        self.lease.publish(&manager, now);
        Look {
            now,
            renewal: GroupRequest::Renew(manager.renewal_request()),
            recipients,
            interval: manager.renewal_interval(),
            settle_at: manager.recovery_deadline(),
            may_form: manager.can_form_group(now),
            lease_until: manager.lease_deadline(),
            group_state: manager.group_state().cloned(),
        }
    }

    fn send_renewals(&mut self, links: &mut [MemberLink], look: &Look) {
        if self.renewal_due > look.now {
            return;
        }
        self.renewal_due = look.now + look.interval;
        let recipients = links
            .iter_mut()
            .filter(|link| look.recipients.contains(&link.name) && link.is_ready(look.now));
        for link in recipients {
            link.send(look.renewal.clone(), look.now);
        }
    }

    /// Logs that the lease was lost, or is there.
    fn log_lease_change(&mut self, look: &Look) {
        let has_lease = look.has_lease();
        let first_without = self.had_lease.is_none() && !has_lease;
        if self.had_lease == Some(has_lease) || first_without {
            return;
        }
        self.had_lease = Some(has_lease);
        match (has_lease, self.group.without_lease) {
            (true, _) => self.log("lease held", ""),
            (false, WithoutLease::Reject) => self.log(
                "lease lost",
                "too few members answer: requests are turned away",
            ),
            (false, WithoutLease::ServeLastKnown) => self.log(
                "lease lost",
                "too few members answer: serving on as known, and a change may be missed",
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

    /// Drives the rollout that stands from here, if there is one and a lease.
    fn drive_rollout(&self, look: &Look) {
        let Some(state) = look.group_state.as_ref().filter(|_| look.has_lease()) else {
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

    /// Settles what was left half decided, or forms the group, where it is time.
    fn propose_if_due(&mut self, look: &Look) {
        if self.tasks.proposing.is_running() {
            return;
        }
        if look.settle_at.is_some_and(|at| at <= look.now) {
            self.propose(look.group_state.as_ref(), look);
        } else if look.may_form && self.form_at <= look.now {
            self.form_at = look.now + look.interval;
            self.propose(None, look);
        }
    }

    /// Proposes on a thread of its own: to settle what follows `base`, or the first state of a group that has none.
    fn propose(&self, base: Option<&Arc<GroupState>>, look: &Look) {
        let promised_round = lock(&self.control).promised_round();
        let outbid_by = self.tasks.highest_round.load(Ordering::Acquire);
        let ballot = Ballot {
            round: promised_round.max(outbid_by) + 1,
            proposer: random_id(),
        };
        let now = clock::now();
        // All members must take part in the first state.
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
        let timeout = look.lease_time() * SETTLEMENT_LEASES;
        self.tasks.proposing.start("group", &self.lease, move || {
            let end = run_proposal(&mut proposer, &control_sockets, timeout, |_| {});
            if let ProposalOutcome::HigherBallot(by) = end {
                highest_round.fetch_max(by.round, Ordering::AcqRel);
            }
            lease.manager().postpone_recovery(clock::now());
        });
    }

    /// Until when there is nothing to do, unless something comes.
    fn wait_deadline(&self, look: &Look) -> Duration {
        let upcoming = [look.settle_at, look.lease_until];
        upcoming
            .into_iter()
            .flatten()
            .filter(|at| *at > look.now)
            .fold(self.renewal_due, Duration::min)
    }

    /// Takes a response of another member; `state` is the group's state at the last look.
    fn handle(&self, link: &mut MemberLink, response: &Response, state: Option<&Arc<GroupState>>) {
        match (&response.request, &response.response) {
            (GroupRequest::Renew { .. }, GroupResponse::Renewed { .. }) => {
                self.handle_renewal(link, response, state)
            }
            (
                GroupRequest::Learn,
                GroupResponse::State {
                    state: Some(learnt),
                },
            ) => self.learn(learnt.clone()),
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
        let verdict = {
            let mut manager = self.lease.manager();
            let sent = SentRenewal {
                at: response.sent_at,
                writes: Some(request.replica_version.writes),
            };
            let verdict = manager.handle_response(&link.name, sent, renewed, now);
            self.lease.publish(&manager, now);
            verdict
        };
        match (verdict, state) {
            (RenewalResult::FetchState, _) => link.send(GroupRequest::Learn, now),
            (RenewalResult::SendState, Some(state)) => link.send(decided(state.clone()), now),
            (RenewalResult::StaleReplica, _) => lock(&self.control).give_up_votes(),
            _ => {}
        }
    }

    /// Takes over the group's state that another member says stands, on a thread of its own.
    fn learn(&self, state: Arc<GroupState>) {
        let control = self.control.clone();
        self.tasks.learning.start("group", &self.lease, move || {
            lock(&control).handle_group(decided(state), "learn");
        });
    }
}

/// Says that a state of the group is decided, and what it is.
fn decided(state: Arc<GroupState>) -> GroupRequest {
    GroupRequest::Decided {
        version: state.version,
        digest: state.digest.clone(),
        state: Some(state),
    }
}
