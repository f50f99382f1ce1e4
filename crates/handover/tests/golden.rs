//! Byte-for-byte test of every frame of the channel: each side talks to a peer that reads and writes raw bytes.
//!
//! The file in `golden/` is only written on request, by `cargo test -p wrenfork-handover --test golden -- --ignored`.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::thread;
use wrenfork_handover::caller::Caller;
use wrenfork_handover::listener::borrow;
use wrenfork_handover::predecessor::Predecessor;

const LAYOUTS: std::ops::RangeInclusive<u32> = 5..=7;
const MAX_STATE_BYTES: usize = 64;
const STATE: &[u8] = b"all that it is";

fn golden_path() -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", "frames.txt"]
        .iter()
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// The golden frames, by name.
fn golden() -> BTreeMap<String, Vec<u8>> {
    let text = fs::read_to_string(golden_path()).unwrap();
    let pair = |line: &str| {
        let (name, bytes) = line.split_once(' ').unwrap();
        (name.to_string(), decode_hex(bytes))
    };
    text.lines().map(pair).collect()
}

fn read_to_end(mut stream: &UnixStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    bytes
}

fn read_exactly(mut stream: &UnixStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).unwrap();
    bytes
}

/// What the predecessor writes to a successor that sends `hello` and then `response`.
fn predecessor_output(hello: &[u8], response: &'static [u8]) -> Vec<u8> {
    let (ours, theirs) = UnixStream::pair().unwrap();
    let predecessor = thread::spawn(move || match Caller::accept(theirs, LAYOUTS) {
        Ok(Caller::Successor { mut successor, .. }) => {
            let descriptors: Vec<OwnedFd> = (0..3)
                .map(|_| UnixStream::pair().unwrap().0.into())
                .collect();
            if successor.hand_over(STATE).is_ok() {
                successor.send_descriptors(descriptors).unwrap();
            }
        }
        Ok(Caller::Supervisor(lender)) => {
            let (listener, _other) = UnixStream::pair().unwrap();
            lender.lend(listener.as_fd()).unwrap();
        }
        Err(_) => {}
    });
    (&ours).write_all(hello).unwrap();
    (&ours).write_all(response).unwrap();
    let output = read_to_end(&ours);
    predecessor.join().unwrap();
    output
}

/// What the successor writes to a predecessor that responds to the hello with `response`. The successor takes over the state or
/// declines it.
fn successor_output(response: Vec<u8>, declines: bool) -> Vec<u8> {
    with_server(response, move |socket| {
        if let Ok(Some(offered)) = Predecessor::request_state(socket, LAYOUTS, MAX_STATE_BYTES) {
            let mut predecessor = offered.predecessor;
            if declines {
                predecessor.decline("it is of another site");
            } else {
                predecessor.take_over().unwrap();
            }
        }
    })
}

/// Runs `client` against a server that responds to the hello with `response` and then closes its writing side. Returns all bytes
/// that the server received.
fn with_server(response: Vec<u8>, client: impl FnOnce(&Path)) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let socket = folder.path().join("next");
    let listener = UnixListener::bind(&socket).unwrap();
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut received = read_exactly(&stream, 12);
        (&stream).write_all(&response).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        received.extend(read_to_end(&stream));
        received
    });
    client(&socket);
    server.join().unwrap()
}

/// The frame with which the predecessor sends a state.
fn state_frame(state: &[u8]) -> Vec<u8> {
    let hello = [&b"wrenhnd1"[..], &7u32.to_be_bytes()].concat();
    let mut output = predecessor_output(&hello, b"R");
    assert!(output.windows(state.len()).any(|window| window == state));
    output.truncate(1 + 8 + 32 + state.len());
    output
}

/// A state frame whose last byte is corrupted, so that the state does not match its digest.
fn corrupted_state_frame() -> Vec<u8> {
    let mut frame = state_frame(STATE);
    *frame.last_mut().unwrap() ^= 1;
    frame
}

/// The header of a state frame that exceeds the size limit.
fn too_large_state_header() -> Vec<u8> {
    [
        &b"S"[..],
        &(MAX_STATE_BYTES as u64 + 1).to_be_bytes(),
        &[0; 32],
    ]
    .concat()
}

/// All frames, by the names that the golden file uses.
fn frames() -> BTreeMap<String, Vec<u8>> {
    let hello = |layout: u32| [&b"wrenhnd1"[..], &layout.to_be_bytes()].concat();
    let state_and_ownership = [state_frame(STATE), b"Y".to_vec()].concat();
    let borrow_request = || {
        with_server(Vec::new(), |socket| {
            assert!(
                borrow(socket).is_err(),
                "borrowing must fail: the server sends no listener"
            );
        })
    };
    [
        (
            "old.state-yours-descriptors",
            predecessor_output(&hello(7), b"R"),
        ),
        ("old.state-declined", predecessor_output(&hello(5), b"Nno")),
        ("old.other-layout", predecessor_output(&hello(8), b"")),
        (
            "old.other-channel",
            predecessor_output(b"wrenhnd9....", b""),
        ),
        ("old.lends", predecessor_output(b"wrenkpr1\0\0\0\0", b"")),
        (
            "new.hello-ready",
            successor_output(state_and_ownership, false),
        ),
        (
            "new.hello-declines",
            successor_output(state_frame(STATE), true),
        ),
        (
            "new.damaged-state",
            successor_output(corrupted_state_frame(), false),
        ),
        (
            "new.too-large-state",
            successor_output(too_large_state_header(), false),
        ),
        ("new.borrows", borrow_request()),
    ]
    .map(|(name, bytes)| (name.to_string(), bytes))
    .into()
}

#[test]
fn frames_match_the_golden_file() {
    let golden = golden();
    for (name, bytes) in frames() {
        assert_eq!(hex(&bytes), hex(&golden[&name]), "{name}");
    }
}

#[test]
fn both_sides_read_the_golden_frames() {
    let golden = golden();
    let state = &golden["old.state-yours-descriptors"];
    // The last byte belongs to the message with the descriptors, which this client does not read.
    let state_and_ownership = state[..state.len() - 1].to_vec();
    let received = with_server(state_and_ownership, |socket| {
        let offered = Predecessor::request_state(socket, LAYOUTS, MAX_STATE_BYTES);
        let mut offered = offered.unwrap().unwrap();
        assert_eq!((offered.layout, &offered.state[..]), (7, STATE));
        offered.predecessor.take_over().unwrap();
    });
    assert_eq!(received, golden["new.hello-ready"]);

    let hello = &golden["new.hello-ready"][..12];
    assert_eq!(&predecessor_output(hello, b"R"), state);

    let (ours, theirs) = UnixStream::pair().unwrap();
    (&ours).write_all(&golden["new.borrows"]).unwrap();
    assert!(matches!(
        Caller::accept(theirs, LAYOUTS),
        Ok(Caller::Supervisor(_))
    ));
}

#[test]
#[ignore = "writes the golden file: run by hand after an intended change of a frame"]
fn write_the_golden_file() {
    let text: String = frames()
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)))
        .collect();
    fs::write(golden_path(), text).unwrap();
}
