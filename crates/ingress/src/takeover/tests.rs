//! The state of a handover, byte by byte.

use super::{bytes, read, Given, Inherited, Right, LAYOUT, OLDEST};
use crate::backends::Backends;
use crate::clients::Clients;
use crate::config::compile;
use crate::stream::Listener;
use crate::tests::{assert_golden, golden_file};
use crate::variant::Shipped;
use crate::{backends, clients, requests, timers};
use mio::net::UnixListener;
use mio::{Poll, Token};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::time::Duration;
use wrenfork_commit::state::State;
use wrenfork_config::enforced::split;
use wrenfork_decision::Gateway;
use wrenfork_wire::call::Call;
use wrenfork_wire::resp;

const RIGHT: Right = Right {
    group_version: 7,
    expires_at: Some(Duration::from_micros(12_345_678)),
    admission_deadline: 99,
};

fn file(layout: u32) -> String {
    format!("handover-{layout}.bin")
}

/// A state with every field and variant that a handover has in use.
fn sample() -> Inherited {
    let json = serde_json::from_slice(&golden_file("platform.json")).unwrap();
    let mut told = split(&json).unwrap();
    told.state
        .insert("discovery".into(), "127.0.0.1:7001".into());
    let enforced = compile(&told.fixed, &State(told.state.clone())).unwrap();
    let (mut command, mut args) = (Vec::new(), Vec::new());
    resp::put_array(&mut command, 4);
    for part in [
        &b"CALL.GET"[..],
        b"00000000b4d65521",
        b"9b1f",
        b"c=quote,t=starter,d=480,units=2,spread=1,first=0",
    ] {
        resp::put_bulk(&mut command, &[part]);
    }
    resp::command(&command, &mut args).unwrap().unwrap();
    let call = Call::read(&command, &args, &enforced.vocabulary)
        .unwrap()
        .unwrap_or_else(|_| panic!("the sample is a call"));
    Inherited {
        told,
        clocks: (1_000_040, 1_000_041),
        now: 1_000_042,
        gateway: Gateway::new(enforced.settings, 7, 1_000_000),
        requests: requests::tests::sample(call),
        timers: timers::tests::sample(),
        watch: ("127.0.0.1:7001".parse().unwrap(), Some(4)),
        peers: true,
        clients: clients::tests::sample(),
        backends: backends::tests::sample(),
    }
}

/// Takes a state over, and writes it down for the next process.
fn write(state: Inherited, layout: u32, right: Option<Right>) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let poll = Poll::new().unwrap();
    let mut sockets = std::iter::repeat_with(|| {
        let (one, other) = UnixStream::pair().unwrap();
        std::mem::forget(other); // it would show as closed
        one.set_nonblocking(true).unwrap();
        OwnedFd::from(one)
    });
    let enforced = compile(&state.told.fixed, &State(state.told.state.clone())).unwrap();
    let listener = UnixListener::bind(folder.path().join("listener")).unwrap();
    let listener = Listener::unix(listener, Vec::new());
    let mut clients = Clients::new(listener, enforced.vocabulary, 1 << 20, Token);
    clients.resume(state.clients, &mut sockets, poll.registry());
    let mut backends = Backends::new(1, 1, |key| Token(1_000 + key));
    backends.resume(state.backends, &mut sockets, poll.registry());
    let given = Given {
        told: &state.told,
        clocks: state.clocks,
        now: state.now,
        gateway: &state.gateway,
        requests: &state.requests,
        timers: &state.timers,
        watch: state.watch,
        peers: state.peers,
        clients: clients.save(),
        backends: backends.save(),
    };
    bytes::<Shipped>(layout, &given, right).unwrap()
}

#[test]
fn a_state_is_written_as_the_golden_files_have_it() {
    assert_golden(&file(LAYOUT), &write(sample(), LAYOUT, Some(RIGHT)));
    assert_golden("handover-5-without-lease.bin", &write(sample(), 5, None));
    assert_golden(&file(OLDEST), &write(sample(), OLDEST, None));
}

#[test]
fn a_state_that_is_read_is_written_to_the_same_bytes() {
    for layout in OLDEST..=LAYOUT {
        let golden = golden_file(&file(layout));
        let (state, right) = read::<Shipped>(layout, &golden).unwrap();
        assert_eq!(right, (layout >= 5).then_some(RIGHT));
        assert!(write(state, layout, right) == golden, "layout {layout}");
    }
}

#[test]
fn what_a_connection_is_busy_with_keeps_its_form() {
    let works = postcard::to_stdvec(&backends::tests::works()).unwrap();
    assert_golden("handover-works.bin", &works);
    let read: Vec<backends::Work> = postcard::from_bytes(&works).unwrap();
    assert_eq!(read, backends::tests::works());
}

/// Each byte that is cut off the end is missed.
#[test]
fn a_state_that_is_cut_short_is_not_read() {
    let golden = golden_file(&file(LAYOUT));
    for cut in 1..64 {
        assert!(read::<Shipped>(LAYOUT, &golden[..golden.len() - cut]).is_err());
    }
}
