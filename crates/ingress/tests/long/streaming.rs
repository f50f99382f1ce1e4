//! Long answers are streamed while either end is slow, broken or gone.

use super::support::{long_answer, peak_rss_kib, read_some, setup, value, MAX_VALUE_BYTES};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{
    call, command, serve, served, until, Act, Backend, Client,
};

/// Guards against buffering whole values: 32 of 4 MiB at once, to clients that do not read for a while, with a memory
/// limit of 24 MiB.
#[test]
fn many_answers_of_maximum_length_stream_within_a_small_memory_limit() {
    let backend = Backend::start(|args| Act::Say(long_answer(args, MAX_VALUE_BYTES)));
    let others =
        [(); 3].map(|()| Backend::start(|args| Act::Say(long_answer(args, MAX_VALUE_BYTES))));
    let small = Backend::start(serve);
    let mut setup = setup(&[&backend, &others[0], &others[1], &others[2]]);
    setup.memory_mb = 24;
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..32).map(|_| ingress.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&call("refer", &format!("r{n}"), 7000));
        // The answers begin one after the other and no client reads: the streams that have begun do not hold up
        // the next one.
        until("the answer begins to arrive", || {
            client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
        });
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(
            client.answer() == value(&format!("r{n}"), MAX_VALUE_BYTES),
            "the value of r{n} differs from the backend's"
        );
    }
    let peak_kib = peak_rss_kib(&ingress);
    assert!(peak_kib < 24 * 1024, "peak of {peak_kib} KiB resident");
    assert_eq!(small.count(), 0);
}

/// Guards against a slow reader, or a long value in a pipeline, that delays other clients or changes the order of
/// answers.
#[test]
fn a_slow_reader_delays_no_other_client_and_answers_stay_in_order() {
    let backend = Backend::start(|args| match &args[2][..1] {
        "l" => Act::Say(long_answer(args, 1 << 20)),
        "s" => Act::Later(Duration::from_millis(400), served(args)),
        _ => serve(args),
    });
    let ingress = setup(&[&backend]).start();
    let (mut slow, mut line) = (ingress.client(), ingress.client());
    slow.send(&call("refer", "l0", 2000));
    until("the answer begins to arrive", || {
        slow.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    line.send(
        &["s1", "l2", "q3", "l4", "q5"]
            .map(|id| call("refer", id, 2500))
            .concat(),
    );
    // Five at once exceed the backend's concurrency limit: a request sent while one waits may be rejected by load
    // shedding.
    until("all requests reach the backend", || backend.count() == 6);
    for n in 0..20 {
        assert_eq!(
            ingress.client().ask(&call("refer", &format!("q1{n}"), 900)),
            format!("value of q1{n}")
        );
    }
    assert_eq!(line.answer(), "value of s1");
    assert!(line.answer() == value("l2", 1 << 20));
    assert_eq!(line.answer(), "value of q3");
    assert!(line.answer() == value("l4", 1 << 20));
    assert_eq!(line.answer(), "value of q5");
    thread::sleep(Duration::from_millis(2500)); // past the deadline, which applies to the first byte only
    assert!(slow.answer() == value("l0", 1 << 20));
    assert_eq!(slow.ask(&call("refer", "q9", 900)), "value of q9");
}

/// Guards against a deadline or a hedged request that ends an answer which arrives slowly but steadily.
#[test]
fn a_streamed_answer_ends_early_only_when_it_stalls() {
    let backend = Backend::start(|args| {
        let bytes = long_answer(args, 300_000);
        Act::Parts(
            if args[2] == "q1" { 100_000 } else { 20 },
            Duration::from_millis(1400),
            bytes,
        )
    });
    let other = Backend::start(|args| Act::Say(long_answer(args, 300_000)));
    let ingress = setup(&[&backend]).start();
    // 900 ms in a repeatable class: neither the deadline nor a hedged request ends the stream.
    assert!(ingress.client().ask(&call("quote", "q1", 900)) == value("q1", 300_000));
    assert!(ingress.client().ask(&call("quote", "q2", 900)) == value("q2", 300_000));
    assert_eq!((backend.count(), other.count()), (2, 0));
}

/// Guards against a truncated value that looks complete, and against a retry after the client has received part of the
/// answer.
#[test]
fn an_answer_that_breaks_half_way_closes_the_client_connection() {
    let (cut, id) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(0)));
    let at = cut.clone();
    let backend = Backend::start(move |args| {
        let mut bytes = long_answer(args, 200_000);
        let at = at.load(Ordering::SeqCst);
        match at {
            1 => {
                let end = bytes.len() - 22; // the value's terminator is wrong
                bytes[end] = b'x';
            }
            2 => bytes.extend_from_slice(&[b'z'; 10]),
            _ => bytes.truncate(at),
        }
        let whole = bytes.len();
        Act::Parts(whole, Duration::ZERO, bytes)
    });
    let ingress = setup(&[&backend]).start();
    for at in [150_000, 199_990, 200_012, 200_020, 1] {
        cut.store(at, Ordering::SeqCst);
        let mut client = ingress.client();
        let name = {
            let mut id = id.lock().unwrap();
            *id += 1;
            format!("b{id}")
        };
        let before = backend.count();
        client.send(&call("quote", &name, 5000));
        until("the request reaches the backend", || {
            backend.count() == before + 1
        });
        if at > 1 {
            until("the answer begins to arrive", || {
                client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
            });
            backend.seen.hang_up.store(true, Ordering::SeqCst);
        }
        let (read_bytes, ended) = read_some(&mut client.0, MAX_VALUE_BYTES);
        backend.seen.hang_up.store(false, Ordering::SeqCst);
        assert!(
            ended && read_bytes < "$200000\r\n".len() + 200_002,
            "cut at {at}: {read_bytes} bytes read, connection ended: {ended}"
        );
        assert_eq!(
            backend.count(),
            before + 1,
            "a request whose answer had begun was sent again"
        );
    }
    // Extra bytes after a complete answer end the backend connection and affect nothing else.
    cut.store(2, Ordering::SeqCst);
    assert!(ingress.client().ask(&call("quote", "b9", 5000)) == value("b9", 200_000));
    // A value over the length limit is not forwarded.
    let huge = Backend::start(|args| Act::Say(long_answer(args, MAX_VALUE_BYTES + 1)));
    let ingress = setup(&[&huge]).start();
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "-ERR failed"
    );
}

