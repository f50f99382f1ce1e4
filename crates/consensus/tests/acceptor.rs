//! The acceptor of a member.

use std::sync::Arc;
use wrenfork_commit::state::Digest;
use wrenfork_consensus::acceptor::{Acceptor, PersistentState, Step};
use wrenfork_consensus::group_state::{GroupState, Policy};
use wrenfork_consensus::membership::{Member, MemberRole, Membership};
use wrenfork_consensus::protocol::{Ballot, GroupRequest, GroupResponse};

const BALLOT: Ballot = Ballot {
    round: 3,
    proposer: 7,
};

/// The only member of a group whose first state is in force.
fn acceptor(first: GroupState) -> Acceptor {
    let state = PersistentState {
        group_state: Some(Arc::new(first)),
        ..PersistentState::new("a", 1)
    };
    Acceptor::new(state, None)
}

fn first_state() -> GroupState {
    let member = Member {
        name: "a".into(),
        replica: 1,
        role: MemberRole::Ingress,
        votes: true,
    };
    let membership = Membership::new(1, 1_500, vec![member]).unwrap();
    GroupState::new(1, 1, Digest::default(), "", membership, Policy::default())
}

/// Handles a request and stores what that wants.
fn handle(acceptor: &mut Acceptor, request: GroupRequest) -> GroupResponse {
    match acceptor.handle(request, Ok(()), |_| Ok(())) {
        Step::Persist {
            state, response, ..
        } => {
            acceptor.persisted(*state);
            response
        }
        Step::Respond(response) => response,
    }
}

/// The ballot in which the member says that it had accepted version 2, after it is told that the version is decided.
fn accepted_in(
    acceptor: &mut Acceptor,
    digest: &Digest,
    state: Option<Arc<GroupState>>,
) -> Option<Ballot> {
    let request = GroupRequest::Decided {
        version: 2,
        digest: digest.clone(),
        state,
    };
    match handle(acceptor, request) {
        GroupResponse::Decided {
            version: 2,
            accepted_in,
            ..
        } => accepted_in,
        other => panic!("{other:?}"),
    }
}

/// Guards against a change that waits for leases twice: a member that has accepted a state may learn from another member that
/// it is decided, before its proposer says so; it has heeded no other proposer all the same.
#[test]
fn a_member_that_learnt_a_state_elsewhere_still_says_in_which_ballot_it_had_accepted_it() {
    let first = first_state();
    let next = Arc::new(first.unchanged_successor());
    let mut acceptor = acceptor(first);
    let accept = GroupRequest::Accept {
        ballot: BALLOT,
        state: next.clone(),
    };
    let accepted = GroupResponse::Accepted { replica: 1 };
    assert_eq!(handle(&mut acceptor, accept), accepted);
    let from_member = accepted_in(&mut acceptor, &next.digest, Some(next.clone()));
    assert_eq!(from_member, Some(BALLOT), "by another member");
    let from_proposer = accepted_in(&mut acceptor, &next.digest, None);
    assert_eq!(from_proposer, Some(BALLOT), "by the proposer");
    let other = accepted_in(&mut acceptor, &Digest::of(b"another"), None);
    assert_eq!(other, None);
}
