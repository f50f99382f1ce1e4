//! Requests and answers as seen by clients and backends.

use crate::support::{is_rejected, setup};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::service_fixture::{call, call_of, command, serve, Backend};

#[test]
fn requests_and_values_are_forwarded_unchanged() {
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
        panic!("the backend must get exactly one attempt: {seen:?}")
    };
    assert_eq!(
        (&args[..3].join(" "), &args[4]),
        (
            &"CALL.POST 00000000b4d65521 9b1f03aa5c7e2d41".into(),
            &"BO\r\nDY".into()
        )
    );
    let (before, rest) = args[3].split_once("d=").unwrap();
    let (deadline_ms, after) = rest.split_once(',').unwrap();
    assert_eq!(
        (before, after),
        (
            "c=save,t=starter,",
            "k=5c0f6e1a,r=1,units=2,spread=1,first=0,new=x"
        )
    );
    // The deadline of the attempt is at most the client's, and not cut short without need.
    assert!(
        (2000..=2480).contains(&deadline_ms.parse::<u32>().unwrap()),
        "d={deadline_ms}"
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
        thread::sleep(Duration::from_millis(10)); // a connection is not reused right after an answer
    }
    assert_eq!(
        backend.seen.opened.load(Ordering::SeqCst),
        1,
        "an idle backend connection must be reused"
    );
}

#[test]
fn a_request_over_the_quota_is_rejected_at_once_with_a_retry_after() {
    let backend = Backend::start(serve);
    let ingress = setup(&[&backend]).start();
    let mut client = ingress.client();
    let mut rejections = Vec::new();
    for n in 0..12 {
        let start = Instant::now();
        let answer = client.ask(&call_of(4711, "quote", &format!("q{n}"), 900));
        if is_rejected(&answer) {
            rejections.push((answer, start.elapsed()));
        }
    }
    assert!(
        rejections.len() >= 3,
        "a burst of 7 must reject at least 3 of 12 requests"
    );
    assert_eq!(
        backend.count(),
        12 - rejections.len(),
        "a rejected request must reach no backend"
    );
    for (answer, took) in rejections {
        let retry_after_ms: u32 = answer
            .trim_start_matches("-BUSY ")
            .parse()
            .unwrap_or_else(|_| panic!("{answer}"));
        assert!(
            (1..=2000).contains(&retry_after_ms) && took < Duration::from_millis(450),
            "{answer} after {took:?}"
        );
    }
}
