//! A hundred gateways and sixty backends: what each does that is harmless alone and harmful when a
//! hundred do it.

mod rig;
mod world;

use world::{Plot, World, S};
use wrenfork_decision::{BackendRules, Class, Idempotency, Limits, Micros, Plan, Settings};

/// Three plans: small with a quota, one with a ceiling beside it, and one without limits that
/// matter.
fn settings(gateways: u16) -> Settings {
    let plan = |rate, burst| Plan {
        over_quota_cost: 0.8,
        ..rig::plan(rate, burst)
    };
    let ceiling = Plan {
        ceiling_rate: 8.0,
        ceiling_burst: 16.0,
        ceiling_slack: 1.6,
        ..plan(4.0, 8.0)
    };
    let class = Class {
        latency_objective: S / 2,
        deadline: 2 * S,
        ..rig::class(Idempotency::Idempotent)
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
            max_retry_after: 2 * S,
            max_pending: 20_000,
            ..Limits::default()
        },
        rules: BackendRules {
            answer_slack: 16_000,
            drain_grace: S,
            warm_up_from: 0.3,
            warm_up_time: 10 * S,
            overload_factor: 4.0,
            overload_window: S,
            max_poll_interval: 10 * S,
        },
        ..Settings::default()
    }
}

fn plot(gateways: u16, customers: Vec<(u16, f64)>) -> Plot {
    let gateway_span = (gateways * 7 / 10).max(1);
    Plot {
        settings: settings(gateways),
        backends: 60,
        loss: 0.07,
        customers,
        gateway_span,
        work: S / 10,
        seed: 11,
    }
}

/// Guards against cold backends that nobody uses: a hundred gateways drew for each of them who
/// might send it one, so seldom that 32 cold ones of 60 had a tenth of the load, and the warm ones
/// jammed.
#[test]
fn cold_backends_carry_their_part_and_none_is_pushed_over() {
    let mut world = World::new(plot(100, vec![(2, 10.0); 60]));
    world.run(3 * S);
    let before = world.in_time;
    world.replace(28..60);
    let start = world.now;
    world.run(4 * S);
    let within = |n: &usize| {
        world.servers[*n]
            .came
            .iter()
            .filter(|t| **t >= start)
            .count()
    };
    let (warm, cold) = (
        (0..28).map(|n| within(&n)).sum::<usize>(),
        (28..60).map(|n| within(&n)).sum::<usize>(),
    );
    // At a third to two thirds of a warm one's speed: 32 of them are worth about half as much as
    // the 28.
    assert!(
        cold * 4 > warm,
        "{cold} to 32 cold ones, {warm} to 28 warm ones"
    );
    // Two cores at 0.3 of their speed do 6 a second of what takes 100 ms; four times that for a
    // second is too much.
    let most = (28..60).map(|n| world.most_within(n, S)).max().unwrap_or(0);
    assert!(most < 24, "{most} within a second at one cold backend");
    assert!(
        world.in_time - before > 1_500,
        "{} of some 2,400 in time",
        world.in_time - before
    );
}

/// What a backend that warms up got in its fullest window, against its budget.
#[derive(Debug)]
struct FullestWindow {
    /// What came, as a part of the most that may.
    filled: f64,
    came: usize,
    budget: f64,
    gateways: u16,
}

/// A world that is pressed while most of its backends start anew and a third of its gateways comes
/// and goes; it asks for three times what all can do once they are warm.
fn replaced_under_load(gateways: u16, backends: u64, work: Micros, loss: f64) -> World {
    let rate = 3.0 * 20.0 * (S / 10) as f64 / work as f64;
    // Each customer comes through a few gateways.
    let customers = vec![(2, rate / 4.0); backends as usize * 4];
    let gateway_span = (gateways / 10).max(2);
    let plot = Plot {
        backends,
        loss,
        work,
        gateway_span,
        ..plot(gateways, customers)
    };
    let mut world = World::new(plot);
    world.run(2 * S);
    // All but a sixth: those that are warm cannot take the place of the others, and the cold ones
    // are pressed.
    world.replace(0..(backends as usize * 5 / 6));
    world.run(S);
    // A third of the gateways leaves, and comes back knowing nothing.
    let third = || (0..usize::from(gateways)).step_by(3);
    third().for_each(|g| world.kill(g));
    world.run(S);
    third().for_each(|g| world.start(g));
    world.run(4 * S);
    world
}

