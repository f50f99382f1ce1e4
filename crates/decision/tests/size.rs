//! Behavior of fleets of up to 300 gateways: effects that are harmless for one gateway but harmful
//! in sum.

mod harness;
mod simulated_fleet;

use simulated_fleet::{FleetConfig, SimulatedFleet, SECOND};
use wrenfork_decision::{BackendRules, Class, Idempotency, Limits, Micros, Plan, Settings};

/// Plans: 0 has a small quota, 1 a quota and a ceiling, 2 practically no limits.
fn settings(gateways: u16) -> Settings {
    let plan = |rate, burst| Plan {
        over_quota_cost: 0.8,
        ..harness::plan(rate, burst)
    };
    let ceiling = Plan {
        ceiling_rate: 8.0,
        ceiling_burst: 16.0,
        ceiling_slack: 1.6,
        ..plan(4.0, 8.0)
    };
    let class = Class {
        latency_objective: SECOND / 2,
        deadline: 2 * SECOND,
        ..harness::class(Idempotency::Idempotent)
    };
    Settings {
        gateway_count: gateways,
        tick: 4_000,
        classes: vec![class],
        plans: vec![plan(1.5, 8.0), ceiling, plan(1e4, 1e4)],
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            peers: true,
            peer_messages_per_s: 40.0,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            max_pending: 20_000,
            ..Limits::default()
        },
        rules: BackendRules {
            answer_slack: 16_000,
            drain_grace: SECOND,
            warm_up_from: 0.3,
            warm_up_time: 10 * SECOND,
            overload_factor: 4.0,
            overload_window: SECOND,
            max_poll_interval: 10 * SECOND,
        },
        ..Settings::default()
    }
}

fn fleet_config(gateways: u16, customers: Vec<(u16, f64)>) -> FleetConfig {
    let gateway_span = (gateways * 7 / 10).max(1);
    FleetConfig {
        settings: settings(gateways),
        backends: 60,
        loss: 0.07,
        customers,
        gateway_span,
        mean_work: SECOND / 10,
        seed: 11,
    }
}

/// Guards against backends that receive no traffic while they warm up. When each of a hundred
/// gateways drew at random whether it might send to a warming backend, 32 warming backends out of
/// 60 got a tenth of the load and the warm ones were overloaded.
#[test]
fn warming_backends_take_load_without_being_overloaded() {
    let mut fleet = SimulatedFleet::new(fleet_config(100, vec![(2, 10.0); 60]));
    fleet.run(3 * SECOND);
    let before = fleet.in_time;
    fleet.restart_backends(28..60);
    let start = fleet.now;
    fleet.run(4 * SECOND);
    let arrivals_at = |n: &usize| {
        fleet.backends[*n]
            .arrivals
            .iter()
            .filter(|t| **t >= start)
            .count()
    };
    let (warm, warming) = (
        (0..28).map(|n| arrivals_at(&n)).sum::<usize>(),
        (28..60).map(|n| arrivals_at(&n)).sum::<usize>(),
    );
    // At 0.3 to 0.6 of their full speed, the 32 warming backends have about half the capacity of
    // the 28 warm ones.
    assert!(
        warming * 4 > warm,
        "{warming} requests sent to 32 warming backends, {warm} to 28 warm backends"
    );
    // Two cores at 0.3 of their speed serve 6 requests of 100 ms per second. Four times that rate
    // for one second overloads the backend.
    let max_arrivals = (28..60)
        .map(|n| fleet.max_arrivals_within(n, SECOND))
        .max()
        .unwrap_or(0);
    assert!(
        max_arrivals < 24,
        "a warming backend received {max_arrivals} requests within a second"
    );
    assert!(
        fleet.in_time - before > 1_500,
        "{} of about 2,400 requests answered within the latency objective",
        fleet.in_time - before
    );
}

/// The window in which a warming backend received most, relative to its budget.
#[derive(Debug)]
struct FullestWindow {
    /// Arrivals divided by the upper bound of the check.
    fill_ratio: f64,
    arrivals: usize,
    budget: f64,
    gateways: u16,
}

