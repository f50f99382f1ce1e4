//! Properties of the model: what must always hold, and what must be reached at least once.

use crate::group_model::{GroupModel, SystemState, LEASE_HOLDER};
use stateright::Property;
use std::collections::BTreeMap;
use std::sync::Arc;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::proposer::{ProposalOutcome, ProposalPhase, Proposer};

/// Properties that some reachable state must have; they show that the search covers these cases.
pub const REACHABLE: [&str; 3] = [
    "a change is committed",
    "a change is committed while the lease holder still has the first version",
    "a version left undecided by the first proposer is recovered",
];

pub fn all() -> Vec<Property<GroupModel>> {
    let [committed, committed_without_holder, recovered] = REACHABLE;
    vec![
        Property::always(
            "at most one group state is decided per version",
            one_state_per_version,
        ),
        Property::always(
            "a member serves under an earlier version only if it has accepted the one in force",
            serves_earlier_only_with_next_accepted,
        ),
        Property::always(
            "after a commit no member serves under an earlier version",
            committed_ends_earlier_leases,
        ),
        Property::sometimes(committed, first_commits),
        Property::sometimes(committed_without_holder, |world, system: &SystemState| {
            first_commits(world, system)
                && system.members[LEASE_HOLDER].acceptor.state().version() == 1
        }),
        Property::sometimes(recovered, |_, system: &SystemState| {
            let mut states = system.members.iter().map(|m| m.acceptor.state());
            system.proposers[0].is_none() && states.any(|state| state.version() == 2)
        }),
    ]
}

/// The group state that the lease holder serves under.
struct Serving {
    version: u64,
    /// Digest of the next state, if the holder has accepted one.
    accepted: Option<Digest>,
}

/// What the lease holder serves under; none if its lease has expired.
fn holder_serving(system: &SystemState) -> Option<Serving> {
    let holder = &system.members[LEASE_HOLDER];
    let deadline = holder.leases.lease_deadline()?;
    let state = holder.acceptor.state();
    let accepted = state.accepted.as_ref();
    (deadline > system.time).then(|| Serving {
        version: state.version(),
        accepted: accepted.map(|a| a.state.digest.clone()),
    })
}

/// The group states in force at any member.
fn in_force(system: &SystemState) -> impl Iterator<Item = &Arc<GroupState>> {
    let states = system.members.iter().map(|m| m.acceptor.state());
    states.filter_map(|state| state.group_state.as_ref())
}

fn one_state_per_version(_: &GroupModel, system: &SystemState) -> bool {
    let mut by_version: BTreeMap<u64, Digest> = BTreeMap::new();
    let applied = in_force(system).map(|state| (state.version, state.digest.clone()));
    let decided = system
        .accepted_by
        .iter()
        .filter(|(_, members)| members.count_ones() >= 2);
    let decided = decided.map(|((_, digest), _)| (2, digest.clone()));
    applied
        .chain(decided)
        .all(|(version, digest)| *by_version.entry(version).or_insert(digest.clone()) == digest)
}

fn serves_earlier_only_with_next_accepted(_: &GroupModel, system: &SystemState) -> bool {
    let Some(serving) = holder_serving(system) else {
        return true;
    };
    let mut newer = in_force(system).filter(|state| state.version > serving.version);
    newer.all(|state| {
        state.version == serving.version + 1 && serving.accepted.as_ref() == Some(&state.digest)
    })
}

fn has_committed(proposer: &Proposer) -> bool {
    proposer.phase == ProposalPhase::Ended(ProposalOutcome::Committed)
}

fn committed_ends_earlier_leases(_: &GroupModel, system: &SystemState) -> bool {
    let proposers = system.proposers.iter().flatten();
    let committed = proposers
        .filter(|proposer| has_committed(proposer))
        .filter_map(|proposer| proposer.value())
        .map(|state| state.version)
        .max()
        .unwrap_or(0);
    holder_serving(system).is_none_or(|serving| serving.version >= committed)
}

fn first_commits(_: &GroupModel, system: &SystemState) -> bool {
    system.proposers[0].as_ref().is_some_and(has_committed)
}