/// A backend whose answers to `l…` stop half way until it hangs up, and whose answers to `w…` pause half way.
fn backend_that_breaks() -> Backend {
    Backend::start(|args| match &args[2][..1] {
        "l" => Act::Parts(
            150_000,
            Duration::ZERO,
            long_answer(args, 200_000)[..150_000].to_vec(),
        ),
        "w" => Act::Parts(
            100_000,
            Duration::from_millis(300),
            long_answer(args, 200_000),
        ),
        _ => serve(args),
    })
}

/// Guards against an answer that breaks half way and takes the other answers on its client connection with it.
#[test]
fn an_answer_that_breaks_half_way_loses_no_other_answer() {
    let backend = backend_that_breaks();
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(
        &["q1", "l2", "q3"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    until("all requests reach the backend", || backend.count() == 3);
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    assert_eq!(
        ["q1", "l2", "q3"].map(|_| client.answer()),
        ["value of q1", "-ERR failed", "value of q3"]
    );
    backend.seen.hang_up.store(false, Ordering::SeqCst);
    // A complete long answer in a pipeline arrives whole, and one that would be late fails in time.
    client.send(
        &["q4", "w5", "q6"]
            .map(|id| call("refer", id, 5000))
            .concat(),
    );
    assert_eq!(client.answer(), "value of q4");
    assert!(client.answer() == value("w5", 200_000));
    assert_eq!(client.answer(), "value of q6");
    client.send(&["q7", "l8", "q9"].map(|id| call("refer", id, 900)).concat());
    assert_eq!(
        ["q7", "l8", "q9"].map(|_| client.answer()),
        ["value of q7", "-ERR failed", "value of q9"]
    );
}

/// Guards against reading a request while an answer is streamed before it. If the stream breaks, the connection is
/// closed and the result of the request would be lost; if it was not read, the client can safely send it again.
#[test]
fn no_request_is_read_while_an_answer_is_streamed() {
    let backend = backend_that_breaks();
    let ingress = setup(&[&backend]).start();
    let begun = |client: &Client| client.0.peek(&mut [0]).is_ok_and(|n| n > 0);
    let mut client = ingress.client();
    client.send(&call("refer", "w1", 5000));
    until("the answer begins to arrive", || begun(&client));
    client.send(&call("refer", "q2", 5000));
    assert!(client.answer() == value("w1", 200_000));
    assert_eq!(client.answer(), "value of q2");
    client.send(&call("refer", "l3", 5000));
    until("the answer begins to arrive", || begun(&client));
    client.send(&call("refer", "q4", 5000));
    (0..2).for_each(|_| assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG"));
    backend.seen.hang_up.store(true, Ordering::SeqCst);
    let (read_bytes, ended) = read_some(&mut client.0, MAX_VALUE_BYTES);
    assert!(
        ended && read_bytes < 200_000,
        "{read_bytes} bytes read, connection ended: {ended}"
    );
    assert_eq!(
        backend.count(),
        3,
        "a request after a broken stream was forwarded"
    );
}

/// Guards against a backend that keeps sending after the client disconnected, and against one that stalls for ever.
#[test]
fn streaming_ends_when_the_client_disconnects_or_the_backend_stalls() {
    let backend = Backend::start(|args| {
        if args[2] == "still" {
            return Act::Parts(100_000, Duration::from_secs(60), long_answer(args, 200_000));
        }
        Act::Say(long_answer(args, MAX_VALUE_BYTES))
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "l1", 2000));
    until("the answer begins to arrive", || {
        client.0.peek(&mut [0]).is_ok_and(|n| n > 0)
    });
    drop(client);
    until("the backend's connection ends", || {
        backend.seen.ended.load(Ordering::SeqCst) == 1
    });
    let mut client = ingress.client();
    client.send(&call("refer", "still", 2000));
    let (read_bytes, ended) = read_some(&mut client.0, MAX_VALUE_BYTES);
    assert!(
        ended && (50_000..200_000).contains(&read_bytes),
        "{read_bytes} bytes read, connection ended: {ended}"
    );
}

/// Guards against misreading an answer that is split at an unusual byte.
#[test]
fn an_answer_may_be_split_at_any_byte() {
    let backend = Backend::start(|args| {
        let bytes = long_answer(args, 500_000);
        let at = args[2][1..].parse::<usize>().unwrap();
        Act::Parts(at, Duration::from_millis(20), bytes)
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for at in [
        1, 3, 5, 11, 12, 13, 14, 70_000, 500_010, 500_012, 500_013, 500_014, 500_020, 500_030,
    ] {
        let id = format!("p{at}");
        assert!(
            client.ask(&call("refer", &id, 3000)) == value(&id, 500_000),
            "cut at {at}"
        );
    }
}