/// The fullest windows of such a world; none may go beyond its budget but by chance.
fn fullest_windows(gateways: u16, backends: u64, work: Micros, loss: f64) -> Vec<FullestWindow> {
    let world = replaced_under_load(gateways, backends, work, loss);
    let cold = 0..(backends as usize * 5 / 6);
    let window = |n| {
        let (came, budget) = world.fullest_cold_window(n);
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            came as f64 <= most,
            "{came} of {most:.1} (N {budget:.1}), {gateways} gateways, loss {loss}"
        );
        FullestWindow {
            filled: came as f64 / most,
            came,
            budget,
            gateways,
        }
    };
    cold.map(window).collect()
}

/// Guards against gateways that each keep to their part of a cold backend's budget and pass it
/// together: by chance, since each has a floor, by uneven traffic, by what peers' messages do not
/// tell, or by those that join and leave. Of the budget N only twice its root and 2 are put down to
/// chance.
#[test]
fn the_sum_of_what_warming_backends_get_keeps_to_their_budget_at_any_size() {
    let mut seen = Vec::new();
    // With more gateways than places each may still have one out: the bound on what is out does not
    // keep a budget there.
    let sizes = [
        (3u16, 12u64),
        (10, 12),
        (30, 12),
        (300, 60),
        (300, 12),
        (300, 6),
    ];
    for (gateways, backends) in sizes {
        for (work, loss) in [(S / 10, 0.07), (S / 10, 0.5), (S * 4 / 10, 0.07)] {
            seen.extend(fullest_windows(gateways, backends, work, loss));
        }
    }
    let fullest = |of: &dyn Fn(&&FullestWindow) -> bool| {
        let windows = seen.iter().filter(of);
        windows
            .max_by(|a, b| a.filled.total_cmp(&b.filled))
            .unwrap()
    };
    for g in [3, 10, 30, 300] {
        let of = fullest(&|w| w.gateways == g);
        let most = of.came as f64 / of.filled;
        println!(
            "{g} gateways: {} of {most:.1} allowed at a budget of {:.1}",
            of.came, of.budget
        );
    }
    // They are pressed, or the bound would hold for want of trying: without a budget 26 of 17.8
    // came.
    let all = fullest(&|_| true);
    assert!(all.filled > 0.5, "{all:?}");
}

/// Guards against refusing what a ceiling has no room for this instant: where a fleet starts,
/// ceilings count from nothing and fill at twice the quota, so that in its first second half of
/// their customers' requests were refused. And against a ceiling passed, whatever is lost, and with
/// half of the gateways restarted at once.
#[test]
fn ceilings_fill_while_requests_wait_and_hold_through_loss_and_restarts() {
    for (loss, least) in [(0.07, 0.55), (0.3, 0.4)] {
        let mut world = World::new(Plot {
            loss,
            ..plot(100, vec![(1, 2.0); 150])
        });
        world.run(2 * S);
        let share = world.in_time as f64 / world.asked as f64;
        assert!(
            share > least,
            "{share} of the requests of the first two seconds with {loss} lost"
        );
        // Some ask for far more than their ceiling.
        world
            .plot
            .customers
            .iter_mut()
            .step_by(5)
            .for_each(|c| c.1 = 20.0);
        world.run(3 * S);
        (0..100).step_by(2).for_each(|g| world.kill(g));
        world.run(S);
        (0..100).step_by(2).for_each(|g| world.start(g));
        world.run(3 * S);
        let worst = (0..150)
            .map(|c| world.beyond(c, 8.0, 16.0))
            .fold(0.0, f64::max);
        assert!(
            worst <= 1.6,
            "{worst} units beyond a ceiling with {loss} lost"
        );
    }
}

/// Guards against messages that outgrow the inboxes as a fleet grows: an ingress sent six for a
/// request, whatever its peers took in, and a third of them were lost at the start. Stated
/// beforehand: no more than 34 a second from each at any size, of 40 that each takes in, and with
/// one in fourteen lost on the way at most one in ten besides.
#[test]
fn messages_stay_flat_as_the_fleet_grows() {
    for gateways in [3u16, 10, 30, 100] {
        let customers = vec![(0, 0.5); usize::from(gateways) * 16];
        let mut world = World::new(plot(gateways, customers));
        world.run(6 * S);
        let sent = world.messages as f64 / 6.0 / f64::from(gateways);
        assert!(
            sent <= 34.0,
            "{sent} messages a second from each of {gateways}"
        );
        let lost = 1.0 - world.delivered as f64 / world.messages as f64;
        assert!(lost <= 0.17, "{lost} of the messages lost among {gateways}");
    }
}

/// Guards against a bound on what is out that leaves a gateway two or three places, though chance
/// alone brings it more now and then: a quarter of the requests were refused while hardly anything
/// was pressed.
#[test]
fn a_calm_fleet_refuses_nobody_for_want_of_a_place() {
    let mut world = World::new(plot(100, vec![(2, 10.0); 60]));
    world.run(6 * S);
    let share = world.in_time as f64 / world.asked as f64;
    assert!(share > 0.97, "{share} in time");
}

