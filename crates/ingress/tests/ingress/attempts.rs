//! What becomes of a request when an attempt at it fails, and of the connection that carried it.

use crate::support::{answer_through, is_rejected, new_id, setup};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, entry, free_address, serve, served, until, Act, Backend, Client,
};

/// An unsafe request that a backend was given whole goes to nobody else, whatever becomes of it.
fn may_have_run(bad: Backend) -> (Backend, String) {
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
        "it was sent again"
    );
    assert_eq!(bad.count(), 1, "it was sent again to the same one");
    assert!(
        !is_rejected(&answer),
        "a refusal says that it is harmless to try again"
    );
    (bad, answer)
}

#[test]
fn a_request_that_must_not_run_twice_fails_with_an_error_answer() {
    assert_eq!(
        may_have_run(Backend::start(|_| Act::Say(b"-ERR failed\r\n".to_vec()))).1,
        "-ERR failed"
    );
}

/// Guards against taking a break behind the last byte for a connection that never was.
#[test]
fn a_request_that_must_not_run_twice_fails_with_a_reset_after_its_last_byte() {
    assert_eq!(
        may_have_run(Backend::start(|_| Act::Close)).1,
        "-ERR failed"
    );
}

#[test]
fn a_garbled_answer_counts_as_a_reset_and_ends_its_connection() {
    let (bad, answer) = may_have_run(Backend::start(|_| {
        Act::Say(b"*3\r\n$2\r\nvalue\r\n".to_vec())
    }));
    assert_eq!(answer, "-ERR failed");
    until("the connection is closed", || {
        bad.seen.ended.load(Ordering::SeqCst) == 1
    });
}

/// Guards against waiting for the rest of what will not come until the client's time is over.
#[test]
fn an_answer_without_an_end_times_out() {
    for spoilt in [
        &b"*3\r\n$40000\r\nabc\r\n"[..],
        b"-ERR and so on",
        b"*3\r\n",
    ] {
        let bad = Backend::start(|_| Act::Say(spoilt.to_vec()));
        let ingress = setup(&[&bad]).start();
        let start = Instant::now();
        assert_eq!(
            ingress.client().ask(&call("refer", "r1", 7000)),
            "-ERR failed"
        );
        assert!(
            start.elapsed() < Duration::from_secs(4),
            "waited for {:?}",
            start.elapsed()
        );
    }
}

/// Guards against serving a request with the copy of the answer before it: it came once the connection was in its
/// pool again.
#[test]
fn bytes_behind_an_answer_serve_no_other_request() {
    let backend = Backend::start(|args| {
        let mut twice = served(args);
        twice.extend_from_slice(&served(args));
        Act::Parts(twice.len() / 2, Duration::from_micros(300), twice)
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

/// Guards against serving requests with copies that come after any rest: a backend known for them gets a connection
/// for each request.
#[test]
fn a_backend_that_answers_twice_gets_a_new_connection_for_each_request() {
    let backend = Backend::start(|args| {
        let mut twice = served(args);
        twice.extend_from_slice(&served(args));
        Act::Parts(twice.len() / 2, Duration::from_millis(6), twice)
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
        until("the copy is seen", || {
            backend.seen.ended.load(Ordering::SeqCst) > n
        });
    }
    for n in 4..60 {
        ask(n);
        thread::sleep(Duration::from_millis(3));
    }
}

/// Guards against losing a good value to a report that can't be read.
#[test]
fn a_value_is_served_though_its_load_report_is_invalid() {
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
fn an_answer_of_another_form_fails() {
    let (_, answer) = may_have_run(Backend::start(|_| {
        Act::Say(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec())
    }));
    assert_eq!(answer, "-ERR failed");
}

#[test]
fn a_request_without_an_answer_fails_before_its_client_times_out() {
    let silent = Backend::start(|_| Act::Silent);
    let ingress = setup(&[&silent]).start();
    // The answer comes some 10 ms before the client's time is over: a busy machine may miss that once.
    let soonest = (0..4).map(|n| {
        let start = Instant::now();
        assert_eq!(
            ingress.client().ask(&call("refer", &format!("r{n}"), 1500)),
            "-ERR failed"
        );
        start.elapsed().as_millis()
    });
    let soonest = soonest.min().unwrap_or_default();
    assert!((1400..1500).contains(&soonest), "after {soonest} ms");
    assert_eq!(silent.count(), 4);
    until("the attempts are given up", || {
        silent.seen.ended.load(Ordering::SeqCst) == 4
    });
}

/// Requests of a class that must never run twice are all served, though `bad` lets none in. They come at once:
/// one after the other they would all go to the backend that answers.
fn never_ran(bad: SocketAddr) -> Duration {
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
    never_ran(bad.at);
    assert!(bad.count() > 0, "it was never tried");
}

#[test]
fn a_request_to_a_closed_port_is_retried_elsewhere() {
    never_ran(free_address());
}

/// Guards against waiting for a connection for as long as for an answer: a machine that is cut off says nothing.
#[test]
fn a_connect_without_an_answer_times_out() {
    let silent = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    silent.bind(&free_address().into()).unwrap();
    silent.listen(0).unwrap();
    let at = silent.local_addr().unwrap().as_socket().unwrap();
    // What the line holds is taken; the kernel drops whatever comes then.
    let line: Vec<_> = (0..4)
        .map(|_| {
            let one =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            one.set_nonblocking(true).unwrap();
            let _ = one.connect(&at.into());
            one
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    let longest = never_ran(at);
    assert!(
        longest >= Duration::from_millis(250),
        "it was never tried, or not waited for: {longest:?}"
    );
    drop(line);
}

/// Guards against calling an attempt off on a connection that goes on: the second copy's answer is the answer.
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
    until("the first copy is called off", || {
        slow.seen.ended.load(Ordering::SeqCst) == 1
    });
}

/// Guards against keeping connections that the backend has ended: what is written to one may have run.
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
        until("the backend hangs up", || {
            backend.seen.ended.load(Ordering::SeqCst) == n + 1
        });
        backend.seen.hang_up.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(backend.count(), 5);
}

/// Guards against connections that are dead after a moment of idleness and say so only under the next request:
/// a request that must not run twice fails with each. They are found out by how long they were idle.
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
    assert!((0..10).all(|_| ask(80)), "found out by now");
    // Those that were idle for less are used on.
    let before = backend.seen.opened.load(Ordering::SeqCst);
    assert!((0..10).filter(|_| ask(8)).count() >= 7);
    assert!(
        backend.seen.opened.load(Ordering::SeqCst) <= before + 7,
        "each request has a new one"
    );
}

#[test]
fn idle_connections_are_closed_before_the_backend_does() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.settings = setup.settings.replace("15000000", "1000000");
    let ingress = setup.start();
    assert_eq!(
        ingress.client().ask(&call("quote", "q1", 900)),
        "value of q1"
    );
    until("it is closed", || {
        backend.seen.ended.load(Ordering::SeqCst) == 1
    });
}
