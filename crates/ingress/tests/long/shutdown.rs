//! Long answers at a graceful shutdown.

use super::support::{long_answer, setup, value, MAX_VALUE_BYTES};
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, read_value, serve, served, until, Act, Backend};

/// A backend that never answers `h…`, gives `l…` a value of 128 KiB and `m…` one of the maximum length.
fn backend_with_hung_requests() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "h" => Act::Silent,
        "l" => Act::Say(long_answer(args, 128 * 1024)),
        "m" => Act::Say(long_answer(args, MAX_VALUE_BYTES)),
        _ => serve(args),
    })
}

/// Sends requests on one connection, sends SIGTERM once all have reached the backend, and returns their answers.
fn answers_at_shutdown(memory_mb: usize, ids: &[&str]) -> Vec<String> {
    let backend = backend_with_hung_requests();
    let mut setup = setup(&[&backend]);
    setup.memory_mb = memory_mb;
    let mut ingress = setup.start();
    let mut client = ingress.client();
    let calls: Vec<_> = ids.iter().map(|id| call("refer", id, 7900)).collect();
    client.send(&calls.concat());
    until("all requests reach the backend", || {
        backend.count() == ids.len()
    });
    ingress.signal("TERM");
    let answers = ids.iter().map(|_| client.answer()).collect();
    assert_eq!(ingress.exit().code(), Some(0));
    answers
}

/// Guards against a shutdown that closes a client's connection, without a byte for the requests behind one that got no
/// answer, although their long answers have arrived.
#[test]
fn answers_that_wait_behind_a_hung_request_are_sent_at_the_end_of_a_shutdown() {
    let answers = answers_at_shutdown(192, &["h1", "l2", "q3", "l4"]);
    let length = 128 * 1024;
    let expected = [
        "-ERR failed",
        &value("l2", length),
        "value of q3",
        &value("l4", length),
    ];
    for (n, (answer, expected)) in answers.iter().zip(expected).enumerate() {
        let start: String = answer.chars().take(20).collect();
        assert!(
            answer == expected,
            "answer {n}: {start:?}, {} bytes",
            answer.len()
        );
    }
}

/// Guards against closing the connection, and losing the answers behind, for a streamed answer that can't be completed but of
/// which nothing was forwarded: the memory limit leaves no room to buffer it.
#[test]
fn a_long_answer_not_begun_at_the_end_of_a_shutdown_fails_alone() {
    // The order in which open requests were failed was random, and half of the orders hid the fault.
    let runs = [(); 5].map(|()| thread::spawn(|| answers_at_shutdown(24, &["h1", "m2", "q3"])));
    for run in runs {
        let answers = run.join().unwrap();
        assert_eq!(answers, ["-ERR failed", "-ERR failed", "value of q3"]);
    }
}

/// Guards against a shutdown that cuts off a client which is reading its answers, before SIGKILL is due: the process left
/// 2 s after it had stopped accepting, however much was still to be read.
#[test]
fn a_shutdown_waits_for_a_client_that_goes_on_reading() {
    /// Bytes that the client reads per millisecond until `FULL_SPEED_AFTER`.
    const PACE: usize = 4_500;
    const FULL_SPEED_AFTER: Duration = Duration::from_millis(2800);
    let backend = Backend::start(|args| match &args[2][..1] {
        "s" => Act::Later(Duration::from_millis(300), served(args)),
        _ => Act::Say(long_answer(args, MAX_VALUE_BYTES)),
    });
    let mut ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    // The memory limit has room to buffer the long answers behind the first one, which comes late.
    let ids = ["s0", "l1", "l2", "l3", "l4"];
    client.send(&ids.map(|id| call("refer", id, 7900)).concat());
    until("the first answer arrives", || {
        client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    ingress.signal("TERM");
    let start = Instant::now();
    let (mut received, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let elapsed = start.elapsed();
        if elapsed < FULL_SPEED_AFTER && received.len() > elapsed.as_millis() as usize * PACE {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        match client.0.read(&mut chunk) {
            Ok(n) if n > 0 => received.extend_from_slice(&chunk[..n]),
            _ => break,
        }
    }
    let mut unread = &received[..];
    assert_eq!(read_value(&mut unread).unwrap(), ["value of s0"]);
    for id in &ids[1..] {
        let answer = read_value(&mut unread).map(|answer| answer.concat());
        assert!(
            answer == Some(value(id, MAX_VALUE_BYTES)),
            "{id}, of {} bytes received in {:?}, the backend saw {}, exit {}:\n{}",
            received.len(),
            start.elapsed(),
            backend.count(),
            ingress.exit(),
            ingress.log()
        );
    }
    assert_eq!(ingress.exit().code(), Some(0));
}
