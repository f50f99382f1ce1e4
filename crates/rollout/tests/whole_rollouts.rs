//! Simulations of complete rollouts: twenty members in four zone groups, and four stages. The new version is either faulty in one
//! of several ways, or equal to the old one while something else goes wrong. The tests check which rollouts are stopped, in
//! which stage, after how long, and how many requests were lost by then.

use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{
    assign_stages, check_transition, LatencyBucket, Rollout, RolloutPhase, RolloutPolicy,
    StageScope,
};
use wrenfork_rollout::{MemberMetrics, RequestCounts};
use wrenfork_rollout::{Observations, StageMonitor};

const MEMBERS: usize = 20;
const ZONE_GROUPS: usize = 4;
/// Mean number of requests per second and member.
const REQUEST_RATE: f64 = 200.0;
/// Fraction of the requests lost with either version.
const BASE_LOSS: f64 = 0.01;
/// Maximum duration of a simulation, in seconds.
const MAX_SECONDS: u64 = 900;
/// Kinds of requests: class, plan, and fraction of all requests.
const REQUEST_KINDS: [(&str, &str, f64); 4] = [
    ("quote", "a", 0.5),
    ("quote", "b", 0.3),
    ("refer", "a", 0.15),
    ("refer", "b", 0.05),
];

/// What goes wrong in a simulation, either in the new version or elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    // Faults of the new version:
    Loses(f64),
    LosesUnderLoad,
    LosesClass,
    LosesPlan,
    Slow,
    CrashesAfter20Seconds,
    LeaksMemory,
    NeedsMoreCpu,
    // Problems that are not faults of the new version:
    MoreLoadOnNewVersion,
    TemporaryLossesEverywhere,
    LossesInOneZoneGroup,
    FluctuatingLosses,
    OldVersionCrashes,
}

/// Returns the fraction of the requests of a kind that a member loses.
fn loss_fraction(
    fault: Fault,
    new: bool,
    kind: usize,
    zone_group: usize,
    second: u64,
    fluctuating_loss: f64,
) -> f64 {
    let (class, plan, _) = REQUEST_KINDS[kind];
    let shared_loss = match fault {
        Fault::TemporaryLossesEverywhere if (20..50).contains(&second) => 0.4,
        Fault::LossesInOneZoneGroup if zone_group == 1 && second >= 15 => 0.5,
        Fault::FluctuatingLosses => fluctuating_loss,
        _ => BASE_LOSS,
    };
    let version_loss = match fault {
        Fault::Loses(fraction) => fraction,
        Fault::LosesUnderLoad if second % 60 >= 30 => 0.06,
        Fault::LosesClass if class == "refer" => 0.15,
        Fault::LosesPlan if plan == "b" => 0.1,
        _ => 0.0,
    };
    (shared_loss + if new { version_loss } else { 0.0 }).min(0.95)
}

/// Draws the number of requests that are lost, or that have some other property with this probability.
fn draw_count(rng: &mut Rng, requests: u64, fraction: f64) -> u64 {
    let deviation = (requests as f64 * fraction * (1.0 - fraction)).sqrt();
    if deviation < 3.0 {
        return (0..requests).filter(|_| rng.f64() < fraction).count() as u64;
    }
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (requests as f64 * fraction + deviation * normal)
        .round()
        .clamp(0.0, requests as f64) as u64
}

fn name(n: usize) -> String {
    format!("n{n:02}")
}

