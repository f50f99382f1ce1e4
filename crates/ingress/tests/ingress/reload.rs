//! SIGHUP: the configuration is read again.

use crate::support::setup;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, serve, until, Backend, Discovery};

/// Guards against SIGHUP for an end, and against news that wait for the old discovery's call to run out.
#[test]
fn on_sighup_the_watch_moves_to_the_address_in_the_new_file() {
    let (one, two, three) = (
        Backend::start(serve),
        Backend::start(serve),
        Backend::start(serve),
    );
    let (old, new) = (Discovery::start(), Discovery::start());
    let mut setup = setup(&[&one]);
    setup.discovery = Some(old.at);
    let mut ingress = setup.start();
    until("the old one is asked", || {
        old.calls.load(Ordering::SeqCst) > 0
    });
    old.silence(true);
    new.change(two.entry("s-7", "up"));
    // Half a file is none: the ingress serves on, and looks again by itself.
    setup.discovery = Some(new.at);
    let config = setup.config(ingress.at);
    ingress.configure(&config[..config.len() / 2]);
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    assert_eq!((one.count(), new.calls.load(Ordering::SeqCst)), (1, 0));
    ingress.configure(&config);
    until("the new one is asked", || {
        new.calls.load(Ordering::SeqCst) > 1
    });
    // Its list is whole: who is not in it is gone. Later news come from there as well.
    assert_eq!(
        ingress.client().ask(&call("refer", "r2", 2000)),
        "value of r2"
    );
    assert_eq!((one.count(), two.count()), (1, 1));
    new.tell(two.entry("s-7", "draining"));
    new.tell(three.entry("s-8", "up"));
    assert_eq!(
        ingress.client().ask(&call("refer", "r3", 2000)),
        "value of r3"
    );
    assert_eq!((two.count(), three.count()), (1, 1));
    ingress.signal("TERM");
    assert_eq!(ingress.exit().code(), Some(0));
    let log = ingress.log();
    assert_eq!(
        log.matches("reload: ").count(),
        2,
        "a line for the bad file, one for the good: {log}"
    );
}

/// A signal behind a reading that failed does not wait for that one's pause.
#[test]
fn a_second_sighup_waits_for_no_backoff() {
    let (one, two, new) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&one]);
    let ingress = setup.start();
    ingress.configure("{");
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(3400)); // by now the pause is 2 s, and just begun
    new.change(two.entry("s-7", "up"));
    setup.discovery = Some(new.at);
    ingress.configure(&setup.config(ingress.at));
    let start = Instant::now();
    ingress.signal("HUP");
    until("the new one is asked", || {
        new.calls.load(Ordering::SeqCst) > 1
    });
    assert!(start.elapsed() < Duration::from_millis(1300));
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
}
