//! Graceful shutdown at SIGTERM.

use crate::support::{new_id, setup};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, serve, served, until, Act, Backend, Client,
};

#[test]
fn on_sigterm_admitted_requests_and_new_ones_are_served() {
    // Enough backends to run all requests at once: a waiting request may be rejected by load shedding, which depends on
    // the time.
    let backends = [(); 3]
        .map(|()| Backend::start(|args| Act::Later(Duration::from_millis(400), served(args))));
    let mut ingress = setup(&backends.each_ref()).start();
    let idle_client = ingress.client();
    let mut clients: Vec<Client> = (0..8).map(|_| ingress.client()).collect();
    for (n, client) in clients.iter_mut().enumerate().take(4) {
        client.send(&call("refer", &format!("r{n}"), 2500));
    }
    until("the requests reach the backends", || {
        backends.iter().map(Backend::count).sum::<usize>() == 4
    });
    let start = Instant::now();
    ingress.signal("TERM");
    for (n, client) in clients.iter_mut().enumerate().skip(4) {
        client.send(&call("refer", &format!("r{n}"), 2500));
    }
    thread::sleep(Duration::from_millis(200));
    let mut late_client = ingress.client();
    assert_eq!(late_client.ask(&command(&["PING"])), "+PONG");
    late_client.send(&call("refer", "late", 2500));
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer(), format!("value of r{n}"));
    }
    assert_eq!(late_client.answer(), "value of late");
    assert!(
        late_client.ended() && Client(idle_client.0).ended(),
        "idle connections must be closed"
    );
    assert_eq!(ingress.exit().code(), Some(0));
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "SIGKILL may come 3.7 s after SIGTERM"
    );
    assert!(!ingress.log().contains("panicked"));
}

/// Guards against closing the port while clients that have not heard of the shutdown still connect: each was refused.
#[test]
fn on_sigterm_connections_are_accepted_while_clients_connect() {
    let backend = Backend::start(serve);
    let mut ingress = setup(&[&backend]).start();
    ingress.signal("TERM");
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1800) {
        let id = new_id();
        let mut client = ingress.client();
        assert_eq!(
            client.ask(&call("quote", &id, 900)),
            format!("value of {id}"),
            "{:?}",
            start.elapsed()
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against a request that is still open when SIGKILL comes, 0.7 s after the longest deadline but no later than
/// 3.7 s: it must have failed by then, or its answer is lost.
#[test]
fn requests_open_at_the_end_of_the_shutdown_fail() {
    let silent = Backend::start(|_| Act::Silent);
    let mut ingress = setup(&[&silent]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 7900));
    until("the request reaches the backend", || silent.count() == 1);
    let start = Instant::now();
    ingress.signal("TERM");
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(ingress.exit().code(), Some(0));
    let took = start.elapsed();
    assert!(
        took > Duration::from_secs(3),
        "the request failed too early, after {took:?}"
    );
    assert!(
        took < Duration::from_millis(6000),
        "the shutdown took {took:?}"
    );
}

/// Guards against a client that never completes its request delaying the exit.
#[test]
fn a_partial_request_does_not_delay_the_exit() {
    let mut ingress = setup(&[]).start();
    let mut client = ingress.client();
    client.send(b"*4\r\n$8\r\nCALL");
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    ingress.signal("TERM");
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against waiting for a client that sends requests and never reads, until SIGKILL loses the answers of other
/// clients.
#[test]
fn unread_answers_do_not_delay_the_exit() {
    let mut ingress = setup(&[]).start();
    let mut client = ingress.client();
    client.0.set_nonblocking(true).unwrap();
    let (pings, mut blocked_since) = (command(&["PING"]).repeat(10_000), None);
    until("both directions are full", || {
        match std::io::Write::write(&mut client.0, &pings) {
            Ok(_) => {
                blocked_since = None;
                false
            }
            Err(_) => {
                blocked_since.get_or_insert_with(Instant::now).elapsed()
                    > Duration::from_millis(500)
            }
        }
    });
    ingress.signal("TERM");
    let start = Instant::now();
    assert_eq!(ingress.exit().code(), Some(0));
    assert!(
        start.elapsed() < Duration::from_millis(3500),
        "SIGKILL may come 3.7 s after SIGTERM"
    );
}
