//! What two cohorts of members, one with the new version and one with the old, differ by in the same seconds.

use crate::metrics::{LatencyBucket, MemberMetrics, RequestCounts, WEIGHT_SCALE};
use std::collections::BTreeMap;
use std::fmt;

/// What a process does anyway counts for more where it has fewer requests: the processor time of a request is compared only
/// where one cohort has no more of them than this many times the other's.
const MAX_LOAD_RATIO: f64 = 1.25;
/// A difference in a fraction is ignored below this part of the regression that counts.
const FRACTION_TOLERANCE: f64 = 0.25;
/// As many responses are later than the median as are earlier: a fraction there moves with the least difference.
const MEDIAN_TOLERANCE: f64 = 2.0;
/// Processors that share a core, and requests of another mix, differ by some percent.
const CPU_TOLERANCE: f64 = 0.1;
/// A third of a percent in a second is three times as much memory after ten minutes.
const MEMORY_TOLERANCE: f64 = 0.003;
/// Milliseconds of a second.
const MS_PER_SECOND: f64 = 1e3;
/// Keeps a ratio finite.
const TINY: f64 = 1e-9;

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// The fraction of the weighted requests inside quotas that was rejected or failed.
    Lost,
    /// The fraction of the requests inside quotas that failed.
    Failed,
    /// The fraction of responses later than the median was before.
    Median,
    /// The fraction of responses later than the 99th percentile was before.
    Percentile99,
    /// Processor time of a request, relative to the other's.
    Cpu,
    /// The growth of the memory in a second, relative to it.
    MemoryGrowth,
}

impl Measure {
    /// All of them.
    pub const ALL: [Measure; 6] = [
        Measure::Lost,
        Measure::Failed,
        Measure::Median,
        Measure::Percentile99,
        Measure::Cpu,
        Measure::MemoryGrowth,
    ];

    /// Up to where a difference is ignored. Members differ by themselves, in their customers and their place: what counts as a
    /// regression is four times as much, so that what is found is most of it.
    pub fn tolerance(self, regression: f64) -> f64 {
        match self {
            Measure::Lost | Measure::Failed | Measure::Percentile99 => {
                regression * FRACTION_TOLERANCE
            }
            Measure::Median => regression * MEDIAN_TOLERANCE,
            Measure::Cpu => CPU_TOLERANCE,
            Measure::MemoryGrowth => MEMORY_TOLERANCE,
        }
    }
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Measure::Lost => "worth lost inside quotas",
            Measure::Failed => "requests failed",
            Measure::Median => "answers later than the median was",
            Measure::Percentile99 => "answers later than 99 of 100 were",
            Measure::Cpu => "processor time of a request",
            Measure::MemoryGrowth => "growth of the memory a second",
        })
    }
}

/// What a cohort did in a block of time.
#[derive(Clone, Debug, Default)]
pub struct Cohort {
    requests: BTreeMap<String, RequestCounts>,
    latencies: BTreeMap<String, BTreeMap<u64, u64>>,
    cpu_us: u64,
    memory_kb: u64,
    memory_growth_kb: i64,
    seconds: f64,
    samples: u32,
}

/// Responses of a class that came late.
#[derive(Clone, Copy, Debug, Default)]
struct LateResponses {
    /// The fraction of them.
    fraction: f64,
    /// All responses of the class.
    responses: f64,
}

impl Cohort {
    /// Adds what a member did between two looks.
    pub fn add(&mut self, before: &MemberMetrics, after: &MemberMetrics) {
        for (name, counts) in &after.requests {
            let earlier = before.requests.get(name).copied().unwrap_or_default();
            let more = counts.since(&earlier);
            self.requests.entry(name.clone()).or_default().add(&more);
        }
        for (class, buckets) in &after.latencies {
            let earlier = before.latencies.get(class).map_or(&[][..], Vec::as_slice);
            self.add_latencies(class, earlier, buckets);
        }
        self.cpu_us += after.cpu_us.saturating_sub(before.cpu_us);
        self.memory_kb += after.memory_kb;
        self.memory_growth_kb += after.memory_kb as i64 - before.memory_kb as i64;
        self.samples += 1;
        let elapsed_ms = after.uptime_ms.saturating_sub(before.uptime_ms);
        self.seconds += elapsed_ms as f64 / MS_PER_SECOND;
    }

