//! Encoding of the handover state, compared with golden files.

use super::state::{decode, encode, InheritedState, OutgoingState, LAYOUT, OLDEST_LAYOUT};
use crate::backend::{Activity, Backends};
use crate::client::Clients;
use crate::clock::ClockReading;
use crate::config::compile;
use crate::discovery::DiscoveryPosition;
use crate::stream::Listener;
use crate::tests::{assert_golden, golden_file};
use crate::variant::Shipped;
use crate::{backend, client, requests, timers};
use mio::net::UnixListener;
use mio::{Poll, Token};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use wrenfork_commit::state::State;
use wrenfork_config::enforced::split;
use wrenfork_control_plane::group::InheritedLease;
use wrenfork_decision::Gateway;
use wrenfork_wire::call::Call;
use wrenfork_wire::resp;

const LEASE: InheritedLease = InheritedLease {
    group_version: 7,
    expires_at: Some(Duration::from_micros(12_345_678)),
    admission_deadline: 99,
};

fn golden_name(layout: u32) -> String {
    format!("handover-{layout}.bin")
}

/// A state in which every field and variant of the handover encoding occurs.
fn sample() -> InheritedState {
    let json = serde_json::from_slice(&golden_file("platform.json")).unwrap();
    let mut pairs = split(&json).unwrap();
    pairs
        .state
        .insert("discovery".into(), "127.0.0.1:7001".into());
    let enforced = compile(&pairs.fixed, &State(pairs.state.clone())).unwrap();
    let (mut command, mut args) = (Vec::new(), Vec::new());
    resp::put_array(&mut command, 4);
    for argument in [
        &b"CALL.GET"[..],
        b"00000000b4d65521",
        b"9b1f",
        b"c=quote,t=starter,d=480,units=2,spread=1,first=0",
    ] {
        resp::put_bulk(&mut command, &[argument]);
    }
    resp::command(&command, &mut args).unwrap().unwrap();
    let call = Call::read(&command, &args, &enforced.vocabulary)
        .unwrap()
        .unwrap_or_else(|_| panic!("the sample command must parse as a call"));
    InheritedState {
        source_pairs: pairs,
        clocks: ClockReading {
            ingress: 1_000_040,
            system: 1_000_041,
        },
        now: 1_000_042,
        gateway: Gateway::new(enforced.settings, 7, 1_000_000),
        requests: requests::tests::sample(call),
        timers: timers::tests::sample(),
        discovery: DiscoveryPosition {
            address: "127.0.0.1:7001".parse().unwrap(),
            index: Some(4),
        },
        has_peer_socket: true,
        clients: client::tests::sample(),
        backends: backend::tests::sample(),
    }
}

/// Resumes from a state as a successor does, then encodes it again as a predecessor.
fn resume_and_encode(state: InheritedState, layout: u32, lease: Option<InheritedLease>) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let poll = Poll::new().unwrap();
    let mut sockets = std::iter::repeat_with(|| {
        let (ours, theirs) = UnixStream::pair().unwrap();
        std::mem::forget(theirs); // dropping the other end would show as a closed connection
        ours.set_nonblocking(true).unwrap();
        OwnedFd::from(ours)
    });
    let enforced = compile(
        &state.source_pairs.fixed,
        &State(state.source_pairs.state.clone()),
    )
    .unwrap();
    let listener = UnixListener::bind(folder.path().join("listener")).unwrap();
    let listener = Listener::unix(listener, Vec::new());
    let mut clients = Clients::new(listener, enforced.vocabulary, 1 << 20, Token);
    clients.resume(state.clients, &mut sockets, poll.registry());
    let mut backends = Backends::new(1, 1, 1, |key| Token(1_000 + key));
    backends.resume(state.backends, &mut sockets, poll.registry());
    let outgoing = OutgoingState {
        source_pairs: &state.source_pairs,
        clocks: state.clocks,
        now: state.now,
        gateway: &state.gateway,
        requests: &state.requests,
        timers: &state.timers,
        discovery: state.discovery,
        has_peer_socket: state.has_peer_socket,
        clients: clients.save(),
        backends: backends.save(),
    };
    encode::<Shipped>(layout, &outgoing, lease).unwrap()
}

#[test]
fn encoded_state_matches_golden_files() {
    assert_golden(
        &golden_name(LAYOUT),
        &resume_and_encode(sample(), LAYOUT, Some(LEASE)),
    );
    assert_golden(
        "handover-5-without-lease.bin",
        &resume_and_encode(sample(), 5, None),
    );
    assert_golden(
        &golden_name(OLDEST_LAYOUT),
        &resume_and_encode(sample(), OLDEST_LAYOUT, None),
    );
}

#[test]
fn decoded_state_is_encoded_to_the_same_bytes() {
    for layout in OLDEST_LAYOUT..=LAYOUT {
        let golden = golden_file(&golden_name(layout));
        let (state, lease) = decode::<Shipped>(layout, &golden).unwrap();
        assert_eq!(lease, (layout >= 5).then_some(LEASE));
        assert!(
            resume_and_encode(state, layout, lease) == golden,
            "layout {layout}"
        );
    }
}

#[test]
fn activity_encoding_matches_golden_file() {
    let encoded = postcard::to_stdvec(&backend::tests::activities()).unwrap();
    assert_golden("handover-works.bin", &encoded);
    let decoded: Vec<Activity> = postcard::from_bytes(&encoded).unwrap();
    assert_eq!(decoded, backend::tests::activities());
}

/// A state without its last bytes must not decode, whatever their number.
#[test]
fn truncated_state_is_rejected() {
    let golden = golden_file(&golden_name(LAYOUT));
    for cut in 1..64 {
        assert!(decode::<Shipped>(LAYOUT, &golden[..golden.len() - cut]).is_err());
    }
}
