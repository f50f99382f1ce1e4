//! Tests of the lease manager: which renewals are granted, and which lease a successor process may take over.

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

fn start_member(name: &str, group_state: &Arc<GroupState>) -> LeaseManager {
    let state = PersistentState {
        group_state: Some(group_state.clone()),
        ..PersistentState::new(name, 1)
    };
    LeaseManager::new(name, &state, Membership::default(), 1, NOW)
}

/// Guards against a handover by which a lease outlives its group state, its deadline or the membership of its holder.
#[test]
fn lease_is_inherited_only_under_the_same_group_state() {
    let in_force = group_state(4);
    let deadline = Duration::from_secs(10);
    let mut successor = start_member("a", &in_force);
    successor.inherit_lease(3, deadline);
    assert_eq!(
        successor.lease_deadline(),
        None,
        "another version is in force"
    );
    successor.inherit_lease(4, deadline);
    successor.inherit_lease(4, Duration::from_secs(8));
    assert_eq!(successor.lease_deadline(), Some(deadline));
    let mut non_member = start_member("z", &in_force);
    non_member.inherit_lease(4, deadline);
    assert_eq!(non_member.lease_deadline(), None);
    assert!(
        successor.check_vote_eligibility().is_err(),
        "the successor must not vote before other voters have confirmed its replica"
    );
}

/// The verdict of a voter on a renewal by member "c", which has accepted the state with the digest `accepted`.
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

/// Guards against a member that keeps its lease under the version in force although the proposer does not know, or
/// knows only from another ballot, that the member has accepted the next version. The proposer would neither wait for
/// that member nor for its lease to expire.
#[test]
fn after_accepting_a_state_only_members_named_by_its_proposer_renew() {
    let in_force = group_state(1);
    let ballot = Ballot {
        round: 1,
        proposer: 7,
    };
    let higher = Ballot {
        round: 2,
        proposer: 8,
    };
    let mut voter = start_member("a", &in_force);
    let next = in_force.unchanged_successor().digest;
    assert_eq!(verdict(&mut voter, None), RenewalVerdict::Granted);

    voter.block_grants(ballot, &next, NOW);
    let unnamed = verdict(&mut voter, Some(&next));
    assert_eq!(
        unnamed,
        RenewalVerdict::Pending,
        "reported only by the member"
    );

    voter.proposer_alive(higher, &["c".into()], NOW);
    let other_ballot = verdict(&mut voter, Some(&next));
    assert_eq!(
        other_ballot,
        RenewalVerdict::Pending,
        "named in another ballot"
    );

    voter.proposer_alive(ballot, &["b".into(), "c".into()], NOW);
    let named = verdict(&mut voter, Some(&next));
    assert_eq!(named, RenewalVerdict::Granted);
    let not_accepted = verdict(&mut voter, None);
    assert_eq!(
        not_accepted,
        RenewalVerdict::Pending,
        "named, but not accepted"
    );

    voter.block_grants(higher, &next, NOW);
    let next_proposer = verdict(&mut voter, Some(&next));
    assert_eq!(
        next_proposer,
        RenewalVerdict::Pending,
        "not named in the new ballot"
    );
}
