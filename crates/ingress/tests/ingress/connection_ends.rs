//! What ends a client's connection, and the requests that were written to it before: each gets an answer.

use crate::support::{new_id, setup};
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, read_value, serve, served, Act, Backend, Client, Ingress,
};

/// How long the backend takes for a request whose id begins with `a`.
const SLOW: Duration = Duration::from_millis(300);
/// More invalid commands than the ingress tolerates in a row.
const INVALID_COMMANDS: usize = 12;

/// When the requests behind the commands that end a connection are written.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// Together with these commands, while no request is open.
    SameWrite,
    /// Together with these commands, behind a request that is still open.
    SameWriteBehindOpen,
    /// Later than these commands, while a request from before them is still open.
    LaterWhileOpen,
}

const ARRIVALS: [Arrival; 3] = [
    Arrival::SameWrite,
    Arrival::SameWriteBehindOpen,
    Arrival::LaterWhileOpen,
];

fn start_backend() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "a" => Act::Later(SLOW, served(args)),
        _ => serve(args),
    })
}

/// Writes commands that end a connection, and four requests behind them. Returns all answers up to the end, and those expected
/// before and behind the answers to the commands.
fn play(
    ingress: &Ingress,
    ending: &[u8],
    arrival: Arrival,
) -> (Vec<String>, Vec<String>, Vec<String>) {
    let ids = [(); 4].map(|()| new_id());
    let behind = ids.clone().map(|id| call("refer", &id, 3000)).concat();
    let slow_id = format!("a{}", new_id());
    let slow = call("refer", &slow_id, 3000);
    let mut client = ingress.client();
    let expected_before = match arrival {
        Arrival::SameWrite => {
            client.send(&[ending, &behind].concat());
            vec![]
        }
        Arrival::SameWriteBehindOpen => {
            client.send(&[&slow, ending, &behind].concat());
            vec![format!("value of {slow_id}")]
        }
        Arrival::LaterWhileOpen => {
            client.send(&[&slow, ending].concat());
            thread::sleep(SLOW / 3);
            client.send(&behind);
            vec![format!("value of {slow_id}")]
        }
    };
    client
        .0
        .set_read_timeout(Some(Duration::from_millis(1500)))
        .unwrap();
    let answers = std::iter::from_fn(|| read_value(&mut client.0)).map(|value| value.concat());
    let answers = answers.collect();
    let expected_behind = ids.map(|id| format!("value of {id}")).to_vec();
    (answers, expected_before, expected_behind)
}

/// Guards against requests that are read and never answered, because invalid commands before them end their connection.
#[test]
fn requests_behind_invalid_commands_are_answered() {
    let backend = start_backend();
    let ingress = setup(&[&backend]).start();
    let malformed = call("nothing", "x1", 900);
    for invalid in [command(&["GET", "x"]), malformed] {
        for arrival in ARRIVALS {
            let ending = invalid.repeat(INVALID_COMMANDS);
            let (answers, before, behind) = play(&ingress, &ending, arrival);
            let count = before.len() + INVALID_COMMANDS + behind.len();
            assert_eq!(answers.len(), count, "{arrival:?}: {answers:?}");
            assert!(answers.starts_with(&before), "{arrival:?}: {answers:?}");
            assert!(answers.ends_with(&behind), "{arrival:?}: {answers:?}");
            let errors = &answers[before.len()..before.len() + INVALID_COMMANDS];
            assert!(errors.iter().all(|answer| answer.starts_with("-ERR")));
        }
    }
}

/// Guards against requests that are read and never answered, because requests whose ids are not new end their connection.
#[test]
fn requests_behind_duplicates_are_answered() {
    let backend = start_backend();
    let ingress = setup(&[&backend]).start();
    for arrival in ARRIVALS {
        let id = new_id();
        let duplicates = call("refer", &id, 3000).repeat(INVALID_COMMANDS + 1);
        let (answers, before, behind) = play(&ingress, &duplicates, arrival);
        let errors = answers
            .iter()
            .filter(|answer| answer.contains("the id is not new"))
            .count();
        assert_eq!(errors, INVALID_COMMANDS, "{arrival:?}: {answers:?}");
        assert!(answers.starts_with(&before), "{arrival:?}: {answers:?}");
        assert!(answers.ends_with(&behind), "{arrival:?}: {answers:?}");
    }
}

