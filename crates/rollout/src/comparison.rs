//! Differences between two cohorts of members over the same period, one with the new version and one with the old.

use crate::metrics::{LatencyBucket, MemberMetrics, RequestCounts, WEIGHT_SCALE};
use std::collections::BTreeMap;
use std::fmt;

/// Maximum ratio of the cohorts' request counts up to which processor time per request is compared. A process also spends
/// processor time independent of its requests, which makes each request look more expensive if there are fewer of them.
const MAX_LOAD_RATIO: f64 = 1.25;
/// Tolerance for the fractions of lost, failed and very late requests, relative to the policy's regression.
const FRACTION_TOLERANCE: f64 = 0.25;
/// Tolerance for the fraction of responses later than the median, relative to the policy's regression. It is wide because
/// many latencies are close to the median, so the smallest change in latency moves that fraction.
const MEDIAN_TOLERANCE: f64 = 2.0;
/// Tolerance for processor time per request, as a fraction of it. Hardware threads that share a core, and a different mix of
/// requests, cause differences of a few percent.
const CPU_TOLERANCE: f64 = 0.1;
/// Tolerance for memory growth, as a fraction of the memory per second. A growth of 0.3% of the initial memory per second
/// almost triples the memory in ten minutes.
const MEMORY_TOLERANCE: f64 = 0.003;
const MS_PER_SECOND: f64 = 1e3;
/// Smallest denominator of a relative difference, to avoid division by zero.
const MIN_DENOMINATOR: f64 = 1e-9;

/// A quantity that is compared between the cohorts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Fraction of the weighted requests within quotas that were rejected or failed.
    Lost,
    /// Fraction of the requests within quotas that failed.
    Failed,
    /// Fraction of the responses later than the baseline median.
    Median,
    /// Fraction of the responses later than the baseline 99th percentile.
    Percentile99,
    /// Processor time per request, relative to the mean of both cohorts.
    Cpu,
    /// Memory growth per second, relative to the mean memory of both cohorts.
    MemoryGrowth,
}

impl Measure {
    /// All measures.
    pub const ALL: [Measure; 6] = [
        Measure::Lost,
        Measure::Failed,
        Measure::Median,
        Measure::Percentile99,
        Measure::Cpu,
        Measure::MemoryGrowth,
    ];

    /// Returns the difference up to which the new version does not count as worse. Members also differ in their customers and
    /// their location. For most fractions the tolerance is a quarter of the regression, so that most of a regression is above
    /// the tolerance.
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
            Measure::Lost => "weighted requests lost within quotas",
            Measure::Failed => "failed requests",
            Measure::Median => "responses later than the previous median",
            Measure::Percentile99 => "responses later than the previous 99th percentile",
            Measure::Cpu => "processor time per request",
            Measure::MemoryGrowth => "memory growth per second",
        })
    }
}

/// Sums of the metrics of a cohort over a block of time.
#[derive(Clone, Debug, Default)]
pub struct Cohort {
    /// By class and plan, in the form `class/plan`.
    requests: BTreeMap<String, RequestCounts>,
    /// Number of responses by class, then by latency in microseconds.
    latencies: BTreeMap<String, BTreeMap<u64, u64>>,
    cpu_us: u64,
    /// Sum of the memory over all samples.
    memory_kb: u64,
    memory_growth_kb: i64,
    /// Sum of the observed time over all members.
    seconds: f64,
    samples: u32,
}

/// Late responses of a class.
#[derive(Clone, Copy, Debug, Default)]
struct LateResponses {
    /// Fraction of the responses that were late.
    fraction: f64,
    /// Responses of the class, whether late or not.
    responses: f64,
}

impl Cohort {
    /// Adds the activity of a member between two observations.
    pub fn add(&mut self, before: &MemberMetrics, after: &MemberMetrics) {
        for (name, counts) in &after.requests {
            let earlier = before.requests.get(name).copied().unwrap_or_default();
            let added = counts.since(&earlier);
            self.requests.entry(name.clone()).or_default().add(&added);
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
            let added = bucket.count.saturating_sub(earlier);
            if added > 0 {
                *latencies.entry(bucket.latency_us).or_default() += added;
            }
        }
    }

    /// Returns the number of requests of all classes and plans.
    fn total_requests(&self) -> f64 {
        self.requests
            .values()
            .map(|counts| counts.total)
            .sum::<u64>() as f64
    }