/// Runs an overloaded fleet in which five sixths of the backends restart and a third of the
/// gateways stop and restart without state. Customers ask for three times the capacity of all warm
/// backends.
fn run_with_restarts_under_load(
    gateways: u16,
    backends: u64,
    work: Micros,
    loss: f64,
) -> SimulatedFleet {
    let rate = 3.0 * 20.0 * (SECOND / 10) as f64 / work as f64;
    // Each customer uses a few gateways.
    let customers = vec![(2, rate / 4.0); backends as usize * 4];
    let gateway_span = (gateways / 10).max(2);
    let config = FleetConfig {
        backends,
        loss,
        mean_work: work,
        gateway_span,
        ..fleet_config(gateways, customers)
    };
    let mut fleet = SimulatedFleet::new(config);
    fleet.run(2 * SECOND);
    // The remaining sixth cannot take the whole load, so the warming backends are under pressure.
    fleet.restart_backends(0..(backends as usize * 5 / 6));
    fleet.run(SECOND);
    // A third of the gateways stop, and restart without state.
    let third = || (0..usize::from(gateways)).step_by(3);
    third().for_each(|g| fleet.stop_gateway(g));
    fleet.run(SECOND);
    third().for_each(|g| fleet.start_gateway(g));
    fleet.run(4 * SECOND);
    fleet
}

/// Returns the fullest window of each restarted backend and checks that none exceeds its budget by
/// more than random variation: twice the square root of the budget, plus 2.
fn fullest_windows(gateways: u16, backends: u64, work: Micros, loss: f64) -> Vec<FullestWindow> {
    let fleet = run_with_restarts_under_load(gateways, backends, work, loss);
    let warming = 0..(backends as usize * 5 / 6);
    let window = |n| {
        let (arrivals, budget) = fleet.fullest_warm_up_window(n);
        let max_arrivals = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            arrivals as f64 <= max_arrivals,
            "{arrivals} arrivals, at most {max_arrivals:.1} allowed (budget {budget:.1}), \
             {gateways} gateways, message loss {loss}"
        );
        FullestWindow {
            fill_ratio: arrivals as f64 / max_arrivals,
            arrivals,
            budget,
            gateways,
        }
    };
    warming.map(window).collect()
}

/// Guards against gateways that each stay within their share of a warming backend's budget but
/// exceed it in sum. Causes: the minimum that each gateway may send, uneven traffic, lost peer
/// messages, and gateways that join or leave. Beyond a budget of N, only 2 * sqrt(N) + 2 arrivals
/// count as random variation.
#[test]
fn warming_backends_stay_within_budget_at_any_fleet_size() {
    let mut all_windows = Vec::new();
    // With more gateways than slots, each gateway may still have one attempt in flight, so the
    // concurrency limit alone does not enforce the budget.
    let sizes = [
        (3u16, 12u64),
        (10, 12),
        (30, 12),
        (300, 60),
        (300, 12),
        (300, 6),
    ];
    for (gateways, backends) in sizes {
        for (work, loss) in [
            (SECOND / 10, 0.07),
            (SECOND / 10, 0.5),
            (SECOND * 4 / 10, 0.07),
        ] {
            all_windows.extend(fullest_windows(gateways, backends, work, loss));
        }
    }
    let fullest = |matching: &dyn Fn(&&FullestWindow) -> bool| {
        let windows = all_windows.iter().filter(matching);
        windows
            .max_by(|a, b| a.fill_ratio.total_cmp(&b.fill_ratio))
            .unwrap()
    };
    for g in [3, 10, 30, 300] {
        let window = fullest(&|w| w.gateways == g);
        let max_arrivals = window.arrivals as f64 / window.fill_ratio;
        println!(
            "{g} gateways: {} arrivals of {max_arrivals:.1} allowed, budget {:.1}",
            window.arrivals, window.budget
        );
    }
    // Without pressure the check would pass trivially. Without a budget 26 requests arrived where
    // 17.8 were allowed.
    let fullest_of_all = fullest(&|_| true);
    assert!(
        fullest_of_all.fill_ratio > 0.5,
        "no warming backend was under pressure: {fullest_of_all:?}"
    );
}

