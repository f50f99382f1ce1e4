//! How answers of discovery are read.

use super::client::{EMPTY_PAUSE, POLL_WAIT, TIMEOUT};
use super::http::{read_response, Response};
use super::{DiscoveryClient, LocationNames};
use mio::{Events, Poll, Token};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;
use wrenfork_decision::{EndpointState, Micros};

fn location_names() -> LocationNames {
    LocationNames {
        zones: vec!["a".into(), "b".into()],
        machine_types: vec!["m1".into(), "m2".into()],
    }
}

const LIST: &str = r#"{"index":43,"snapshot":false,"endpoints":[
    {"name":"s-1","address":"127.0.0.9:6379","zone":"b","type":"m2","group":3,"status":"draining",
     "weight":1.5,"since_ms":7},
    {"name":"s-2","zone":"a","type":"m1","group":3,"status":"removed","weight":1.0,"since_ms":0}]}"#;

#[test]
fn answers_are_read_in_all_three_framings_and_never_before_their_end() {
    let chunked = format!(
        "{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
        9,
        &LIST[..9],
        LIST.len() - 9,
        &LIST[9..]
    );
    let length = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}",
        LIST.len()
    );
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunked}");
    for (text, ended) in [
        (length, false),
        (chunked, false),
        (format!("HTTP/1.0 200 OK\r\n\r\n{LIST}"), true),
    ] {
        let Response::Complete { list, keep_alive } =
            read_response(text.as_bytes(), ended, &location_names())
        else {
            panic!("not read: {text}")
        };
        assert_eq!((list.index, list.is_full, keep_alive), (43, false, !ended));
        let [one, two] = &list.endpoints[..] else {
            panic!("not two entries")
        };
        assert_eq!(
            (one.listed.zone, one.listed.machine_kind, one.listed.cell),
            (1, 1, 3)
        );
        assert_eq!(
            (one.listed.started_at, one.listed.state),
            (7000, EndpointState::Draining)
        );
        assert_eq!(
            (&two.addresses[..], two.listed.state),
            (&[][..], EndpointState::Removed)
        );
        for cut in 0..text.len() - 1 {
            let part = read_response(&text.as_bytes()[..cut], false, &location_names());
            assert!(matches!(part, Response::Partial), "cut at {cut}: {text}");
        }
    }
}

#[test]
fn what_is_no_list_is_told_apart_from_what_is_not_whole() {
    for bad in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "SSH-2.0\r\n",
    ] {
        assert!(
            matches!(
                read_response(bad.as_bytes(), false, &location_names()),
                Response::Invalid(..)
            ),
            "{bad}"
        );
    }
}

/// What a watch took in until `enough` of its state, with the clock standing at `now`; whether it failed meanwhile.
fn hears(
    watch: &mut DiscoveryClient,
    poll: &mut Poll,
    now: Micros,
    enough: impl Fn(&DiscoveryClient) -> bool,
) -> (Vec<u64>, bool) {
    let (mut events, mut came, mut failed) = (Events::with_capacity(8), Vec::new(), false);
    while !enough(watch) {
        poll.poll(&mut events, Some(Duration::from_secs(20)))
            .unwrap();
        assert!(!events.is_empty(), "nothing comes any more");
        failed |= watch.ready(now, poll.registry(), &mut |list| came.push(list.index));
    }
    (came, failed)
}

/// Guards against noise behind an answer that is read as the head of the next one: the call after it would fail, and what it told
/// be heard later.
#[test]
fn what_comes_between_two_calls_spoils_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut poll = Poll::new().unwrap();
    let mut watch = DiscoveryClient::new(
        listener.local_addr().unwrap(),
        location_names(),
        1,
        Token(1),
        7,
    );
    let accept = || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut head, mut chunk) = (Vec::new(), [0; 1024]);
        move |answer: &str| {
            while !head.ends_with(b"\r\n\r\n") {
                let n = stream.read(&mut chunk).unwrap();
                head.extend_from_slice(&chunk[..n]);
            }
            stream.write_all(answer.as_bytes()).unwrap();
        }
    };
    let answer = |index: u64, entries: &str| {
        let body = format!(r#"{{"index":{index},"snapshot":false,"endpoints":[{entries}]}}"#);
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    assert!(!watch.wake(0, poll.registry()));
    let mut first = accept();
    hears(&mut watch, &mut poll, 0, |w| w.out.is_empty());
    // At once and with nothing: the next call waits a little, and meanwhile there comes what nobody asked for.
    first(&answer(1, ""));
    assert_eq!(
        hears(&mut watch, &mut poll, 0, |w| w.requested_at.is_none()),
        (vec![1], false)
    );
    first("HTTP/1.1 200 OK\r\nContent-Len");
    assert_eq!(
        hears(&mut watch, &mut poll, 0, |w| w.stream.is_none()),
        (vec![], false)
    );
    assert!(
        watch.wake_at <= EMPTY_PAUSE,
        "the next call comes when it would have come"
    );
    assert!(!watch.wake(EMPTY_PAUSE, poll.registry()));
    let mut second = accept();
    second(&answer(2, r#"{"name":"s-2","status":"removed"}"#));
    assert_eq!(
        hears(&mut watch, &mut poll, EMPTY_PAUSE, |w| w.index == Some(2)
            || w.requested_at.is_none()),
        (vec![2], false)
    );
}

/// Guards against a call for the whole list that is given up sooner than the service answers it, over and over: behind SIGHUP, say. It
/// has as long as one that waits for news, and no longer.
#[test]
fn a_call_for_the_whole_list_has_as_long_as_a_watch() {
    let (listener, next) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let mut poll = Poll::new().unwrap();
    let mut watch = DiscoveryClient::new(
        listener.local_addr().unwrap(),
        location_names(),
        7,
        Token(1),
        7,
    );
    watch.move_to(next.local_addr().unwrap(), 0);
    for answered in [true, false] {
        let from = watch.wake_at;
        assert!(!watch.wake(from, poll.registry()));
        let (mut stream, _) = next.accept().unwrap();
        hears(&mut watch, &mut poll, from, |w| w.out.is_empty());
        assert!(
            !watch.wake(from + POLL_WAIT + TIMEOUT - 1, poll.registry()),
            "it is given up"
        );
        if answered {
            let body = r#"{"index":1,"snapshot":true,"endpoints":[]}"#;
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .unwrap();
            let heard = |w: &DiscoveryClient| w.index == Some(1);
            assert_eq!(
                hears(&mut watch, &mut poll, from + POLL_WAIT + TIMEOUT - 1, heard),
                (vec![1], false)
            );
            watch.move_to(next.local_addr().unwrap(), from + POLL_WAIT + TIMEOUT);
        } else {
            assert!(
                watch.wake(from + POLL_WAIT + TIMEOUT, poll.registry()),
                "it waits for ever"
            );
        }
    }
}
