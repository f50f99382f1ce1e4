//! Exhaustive search of two-phase commit: two or three ingresses, two coordinators, messages that are lost or delayed in either
//! direction, and crashes of ingresses and coordinators at any point.
//!
//! The search runs the package's own participant and coordinator. It also runs variants with one part of the protocol left
//! out, and must find a violation in each of them: otherwise a search without violations would prove nothing.

use stateright::{Checker, Model, Property, Representative};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::OnceLock;
use wrenfork_commit::coordinator::{CommitPhase, Coordinator, Decision};
use wrenfork_commit::participant::{Participant, ParticipantState};
use wrenfork_commit::plan::{IngressSnapshot, Plan, PlanHeader};
use wrenfork_commit::protocol::{CommitRequest, CommitResponse, CommitStatus};
use wrenfork_commit::state::{Digest, Generation, State};
use wrenfork_commit::step::Step;

/// Number of ingresses in the model: two by default, to keep the test fast. With three the search takes 20 s on four cores:
/// `WRENFORK_SEARCH=3 cargo test --release -p wrenfork-commit --test model -- --nocapture every`
fn ingress_count() -> usize {
    static COUNT: OnceLock<usize> = OnceLock::new();
    *COUNT.get_or_init(|| {
        std::env::var("WRENFORK_SEARCH")
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(2)
    })
}

/// The part of the protocol that is left out on purpose, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Variant {
    Complete,
    /// A participant keeps its votes, fences and ended changes only in memory, and loses them in a crash.
    NoDurableState,
    /// A change is prepared whatever generation is enforced.
    NoGenerationCheck,
    /// Every coordinator may decide, whatever its ballot.
    NoFence,
}

/// Task of the second coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondTask {
    AppliesAnother,
    AppliesTheSame,
    Recovers,
}

struct CommitModel {
    variant: Variant,
    second: SecondTask,
    /// Maximum number of crashes and lost messages.
    crashes: u8,
    /// Identities of the two plans.
    plans: [Digest; 2],
}

/// The message in flight between a coordinator and an ingress, at most one at a time. The request of a running coordinator is
/// not stored here, as it may arrive at any time; a coordinator that crashes may leave a request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Channel {
    Idle,
    Request(CommitRequest),
    Response(CommitResponse),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    ingresses: Vec<Participant>,
    /// None for a coordinator that has crashed.
    coordinators: Vec<Option<Coordinator>>,
    /// By coordinator, then by ingress.
    channels: Vec<Vec<Channel>>,
    /// Crashes and lost messages that may still happen.
    crashes: u8,
    /// Bit set of the ingresses that have voted for each change.
    voted: BTreeMap<String, u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A request of the coordinator arrives at the ingress and is handled.
    DeliverRequest(usize, usize),
    /// A response of the ingress arrives at the coordinator.
    DeliverResponse(usize, usize),
    /// An ingress crashes while it handles a request, either before it stores its state (false) or after that and before it
    /// responds (true), and restarts with its stored state. For the coordinator this equals a lost request or response.
    CrashIngress(usize, usize, bool),
    /// A coordinator crashes; its requests may still arrive.
    CrashCoordinator(usize),
}

impl Representative for ModelState {
    /// Returns one representative for all states that differ only in the order of the ingresses: ingresses differ only in
    /// their names, and the names influence nothing.
    fn representative(&self) -> ModelState {
        let mut order: Vec<usize> = (0..self.ingresses.len()).collect();
        order.sort_by_cached_key(|index| {
            let mut hash = DefaultHasher::new();
            self.ingresses[*index].state().hash(&mut hash);
            self.channels
                .iter()
                .for_each(|channels| channels[*index].hash(&mut hash));
            for member in self
                .coordinators
                .iter()
                .flatten()
                .filter_map(|c| c.members.get(*index))
            {
                (member.answered, member.status).hash(&mut hash);
            }
            self.voted
                .iter()
                .for_each(|(change, votes)| (change, votes >> index & 1).hash(&mut hash));
            hash.finish()
        });
        let mut renamed = self.clone();
        for (to, from) in order.iter().enumerate() {
            renamed.ingresses[to] =
                Participant::new(&format!("n{to}"), self.ingresses[*from].state().clone());
            for (channels, source) in renamed.channels.iter_mut().zip(&self.channels) {
                channels[to] = source[*from].clone();
            }
            for (coordinator, source) in renamed.coordinators.iter_mut().zip(&self.coordinators) {
                let (Some(coordinator), Some(source)) = (coordinator, source) else {
                    continue;
                };
                coordinator.members[to] = source.members[*from].clone();
                coordinator.members[to].ingress = format!("n{to}");
            }
            for (change, votes) in &mut renamed.voted {
                *votes = *votes & !(1 << to) | (self.voted[change] >> from & 1) << to;
            }
        }
        renamed
    }
}

