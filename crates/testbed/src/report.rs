//! What a run came to.

use crate::judge::{Judge, Rule, Violation};
use crate::scenario::{Micros, Scenario, SECOND};
use serde::Serialize;

/// A rig whose timers were later than this, one in a hundred, gives no verdict.
pub const MOST_LATE: u32 = 5_000;

/// How a run goes, for those who watch it.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Time since the first arrival.
    pub at: Micros,
    /// How long requests arrive.
    pub lasts: Micros,
    /// First tries.
    pub asked: u64,
    /// Tries that were served, refused, failed.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// Tries that wait for their answer.
    pub waiting: usize,
    /// For each ingress whether its process runs and whether the front takes it for ready.
    pub ingresses: Vec<(bool, bool)>,
    /// The rung that each ingress told last.
    pub rungs: Vec<u8>,
    /// For each backend whether its process runs.
    pub backends: Vec<bool>,
    /// How often each rule was broken, in the order of [`Rule::ALL`].
    pub broken: [u64; 5],
    /// The last thing that happened.
    pub log: String,
}

/// How late the rig was with what it had to do, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Lateness {
    /// Half of the timers were no later.
    pub median_us: u32,
    /// All but one in a hundred.
    pub p99_us: u32,
    /// The latest.
    pub most_us: u32,
}

impl Lateness {
    /// Of timers that were so late.
    pub fn of(late: &mut [u32]) -> Self {
        late.sort_unstable();
        let at = |share: f64| {
            late.get(((late.len() as f64 * share) as usize).min(late.len().saturating_sub(1)))
        };
        let at = |share: f64| at(share).copied().unwrap_or(0);
        Lateness {
            median_us: at(0.5),
            p99_us: at(0.99),
            most_us: at(1.0),
        }
    }
}

/// What the rig counted.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RigFigures {
    /// How late it was.
    pub lateness: Lateness,
    /// Tries that no ingress took.
    pub unreachable: u64,
    /// Tries that crossed the end of a connection and were sent again.
    pub crossed: u64,
    /// Messages between peers, and those longer than 256 bytes.
    pub peer_messages: u64,
    /// See `peer_messages`.
    pub peer_too_long: u64,
    /// Connections open at the end: of clients, at backends.
    pub connections: (usize, usize),
}

/// The verdict on a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// All rules held and no ingress crashed.
    Held,
    /// A rule was broken, or an ingress crashed.
    Broken,
    /// The rig was late: its word counts for nothing.
    Late,
}

/// A rule and how often it was broken.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RuleCount {
    /// The rule.
    pub rule: Rule,
    /// How often it was broken.
    pub broken: u64,
}

/// The service of a class or a plan.
#[derive(Clone, Debug, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Worth offered inside the quotas.
    pub offered: f64,
    /// The share of it that was earned.
    pub share: f64,
}

/// What an ingress used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Used {
    /// Processor time in microseconds.
    pub cpu_us: Micros,
    /// The most resident memory in kilobytes.
    pub memory_kb: u64,
    /// The most descriptors open.
    pub descriptors: usize,
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario's name and seed.
    pub scenario: String,
    /// See `scenario`.
    pub seed: u64,
    /// The verdict.
    pub verdict: Verdict,
    /// How often each rule was broken.
    pub rules: Vec<RuleCount>,
    /// The violations, the first ones at the least.
    pub violations: Vec<Violation>,
    /// Ingresses that ended by themselves.
    pub crashes: Vec<String>,
    /// How long it lasted, in microseconds.
    pub lasted_us: Micros,
    /// First tries, and answers to all tries.
    pub asked: u64,
    /// See `asked`.
    pub served: u64,
    /// See `asked`.
    pub refused: u64,
    /// See `asked`.
    pub failed: u64,
    /// Tries sent on beyond their quota, and what that has cost as a share of what was offered.
    pub sent_beyond: u64,
    /// See `sent_beyond`.
    pub beyond_cost: f64,
    /// Attempts that reached backends, and those for clients that had left.
    pub attempts: u64,
    /// See `attempts`.
    pub attempts_for_nobody: u64,
    /// The share of the offered worth that was earned; the worst ten seconds and when they began.
    pub goodput: f64,
    /// See `goodput`.
    pub worst_10s: f64,
    /// See `goodput`.
    pub worst_from_s: usize,
    /// The same in each second.
    pub seconds: Vec<f64>,
    /// By class and by plan.
    pub classes: Vec<Part>,
    /// See `classes`.
    pub plans: Vec<Part>,
    /// Processor time of all ingresses for each first try, in microseconds.
    pub cpu_per_request_us: f64,
    /// By ingress.
    pub ingresses: Vec<Used>,
    /// How unevenly attempts were spread over backends, by capacity: standard deviation over mean.
    pub spread: f64,
    /// What the rig counted.
    pub rig: RigFigures,
    /// What happened, as the timetable had it.
    pub log: Vec<String>,
    /// What the ingresses said; shown where something went wrong.
    #[serde(skip)]
    pub ingress_logs: Vec<String>,
}

