//! Simulated members whose requests fail at random, one second at a time, and a monitor that observes them. Counts over many
//! seeds how often the monitor stops or continues a rollout, to check the error bounds of the policy.

use fastrand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{MemberMetrics, RequestCounts};
use wrenfork_rollout::{Observations, StageMonitor};
use wrenfork_rollout::{Rollout, RolloutPhase, RolloutPolicy};

/// Parameters of the simulation.
#[derive(Clone, Copy)]
struct Simulation {
    /// Number of members in each stage, of which the first has the new version.
    members_per_version: usize,
    /// Mean number of requests per second and member.
    rate: u64,
    /// Fraction of the requests lost with either version, at the start.
    base_loss: f64,
    /// Maximum relative change of that fraction from one second to the next, the same for all members.
    fluctuation: f64,
    /// Additional fraction of the requests that the new version loses.
    additional_loss: f64,
    /// Maximum duration of the simulation, in seconds.
    seconds: u64,
}

/// Draws the number of lost requests; for large numbers a normal distribution approximates the binomial one, which is faster.
fn draw_losses(rng: &mut Rng, requests: u64, fraction: f64) -> u64 {
    if fraction * (requests as f64) < 10.0 {
        return (0..requests).filter(|_| rng.f64() < fraction).count() as u64;
    }
    let deviation = (requests as f64 * fraction * (1.0 - fraction)).sqrt();
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (requests as f64 * fraction + deviation * normal)
        .round()
        .clamp(0.0, requests as f64) as u64
}

