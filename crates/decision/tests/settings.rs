//! New settings in service: stores carry over, what is open ends as it began, places outlive their
//! names.

mod rig;

use proptest::prelude::{prop, prop_assert, proptest};
use rig::{class, plan, sends, settings, Rig, S};
use wrenfork_decision::{
    Action, BackendId, Event, Gateway, GatewayId, Idempotency, Outcome, Plan, PlanUsage, RequestId,
    Settings,
};

/// One gateway, so that all of a quota is its own.
fn alone() -> Settings {
    let mut s = settings();
    s.gateway_count = 1;
    s.limits.peers = false;
    s
}

fn changed(s: &Settings, change: impl FnOnce(&mut Settings)) -> Event {
    let mut s = s.clone();
    change(&mut s);
    Event::SettingsChanged(Box::new(s))
}

/// How many of so many requests are sent at once, each answered.
fn passes(rig: &mut Rig, plan: u16, customer: u64, tries: u32) -> u32 {
    let mut sent = 0;
    for _ in 0..tries {
        let (id, actions) = rig.ask_of(0, plan, customer, 1.0, 1.0);
        if let Some(Action::Send { backend, .. }) =
            actions.iter().find(|a| matches!(a, Action::Send { .. }))
        {
            sent += 1;
            rig.settle(id, 0, *backend, Outcome::Ok);
        }
    }
    sent
}

#[test]
fn a_raised_quota_does_not_refill_a_store_and_fills_at_the_new_rate_from_now_on() {
    let s = alone();
    let mut rig = Rig::with(s.clone(), 4);
    rig.pass(S);
    assert_eq!(passes(&mut rig, 1, 7, 10), 6, "the burst");
    rig.pass(S); // two units at the old rate
    rig.feed(changed(&s, |s| s.plans[1] = plan(20.0, 60.0)));
    assert_eq!(
        passes(&mut rig, 1, 7, 10),
        2,
        "what the old rate had filled, and nothing more"
    );
    rig.pass(S / 2);
    assert_eq!(
        passes(&mut rig, 1, 7, 30),
        10,
        "half a second at the new one"
    );
}

#[test]
fn a_lowered_quota_leaves_no_debt() {
    let mut s = alone();
    s.plans[1] = plan(2.0, 40.0);
    let mut rig = Rig::with(s.clone(), 4);
    rig.pass(S);
    assert_eq!(passes(&mut rig, 1, 7, 38), 38);
    rig.feed(changed(&s, |s| s.plans[1] = plan(1.0, 3.0)));
    assert_eq!(passes(&mut rig, 1, 7, 10), 2, "what was left of the store");
    rig.pass(10 * S);
    assert_eq!(passes(&mut rig, 1, 7, 10), 3, "full at the new burst");
}

#[test]
fn a_first_quota_begins_full_and_a_first_ceiling_at_nothing() {
    let mut s = alone();
    s.plans[1] = Plan {
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ..plan(0.0, 0.0)
    };
    let mut rig = Rig::with(s.clone(), 4);
    rig.pass(S);
    assert_eq!(passes(&mut rig, 1, 7, 20), 20);
    rig.feed(changed(&s, |s| s.plans[1] = plan(1.0, 5.0)));
    assert_eq!(passes(&mut rig, 1, 7, 10), 5);
    rig.feed(changed(&s, |s| {
        s.plans[1] = Plan {
            ceiling_rate: 4.0,
            ceiling_burst: 8.0,
            ..plan(100.0, 100.0)
        };
    }));
    assert_eq!(
        passes(&mut rig, 1, 7, 10),
        0,
        "what was used before the ceiling is not known"
    );
    rig.pass(S);
    assert_eq!(passes(&mut rig, 1, 7, 10), 4);
}

/// Guards against a referral that runs twice because its class became safe to repeat while it was
/// under way.
#[test]
fn a_request_ends_under_the_class_as_it_was_when_it_came() {
    let s = alone();
    let mut rig = Rig::with(s.clone(), 4);
    rig.pass(S);
    let (id, actions) = rig.ask_of(2, 0, 7, 1.0, 1.0);
    let Some(Action::Send { backend, .. }) = actions.first() else {
        panic!("{actions:?}")
    };
    let backend = *backend;
    rig.feed(changed(&s, |s| {
        s.classes[2].idempotency = Idempotency::Idempotent
    }));
    let actions = rig.settle(id, 0, backend, Outcome::Reset);
    assert_eq!(actions, [Action::Fail(id)], "it may have run");
    // One that comes now may run again.
    let (id, actions) = rig.ask_of(2, 0, 7, 1.0, 1.0);
    let Some(Action::Send { backend, .. }) = actions.first() else {
        panic!("{actions:?}")
    };
    let actions = rig.settle(id, 0, *backend, Outcome::Reset);
    assert!(matches!(actions[..], [Action::Send { .. }]), "{actions:?}");
}

