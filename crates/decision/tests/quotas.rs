//! Quotas, limits on attempts in flight, and ceilings across several gateways. The tests deliver
//! the messages between the gateways.

mod harness;

use harness::{endpoint, is_rejected, plan, sent_to, settings, Harness, SECOND};
use wrenfork_decision::{
    Action, EndpointListKind, Event, Gateway, GatewayId, Micros, Outcome, Plan, Settings,
};

#[test]
fn requests_within_quota_are_sent_and_others_rejected() {
    let mut harness = Harness::new(settings(), 4);
    let mut sent = 0;
    for _ in 0..8 {
        let (id, actions) = harness.request(0, 1, 9, 1.0);
        assert_eq!(sent_to(&actions).is_empty(), is_rejected(&actions));
        for backend in sent_to(&actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
            sent += 1;
        }
    }
    assert!(
        (5..=6).contains(&sent),
        "{sent} requests sent, expected the burst of 6 less unreported use at other gateways"
    );
    harness.advance(2 * SECOND);
    assert_eq!(
        sent_to(&harness.request(0, 1, 9, 1.0).1).len(),
        1,
        "the bucket must refill at the plan's rate"
    );
}

/// Gateways that receive no messages from each other keep a ceiling in sum, and a restarted gateway
/// starts with an empty ceiling.
#[test]
fn silent_peers_and_restarts_do_not_raise_the_ceiling() {
    for gateways in [3, 40, 200] {
        let settings = |number| Settings {
            gateway_count: gateways,
            gateway_id: GatewayId(number),
            ..settings()
        };
        let total: usize = (0..gateways)
            .map(|number| {
                let mut harness = Harness::new(settings(number), 4);
                let mut sent = 0;
                for second in 0..10 {
                    for _ in 0..10 {
                        let (id, mut actions) =
                            harness.request_with_span(0, 2, 5, 1.0, f64::from(gateways));
                        actions.extend(harness.advance(100_000));
                        for backend in sent_to(&actions) {
                            sent += 1;
                            harness.end_attempt(id, 0, backend, Outcome::Ok);
                        }
                    }
                    if second == 4 {
                        harness.gateway = Gateway::new(settings(number), 8, harness.now);
                        harness.feed(Event::EndpointsChanged(
                            EndpointListKind::Cached,
                            (0..4).map(endpoint).collect(),
                        ));
                    }
                }
                sent
            })
            .sum();
        assert!(
            total <= 60,
            "{gateways} gateways sent {total} requests in 10 s at a ceiling of 6 per second"
        );
        assert!(
            gateways > 3 || total > 30,
            "only {total} requests sent by {gateways} gateways"
        );
    }
}

/// A fleet of gateways; the test delivers their messages.
struct Fleet {
    harnesses: Vec<Harness>,
    messages_sent: u64,
    /// Answer time of every attempt, in microseconds.
    elapsed: Micros,
}

impl Fleet {
    fn new(gateways: u16) -> Fleet {
        let harness = |number| {
            Harness::new(
                Settings {
                    gateway_count: gateways,
                    gateway_id: GatewayId(number),
                    ..settings()
                },
                6,
            )
        };
        Fleet {
            harnesses: (0..gateways).map(harness).collect(),
            messages_sent: 0,
            elapsed: 100_000,
        }
    }