    fn add_latencies(&mut self, class: &str, before: &[LatencyBucket], after: &[LatencyBucket]) {
        let before: BTreeMap<u64, u64> = before.iter().map(|b| (b.latency_us, b.count)).collect();
        let latencies = self.latencies.entry(class.to_string()).or_default();
        for bucket in after {
            let earlier = before.get(&bucket.latency_us).copied().unwrap_or(0);
            let more = bucket.count.saturating_sub(earlier);
            if more > 0 {
                *latencies.entry(bucket.latency_us).or_default() += more;
            }
        }
    }

    /// Requests of all kinds.
    fn total(&self) -> f64 {
        self.requests
            .values()
            .map(|counts| counts.total)
            .sum::<u64>() as f64
    }

    /// Responses of a class later than a latency.
    fn later_than(&self, class: &str, latency_us: u64) -> LateResponses {
        let Some(latencies) = self.latencies.get(class) else {
            return LateResponses::default();
        };
        let responses: u64 = latencies.values().sum();
        let later = latencies.range(latency_us.saturating_add(1)..);
        let late: u64 = later.map(|(_, count)| count).sum();
        if responses == 0 {
            return LateResponses::default();
        }
        LateResponses {
            fraction: late as f64 / responses as f64,
            responses: responses as f64,
        }
    }

    fn cpu_us_per_request(&self) -> f64 {
        self.cpu_us as f64 / self.total()
    }

    fn memory_growth_per_second(&self) -> f64 {
        self.memory_growth_kb as f64 / self.seconds
    }

    fn mean_memory_kb(&self) -> f64 {
        self.memory_kb as f64 / f64::from(self.samples.max(1))
    }
}

/// How many requests a comparison of two cohorts is as good as, on each side: half the harmonic mean; 0 where there is none of
/// one. The same for both, so that equals stay equal.
fn comparison_weight(one: f64, other: f64) -> f64 {
    if one + other > 0.0 {
        one * other / (one + other)
    } else {
        0.0
    }
}

/// A difference of two values relative to their mean.
fn relative_difference(new: f64, old: f64) -> f64 {
    2.0 * (new - old) / (new + old).max(TINY)
}

/// A weighted mean; none where nothing has a weight.
#[derive(Default)]
struct WeightedMean {
    sum: f64,
    weight: f64,
}

impl WeightedMean {
    fn add(&mut self, weight: f64, value: f64) {
        if weight > 0.0 {
            self.sum += weight * value;
            self.weight += weight;
        }
    }

    fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Two cohorts of one zone group.
#[derive(Clone, Debug, Default)]
pub struct CohortPair {
    /// With the new version.
    pub new: Cohort,
    /// As many members with the old one.
    pub old: Cohort,
}

/// The cohorts of each zone group in a block of time.
#[derive(Clone, Debug, Default)]
pub struct ComparisonBlock {
    /// By zone group.
    pub zone_groups: BTreeMap<String, CohortPair>,
}

/// Latencies of a class before, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassBaseline {
    /// Half of the responses came up to then.
    pub median_us: u64,
    /// 99 of 100 came up to then.
    pub percentile_99_us: u64,
}

/// Latencies before, by class.
pub type LatencyBaseline = BTreeMap<String, ClassBaseline>;

/// The latencies of all members, new and old together.
pub fn latency_baseline(members: &BTreeMap<String, MemberMetrics>) -> LatencyBaseline {
    let mut all: BTreeMap<&str, BTreeMap<u64, u64>> = BTreeMap::new();
    for (class, buckets) in members.values().flat_map(|m| &m.latencies) {
        let latencies = all.entry(class).or_default();
        for bucket in buckets {
            *latencies.entry(bucket.latency_us).or_default() += bucket.count;
        }
    }
    let baseline = |latencies: &BTreeMap<u64, u64>| ClassBaseline {
        median_us: quantile(latencies, 0.5),
        percentile_99_us: quantile(latencies, 0.99),
    };
    all.into_iter()
        .map(|(class, latencies)| (class.to_string(), baseline(&latencies)))
        .collect()
}