fn new_rollout(seed: u64, policy: RolloutPolicy) -> Rollout {
    let zone_groups: BTreeMap<String, String> = (0..MEMBERS)
        .map(|n| (name(n), format!("h{}", n % ZONE_GROUPS)))
        .collect();
    let scopes = ["1", "10%", "50%", "all"].map(|text| text.parse::<StageScope>().unwrap());
    let id = Digest::of(&seed.to_le_bytes());
    Rollout {
        stages: assign_stages(&id, &scopes, &zone_groups).unwrap(),
        id,
        author: String::new(),
        policy,
        changes: Vec::new(),
        change_of: BTreeMap::new(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

/// Result of a simulated rollout.
struct Outcome {
    /// Last phase.
    phase: RolloutPhase,
    /// Index of the last stage that had the new version.
    stage: usize,
    seconds: u64,
    /// Requests lost because of the new version.
    lost: f64,
    /// Requests that would have been lost if all members had got the new version at once.
    lost_without_stages: f64,
}

/// Simulates one second of a member.
fn simulate_member(
    metrics: &mut MemberMetrics,
    rng: &mut Rng,
    fault: Fault,
    new: bool,
    n: usize,
    second: u64,
    fluctuating_loss: f64,
) {
    let load = match fault {
        Fault::LosesUnderLoad if second % 60 >= 30 => 1.5,
        Fault::MoreLoadOnNewVersion if new && second >= 10 => 2.0,
        _ => 1.0,
    };
    let mut responses = 0;
    for (kind, (class, plan, fraction)) in REQUEST_KINDS.iter().enumerate() {
        // The account with the additional load is on one plan.
        let load = if fault == Fault::MoreLoadOnNewVersion && *plan != "b" {
            1.0
        } else {
            load
        };
        let requests = (REQUEST_RATE * fraction * load * (0.9 + 0.2 * rng.f64())).round() as u64;
        let failed = draw_count(
            rng,
            requests,
            loss_fraction(fault, new, kind, n % ZONE_GROUPS, second, fluctuating_loss),
        );
        let counts = metrics
            .requests
            .entry(format!("{class}/{plan}"))
            .or_default();
        *counts = RequestCounts {
            weight: 2_000,
            total: counts.total + requests,
            rejected: 0,
            failed: counts.failed + failed,
        };
        responses += requests - failed;
    }
    // Latencies are 5, 20 and 60 ms. A version with a slow tail has 90 ms instead of 60 ms for the
    // slowest 2%.
    let slow = draw_count(rng, responses, 0.02);
    let medium = draw_count(rng, responses - slow, 0.3);
    let latencies = metrics.latencies.entry("quote".into()).or_insert_with(|| {
        [5_000, 20_000, 60_000, 90_000]
            .map(|latency_us| LatencyBucket {
                latency_us,
                count: 0,
            })
            .to_vec()
    });
    latencies[0].count += responses - slow - medium;
    latencies[1].count += medium;
    let slow_bucket = if new && fault == Fault::Slow { 3 } else { 2 };
    latencies[slow_bucket].count += slow;
    let cpu_factor = if new && fault == Fault::NeedsMoreCpu {
        1.4
    } else {
        1.0
    };
    metrics.cpu_us += (responses as f64 * 60.0 * cpu_factor * (0.97 + 0.06 * rng.f64())) as u64;
    let growth_kb = if new && fault == Fault::LeaksMemory {
        1_024
    } else {
        0
    };
    metrics.memory_kb =
        metrics.memory_kb + growth_kb + rng.u64(0..64) - rng.u64(0..64).min(metrics.memory_kb / 2);
    metrics.uptime_ms += 1_000;
}

/// State of a simulated rollout.
struct Simulation {
    fault: Fault,
    rng: Rng,
    rollout: Rollout,
    /// Version of the group state.
    version: u64,
    /// Time since which that version is current, in seconds.
    version_since: u64,
    members: Vec<MemberMetrics>,
    /// Fraction of the requests lost with either version, if that fraction fluctuates.
    fluctuating_loss: f64,
    lost: f64,
    lost_without_stages: f64,
}

fn initial_metrics(incarnation: u64, uptime_ms: u64, zone_group: String) -> MemberMetrics {
    MemberMetrics {
        incarnation,
        uptime_ms,
        zone_group,
        memory_kb: 30_000,
        ..MemberMetrics::default()
    }
}

impl Simulation {
    fn new(fault: Fault, seed: u64) -> Simulation {
        let policy = RolloutPolicy {
            min_watch_ms: 15_000,
            timeout_ms: 300_000,
            ..RolloutPolicy::default()
        };
        let member =
            |n: usize| initial_metrics(n as u64 + 1, 600_000, format!("h{}", n % ZONE_GROUPS));
        Simulation {
            fault,
            rng: Rng::with_seed(seed),
            rollout: new_rollout(seed, policy),
            version: 2,
            version_since: 0,
            members: (0..MEMBERS).map(member).collect(),
            fluctuating_loss: BASE_LOSS,
            lost: 0.0,
            lost_without_stages: 0.0,
        }
    }

    /// Returns the additional requests per second that a member loses with the new version.
    fn additional_losses(&self, n: usize, second: u64) -> f64 {
        let kinds = REQUEST_KINDS.iter().enumerate();
        kinds
            .map(|(index, kind)| {
                let loss = |is_new| {
                    loss_fraction(
                        self.fault,
                        is_new,
                        index,
                        n % ZONE_GROUPS,
                        second,
                        self.fluctuating_loss,
                    )
                };
                kind.2 * REQUEST_RATE * (loss(true) - loss(false))
            })
            .sum()
    }

    fn crashes(&self, n: usize, is_new: bool, second: u64) -> bool {
        match self.fault {
            Fault::CrashesAfter20Seconds => is_new && second >= self.version_since + 20,
            Fault::OldVersionCrashes => !is_new && second % 40 == 39 && n % 7 == 3,
            _ => false,
        }
    }

    /// Simulates one second of all members.
    fn simulate_second(&mut self, second: u64) {
        self.fluctuating_loss =
            (self.fluctuating_loss * (0.7 + 0.65 * self.rng.f64())).clamp(0.002, 0.3);
        let updated = self.rollout.updated_members();
        let updated: BTreeSet<String> = updated.into_iter().map(String::from).collect();
        for n in 0..MEMBERS {
            let is_new = updated.contains(&name(n));
            let metrics = &mut self.members[n];
            simulate_member(
                metrics,
                &mut self.rng,
                self.fault,
                is_new,
                n,
                second,
                self.fluctuating_loss,
            );
            let additional = self.additional_losses(n, second);
            self.lost_without_stages += additional;
            self.lost += if is_new { additional } else { 0.0 };
            let crashes = self.crashes(n, is_new, second);
            let metrics = &mut self.members[n];
            if crashes {
                *metrics =
                    initial_metrics(metrics.incarnation + 1_000, 1, metrics.zone_group.clone());
            }
            metrics.group_version = self.version;
        }
    }

    fn observations(&self) -> Observations {
        let members = self.members.iter().enumerate();
        members
            .map(|(n, metrics)| (name(n), Some(metrics.clone())))
            .collect()
    }

    fn outcome(self, stage: usize, seconds: u64) -> Outcome {
        Outcome {
            phase: self.rollout.phase,
            stage,
            seconds,
            lost: self.lost,
            lost_without_stages: self.lost_without_stages,
        }
    }
}

fn simulate(fault: Fault, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(fault, seed);
    let mut stage = 0;
    let mut monitor = StageMonitor::new(
        simulation.rollout.clone(),
        simulation.version,
        Duration::ZERO,
    );
    for second in 0..MAX_SECONDS {
        simulation.simulate_second(second);
        let now = Duration::from_secs(second);
        let Some(next) = monitor.observe(now, &simulation.observations()) else {
            continue;
        };
        let transition = check_transition(Some(&simulation.rollout), Some(&next));
        assert_eq!(
            transition,
            Ok(()),
            "{fault:?}, seed {seed}: invalid transition at second {second}"
        );
        simulation.rollout = next;
        simulation.version += 1;
        simulation.version_since = second;
        stage = stage.max(simulation.rollout.updated_stages().saturating_sub(1));
        let phase = &simulation.rollout.phase;
        if phase.ended() || matches!(phase, RolloutPhase::Paused { .. }) {
            return simulation.outcome(stage, second);
        }
        monitor = StageMonitor::new(simulation.rollout.clone(), simulation.version, now);
    }
    simulation.outcome(stage, MAX_SECONDS)
}

const FAULTY: [Fault; 9] = [
    Fault::Loses(0.02),
    Fault::Loses(0.1),
    Fault::LosesUnderLoad,
    Fault::LosesClass,
    Fault::LosesPlan,
    Fault::Slow,
    Fault::CrashesAfter20Seconds,
    Fault::LeaksMemory,
    Fault::NeedsMoreCpu,
];
const EQUAL: [Fault; 6] = [
    Fault::None,
    Fault::MoreLoadOnNewVersion,
    Fault::TemporaryLossesEverywhere,
    Fault::LossesInOneZoneGroup,
    Fault::FluctuatingLosses,
    Fault::OldVersionCrashes,
];

/// Simulates rollouts with several seeds, and returns their outcomes and a line of the result table.
fn simulate_many(fault: Fault, seeds: u64) -> (Vec<Outcome>, String) {
    let outcomes: Vec<Outcome> = (0..seeds).map(|seed| simulate(fault, seed)).collect();
    let count = |matches: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| matches(o)).count();
    let stopped = count(&|o| o.phase == RolloutPhase::RolledBack);
    let (completed, paused) = (
        count(&|o| o.phase == RolloutPhase::Completed),
        count(&|o| matches!(o.phase, RolloutPhase::Paused { .. })),
    );
    let mut seconds: Vec<u64> = outcomes.iter().map(|o| o.seconds).collect();
    seconds.sort_unstable();
    let last_stage = outcomes.iter().map(|o| o.stage + 1).max().unwrap_or(0);
    let (lost, lost_without_stages): (f64, f64) = outcomes.iter().fold((0.0, 0.0), |sum, o| {
        (sum.0 + o.lost, sum.1 + o.lost_without_stages)
    });
    let runs = outcomes.len() as f64;
    let summary = format!(
        "{fault:?}: stopped {stopped}, completed {completed}, paused {paused}; last stage {last_stage}; median {} s; lost {:.0}, without stages {:.0}",
        seconds[seconds.len() / 2],
        lost / runs,
        lost_without_stages / runs
    );
    (outcomes, summary)
}

#[test]
fn faulty_versions_are_stopped_before_half_the_members_have_them_and_equal_ones_complete() {
    for fault in FAULTY {
        let (outcomes, summary) = simulate_many(fault, 4);
        assert!(
            outcomes
                .iter()
                .all(|o| o.phase == RolloutPhase::RolledBack && o.stage < 2),
            "{summary}"
        );
        assert!(
            outcomes
                .iter()
                .all(|o| o.lost <= o.lost_without_stages / 4.0),
            "{summary}"
        );
    }
    for fault in EQUAL {
        let (outcomes, summary) = simulate_many(fault, 4);
        assert!(
            outcomes.iter().all(|o| o.phase == RolloutPhase::Completed),
            "{summary}"
        );
    }
}

/// Prints the table in `docs/measurements/rollout.md`.
#[test]
#[ignore = "a measurement that takes some minutes"]
fn measure_whole_rollouts_over_many_seeds() {
    let rows: Vec<String> = std::thread::scope(|scope| {
        let all_faults = FAULTY.into_iter().chain(EQUAL);
        let threads: Vec<_> = all_faults
            .map(|fault| scope.spawn(move || simulate_many(fault, 200).1))
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    rows.iter().for_each(|row| println!("{row}"));
}
