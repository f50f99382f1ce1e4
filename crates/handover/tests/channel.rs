//! Both ends of the channel against each other, and against ends that fail.

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

struct Place {
    _folder: tempfile::TempDir,
    path: PathBuf,
    listener: UnixListener,
}

fn place() -> Place {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("next");
    let listener = UnixListener::bind(&path).unwrap();
    Place {
        _folder: folder,
        path,
        listener,
    }
}

const MOST: usize = 1 << 20;

/// Accepts the successor, which must read layout 7.
fn accept_successor(stream: UnixStream) -> Result<Successor, HandoverError> {
    match Caller::accept(stream, 7..=7)? {
        Caller::Successor {
            successor,
            layout: 7,
        } => Ok(successor),
        other => panic!("{other:?}"),
    }
}

/// The state that the process at a socket offers.
fn offered(path: &Path, layouts: RangeInclusive<u32>) -> OfferedState {
    Predecessor::request_state(path, layouts, MOST)
        .unwrap()
        .unwrap()
}

/// Why the process at a socket offers no state.
fn not_offered(path: &Path, layouts: RangeInclusive<u32>, max_bytes: usize) -> String {
    Predecessor::request_state(path, layouts, max_bytes)
        .unwrap_err()
        .to_string()
}

#[test]
fn state_and_descriptors_arrive_complete_and_in_order() {
    let place = place();
    let state: Vec<u8> = (0..300_000u32).map(|n| n as u8).collect();
    let want = state.clone();
    let old = thread::spawn(move || {
        let mut successor = accept_successor(place.listener.accept().unwrap().0).unwrap();
        successor.hand_over(&state).unwrap();
        // Far more than go in a message; each holds its number.
        let pairs: Vec<(UnixStream, UnixStream)> =
            (0..150).map(|_| UnixStream::pair().unwrap()).collect();
        let (here, there): (Vec<_>, Vec<_>) = pairs.into_iter().unzip();
        successor
            .send_descriptors(there.into_iter().map(OwnedFd::from).collect())
            .unwrap();
        here.into_iter()
            .zip(0u8..)
            .for_each(|(mut s, n)| s.write_all(&[n]).unwrap());
    });
    let mut offered = offered(&place.path, 7..=7);
    assert_eq!((offered.layout, offered.state), (7, want));
    offered.predecessor.take_over().unwrap();
    let all = offered.predecessor.receive_descriptors(150);
    assert_eq!(all.len(), 150);
    for (fd, n) in all.into_iter().zip(0u8..) {
        let mut byte = [0];
        UnixStream::from(fd).read_exact(&mut byte).unwrap();
        assert_eq!(byte[0], n);
    }
    old.join().unwrap();
}

#[test]
fn an_absent_predecessor_is_no_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("next");
    assert!(Predecessor::request_state(&path, 1..=1, MOST)
        .unwrap()
        .is_none());
    drop(UnixListener::bind(&path).unwrap()); // a stale file
    assert!(Predecessor::request_state(&path, 1..=1, MOST)
        .unwrap()
        .is_none());
}

/// Guards against a state of another form that is read as if it were this one's, and a wait without end for it.
#[test]
fn both_sides_learn_of_another_layout_protocol_or_size() {
    for (layout, most, why) in [(8, MOST, "layout"), (7, 10, "at most")] {
        let place = place();
        let old = thread::spawn(move || {
            accept_successor(place.listener.accept().unwrap().0)
                .and_then(|mut successor| successor.hand_over(&[1; 100]))
        });
        assert!(not_offered(&place.path, layout..=layout, most).contains(why));
        assert!(old.join().unwrap().is_err());
    }
    let (one, mut other) = UnixStream::pair().unwrap();
    other.write_all(b"wrenhnd0\0\0\0\x07").unwrap();
    let refused = accept_successor(one).unwrap_err().to_string();
    assert!(refused.contains("another version"), "{refused}");
}

/// Guards against neighbours that could understand each other and begin anew all the same, and against asking for ever.
#[test]
fn the_highest_layout_that_both_know_is_used() {
    for (old, new, spoken) in [
        (4..=5, 5..=6, 5),
        (5..=6, 4..=5, 5),
        (4..=4, 4..=6, 4),
        (4..=6, 6..=7, 6),
    ] {
        let place = place();
        let serving = thread::spawn(move || loop {
            if let Ok(Caller::Successor {
                mut successor,
                layout,
            }) = Caller::accept(place.listener.accept().unwrap().0, old.clone())
            {
                successor.hand_over(&layout.to_be_bytes()).unwrap();
                return layout;
            }
        });
        let mut offered = offered(&place.path, new);
        offered.predecessor.take_over().unwrap();
        assert_eq!(
            (offered.layout, &offered.state[..]),
            (spoken, &u32::to_be_bytes(spoken)[..])
        );
        assert_eq!(serving.join().unwrap(), spoken);
    }
    let place = place();
    let old =
        thread::spawn(move || Caller::accept(place.listener.accept().unwrap().0, 2..=3).map(drop));
    assert!(not_offered(&place.path, 4..=5, MOST).contains("state of layout 3, not 5"));
    assert!(old.join().unwrap().is_err());
}

