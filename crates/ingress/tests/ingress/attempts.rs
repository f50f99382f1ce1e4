//! What happens to a request, and to the connection that carried it, when an attempt fails.

use crate::support::{answer_through, is_rejected, new_id, setup};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, entry, free_address, serve, served, until, Act, Backend, Client,
};

/// Asserts that an unsafe request that `bad` received completely is not sent again. Returns `bad` and the answer.
fn assert_not_sent_again(bad: Backend) -> (Backend, String) {
    let good = Backend::start(serve);
    let ingress = setup(&[&bad, &good]).start();
    let answer = answer_through(&ingress, "refer", &bad);
    let id = bad.seen.commands.lock().unwrap()[0][2].clone();
    assert!(
        good.seen
            .commands
            .lock()
            .unwrap()
            .iter()
            .all(|c| c[2] != id),
        "the request was sent to another backend"
    );
    assert_eq!(
        bad.count(),
        1,
        "the request was sent to the same backend again"
    );
    assert!(
        !is_rejected(&answer),
        "a rejection would allow the client to retry, but the request may have run"
    );
    (bad, answer)
}

#[test]
fn an_unsafe_request_fails_on_an_error_answer() {
    assert_eq!(
        assert_not_sent_again(Backend::start(|_| Act::Say(b"-ERR failed\r\n".to_vec()))).1,
        "-ERR failed"
    );
}

/// Guards against treating a reset after the last byte of a request as a failed connect.
#[test]
fn an_unsafe_request_fails_on_a_reset_after_its_last_byte() {
    assert_eq!(
        assert_not_sent_again(Backend::start(|_| Act::Close)).1,
        "-ERR failed"
    );
}

#[test]
fn a_garbled_answer_counts_as_a_reset_and_ends_its_connection() {
    let (bad, answer) = assert_not_sent_again(Backend::start(|_| {
        Act::Say(b"*3\r\n$2\r\nvalue\r\n".to_vec())
    }));
    assert_eq!(answer, "-ERR failed");
    until("the connection is closed", || {
        bad.seen.ended.load(Ordering::SeqCst) == 1
    });
}

/// Guards against waiting until the client's deadline for the rest of an incomplete answer.
#[test]
fn an_answer_without_an_end_times_out() {
    for incomplete in [
        &b"*3\r\n$40000\r\nabc\r\n"[..],
        b"-ERR and so on",
        b"*3\r\n",
    ] {
        let bad = Backend::start(|_| Act::Say(incomplete.to_vec()));
        let ingress = setup(&[&bad]).start();
        let start = Instant::now();
        assert_eq!(
            ingress.client().ask(&call("refer", "r1", 7000)),
            "-ERR failed"
        );
        assert!(
            start.elapsed() < Duration::from_secs(4),
            "the error answer took {:?}",
            start.elapsed()
        );
    }
}

/// Guards against using a duplicate of the previous answer for the next request: the duplicate arrives when the
/// connection is in the pool again.
#[test]
fn bytes_after_an_answer_serve_no_other_request() {
    let backend = Backend::start(|args| {
        let mut duplicated = served(args);
        duplicated.extend_from_slice(&served(args));
        Act::Parts(duplicated.len() / 2, Duration::from_micros(300), duplicated)
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for n in 0..200 {
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 2000)),
            format!("value of r{n}")
        );
        thread::sleep(Duration::from_micros(n * 20));
    }
}

/// Guards against the same where the duplicate arrives after a longer pause: a backend known for duplicates gets a new
/// connection for each request.
#[test]
fn a_backend_that_answers_twice_gets_a_new_connection_for_each_request() {
    let backend = Backend::start(|args| {
        let mut duplicated = served(args);
        duplicated.extend_from_slice(&served(args));
        Act::Parts(duplicated.len() / 2, Duration::from_millis(6), duplicated)
    });
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let mut ask = |n: usize| {
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 2000)),
            format!("value of r{n}")
        );
    };
    for n in 0..4 {
        ask(n);
        until("the duplicate closes the connection", || {
            backend.seen.ended.load(Ordering::SeqCst) > n
        });
    }
    for n in 4..60 {
        ask(n);
        thread::sleep(Duration::from_millis(3));
    }
}

/// Guards against losing a valid value because its load report is invalid.
#[test]
fn a_value_with_an_invalid_load_report_is_served() {
    for load in [
        "$3\r\n=,=\r\n",
        "$9\r\nutil=-1e9\r\n",
        "$8\r\nutil=nan\r\n",
        ":7\r\n",
        "+x\r\n",
    ] {
        let answer = format!("*3\r\n$2\r\nok\r\n$-1\r\n{load}");
        let backend = Backend::start(move |_| Act::Say(answer.clone().into_bytes()));
        let ingress = setup(&[&backend]).start();
        assert_eq!(
            ingress.client().ask(&call("refer", "r1", 2000)),
            "ok",
            "{load:?}"
        );
    }
}

#[test]
fn an_answer_without_a_value_fails() {
    let (_, answer) = assert_not_sent_again(Backend::start(|_| {
        Act::Say(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec())
    }));
    assert_eq!(answer, "-ERR failed");
}

