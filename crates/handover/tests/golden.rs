//! Every frame of the channel, byte for byte: each side is met by a peer that reads and writes bytes alone.
//!
//! The file in `golden/` is written by hand alone: `cargo test -p wrenfork-handover --test golden -- --ignored`.

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
const MOST: usize = 64;
const STATE: &[u8] = b"all that it is";

fn path() -> PathBuf {
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

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

/// The golden frames, by name.
fn golden() -> BTreeMap<String, Vec<u8>> {
    let text = fs::read_to_string(path()).unwrap();
    let pair = |line: &str| {
        let (name, bytes) = line.split_once(' ').unwrap();
        (name.to_string(), unhex(bytes))
    };
    text.lines().map(pair).collect()
}

fn rest(mut stream: &UnixStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    bytes
}

fn exactly(mut stream: &UnixStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).unwrap();
    bytes
}

/// What the process that serves says to a successor that writes `hello`, and then, where it gives its state, `word`.
fn said_by_the_old_process(hello: &[u8], word: &'static [u8]) -> Vec<u8> {
    let (ours, theirs) = UnixStream::pair().unwrap();
    let old = thread::spawn(move || match Caller::accept(theirs, LAYOUTS) {
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
    (&ours).write_all(word).unwrap();
    let said = rest(&ours);
    old.join().unwrap();
    said
}

/// What a new process says to one that serves and answers its hello with `answer`; it takes the state, or declines it.
fn said_by_the_new_process(answer: Vec<u8>, declines: bool) -> Vec<u8> {
    with_server(answer, move |socket| {
        if let Ok(Some(offered)) = Predecessor::request_state(socket, LAYOUTS, MOST) {
            let mut predecessor = offered.predecessor;
            if declines {
                predecessor.decline("it is of another site");
            } else {
                predecessor.take_over().unwrap();
            }
        }
    })
}

/// What comes at a socket, whose server answers the first hello with `answer` and ends its writing then.
fn with_server(answer: Vec<u8>, client: impl FnOnce(&Path)) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let socket = folder.path().join("next");
    let listener = UnixListener::bind(&socket).unwrap();
    let server = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut came = exactly(&stream, 12);
        (&stream).write_all(&answer).unwrap();
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        came.extend(rest(&stream));
        came
    });
    client(&socket);
    server.join().unwrap()
}

fn given(state: &[u8]) -> Vec<u8> {
    let hello = [&b"wrenhnd1"[..], &7u32.to_be_bytes()].concat();
    let mut said = said_by_the_old_process(&hello, b"R");
    assert!(said.windows(state.len()).any(|part| part == state));
    said.truncate(1 + 8 + 32 + state.len());
    said
}

/// The frame that gives the state, with its last byte another than what its digest says.
fn damaged() -> Vec<u8> {
    let mut frame = given(STATE);
    *frame.last_mut().unwrap() ^= 1;
    frame
}

/// The start of a frame that gives more bytes than are taken.
fn too_large() -> Vec<u8> {
    [&b"S"[..], &(MOST as u64 + 1).to_be_bytes(), &[0; 32]].concat()
}

fn frames() -> BTreeMap<String, Vec<u8>> {
    let hello = |layout: u32| [&b"wrenhnd1"[..], &layout.to_be_bytes()].concat();
    let taken = [given(STATE), b"Y".to_vec()].concat();
    let lent = || {
        with_server(Vec::new(), |socket| {
            assert!(borrow(socket).is_err(), "nothing is lent");
        })
    };
    [
        (
            "old.state-yours-descriptors",
            said_by_the_old_process(&hello(7), b"R"),
        ),
        (
            "old.state-declined",
            said_by_the_old_process(&hello(5), b"Nno"),
        ),
        ("old.other-layout", said_by_the_old_process(&hello(8), b"")),
        (
            "old.other-channel",
            said_by_the_old_process(b"wrenhnd9....", b""),
        ),
        (
            "old.lends",
            said_by_the_old_process(b"wrenkpr1\0\0\0\0", b""),
        ),
        ("new.hello-ready", said_by_the_new_process(taken, false)),
        (
            "new.hello-declines",
            said_by_the_new_process(given(STATE), true),
        ),
        (
            "new.damaged-state",
            said_by_the_new_process(damaged(), false),
        ),
        (
            "new.too-large-state",
            said_by_the_new_process(too_large(), false),
        ),
        ("new.borrows", lent()),
    ]
    .map(|(name, bytes)| (name.to_string(), bytes))
    .into()
}

#[test]
fn every_frame_is_written_as_in_the_golden_file() {
    let golden = golden();
    for (name, bytes) in frames() {
        assert_eq!(hex(&bytes), hex(&golden[&name]), "{name}");
    }
}

#[test]
fn the_golden_frames_are_understood_by_both_sides() {
    let golden = golden();
    let state = &golden["old.state-yours-descriptors"];
    // The last byte is that of the descriptors' message, which this client does not read.
    let taken = state[..state.len() - 1].to_vec();
    let came = with_server(taken, |socket| {
        let offered = Predecessor::request_state(socket, LAYOUTS, MOST);
        let mut offered = offered.unwrap().unwrap();
        assert_eq!((offered.layout, &offered.state[..]), (7, STATE));
        offered.predecessor.take_over().unwrap();
    });
    assert_eq!(came, golden["new.hello-ready"]);

    let hello = &golden["new.hello-ready"][..12];
    assert_eq!(&said_by_the_old_process(hello, b"R"), state);

    let (ours, theirs) = UnixStream::pair().unwrap();
    (&ours).write_all(&golden["new.borrows"]).unwrap();
    assert!(matches!(
        Caller::accept(theirs, LAYOUTS),
        Ok(Caller::Supervisor(_))
    ));
}

#[test]
#[ignore = "writes the golden file: run by hand, before a frame is changed on purpose"]
fn write_the_golden_file() {
    let text: String = frames()
        .iter()
        .map(|(name, bytes)| format!("{name} {}\n", hex(bytes)))
        .collect();
    fs::write(path(), text).unwrap();
}
