//! Many ingresses that are restarted at once at one discovery: how soon they are ready.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, free_address, serve, until, Backend, Client, Discovery, Ingress, Setup,
};

/// As many as the machines of the tests bear; the users run some hundreds.
const PROCESSES: usize = 100;
/// Within this nine in ten have to be ready.
const READY: Duration = Duration::from_secs(10);

/// Starts one at each address, all at once, and gives how long each took to answer a PING, the quickest first.
fn start(setup: &Setup, places: &[SocketAddr]) -> (Vec<Ingress>, Vec<Duration>) {
    let started = Instant::now();
    let program = format!("exec '{}'", setup.program);
    let all: Vec<Ingress> = places
        .iter()
        .map(|at| Ingress::run(&setup.config(*at), *at, &program))
        .collect();
    let mut ready: Vec<Option<Duration>> = vec![None; all.len()];
    until("all are ready", || {
        for (at, ready) in places
            .iter()
            .zip(&mut ready)
            .filter(|(_, ready)| ready.is_none())
        {
            let pong = std::net::TcpStream::connect(at)
                .is_ok_and(|stream| Client(stream).ask(&command(&["PING"])) == "+PONG");
            *ready = pong.then(|| started.elapsed());
        }
        ready.iter().all(Option::is_some)
    });
    let mut ready: Vec<Duration> = ready.into_iter().flatten().collect();
    ready.sort();
    (all, ready)
}

/// Guards against a start that waits for discovery, or for others that do: it turns all of them away, and they are ready by the
/// list that they were given.
#[test]
fn nine_in_ten_of_a_hundred_simultaneous_restarts_are_ready_in_time() {
    let (backend, discovery) = (Backend::start(serve), Discovery::start());
    discovery.overbooked(true);
    let setup = Setup {
        discovery: Some(discovery.at),
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend])
    };
    let places: Vec<SocketAddr> = (0..PROCESSES).map(|_| free_address()).collect();
    let (mut first, _) = start(&setup, &places);
    for (n, ingress) in first.iter_mut().enumerate() {
        if n % 2 == 0 {
            ingress.signal("TERM");
        } else {
            ingress.child.kill().unwrap();
        }
    }
    for ingress in &mut first {
        ingress.exit();
    }
    drop(first);
    let (again, ready) = start(&setup, &places);
    let (median, ninth) = (ready[PROCESSES / 2], ready[PROCESSES * 9 / 10]);
    println!("{PROCESSES} restarted: half ready in {median:.2?}, nine in ten in {ninth:.2?} of {READY:.0?}");
    assert!(ninth < READY, "nine in ten are ready only after {ninth:?}");
    for (n, ingress) in again.iter().enumerate().step_by(10) {
        assert_eq!(
            ingress.client().ask(&call("refer", &format!("r{n}"), 3000)),
            format!("value of r{n}")
        );
    }
}
