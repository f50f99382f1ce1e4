//! The proposer: when a change counts as made.

use std::sync::Arc;
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::membership::{Member, MemberRole, Membership};
use wrenfork_consensus::proposer::{ProposalGoal, ProposalOutcome, ProposalPhase, Proposer};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};

const BALLOT: Ballot = Ballot {
    round: 1,
    proposer: 7,
};

/// A proposal of three at the point at which a majority has taken it up, the third is silent and the wait is over.
fn notifying() -> (Proposer, Duration, Digest) {
    let member = |n: u64| Member {
        name: format!("m{n}"),
        replica: n,
        role: MemberRole::Ingress,
        votes: true,
    };
    let membership = Membership::new(1, 1_500, (1..=3).map(member).collect()).unwrap();
    let base = Arc::new(GroupState::new(
        1,
        1,
        Digest::default(),
        "",
        membership,
        Policy::default(),
    ));
    let next = Arc::new(base.unchanged_successor());
    let mut now = Duration::from_secs(9);
    let mut p = Proposer::new(base, ProposalGoal::Change(next.clone()), BALLOT, now);
    for phase in [ProposalPhase::Preparing, ProposalPhase::Accepting] {
        let requests = p.requests(now);
        assert_eq!(p.phase, phase);
        for (n, request) in requests {
            let replica = n as u64 + 1;
            let response = match (&request, n) {
                (_, 2) => continue,
                (GroupRequest::Prepare { .. }, _) => GroupResponse::Promised {
                    replica,
                    accepted: None,
                    enforced: None,
                },
                _ => GroupResponse::Accepted { replica },
            };
            p.handle_response(n, &request, Ok(response), now);
        }
        now += Duration::from_secs(2);
    }
    p.requests(now);
    assert_eq!(p.phase, ProposalPhase::Notifying);
    (p, now, next.digest.clone())
}

fn report_applied(
    p: &mut Proposer,
    now: Duration,
    digest: &Digest,
    accepted_in: [Option<Ballot>; 2],
) {
    for (n, accepted_in) in accepted_in.into_iter().enumerate() {
        let request = GroupRequest::Decided {
            version: 2,
            digest: digest.clone(),
            state: None,
        };
        let response = GroupResponse::Decided {
            replica: n as u64 + 1,
            version: 2,
            accepted_in,
        };
        p.handle_response(n, &request, Ok(response), now);
    }
}

#[test]
fn it_is_committed_without_a_second_wait_if_a_majority_heeded_this_ballot_alone() {
    let (mut p, now, digest) = notifying();
    report_applied(&mut p, now, &digest, [Some(BALLOT), Some(BALLOT)]);
    assert_eq!(p.phase, ProposalPhase::Ended(ProposalOutcome::Committed));
}

/// Guards against "made" being said while another proposer has let the third go on: found by the rig, with 20 members
/// and a quarter of their links failing.
#[test]
fn after_another_ballot_it_is_committed_once_old_leases_have_expired() {
    let (mut p, now, digest) = notifying();
    report_applied(
        &mut p,
        now,
        &digest,
        [
            Some(BALLOT),
            Some(Ballot {
                round: 2,
                proposer: 1,
            }),
        ],
    );
    assert_eq!(p.phase, ProposalPhase::Notifying);
    p.requests(now + Duration::from_millis(1_500));
    assert_eq!(p.phase, ProposalPhase::Notifying);
    p.requests(now + Duration::from_millis(1_531));
    assert_eq!(p.phase, ProposalPhase::Ended(ProposalOutcome::Committed));
}
