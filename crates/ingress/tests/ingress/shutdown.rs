//! The graceful shutdown at SIGTERM.

use crate::support::{new_id, setup};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, serve, served, until, Act, Backend, Client,
};

#[test]
fn on_sigterm_admitted_requests_and_new_ones_are_served() {
    // As many as have room for all at once: what waits in line may be refused, by a lot that is drawn with the time.
    let backends = [(); 3]
        .map(|()| Backend::start(|args| Act::Later(Duration::from_millis(400), served(args))));
    let mut ingress = setup(&backends.each_ref()).start();
    let idle = ingress.client();
    let mut taken: Vec<Client> = (0..8).map(|_| ingress.client()).collect();
    for (n, client) in taken.iter_mut().enumerate().take(4) {
        client.send(&call("refer", &format!("r{n}"), 2500));
    }
    until("they are with the backends", || {
        backends.iter().map(Backend::count).sum::<usize>() == 4
    });
    let start = Instant::now();
    ingress.signal("TERM");
    for (n, client) in taken.iter_mut().enumerate().skip(4) {
        client.send(&call("refer", &format!("r{n}"), 2500));
    }
    thread::sleep(Duration::from_millis(200));
    let mut late = ingress.client();
    assert_eq!(late.ask(&command(&["PING"])), "+PONG");
    late.send(&call("refer", "late", 2500));
    for (n, client) in taken.iter_mut().enumerate() {
        assert_eq!(client.answer(), format!("value of r{n}"));
    }
    assert_eq!(late.answer(), "value of late");
    assert!(
        late.ended() && Client(idle.0).ended(),
        "connections are closed between requests"
    );
    assert_eq!(ingress.exit().code(), Some(0));
    assert!(
        start.elapsed() < Duration::from_secs(3),
        "SIGKILL may come 3.7 s after SIGTERM"
    );
    assert!(!ingress.log().contains("panicked"));
}

/// Guards against a port that is closed while clients still come, who have not heard that it stops: each was refused.
#[test]
fn on_sigterm_connections_are_accepted_while_clients_come() {
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

/// Guards against a request that is still out when SIGKILL comes, 0.7 s after the longest deadline but no later
/// than 3.7 s: by then it has failed, or it is lost.
#[test]
fn requests_open_at_the_end_of_the_shutdown_fail() {
    let silent = Backend::start(|_| Act::Silent);
    let mut ingress = setup(&[&silent]).start();
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 7900));
    until("it is sent", || silent.count() == 1);
    let start = Instant::now();
    ingress.signal("TERM");
    assert_eq!(client.answer(), "-ERR failed");
    assert_eq!(ingress.exit().code(), Some(0));
    let took = start.elapsed();
    assert!(took > Duration::from_secs(3), "it gave up after {took:?}");
    assert!(took < Duration::from_millis(6000), "it took {took:?}");
}

/// A client that never ends its request must not keep a stopping ingress.
#[test]
fn a_partial_request_does_not_delay_the_exit() {
    let mut ingress = setup(&[]).start();
    let mut client = ingress.client();
    client.send(b"*4\r\n$8\r\nCALL");
    assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
    ingress.signal("TERM");
    assert_eq!(ingress.exit().code(), Some(0));
}

/// Guards against waiting for a client that asks and never reads, until the ingress is killed with others' answers.
#[test]
fn unread_answers_do_not_delay_the_exit() {
    let mut ingress = setup(&[]).start();
    let mut client = ingress.client();
    client.0.set_nonblocking(true).unwrap();
    let (pings, mut stuck) = (command(&["PING"]).repeat(10_000), None);
    until("both directions are full", || {
        match std::io::Write::write(&mut client.0, &pings) {
            Ok(_) => {
                stuck = None;
                false
            }
            Err(_) => stuck.get_or_insert_with(Instant::now).elapsed() > Duration::from_millis(500),
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
