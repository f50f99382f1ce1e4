//! Quotas, caps and ceilings over several gateways, whose messages the tests carry.

mod rig;

use rig::{listed, plan, refused, sends, settings, Rig, S};
use wrenfork_decision::{
    Action, EndpointListKind, Event, Gateway, GatewayId, Micros, Outcome, Plan, Settings,
};

#[test]
fn a_request_inside_the_quota_is_sent_and_one_beyond_it_is_rejected() {
    let mut rig = Rig::with(settings(), 4);
    let mut sent = 0;
    for _ in 0..8 {
        let (id, actions) = rig.ask(0, 1, 9, 1.0);
        assert_eq!(sends(&actions).is_empty(), refused(&actions));
        for backend in sends(&actions) {
            rig.settle(id, 0, backend, Outcome::Ok);
            sent += 1;
        }
    }
    assert!(
        (5..=6).contains(&sent),
        "{sent} of a burst of 6, less what others may have used unheard"
    );
    rig.pass(2 * S);
    assert_eq!(
        sends(&rig.ask(0, 1, 9, 1.0).1).len(),
        1,
        "the store fills at the rate"
    );
}

/// Gateways that hear nothing of each other keep the ceiling together, from nothing at each start.
#[test]
fn silence_and_restarts_mint_no_ceiling() {
    for gateways in [3, 40, 200] {
        let settings = |me| Settings {
            gateway_count: gateways,
            gateway_id: GatewayId(me),
            ..settings()
        };
        let total: usize = (0..gateways)
            .map(|me| {
                let mut rig = Rig::with(settings(me), 4);
                let mut sent = 0;
                for second in 0..10 {
                    for _ in 0..10 {
                        let (id, mut actions) = rig.ask_of(0, 2, 5, 1.0, f64::from(gateways));
                        actions.extend(rig.pass(100_000));
                        for backend in sends(&actions) {
                            sent += 1;
                            rig.settle(id, 0, backend, Outcome::Ok);
                        }
                    }
                    if second == 4 {
                        rig.gateway = Gateway::new(settings(me), 8, rig.now);
                        rig.feed(Event::EndpointsChanged(
                            EndpointListKind::Cached,
                            (0..4).map(listed).collect(),
                        ));
                    }
                }
                sent
            })
            .sum();
        assert!(
            total <= 60,
            "{gateways} gateways: {total} sent in 10 s at 6 units a second"
        );
        assert!(gateways > 3 || total > 30, "{total}");
    }
}

/// Many gateways, their messages carried by the test.
struct Fleet {
    rigs: Vec<Rig>,
    carried: u64,
    /// How long an answer takes.
    elapsed: Micros,
}

impl Fleet {
    fn new(gateways: u16) -> Fleet {
        let rig = |me| {
            Rig::with(
                Settings {
                    gateway_count: gateways,
                    gateway_id: GatewayId(me),
                    ..settings()
                },
                6,
            )
        };
        Fleet {
            rigs: (0..gateways).map(rig).collect(),
            carried: 0,
            elapsed: 100_000,
        }
    }

    /// Carries out what gateway `from` asked for; answers come at once. Returns how many were sent
    /// on. Every `lossy`th message is lost, unless that is 0.
    fn carry(&mut self, from: usize, actions: Vec<Action>, lossy: u64) -> usize {
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
                    self.carried += 1;
                    if lossy > 0 && self.carried.is_multiple_of(lossy) {
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
            let more = self.rigs[to].feed(event);
            queue.extend(more.into_iter().map(|a| (to, a)));
        }
        sent
    }

    /// One request at gateway `at`, and time for it.
    fn ask(&mut self, at: usize, plan: u16, units: f64, gateway_span: f64, lossy: u64) -> usize {
        let (_, actions) = self.rigs[at].ask_of(0, plan, 5, units, gateway_span);
        let mut sent = self.carry(at, actions, lossy);
        for n in 0..self.rigs.len() {
            let actions = self.rigs[n].pass(20_000);
            sent += self.carry(n, actions, lossy);
        }
        sent
    }
}

