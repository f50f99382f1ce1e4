//! Counts ended requests by class and plan. Counting a request costs one lookup in a small table and a few additions.

use crate::metrics::{LatencyBucket, MemberMetrics, RequestCounts};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of combinations of class and plan that are counted separately; further ones are counted together.
pub const MAX_KINDS: usize = 512;
/// Maximum number of classes whose latencies are recorded.
const MAX_CLASSES: usize = 64;
/// Longest latency that is recorded exactly, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of a recorded latency.
const LATENCY_DIGITS: u8 = 2;
/// Separates the name of a plan from the account-specific suffix, if the account has its own variant of the plan.
const ACCOUNT_PLAN_SEPARATOR: char = '~';
/// Plan index under which requests are counted once [`MAX_KINDS`] combinations are in use.
const OVERFLOW_PLAN: u16 = u16::MAX;
/// Name under which requests are counted once [`MAX_KINDS`] names are in use.
const OVERFLOW_NAME: &str = "/";

/// How a counted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, with the latency in microseconds.
    Served(u64),
    /// Rejected although the customer was within the quota.
    Rejected,
    /// Ended with a failure.
    Failed,
}

/// A combination of class and plan, by their indexes in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RequestKind {
    class: u8,
    plan: u16,
}

/// Request counts and latencies of a member since its start.
#[derive(Debug, Default)]
pub struct RequestCounter {
    /// Counts by index, since the last call of [`RequestCounter::assign_names`].
    by_index: HashMap<RequestKind, RequestCounts>,
    /// Latencies by class index, since the last call of [`RequestCounter::assign_names`].
    latencies_by_index: HashMap<u8, Histogram<u64>>,
    /// Counts by name, in the form `class/plan`.
    by_name: BTreeMap<String, RequestCounts>,
    /// Latencies by class name.
    latencies_by_name: BTreeMap<String, Histogram<u64>>,
}

impl RequestCounter {
    /// Counts a request that has ended. `class` and `plan` are indexes in the settings; `weight` is in units of
    /// 1 / [`crate::WEIGHT_SCALE`].
    pub fn record(&mut self, class: u8, plan: u16, weight: u64, outcome: RequestOutcome) {
        let mut kind = RequestKind { class, plan };
        if self.by_index.len() >= MAX_KINDS && !self.by_index.contains_key(&kind) {
            kind.plan = OVERFLOW_PLAN;
        }
        let counts = self.by_index.entry(kind).or_default();
        counts.weight = weight;
        counts.total += 1;
        counts.rejected += u64::from(outcome == RequestOutcome::Rejected);
        counts.failed += u64::from(outcome == RequestOutcome::Failed);
        if let RequestOutcome::Served(latency_us) = outcome {
            self.record_latency(class, latency_us);
        }
    }

    fn record_latency(&mut self, class: u8, latency_us: u64) {
        let known = self.latencies_by_index.contains_key(&class);
        if !known && self.latencies_by_index.len() >= MAX_CLASSES {
            return;
        }
        if !known {
            let bounds = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
            self.latencies_by_index
                .extend(bounds.ok().map(|h| (class, h)));
        }
        if let Some(latencies) = self.latencies_by_index.get_mut(&class) {
            latencies.saturating_record(latency_us);
        }
    }

    /// Moves all counts from indexes to names. Call this before the settings change the meaning of an index, and before
    /// [`RequestCounter::metrics`].
    pub fn assign_names<'a>(
        &mut self,
        class: impl Fn(u8) -> Option<&'a str>,
        plan: impl Fn(u16) -> Option<&'a str>,
    ) {
        for (kind, counts) in self.by_index.drain() {
            let class = class(kind.class).unwrap_or("");
            // An account with its own quota is on its own plan, which is named after the plan that it is derived from.
            let plan = plan(kind.plan).and_then(|name| name.split(ACCOUNT_PLAN_SEPARATOR).next());
            let mut name = format!("{class}/{}", plan.unwrap_or(""));
            if self.by_name.len() >= MAX_KINDS && !self.by_name.contains_key(&name) {
                name = OVERFLOW_NAME.into();
            }
            self.by_name.entry(name).or_default().add(&counts);
        }
        for (index, latencies) in self.latencies_by_index.drain() {
            let name = class(index).unwrap_or("").to_string();
            let has_room = self.latencies_by_name.len() < MAX_CLASSES;
            match self.latencies_by_name.get_mut(&name) {
                // `add` can't fail, as both histograms have the same bounds.
                Some(known) => drop(known.add(&latencies)),
                None if has_room => drop(self.latencies_by_name.insert(name, latencies)),
                None => {}
            }
        }
    }

    /// Returns metrics with the named requests and latencies; all other fields have their default values.
    pub fn metrics(&self) -> MemberMetrics {
        let latencies = self.latencies_by_name.iter();
        MemberMetrics {
            requests: self.by_name.clone(),
            latencies: latencies
                .map(|(name, latencies)| (name.clone(), buckets(latencies)))
                .collect(),
            ..MemberMetrics::default()
        }
    }
}

fn buckets(latencies: &Histogram<u64>) -> Vec<LatencyBucket> {
    latencies
        .iter_recorded()
        .map(|value| LatencyBucket {
            latency_us: value.value_iterated_to(),
            count: value.count_at_value(),
        })
        .collect()
}
