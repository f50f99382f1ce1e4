//! Deadlines, stalls of the gateway, races between events, and hostile input.

mod harness;

use harness::{is_failed, is_rejected, sent_to, settings, Harness, SECOND, START};
use wrenfork_decision::{
    Action, BackendId, EndpointListKind, Event, GatewayId, Outcome, Request, RequestId,
};

#[test]
fn request_close_to_its_deadline_is_answered_at_once() {
    // Found by a randomly generated test: a client's last retry arrived a few milliseconds before
    // its deadline and was held for lack of capacity; the next wake-up was after the deadline.
    let mut harness = Harness::new(settings(), 1);
    harness.feed(Event::EndpointsChanged(EndpointListKind::Full, vec![]));
    let base = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_span: 3.0,
        ..Request::default()
    };
    assert!(is_rejected(&harness.feed(Event::Request(Request {
        deadline: harness.now + 10_000,
        ..base
    }))));
    let held = Request {
        id: RequestId(2),
        deadline: harness.now + 100_000,
        ..base
    };
    assert!(!is_rejected(&harness.feed(Event::Request(held))));
    assert!(
        is_rejected(&harness.advance(80_000)),
        "a held request must be rejected before its deadline"
    );
}

/// Found by a randomized search over stalled gateways: a request held when a stall began was past
/// its deadline when the stall ended, and the next wake-up came 12 ms too late. Such requests are
/// answered with the first event after a stall.
#[test]
fn requests_that_expire_during_a_stall_are_answered_at_the_first_event_after_it() {
    let mut harness = Harness::new(settings(), 1);
    harness.feed(Event::EndpointsChanged(EndpointListKind::Full, vec![]));
    harness.advance(SECOND);
    let held = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_span: 3.0,
        deadline: harness.now + SECOND,
        ..Request::default()
    };
    assert!(!is_rejected(&harness.feed(Event::Request(held))));
    harness.now += SECOND + 12_000;
    assert!(is_rejected(
        &harness.feed(Event::ClientDisconnected(RequestId(99)))
    ));
}

/// After a stall, a gateway processes the events that arrived meanwhile before it treats any
/// backend as silent.
#[test]
fn resuming_after_a_stall_ejects_no_backend() {
    let mut harness = Harness::new(settings(), 1);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    assert_eq!(sent_to(&actions).len(), 1);
    harness.now += 2 * SECOND;
    let actions = harness.feed(Event::ClientDisconnected(RequestId(99)));
    assert!(!actions.iter().any(|a| matches!(
        a,
        Action::Cancel { .. } | Action::Reject { .. } | Action::Send { .. }
    )));
    harness.end_attempt(id, 0, BackendId(0), Outcome::Ok);
    harness.advance(100_000);
    assert_eq!(
        sent_to(&harness.request(0, 0, 2, 1.0).1).len(),
        1,
        "the answer arrived during the stall, so the backend must not be ejected"
    );
}

#[test]
fn attempt_outcome_after_client_disconnect_causes_no_second_answer() {
    let mut harness = Harness::new(settings(), 4);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    harness.feed(Event::ClientDisconnected(id));
    let late_actions = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::TimedOut);
    assert!(
        !is_rejected(&late_actions)
            && !is_failed(&late_actions)
            && sent_to(&late_actions).is_empty()
    );
    assert!(harness.feed(Event::ClientDisconnected(id)).is_empty());
}

#[test]
fn malformed_messages_send_no_attempts() {
    let mut harness = Harness::new(settings(), 2);
    for bytes in [
        vec![],
        vec![1; 5],
        vec![9; 40],
        vec![1; 256],
        vec![2; 300],
        vec![255; 19],
    ] {
        for from in [0, 1, 2, 900] {
            let actions = harness.feed(Event::PeerMessage {
                from: GatewayId(from),
                bytes: bytes.clone(),
            });
            assert!(sent_to(&actions).is_empty());
        }
    }
}

/// A valid request.
fn valid_request() -> Request {
    Request {
        id: RequestId(500),
        deadline: START + SECOND,
        units: 1.0,
        gateway_span: 3.0,
        ..Request::default()
    }
}

#[test]
fn invalid_requests_get_one_answer_and_are_not_sent() {
    let mut harness = Harness::new(settings(), 2);
    let base = valid_request();
    let invalid = [
        Request { class: 99, ..base },
        Request {
            plan: 99,
            id: RequestId(501),
            ..base
        },
        Request {
            units: f64::NAN,
            id: RequestId(502),
            ..base
        },
        Request {
            deadline: 0,
            id: RequestId(503),
            ..base
        },
    ];
    for request in invalid {
        let actions = harness.feed(Event::Request(request));
        let answers = actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 1);
        assert!(sent_to(&actions).is_empty());
    }
}

#[test]
fn invalid_spans_and_unknown_requests_do_not_panic() {
    let mut harness = Harness::new(settings(), 2);
    let base = valid_request();
    for gateway_span in [0.0, f64::NAN, -3.0, 1e30] {
        harness.next_id += 1000;
        let id = RequestId(harness.next_id);
        harness.feed(Event::Request(Request {
            id,
            gateway_span,
            first_gateway: f64::NAN,
            ..base
        }));
    }
    harness.end_attempt(RequestId(77_777), 3, BackendId(99), Outcome::Ok);
    harness.feed(Event::FirstByte {
        id: RequestId(77_777),
        attempt: 9,
    });
    harness.feed(Event::Timer(12345));
}