#[test]
fn places_that_went_are_still_there_for_what_is_open() {
    let s = alone();
    let mut rig = Rig::with(s.clone(), 4);
    rig.pass(S);
    let open: Vec<_> = (0..3)
        .map(|class| rig.ask_of(class, 3 - u16::from(class), 7, 1.0, 1.0))
        .collect();
    rig.feed(changed(&s, |s| {
        (s.classes.truncate(1), s.plans.truncate(1)).1
    }));
    rig.pass(S / 10);
    for (id, actions) in open {
        if let Some(Action::Send { backend, .. }) = actions.first() {
            let actions = rig.settle(id, 0, *backend, Outcome::Ok);
            assert!(
                actions.iter().all(|a| !matches!(a, Action::Send { .. })),
                "{actions:?}"
            );
        }
    }
    rig.feed(changed(&s, |s| {
        s.classes.push(class(Idempotency::Idempotent))
    }));
    rig.pass(30 * S);
    let (_, actions) = rig.ask_of(3, 0, 8, 1.0, 1.0);
    assert!(
        matches!(actions[..], [Action::Send { .. }]),
        "a new class is served: {actions:?}"
    );
}

/// A plan that went must not count among the prices by which the ladder tells customers apart.
#[test]
fn what_is_in_use_is_told_by_plan() {
    let s = alone();
    let mut rig = Rig::with(s.clone(), 4);
    rig.pass(S);
    let (_, actions) = rig.ask_of(0, 1, 7, 2.0, 1.0);
    assert!(matches!(actions[..], [Action::Send { .. }]));
    let used = rig.gateway.plan_usage();
    assert_eq!(
        (used.len(), used[1].customers, used[1].in_flight),
        (4, 1, 1)
    );
    assert!(used[1].rate > 0.0 && used[0] == PlanUsage::default());
}

/// Many plans share the last number that a message has room for: a home must not take one of these
/// for another.
#[test]
fn a_customer_on_a_plan_beyond_what_messages_name_is_counted_by_its_home() {
    let mut s = settings();
    s.gateway_count = 2;
    s.plans = vec![plan(1e6, 1e6); 80];
    s.plans[70] = plan(2.0, 12.0);
    let mut rigs: Vec<Rig> = (0..2)
        .map(|me| {
            Rig::with(
                Settings {
                    gateway_id: GatewayId(me),
                    ..s.clone()
                },
                4,
            )
        })
        .collect();
    let mut sent = 0;
    for step in 0..400 {
        for me in 0..2 {
            rigs[me].now += 10_000;
            let mut actions = rigs[me].feed(Event::Timer(0));
            if step % 5 == 0 {
                let (id, more) = rigs[me].ask_of(0, 70, 7, 1.0, 2.0);
                actions.extend(more);
                let _ = id;
            }
            for action in actions {
                match action {
                    Action::Send { id, backend, .. } => {
                        sent += 1;
                        rigs[me].settle(id, 0, backend, Outcome::Ok);
                    }
                    Action::SendToPeer { bytes, .. } => {
                        let from = GatewayId(me as u16);
                        rigs[1 - me].feed(Event::PeerMessage { from, bytes });
                    }
                    _ => {}
                }
            }
        }
    }
    // Four seconds at 2 a second and a burst of 12, once; two gateways that count alone would let
    // 24 more through.
    assert!(
        (10..=24).contains(&sent),
        "{sent} sent of 20 that the quota holds"
    );
}

/// Keeps the books over what was asked for: what is out, and what still owes an answer.
fn note(
    actions: Vec<Action>,
    out: &mut Vec<(RequestId, u16, BackendId)>,
    owed: &mut std::collections::BTreeSet<RequestId>,
    counts: &mut std::collections::BTreeMap<RequestId, u16>,
) {
    for action in actions {
        match action {
            Action::Send { id, backend, .. } => {
                let n = counts.entry(id).or_default();
                out.push((id, *n, backend));
                *n += 1;
            }
            Action::Reject { id, .. } | Action::Fail(id) => drop(owed.remove(&id)),
            _ => {}
        }
    }
}

