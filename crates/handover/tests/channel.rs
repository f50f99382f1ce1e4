//! The two ends of the handover channel, tested against each other and against faulty peers.

use std::io::{Read, Write};
use std::ops::RangeInclusive;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_handover::caller::Caller;
use wrenfork_handover::listener::{borrow, BorrowedListener};
use wrenfork_handover::predecessor::{OfferedState, Predecessor};
use wrenfork_handover::successor::Successor;
use wrenfork_handover::HandoverError;

/// A listening socket in a temporary folder.
struct TestSocket {
    _folder: tempfile::TempDir,
    path: PathBuf,
    listener: UnixListener,
}

fn test_socket() -> TestSocket {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("next");
    let listener = UnixListener::bind(&path).unwrap();
    TestSocket {
        _folder: folder,
        path,
        listener,
    }
}

const MAX_STATE_BYTES: usize = 1 << 20;

/// Accepts a successor that asks for layout 7.
fn accept_successor(stream: UnixStream) -> Result<Successor, HandoverError> {
    match Caller::accept(stream, 7..=7)? {
        Caller::Successor {
            successor,
            layout: 7,
        } => Ok(successor),
        other => panic!("{other:?}"),
    }
}

/// Requests the state of the process that listens on a socket.
fn request_state(path: &Path, layouts: RangeInclusive<u32>) -> OfferedState {
    Predecessor::request_state(path, layouts, MAX_STATE_BYTES)
        .unwrap()
        .unwrap()
}

/// Requests a state and returns the error message.
fn request_state_error(path: &Path, layouts: RangeInclusive<u32>, max_bytes: usize) -> String {
    Predecessor::request_state(path, layouts, max_bytes)
        .unwrap_err()
        .to_string()
}

#[test]
fn state_and_descriptors_arrive_complete_and_in_order() {
    let socket = test_socket();
    let state: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
    let expected = state.clone();
    let predecessor_thread = thread::spawn(move || {
        let mut successor = accept_successor(socket.listener.accept().unwrap().0).unwrap();
        successor.hand_over(&state).unwrap();
        // More descriptors than fit in one message; each connection carries its own number.
        let pairs: Vec<(UnixStream, UnixStream)> =
            (0..150).map(|_| UnixStream::pair().unwrap()).collect();
        let (kept, passed): (Vec<_>, Vec<_>) = pairs.into_iter().unzip();
        successor
            .send_descriptors(passed.into_iter().map(OwnedFd::from).collect())
            .unwrap();
        kept.into_iter()
            .zip(0u8..)
            .for_each(|(mut stream, number)| stream.write_all(&[number]).unwrap());
    });
    let mut offered = request_state(&socket.path, 7..=7);
    assert_eq!((offered.layout, offered.state), (7, expected));
    offered.predecessor.take_over().unwrap();
    let received = offered.predecessor.receive_descriptors(150);
    assert_eq!(received.len(), 150);
    for (descriptor, number) in received.into_iter().zip(0u8..) {
        let mut byte = [0];
        UnixStream::from(descriptor).read_exact(&mut byte).unwrap();
        assert_eq!(byte[0], number);
    }
    predecessor_thread.join().unwrap();
}

#[test]
fn absent_predecessor_is_not_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("next");
    assert!(Predecessor::request_state(&path, 1..=1, MAX_STATE_BYTES)
        .unwrap()
        .is_none());
    drop(UnixListener::bind(&path).unwrap()); // leaves a stale socket file
    assert!(Predecessor::request_state(&path, 1..=1, MAX_STATE_BYTES)
        .unwrap()
        .is_none());
}

/// Guards against a state that is decoded in the wrong layout, and against an endless wait for an unusable state.
#[test]
fn both_sides_report_a_layout_protocol_or_size_mismatch() {
    for (layout, max_bytes, reason) in [(8, MAX_STATE_BYTES, "layout"), (7, 10, "at most")] {
        let socket = test_socket();
        let predecessor_thread = thread::spawn(move || {
            accept_successor(socket.listener.accept().unwrap().0)
                .and_then(|mut successor| successor.hand_over(&[1; 100]))
        });
        assert!(request_state_error(&socket.path, layout..=layout, max_bytes).contains(reason));
        assert!(predecessor_thread.join().unwrap().is_err());
    }
    let (server, mut client) = UnixStream::pair().unwrap();
    client.write_all(b"wrenhnd0\0\0\0\x07").unwrap();
    let rejected = accept_successor(server).unwrap_err().to_string();
    assert!(rejected.contains("another protocol version"), "{rejected}");
}

/// Guards against a restart without handover although both versions know a common layout, and against endless retries.
#[test]
fn highest_common_layout_is_used() {
    for (predecessor_layouts, successor_layouts, common) in [
        (4..=5, 5..=6, 5),
        (5..=6, 4..=5, 5),
        (4..=4, 4..=6, 4),
        (4..=6, 6..=7, 6),
    ] {
        let socket = test_socket();
        let predecessor_thread = thread::spawn(move || loop {
            if let Ok(Caller::Successor {
                mut successor,
                layout,
            }) = Caller::accept(
                socket.listener.accept().unwrap().0,
                predecessor_layouts.clone(),
            ) {
                successor.hand_over(&layout.to_be_bytes()).unwrap();
                return layout;
            }
        });
        let mut offered = request_state(&socket.path, successor_layouts);
        offered.predecessor.take_over().unwrap();
        assert_eq!(
            (offered.layout, &offered.state[..]),
            (common, &u32::to_be_bytes(common)[..])
        );
        assert_eq!(predecessor_thread.join().unwrap(), common);
    }
    let socket = test_socket();
    let predecessor_thread =
        thread::spawn(move || Caller::accept(socket.listener.accept().unwrap().0, 2..=3).map(drop));
    assert!(request_state_error(&socket.path, 4..=5, MAX_STATE_BYTES)
        .contains("state of layout 3, not 5"));
    assert!(predecessor_thread.join().unwrap().is_err());
}

