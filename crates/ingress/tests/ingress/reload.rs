//! SIGHUP reloads the configuration.

use crate::support::setup;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, serve, until, Backend, Discovery};

/// Guards against SIGHUP ending the process, and against a reload that waits for the pending call to the old discovery.
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
    until("the old discovery is polled", || {
        old.calls.load(Ordering::SeqCst) > 0
    });
    old.silence(true);
    new.change(two.entry("s-7", "up"));
    // A truncated file is not applied: the ingress keeps serving and reads the file again by itself.
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
    until("the new discovery is polled", || {
        new.calls.load(Ordering::SeqCst) > 1
    });
    // The new discovery's list is complete, so backends that are not in it are removed. Later changes come from there
    // too.
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
        "the log must have one line for the invalid file and one for the valid one: {log}"
    );
}

/// Guards against a second SIGHUP that waits for the pause after a failed read.
#[test]
fn a_second_sighup_reloads_without_waiting_for_the_backoff() {
    let (one, two, new) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&one]);
    let ingress = setup.start();
    ingress.configure("{");
    ingress.signal("HUP");
    thread::sleep(Duration::from_millis(3400)); // by now a pause of 2 s has just started
    new.change(two.entry("s-7", "up"));
    setup.discovery = Some(new.at);
    ingress.configure(&setup.config(ingress.at));
    let start = Instant::now();
    ingress.signal("HUP");
    until("the new discovery is polled", || {
        new.calls.load(Ordering::SeqCst) > 1
    });
    assert!(start.elapsed() < Duration::from_millis(1300));
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
}