proptest! {
    /// Any changes between any requests: nobody panics, each request ends, and none that may not
    /// runs twice.
    #[test]
    fn any_sequence_of_settings_leaves_no_request_open(
        steps in prop::collection::vec((0u8..6, 0u8..5, 0u16..6, 0.0f64..50.0), 1..120)
    ) {
        let s = alone();
        let mut rig = Rig::with(s.clone(), 3);
        let (mut classes, mut plans) = (3u8, 4u16);
        let mut out: Vec<(RequestId, u16, BackendId)> = Vec::new();
        let mut owed = std::collections::BTreeSet::new();
        let mut counts = std::collections::BTreeMap::<RequestId, u16>::new();
        for (what, class_no, plan_no, figure) in steps {
            let actions = match what {
                0 => {
                    classes = class_no + 1;
                    plans = plan_no + 1;
                    let new = changed(&s, |s| {
                        s.classes = vec![class(Idempotency::Idempotent); usize::from(classes)];
                        s.plans = vec![Plan { max_in_flight: u32::from(class_no), ..plan(figure, figure * 2.0) }; usize::from(plans)];
                        s.limits.max_attempts = 1 + u32::from(class_no);
                    });
                    rig.feed(new)
                }
                1 | 2 => {
                    let (id, actions) =
                        rig.ask_of(class_no % classes, plan_no % plans, u64::from(plan_no), 1.0 + figure / 50.0, 1.0);
                    owed.insert(id);
                    actions
                }
                3 => rig.pass(figure as u64 * 20_000),
                _ if out.is_empty() => Vec::new(),
                _ => {
                    let (id, attempt, backend) = out.swap_remove(usize::from(class_no) % out.len());
                    let outcome = if what == 4 { Outcome::Ok } else { Outcome::Reset };
                    if what == 4 {
                        owed.remove(&id);
                    }
                    rig.settle(id, attempt, backend, outcome)
                }
            };
            note(actions, &mut out, &mut owed, &mut counts);
        }
        // What is still out comes back, what is sent for it as well; then time runs out for what
        // waits.
        for _ in 0..100 {
            while let Some((id, attempt, backend)) = out.pop() {
                owed.remove(&id);
                let actions = rig.settle(id, attempt, backend, Outcome::Ok);
                note(actions, &mut out, &mut owed, &mut counts);
            }
            let actions = rig.pass(S / 10);
            note(actions, &mut out, &mut owed, &mut counts);
        }
        prop_assert!(owed.is_empty(), "{owed:?}");
    }
}

/// Guards against an open request that loses attempts, or gains some, when the settings change.
#[test]
fn an_open_request_keeps_as_many_attempts_as_it_came_with() {
    for (before, after, again) in [(3, 1, true), (1, 3, false)] {
        let with = |most| {
            let mut s = settings();
            s.limits.max_attempts = most;
            s
        };
        let mut rig = Rig::with(with(before), 4);
        let (id, actions) = rig.ask(0, 0, 1, 1.0);
        let first = sends(&actions)[0];
        rig.feed(Event::SettingsChanged(Box::new(with(after))));
        let actions = rig.settle(id, 0, first, Outcome::Error);
        assert_eq!(
            !sends(&actions).is_empty(),
            again,
            "{before} attempts, then {after}"
        );
    }
}

/// Guards against slow readers of long answers that hold the places of a fleet which has nothing to
/// do.
#[test]
fn an_answer_that_has_begun_holds_no_place() {
    let mut rig = Rig::with(settings(), 1);
    let (mut sent, mut refused) = (0, 0);
    for n in 0..100 {
        let (id, actions) = rig.ask(0, 0, n, 1.0);
        match sends(&actions).first() {
            Some(_) => {
                sent += 1;
                rig.feed(Event::FirstByte { id, attempt: 0 });
            }
            None => refused += 1,
        }
    }
    assert_eq!(
        (sent, refused),
        (100, 0),
        "the readers of those before hold the places"
    );
}

