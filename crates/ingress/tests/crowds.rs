//! Crowds that connect and idle or stop half way, by the ingress's sockets: who makes room for whom.

use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{call, serve, served, until, Act, Backend, Client, Setup};

fn setup(backend: &Backend, sockets: usize) -> Setup {
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[backend]);
    setup.sockets = sockets;
    setup
}

/// Whether a connection has ended, without waiting for it.
fn has_ended(client: &Client) -> bool {
    client.0.set_nonblocking(true).unwrap();
    let ended = !client
        .0
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    client.0.set_nonblocking(false).unwrap();
    ended
}

/// How many of these connections have been closed.
fn closed(clients: &[Client]) -> usize {
    clients.iter().filter(|c| has_ended(c)).count()
}

/// Guards against a crowd that keeps out whoever has something to ask, and against room made at the cost of those that ask.
#[test]
fn silent_clients_are_evicted_first_then_partial_commands_then_idle_ones() {
    let backend = Backend::start(serve);
    let ingress = setup(&backend, 96).start();
    let mut served: Vec<Client> = (0..8).map(|_| ingress.client()).collect();
    for (n, client) in served.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&call("refer", &format!("s{n}"), 900)),
            format!("value of s{n}")
        );
    }
    let half = |n: usize| {
        let mut client = ingress.client();
        client.send(&call("refer", &format!("h{n}"), 900)[..20 + n % 50]);
        client
    };
    let halves: Vec<Client> = (0..6).map(half).collect();
    // One that asks shows that what came before has been read.
    let ask = |id: String| {
        assert_eq!(
            ingress.client().ask(&call("refer", &id, 900)),
            format!("value of {id}")
        )
    };
    ask("a0".into());
    // Far more than there are descriptors, all silent: they make room for each other.
    let mut silent: Vec<Client> = Vec::new();
    for n in 0..150 {
        silent.push(ingress.client());
        if n % 25 == 24 {
            thread::sleep(Duration::from_millis(15)); // or they would count as too fresh to be judged
            ask(format!("b{n}"));
        }
    }
    assert!(closed(&silent) > 80, "the silent ones make room");
    assert_eq!(closed(&halves), 0, "partial before silent");
    assert_eq!(closed(&served), 0, "served before silent");
    // Now halves of commands alone: the oldest of them go, and those that were served stay.
    let mut more: Vec<Client> = Vec::new();
    for n in 6..100 {
        more.push(half(n));
        if n % 5 == 0 {
            ask(format!("c{n}")); // what came before is read, and no more than half
        }
    }
    until("the oldest half goes", || has_ended(&halves[0]));
    assert_eq!(closed(&served), 0, "served before partial");
    for (n, client) in served.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&call("refer", &format!("t{n}"), 900)),
            format!("value of t{n}")
        );
    }
    drop((silent, more));
}

/// Guards against a limit on the head that cuts off a client whom the platform allows two seconds.
#[test]
fn a_head_that_takes_two_seconds_is_served() {
    let backend = Backend::start(serve);
    let ingress = setup(&backend, 256).start();
    let mut clients: Vec<Client> = (0..6).map(|_| ingress.client()).collect();
    let parts: Vec<Vec<u8>> = (0..6)
        .map(|n| call("refer", &format!("r{n}"), 900))
        .collect();
    // In six pieces over two seconds, each client with its own start against the looks at the silent.
    for piece in 0..6 {
        for (client, command) in clients.iter_mut().zip(&parts) {
            let (from, to) = (command.len() * piece / 6, command.len() * (piece + 1) / 6);
            client.send(&command[from..to]);
            thread::sleep(Duration::from_millis(13));
        }
        if piece < 5 {
            thread::sleep(Duration::from_millis(318));
        }
    }
    for (n, client) in clients.iter_mut().enumerate() {
        assert_eq!(client.answer(), format!("value of r{n}"));
    }
}

/// Guards against an end that waits for a crowd.
#[test]
fn on_sigterm_under_a_crowd_requests_are_answered_and_the_process_exits() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(200), served(args)));
    let mut ingress = setup(&backend, 128).start();
    let crowd: Vec<Client> = (0..200).map(|_| ingress.client()).collect();
    let mut halves: Vec<Client> = (0..20).map(|_| ingress.client()).collect();
    halves
        .iter_mut()
        .for_each(|c| drop(std::io::Write::write(&mut c.0, b"*4\r\n$8\r\nCALL")));
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 2000));
    until("it is with the backend", || backend.count() == 1);
    ingress.signal("TERM");
    assert_eq!(client.answer(), "value of r1");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
    drop((crowd, halves));
}