fn rollout(simulation: &Simulation, policy: RolloutPolicy) -> Rollout {
    let names = |from: usize| {
        (from..from + simulation.members_per_version)
            .map(|n| format!("n{n}"))
            .collect::<Vec<_>>()
    };
    Rollout {
        id: Digest::of(b"draw"),
        author: "ann".into(),
        policy,
        stages: vec![names(0), names(simulation.members_per_version)],
        changes: Vec::new(),
        change_of: BTreeMap::new(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

/// Simulates one stage, and returns the next phase, if there is one, and the seconds until then.
fn simulate_stage(
    simulation: &Simulation,
    policy: RolloutPolicy,
    seed: u64,
) -> (Option<RolloutPhase>, u64) {
    let mut rng = Rng::with_seed(seed);
    let rollout = rollout(simulation, policy);
    let mut monitor = StageMonitor::new(rollout, 7, Duration::ZERO);
    let mut members: Vec<MemberMetrics> = (0..2 * simulation.members_per_version)
        .map(|n| MemberMetrics {
            incarnation: n as u64 + 1,
            uptime_ms: 60_000,
            group_version: 7,
            zone_group: "a".into(),
            ..MemberMetrics::default()
        })
        .collect();
    let mut loss = simulation.base_loss;
    for second in 0..=simulation.seconds {
        loss = f64::clamp(
            loss * (1.0 + simulation.fluctuation * (rng.f64() * 2.0 - 1.0)),
            simulation.base_loss / 4.0,
            0.4,
        );
        for (n, metrics) in members.iter_mut().enumerate() {
            let fraction = loss
                + if n < simulation.members_per_version {
                    simulation.additional_loss
                } else {
                    0.0
                };
            let requests = simulation.rate * (80 + rng.u64(0..41)) / 100;
            let failed = draw_losses(&mut rng, requests, fraction);
            let counts = metrics.requests.entry("quote/a".into()).or_default();
            *counts = RequestCounts {
                weight: 2_000,
                total: counts.total + requests,
                rejected: 0,
                failed: counts.failed + failed,
            };
            metrics.uptime_ms += 1_000;
        }
        let observations: Observations = members
            .iter()
            .enumerate()
            .map(|(n, metrics)| (format!("n{n}"), Some(metrics.clone())))
            .collect();
        if let Some(next) = monitor.observe(Duration::from_secs(second), &observations) {
            return (Some(next.phase), second);
        }
    }
    (None, simulation.seconds)
}

fn policy() -> RolloutPolicy {
    RolloutPolicy {
        min_watch_ms: 10_000,
        ..RolloutPolicy::default()
    }
}

/// Simulates a stage with many seeds. Returns how many were stopped, continued, and undecided, and the median of the seconds.
fn simulate_many(seeds: u64, simulation: &Simulation) -> ([u64; 3], u64) {
    let (mut outcomes, mut durations) = ([0; 3], Vec::new());
    for seed in 0..seeds {
        let (phase, seconds) = simulate_stage(simulation, policy(), seed);
        match phase {
            Some(RolloutPhase::RolledBack | RolloutPhase::RollingBack { .. }) => outcomes[0] += 1,
            Some(RolloutPhase::Active { .. } | RolloutPhase::Completed) => outcomes[1] += 1,
            _ => outcomes[2] += 1,
        }
        durations.push(seconds);
    }
    durations.sort_unstable();
    (outcomes, durations[durations.len() / 2])
}

const STEADY: Simulation = Simulation {
    members_per_version: 1,
    rate: 200,
    base_loss: 0.01,
    fluctuation: 0.0,
    additional_loss: 0.0,
    seconds: 300,
};

#[test]
fn equal_version_continues_and_worse_version_is_stopped() {
    let (equal, _) = simulate_many(200, &STEADY);
    assert!(equal[0] <= 2, "stopped, continued, undecided: {equal:?}");
    assert!(equal[1] >= 190, "stopped, continued, undecided: {equal:?}");
    let (worse, median) = simulate_many(
        200,
        &Simulation {
            additional_loss: 0.04,
            ..STEADY
        },
    );
    assert!(worse[0] >= 198, "stopped, continued, undecided: {worse:?}");
    assert!(median <= 60, "median time until the stop: {median} s");
}

#[test]
fn stage_with_too_little_traffic_never_counts_as_good() {
    let (outcomes, _) = simulate_many(
        50,
        &Simulation {
            rate: 1,
            seconds: 600,
            ..STEADY
        },
    );
    assert_eq!(
        outcomes[1], 0,
        "stopped, continued, undecided: {outcomes:?}"
    );
}

#[test]
fn crash_of_the_new_version_stops_the_rollout_and_crash_of_the_old_does_not() {
    for (restarted, stops) in [(0, true), (1, false)] {
        let mut monitor = StageMonitor::new(rollout(&STEADY, policy()), 7, Duration::ZERO);
        let member = |n: usize, incarnation| MemberMetrics {
            incarnation,
            uptime_ms: 60_000,
            group_version: 7,
            zone_group: "a".into(),
            ..metrics_with_cpu(n)
        };
        let observations = |incarnations: [u64; 2]| -> Observations {
            (0..2)
                .map(|n| (format!("n{n}"), Some(member(n, incarnations[n]))))
                .collect()
        };
        assert_eq!(
            monitor.observe(Duration::from_secs(1), &observations([1, 2])),
            None
        );
        let mut incarnations = [1, 2];
        incarnations[restarted] = 9;
        let next = monitor.observe(Duration::from_secs(2), &observations(incarnations));
        assert_eq!(
            next.map(|r| r.phase),
            stops.then_some(RolloutPhase::RolledBack),
            "n{restarted}"
        );
    }
    // A new controller has no earlier observations: here the member itself reports under which version it started.
    for (start_version, stops) in [(6, false), (7, true)] {
        let mut monitor = StageMonitor::new(rollout(&STEADY, policy()), 7, Duration::ZERO);
        let observations = [(
            "n0".to_string(),
            Some(MemberMetrics {
                incarnation: 1,
                group_version: 7,
                version_at_start: start_version,
                ..MemberMetrics::default()
            }),
        )]
        .into();
        let next = monitor.observe(Duration::from_secs(1), &observations);
        assert_eq!(
            next.map(|r| r.phase),
            stops.then_some(RolloutPhase::RolledBack),
            "started under version {start_version}"
        );
    }
}

fn metrics_with_cpu(n: usize) -> MemberMetrics {
    MemberMetrics {
        cpu_us: n as u64,
        ..MemberMetrics::default()
    }
}

/// An unavailable member prevents the next stage, however good the other members are.
#[test]
fn stage_with_too_many_unavailable_members_is_paused_and_names_them() {
    let policy = RolloutPolicy {
        max_unavailable: 0,
        timeout_ms: 20_000,
        ..policy()
    };
    let mut monitor = StageMonitor::new(rollout(&STEADY, policy), 7, Duration::ZERO);
    for second in 0..20 {
        let observations: Observations = [
            (
                "n0".to_string(),
                Some(MemberMetrics {
                    uptime_ms: 60_000,
                    group_version: 7,
                    ..MemberMetrics::default()
                }),
            ),
            ("n1".to_string(), None),
        ]
        .into();
        assert_eq!(
            monitor.observe(Duration::from_secs(second), &observations),
            None
        );
    }
    let paused = monitor
        .observe(Duration::from_secs(20), &BTreeMap::new())
        .unwrap();
    assert_eq!(paused.phase, RolloutPhase::Paused { stage: 0 });
    assert!(paused.reason.contains("n1"), "{}", paused.reason);
}

#[test]
fn rollback_takes_the_next_step_after_the_interval() {
    let rolling_back =
        rollout(&STEADY, policy()).with_phase(RolloutPhase::RollingBack { remaining: 1 }, "worse");
    let mut monitor = StageMonitor::new(rolling_back, 9, Duration::ZERO);
    assert_eq!(
        monitor.observe(Duration::from_millis(1_900), &BTreeMap::new()),
        None
    );
    let next = monitor
        .observe(Duration::from_millis(2_000), &BTreeMap::new())
        .unwrap();
    assert_eq!(
        (next.phase, next.reason.as_str()),
        (RolloutPhase::RolledBack, "worse")
    );
}

fn measured_simulations() -> Vec<(&'static str, Simulation)> {
    let many_members = Simulation {
        members_per_version: 5,
        rate: 40,
        base_loss: 0.05,
        fluctuation: 0.5,
        ..STEADY
    };
    vec![
        ("equal", STEADY),
        (
            "equal, fluctuating losses",
            Simulation {
                fluctuation: 0.5,
                base_loss: 0.05,
                ..STEADY
            },
        ),
        ("equal, five members each", many_members),
        (
            "equal, 20 requests per second",
            Simulation { rate: 20, ..STEADY },
        ),
        (
            "1% worse",
            Simulation {
                additional_loss: 0.01,
                ..STEADY
            },
        ),
        (
            "2% worse",
            Simulation {
                additional_loss: 0.02,
                ..STEADY
            },
        ),
        (
            "2% worse, fluctuating losses",
            Simulation {
                additional_loss: 0.02,
                ..many_members
            },
        ),
        (
            "3% worse",
            Simulation {
                additional_loss: 0.03,
                ..STEADY
            },
        ),
        (
            "5% worse",
            Simulation {
                additional_loss: 0.05,
                ..STEADY
            },
        ),
    ]
}

/// Measures the error rates over ten thousand seeds: `cargo test --release -p wrenfork-rollout -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement that takes some minutes"]
fn measure_error_rates_over_ten_thousand_seeds() {
    println!("simulation: stopped, continued, undecided of 10,000; median seconds");
    for (name, simulation) in measured_simulations() {
        let (outcomes, median) = simulate_many(10_000, &simulation);
        println!("{name}: {outcomes:?} {median}");
    }
}