/// Guards against a successor that can't take over from a process that predates the layout message and rejects layouts with text.
#[test]
fn textual_layout_rejection_is_retried_with_lower_layouts() {
    let socket = test_socket();
    let predecessor_thread = thread::spawn(move || {
        for wanted in [6u32, 5] {
            let (mut stream, mut hello) = (socket.listener.accept().unwrap().0, [0; 12]);
            stream.read_exact(&mut hello).unwrap();
            assert_eq!(hello[8..], wanted.to_be_bytes());
            stream.write_all(b"Nstate of layout 4, not that").unwrap();
        }
        let (mut stream, mut hello) = (socket.listener.accept().unwrap().0, [0; 12]);
        stream.read_exact(&mut hello).unwrap();
        assert_eq!(hello[8..], 4u32.to_be_bytes());
        stream.write_all(b"Nnot now").unwrap();
    });
    let reason = request_state_error(&socket.path, 4..=6, MAX_STATE_BYTES);
    assert!(reason.contains("not now"), "{reason}");
    predecessor_thread.join().unwrap();
}

/// Guards against a listening socket that is lost when the supervisor that holds it restarts.
#[test]
fn listener_is_lent_to_the_supervisor() {
    let socket = test_socket();
    assert!(borrow(&socket.path.with_extension("none"))
        .unwrap()
        .is_none());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let predecessor_thread = thread::spawn(move || {
        match Caller::accept(socket.listener.accept().unwrap().0, 7..=7).unwrap() {
            Caller::Supervisor(lender) => lender.lend(listener.as_fd()).unwrap(),
            other => panic!("{other:?}"),
        }
    });
    let BorrowedListener {
        listener,
        process_id,
    } = borrow(&socket.path).unwrap().unwrap();
    assert_eq!(process_id, std::process::id());
    let borrowed = std::net::TcpListener::from(listener);
    assert_eq!(borrowed.local_addr().unwrap(), address);
    predecessor_thread.join().unwrap();
}

/// Guards against using a state that was corrupted or truncated in transit.
#[test]
fn corrupted_or_truncated_state_is_rejected() {
    for truncated in [false, true] {
        let socket = test_socket();
        let predecessor_thread = thread::spawn(move || {
            let (mut stream, _) = socket.listener.accept().unwrap();
            stream.read_exact(&mut [0; 12]).unwrap();
            let mut message = vec![b'S'];
            message.extend_from_slice(&4u64.to_be_bytes());
            message.extend_from_slice(&[0; 32]); // a digest that matches no state
            message.extend_from_slice(if truncated { b"ab" } else { b"abcd" });
            stream.write_all(&message).unwrap();
        });
        assert!(request_state_error(&socket.path, 7..=7, MAX_STATE_BYTES)
            .contains("truncated or does not match its digest"));
        predecessor_thread.join().unwrap();
    }
}

/// Guards against both processes owning the state, or neither, after one side times out.
#[test]
fn after_a_timeout_exactly_one_side_owns_the_state() {
    // The successor stays silent: the predecessor keeps the state after a short wait.
    let (server, mut client) = UnixStream::pair().unwrap();
    client.write_all(b"wrenhnd1\0\0\0\x07").unwrap();
    let start = Instant::now();
    let mut silent_successor = accept_successor(server).unwrap();
    let error = silent_successor
        .hand_over(b"state")
        .unwrap_err()
        .to_string();
    assert!(
        error.contains("timed out waiting for the other process"),
        "{error}"
    );
    assert!(start.elapsed() < Duration::from_secs(10));
    // The predecessor sends the state but no ownership message: the successor does not own the state, and never will.
    let socket = test_socket();
    let predecessor_thread = thread::spawn(move || {
        let (mut stream, _) = socket.listener.accept().unwrap();
        stream.read_exact(&mut [0; 12]).unwrap();
        let mut message = vec![b'S'];
        message.extend_from_slice(&0u64.to_be_bytes());
        // The SHA-256 digest of the empty state.
        let empty = [
            0xe3, 0xb0, 0xc4, 0x42, 0x98, 0xfc, 0x1c, 0x14, 0x9a, 0xfb, 0xf4, 0xc8, 0x99, 0x6f,
            0xb9, 0x24, 0x27, 0xae, 0x41, 0xe4, 0x64, 0x9b, 0x93, 0x4c, 0xa4, 0x95, 0x99, 0x1b,
            0x78, 0x52, 0xb8, 0x55,
        ];
        message.extend_from_slice(&empty);
        stream.write_all(&message).unwrap();
        let mut message_type = [0];
        stream.read_exact(&mut message_type).unwrap();
        assert_eq!(message_type[0], b'R');
        stream
    });
    let mut offered = request_state(&socket.path, 7..=7);
    assert!(offered.state.is_empty());
    let error = offered.predecessor.take_over().unwrap_err().to_string();
    assert!(
        error.contains("timed out waiting for the other process"),
        "{error}"
    );
    let mut predecessor = predecessor_thread.join().unwrap();
    assert!(
        predecessor.write_all(b"Y").is_err(),
        "sending the ownership message after the successor's timeout must fail"
    );
}