#[test]
fn a_request_without_an_answer_fails_before_its_client_times_out() {
    let silent = Backend::start(|_| Act::Silent);
    let ingress = setup(&[&silent]).start();
    // The answer comes about 10 ms before the client's deadline, which a busy machine may miss once.
    let earliest_ms = (0..4).map(|n| {
        let start = Instant::now();
        assert_eq!(
            ingress.client().ask(&call("refer", &format!("r{n}"), 1500)),
            "-ERR failed"
        );
        start.elapsed().as_millis()
    });
    let earliest_ms = earliest_ms.min().unwrap_or_default();
    assert!(
        (1400..1500).contains(&earliest_ms),
        "the earliest error answer came after {earliest_ms} ms"
    );
    assert_eq!(silent.count(), 4);
    until("the attempts are cancelled", || {
        silent.seen.ended.load(Ordering::SeqCst) == 4
    });
}

/// Asserts that requests that must not run twice are all served although `bad` accepts none. They are sent at once: one
/// after the other they would all go to the working backend. Returns the elapsed time.
fn assert_all_served_despite(bad: SocketAddr) -> Duration {
    let good = Backend::start(|args| Act::Later(Duration::from_millis(30), served(args)));
    let mut setup = setup(&[&good]);
    setup.known.push(entry("s-9", bad, "up"));
    let ingress = setup.start();
    let mut clients: Vec<Client> = (0..6).map(|_| ingress.client()).collect();
    let start = Instant::now();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&call("refer", &format!("r{n}"), 4000));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer(), format!("value of r{n}"));
    }
    start.elapsed()
}

#[test]
fn a_rejected_request_is_retried_elsewhere() {
    let bad = Backend::start(|_| Act::Say(b"-BUSY util=0.99\r\n".to_vec()));
    assert_all_served_despite(bad.at);
    assert!(bad.count() > 0, "the rejecting backend got no request");
}

#[test]
fn a_request_to_a_closed_port_is_retried_elsewhere() {
    assert_all_served_despite(free_address());
}

/// Guards against waiting as long for a connect as for an answer: an unreachable machine sends no reply.
#[test]
fn a_connect_without_an_answer_times_out() {
    let silent = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    silent.bind(&free_address().into()).unwrap();
    silent.listen(0).unwrap();
    let at = silent.local_addr().unwrap().as_socket().unwrap();
    // The listen queue is full; the kernel drops further connects.
    let queued: Vec<_> = (0..4)
        .map(|_| {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            let _ = socket.connect(&at.into());
            socket
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    let elapsed = assert_all_served_despite(at);
    assert!(
        elapsed >= Duration::from_millis(250),
        "no request waited for the connect timeout: {elapsed:?}"
    );
    drop(queued);
}

/// Guards against cancelling an attempt on a connection that is used further; the hedged attempt's answer is the
/// result.
#[test]
fn an_idempotent_request_is_hedged_and_its_first_attempt_cancelled() {
    let slow = Backend::start(|args| Act::Later(Duration::from_millis(5000), served(args)));
    let good = Backend::start(serve);
    let ingress = setup(&[&slow, &good]).start();
    let answer = answer_through(&ingress, "quote", &slow);
    assert!(answer.starts_with("value of"), "{answer}");
    let id = slow.seen.commands.lock().unwrap()[0][2].clone();
    assert!(good
        .seen
        .commands
        .lock()
        .unwrap()
        .iter()
        .any(|c| c[2] == id));
    until("the first attempt is cancelled", || {
        slow.seen.ended.load(Ordering::SeqCst) == 1
    });
}

/// Guards against keeping connections that the backend has closed: a request written to one may have run.
#[test]
fn connections_closed_by_a_backend_are_not_reused() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for n in 0..5 {
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 2000)),
            format!("value of r{n}")
        );
        backend.seen.hang_up.store(true, Ordering::SeqCst);
        until("the backend closes the connection", || {
            backend.seen.ended.load(Ordering::SeqCst) == n + 1
        });
        backend.seen.hang_up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(backend.count(), 5);
}

/// Guards against connections that die while idle and fail only under the next request, which must not run twice and so
/// fails. The ingress learns the idle time after which they fail.
#[test]
fn connections_that_go_stale_while_idle_are_detected() {
    let backend = Backend::start(serve);
    backend.seen.stale_ms.store(40, Ordering::SeqCst);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let mut ask = |pause| {
        thread::sleep(Duration::from_millis(pause));
        let id = new_id();
        client.ask(&call("refer", &id, 2000)) == format!("value of {id}")
    };
    let served = (0..30).filter(|_| ask(80)).count();
    assert!(served >= 22, "{served} of 30 served");
    assert!(
        (0..10).all(|_| ask(80)),
        "the stale connections must be detected by now"
    );
    // Connections that were idle for a shorter time are still reused.
    let before = backend.seen.opened.load(Ordering::SeqCst);
    assert!((0..10).filter(|_| ask(8)).count() >= 7);
    assert!(
        backend.seen.opened.load(Ordering::SeqCst) <= before + 7,
        "connections idle for a short time are not reused"
    );
}

#[test]
fn idle_connections_are_closed_after_the_idle_timeout() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.settings = setup.settings.replace("15000000", "1000000");
    let ingress = setup.start();
    assert_eq!(
        ingress.client().ask(&call("quote", "q1", 900)),
        "value of q1"
    );
    until("the idle connection is closed", || {
        backend.seen.ended.load(Ordering::SeqCst) == 1
    });
}