fn state(value: &str) -> State {
    State([("quota".to_string(), value.to_string())].into())
}

/// Returns the digest of one of the three states of the model, computed only once.
fn cached_digest(state: &State) -> &'static Digest {
    static DIGESTS: OnceLock<BTreeMap<State, Digest>> = OnceLock::new();
    let digests = DIGESTS.get_or_init(|| {
        ["old", "new", "other"]
            .map(|v| (self::state(v), self::state(v).digest()))
            .into()
    });
    &digests[state]
}

fn plan(author: &str, value: &str) -> Plan {
    let base = state("old");
    let snapshot = |n: usize| {
        let generation = Generation {
            number: 1,
            digest: base.digest(),
        };
        let (ingress, control, usage) = (format!("n{n}"), String::new(), BTreeMap::new());
        IngressSnapshot {
            ingress,
            control,
            base: generation,
            current: base.clone().into(),
            wanted: state(value).into(),
            usage,
            extra_dangers: Vec::new(),
        }
    };
    let header = PlanHeader {
        author: author.into(),
        made_at: 0,
        valid_for: 1,
    };
    Plan::make(header, (0..ingress_count()).map(snapshot).collect()).unwrap()
}

impl CommitModel {
    /// Delivers a request. `stored` is false if the ingress crashes before it stores its state, and `answered` is false if it
    /// crashes before it responds.
    fn deliver(
        &self,
        current: &mut ModelState,
        coord: usize,
        member: usize,
        stored: bool,
        answered: bool,
    ) {
        let in_flight = std::mem::replace(&mut current.channels[coord][member], Channel::Idle);
        let request = match in_flight {
            Channel::Request(request) => Some(request),
            _ => current.coordinators[coord]
                .as_ref()
                .and_then(|c| c.next_request(member)),
        };
        let Some(request) = request else { return };
        let request = self.bypass_check(current, member, request);
        let change = match &request {
            CommitRequest::Prepare { vote, .. } => vote.change.0.clone(),
            _ => String::new(),
        };
        let response = handle(&mut current.ingresses[member], request, stored);
        match response.filter(|_| answered) {
            Some(response) => {
                if response == CommitResponse::Prepared {
                    *current.voted.entry(change).or_default() |= 1 << member;
                }
                current.channels[coord][member] = Channel::Response(response);
            }
            None => lose_message(current, coord, member),
        }
        if !(stored && answered) && self.variant == Variant::NoDurableState {
            let state = current.ingresses[member].state().clone();
            current.ingresses[member].persisted(ParticipantState {
                prepared: None,
                fences: vec![],
                ended: vec![],
                ..state
            });
        }
    }

    /// Returns the request changed so that the participant skips the check that the variant leaves out.
    fn bypass_check(
        &self,
        current: &ModelState,
        member: usize,
        request: CommitRequest,
    ) -> CommitRequest {
        let state = current.ingresses[member].state();
        match (self.variant, request) {
            (
                Variant::NoGenerationCheck,
                CommitRequest::Prepare {
                    mut vote,
                    ballot,
                    state: wanted,
                },
            ) => {
                vote.base = state.enforced.clone();
                vote.next.number = vote.base.number + 1;
                CommitRequest::Prepare {
                    vote,
                    ballot,
                    state: wanted,
                }
            }
            (Variant::NoFence, CommitRequest::Decide { change, commit, .. }) => {
                // Use the ballot that the participant expects.
                let fence = state.fences.iter().find(|f| f.change == change);
                CommitRequest::Decide {
                    ballot: fence.map_or(0, |f| f.ballot),
                    change,
                    commit,
                }
            }
            (_, request) => request,
        }
    }

    fn apply_action(&self, current: &mut ModelState, action: Action) -> Option<()> {
        match action {
            Action::DeliverRequest(coord, member) => {
                self.deliver(current, coord, member, true, true)
            }
            Action::DeliverResponse(coord, member) => {
                let Channel::Response(response) =
                    std::mem::replace(&mut current.channels[coord][member], Channel::Idle)
                else {
                    return None;
                };
                if let Some(coordinator) = &mut current.coordinators[coord] {
                    coordinator.handle_response(member, Some(response));
                }
            }
            Action::CrashIngress(coord, member, stored) => {
                current.crashes -= 1;
                self.deliver(current, coord, member, stored, false);
            }
            Action::CrashCoordinator(coord) => {
                current.crashes -= 1;
                let ended = current.coordinators[coord].take()?;
                for member in 0..ingress_count() {
                    current.channels[coord][member] = match ended.next_request(member) {
                        Some(request) if current.channels[coord][member] == Channel::Idle => {
                            Channel::Request(request)
                        }
                        _ => Channel::Idle,
                    };
                }
            }
        }
        Some(())
    }
}