/// Guards against a client that the end of its connection surprises: nothing is read after a protocol error, so that a request
/// written while an earlier answer is due does not run, and its client may send it again.
#[test]
fn a_request_behind_a_protocol_error_is_not_run() {
    let backend = start_backend();
    let ingress = setup(&[&backend]).start();
    for arrival in ARRIVALS {
        let ran = backend.count();
        let (answers, before, _) = play(&ingress, b"*1\r\n$4\r\nPINGxx", arrival);
        assert_eq!(answers.len(), before.len() + 1, "{arrival:?}: {answers:?}");
        assert!(answers.starts_with(&before), "{arrival:?}: {answers:?}");
        assert!(answers[before.len()].starts_with("-ERR protocol error"));
        assert_eq!(backend.count(), ran + before.len(), "{arrival:?}");
    }
}

/// Guards against requests that are read and never answered on a connection beyond the descriptors: more of them than one turn
/// reads, and one that comes when the others are answered.
#[test]
fn every_request_beyond_the_descriptors_is_rejected() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.sockets = 64;
    let ingress = setup.start();
    // All of these hold a request, so that none of them can be evicted.
    let mut connected: Vec<Client> = (0..27).map(|_| ingress.client()).collect();
    for client in &mut connected {
        client.send(b"*1\r\n$60000000\r\n");
        assert!(client.answer().starts_with("-ERR protocol error"));
    }
    let count = 2000;
    let requests: Vec<u8> = (0..count)
        .flat_map(|_| call("refer", &new_id(), 5000))
        .collect();
    let mut client = ingress.client();
    let mut writer = Client(client.0.try_clone().unwrap());
    let writing = thread::spawn(move || {
        let half = requests.len() / 2;
        writer.send(&requests[..half]);
        writer.send(&requests[half..]);
    });
    for n in 0..count {
        assert_eq!(client.answer(), "-BUSY", "request {n}");
    }
    writing.join().unwrap();
    assert!(client.ended());
    assert_eq!(backend.count(), 0);
}

/// Guards against one client that sends invalid commands without a pause: its connection ends after a bounded number of them, and
/// others are served meanwhile.
#[test]
fn a_flood_of_invalid_commands_is_cut_short() {
    const FLOOD_BYTES: usize = 64 << 20;
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    for invalid in [command(&["GET", "x"]), call("nothing", "x1", 900)] {
        let mut flooding = ingress.client();
        let mut reader = flooding.0.try_clone().unwrap();
        let flood_over = Arc::new(AtomicBool::new(false));
        let over = Arc::clone(&flood_over);
        let writing = thread::spawn(move || {
            let piece = invalid.repeat((64 << 10) / invalid.len());
            let mut written = 0;
            while written < FLOOD_BYTES && flooding.0.write_all(&piece).is_ok() {
                written += piece.len();
            }
            over.store(true, Ordering::SeqCst);
            written
        });
        let reading = thread::spawn(move || {
            let mut answers = Vec::new();
            let _ = reader.read_to_end(&mut answers);
            answers.len()
        });
        let mut slowest = Duration::ZERO;
        let mut other = ingress.client();
        while !flood_over.load(Ordering::SeqCst) {
            let (id, start) = (new_id(), Instant::now());
            assert_eq!(
                other.ask(&call("refer", &id, 2000)),
                format!("value of {id}")
            );
            slowest = slowest.max(start.elapsed());
            thread::sleep(Duration::from_millis(5));
        }
        let (written, answered) = (writing.join().unwrap(), reading.join().unwrap());
        assert!(written < FLOOD_BYTES, "{written} bytes were taken");
        assert!(answered < 64 << 10, "{answered} bytes of errors");
        assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    }
}