/// Guards against a newer process that can't follow one from before there was more than one layout, which says no in words.
#[test]
fn a_predecessor_that_rejects_layouts_in_words_is_asked_for_lower_ones() {
    let place = place();
    let old = thread::spawn(move || {
        for wanted in [6u32, 5] {
            let (mut stream, mut hello) = (place.listener.accept().unwrap().0, [0; 12]);
            stream.read_exact(&mut hello).unwrap();
            assert_eq!(hello[8..], wanted.to_be_bytes());
            stream.write_all(b"Nstate of layout 4, not that").unwrap();
        }
        let (mut stream, mut hello) = (place.listener.accept().unwrap().0, [0; 12]);
        stream.read_exact(&mut hello).unwrap();
        assert_eq!(hello[8..], 4u32.to_be_bytes());
        stream.write_all(b"Nnot now").unwrap();
    });
    let why = not_offered(&place.path, 4..=6, MOST);
    assert!(why.contains("not now"), "{why}");
    old.join().unwrap();
}

/// Guards against a listener that is lost with whoever held it.
#[test]
fn the_listener_is_lent_to_the_supervisor() {
    let place = place();
    assert!(borrow(&place.path.with_extension("none"))
        .unwrap()
        .is_none());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let old = thread::spawn(move || {
        match Caller::accept(place.listener.accept().unwrap().0, 7..=7).unwrap() {
            Caller::Supervisor(lender) => lender.lend(listener.as_fd()).unwrap(),
            other => panic!("{other:?}"),
        }
    });
    let BorrowedListener {
        listener,
        process_id,
    } = borrow(&place.path).unwrap().unwrap();
    assert_eq!(process_id, std::process::id());
    let lent = std::net::TcpListener::from(listener);
    assert_eq!(lent.local_addr().unwrap(), at);
    old.join().unwrap();
}

/// Guards against a state that was spoilt or cut on its way.
#[test]
fn a_damaged_or_cut_state_is_rejected() {
    for cut in [false, true] {
        let place = place();
        let old = thread::spawn(move || {
            let (mut stream, _) = place.listener.accept().unwrap();
            stream.read_exact(&mut [0; 12]).unwrap();
            let mut said = vec![b'S'];
            said.extend_from_slice(&4u64.to_be_bytes());
            said.extend_from_slice(&[0; 32]); // no digest of anything
            said.extend_from_slice(if cut { b"ab" } else { b"abcd" });
            stream.write_all(&said).unwrap();
        });
        assert!(not_offered(&place.path, 7..=7, MOST).contains("not whole"));
        old.join().unwrap();
    }
}

/// Guards against two processes that both decide, or none: whoever is late, one has it and knows.
#[test]
fn after_a_timeout_exactly_one_side_owns_the_state() {
    // The new one says nothing: it stays the old one's, and soon.
    let (one, mut other) = UnixStream::pair().unwrap();
    other.write_all(b"wrenhnd1\0\0\0\x07").unwrap();
    let start = Instant::now();
    let mut silent = accept_successor(one).unwrap();
    let late = silent.hand_over(b"state").unwrap_err().to_string();
    assert!(late.contains("no word in time"), "{late}");
    assert!(start.elapsed() < Duration::from_secs(10));
    // The old one says nothing behind the state: it is not the new one's, and can't become so.
    let place = place();
    let old = thread::spawn(move || {
        let (mut stream, _) = place.listener.accept().unwrap();
        stream.read_exact(&mut [0; 12]).unwrap();
        let mut said = vec![b'S'];
        said.extend_from_slice(&0u64.to_be_bytes());
        // The digest of nothing.
        let empty = [
            0xe3, 0xb0, 0xc4, 0x42, 0x98, 0xfc, 0x1c, 0x14, 0x9a, 0xfb, 0xf4, 0xc8, 0x99, 0x6f,
            0xb9, 0x24, 0x27, 0xae, 0x41, 0xe4, 0x64, 0x9b, 0x93, 0x4c, 0xa4, 0x95, 0x99, 0x1b,
            0x78, 0x52, 0xb8, 0x55,
        ];
        said.extend_from_slice(&empty);
        stream.write_all(&said).unwrap();
        let mut word = [0];
        stream.read_exact(&mut word).unwrap();
        assert_eq!(word[0], b'R');
        stream
    });
    let mut offered = offered(&place.path, 7..=7);
    assert!(offered.state.is_empty());
    let late = offered.predecessor.take_over().unwrap_err().to_string();
    assert!(late.contains("no word in time"), "{late}");
    let mut late = old.join().unwrap();
    assert!(
        late.write_all(b"Y").is_err(),
        "said too late, it must not seem said"
    );
}
