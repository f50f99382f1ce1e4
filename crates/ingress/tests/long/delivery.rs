//! Connections that end while their clients are still reading long answers: the answers must arrive completely, also when the
//! client sends its next request meanwhile.

use super::support::{long_answer, setup, value};
use std::io::{ErrorKind, Read};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, read_value, serve, until, Act, Backend, Client, Ingress,
};

/// Length of a long answer. The kernel's buffers hold it, so that the ingress has written all of it before the client has read it.
const ANSWER_BYTES: usize = 2 << 20;
/// Length of a long answer that leaves room in the kernel's buffers for the beginning of another one.
const SHORTER_ANSWER_BYTES: usize = 1 << 20;
/// Number of bytes that a slow client reads at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Reads a connection to its end at one chunk per `pause`. Returns what was received.
fn read_slowly(client: &mut Client, pause: Duration) -> Vec<u8> {
    let (mut received, mut chunk) = (Vec::new(), vec![0; CHUNK_BYTES]);
    loop {
        match client.0.read(&mut chunk) {
            Ok(0) => return received,
            Ok(n) => received.extend_from_slice(&chunk[..n]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return received,
            Err(error) => panic!("{error}"),
        }
        thread::sleep(pause);
    }
}

/// Checks that the first answer in `received` is the value of `id`, of `length` bytes, and returns what follows it.
fn after_answer<'a>(received: &'a [u8], id: &str, length: usize) -> &'a [u8] {
    let mut rest = received;
    let answer = read_value(&mut rest).map(|answer| answer.concat());
    assert!(
        answer == Some(value(id, length)),
        "the answer to {id} did not arrive completely: {} bytes received",
        received.len()
    );
    rest
}

/// A backend that gives `l…` a long answer, `m…` a shorter one, and `b…` the first tenth of one.
fn backend_with_long_answers() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "l" => Act::Say(long_answer(args, ANSWER_BYTES)),
        "m" => Act::Say(long_answer(args, SHORTER_ANSWER_BYTES)),
        "b" => {
            let begun = long_answer(args, ANSWER_BYTES)[..ANSWER_BYTES / 10].to_vec();
            Act::Later(Duration::from_millis(200), begun) // the answer before it is forwarded by then
        }
        _ => serve(args),
    })
}

/// A client whose long answer the ingress has written to its socket.
fn client_with_answer_in_kernel(ingress: &Ingress) -> Client {
    let mut client = ingress.client();
    client.send(&call("refer", "l0", 7900));
    until("the answer begins to arrive", || {
        client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    thread::sleep(Duration::from_millis(200));
    client
}

/// Sends a request after `delay` on a connection that another thread reads.
fn send_later(client: &Client, delay: Duration, id: &'static str) {
    let mut writer = Client(client.0.try_clone().unwrap());
    thread::spawn(move || {
        thread::sleep(delay);
        // The connection may have ended by then.
        let _ = std::io::Write::write_all(&mut writer.0, &call("refer", id, 7900));
    });
}

/// Guards against a broken answer that takes the complete answer before it with it: the connection was closed at once, over the
/// client's next request, and the kernel discarded what the client had not read.
#[test]
fn an_answer_before_a_broken_one_reaches_a_slow_client() {
    let backend = backend_with_long_answers();
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&["m0", "b1"].map(|id| call("refer", id, 7900)).concat());
    send_later(&client, Duration::from_millis(400), "next");
    let hang_up = backend.seen.clone();
    let breaker = thread::spawn(move || {
        thread::sleep(Duration::from_millis(600));
        hang_up.hang_up.store(true, Ordering::SeqCst);
    });
    let received = read_slowly(&mut client, Duration::from_millis(60));
    breaker.join().unwrap();
    let rest = after_answer(&received, "m0", SHORTER_ANSWER_BYTES);
    assert!(rest.len() < ANSWER_BYTES, "the broken answer is complete");
}

/// Guards against a shutdown that resets a connection whose answer is written to its socket and still read by its client, over
/// the client's next request.
#[test]
fn an_answer_that_is_still_read_survives_a_shutdown() {
    let backend = backend_with_long_answers();
    let mut ingress = setup(&[&backend]).start();
    let mut client = client_with_answer_in_kernel(&ingress);
    ingress.signal("TERM");
    send_later(&client, Duration::from_millis(1200), "next");
    let received = read_slowly(&mut client, Duration::from_millis(80));
    after_answer(&received, "l0", ANSWER_BYTES);
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against the exit of the process resetting a connection: its client is still reading when SIGKILL is due, and has sent
/// a request that the ingress did not read.
#[test]
fn an_answer_that_is_still_read_survives_the_exit() {
    let backend = backend_with_long_answers();
    let mut ingress = setup(&[&backend]).start();
    let mut client = client_with_answer_in_kernel(&ingress);
    let start = Instant::now();
    ingress.signal("TERM");
    send_later(&client, Duration::from_millis(1500), "next");
    let received = read_slowly(&mut client, Duration::from_millis(160));
    after_answer(&received, "l0", ANSWER_BYTES);
    let elapsed = start.elapsed();
    assert!(
        elapsed > Duration::from_millis(4000),
        "read before the exit, in {elapsed:?}"
    );
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against the same reset where a running ingress evicts an idle connection: with 120 descriptors, a sixth may be idle.
#[test]
fn an_answer_that_is_still_read_survives_an_eviction() {
    let backend = backend_with_long_answers();
    let mut setup = setup(&[&backend]);
    setup.sockets = 120;
    let ingress = setup.start();
    let mut client = client_with_answer_in_kernel(&ingress);
    let others: Vec<Client> = (0..24)
        .map(|_| {
            let mut other = ingress.client();
            assert_eq!(other.ask(&command(&["PING"])), "+PONG");
            other
        })
        .collect();
    send_later(&client, Duration::from_millis(500), "next");
    let received = read_slowly(&mut client, Duration::from_millis(80));
    let rest = after_answer(&received, "l0", ANSWER_BYTES);
    assert!(rest.is_empty(), "the connection was not evicted");
    drop(others);
}

/// Guards against the same reset after an invalid command: the connection was closed a second after its error was written, and
/// what the client sent then reset it.
#[test]
fn an_answer_that_is_still_read_survives_an_invalid_command() {
    let backend = backend_with_long_answers();
    let ingress = setup(&[&backend]).start();
    let mut client = client_with_answer_in_kernel(&ingress);
    client.send(b"no command\r\n");
    send_later(&client, Duration::from_millis(1800), "next");
    let received = read_slowly(&mut client, Duration::from_millis(80));
    let rest = after_answer(&received, "l0", ANSWER_BYTES);
    assert!(rest.starts_with(b"-ERR protocol error"));
}
