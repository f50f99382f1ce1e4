//! The limit on file descriptors.

use crate::support::{is_rejected, setup};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, command, serve, until, Act, Backend, Client, Setup};

/// More clients than descriptors: the ingress closes idle connections, and every request is answered.
fn assert_idle_clients_make_room(setup: &Setup) {
    let ingress = setup.start();
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..80 {
        let mut client = ingress.client();
        assert_eq!(client.ask(&command(&["PING"])), "+PONG", "client {n}");
        clients.push(client);
    }
    let mut last = clients.pop().unwrap();
    assert_eq!(last.ask(&call("refer", "r1", 3000)), "value of r1");
    assert!(
        clients[0].ended(),
        "the connection idle for longest must be closed"
    );
    let open = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id()))
        .unwrap()
        .count();
    assert!(
        open <= setup.sockets,
        "{open} descriptors open, limit {}",
        setup.sockets
    );
    let before = ingress.cpu();
    thread::sleep(Duration::from_millis(1000));
    assert!(
        ingress.cpu() - before < 50,
        "the process uses CPU time while idle"
    );
}

#[test]
fn the_descriptor_budget_is_respected() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.sockets = 64;
    assert_idle_clients_make_room(&setup);
}

/// Guards against a system limit lower than the configured one: accept fails with EMFILE.
#[test]
fn running_out_of_descriptors_is_survived() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.ulimit = Some(40);
    assert_idle_clients_make_room(&setup);
}

/// Guards against clients that hang in the kernel's accept queue while all descriptors are in use.
#[test]
fn a_request_without_a_free_descriptor_is_rejected() {
    let slow = Backend::start(|_| Act::Silent);
    let mut setup = setup(&[&slow]);
    setup.sockets = 64;
    let ingress = setup.start();
    let mut busy_clients: Vec<Client> = (0..27).map(|_| ingress.client()).collect();
    for (n, client) in busy_clients.iter_mut().enumerate() {
        client.send(&[&call("refer", &format!("r{n}"), 8000)[..], b"*1\r\n"].concat());
    }
    until("the requests reach the backend", || slow.count() > 3);
    let start = Instant::now();
    assert!(is_rejected(
        &ingress.client().ask(&call("refer", "r99", 8000))
    ));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against clients that send one request and keep their connection: a front end, which may use a
/// third of the descriptors, could open no new connection (incident r6317a1, in which a third of the requests were
/// never received).
#[test]
fn idle_connections_are_limited_to_leave_descriptors_for_others() {
    let backend = Backend::start(serve);
    let ingress = Setup {
        sockets: 120,
        ..setup(&[&backend])
    }
    .start();
    let mut clients = Vec::new();
    for n in 0..60 {
        let mut client = ingress.client();
        assert_eq!(
            client.ask(&call("quote", &format!("o{n}"), 900)),
            format!("value of o{n}")
        );
        clients.push(client);
    }
    let open = |client: &Client| {
        client.0.set_nonblocking(true).unwrap();
        let kept =
            matches!(client.0.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        client.0.set_nonblocking(false).unwrap();
        kept
    };
    // A sixth of the descriptors may be idle, plus one connection that was just answered.
    until("the longest idle are closed", || {
        clients.iter().filter(|c| open(c)).count() <= 21
    });
    assert!(
        clients.iter().rev().take(15).all(open),
        "the most recently active connections must stay open"
    );
}
