//! Summary of a run: verdict, rule violations, worth, resource usage and timing quality.

use crate::judge::{Judge, Rule, Violation};
use crate::scenario::{Micros, Scenario, SECOND};
use serde::Serialize;

/// Limit on the 99th percentile of timer lateness, in microseconds; a run beyond it gets [`Verdict::Late`].
pub const MAX_P99_LATENESS_US: u32 = 5_000;

/// Progress of a run, for live display.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Microseconds since the start of arrivals.
    pub at: Micros,
    /// Length of the arrival period, in microseconds.
    pub lasts: Micros,
    /// Number of first tries sent.
    pub asked: u64,
    /// Number of tries that were served.
    pub served: u64,
    /// Number of tries that were refused.
    pub refused: u64,
    /// Number of tries that failed.
    pub failed: u64,
    /// Number of tries without an answer yet.
    pub waiting: usize,
    /// For each ingress: whether its process runs, and whether the front considers it ready.
    pub ingresses: Vec<(bool, bool)>,
    /// Load-shedding level that each ingress reported last.
    pub rungs: Vec<u8>,
    /// For each backend: whether its process runs.
    pub backends: Vec<bool>,
    /// Number of violations of each rule, in the order of [`Rule::ALL`].
    pub broken: [u64; 5],
    /// Latest entry of the event log.
    pub log: String,
}

/// Lateness of the rig's timers, in microseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Lateness {
    /// Median.
    pub median_us: u32,
    /// 99th percentile.
    pub p99_us: u32,
    /// Maximum.
    pub most_us: u32,
}

impl Lateness {
    /// Statistics over timer delays in microseconds; sorts `late` in place.
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

/// Counters of the rig.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RigFigures {
    /// Lateness of the rig's timers.
    pub lateness: Lateness,
    /// Number of tries for which no ingress accepted a connection.
    pub unreachable: u64,
    /// Number of tries sent again because the ingress closed the idle connection at the same time.
    pub crossed: u64,
    /// Number of messages between peers.
    pub peer_messages: u64,
    /// Number of messages between peers longer than 256 bytes; any such message makes the verdict `Broken`.
    pub peer_too_long: u64,
    /// Connections open at the end of the run: from clients, and at backends.
    pub connections: (usize, usize),
}

/// The verdict on a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// No rule was broken, no ingress crashed and no peer message was too long.
    Held,
    /// A rule was broken, an ingress crashed, or a peer message was too long.
    Broken,
    /// The rig's timers were too late for a valid verdict.
    Late,
}

/// Number of violations of a rule.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct RuleCount {
    /// The rule counted.
    pub rule: Rule,
    /// Number of violations.
    pub broken: u64,
}

/// Worth offered and earned for a class or a plan.
#[derive(Clone, Debug, Serialize)]
pub struct WorthShare {
    /// Name of the class or plan.
    pub name: String,
    /// Worth of the first tries inside the quotas.
    pub offered: f64,
    /// Share of `offered` that was earned.
    pub share: f64,
}

/// Resources that an ingress used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ResourceUsage {
    /// CPU time in microseconds.
    pub cpu_us: Micros,
    /// Peak resident memory in kilobytes.
    pub memory_kb: u64,
    /// Peak number of open file descriptors.
    pub descriptors: usize,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Overall result.
    pub verdict: Verdict,
    /// Number of violations of each rule.
    pub rules: Vec<RuleCount>,
    /// The violations recorded; limited in number, with at least the first of each rule.
    pub violations: Vec<Violation>,
    /// Ingresses that exited without being stopped.
    pub crashes: Vec<String>,
    /// Duration of the run in microseconds.
    pub lasted_us: Micros,
    /// Number of first tries.
    pub asked: u64,
    /// Number of tries that were served.
    pub served: u64,
    /// Number of tries that were refused.
    pub refused: u64,
    /// Number of tries that failed.
    pub failed: u64,
    /// Number of tries sent to a backend beyond their quota.
    pub sent_beyond: u64,
    /// Worth lost by sending beyond quotas, as a share of the worth offered.
    pub beyond_cost: f64,
    /// Number of attempts that reached backends.
    pub attempts: u64,
    /// Number of attempts for requests that no longer expected an answer, for example after the client had left.
    pub attempts_for_nobody: u64,
    /// Share of the offered worth that was earned, less the cost of sending beyond quotas.
    pub goodput: f64,
    /// Lowest share of worth earned in ten consecutive seconds.
    pub worst_10s: f64,
    /// Start of these ten seconds, in seconds after the start.
    pub worst_from_s: usize,
    /// Share of the offered worth that was earned in each second.
    pub seconds: Vec<f64>,
    /// Worth by class.
    pub classes: Vec<WorthShare>,
    /// Worth by plan.
    pub plans: Vec<WorthShare>,
    /// CPU time of all ingresses per first try, in microseconds.
    pub cpu_per_request_us: f64,
    /// Resources used by each ingress.
    pub ingresses: Vec<ResourceUsage>,
    /// Coefficient of variation (standard deviation over mean) of attempts per unit of backend capacity.
    pub spread: f64,
    /// Counters of the rig.
    pub rig: RigFigures,
    /// Event log of the timetable.
    pub log: Vec<String>,
    /// Log output of the ingresses, for display after a failure.
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
        let part = |name: &String, c: &crate::judge::WorthTotals| WorthShare {
            name: name.clone(),
            offered: c.offered,
            share: c.share(),
        };
        let broken = counts.iter().any(|n| *n > 0) || !crashes.is_empty() || rig.peer_too_long > 0;
        let verdict = match (rig.lateness.p99_us > MAX_P99_LATENESS_US, broken) {
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
                .map(|u| ResourceUsage {
                    cpu_us: u.0,
                    memory_kb: u.1,
                    descriptors: u.2,
                })
                .collect(),
            spread: coefficient_of_variation(&spread),
            rig,
            log,
            ingress_logs,
        }
    }

    /// Duration of the run in seconds.
    pub fn seconds_lasted(&self) -> f64 {
        self.lasted_us as f64 / SECOND as f64
    }
}

fn coefficient_of_variation(spread: &[(u64, f64)]) -> f64 {
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
