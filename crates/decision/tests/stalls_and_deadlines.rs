//! Deadlines, stalls of the clock, races and hostile input.

mod rig;

use rig::{failed, refused, sends, settings, Rig, S, T0};
use wrenfork_decision::{
    Action, BackendId, EndpointListKind, Event, GatewayId, Outcome, Request, RequestId,
};

#[test]
fn a_request_with_next_to_no_time_left_is_answered_at_once() {
    // Found by a day drawn to test the rules: a client's last try came with a few milliseconds
    // left, was held for want of a place, and the next wake-up was past its deadline.
    let mut rig = Rig::with(settings(), 1);
    rig.feed(Event::EndpointsChanged(EndpointListKind::Full, vec![]));
    let base = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_span: 3.0,
        ..Request::default()
    };
    assert!(refused(&rig.feed(Event::Request(Request {
        deadline: rig.now + 10_000,
        ..base
    }))));
    let held = Request {
        id: RequestId(2),
        deadline: rig.now + 100_000,
        ..base
    };
    assert!(!refused(&rig.feed(Event::Request(held))));
    assert!(
        refused(&rig.pass(80_000)),
        "held, and answered before its deadline"
    );
}

/// Found by a hunt on days whose gateways stand still: what was held when a stall began was past
/// its deadline when it ended, and the next wake-up was too late by 12 ms. It is answered with the
/// first event after a stall.
#[test]
fn what_a_stall_outlasted_is_answered_in_the_first_turn_after_it() {
    let mut rig = Rig::with(settings(), 1);
    rig.feed(Event::EndpointsChanged(EndpointListKind::Full, vec![]));
    rig.pass(S);
    let held = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_span: 3.0,
        deadline: rig.now + S,
        ..Request::default()
    };
    assert!(!refused(&rig.feed(Event::Request(held))));
    rig.now += S + 12_000;
    assert!(refused(&rig.feed(Event::ClientDisconnected(RequestId(99)))));
}

/// A gateway that stood still reads all that came meanwhile before it judges anybody by its own
/// pause.
#[test]
fn resuming_after_a_stall_ejects_no_backend() {
    let mut rig = Rig::with(settings(), 1);
    let (id, actions) = rig.ask(0, 0, 1, 1.0);
    assert_eq!(sends(&actions).len(), 1);
    rig.now += 2 * S;
    let woken = rig.feed(Event::ClientDisconnected(RequestId(99)));
    assert!(!woken.iter().any(|a| matches!(
        a,
        Action::Cancel { .. } | Action::Reject { .. } | Action::Send { .. }
    )));
    rig.settle(id, 0, BackendId(0), Outcome::Ok);
    rig.pass(100_000);
    assert_eq!(
        sends(&rig.ask(0, 0, 2, 1.0).1).len(),
        1,
        "its answer had come: it is not resting"
    );
}

#[test]
fn an_end_that_races_the_gateways_own_gets_no_second_answer() {
    let mut rig = Rig::with(settings(), 4);
    let (id, actions) = rig.ask(0, 0, 1, 1.0);
    rig.feed(Event::ClientDisconnected(id));
    let late = rig.settle(id, 0, sends(&actions)[0], Outcome::TimedOut);
    assert!(!refused(&late) && !failed(&late) && sends(&late).is_empty());
    assert!(rig.feed(Event::ClientDisconnected(id)).is_empty());
}

#[test]
fn hostile_messages_send_nothing() {
    let mut rig = Rig::with(settings(), 2);
    for bytes in [
        vec![],
        vec![1; 5],
        vec![9; 40],
        vec![1; 256],
        vec![2; 300],
        vec![255; 19],
    ] {
        for from in [0, 1, 2, 900] {
            let actions = rig.feed(Event::PeerMessage {
                from: GatewayId(from),
                bytes: bytes.clone(),
            });
            assert!(sends(&actions).is_empty());
        }
    }
}

/// A request that makes sense.
fn sane_request() -> Request {
    Request {
        id: RequestId(500),
        deadline: T0 + S,
        units: 1.0,
        gateway_span: 3.0,
        ..Request::default()
    }
}

#[test]
fn requests_without_meaning_get_one_answer_and_are_not_sent() {
    let mut rig = Rig::with(settings(), 2);
    let base = sane_request();
    let odd = [
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
    for req in odd {
        let actions = rig.feed(Event::Request(req));
        let answers = actions
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 1);
        assert!(sends(&actions).is_empty());
    }
}

#[test]
fn odd_spans_and_unknown_requests_do_no_harm() {
    let mut rig = Rig::with(settings(), 2);
    let base = sane_request();
    for gateway_span in [0.0, f64::NAN, -3.0, 1e30] {
        rig.next += 1000;
        let id = RequestId(rig.next);
        rig.feed(Event::Request(Request {
            id,
            gateway_span,
            first_gateway: f64::NAN,
            ..base
        }));
    }
    rig.settle(RequestId(77_777), 3, BackendId(99), Outcome::Ok);
    rig.feed(Event::FirstByte {
        id: RequestId(77_777),
        attempt: 9,
    });
    rig.feed(Event::Timer(12345));
}