/// Handles a request at an ingress; none if the ingress crashes before it stores its state.
fn handle(
    ingress: &mut Participant,
    request: CommitRequest,
    stored: bool,
) -> Option<CommitResponse> {
    let response = match ingress.handle(request, |_| Ok(())) {
        Step::Respond(response) => response,
        Step::Persist {
            state, response, ..
        } if stored => {
            ingress.persisted(*state);
            response
        }
        Step::Persist { .. } => return None,
    };
    // Reasons do not influence the protocol: drop them to reduce the number of states.
    Some(match response {
        CommitResponse::Rejected { .. } => CommitResponse::Rejected {
            reason: String::new(),
        },
        response => response,
    })
}

/// Drops a request or its response.
fn lose_message(current: &mut ModelState, coord: usize, member: usize) {
    current.channels[coord][member] = Channel::Idle;
    if let Some(coordinator) = &mut current.coordinators[coord] {
        coordinator.handle_response(member, None);
    }
}

fn status(participant: &Participant, change: &Digest) -> CommitStatus {
    match participant.handle(
        CommitRequest::Fence {
            change: change.clone(),
            ballot: u64::MAX,
        },
        |_| Ok(()),
    ) {
        Step::Respond(CommitResponse::ChangeStatus { status, .. })
        | Step::Persist {
            response: CommitResponse::ChangeStatus { status, .. },
            ..
        } => status,
        other => panic!("{other:?}"),
    }
}

impl Model for CommitModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let first = Coordinator::new(&plan("ann", "new"), 1);
        let second = match self.second {
            SecondTask::AppliesAnother => Coordinator::new(&plan("bob", "other"), 2),
            SecondTask::AppliesTheSame => Coordinator::new(&plan("ann", "new"), 2),
            SecondTask::Recovers => {
                let names = (0..ingress_count()).map(|n| format!("n{n}")).collect();
                Coordinator::recover(plan("ann", "new").id(), names, 3)
            }
        };
        let initial_state = || ParticipantState::new(1, state("old"));
        vec![ModelState {
            ingresses: (0..ingress_count())
                .map(|n| Participant::new(&format!("n{n}"), initial_state()))
                .collect(),
            coordinators: vec![Some(first), Some(second)],
            channels: vec![vec![Channel::Idle; ingress_count()]; 2],
            crashes: self.crashes,
            voted: BTreeMap::new(),
        }]
    }

    fn actions(&self, current: &ModelState, actions: &mut Vec<Action>) {
        for coord in 0..current.coordinators.len() {
            for member in 0..ingress_count() {
                let has_request = current.coordinators[coord]
                    .as_ref()
                    .is_some_and(|c| c.next_request(member).is_some());
                let has_request =
                    has_request || matches!(current.channels[coord][member], Channel::Request(_));
                if matches!(current.channels[coord][member], Channel::Response(_)) {
                    actions.push(Action::DeliverResponse(coord, member));
                } else if has_request {
                    actions.push(Action::DeliverRequest(coord, member));
                    if current.crashes > 0 {
                        actions.push(Action::CrashIngress(coord, member, false));
                        actions.push(Action::CrashIngress(coord, member, true));
                    }
                }
            }
            if current.crashes > 0 && current.coordinators[coord].is_some() {
                actions.push(Action::CrashCoordinator(coord));
            }
        }
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut current = last.clone();
        self.apply_action(&mut current, action)?;
        // Rejection reasons do not influence the protocol: drop them to reduce the number of states.
        current
            .coordinators
            .iter_mut()
            .flatten()
            .for_each(|c| c.rejections.clear());
        Some(current)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no change is committed at one ingress and aborted at another",
                no_change_is_split,
            ),
            Property::always(
                "every ingress enforces a complete generation, with the same state under the same number",
                generations_are_complete,
            ),
            Property::always(
                "each ingress commits at most one of the two plans",
                at_most_one_plan_is_committed,
            ),
            Property::always("a vote is never lost", votes_are_kept),
            Property::always(
                "the outcome reported by a coordinator holds at every ingress",
                reported_outcomes_hold,
            ),
            Property::sometimes("some change is committed", |_, current: &ModelState| {
                current.ingresses.iter().all(|i| i.state().enforced.number > 1)
            }),
            Property::sometimes("some change is aborted", |_, current: &ModelState| {
                let mut coordinators = current.coordinators.iter().flatten();
                coordinators.any(|c| c.phase == CommitPhase::Ended(Decision::Abort))
            }),
        ]
    }
}

