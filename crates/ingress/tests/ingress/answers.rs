//! Requests and answers as clients and backends see them.

use crate::support::{is_rejected, setup};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, call_of, command, serve, Backend};

#[test]
fn a_request_is_forwarded_as_it_came_and_its_value_returned_as_it_was_given() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let asked = command(&[
        "CALL.POST",
        "00000000b4d65521",
        "9b1f03aa5c7e2d41",
        "c=save,t=starter,d=2480,k=5c0f6e1a,r=1,units=2,spread=1,first=0,new=x",
        "BO\r\nDY",
    ]);
    assert_eq!(client.ask(&asked), "value of 9b1f03aa5c7e2d41");
    let seen = backend.seen.commands.lock().unwrap().clone();
    let [args] = &seen[..] else {
        panic!("one attempt: {seen:?}")
    };
    assert_eq!(
        (&args[..3].join(" "), &args[4]),
        (
            &"CALL.POST 00000000b4d65521 9b1f03aa5c7e2d41".into(),
            &"BO\r\nDY".into()
        )
    );
    let (before, rest) = args[3].split_once("d=").unwrap();
    let (wait, after) = rest.split_once(',').unwrap();
    assert_eq!(
        (before, after),
        (
            "c=save,t=starter,",
            "k=5c0f6e1a,r=1,units=2,spread=1,first=0,new=x"
        )
    );
    // It fits the attempt: no longer than the client waits, and not cut to nothing.
    assert!(
        (2000..=2480).contains(&wait.parse::<u32>().unwrap()),
        "d={wait}"
    );
}

#[test]
fn one_connection_serves_requests_one_after_the_other() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    for n in 0..20 {
        assert_eq!(
            client.ask(&call("quote", &format!("q{n}"), 900)),
            format!("value of q{n}")
        );
        thread::sleep(Duration::from_millis(10)); // a connection rests for a moment behind an answer
    }
    assert_eq!(
        backend.seen.opened.load(Ordering::SeqCst),
        1,
        "the newest idle connection is used again"
    );
}

#[test]
fn beyond_the_quota_a_request_is_rejected_at_once_with_a_retry_after() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let mut refusals = Vec::new();
    for n in 0..12 {
        let start = Instant::now();
        let answer = client.ask(&call_of(4711, "quote", &format!("q{n}"), 900));
        if is_rejected(&answer) {
            refusals.push((answer, start.elapsed()));
        }
    }
    assert!(refusals.len() >= 3, "a burst of 7 lets 12 through");
    assert_eq!(
        backend.count(),
        12 - refusals.len(),
        "what is refused reaches no backend"
    );
    for (answer, took) in refusals {
        let pause: u32 = answer
            .trim_start_matches("-BUSY ")
            .parse()
            .unwrap_or_else(|_| panic!("{answer}"));
        assert!(
            (1..=2000).contains(&pause) && took < Duration::from_millis(450),
            "{answer} after {took:?}"
        );
    }
}
