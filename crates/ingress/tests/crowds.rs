//! Many clients that connect and then idle or stop half way: which connections the ingress evicts to make room.

use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{call, serve, served, until, Act, Backend, Client, Setup};

fn setup(backend: &Backend, sockets: usize) -> Setup {
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[backend]);
    setup.sockets = sockets;
    setup
}

/// Whether the ingress has closed this connection; does not block.
fn is_closed(client: &Client) -> bool {
    client.0.set_nonblocking(true).unwrap();
    let ended = !client
        .0
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    client.0.set_nonblocking(false).unwrap();
    ended
}

/// The number of these connections that the ingress has closed.
fn evicted(clients: &[Client]) -> usize {
    clients.iter().filter(|c| is_closed(c)).count()
}

/// Guards against idle connections that keep out clients with requests, and against evicting clients that send
/// requests.
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
    let send_partial = |n: usize| {
        let mut client = ingress.client();
        client.send(&call("refer", &format!("h{n}"), 900)[..20 + n % 50]);
        client
    };
    let partial: Vec<Client> = (0..6).map(send_partial).collect();
    // An answered request shows that everything sent earlier has been read.
    let ask = |id: String| {
        assert_eq!(
            ingress.client().ask(&call("refer", &id, 900)),
            format!("value of {id}")
        )
    };
    ask("a0".into());
    // Far more silent connections than descriptors: the ingress evicts silent ones to accept others.
    let mut silent: Vec<Client> = Vec::new();
    for n in 0..150 {
        silent.push(ingress.client());
        if n % 25 == 24 {
            thread::sleep(Duration::from_millis(15)); // newer connections are not evicted yet
            ask(format!("b{n}"));
        }
    }
    assert!(evicted(&silent) > 80, "silent clients not evicted");
    assert_eq!(evicted(&partial), 0, "evicted before silent ones");
    assert_eq!(evicted(&served), 0, "evicted before silent ones");
    // Now only partial commands: the oldest of these connections are evicted, and clients that were served stay.
    let mut more: Vec<Client> = Vec::new();
    for n in 6..100 {
        more.push(send_partial(n));
        if n % 5 == 0 {
            ask(format!("c{n}")); // the partial commands sent earlier have been read
        }
    }
    until("the oldest is evicted", || is_closed(&partial[0]));
    assert_eq!(evicted(&served), 0, "evicted before partial ones");
    for (n, client) in served.iter_mut().enumerate() {
        assert_eq!(
            client.ask(&call("refer", &format!("t{n}"), 900)),
            format!("value of t{n}")
        );
    }
    drop((silent, more));
}

/// Guards against a time limit on the command head that cuts off a client within the two seconds that the platform
/// allows.
#[test]
fn a_command_head_sent_over_two_seconds_is_served() {
    let backend = Backend::start(serve);
    let ingress = setup(&backend, 256).start();
    let mut clients: Vec<Client> = (0..6).map(|_| ingress.client()).collect();
    let requests: Vec<Vec<u8>> = (0..6)
        .map(|n| call("refer", &format!("r{n}"), 900))
        .collect();
    // Each command is sent in six pieces over two seconds. The clients are staggered against the periodic check for
    // silent connections.
    for piece in 0..6 {
        for (client, command) in clients.iter_mut().zip(&requests) {
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

/// Guards against a shutdown that waits for idle connections.
#[test]
fn on_sigterm_with_many_idle_clients_requests_are_answered_and_the_process_exits() {
    let backend = Backend::start(|args| Act::Later(Duration::from_millis(200), served(args)));
    let mut ingress = setup(&backend, 128).start();
    let crowd: Vec<Client> = (0..200).map(|_| ingress.client()).collect();
    let mut partial: Vec<Client> = (0..20).map(|_| ingress.client()).collect();
    partial
        .iter_mut()
        .for_each(|c| drop(std::io::Write::write(&mut c.0, b"*4\r\n$8\r\nCALL")));
    let mut client = ingress.client();
    client.send(&call("refer", "r1", 2000));
    until("the request reaches the backend", || backend.count() == 1);
    ingress.signal("TERM");
    assert_eq!(client.answer(), "value of r1");
    drop(client);
    assert_eq!(ingress.exit().code(), Some(0));
    drop((crowd, partial));
}
