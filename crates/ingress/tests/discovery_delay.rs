//! How long a change of the list may stay unheard: six seconds after discovery had it and could be reached, whatever failed before.
//! Each test prints what it measured beside the bound.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{
    call, command, list, serve, until, Backend, Client, Discovery, Jammed, Setup,
};

/// Behind this a change counts as told.
const TOLD: Duration = Duration::from_secs(6);

fn setup(backends: &[&Backend], discovery: &Discovery) -> Setup {
    Setup {
        discovery: Some(discovery.at),
        ..Setup::of(env!("CARGO_BIN_EXE_wrenfork"), backends)
    }
}

/// Changes the list, and measures how long the ingress takes to hear of it from a moment on.
fn heard(what: &str, discovery: &Discovery, since: Instant) {
    let index = discovery.change(Backend::start(serve).entry("s-7", "up"));
    until("the change is heard", || discovery.heard(index));
    let took = since.elapsed();
    println!("{what}: heard after {took:.2?} of {TOLD:.0?}");
    assert!(took < TOLD, "{what}: heard after {took:?}");
}

fn calls(discovery: &Discovery) -> usize {
    discovery.calls.load(Ordering::SeqCst)
}

/// Guards against pauses that outlast it: the fourth refusal in a row was followed by one of up to 12 s.
#[test]
fn a_change_is_reported_in_time_behind_rejected_polls() {
    let (one, discovery) = (Backend::start(serve), Discovery::start());
    discovery.overbooked(true);
    let _ingress = setup(&[&one], &discovery).start();
    until("four calls have been turned away", || {
        calls(&discovery) == 4
    });
    discovery.overbooked(false);
    heard("turned away four times", &discovery, Instant::now());
}

/// A watch that falls silent and stays open.
#[test]
fn a_change_is_reported_in_time_behind_a_silent_watch() {
    let (one, discovery) = (Backend::start(serve), Discovery::start());
    let _ingress = setup(&[&one], &discovery).start();
    let before = calls(&discovery);
    until("the next watch begins", || calls(&discovery) > before);
    discovery.mute();
    heard("a watch that fell silent", &discovery, Instant::now());
}

/// A service that is down, and one that is silent, for longer than the first pauses last; either is back at a moment at which the
/// ingress may just have failed.
#[test]
fn a_change_is_reported_in_time_behind_a_service_that_was_down_or_silent() {
    for (what, fail) in [
        (
            "a service that was down",
            Discovery::down as fn(&Discovery, bool),
        ),
        ("a service that was silent", Discovery::silence),
    ] {
        let (one, discovery) = (Backend::start(serve), Discovery::start());
        let _ingress = setup(&[&one], &discovery).start();
        until("the watch begins", || calls(&discovery) > 0);
        fail(&discovery, true);
        let since = Instant::now();
        until("the pauses are long", || {
            since.elapsed() > Duration::from_secs(5)
        });
        fail(&discovery, false);
        heard(what, &discovery, Instant::now());
    }
}

/// Connections that don't come up, until they do.
#[test]
fn a_change_is_reported_in_time_behind_silent_connects() {
    let (one, jammed) = (Backend::start(serve), Jammed::start());
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&one]);
    setup.discovery = Some(jammed.at);
    let _ingress = setup.start();
    until("it tries to connect", || jammed.tried());
    let discovery = Discovery::on(jammed.clear());
    heard("a connect that stayed silent", &discovery, Instant::now());
}

/// Guards against idle clients that leave no descriptor for the new watch, nor for a backend: more of them than there are
/// descriptors come while discovery is down, by the platform's limit and by a lower one of the system's.
#[test]
fn a_change_is_reported_in_time_behind_a_crowd_of_retries() {
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
        until("the watch begins", || calls(&discovery) > 0);
        discovery.down(true);
        let mut crowd: Vec<Client> = (0..3 * ulimit).map(|_| ingress.client()).collect();
        // Half of them have been served; one of these shows that those before have been taken in.
        for client in crowd.iter_mut().skip(1).step_by(2) {
            let _ = std::io::Write::write_all(&mut client.0, &command(&["PING"]));
        }
        assert_eq!(ingress.client().ask(&command(&["PING"])), "+PONG");
        discovery.change(one.entry("s-0", "removed"));
        discovery.change(two.entry("s-1", "up"));
        discovery.down(false);
        heard(
            "a crowd while discovery was down",
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
        assert!(open <= ulimit, "{open} descriptors");
        assert_eq!(one.count(), 0, "the one that was removed meanwhile");
    }
}

/// Guards against a list that is thrown away with its connection: it has come whole, and been told, when a reset comes right behind
/// it. Nothing can be asked any more, so what drains would go on being sent to.
#[test]
fn a_list_that_was_complete_before_a_reset_is_applied() {
    let (drains, stays) = (Backend::start(serve), Backend::start(serve));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut setup = Setup::of(env!("CARGO_BIN_EXE_wrenfork"), &[&drains, &stays]);
    setup.discovery = Some(listener.local_addr().unwrap());
    let ingress = setup.start();
    let (mut watch, _) = listener.accept().unwrap();
    drop(listener);
    let (mut call_out, mut chunk) = (Vec::new(), [0; 1024]);
    while !call_out.ends_with(b"\r\n\r\n") {
        let n = watch.read(&mut chunk).unwrap();
        call_out.extend_from_slice(&chunk[..n]);
    }
    // Both are there when it looks again.
    ingress.signal("STOP");
    let body = list(2, false, &[drains.entry("s-0", "draining")]);
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
    assert_eq!((drains.count(), stays.count()), (0, 20));
}