/// A customer's quota holds over many gateways, each of which sees a request now and then: none of
/// them could know alone. Lost messages cost little; a home that restarts is told again.
#[test]
fn a_quota_holds_over_many_gateways() {
    for (lossy, restart) in [(0, false), (12, false), (0, true)] {
        let mut fleet = Fleet::new(60);
        let mut used = 0.0;
        for step in 0..300usize {
            used += 2.0 * fleet.ask(step * 7 % 60, 1, 2.0, 60.0, lossy) as f64;
            if restart && step == 150 {
                for me in 0..60u16 {
                    let s = Settings {
                        gateway_count: 60,
                        gateway_id: GatewayId(me),
                        ..settings()
                    };
                    let rig = &mut fleet.rigs[usize::from(me)];
                    if me % 3 == 0 {
                        rig.gateway = Gateway::new(s, 9, rig.now);
                        rig.feed(Event::EndpointsChanged(
                            EndpointListKind::Cached,
                            (0..6).map(listed).collect(),
                        ));
                    }
                }
            }
        }
        // 6 s at 2 units a second, and a burst of 6, half of which the first seconds may leave
        // unused.
        assert!(
            (10.0..=26.0).contains(&used),
            "{used} units with one message in {lossy} lost"
        );
        assert!(
            fleet.carried < 300 * 8,
            "{} messages for 300 requests",
            fleet.carried
        );
    }
}

/// How many of ten requests for a unit each, of a customer seen for the first time, gateway 2 of
/// three lets in.
fn first_come(fleet: &mut Fleet, customer: u64) -> usize {
    let mut sent = 0;
    for _ in 0..10 {
        let (_, actions) = fleet.rigs[2].ask_of(0, 1, customer, 1.0, 3.0);
        sent += fleet.carry(2, actions, 0);
    }
    sent
}

/// Guards against stores that begin nearly empty when a whole fleet starts (0.95 of what was
/// refused at the quota with a hundred gateways was inside it), and against one that restarts alone
/// and fills each store anew.
#[test]
fn buckets_begin_full_and_an_older_gateway_knows_better() {
    let mut fleet = Fleet::new(3);
    let first = first_come(&mut fleet, 5);
    assert!(
        (4..=6).contains(&first),
        "{first} of a burst of 6 where all have just started"
    );
    for n in 0..3 {
        let actions = fleet.rigs[n].pass(S / 10);
        fleet.carry(n, actions, 0);
    }
    let (mut reborn, s) = (
        0,
        Settings {
            gateway_id: GatewayId(2),
            ..settings()
        },
    );
    fleet.rigs[2].gateway = Gateway::new(s, 9, fleet.rigs[2].now);
    fleet.rigs[2].feed(Event::EndpointsChanged(
        EndpointListKind::Cached,
        (0..6).map(listed).collect(),
    ));
    for _ in 0..8 {
        reborn += fleet.ask(2, 1, 1.0, 3.0, 0);
    }
    assert!(
        (0..=3).contains(&reborn),
        "{reborn}, though the others know that the store is nearly empty"
    );
}

/// The same with a customer whose requests come in through sixty gateways, each of which sees
/// hardly any.
#[test]
fn a_customer_of_many_gateways_has_its_burst_from_the_start() {
    for lossy in [0, 14, 3] {
        let mut fleet = Fleet::new(100);
        let sent: usize = (0..12).map(|n| fleet.ask(n * 7, 1, 1.0, 60.0, lossy)).sum();
        // A burst of 6, and two a second for a quarter of a second; with a third of all messages
        // lost there is one more at each gateway that hears nobody.
        let most = if lossy == 3 { 10 } else { 8 };
        assert!(
            (4..=most).contains(&sent),
            "{sent} with one message in {lossy} lost"
        );
    }
}

/// Guards against taking all that a gateway ever let through for new because it was silent on the
/// customer for a while: on long days customers move between gateways, and each move emptied their
/// store.
#[test]
fn a_customer_that_comes_back_to_a_gateway_is_not_charged_for_all_its_past() {
    let mut fleet = Fleet::new(3);
    let ask = |fleet: &mut Fleet, at: usize, pause: Micros| {
        let (_, actions) = fleet.rigs[at].ask_of(0, 1, 5, 1.0, 3.0);
        let sent = fleet.carry(at, actions, 0);
        for n in 0..3 {
            let actions = fleet.rigs[n].pass(pause);
            fleet.carry(n, actions, 0);
        }
        sent
    };
    let through = |fleet: &mut Fleet, at, times, pause| {
        (0..times).map(|_| ask(fleet, at, pause)).sum::<usize>()
    };
    // One unit a second, of two that the quota has: at one gateway, then at another, then at both.
    assert!(through(&mut fleet, 0, 30, S) >= 29);
    assert_eq!(through(&mut fleet, 2, 30, S), 30);
    assert_eq!(through(&mut fleet, 0, 1, S / 2), 1);
    assert_eq!(
        through(&mut fleet, 2, 3, S / 2),
        3,
        "its store is all but full"
    );
}