fn no_change_is_split(model: &CommitModel, current: &ModelState) -> bool {
    model.plans.iter().all(|plan| {
        let statuses: Vec<CommitStatus> =
            current.ingresses.iter().map(|i| status(i, plan)).collect();
        !(statuses.contains(&CommitStatus::Committed) && statuses.contains(&CommitStatus::Aborted))
    })
}

fn generations_are_complete(_: &CommitModel, current: &ModelState) -> bool {
    let mut by_number: BTreeMap<u64, &Digest> = BTreeMap::new();
    current.ingresses.iter().all(|ingress| {
        let state = ingress.state();
        let enforced = &state.enforced;
        let is_complete = cached_digest(&state.state) == &enforced.digest;
        let first = by_number.entry(enforced.number).or_insert(&enforced.digest);
        is_complete && *first == &enforced.digest
    })
}

fn at_most_one_plan_is_committed(model: &CommitModel, current: &ModelState) -> bool {
    current.ingresses.iter().all(|ingress| {
        let committed = model
            .plans
            .iter()
            .filter(|plan| status(ingress, plan) == CommitStatus::Committed);
        committed.count() < 2
    })
}

fn votes_are_kept(model: &CommitModel, current: &ModelState) -> bool {
    model.plans.iter().all(|plan| {
        let voted = current.voted.get(&plan.0).copied().unwrap_or(0);
        let has_record =
            |member: usize| status(&current.ingresses[member], plan) != CommitStatus::Unknown;
        (0..ingress_count()).all(|member| voted & (1 << member) == 0 || has_record(member))
    })
}

fn reported_outcomes_hold(_: &CommitModel, current: &ModelState) -> bool {
    let holds_everywhere = |change: &Digest, decision: Decision| {
        current.ingresses.iter().all(|ingress| {
            let status = status(ingress, change);
            match decision {
                Decision::Commit => status == CommitStatus::Committed,
                Decision::Abort => {
                    status != CommitStatus::Committed && status != CommitStatus::Prepared
                }
            }
        })
    };
    let mut coordinators = current.coordinators.iter().flatten();
    coordinators.all(|coordinator| match coordinator.phase {
        CommitPhase::Ended(decision) => holds_everywhere(&coordinator.change, decision),
        _ => true,
    })
}

/// Runs the complete search, and returns the number of states and the names of the violated properties.
fn search(variant: Variant, second: SecondTask, crashes: u8) -> (usize, Vec<&'static str>) {
    let plans = [plan("ann", "new").id(), plan("bob", "other").id()];
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = CommitModel {
        variant,
        second,
        crashes,
        plans,
    }
    .checker()
    .symmetry()
    .threads(threads)
    .spawn_dfs()
    .join();
    let violated = checker
        .discoveries()
        .into_keys()
        .filter(|name| !name.starts_with("some change is"));
    let violated = violated.collect();
    if variant == Variant::Complete {
        let found = checker.discoveries();
        assert!(
            found.contains_key("some change is committed"),
            "{second:?}: no change is ever committed"
        );
    }
    (checker.unique_state_count(), violated)
}

#[test]
fn every_interleaving_keeps_all_safety_properties() {
    // With `WRENFORK_CRASHES=2` the search takes minutes.
    let crashes = std::env::var("WRENFORK_CRASHES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(1);
    for second in [
        SecondTask::AppliesAnother,
        SecondTask::AppliesTheSame,
        SecondTask::Recovers,
    ] {
        let (states, violated) = search(Variant::Complete, second, crashes);
        println!("{second:?}, {crashes} crashes or losses: {states} states");
        assert_eq!(violated, [""; 0], "{second:?}");
        assert!(states > 500, "only {states} states were searched");
    }
}

/// Shows that the search can fail: leaving out any one part of the protocol must violate a property.
#[test]
fn search_finds_a_violation_in_each_incomplete_variant() {
    for (variant, second) in [
        (Variant::NoDurableState, SecondTask::Recovers),
        (Variant::NoGenerationCheck, SecondTask::AppliesAnother),
        (Variant::NoFence, SecondTask::Recovers),
    ] {
        let (states, violated) = search(variant, second, 1);
        println!("{variant:?}: {states} states searched, violated: {violated:?}");
        assert!(!violated.is_empty(), "no violation found in {variant:?}");
    }
}
