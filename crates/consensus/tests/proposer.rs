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
fn telling() -> (Proposer, Duration, Digest) {
    let seat = |n: u64| Member {
        name: format!("m{n}"),
        replica: n,
        role: MemberRole::Ingress,
        votes: true,
    };
    let roster = Membership::new(1, 1_500, (1..=3).map(seat).collect()).unwrap();
    let base = Arc::new(GroupState::new(
        1,
        1,
        Digest::default(),
        "",
        roster,
        Policy::default(),
    ));
    let next = Arc::new(base.unchanged_successor());
    let mut now = Duration::from_secs(9);
    let mut p = Proposer::new(base, ProposalGoal::Change(next.clone()), BALLOT, now);
    for phase in [ProposalPhase::Preparing, ProposalPhase::Accepting] {
        let asks = p.requests(now);
        assert_eq!(p.phase, phase);
        for (n, ask) in asks {
            let folder = n as u64 + 1;
            let say = match (&ask, n) {
                (_, 2) => continue,
                (GroupRequest::Prepare { .. }, _) => GroupResponse::Promised {
                    replica: folder,
                    accepted: None,
                    enforced: None,
                },
                _ => GroupResponse::Accepted { replica: folder },
            };
            p.handle_response(n, &ask, Ok(say), now);
        }
        now += Duration::from_secs(2);
    }
    p.requests(now);
    assert_eq!(p.phase, ProposalPhase::Notifying);
    (p, now, next.digest.clone())
}

fn told(p: &mut Proposer, now: Duration, digest: &Digest, from: [Option<Ballot>; 2]) {
    for (n, from) in from.into_iter().enumerate() {
        let ask = GroupRequest::Decided {
            version: 2,
            digest: digest.clone(),
            state: None,
        };
        let say = GroupResponse::Decided {
            replica: n as u64 + 1,
            version: 2,
            accepted_in: from,
        };
        p.handle_response(n, &ask, Ok(say), now);
    }
}

#[test]
fn it_is_made_without_a_second_wait_where_a_majority_heeded_this_ballot_alone() {
    let (mut p, now, digest) = telling();
    told(&mut p, now, &digest, [Some(BALLOT), Some(BALLOT)]);
    assert_eq!(p.phase, ProposalPhase::Ended(ProposalOutcome::Committed));
}

/// Guards against "made" being said while another proposer has let the third go on: found by the rig, with 20 members
/// and a quarter of their links failing.
#[test]
fn where_another_proposer_had_a_word_it_is_made_once_old_leases_are_surely_out() {
    let (mut p, now, digest) = telling();
    told(
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