/// Most of a ceiling lies with two of its gateways: a busy one gets far more than an even share.
#[test]
fn a_busy_gateway_gets_the_ceiling_that_others_leave() {
    let mut fleet = Fleet::new(60);
    let mut sent = 0;
    for _ in 0..500 {
        sent += fleet.ask(17, 2, 1.0, 6.0, 0);
    }
    // 10 s at 6 units a second; an even share of six gateways would be 10.
    assert!((20..=72).contains(&sent), "{sent}");
}

#[test]
fn a_cap_on_attempts_in_flight_counts_cancelled_ones_until_they_end() {
    let mut rig = Rig::with(settings(), 4);
    let (id, actions) = rig.ask(0, 3, 5, 1.0);
    assert_eq!(sends(&rig.ask(0, 3, 5, 1.0).1).len(), 1);
    assert!(refused(&rig.ask(0, 3, 5, 1.0).1));
    rig.feed(Event::ClientDisconnected(id));
    assert!(
        refused(&rig.ask(0, 3, 5, 1.0).1),
        "called off, yet still out"
    );
    rig.settle(id, 0, sends(&actions)[0], Outcome::Cancelled);
    assert_eq!(sends(&rig.ask(0, 3, 5, 1.0).1).len(), 1);
}

#[test]
fn gossip_converges_through_loss_and_repeats() {
    let mut other = Rig::with(
        Settings {
            gateway_id: GatewayId(1),
            ..settings()
        },
        4,
    );
    let mut rig = Rig::with(settings(), 4);
    rig.pass(4 * S);
    other.pass(4 * S);
    rig.ask(0, 1, 9, 0.5);
    other.ask(0, 1, 9, 2.0);
    other.pass(200_000); // these messages are lost
    other.ask(0, 1, 9, 3.0);
    let told: Vec<Vec<u8>> = other
        .pass(300_000)
        .into_iter()
        .filter_map(|a| {
            if let Action::SendToPeer { bytes, .. } = a {
                Some(bytes)
            } else {
                None
            }
        })
        .collect();
    for bytes in told.iter().chain(told.iter().rev()) {
        rig.feed(Event::PeerMessage {
            from: GatewayId(1),
            bytes: bytes.clone(),
        });
    }
    // 6 units less 0.5 here and 5 there: a request of 3 finds no room, though this gateway sent
    // half a unit.
    assert!(refused(&rig.ask(0, 1, 9, 3.0).1));
}

#[test]
fn gossip_tells_every_customer_in_turn() {
    let mut rig = Rig::with(settings(), 4);
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..20 {
        for n in 0..100 {
            let (id, actions) = rig.ask(0, 0, n, 1.0);
            for backend in sends(&actions) {
                rig.settle(id, 0, backend, Outcome::Ok);
            }
        }
        for action in rig.pass(100_000) {
            if let Action::SendToPeer { bytes, .. } = action {
                told.extend((0..100u8).filter(|n| bytes.windows(5).any(|w| w == [*n, 0, 0, 0, 0])));
            }
        }
    }
    assert_eq!(
        told.len(),
        100,
        "with more changed customers than a message holds, none is left out"
    );
}

/// Guards against taking all that peers began in half a second for still out: with answers of a
/// tenth of that a customer under half of its cap was refused wherever it came next.
#[test]
fn a_cap_counts_what_peers_likely_have_in_flight_and_not_all_that_they_began() {
    let capped = Plan {
        max_in_flight: 3,
        ..plan(40.0, 80.0)
    };
    let rig = |me| {
        let s = Settings {
            gateway_count: 3,
            gateway_id: GatewayId(me),
            plans: vec![capped.clone(), plan(1e6, 1e6)],
            ..settings()
        };
        Rig::with(s, 6)
    };
    let mut fleet = Fleet {
        rigs: (0..3).map(rig).collect(),
        carried: 0,
        elapsed: 40_000,
    };
    // The other gateway has had answers, of other customers.
    for n in 0..20 {
        let (_, actions) = fleet.rigs[1].ask_of(0, 1, 100 + n, 1.0, 3.0);
        fleet.carry(1, actions, 0);
    }
    fleet.rigs.iter_mut().for_each(|r| drop(r.pass(4 * S)));
    // Twelve a second through one gateway, answered at once; at another now and then.
    let (mut asked, mut sent) = (0, 0);
    for n in 0..200 {
        let at = usize::from(n % 10 == 9);
        let through = fleet.ask(at, 0, 1.0, 3.0, 0);
        if at == 1 && n > 20 {
            (asked, sent) = (asked + 1, sent + through);
        }
        for n in 0..3 {
            let actions = fleet.rigs[n].pass(60_000);
            fleet.carry(n, actions, 0);
        }
    }
    assert_eq!((asked, sent), (18, 18), "refused under its cap");
}