/// Guards against rejecting requests for which a ceiling has no tokens at the moment. Ceilings
/// start empty when a fleet starts and refill at twice the quota rate, so half of these customers'
/// requests were rejected in the first second. Also checks that ceilings hold with lost messages
/// and after half of the gateways restart.
#[test]
fn requests_wait_for_ceiling_refill_and_ceilings_hold_through_loss_and_restarts() {
    for (loss, min_share) in [(0.07, 0.55), (0.3, 0.4)] {
        let mut fleet = SimulatedFleet::new(FleetConfig {
            loss,
            ..fleet_config(100, vec![(1, 2.0); 150])
        });
        fleet.run(2 * SECOND);
        let share = fleet.in_time as f64 / fleet.requests as f64;
        assert!(
            share > min_share,
            "fraction {share} of the requests of the first two seconds answered in time, \
             message loss {loss}"
        );
        // Every fifth customer asks for far more than its ceiling.
        fleet
            .config
            .customers
            .iter_mut()
            .step_by(5)
            .for_each(|c| c.1 = 20.0);
        fleet.run(3 * SECOND);
        (0..100).step_by(2).for_each(|g| fleet.stop_gateway(g));
        fleet.run(SECOND);
        (0..100).step_by(2).for_each(|g| fleet.start_gateway(g));
        fleet.run(3 * SECOND);
        let worst = (0..150)
            .map(|c| fleet.max_excess(c, 8.0, 16.0))
            .fold(0.0, f64::max);
        assert!(
            worst <= 1.6,
            "a customer exceeded its ceiling by {worst} units, message loss {loss}"
        );
    }
}

/// Guards against peer messages that overflow the inboxes as a fleet grows. Gateways sent six
/// messages per request regardless of the limit of their peers, and a third of the messages were
/// lost at the start. Limits: each gateway sends at most 34 messages per second, where each accepts
/// 40, and at most 10% are lost besides the 7% that the network loses.
#[test]
fn message_rate_per_gateway_does_not_grow_with_the_fleet() {
    for gateways in [3u16, 10, 30, 100] {
        let customers = vec![(0, 0.5); usize::from(gateways) * 16];
        let mut fleet = SimulatedFleet::new(fleet_config(gateways, customers));
        fleet.run(6 * SECOND);
        let sent = fleet.messages as f64 / 6.0 / f64::from(gateways);
        assert!(
            sent <= 34.0,
            "each of {gateways} gateways sent {sent} messages per second"
        );
        let lost = 1.0 - fleet.delivered as f64 / fleet.messages as f64;
        assert!(
            lost <= 0.17,
            "fraction {lost} of the messages lost among {gateways} gateways"
        );
    }
}

/// Guards against a concurrency limit of two or three slots per gateway, which random variation
/// alone exceeds now and then: a quarter of the requests were rejected although hardly any backend
/// was under pressure.
#[test]
fn lightly_loaded_fleet_rejects_no_requests_for_lack_of_slots() {
    let mut fleet = SimulatedFleet::new(fleet_config(100, vec![(2, 10.0); 60]));
    fleet.run(6 * SECOND);
    let share = fleet.in_time as f64 / fleet.requests as f64;
    assert!(
        share > 0.97,
        "fraction {share} of the requests answered in time"
    );
}

/// Guards against a silent zone that each gateway detects on its own, backend by backend, while the
/// attempts in flight there occupy the slots that other backends could serve.
#[test]
fn gateways_detect_a_silent_zone_jointly() {
    let mut fleet = SimulatedFleet::new(fleet_config(100, vec![(2, 6.0); 60]));
    fleet.run(2 * SECOND);
    (0..60)
        .step_by(2)
        .for_each(|n| fleet.backends[n].silent = true);
    fleet.run(2 * SECOND);
    let start = fleet.now;
    let (requests, in_time) = (fleet.requests, fleet.in_time);
    fleet.run(2 * SECOND);
    let lost: usize = (0..60)
        .step_by(2)
        .map(|n| {
            fleet.backends[n]
                .arrivals
                .iter()
                .filter(|t| **t > start)
                .count()
        })
        .sum();
    assert!(
        lost < 60,
        "{lost} attempts sent within two seconds to a zone that had been silent for two seconds"
    );
    let share = (fleet.in_time - in_time) as f64 / (fleet.requests - requests) as f64;
    assert!(
        share > 0.8,
        "fraction {share} of the requests answered in time with half of the backends"
    );
}

