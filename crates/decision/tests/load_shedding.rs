//! Load-shedding levels, concurrency limits and queues.

mod harness;

use harness::{end_attempt_after, is_rejected, plan, sent_to, settings, Harness};
use wrenfork_decision::{Action, Event, GatewayId, Micros, Outcome, Settings};

#[test]
fn load_shedding_level_rises_with_latency_and_falls_again() {
    let mut harness = Harness::new(settings(), 4);
    let mut log = Vec::new();
    for step in 0..800u64 {
        let slow = (100..300).contains(&step);
        let (id, actions) = harness.request(0, 0, step, 1.0);
        if let Some(b) = sent_to(&actions).first() {
            let event = Event::AttemptCompleted {
                id,
                attempt: 0,
                backend: *b,
                outcome: Outcome::Ok,
                complete: true,
                elapsed: if slow { 900_000 } else { 100_000 },
                metered_usage: None,
                charged_units: None,
                report: None,
            };
            harness.feed(event);
        }
        let actions = harness.advance(20_000);
        log.extend(actions.into_iter().filter_map(|a| {
            if let Action::Log(l) = a {
                Some((step, l))
            } else {
                None
            }
        }));
    }
    let raised = log
        .iter()
        .find(|(_, l)| l.to_string().contains("rung 0 to 1"))
        .expect("no log event for the change from level 0 to 1");
    assert!((100..300).contains(&raised.0));
    let lowered = log
        .iter()
        .rev()
        .find(|(_, l)| l.to_string().contains("rung 1 to 0"))
        .expect("no log event for the change from level 1 to 0");
    assert!(lowered.0 > 300);
}

/// A load-shedding level rejects the same customers for a whole epoch, so a retry of a rejected
/// client gets the same answer.
#[test]
fn load_shedding_level_rejects_the_same_customers_at_all_gateways() {
    let rejections = |number: u16| {
        let mut s = Settings {
            gateway_id: GatewayId(number),
            ..settings()
        };
        s.plans = vec![plan(1e6, 1e6)];
        let mut harness = Harness::new(s, 4);
        for step in 0..400u64 {
            let (id, actions) = harness.request(0, 0, step % 40, 1.0);
            for backend in sent_to(&actions) {
                let elapsed = if step < 40 { 100_000 } else { 900_000 };
                end_attempt_after(&mut harness, id, backend, elapsed);
            }
            harness.advance(20_000);
        }
        (0..40)
            .map(|n| is_rejected(&harness.request(0, 0, n, 1.0).1))
            .collect::<Vec<_>>()
    };
    let (first_gateway, second_gateway) = (rejections(0), rejections(1));
    assert_eq!(first_gateway, second_gateway);
    assert!(
        first_gateway.contains(&true) && first_gateway.contains(&false),
        "the third level must admit some amber customers and reject others"
    );
}

/// When the concurrency limit is reached, the rejected customers are chosen by a hash of customer
/// and epoch, not by arrival order. A retry gets the same answer at every gateway.
#[test]
fn reached_concurrency_limit_rejects_the_same_customers_everywhere() {
    let mut harness = Harness::new(settings(), 12);
    let rejections: Vec<bool> = (0..80)
        .map(|n| is_rejected(&harness.request(0, 0, n, 1.0).1))
        .collect();
    let first_rejected = rejections
        .iter()
        .position(|r| *r)
        .expect("no request was rejected");
    let last_accepted = rejections
        .iter()
        .rposition(|r| !*r)
        .expect("no request was accepted");
    assert!(
        first_rejected < last_accepted,
        "some customers must be rejected before the queue is full"
    );
    assert!(
        is_rejected(&harness.request(0, 0, first_rejected as u64, 1.0).1),
        "a retry must be rejected again"
    );
}

/// Guards against lowering the concurrency limit and then shedding customers because a dependency
/// makes all backends slower. Shedding gains nothing as long as answers are in time.
#[test]
fn slower_backends_cause_no_load_shedding_while_answers_are_in_time() {
    let mut harness = Harness::new(settings(), 4);
    for n in 0..600u64 {
        let (id, actions) = harness.request(0, 0, n % 50, 1.0);
        let elapsed = if n < 200 { 80_000 } else { 320_000 };
        for backend in sent_to(&actions) {
            end_attempt_after(&mut harness, id, backend, elapsed);
        }
        assert!(
            !is_rejected(&actions),
            "request {n} was rejected by an idle fleet"
        );
        harness.advance(20_000);
    }
}

/// A request that could not be answered in time after waiting is rejected at once.
#[test]
fn request_is_rejected_if_its_queue_wait_would_make_it_late() {
    let count_waiting = |elapsed: Micros| {
        let mut harness = Harness::new(settings(), 3);
        for n in 0..60 {
            let (id, actions) = harness.request(0, 0, n, 1.0);
            end_attempt_after(&mut harness, id, sent_to(&actions)[0], elapsed);
        }
        let responses: Vec<_> = (0..200)
            .map(|n| harness.request(0, 0, 1_000 + n, 1.0).1)
            .collect();
        let sent = responses.iter().filter(|a| !sent_to(a).is_empty()).count();
        responses.iter().filter(|a| !is_rejected(a)).count() - sent
    };
    let (quick, slow, late) = (
        count_waiting(50_000),
        count_waiting(200_000),
        count_waiting(400_000),
    );
    assert!(
        quick > slow && slow > late,
        "{quick}, {slow} and {late} requests wait with answers of 50, 200 and 400 ms"
    );
    assert!(
        late <= 1,
        "with answers of 400 ms no queued request can be answered in time, but {late} wait"
    );
}