/// Guards against a zone that is gone without a word: each gateway learned of each backend by
/// itself, and what was out there held the places that the others were free to fill.
#[test]
fn a_silent_zone_is_found_out_together() {
    let mut world = World::new(plot(100, vec![(2, 6.0); 60]));
    world.run(2 * S);
    (0..60)
        .step_by(2)
        .for_each(|n| world.servers[n].silent = true);
    world.run(2 * S);
    let start = world.now;
    let (asked, in_time) = (world.asked, world.in_time);
    world.run(2 * S);
    let lost: usize = (0..60)
        .step_by(2)
        .map(|n| world.servers[n].came.iter().filter(|t| **t > start).count())
        .sum();
    assert!(
        lost < 60,
        "{lost} attempts at a zone that has been silent for two seconds, in two more"
    );
    let share = (world.in_time - in_time) as f64 / (world.asked - asked) as f64;
    assert!(share > 0.8, "{share} in time with half of the backends");
}

/// Guards against connections that grow with the fleet: each gateway sent to 32 of 60 backends, and
/// a hundred of them held half of all connections there could be, used once in some seconds each.
/// Few for each, yet even over the backends, and most of them the same ones after a release.
#[test]
fn each_gateway_keeps_to_a_few_backends_and_all_are_kept_to() {
    let mut world = World::new(plot(100, vec![(2, 10.0); 60]));
    world.run(6 * S);
    let spread: Vec<usize> = world.servers.iter().map(|s| s.from.len()).collect();
    let (all, least, most) = (
        spread.iter().sum::<usize>(),
        spread.iter().min(),
        spread.iter().max(),
    );
    assert!(all <= 100 * 14, "{all} pairs of a gateway and a backend");
    assert!(
        least >= Some(&7) && most <= Some(&36),
        "between {least:?} and {most:?} gateways at a backend"
    );
    let before: Vec<_> = world.servers[..24].iter().map(|s| s.from.clone()).collect();
    world.replace(24..60);
    world.run(4 * S);
    let stayed = world.servers[..24]
        .iter()
        .zip(&before)
        .map(|(s, b)| s.from.difference(b).count())
        .sum::<usize>();
    assert!(
        stayed <= 100,
        "{stayed} new pairs with backends that were not replaced"
    );
}

/// Guards against customers far inside their quotas that are refused where a message is lost: the
/// word of the home that was asked second did not count, and what others might use ate the one
/// request that a gateway passes by itself.
#[test]
fn calm_customers_are_served_though_messages_are_lost() {
    let mut world = World::new(plot(100, vec![(0, 0.5); 1600]));
    world.run(10 * S);
    let share = world.refused as f64 / world.asked as f64;
    assert!(
        share < 0.05,
        "{share} refused of what is a third of the quotas"
    );
}

/// Guards against messages to peers that a site does not allow: a home that was not asked passed
/// for a silent one.
#[test]
fn without_peers_nobody_is_told_and_requests_are_served() {
    let mut plot = plot(100, vec![(2, 5.0); 60]);
    plot.settings.limits.peers = false;
    let mut world = World::new(plot);
    world.run(4 * S);
    assert_eq!(world.messages, 0);
    let share = world.in_time as f64 / world.asked as f64;
    assert!(share > 0.95, "{share} in time");
}

/// The table of `docs/measurements/fleet-size.md`. It asserts nothing: times differ from machine to
/// machine.
#[test]
#[ignore = "a measurement; run with --ignored --nocapture"]
fn table_by_size() {
    println!("| ingresses | messages a request | sent by each, a second | lost | pairs with a backend | in time | CPU us |");
    for gateways in [3u16, 10, 30, 100] {
        let mut world = World::new(plot(gateways, vec![(0, 0.5); usize::from(gateways) * 16]));
        let began = std::time::Instant::now();
        world.run(10 * S);
        let cpu = began.elapsed().as_micros() as f64 / world.asked as f64;
        let (asked, messages) = (world.asked as f64, world.messages as f64);
        let pairs: usize = world.servers.iter().map(|s| s.from.len()).sum();
        println!(
            "| {gateways} | {:.1} | {:.1} | {:.2} | {:.1} | {:.3} | {cpu:.0} |",
            messages / asked,
            messages / 10.0 / f64::from(gateways),
            1.0 - world.delivered as f64 / messages,
            pairs as f64 / 60.0,
            world.in_time as f64 / asked,
        );
    }
}