    /// Carries out the actions of gateway `from`, and all actions that result, answering every
    /// attempt at once. Returns how many attempts were sent. Every `loss_interval`th message is
    /// lost; 0 means none.
    fn deliver(&mut self, from: usize, actions: Vec<Action>, loss_interval: u64) -> usize {
        let mut sent = 0;
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|a| (from, a)).collect();
        while let Some((at, action)) = queue.pop() {
            let (to, event) = match action {
                Action::Send { id, backend, .. } => {
                    sent += 1;
                    let (outcome, elapsed) = (Outcome::Ok, self.elapsed);
                    let (attempt, complete) = (0, true);
                    let (metered, charged, report) = (None, None, None);
                    let event = Event::AttemptCompleted {
                        id,
                        attempt,
                        backend,
                        outcome,
                        complete,
                        elapsed,
                        metered_usage: metered,
                        charged_units: charged,
                        report,
                    };
                    (at, event)
                }
                Action::SendToPeer {
                    to: Some(to),
                    bytes,
                } => {
                    self.messages_sent += 1;
                    if loss_interval > 0 && self.messages_sent.is_multiple_of(loss_interval) {
                        continue;
                    }
                    (
                        usize::from(to.0),
                        Event::PeerMessage {
                            from: GatewayId(at as u16),
                            bytes,
                        },
                    )
                }
                _ => continue,
            };
            let more = self.harnesses[to].feed(event);
            queue.extend(more.into_iter().map(|a| (to, a)));
        }
        sent
    }

    /// Sends one request to gateway `at`, then advances all gateways by 20 ms. Returns how many
    /// attempts were sent.
    fn request(
        &mut self,
        at: usize,
        plan: u16,
        units: f64,
        gateway_span: f64,
        loss_interval: u64,
    ) -> usize {
        let (_, actions) = self.harnesses[at].request_with_span(0, plan, 5, units, gateway_span);
        let mut sent = self.deliver(at, actions, loss_interval);
        for n in 0..self.harnesses.len() {
            let actions = self.harnesses[n].advance(20_000);
            sent += self.deliver(n, actions, loss_interval);
        }
        sent
    }
}

/// A customer's quota holds across many gateways, each of which sees only a few of its requests.
/// Lost messages cost little, and restarted quota owners are informed again.
#[test]
fn quota_holds_across_many_gateways() {
    for (loss_interval, restart) in [(0, false), (12, false), (0, true)] {
        let mut fleet = Fleet::new(60);
        let mut used = 0.0;
        for step in 0..300usize {
            used += 2.0 * fleet.request(step * 7 % 60, 1, 2.0, 60.0, loss_interval) as f64;
            if restart && step == 150 {
                for number in 0..60u16 {
                    let s = Settings {
                        gateway_count: 60,
                        gateway_id: GatewayId(number),
                        ..settings()
                    };
                    let harness = &mut fleet.harnesses[usize::from(number)];
                    if number % 3 == 0 {
                        harness.gateway = Gateway::new(s, 9, harness.now);
                        harness.feed(Event::EndpointsChanged(
                            EndpointListKind::Cached,
                            (0..6).map(endpoint).collect(),
                        ));
                    }
                }
            }
        }
        // 6 s at 2 units per second and a burst of 6, of which half may remain unused in the first
        // seconds.
        assert!(
            (10.0..=26.0).contains(&used),
            "{used} units sent, loss interval {loss_interval}"
        );
        assert!(
            fleet.messages_sent < 300 * 8,
            "{} messages sent for 300 requests",
            fleet.messages_sent
        );
    }
}

/// Returns how many of ten one-unit requests of a new customer gateway 2 of three admits.
fn admitted_for_new_customer(fleet: &mut Fleet, customer: u64) -> usize {
    let mut sent = 0;
    for _ in 0..10 {
        let (_, actions) = fleet.harnesses[2].request_with_span(0, 1, customer, 1.0, 3.0);
        sent += fleet.deliver(2, actions, 0);
    }
    sent
}

/// Guards against quota buckets that start nearly empty when a whole fleet starts: with a hundred
/// gateways, 95% of the quota rejections were of customers within their quota. Also guards against
/// a single restarted gateway that starts every bucket full.
#[test]
fn buckets_start_full_unless_peers_report_earlier_use() {
    let mut fleet = Fleet::new(3);
    let first = admitted_for_new_customer(&mut fleet, 5);
    assert!(
        (4..=6).contains(&first),
        "{first} requests sent of a burst of 6 after the whole fleet started"
    );
    for n in 0..3 {
        let actions = fleet.harnesses[n].advance(SECOND / 10);
        fleet.deliver(n, actions, 0);
    }
    let (mut sent_after_restart, settings) = (
        0,
        Settings {
            gateway_id: GatewayId(2),
            ..settings()
        },
    );
    fleet.harnesses[2].gateway = Gateway::new(settings, 9, fleet.harnesses[2].now);
    fleet.harnesses[2].feed(Event::EndpointsChanged(
        EndpointListKind::Cached,
        (0..6).map(endpoint).collect(),
    ));
    for _ in 0..8 {
        sent_after_restart += fleet.request(2, 1, 1.0, 3.0, 0);
    }
    assert!(
        (0..=3).contains(&sent_after_restart),
        "{sent_after_restart} requests sent although peers know that the bucket is nearly empty"
    );
}