    /// Returns the responses of a class with a latency above `latency_us`.
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
        self.cpu_us as f64 / self.total_requests()
    }

    fn memory_growth_per_second(&self) -> f64 {
        self.memory_growth_kb as f64 / self.seconds
    }

    fn mean_memory_kb(&self) -> f64 {
        self.memory_kb as f64 / f64::from(self.samples.max(1))
    }
}

/// Returns the weight of a comparison of two cohorts with these request counts: half their harmonic mean, or 0 if either is 0. It
/// is symmetric, so that equal cohorts are treated equally.
fn comparison_weight(new: f64, old: f64) -> f64 {
    if new + old > 0.0 {
        new * old / (new + old)
    } else {
        0.0
    }
}

/// Returns the difference of two values relative to their mean.
fn relative_difference(new: f64, old: f64) -> f64 {
    2.0 * (new - old) / (new + old).max(MIN_DENOMINATOR)
}

/// A weighted mean; none if the total weight is 0.
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

/// The two cohorts of a zone group.
#[derive(Clone, Debug, Default)]
pub struct CohortPair {
    /// Members with the new version.
    pub new: Cohort,
    /// The same number of members with the old version.
    pub old: Cohort,
}

/// The cohorts of each zone group in a block of time.
#[derive(Clone, Debug, Default)]
pub struct ComparisonBlock {
    /// Cohorts by name of the zone group.
    pub zone_groups: BTreeMap<String, CohortPair>,
}

/// Latencies of a class before the compared block, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassBaseline {
    /// Latency that half of the responses did not exceed.
    pub median_us: u64,
    /// Latency that 99% of the responses did not exceed.
    pub percentile_99_us: u64,
}

/// Latencies before the compared block, by class.
pub type LatencyBaseline = BTreeMap<String, ClassBaseline>;

/// Computes the baseline from the latencies of all members, of the new and the old version together.
pub fn latency_baseline(members: &BTreeMap<String, MemberMetrics>) -> LatencyBaseline {
    let mut by_class: BTreeMap<&str, BTreeMap<u64, u64>> = BTreeMap::new();
    for (class, buckets) in members.values().flat_map(|m| &m.latencies) {
        let latencies = by_class.entry(class).or_default();
        for bucket in buckets {
            *latencies.entry(bucket.latency_us).or_default() += bucket.count;
        }
    }
    let baseline = |latencies: &BTreeMap<u64, u64>| ClassBaseline {
        median_us: quantile(latencies, 0.5),
        percentile_99_us: quantile(latencies, 0.99),
    };
    by_class
        .into_iter()
        .map(|(class, latencies)| (class.to_string(), baseline(&latencies)))
        .collect()
}

/// Returns the latency that this fraction of the responses did not exceed; 0 if there are no responses.
fn quantile(latencies: &BTreeMap<u64, u64>, fraction: f64) -> u64 {
    let mut remaining = latencies.values().sum::<u64>() as f64 * fraction;
    let reached = latencies.iter().find(|(_, count)| {
        remaining -= **count as f64;
        remaining <= 0.0
    });
    reached.map_or(0, |(latency_us, _)| *latency_us)
}

/// Weighted mean difference by measure.
#[derive(Default)]
struct Differences(BTreeMap<Measure, WeightedMean>);

impl Differences {
    fn add(&mut self, measure: Measure, weight: f64, difference: f64) {
        let mean = self.0.entry(measure).or_default();
        mean.add(weight, difference);
    }

    /// Compares requests separately for each class and plan, so that a different mix of customers does not count as a
    /// difference between the versions.
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
        for (class, class_baseline) in baseline {
            for (measure, latency_us) in [
                (Measure::Median, class_baseline.median_us),
                (Measure::Percentile99, class_baseline.percentile_99_us),
            ] {
                let new = pair.new.later_than(class, latency_us);
                let old = pair.old.later_than(class, latency_us);
                let weight = comparison_weight(new.responses, old.responses);
                self.add(measure, weight, new.fraction - old.fraction);
            }
        }
    }

    fn add_cpu(&mut self, pair: &CohortPair) {
        let (new, old) = (pair.new.total_requests(), pair.old.total_requests());
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
    /// Returns the weight of the block, as the equivalent number of requests in each cohort.
    pub fn weight(&self) -> f64 {
        self.zone_groups
            .values()
            .map(|pair| {
                2.0 * comparison_weight(pair.new.total_requests(), pair.old.total_requests())
            })
            .sum()
    }

    /// Returns the difference of each measure, positive if the new version has more of it. Cohorts are compared within each
    /// zone group, so that a different location does not count as a difference between the versions. A measure is omitted if
    /// there is nothing to compare.
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
