//! Changes of the endpoint list, and failures of discovery.

use crate::support::{answer_through, setup};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use wrenfork_testbed::service_fixture::{call, serve, until, Backend, Discovery};

#[test]
fn a_draining_backend_gets_no_new_request() {
    let (one, two, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&one, &two]);
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    answer_through(&ingress, "quote", &one);
    answer_through(&ingress, "quote", &two);
    discovery.tell(one.entry("s-0", "draining"));
    let before = one.count();
    let mut client = ingress.client();
    for n in 0..50 {
        assert_eq!(
            client.ask(&call("refer", &format!("d{n}"), 2000)),
            format!("value of d{n}")
        );
    }
    assert_eq!(one.count(), before);
    until(
        "idle connections to the draining backend are closed",
        || one.seen.ended.load(Ordering::SeqCst) == one.seen.opened.load(Ordering::SeqCst),
    );
    discovery.tell(one.entry("s-0", "up"));
    answer_through(&ingress, "quote", &one);
}

#[test]
fn a_backend_that_moved_is_found_at_its_new_address() {
    let (old, new, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&old]);
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    discovery.tell(new.entry("s-0", "up"));
    until("the old connection is closed", || {
        old.seen.ended.load(Ordering::SeqCst) == 1
    });
    assert_eq!(
        ingress.client().ask(&call("refer", "r2", 2000)),
        "value of r2"
    );
    assert_eq!((old.count(), new.count()), (1, 1));
}

/// Asserts that the endpoint list stays in use while discovery fails, and that changes made meanwhile arrive once
/// discovery is back.
fn assert_list_survives(fail: impl Fn(&Discovery, bool)) {
    let (one, two, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&one]);
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    until("the watch starts", || {
        discovery.calls.load(Ordering::SeqCst) > 0
    });
    fail(&discovery, true);
    discovery.change(two.entry("s-1", "up"));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    assert_eq!(
        two.count(),
        0,
        "a change was applied while discovery was failing"
    );
    let cpu_before = ingress.cpu();
    thread::sleep(Duration::from_millis(1000));
    assert!(
        ingress.cpu() - cpu_before < 50,
        "the process uses CPU time while discovery fails"
    );
    fail(&discovery, false);
    answer_through(&ingress, "quote", &two);
}

#[test]
fn the_endpoint_list_survives_a_discovery_that_is_down() {
    assert_list_survives(Discovery::down);
}

#[test]
fn the_endpoint_list_survives_a_discovery_that_is_silent() {
    assert_list_survives(Discovery::silence);
}

/// Guards against retries that keep an overloaded discovery overloaded: each of a hundred ingresses called again within
/// 50 ms and then once a second, and after a mass restart most had no list for the rest of the day.
#[test]
fn a_discovery_that_rejects_polls_is_polled_seldom() {
    let (one, two, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&one]);
    setup.discovery = Some(discovery.at);
    discovery.overbooked(true);
    let ingress = setup.start();
    until("discovery is polled", || {
        discovery.calls.load(Ordering::SeqCst) > 0
    });
    thread::sleep(Duration::from_millis(3000));
    // One call at once, a second after at least 0.5 s, a third after at least another second.
    let calls = discovery.calls.load(Ordering::SeqCst);
    assert!(calls <= 3, "{calls} calls in three seconds");
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    discovery.change(two.entry("s-1", "up"));
    discovery.overbooked(false);
    let calls = discovery.calls.load(Ordering::SeqCst);
    until("discovery is polled again", || {
        discovery.calls.load(Ordering::SeqCst) > calls
    });
    answer_through(&ingress, "quote", &two);
}
