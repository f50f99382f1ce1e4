//! Many ingresses that restart at the same time with one discovery service: how soon they are ready.

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, free_address, serve, until, Backend, Client, Discovery, Ingress, Setup,
};

/// As many processes as the test machines can run; the users run some hundreds.
const PROCESS_COUNT: usize = 100;
/// Time within which nine in ten processes must be ready.
const MAX_READY_TIME: Duration = Duration::from_secs(10);

/// Starts one process at each address, all at once. Returns them with the time that each took to answer a PING, sorted
/// ascending.
fn start_all(setup: &Setup, addresses: &[SocketAddr]) -> (Vec<Ingress>, Vec<Duration>) {
    let started = Instant::now();
    let program = format!("exec '{}'", setup.program);
    let ingresses: Vec<Ingress> = addresses
        .iter()
        .map(|at| Ingress::run(&setup.config(*at), *at, &program))
        .collect();
    let mut ready: Vec<Option<Duration>> = vec![None; ingresses.len()];
    until("all processes are ready", || {
        for (at, ready) in addresses
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
    (ingresses, ready)
}

/// Guards against a start that waits for discovery. Discovery rejects all calls, and each process must be ready with
/// the endpoint list in its configuration.
#[test]
fn nine_in_ten_of_a_hundred_simultaneous_restarts_are_ready_in_time() {
    let (backend, discovery) = (Backend::start(serve), Discovery::start());
    discovery.overbooked(true);
    let setup = Setup {
        discovery: Some(discovery.at),
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&backend])
    };
    let addresses: Vec<SocketAddr> = (0..PROCESS_COUNT).map(|_| free_address()).collect();
    let (mut processes, _) = start_all(&setup, &addresses);
    for (n, ingress) in processes.iter_mut().enumerate() {
        if n % 2 == 0 {
            ingress.signal("TERM");
        } else {
            ingress.child.kill().unwrap();
        }
    }
    for ingress in &mut processes {
        ingress.exit();
    }
    drop(processes);
    let (restarted, ready) = start_all(&setup, &addresses);
    let (median, p90) = (ready[PROCESS_COUNT / 2], ready[PROCESS_COUNT * 9 / 10]);
    println!("{PROCESS_COUNT} restarted: half ready in {median:.2?}, nine in ten in {p90:.2?}, limit {MAX_READY_TIME:.0?}");
    assert!(
        p90 < MAX_READY_TIME,
        "nine in ten processes were ready only after {p90:?}"
    );
    for (n, ingress) in restarted.iter().enumerate().step_by(10) {
        assert_eq!(
            ingress.client().ask(&call("refer", &format!("r{n}"), 3000)),
            format!("value of r{n}")
        );
    }
}
