//! Encoding and decoding of protocol messages.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::sync::Arc;
use wrenfork_commit::metrics::IngressMetrics;
use wrenfork_commit::protocol::{
    decode_line, encode_line, AuditRecord, CommitRequest, CommitResponse, CommitStatus,
    PreparedVote, ProtocolError,
};
use wrenfork_commit::state::{Digest, Generation, State};

fn digest(text: &str) -> Digest {
    Digest(text.into())
}

fn generation(number: u64, digest_text: &str) -> Generation {
    Generation {
        number,
        digest: digest(digest_text),
    }
}

fn vote() -> PreparedVote {
    PreparedVote {
        change: digest("ab"),
        base: generation(3, "cd"),
        next: generation(4, "ef"),
        author: "ann \"the\" first\n".into(),
        members: vec!["n0".into(), "n1".into()],
    }
}

fn state() -> Arc<State> {
    Arc::new(State([("a.b".to_string(), "1".to_string())].into()))
}

fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(message: &T) {
    let line = encode_line(message);
    assert_eq!(
        line.matches('\n').count(),
        1,
        "encoded message is not one line: {line}"
    );
    assert_eq!(decode_line::<T>(&line).unwrap(), *message);
}

fn decode_request(line: &str) -> Result<CommitRequest, ProtocolError> {
    decode_line(line)
}

#[test]
fn every_request_round_trips_as_one_line() {
    assert_round_trip(&CommitRequest::Status);
    assert_round_trip(&CommitRequest::Prepare {
        vote: vote(),
        ballot: 5,
        state: state(),
    });
    assert_round_trip(&CommitRequest::Fence {
        change: digest("ab"),
        ballot: 7,
    });
    assert_round_trip(&CommitRequest::Decide {
        change: digest("ab"),
        ballot: 0,
        commit: true,
    });
    assert_round_trip(&CommitRequest::FetchGeneration { generation: 3 });
    assert_round_trip(&CommitRequest::History { limit: 7 });
    assert_round_trip(&CommitRequest::AppendRecord {
        record: AuditRecord::default(),
    });
}

#[test]
fn every_response_round_trips_as_one_line() {
    assert_round_trip(&CommitResponse::Prepared);
    assert_round_trip(&CommitResponse::Rejected {
        reason: "generation mismatch".into(),
    });
    assert_round_trip(&CommitResponse::Unavailable {
        reason: "the disk is full".into(),
    });
    assert_round_trip(&CommitResponse::ChangeStatus {
        change: digest("ab"),
        status: CommitStatus::Committed,
    });
    assert_round_trip(&CommitResponse::Status {
        ingress: "n0".into(),
        generation: generation(3, "cd"),
        state: state(),
        prepared: Some(vote()),
        metrics: IngressMetrics::default(),
    });
    assert_round_trip(&CommitResponse::PastGeneration {
        generation: generation(3, "cd"),
        state: state(),
    });
    assert_round_trip(&CommitResponse::Records {
        records: vec![AuditRecord {
            event: "made".into(),
            ..AuditRecord::default()
        }],
    });
    assert_round_trip(&CommitResponse::Recorded);
}

#[test]
fn message_of_oldest_version_is_decoded_and_unknown_key_is_ignored() {
    let status = CommitRequest::Status;
    assert_eq!(decode_request(r#"{"v":1,"ask":"status"}"#).unwrap(), status);
    assert!(decode_request(r#"{"v":1,"ask":"status","later":3}"#).is_ok());
}

#[test]
fn invalid_line_is_rejected_with_the_reason() {
    let newer = decode_request(r#"{"v":3,"ask":"status"}"#).unwrap_err();
    assert!(newer.to_string().contains("version 3"), "{newer}");
    let unknown = decode_request(r#"{"v":1,"ask":"explode"}"#).unwrap_err();
    assert!(
        unknown.to_string().contains("unknown or invalid message"),
        "{unknown}"
    );
    assert!(decode_request("garbage").is_err());
    assert!(decode_request("").is_err());
}
