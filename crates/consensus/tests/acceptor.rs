//! Tests of the acceptor.

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

/// The acceptor of the only member of a group, with `in_force` in force.
fn acceptor(in_force: GroupState) -> Acceptor {
    let state = PersistentState {
        group_state: Some(Arc::new(in_force)),
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

/// Handles a request and stores the resulting state.
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

/// Notifies the member that version 2 is decided; returns the ballot in which it reports to have accepted that version.
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
        other => panic!("unexpected response {other:?}"),
    }
}

/// Guards against a change that waits for leases a second time without need. A member that has accepted a state may
/// learn from another member that it is decided, before the proposer notifies it. It must still report the ballot in
/// which it accepted the state, since it has accepted it from no other proposer.
#[test]
fn accepted_ballot_is_reported_after_learning_the_decision_from_another_member() {
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
    assert_eq!(from_member, Some(BALLOT), "notified by another member");
    let from_proposer = accepted_in(&mut acceptor, &next.digest, None);
    assert_eq!(from_proposer, Some(BALLOT), "notified by the proposer");
    let other = accepted_in(&mut acceptor, &Digest::of(b"another"), None);
    assert_eq!(other, None);
}