/// The same for a customer whose requests come through sixty gateways, each of which sees very few.
#[test]
fn customer_of_many_gateways_gets_its_burst_after_fleet_start() {
    for loss_interval in [0, 14, 3] {
        let mut fleet = Fleet::new(100);
        let sent: usize = (0..12)
            .map(|n| fleet.request(n * 7, 1, 1.0, 60.0, loss_interval))
            .sum();
        // A burst of 6, and 2 units per second for a quarter of a second. With a third of the
        // messages lost, each gateway that hears from no peer admits one more.
        let max_sent = if loss_interval == 3 { 10 } else { 8 };
        assert!(
            (4..=max_sent).contains(&sent),
            "{sent} requests sent, loss interval {loss_interval}"
        );
    }
}

/// Guards against counting the whole past use of a gateway as new after the gateway had reported
/// nothing about the customer for a while. Customers move between gateways in the course of a day,
/// and each move emptied their buckets.
#[test]
fn customer_returning_to_a_gateway_is_not_charged_for_past_use() {
    let mut fleet = Fleet::new(3);
    let request_at = |fleet: &mut Fleet, at: usize, pause: Micros| {
        let (_, actions) = fleet.harnesses[at].request_with_span(0, 1, 5, 1.0, 3.0);
        let sent = fleet.deliver(at, actions, 0);
        for n in 0..3 {
            let actions = fleet.harnesses[n].advance(pause);
            fleet.deliver(n, actions, 0);
        }
        sent
    };
    let admitted = |fleet: &mut Fleet, at, times, pause| {
        (0..times)
            .map(|_| request_at(fleet, at, pause))
            .sum::<usize>()
    };
    // One unit per second at a quota of two: first at one gateway, then at another, then at both.
    assert!(admitted(&mut fleet, 0, 30, SECOND) >= 29);
    assert_eq!(admitted(&mut fleet, 2, 30, SECOND), 30);
    assert_eq!(admitted(&mut fleet, 0, 1, SECOND / 2), 1);
    assert_eq!(
        admitted(&mut fleet, 2, 3, SECOND / 2),
        3,
        "the bucket is nearly full"
    );
}

/// Two quota owners hold most of a ceiling, so a busy gateway gets far more than an even share.
#[test]
fn busy_gateway_gets_the_unused_part_of_the_ceiling() {
    let mut fleet = Fleet::new(60);
    let mut sent = 0;
    for _ in 0..500 {
        sent += fleet.request(17, 2, 1.0, 6.0, 0);
    }
    // 10 s at 6 units per second; an even share among six gateways would be 10 units.
    assert!((20..=72).contains(&sent), "{sent} requests sent");
}

#[test]
fn limit_on_attempts_in_flight_counts_cancelled_ones_until_they_end() {
    let mut harness = Harness::new(settings(), 4);
    let (id, actions) = harness.request(0, 3, 5, 1.0);
    assert_eq!(sent_to(&harness.request(0, 3, 5, 1.0).1).len(), 1);
    assert!(is_rejected(&harness.request(0, 3, 5, 1.0).1));
    harness.feed(Event::ClientDisconnected(id));
    assert!(
        is_rejected(&harness.request(0, 3, 5, 1.0).1),
        "the cancelled attempt is still in flight"
    );
    harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Cancelled);
    assert_eq!(sent_to(&harness.request(0, 3, 5, 1.0).1).len(), 1);
}

#[test]
fn gossip_converges_through_loss_and_repeats() {
    let mut other = Harness::new(
        Settings {
            gateway_id: GatewayId(1),
            ..settings()
        },
        4,
    );
    let mut harness = Harness::new(settings(), 4);
    harness.advance(4 * SECOND);
    other.advance(4 * SECOND);
    harness.request(0, 1, 9, 0.5);
    other.request(0, 1, 9, 2.0);
    // These messages are lost.
    other.advance(200_000);
    other.request(0, 1, 9, 3.0);
    let reported: Vec<Vec<u8>> = other
        .advance(300_000)
        .into_iter()
        .filter_map(|a| {
            if let Action::SendToPeer { bytes, .. } = a {
                Some(bytes)
            } else {
                None
            }
        })
        .collect();
    for bytes in reported.iter().chain(reported.iter().rev()) {
        harness.feed(Event::PeerMessage {
            from: GatewayId(1),
            bytes: bytes.clone(),
        });
    }
    // The bucket holds 6 units less 0.5 used here and 5 at the other gateway, so a request for 3
    // units does not fit although this gateway sent only 0.5.
    assert!(is_rejected(&harness.request(0, 1, 9, 3.0).1));
}

