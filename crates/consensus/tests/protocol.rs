//! Tests of the group messages: encoding, and how requests are distinguished from those of two-phase commit.

use std::sync::Arc;
use wrenfork_commit::protocol::{self, decode_line, encode_line, CommitRequest};
use wrenfork_commit::state::Digest;
use wrenfork_consensus::group_state::GroupState;
use wrenfork_consensus::protocol::{
    is_group_request, Ballot, GroupRequest, GroupResponse, RenewalRequest, ReplicaVersion,
};

const HIGHEST: Ballot = Ballot {
    round: u64::MAX,
    proposer: 7,
};

fn requests() -> [GroupRequest; 8] {
    let state = Arc::new(GroupState::default());
    [
        GroupRequest::Renew(RenewalRequest {
            from: "a".into(),
            replica: 3,
            replica_version: ReplicaVersion {
                writes: 1,
                incarnation: 2,
            },
            version: 9,
            accepted: None,
        }),
        GroupRequest::Prepare {
            version: 2,
            ballot: HIGHEST,
            candidate: None,
        },
        GroupRequest::Accept {
            ballot: Ballot::default(),
            state: state.clone(),
        },
        GroupRequest::Decided {
            version: 1,
            digest: Digest::default(),
            state: Some(state),
        },
        GroupRequest::Learn,
        GroupRequest::Status,
        GroupRequest::Tally,
        GroupRequest::UpgradeTurn { version: 4 },
    ]
}

#[test]
fn group_requests_round_trip_and_are_recognized() {
    for request in requests() {
        let line = protocol::encode_line(&request);
        assert!(is_group_request(&line), "{line}");
        assert_eq!(decode_line::<GroupRequest>(&line).unwrap(), request);
    }
    let other = encode_line(&CommitRequest::Status);
    assert!(!is_group_request(&other));
    assert!(!is_group_request(""));
    assert!(!is_group_request("{"));
}

#[test]
fn group_responses_round_trip() {
    for response in [
        GroupResponse::NeedState,
        GroupResponse::Status(Box::default()),
        GroupResponse::Tallied(Box::default()),
        GroupResponse::State { state: None },
    ] {
        let line = encode_line(&response);
        assert_eq!(decode_line::<GroupResponse>(&line).unwrap(), response);
    }
}

#[test]
fn replica_with_fewer_writes_or_equal_writes_and_other_incarnation_is_older_copy() {
    let version = |writes, incarnation| ReplicaVersion {
        writes,
        incarnation,
    };
    let seen = version(5, 1);
    assert!(version(4, 1).is_older_copy_of(&seen));
    assert!(version(5, 2).is_older_copy_of(&seen));
    assert!(!version(6, 1).is_older_copy_of(&version(5, 2)));
}
