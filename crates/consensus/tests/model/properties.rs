//! What must always hold, and what must happen at least once.

use crate::world::{Now, World, HOLDER};
use stateright::Property;
use std::collections::BTreeMap;
use std::sync::Arc;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::proposer::{ProposalOutcome, ProposalPhase, Proposer};

/// The properties that need hold only sometimes.
pub const REACHABLE: [&str; 3] = [
    "a change is made",
    "a change is made while the holder is shut out",
    "what the first left is settled",
];

pub fn all() -> Vec<Property<World>> {
    let [made, made_without_holder, recovered] = REACHABLE;
    vec![
        Property::always("one decree under one number", one_state_per_version),
        Property::always(
            "nobody serves under the one before that has not taken up the one that stands",
            serves_before_only_with_next_accepted,
        ),
        Property::always(
            "made means that nobody serves under the one before",
            committed_ends_earlier_leases,
        ),
        Property::sometimes(made, first_commits),
        Property::sometimes(made_without_holder, |world, now: &Now| {
            first_commits(world, now) && now.members[HOLDER].acceptor.state().version() == 1
        }),
        Property::sometimes(recovered, |_, now: &Now| {
            let mut states = now.members.iter().map(|m| m.acceptor.state());
            now.proposers[0].is_none() && states.any(|state| state.version() == 2)
        }),
    ]
}

/// What the holder serves under, if its lease is valid.
struct Serving {
    version: u64,
    /// Digest of the next state, if it has accepted that.
    accepted: Option<Digest>,
}

fn holder_serves(now: &Now) -> Option<Serving> {
    let holder = &now.members[HOLDER];
    let deadline = holder.leases.lease_deadline()?;
    let state = holder.acceptor.state();
    let accepted = state.accepted.as_ref();
    (deadline > now.time).then(|| Serving {
        version: state.version(),
        accepted: accepted.map(|a| a.state.digest.clone()),
    })
}

/// The group states in force at any member.
fn in_force(now: &Now) -> impl Iterator<Item = &Arc<GroupState>> {
    let states = now.members.iter().map(|m| m.acceptor.state());
    states.filter_map(|state| state.group_state.as_ref())
}

fn one_state_per_version(_: &World, now: &Now) -> bool {
    let mut by_version: BTreeMap<u64, Digest> = BTreeMap::new();
    let stands = in_force(now).map(|state| (state.version, state.digest.clone()));
    let decided = now
        .accepted_by
        .iter()
        .filter(|(_, members)| members.count_ones() >= 2);
    let decided = decided.map(|((_, digest), _)| (2, digest.clone()));
    stands
        .chain(decided)
        .all(|(version, digest)| *by_version.entry(version).or_insert(digest.clone()) == digest)
}

fn serves_before_only_with_next_accepted(_: &World, now: &Now) -> bool {
    let Some(serving) = holder_serves(now) else {
        return true;
    };
    let mut newer = in_force(now).filter(|state| state.version > serving.version);
    newer.all(|state| {
        state.version == serving.version + 1 && serving.accepted.as_ref() == Some(&state.digest)
    })
}

fn committed(proposer: &Proposer) -> bool {
    proposer.phase == ProposalPhase::Ended(ProposalOutcome::Committed)
}

fn committed_ends_earlier_leases(_: &World, now: &Now) -> bool {
    let proposers = now.proposers.iter().flatten();
    let made = proposers
        .filter(|proposer| committed(proposer))
        .filter_map(|proposer| proposer.value())
        .map(|state| state.version)
        .max()
        .unwrap_or(0);
    holder_serves(now).is_none_or(|serving| serving.version >= made)
}

fn first_commits(_: &World, now: &Now) -> bool {
    now.proposers[0].as_ref().is_some_and(committed)
}
