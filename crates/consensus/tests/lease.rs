//! Leases: who is granted one, and which one a process may continue.

use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::acceptor::PersistentState;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::lease::LeaseManager;
use wrenfork_consensus::membership::{Member, MemberRole, Membership};
use wrenfork_consensus::protocol::{Ballot, RenewalRequest, RenewalVerdict, ReplicaVersion};

const NOW: Duration = Duration::from_secs(9);

fn group_state(version: u64) -> Arc<GroupState> {
    let member = |(index, name): (usize, &str)| Member {
        name: name.into(),
        replica: index as u64 + 1,
        role: MemberRole::Ingress,
        votes: true,
    };
    let members = ["a", "b", "c"].into_iter().enumerate().map(member);
    let membership = Membership::new(1, 1_500, members.collect()).unwrap();
    let policy = Policy::default();
    let change = Digest::default();
    Arc::new(GroupState::new(version, 1, change, "", membership, policy))
}

fn started(name: &str, group_state: &Arc<GroupState>) -> LeaseManager {
    let state = PersistentState {
        group_state: Some(group_state.clone()),
        ..PersistentState::new(name, 1)
    };
    LeaseManager::new(name, &state, Membership::default(), 1, NOW)
}

/// Guards against a lease that outlives its group state, its end, or its holder's membership by way of a handover.
#[test]
fn a_lease_passes_to_the_next_process_under_the_same_group_state_alone() {
    let in_force = group_state(4);
    let deadline = Duration::from_secs(10);
    let mut next = started("a", &in_force);
    next.inherit_lease(3, deadline);
    assert_eq!(next.lease_deadline(), None, "another version is in force");
    next.inherit_lease(4, deadline);
    next.inherit_lease(4, Duration::from_secs(8));
    assert_eq!(next.lease_deadline(), Some(deadline));
    let mut stranger = started("z", &in_force);
    stranger.inherit_lease(4, deadline);
    assert_eq!(stranger.lease_deadline(), None);
    assert!(
        next.check_vote_eligibility().is_err(),
        "it votes once others have answered it, as after any start"
    );
}

/// The verdict on a renewal by member "c".
fn verdict(voter: &mut LeaseManager, accepted: Option<&Digest>) -> RenewalVerdict {
    let request = RenewalRequest {
        from: "c".into(),
        replica: 3,
        replica_version: ReplicaVersion {
            writes: 1,
            incarnation: 3,
        },
        version: 1,
        accepted: accepted.cloned(),
    };
    voter.handle_renewal(&request, NOW).verdict
}

/// Guards against a member that keeps its lease under the version before though the proposer never heard that it has
/// accepted the next one, or heard it in another ballot, and so neither waits for it nor counts it as missing.
#[test]
fn while_a_state_is_accepted_only_members_named_by_its_proposer_renew() {
    let in_force = group_state(1);
    let ballot = Ballot {
        round: 1,
        proposer: 7,
    };
    let higher = Ballot {
        round: 2,
        proposer: 8,
    };
    let mut voter = started("a", &in_force);
    let next = in_force.unchanged_successor().digest;
    assert_eq!(verdict(&mut voter, None), RenewalVerdict::Granted);

    voter.block_grants(ballot, &next, NOW);
    let own_word = verdict(&mut voter, Some(&next));
    assert_eq!(own_word, RenewalVerdict::Pending, "its own word");

    voter.proposer_alive(higher, &["c".into()], NOW);
    let other_ballot = verdict(&mut voter, Some(&next));
    assert_eq!(other_ballot, RenewalVerdict::Pending, "another ballot");

    voter.proposer_alive(ballot, &["b".into(), "c".into()], NOW);
    let named = verdict(&mut voter, Some(&next));
    assert_eq!(named, RenewalVerdict::Granted);
    let not_accepted = verdict(&mut voter, None);
    assert_eq!(not_accepted, RenewalVerdict::Pending, "not accepted");

    voter.block_grants(higher, &next, NOW);
    let next_proposer = verdict(&mut voter, Some(&next));
    assert_eq!(next_proposer, RenewalVerdict::Pending, "nobody named yet");
}
