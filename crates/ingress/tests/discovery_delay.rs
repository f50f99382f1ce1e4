//! Bounds the delay until a changed endpoint list reaches the ingress: six seconds after discovery has the change and
//! is reachable, whatever failed before. Each test prints the measured delay next to the bound.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, list, serve, until, Backend, Client, Discovery, Jammed, Setup,
};

/// Longest allowed time between a change of the endpoint list and its arrival at the ingress.
const MAX_DELAY: Duration = Duration::from_secs(6);

fn setup(backends: &[&Backend], discovery: &Discovery) -> Setup {
    Setup {
        discovery: Some(discovery.at),
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
    }
}

/// Changes the endpoint list and asserts that the ingress receives the change within [`MAX_DELAY`] of `since`.
fn assert_change_received(case: &str, discovery: &Discovery, since: Instant) {
    let index = discovery.change(Backend::start(serve).entry("s-7", "up"));
    until("the ingress receives the change", || discovery.heard(index));
    let took = since.elapsed();
    println!("{case}: change received after {took:.2?}, limit {MAX_DELAY:.0?}");
    assert!(
        took < MAX_DELAY,
        "{case}: change received after {took:?}, limit {MAX_DELAY:?}"
    );
}

fn calls(discovery: &Discovery) -> usize {
    discovery.calls.load(Ordering::SeqCst)
}

/// Guards against retry pauses longer than the bound: the pause after the fourth rejection in a row was up to 12 s.
#[test]
fn a_change_is_reported_in_time_after_rejected_polls() {
    let (one, discovery) = (Backend::start(serve), Discovery::start());
    discovery.overbooked(true);
    let _ingress = setup(&[&one], &discovery).start();
    until("four polls have been rejected", || calls(&discovery) == 4);
    discovery.overbooked(false);
    assert_change_received("four rejected polls", &discovery, Instant::now());
}

/// Guards against waiting on a watch connection that stays open but sends nothing more.
#[test]
fn a_change_is_reported_in_time_after_a_silent_watch() {
    let (one, discovery) = (Backend::start(serve), Discovery::start());
    let _ingress = setup(&[&one], &discovery).start();
    let before = calls(&discovery);
    until("the next watch starts", || calls(&discovery) > before);
    discovery.mute();
    assert_change_received("a silent watch", &discovery, Instant::now());
}

/// Guards against late updates after discovery was down or silent for longer than the initial retry pauses. Discovery
/// returns at a moment when the ingress may just have failed another attempt.
#[test]
fn a_change_is_reported_in_time_after_discovery_was_down_or_silent() {
    for (case, fail) in [
        ("discovery down", Discovery::down as fn(&Discovery, bool)),
        ("discovery silent", Discovery::silence),
    ] {
        let (one, discovery) = (Backend::start(serve), Discovery::start());
        let _ingress = setup(&[&one], &discovery).start();
        until("the watch starts", || calls(&discovery) > 0);
        fail(&discovery, true);
        let since = Instant::now();
        until("the retry pauses have grown", || {
            since.elapsed() > Duration::from_secs(5)
        });
        fail(&discovery, false);
        assert_change_received(case, &discovery, Instant::now());
    }
}

/// Guards against late updates after connects to discovery that got no reply at first.
#[test]
fn a_change_is_reported_in_time_after_unanswered_connects() {
    let (one, jammed) = (Backend::start(serve), Jammed::start());
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&one]);
    setup.discovery = Some(jammed.at);
    let _ingress = setup.start();
    until("the ingress tries to connect", || jammed.tried());
    let discovery = Discovery::on(jammed.clear());
    assert_change_received("an unanswered connect", &discovery, Instant::now());
}

/// Guards against idle clients that leave no descriptor for a new watch or a backend connection. While discovery is
/// down, more clients connect than there are descriptors, limited once by the platform's setting and once by a lower
/// `ulimit`.
#[test]
fn a_change_is_reported_in_time_with_more_clients_than_descriptors() {
    for (sockets, ulimit) in [(96, 96), (1024, 64)] {
        let (one, two, discovery) = (
            Backend::start(serve),
            Backend::start(serve),
            Discovery::start(),
        );
        let ingress = Setup {
            sockets,
            ulimit: Some(ulimit),
            ..setup(&[&one], &discovery)
        }
        .start();
        until("the watch starts", || calls(&discovery) > 0);
        discovery.down(true);
        let mut idle_clients: Vec<Client> = (0..3 * ulimit).map(|_| ingress.client()).collect();
        // Half of the clients have sent a request; one further answered request shows that the earlier connections were
        // accepted.
        for client in idle_clients.iter_mut().skip(1).step_by(2) {
            let _ = std::io::Write::write_all(&mut client.0, &command(&["PING"]));
        }
        assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
        discovery.change(one.entry("s-0", "removed"));
        discovery.change(two.entry("s-1", "up"));
        discovery.down(false);
        assert_change_received(
            "many clients while discovery was down",
            &discovery,
            Instant::now(),
        );
        assert_eq!(
            ingress.client().ask(&call("refer", "r1", 3000)),
            "value of r1"
        );
        let open = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id()))
            .unwrap()
            .count();
        assert!(open <= ulimit, "{open} descriptors open, limit {ulimit}");
        assert_eq!(one.count(), 0, "a removed backend got a request");
    }
}

/// Guards against discarding a complete list because its connection was reset right after it. Discovery is unreachable
/// afterwards, so a draining backend would keep getting requests.
#[test]
fn a_list_that_was_complete_before_a_reset_is_applied() {
    let (draining_backend, remaining_backend) = (Backend::start(serve), Backend::start(serve));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut setup = Setup::of(
        env!("CARGO_BIN_EXE_wrenfork"),
        &[&draining_backend, &remaining_backend],
    );
    setup.discovery = Some(listener.local_addr().unwrap());
    let ingress = setup.start();
    let (mut watch, _) = listener.accept().unwrap();
    drop(listener);
    let (mut request_head, mut chunk) = (Vec::new(), [0; 1024]);
    while !request_head.ends_with(b"\r\n\r\n") {
        let n = watch.read(&mut chunk).unwrap();
        request_head.extend_from_slice(&chunk[..n]);
    }
    // The process is stopped, so the list and the reset are both pending when it reads again.
    ingress.signal("STOP");
    let body = list(2, false, &[draining_backend.entry("s-0", "draining")]);
    write!(
        watch,
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .unwrap();
    socket2::SockRef::from(&watch)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(watch);
    ingress.signal("CONT");
    let mut client = ingress.client();
    for n in 0..20 {
        assert_eq!(
            client.ask(&call("refer", &format!("r{n}"), 3000)),
            format!("value of r{n}")
        );
    }
    assert_eq!(
        (draining_backend.count(), remaining_backend.count()),
        (0, 20)
    );
}
