//! Endpoint lists that change, and discovery that fails.

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
    until("its idle connections are closed", || {
        one.seen.ended.load(Ordering::SeqCst) == one.seen.opened.load(Ordering::SeqCst)
    });
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

/// Without discovery the list stays as it is; once it is back, what changed meanwhile is heard.
fn survives(fail: impl Fn(&Discovery, bool)) {
    let (one, two, discovery) = (
        Backend::start(serve),
        Backend::start(serve),
        Discovery::start(),
    );
    let mut setup = setup(&[&one]);
    setup.discovery = Some(discovery.at);
    let ingress = setup.start();
    until("the watch begins", || {
        discovery.calls.load(Ordering::SeqCst) > 0
    });
    fail(&discovery, true);
    discovery.change(two.entry("s-1", "up"));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    assert_eq!(two.count(), 0, "nobody can have told of it");
    let busy = ingress.cpu();
    thread::sleep(Duration::from_millis(1000));
    assert!(ingress.cpu() - busy < 50, "it is busy with asking");
    fail(&discovery, false);
    answer_through(&ingress, "quote", &two);
}

#[test]
fn the_endpoint_list_survives_a_discovery_that_is_down() {
    survives(Discovery::down);
}

#[test]
fn the_endpoint_list_survives_a_discovery_that_is_silent() {
    survives(Discovery::silence);
}

/// Guards against an overbooked discovery that is kept so by those whom it turns away: each of a hundred called again
/// within 50 ms and then once a second, and after a mass restart most had no list for the rest of the day.
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
    until("it is asked", || discovery.calls.load(Ordering::SeqCst) > 0);
    thread::sleep(Duration::from_millis(3000));
    // At once, after half a second at the soonest, and after one more at the soonest.
    let calls = discovery.calls.load(Ordering::SeqCst);
    assert!(calls <= 3, "{calls} calls in three seconds");
    assert_eq!(
        ingress.client().ask(&call("refer", "r1", 2000)),
        "value of r1"
    );
    discovery.change(two.entry("s-1", "up"));
    discovery.overbooked(false);
    let calls = discovery.calls.load(Ordering::SeqCst);
    until("it is asked again", || {
        discovery.calls.load(Ordering::SeqCst) > calls
    });
    answer_through(&ingress, "quote", &two);
}
