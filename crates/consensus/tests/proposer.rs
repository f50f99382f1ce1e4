//! Tests of the proposer: when a change is reported as committed.

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

/// A proposal to three members at the beginning of the notify phase: two have accepted the state, the third has not
/// responded, and the wait for leases is over. Returns the proposer, the time and the digest of the state.
fn proposer_in_notify_phase() -> (Proposer, Duration, Digest) {
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
    let mut proposer = Proposer::new(base, ProposalGoal::Change(next.clone()), BALLOT, now);
    for phase in [ProposalPhase::Preparing, ProposalPhase::Accepting] {
        let requests = proposer.requests(now);
        assert_eq!(proposer.phase, phase);
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
            proposer.handle_response(n, &request, Ok(response), now);
        }
        now += Duration::from_secs(2);
    }
    proposer.requests(now);
    assert_eq!(proposer.phase, ProposalPhase::Notifying);
    (proposer, now, next.digest.clone())
}

fn report_applied(
    proposer: &mut Proposer,
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
        proposer.handle_response(n, &request, Ok(response), now);
    }
}

#[test]
fn commits_without_another_wait_if_a_majority_applied_the_state_from_this_ballot() {
    let (mut proposer, now, digest) = proposer_in_notify_phase();
    report_applied(&mut proposer, now, &digest, [Some(BALLOT), Some(BALLOT)]);
    assert_eq!(
        proposer.phase,
        ProposalPhase::Ended(ProposalOutcome::Committed)
    );
}

/// Guards against reporting a commit while the third member may still hold a lease that the proposer of another ballot
/// allowed it to keep. Found on the testbed with 20 members and a quarter of their links failing.
#[test]
fn commits_after_lease_expiry_if_a_member_applied_the_state_from_another_ballot() {
    let (mut proposer, now, digest) = proposer_in_notify_phase();
    report_applied(
        &mut proposer,
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
    assert_eq!(proposer.phase, ProposalPhase::Notifying);
    proposer.requests(now + Duration::from_millis(1_500));
    assert_eq!(proposer.phase, ProposalPhase::Notifying);
    proposer.requests(now + Duration::from_millis(1_531));
    assert_eq!(
        proposer.phase,
        ProposalPhase::Ended(ProposalOutcome::Committed)
    );
}