/// Guards against a record that is lost, or read as another, on the way to the next process: both
/// must decide alike.
#[test]
fn a_gateway_that_was_written_down_and_read_decides_as_the_one_before() {
    let mut rig = Rig::with(settings(), 6);
    let mut open = Vec::new();
    for n in 0..200u64 {
        let (id, actions) = rig.ask((n % 3) as u8, (n % 4) as u16, n % 17, 1.0);
        open.extend(sends(&actions).first().map(|b| (id, *b)));
        if n % 3 == 0 {
            if let Some((id, b)) = open.pop() {
                rig.settle(
                    id,
                    0,
                    b,
                    if n % 5 == 0 {
                        Outcome::Error
                    } else {
                        Outcome::Ok
                    },
                );
            }
        }
    }
    let bytes = postcard::to_stdvec(&rig.gateway).unwrap();
    let mut twin = Rig {
        gateway: postcard::from_bytes(&bytes).unwrap(),
        now: rig.now,
        next: rig.next,
    };
    assert_eq!(postcard::to_stdvec(&twin.gateway).unwrap(), bytes);
    for n in 0..300u64 {
        let (one, two) = (
            rig.ask((n % 3) as u8, (n % 4) as u16, n % 23, 1.0),
            twin.ask((n % 3) as u8, (n % 4) as u16, n % 23, 1.0),
        );
        assert_eq!(one, two, "request {n}");
        if let Some((id, b)) = open.pop() {
            assert_eq!(
                rig.settle(id, 0, b, Outcome::Ok),
                twin.settle(id, 0, b, Outcome::Ok)
            );
        }
    }
    for cut in 0..bytes.len().min(400) {
        assert!(
            postcard::from_bytes::<Gateway>(&bytes[..cut]).is_err(),
            "cut at {cut}"
        );
    }
}

/// Guards against a peer whose lists have other places, as after a restart: what it tells of a
/// place would be taken for another class's health here, and its use for that of another plan.
#[test]
fn a_peer_with_other_places_is_not_misread() {
    let with = |me: u16, name_digests: [u8; 2]| {
        let mut s = settings();
        (s.gateway_count, s.gateway_id, s.name_digests) = (60, GatewayId(me), name_digests); // many: samples pass, one home decides
        s
    };
    // What one that had errors tells its peers.
    let told = |name_digests: [u8; 2]| {
        let mut rig = Rig::with(with(3, name_digests), 4);
        let mut told = Vec::new();
        for n in 0..200u64 {
            let (_, mut actions) = rig.ask_of(0, 1, n, 1.0, 2.0);
            actions.extend(rig.pass(200_000)); // it may have waited for a home's word
            for action in &actions {
                if let Action::Send { id, backend, .. } = action {
                    told.extend(rig.settle(*id, 0, *backend, Outcome::ConnectFailed));
                }
            }
            told.extend(actions);
        }
        let to_home = |a| match a {
            Action::SendToPeer {
                to: Some(GatewayId(0)),
                bytes,
            } => Some(bytes),
            _ => None,
        };
        told.into_iter().filter_map(to_home)
    };
    let heard = |name_digests: [u8; 2]| {
        let mut rig = Rig::with(with(0, [1, 1]), 4);
        let messages: Vec<Vec<u8>> = told(name_digests).collect();
        assert!(messages.len() > 10, "{} messages", messages.len());
        for bytes in messages {
            rig.feed(Event::PeerMessage {
                from: GatewayId(3),
                bytes,
            });
        }
        (
            rig.gateway.backends_in_rotation(),
            rig.gateway.plan_usage()[1].customers,
        )
    };
    let (alike, customers) = heard([1, 1]);
    assert!(
        alike < 4 && customers > 0,
        "{alike} in rotation, {customers} customers: the test shows nothing"
    );
    assert_eq!(
        heard([2, 1]),
        (alike.max(4), customers),
        "another class's failures count"
    );
    assert_eq!(heard([1, 2]), (alike, 0), "another plan's use counts");
}

/// Guards against a class that comes back under its name with another effect and rests backends for
/// what the old one met there.
#[test]
fn a_name_with_another_effect_is_another_class() {
    for (effect, rested) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NotIdempotent, false),
    ] {
        let mut rig = Rig::with(settings(), 2);
        for n in 0..12 {
            let (id, actions) = rig.ask(0, 0, n, 1.0);
            let Some(first) = sends(&actions).first().copied() else {
                continue;
            };
            let mut again = Some((0, first));
            while let Some((attempt, backend)) = again {
                let actions = rig.settle(id, attempt, backend, Outcome::Error);
                again = sends(&actions).first().map(|b| (attempt + 1, *b));
            }
        }
        assert!(
            rig.gateway.backends_in_rotation() < 2,
            "nothing rests: the test shows nothing"
        );
        rig.feed(changed(&settings(), |s| s.classes[0].idempotency = effect));
        assert_eq!(rig.gateway.backends_in_rotation() < 2, rested, "{effect:?}");
    }
}
