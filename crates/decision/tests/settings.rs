//! Settings changes at runtime: quota state carries over, pending requests end under the settings
//! with which they arrived, and list indexes of removed plans and classes stay valid for them.

mod harness;

use harness::{class, plan, sent_to, settings, Harness, SECOND};
use proptest::prelude::{prop, prop_assert, proptest};
use wrenfork_decision::{
    Action, BackendId, Event, Gateway, GatewayId, Idempotency, Outcome, Plan, PlanUsage, RequestId,
    Settings,
};

/// Settings of a single gateway, which holds the whole quota.
fn single_gateway() -> Settings {
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

/// Passes in `tries` requests, answers each at once, and returns how many were sent.
fn count_sent(harness: &mut Harness, plan: u16, customer: u64, tries: u32) -> u32 {
    let mut sent = 0;
    for _ in 0..tries {
        let (id, actions) = harness.request_with_span(0, plan, customer, 1.0, 1.0);
        if let Some(Action::Send { backend, .. }) =
            actions.iter().find(|a| matches!(a, Action::Send { .. }))
        {
            sent += 1;
            harness.end_attempt(id, 0, *backend, Outcome::Ok);
        }
    }
    sent
}

#[test]
fn raised_quota_keeps_the_tokens_and_refills_at_the_new_rate() {
    let s = single_gateway();
    let mut harness = Harness::new(s.clone(), 4);
    harness.advance(SECOND);
    assert_eq!(
        count_sent(&mut harness, 1, 7, 10),
        6,
        "only the burst may be sent"
    );
    // Refills two units at the old rate.
    harness.advance(SECOND);
    harness.feed(changed(&s, |s| s.plans[1] = plan(20.0, 60.0)));
    assert_eq!(
        count_sent(&mut harness, 1, 7, 10),
        2,
        "only the units refilled at the old rate may be sent"
    );
    harness.advance(SECOND / 2);
    assert_eq!(
        count_sent(&mut harness, 1, 7, 30),
        10,
        "half a second of refill at the new rate"
    );
}

#[test]
fn lowered_quota_leaves_no_negative_balance() {
    let mut s = single_gateway();
    s.plans[1] = plan(2.0, 40.0);
    let mut harness = Harness::new(s.clone(), 4);
    harness.advance(SECOND);
    assert_eq!(count_sent(&mut harness, 1, 7, 38), 38);
    harness.feed(changed(&s, |s| s.plans[1] = plan(1.0, 3.0)));
    assert_eq!(
        count_sent(&mut harness, 1, 7, 10),
        2,
        "only the remaining tokens may be used"
    );
    harness.advance(10 * SECOND);
    assert_eq!(
        count_sent(&mut harness, 1, 7, 10),
        3,
        "the bucket must be full at the new burst"
    );
}

#[test]
fn new_quota_starts_full_and_new_ceiling_starts_empty() {
    let mut s = single_gateway();
    s.plans[1] = Plan {
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ..plan(0.0, 0.0)
    };
    let mut harness = Harness::new(s.clone(), 4);
    harness.advance(SECOND);
    assert_eq!(count_sent(&mut harness, 1, 7, 20), 20);
    harness.feed(changed(&s, |s| s.plans[1] = plan(1.0, 5.0)));
    assert_eq!(count_sent(&mut harness, 1, 7, 10), 5);
    harness.feed(changed(&s, |s| {
        s.plans[1] = Plan {
            ceiling_rate: 4.0,
            ceiling_burst: 8.0,
            ..plan(100.0, 100.0)
        };
    }));
    assert_eq!(
        count_sent(&mut harness, 1, 7, 10),
        0,
        "a new ceiling starts empty because earlier use is unknown"
    );
    harness.advance(SECOND);
    assert_eq!(count_sent(&mut harness, 1, 7, 10), 4);
}

/// Guards against a request that runs twice because its class became idempotent while the request
/// was pending.
#[test]
fn pending_request_keeps_the_class_settings_of_its_arrival() {
    let s = single_gateway();
    let mut harness = Harness::new(s.clone(), 4);
    harness.advance(SECOND);
    let (id, actions) = harness.request_with_span(2, 0, 7, 1.0, 1.0);
    let Some(Action::Send { backend, .. }) = actions.first() else {
        panic!("request was not sent: {actions:?}")
    };
    let backend = *backend;
    harness.feed(changed(&s, |s| {
        s.classes[2].idempotency = Idempotency::Idempotent
    }));
    let actions = harness.end_attempt(id, 0, backend, Outcome::Reset);
    assert_eq!(
        actions,
        [Action::Fail(id)],
        "the request may have run and must fail"
    );
    // A request that arrives after the change is retried.
    let (id, actions) = harness.request_with_span(2, 0, 7, 1.0, 1.0);
    let Some(Action::Send { backend, .. }) = actions.first() else {
        panic!("request was not sent: {actions:?}")
    };
    let actions = harness.end_attempt(id, 0, *backend, Outcome::Reset);
    assert!(
        matches!(actions[..], [Action::Send { .. }]),
        "not retried: {actions:?}"
    );
}

#[test]
fn removed_classes_and_plans_remain_valid_for_pending_requests() {
    let s = single_gateway();
    let mut harness = Harness::new(s.clone(), 4);
    harness.advance(SECOND);
    let pending: Vec<_> = (0..3)
        .map(|class| harness.request_with_span(class, 3 - u16::from(class), 7, 1.0, 1.0))
        .collect();
    harness.feed(changed(&s, |s| {
        (s.classes.truncate(1), s.plans.truncate(1)).1
    }));
    harness.advance(SECOND / 10);
    for (id, actions) in pending {
        if let Some(Action::Send { backend, .. }) = actions.first() {
            let actions = harness.end_attempt(id, 0, *backend, Outcome::Ok);
            assert!(
                actions.iter().all(|a| !matches!(a, Action::Send { .. })),
                "retried after it was answered: {actions:?}"
            );
        }
    }
    harness.feed(changed(&s, |s| {
        s.classes.push(class(Idempotency::Idempotent))
    }));
    harness.advance(30 * SECOND);
    let (_, actions) = harness.request_with_span(3, 0, 8, 1.0, 1.0);
    assert!(
        matches!(actions[..], [Action::Send { .. }]),
        "a request of the new class must be sent: {actions:?}"
    );
}

/// A plan without use must report none, because load shedding ranks customers by the prices of the
/// plans in use.
#[test]
fn plan_usage_is_reported_per_plan() {
    let s = single_gateway();
    let mut harness = Harness::new(s.clone(), 4);
    harness.advance(SECOND);
    let (_, actions) = harness.request_with_span(0, 1, 7, 2.0, 1.0);
    assert!(matches!(actions[..], [Action::Send { .. }]));
    let usage = harness.gateway.plan_usage();
    assert_eq!(
        (usage.len(), usage[1].customers, usage[1].in_flight),
        (4, 1, 1)
    );
    assert!(usage[1].rate > 0.0 && usage[0] == PlanUsage::default());
}

/// All plans beyond the last index that a message can carry share that index. A quota owner must
/// not confuse them.
#[test]
fn owner_counts_customers_whose_plan_index_does_not_fit_in_messages() {
    let mut s = settings();
    s.gateway_count = 2;
    s.plans = vec![plan(1e6, 1e6); 80];
    s.plans[70] = plan(2.0, 12.0);
    let mut harnesses: Vec<Harness> = (0..2)
        .map(|number| {
            Harness::new(
                Settings {
                    gateway_id: GatewayId(number),
                    ..s.clone()
                },
                4,
            )
        })
        .collect();
    let mut sent = 0;
    for step in 0..400 {
        for number in 0..2 {
            harnesses[number].now += 10_000;
            let mut actions = harnesses[number].feed(Event::Timer(0));
            if step % 5 == 0 {
                let (id, request_actions) = harnesses[number].request_with_span(0, 70, 7, 1.0, 2.0);
                actions.extend(request_actions);
                let _ = id;
            }
            for action in actions {
                match action {
                    Action::Send { id, backend, .. } => {
                        sent += 1;
                        harnesses[number].end_attempt(id, 0, backend, Outcome::Ok);
                    }
                    Action::SendToPeer { bytes, .. } => {
                        let from = GatewayId(number as u16);
                        harnesses[1 - number].feed(Event::PeerMessage { from, bytes });
                    }
                    _ => {}
                }
            }
        }
    }
    // Four seconds at 2 units per second and one burst of 12. If the gateways did not share their
    // counts, 24 more would be sent.
    assert!(
        (10..=24).contains(&sent),
        "{sent} requests sent, the quota allows 20"
    );
}

/// Records attempts in flight and removes requests that have their answer from `unanswered`.
fn record_actions(
    actions: Vec<Action>,
    in_flight: &mut Vec<(RequestId, u16, BackendId)>,
    unanswered: &mut std::collections::BTreeSet<RequestId>,
    attempt_counts: &mut std::collections::BTreeMap<RequestId, u16>,
) {
    for action in actions {
        match action {
            Action::Send { id, backend, .. } => {
                let n = attempt_counts.entry(id).or_default();
                in_flight.push((id, *n, backend));
                *n += 1;
            }
            Action::Reject { id, .. } | Action::Fail(id) => drop(unanswered.remove(&id)),
            _ => {}
        }
    }
}

proptest! {
    /// With arbitrary settings changes between arbitrary requests, nothing panics and every request
    /// ends.
    #[test]
    fn arbitrary_settings_changes_leave_no_request_pending(
        steps in prop::collection::vec((0u8..6, 0u8..5, 0u16..6, 0.0f64..50.0), 1..120)
    ) {
        let s = single_gateway();
        let mut harness = Harness::new(s.clone(), 3);
        let (mut classes, mut plans) = (3u8, 4u16);
        let mut in_flight: Vec<(RequestId, u16, BackendId)> = Vec::new();
        let mut unanswered = std::collections::BTreeSet::new();
        let mut attempt_counts = std::collections::BTreeMap::<RequestId, u16>::new();
        for (step_kind, class_no, plan_no, rate) in steps {
            let actions = match step_kind {
                0 => {
                    classes = class_no + 1;
                    plans = plan_no + 1;
                    let new = changed(&s, |s| {
                        s.classes = vec![class(Idempotency::Idempotent); usize::from(classes)];
                        s.plans = vec![Plan { max_in_flight: u32::from(class_no), ..plan(rate, rate * 2.0) }; usize::from(plans)];
                        s.limits.max_attempts = 1 + u32::from(class_no);
                    });
                    harness.feed(new)
                }
                1 | 2 => {
                    let (id, actions) =
                        harness.request_with_span(class_no % classes, plan_no % plans, u64::from(plan_no), 1.0 + rate / 50.0, 1.0);
                    unanswered.insert(id);
                    actions
                }
                3 => harness.advance(rate as u64 * 20_000),
                _ if in_flight.is_empty() => Vec::new(),
                _ => {
                    let (id, attempt, backend) = in_flight.swap_remove(usize::from(class_no) % in_flight.len());
                    let outcome = if step_kind == 4 { Outcome::Ok } else { Outcome::Reset };
                    if step_kind == 4 {
                        unanswered.remove(&id);
                    }
                    harness.end_attempt(id, attempt, backend, outcome)
                }
            };
            record_actions(actions, &mut in_flight, &mut unanswered, &mut attempt_counts);
        }
        // Completes all attempts in flight, and those sent afterwards, then lets the deadlines of
        // waiting requests pass.
        for _ in 0..100 {
            while let Some((id, attempt, backend)) = in_flight.pop() {
                unanswered.remove(&id);
                let actions = harness.end_attempt(id, attempt, backend, Outcome::Ok);
                record_actions(actions, &mut in_flight, &mut unanswered, &mut attempt_counts);
            }
            let actions = harness.advance(SECOND / 10);
            record_actions(actions, &mut in_flight, &mut unanswered, &mut attempt_counts);
        }
        prop_assert!(unanswered.is_empty(), "requests without an answer: {unanswered:?}");
    }
}

/// Guards against a pending request whose maximum number of attempts changes with the settings.
#[test]
fn pending_request_keeps_its_maximum_number_of_attempts() {
    for (before, after, is_retried) in [(3, 1, true), (1, 3, false)] {
        let settings_with = |max_attempts| {
            let mut s = settings();
            s.limits.max_attempts = max_attempts;
            s
        };
        let mut harness = Harness::new(settings_with(before), 4);
        let (id, actions) = harness.request(0, 0, 1, 1.0);
        let first = sent_to(&actions)[0];
        harness.feed(Event::SettingsChanged(Box::new(settings_with(after))));
        let actions = harness.end_attempt(id, 0, first, Outcome::Error);
        assert_eq!(
            !sent_to(&actions).is_empty(),
            is_retried,
            "limit of {before} attempts at arrival, {after} after the change"
        );
    }
}

/// Guards against clients that read long answers slowly and so occupy all slots of an idle fleet.
#[test]
fn streaming_answer_occupies_no_slot() {
    let mut harness = Harness::new(settings(), 1);
    let (mut sent, mut rejected) = (0, 0);
    for n in 0..100 {
        let (id, actions) = harness.request(0, 0, n, 1.0);
        match sent_to(&actions).first() {
            Some(_) => {
                sent += 1;
                harness.feed(Event::FirstByte { id, attempt: 0 });
            }
            None => rejected += 1,
        }
    }
    assert_eq!(
        (sent, rejected),
        (100, 0),
        "streaming answers must not occupy slots"
    );
}

/// Guards against fields that are lost or swapped when the state is stored and passed to the next
/// process: the original and the restored gateway must act alike.
#[test]
fn restored_gateway_acts_like_the_original() {
    let mut harness = Harness::new(settings(), 6);
    let mut pending = Vec::new();
    for n in 0..200u64 {
        let (id, actions) = harness.request((n % 3) as u8, (n % 4) as u16, n % 17, 1.0);
        pending.extend(sent_to(&actions).first().map(|b| (id, *b)));
        if n % 3 == 0 {
            if let Some((id, b)) = pending.pop() {
                harness.end_attempt(
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
    let bytes = postcard::to_stdvec(&harness.gateway).unwrap();
    let mut restored = Harness {
        gateway: postcard::from_bytes(&bytes).unwrap(),
        now: harness.now,
        next_id: harness.next_id,
    };
    assert_eq!(postcard::to_stdvec(&restored.gateway).unwrap(), bytes);
    for n in 0..300u64 {
        let (expected, restored_actions) = (
            harness.request((n % 3) as u8, (n % 4) as u16, n % 23, 1.0),
            restored.request((n % 3) as u8, (n % 4) as u16, n % 23, 1.0),
        );
        assert_eq!(expected, restored_actions, "actions differ at request {n}");
        if let Some((id, b)) = pending.pop() {
            assert_eq!(
                harness.end_attempt(id, 0, b, Outcome::Ok),
                restored.end_attempt(id, 0, b, Outcome::Ok)
            );
        }
    }
    for cut in 0..bytes.len().min(400) {
        assert!(
            postcard::from_bytes::<Gateway>(&bytes[..cut]).is_err(),
            "state truncated to {cut} bytes was accepted"
        );
    }
}

/// Guards against misreading messages of a peer whose class or plan lists differ, as after a
/// restart. An index in its message would be taken for another class's health or another plan's
/// usage.
#[test]
fn messages_of_a_peer_with_other_lists_are_not_misread() {
    let settings_with = |number: u16, name_digests: [u8; 2]| {
        let mut s = settings();
        // In a large fleet gateways share samples, and a single owner decides.
        (s.gateway_count, s.gateway_id, s.name_digests) = (60, GatewayId(number), name_digests);
        s
    };
    // Messages of a peer whose attempts failed.
    let messages_of_peer = |name_digests: [u8; 2]| {
        let mut peer = Harness::new(settings_with(3, name_digests), 4);
        let mut peer_actions = Vec::new();
        for n in 0..200u64 {
            let (_, mut actions) = peer.request_with_span(0, 1, n, 1.0, 2.0);
            // The request may have waited for a quota owner.
            actions.extend(peer.advance(200_000));
            for action in &actions {
                if let Action::Send { id, backend, .. } = action {
                    peer_actions.extend(peer.end_attempt(*id, 0, *backend, Outcome::ConnectFailed));
                }
            }
            peer_actions.extend(actions);
        }
        let message_to_owner = |a| match a {
            Action::SendToPeer {
                to: Some(GatewayId(0)),
                bytes,
            } => Some(bytes),
            _ => None,
        };
        peer_actions.into_iter().filter_map(message_to_owner)
    };
    let state_after_messages = |name_digests: [u8; 2]| {
        let mut harness = Harness::new(settings_with(0, [1, 1]), 4);
        let messages: Vec<Vec<u8>> = messages_of_peer(name_digests).collect();
        assert!(messages.len() > 10, "only {} messages", messages.len());
        for bytes in messages {
            harness.feed(Event::PeerMessage {
                from: GatewayId(3),
                bytes,
            });
        }
        (
            harness.gateway.backends_in_rotation(),
            harness.gateway.plan_usage()[1].customers,
        )
    };
    let (same_lists, customers) = state_after_messages([1, 1]);
    assert!(
        same_lists < 4 && customers > 0,
        "test setup failed: {same_lists} backends in rotation, {customers} customers"
    );
    assert_eq!(
        state_after_messages([2, 1]),
        (same_lists.max(4), customers),
        "failures of another class were counted"
    );
    assert_eq!(
        state_after_messages([1, 2]),
        (same_lists, 0),
        "usage of another plan was counted"
    );
}

/// Guards against a class that keeps its name but changes its idempotency: backends must not stay
/// ejected for failures recorded under the old definition.
#[test]
fn class_with_changed_idempotency_does_not_inherit_ejections() {
    for (idempotency, stays_ejected) in [
        (Idempotency::Idempotent, true),
        (Idempotency::NotIdempotent, false),
    ] {
        let mut harness = Harness::new(settings(), 2);
        for n in 0..12 {
            let (id, actions) = harness.request(0, 0, n, 1.0);
            let Some(first) = sent_to(&actions).first().copied() else {
                continue;
            };
            let mut next_attempt = Some((0, first));
            while let Some((attempt, backend)) = next_attempt {
                let actions = harness.end_attempt(id, attempt, backend, Outcome::Error);
                next_attempt = sent_to(&actions).first().map(|b| (attempt + 1, *b));
            }
        }
        assert!(
            harness.gateway.backends_in_rotation() < 2,
            "test setup failed: no backend is ejected"
        );
        harness.feed(changed(&settings(), |s| {
            s.classes[0].idempotency = idempotency
        }));
        assert_eq!(
            harness.gateway.backends_in_rotation() < 2,
            stays_ejected,
            "backends ejected after the class changed to {idempotency:?}"
        );
    }
}
