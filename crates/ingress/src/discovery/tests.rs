//! Tests of parsing discovery's responses, and of the client against a local listener.

use super::client::{EMPTY_RESPONSE_DELAY, POLL_WAIT, RESPONSE_TIMEOUT};
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
fn responses_in_all_framings_parse_only_when_complete() {
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
    for (text, closed) in [
        (length, false),
        (chunked, false),
        (format!("HTTP/1.0 200 OK\r\n\r\n{LIST}"), true),
    ] {
        let Response::Complete { list, keep_alive } =
            read_response(text.as_bytes(), closed, &location_names())
        else {
            panic!("response not parsed: {text}")
        };
        assert_eq!((list.index, list.is_full, keep_alive), (43, false, !closed));
        let [draining, removed] = &list.endpoints[..] else {
            panic!("expected two endpoints, got {}", list.endpoints.len())
        };
        assert_eq!(
            (
                draining.listed.zone,
                draining.listed.machine_kind,
                draining.listed.cell
            ),
            (1, 1, 3)
        );
        assert_eq!(
            (draining.listed.started_at, draining.listed.state),
            (7000, EndpointState::Draining)
        );
        assert_eq!(
            (&removed.addresses[..], removed.listed.state),
            (&[][..], EndpointState::Removed)
        );
        for cut in 0..text.len() - 1 {
            let part = read_response(&text.as_bytes()[..cut], false, &location_names());
            assert!(
                matches!(part, Response::Partial),
                "incomplete response was accepted, cut at byte {cut}: {text}"
            );
        }
    }
}

#[test]
fn invalid_responses_are_not_reported_as_incomplete() {
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
            "response was not rejected: {bad}"
        );
    }
}

/// Passes readiness events to `client` until `done` returns true for its state. The client's time is fixed at `now`. Returns the
/// versions of the received lists, and whether a poll failed.
fn poll_until(
    client: &mut DiscoveryClient,
    poll: &mut Poll,
    now: Micros,
    done: impl Fn(&DiscoveryClient) -> bool,
) -> (Vec<u64>, bool) {
    let (mut events, mut versions, mut failed) = (Events::with_capacity(8), Vec::new(), false);
    while !done(client) {
        poll.poll(&mut events, Some(Duration::from_secs(20)))
            .unwrap();
        assert!(!events.is_empty(), "no readiness event within 20 s");
        failed |= client.ready(now, poll.registry(), &mut |list| versions.push(list.index));
    }
    (versions, failed)
}

/// Guards against unexpected data after a response being parsed as the head of the next response, which would make the next
/// request fail and delay its changes.
#[test]
fn data_received_between_requests_is_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut poll = Poll::new().unwrap();
    let mut client = DiscoveryClient::new(
        listener.local_addr().unwrap(),
        location_names(),
        1,
        Token(1),
        7,
    );
    let accept = || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut head, mut chunk) = (Vec::new(), [0; 1024]);
        move |response: &str| {
            while !head.ends_with(b"\r\n\r\n") {
                let n = stream.read(&mut chunk).unwrap();
                head.extend_from_slice(&chunk[..n]);
            }
            stream.write_all(response.as_bytes()).unwrap();
        }
    };
    let list_response = |index: u64, entries: &str| {
        let body = format!(r#"{{"index":{index},"snapshot":false,"endpoints":[{entries}]}}"#);
        format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    assert!(!client.wake(0, poll.registry()));
    let mut respond_first = accept();
    poll_until(&mut client, &mut poll, 0, |client| client.out.is_empty());
    // After an immediate empty response, the next request is delayed. Unexpected data arrives during this delay.
    respond_first(&list_response(1, ""));
    assert_eq!(
        poll_until(&mut client, &mut poll, 0, |client| client
            .requested_at
            .is_none()),
        (vec![1], false)
    );
    respond_first("HTTP/1.1 200 OK\r\nContent-Len");
    assert_eq!(
        poll_until(&mut client, &mut poll, 0, |client| client.stream.is_none()),
        (vec![], false)
    );
    assert!(
        client.wake_at <= EMPTY_RESPONSE_DELAY,
        "unexpected data delayed the next request to {} us",
        client.wake_at
    );
    assert!(!client.wake(EMPTY_RESPONSE_DELAY, poll.registry()));
    let mut respond_second = accept();
    respond_second(&list_response(2, r#"{"name":"s-2","status":"removed"}"#));
    assert_eq!(
        poll_until(
            &mut client,
            &mut poll,
            EMPTY_RESPONSE_DELAY,
            |client| client.index == Some(2) || client.requested_at.is_none()
        ),
        (vec![2], false)
    );
}

/// Guards against a request for the full list, as after SIGHUP, that repeatedly times out before the service answers. The
/// timeout is exactly that of a request that waits for a watch event.
#[test]
fn full_list_request_has_same_timeout_as_watch() {
    let (old_listener, new_listener) = (
        TcpListener::bind("127.0.0.1:0").unwrap(),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let mut poll = Poll::new().unwrap();
    let mut client = DiscoveryClient::new(
        old_listener.local_addr().unwrap(),
        location_names(),
        7,
        Token(1),
        7,
    );
    client.move_to(new_listener.local_addr().unwrap(), 0);
    for answered in [true, false] {
        let started_at = client.wake_at;
        assert!(!client.wake(started_at, poll.registry()));
        let (mut stream, _) = new_listener.accept().unwrap();
        poll_until(&mut client, &mut poll, started_at, |client| {
            client.out.is_empty()
        });
        assert!(
            !client.wake(
                started_at + POLL_WAIT + RESPONSE_TIMEOUT - 1,
                poll.registry()
            ),
            "request timed out too early"
        );
        if answered {
            let body = r#"{"index":1,"snapshot":true,"endpoints":[]}"#;
            write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .unwrap();
            let received = |client: &DiscoveryClient| client.index == Some(1);
            assert_eq!(
                poll_until(
                    &mut client,
                    &mut poll,
                    started_at + POLL_WAIT + RESPONSE_TIMEOUT - 1,
                    received
                ),
                (vec![1], false)
            );
            client.move_to(
                new_listener.local_addr().unwrap(),
                started_at + POLL_WAIT + RESPONSE_TIMEOUT,
            );
        } else {
            assert!(
                client.wake(started_at + POLL_WAIT + RESPONSE_TIMEOUT, poll.registry()),
                "request did not time out"
            );
        }
    }
}
