//! Load-shedding levels, concurrency limits and queues.

mod rig;

use rig::{answer, plan, refused, sends, settings, Rig};
use wrenfork_decision::{Action, Event, GatewayId, Micros, Outcome, Settings};

#[test]
fn the_load_shedding_level_rises_with_latency_and_falls_again() {
    let mut rig = Rig::with(settings(), 4);
    let mut log = Vec::new();
    for step in 0..800u64 {
        let slow = (100..300).contains(&step);
        let (id, actions) = rig.ask(0, 0, step, 1.0);
        if let Some(b) = sends(&actions).first() {
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
            rig.feed(event);
        }
        let actions = rig.pass(20_000);
        log.extend(actions.into_iter().filter_map(|a| {
            if let Action::Log(l) = a {
                Some((step, l))
            } else {
                None
            }
        }));
    }
    let up = log
        .iter()
        .find(|(_, l)| l.to_string().contains("rung 0 to 1"))
        .expect("an alert");
    assert!((100..300).contains(&up.0));
    let down = log
        .iter()
        .rev()
        .find(|(_, l)| l.to_string().contains("rung 1 to 0"))
        .expect("the end of the alert");
    assert!(down.0 > 300);
}

/// A rung cuts the same customers for an epoch: a refused client's retry gets the same answer.
#[test]
fn a_load_shedding_level_cuts_whole_customers_alike_at_all_gateways() {
    let verdicts = |me: u16| {
        let mut s = Settings {
            gateway_id: GatewayId(me),
            ..settings()
        };
        s.plans = vec![plan(1e6, 1e6)];
        let mut rig = Rig::with(s, 4);
        for step in 0..400u64 {
            let (id, actions) = rig.ask(0, 0, step % 40, 1.0);
            for backend in sends(&actions) {
                let elapsed = if step < 40 { 100_000 } else { 900_000 };
                answer(&mut rig, id, backend, elapsed);
            }
            rig.pass(20_000);
        }
        (0..40)
            .map(|n| refused(&rig.ask(0, 0, n, 1.0).1))
            .collect::<Vec<_>>()
    };
    let (here, there) = (verdicts(0), verdicts(1));
    assert_eq!(here, there);
    assert!(
        here.contains(&true) && here.contains(&false),
        "half of amber passes on the third rung"
    );
}

/// Whom a full bound turns away is drawn by customer and epoch, not by who comes last: a retry of
/// the unlucky gets the same answer at every gateway.
#[test]
fn a_full_concurrency_limit_rejects_the_same_customers_everywhere() {
    let mut rig = Rig::with(settings(), 12);
    let verdicts: Vec<bool> = (0..80).map(|n| refused(&rig.ask(0, 0, n, 1.0).1)).collect();
    let first_refused = verdicts.iter().position(|r| *r).expect("the bound is full");
    let last_taken = verdicts.iter().rposition(|r| !*r).expect("some are taken");
    assert!(
        first_refused < last_taken,
        "the line is closed to some before it is full"
    );
    assert!(
        refused(&rig.ask(0, 0, first_refused as u64, 1.0).1),
        "asking again changes nothing"
    );
}

/// Guards against cutting what is out, and then whole customers, because a dependency makes all
/// backends twice as slow: nothing is gained by that as long as answers come in time.
#[test]
fn backends_that_are_all_slower_cause_no_load_shedding_while_answers_are_in_time() {
    let mut rig = Rig::with(settings(), 4);
    for n in 0..600u64 {
        let (id, actions) = rig.ask(0, 0, n % 50, 1.0);
        let elapsed = if n < 200 { 80_000 } else { 320_000 };
        for backend in sends(&actions) {
            answer(&mut rig, id, backend, elapsed);
        }
        assert!(
            !refused(&actions),
            "request {n} was refused on an idle fleet"
        );
        rig.pass(20_000);
    }
}

/// What waits beyond the time that its answer takes is refused at once, not after it has waited.
#[test]
fn a_queue_that_would_be_answered_late_takes_nobody() {
    let waiting = |elapsed: Micros| {
        let mut rig = Rig::with(settings(), 3);
        for n in 0..60 {
            let (id, actions) = rig.ask(0, 0, n, 1.0);
            answer(&mut rig, id, sends(&actions)[0], elapsed);
        }
        let asked: Vec<_> = (0..200).map(|n| rig.ask(0, 0, 1_000 + n, 1.0).1).collect();
        let sent = asked.iter().filter(|a| !sends(a).is_empty()).count();
        asked.iter().filter(|a| !refused(a)).count() - sent
    };
    let (quick, slow, late) = (waiting(50_000), waiting(200_000), waiting(400_000));
    assert!(
        quick > slow && slow > late,
        "{quick}, {slow} and {late} wait"
    );
    assert!(
        late <= 1,
        "with answers of 400 ms none fits behind those that are out: {late} wait"
    );
}