/// Guards against connection counts that grow with the fleet. When each gateway sent to 32 of 60
/// backends, a hundred gateways held half of all possible connections and used each only once every
/// few seconds. Each gateway must use few backends, all backends must be used by similar numbers of
/// gateways, and most pairs must survive a restart of other backends.
#[test]
fn each_gateway_uses_few_backends_and_all_backends_are_used() {
    let mut fleet = SimulatedFleet::new(fleet_config(100, vec![(2, 10.0); 60]));
    fleet.run(6 * SECOND);
    let gateways_per_backend: Vec<usize> = fleet.backends.iter().map(|s| s.senders.len()).collect();
    let (pairs, min_gateways, max_gateways) = (
        gateways_per_backend.iter().sum::<usize>(),
        gateways_per_backend.iter().min(),
        gateways_per_backend.iter().max(),
    );
    assert!(
        pairs <= 100 * 14,
        "{pairs} pairs of a gateway and a backend it sends to"
    );
    assert!(
        min_gateways >= Some(&7) && max_gateways <= Some(&36),
        "backends receive from {min_gateways:?} to {max_gateways:?} gateways"
    );
    let before: Vec<_> = fleet.backends[..24]
        .iter()
        .map(|s| s.senders.clone())
        .collect();
    fleet.restart_backends(24..60);
    fleet.run(4 * SECOND);
    let new_pairs = fleet.backends[..24]
        .iter()
        .zip(&before)
        .map(|(s, b)| s.senders.difference(b).count())
        .sum::<usize>();
    assert!(
        new_pairs <= 100,
        "{new_pairs} new pairs with backends that did not restart"
    );
}

/// Guards against rejecting customers far within their quotas after a lost message. The answer of
/// the second quota owner was ignored, and the estimated use at other gateways took the one request
/// that a gateway may admit on its own.
#[test]
fn customers_within_quota_are_served_despite_message_loss() {
    let mut fleet = SimulatedFleet::new(fleet_config(100, vec![(0, 0.5); 1600]));
    fleet.run(10 * SECOND);
    let share = fleet.rejected as f64 / fleet.requests as f64;
    assert!(
        share < 0.05,
        "fraction {share} of the requests rejected at a third of the quotas"
    );
}

/// Guards against messages to peers when the settings forbid them: a quota owner that was never
/// asked counted as silent.
#[test]
fn no_peer_messages_are_sent_when_peers_are_disabled() {
    let mut config = fleet_config(100, vec![(2, 5.0); 60]);
    config.settings.limits.peers = false;
    let mut fleet = SimulatedFleet::new(config);
    fleet.run(4 * SECOND);
    assert_eq!(fleet.messages, 0);
    let share = fleet.in_time as f64 / fleet.requests as f64;
    assert!(
        share > 0.95,
        "fraction {share} of the requests answered in time"
    );
}

/// Prints the table of `docs/measurements/fleet-size.md`. It has no assertions because times differ
/// between machines.
#[test]
#[ignore = "a measurement; run with --ignored --nocapture"]
fn table_by_size() {
    println!("| ingresses | messages a request | sent by each, a second | lost | pairs with a backend | in time | CPU us |");
    for gateways in [3u16, 10, 30, 100] {
        let mut fleet = SimulatedFleet::new(fleet_config(
            gateways,
            vec![(0, 0.5); usize::from(gateways) * 16],
        ));
        let started = std::time::Instant::now();
        fleet.run(10 * SECOND);
        let cpu = started.elapsed().as_micros() as f64 / fleet.requests as f64;
        let (requests, messages) = (fleet.requests as f64, fleet.messages as f64);
        let pairs: usize = fleet.backends.iter().map(|s| s.senders.len()).sum();
        println!(
            "| {gateways} | {:.1} | {:.1} | {:.2} | {:.1} | {:.3} | {cpu:.0} |",
            messages / requests,
            messages / 10.0 / f64::from(gateways),
            1.0 - fleet.delivered as f64 / messages,
            pairs as f64 / 60.0,
            fleet.in_time as f64 / requests,
        );
    }
}