/// The latency up to which such a fraction of the responses came; 0 where there is none.
fn quantile(latencies: &BTreeMap<u64, u64>, fraction: f64) -> u64 {
    let mut remaining = latencies.values().sum::<u64>() as f64 * fraction;
    let reached = latencies.iter().find(|(_, count)| {
        remaining -= **count as f64;
        remaining <= 0.0
    });
    reached.map_or(0, |(latency_us, _)| *latency_us)
}

/// The weighted mean difference of each measure.
#[derive(Default)]
struct Differences(BTreeMap<Measure, WeightedMean>);

impl Differences {
    fn add(&mut self, measure: Measure, weight: f64, difference: f64) {
        let mean = self.0.entry(measure).or_default();
        mean.add(weight, difference);
    }

    /// Class by class and plan by plan, so that customers of another kind are nobody's fault.
    fn add_requests(&mut self, pair: &CohortPair) {
        for (name, new) in &pair.new.requests {
            let Some(old) = pair.old.requests.get(name) else {
                continue;
            };
            let requests = comparison_weight(new.total as f64, old.total as f64);
            let priority = new.weight as f64 / WEIGHT_SCALE;
            let lost =
                new.fraction(new.rejected + new.failed) - old.fraction(old.rejected + old.failed);
            let failed = new.fraction(new.failed) - old.fraction(old.failed);
            self.add(Measure::Lost, priority * requests, lost);
            self.add(Measure::Failed, requests, failed);
        }
    }

    fn add_latencies(&mut self, pair: &CohortPair, baseline: &LatencyBaseline) {
        for (class, before) in baseline {
            for (measure, latency_us) in [
                (Measure::Median, before.median_us),
                (Measure::Percentile99, before.percentile_99_us),
            ] {
                let new = pair.new.later_than(class, latency_us);
                let old = pair.old.later_than(class, latency_us);
                let weight = comparison_weight(new.responses, old.responses);
                self.add(measure, weight, new.fraction - old.fraction);
            }
        }
    }

    fn add_cpu(&mut self, pair: &CohortPair) {
        let (new, old) = (pair.new.total(), pair.old.total());
        if new.min(old) > 0.0 && new.max(old) <= MAX_LOAD_RATIO * new.min(old) {
            let difference =
                relative_difference(pair.new.cpu_us_per_request(), pair.old.cpu_us_per_request());
            self.add(Measure::Cpu, comparison_weight(new, old), difference);
        }
    }

    fn add_memory(&mut self, pair: &CohortPair) {
        let CohortPair { new, old } = pair;
        if new.seconds > 0.0 && old.seconds > 0.0 {
            let growth = new.memory_growth_per_second() - old.memory_growth_per_second();
            let memory = (new.mean_memory_kb() + old.mean_memory_kb()).max(1.0);
            self.add(Measure::MemoryGrowth, 1.0, 2.0 * growth / memory);
        }
    }
}

impl ComparisonBlock {
    /// How many requests on each side the comparison is as good as.
    pub fn weight(&self) -> f64 {
        self.zone_groups
            .values()
            .map(|pair| 2.0 * comparison_weight(pair.new.total(), pair.old.total()))
            .sum()
    }

    /// What the new version has more of than the old one, zone group by zone group, so that customers in another place are
    /// nobody's fault; none where there is nothing to compare.
    pub fn differences(&self, baseline: &LatencyBaseline) -> BTreeMap<Measure, f64> {
        let mut differences = Differences::default();
        for pair in self.zone_groups.values() {
            differences.add_requests(pair);
            differences.add_latencies(pair, baseline);
            differences.add_cpu(pair);
            differences.add_memory(pair);
        }
        differences
            .0
            .into_iter()
            .filter_map(|(measure, mean)| Some((measure, mean.get()?)))
            .collect()
    }
}