impl Report {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn new(
        s: &Scenario,
        judge: &Judge,
        lasted: Micros,
        usage: Vec<(Micros, u64, usize)>,
        spread: Vec<(u64, f64)>,
        rig: RigFigures,
        crashes: Vec<String>,
        log: Vec<String>,
        ingress_logs: Vec<String>,
    ) -> Self {
        let worth = judge.worth();
        let counts = judge.counts();
        let (by_class, by_plan) = worth.parts();
        let part = |name: &String, c: &crate::judge::Cell| Part {
            name: name.clone(),
            offered: c.offered,
            share: c.share(),
        };
        let broken = counts.iter().any(|n| *n > 0) || !crashes.is_empty() || rig.peer_too_long > 0;
        let verdict = match (rig.lateness.p99_us > MOST_LATE, broken) {
            (true, _) => Verdict::Late,
            (false, true) => Verdict::Broken,
            (false, false) => Verdict::Held,
        };
        let cpu: Micros = usage.iter().map(|u| u.0).sum();
        let (attempts, attempts_for_nobody) = judge.attempts();
        Report {
            scenario: s.name.clone(),
            seed: s.seed,
            verdict,
            rules: Rule::ALL
                .iter()
                .map(|r| RuleCount {
                    rule: *r,
                    broken: counts[*r as usize],
                })
                .collect(),
            violations: judge.violations().to_vec(),
            crashes,
            lasted_us: lasted,
            asked: worth.asked,
            served: worth.served,
            refused: worth.refused,
            failed: worth.failed,
            sent_beyond: worth.sent_beyond,
            beyond_cost: worth.beyond_cost(),
            attempts,
            attempts_for_nobody,
            goodput: worth.whole().share() - worth.beyond_cost(),
            worst_10s: worth.worst().1,
            worst_from_s: worth.worst().0,
            seconds: worth.seconds(),
            classes: s
                .classes
                .iter()
                .zip(by_class)
                .map(|(c, w)| part(&c.name, w))
                .collect(),
            plans: s
                .plans
                .iter()
                .zip(by_plan)
                .map(|(p, w)| part(&p.name, w))
                .collect(),
            cpu_per_request_us: cpu as f64 / worth.asked.max(1) as f64,
            ingresses: usage
                .iter()
                .map(|u| Used {
                    cpu_us: u.0,
                    memory_kb: u.1,
                    descriptors: u.2,
                })
                .collect(),
            spread: unevenness(&spread),
            rig,
            log,
            ingress_logs,
        }
    }

    /// How long it lasted, in seconds.
    pub fn seconds_lasted(&self) -> f64 {
        self.lasted_us as f64 / SECOND as f64
    }
}

fn unevenness(spread: &[(u64, f64)]) -> f64 {
    let shares: Vec<f64> = spread
        .iter()
        .map(|(n, capacity)| *n as f64 / capacity.max(1.0))
        .collect();
    let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
    let variance =
        shares.iter().map(|s| (s - mean).powi(2)).sum::<f64>() / shares.len().max(1) as f64;
    if mean > 0.0 {
        variance.sqrt() / mean
    } else {
        0.0
    }
}
