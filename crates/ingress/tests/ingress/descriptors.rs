//! The budget of file descriptors.

use crate::support::{is_rejected, setup};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, command, serve, until, Act, Backend, Client, Setup};

/// More clients than descriptors: idle ones make room, and everyone who asks is answered.
fn crowd(setup: &Setup) {
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
        "the one that was idle for longest made room"
    );
    let open = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id()))
        .unwrap()
        .count();
    assert!(open <= setup.sockets, "{open} descriptors");
    let before = ingress.cpu();
    thread::sleep(Duration::from_millis(1000));
    assert!(ingress.cpu() - before < 50, "it spins");
}

#[test]
fn the_descriptor_budget_is_respected() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.sockets = 64;
    crowd(&setup);
}

/// Guards against a limit of the system's that is lower than the one told: EMFILE at each accept.
#[test]
fn running_out_of_descriptors_is_survived() {
    let backend = Backend::start(serve);
    let mut setup = setup(&[&backend]);
    setup.ulimit = Some(40);
    crowd(&setup);
}

/// Guards against clients that hang, accepted by the kernel and by nobody else, while all places are busy.
#[test]
fn without_a_free_descriptor_a_client_is_rejected() {
    let slow = Backend::start(|_| Act::Silent);
    let mut setup = setup(&[&slow]);
    setup.sockets = 64;
    let ingress = setup.start();
    let mut busy: Vec<Client> = (0..27).map(|_| ingress.client()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send(&[&call("refer", &format!("r{n}"), 8000)[..], b"*1\r\n"].concat());
    }
    until("they are with the backend", || slow.count() > 3);
    let start = Instant::now();
    assert!(is_rejected(
        &ingress.client().ask(&call("refer", "r99", 8000))
    ));
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against clients that ask once and keep their connection for good: the front, which may hold a third of the
/// descriptors for requests, could open no new one (the incident r6317a1, where a third of the requests reached nobody).
#[test]
fn idle_clients_leave_descriptors_for_others() {
    let backend = Backend::start(serve);
    let ingress = Setup {
        sockets: 120,
        ..setup(&[&backend])
    }
    .start();
    let mut stay = Vec::new();
    for n in 0..60 {
        let mut client = ingress.client();
        assert_eq!(
            client.ask(&call("quote", &format!("o{n}"), 900)),
            format!("value of o{n}")
        );
        stay.push(client);
    }
    let open = |client: &Client| {
        client.0.set_nonblocking(true).unwrap();
        let kept =
            matches!(client.0.peek(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        client.0.set_nonblocking(false).unwrap();
        kept
    };
    // A sixth of the descriptors may be idle; the next to come finds one more that has just had its answer.
    until("the longest idle are closed", || {
        stay.iter().filter(|c| open(c)).count() <= 21
    });
    assert!(
        stay.iter().rev().take(15).all(open),
        "those that asked last are kept"
    );
}