#[test]
fn gossip_reports_every_changed_customer() {
    let mut harness = Harness::new(settings(), 4);
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..20 {
        for n in 0..100 {
            let (id, actions) = harness.request(0, 0, n, 1.0);
            for backend in sent_to(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        for action in harness.advance(100_000) {
            if let Action::SendToPeer { bytes, .. } = action {
                reported
                    .extend((0..100u8).filter(|n| bytes.windows(5).any(|w| w == [*n, 0, 0, 0, 0])));
            }
        }
    }
    assert_eq!(
        reported.len(),
        100,
        "every changed customer must be reported, even if one message cannot hold them all"
    );
}

/// Guards against counting every attempt that peers started in the last half second as still in
/// flight. With answers after 40 ms, a customer at less than half of its limit was rejected at the
/// next gateway it used.
#[test]
fn limit_counts_likely_attempts_in_flight_at_peers_not_all_started_ones() {
    let limited_plan = Plan {
        max_in_flight: 3,
        ..plan(40.0, 80.0)
    };
    let harness = |number| {
        let s = Settings {
            gateway_count: 3,
            gateway_id: GatewayId(number),
            plans: vec![limited_plan.clone(), plan(1e6, 1e6)],
            ..settings()
        };
        Harness::new(s, 6)
    };
    let mut fleet = Fleet {
        harnesses: (0..3).map(harness).collect(),
        messages_sent: 0,
        elapsed: 40_000,
    };
    // Gateway 1 has received answers for other customers.
    for n in 0..20 {
        let (_, actions) = fleet.harnesses[1].request_with_span(0, 1, 100 + n, 1.0, 3.0);
        fleet.deliver(1, actions, 0);
    }
    fleet
        .harnesses
        .iter_mut()
        .for_each(|r| drop(r.advance(4 * SECOND)));
    // About twelve requests per second, most through gateway 0 and every tenth through gateway 1,
    // each answered at once.
    let (mut requests, mut sent) = (0, 0);
    for n in 0..200 {
        let at = usize::from(n % 10 == 9);
        let admitted = fleet.request(at, 0, 1.0, 3.0, 0);
        if at == 1 && n > 20 {
            (requests, sent) = (requests + 1, sent + admitted);
        }
        for n in 0..3 {
            let actions = fleet.harnesses[n].advance(60_000);
            fleet.deliver(n, actions, 0);
        }
    }
    assert_eq!(
        (requests, sent),
        (18, 18),
        "requests within the limit on attempts in flight were rejected"
    );
}

/// Guards against memory that grows without end under ever new customers: beyond the limit, further ones are rejected, and known
/// ones are served. There is room again once others can be forgotten.
#[test]
fn customers_beyond_the_limit_are_rejected_until_others_are_forgotten() {
    const MAX_CUSTOMERS: u64 = 20;
    let mut harness = Harness::new(settings(), 4);
    harness.gateway.set_max_customers(MAX_CUSTOMERS as usize);
    let is_served = |harness: &mut Harness, customer: u64| {
        let (id, actions) = harness.request(0, 1, customer, 1.0);
        for backend in sent_to(&actions) {
            harness.end_attempt(id, 0, backend, Outcome::Ok);
        }
        assert_eq!(sent_to(&actions).is_empty(), is_rejected(&actions));
        !sent_to(&actions).is_empty()
    };
    let served = (1..=3 * MAX_CUSTOMERS).filter(|customer| is_served(&mut harness, *customer));
    let served: Vec<u64> = served.collect::<Vec<_>>();
    assert_eq!(served, (1..=MAX_CUSTOMERS).collect::<Vec<_>>());
    harness.advance(2 * SECOND);
    assert!(is_served(&mut harness, 1), "a known customer is served");
    harness.advance(60 * SECOND);
    assert!(is_served(&mut harness, 2 * MAX_CUSTOMERS));
}
