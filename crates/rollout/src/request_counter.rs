//! Counts requests where they end. A request costs a look-up in a small table and an addition.

use crate::metrics::{LatencyBucket, MemberMetrics, RequestCounts};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap};

/// The most classes on plans that are told apart; more are counted together.
pub const MAX_KINDS: usize = 512;
/// The most classes whose latencies are kept.
const MAX_CLASSES: usize = 64;
/// Microseconds of the longest latency that is told from longer ones.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 2;
/// What separates the name of a plan from the account that it was made for.
const OWN_PLAN_SEPARATOR: char = '~';
/// The plan under which what is too many is counted.
const OTHER_PLANS: u16 = u16::MAX;
/// The name under which what is too many is counted.
const OTHER_NAMES: &str = "/";

/// How a request ended, as it is counted here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// Served, after so many microseconds.
    Served(u64),
    /// Rejected inside its quota.
    Rejected,
    /// Failed.
    Failed,
}

/// A class on a plan, by their places in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Place {
    class: u8,
    plan: u16,
}

/// The counts of a member.
#[derive(Debug, Default)]
pub struct RequestCounter {
    /// By place, since the names of the places last changed.
    places: HashMap<Place, RequestCounts>,
    place_latencies: HashMap<u8, Histogram<u64>>,
    /// By name.
    named: BTreeMap<String, RequestCounts>,
    named_latencies: BTreeMap<String, Histogram<u64>>,
}

impl RequestCounter {
    /// A request of a class on a plan, by their places, has ended; its weight in parts of [`crate::WEIGHT_SCALE`].
    pub fn record(&mut self, class: u8, plan: u16, weight: u64, outcome: RequestOutcome) {
        let mut place = Place { class, plan };
        if self.places.len() >= MAX_KINDS && !self.places.contains_key(&place) {
            place.plan = OTHER_PLANS;
        }
        let counts = self.places.entry(place).or_default();
        counts.weight = weight;
        counts.total += 1;
        counts.rejected += u64::from(outcome == RequestOutcome::Rejected);
        counts.failed += u64::from(outcome == RequestOutcome::Failed);
        if let RequestOutcome::Served(latency_us) = outcome {
            self.record_latency(class, latency_us);
        }
    }

    fn record_latency(&mut self, class: u8, latency_us: u64) {
        let known = self.place_latencies.contains_key(&class);
        if !known && self.place_latencies.len() >= MAX_CLASSES {
            return;
        }
        if !known {
            let bounds = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
            self.place_latencies.extend(bounds.ok().map(|h| (class, h)));
        }
        if let Some(latencies) = self.place_latencies.get_mut(&class) {
            latencies.saturating_record(latency_us);
        }
    }

    /// Puts what was counted by places under the names that these have: before they change, and for a look.
    pub fn assign_names<'a>(
        &mut self,
        class: impl Fn(u8) -> Option<&'a str>,
        plan: impl Fn(u16) -> Option<&'a str>,
    ) {
        for (place, counts) in self.places.drain() {
            let class = class(place.class).unwrap_or("");
            // An account with a quota of its own is on a plan of its own, named after the one that it is made from.
            let plan = plan(place.plan).and_then(|name| name.split(OWN_PLAN_SEPARATOR).next());
            let mut name = format!("{class}/{}", plan.unwrap_or(""));
            if self.named.len() >= MAX_KINDS && !self.named.contains_key(&name) {
                name = OTHER_NAMES.into();
            }
            self.named.entry(name).or_default().add(&counts);
        }
        for (place, latencies) in self.place_latencies.drain() {
            let name = class(place).unwrap_or("").to_string();
            let has_room = self.named_latencies.len() < MAX_CLASSES;
            match self.named_latencies.get_mut(&name) {
                // Both have the same bounds.
                Some(known) => drop(known.add(&latencies)),
                None if has_room => drop(self.named_latencies.insert(name, latencies)),
                None => {}
            }
        }
    }

    /// What has names: the requests and the latencies of a member's metrics.
    pub fn metrics(&self) -> MemberMetrics {
        let latencies = self.named_latencies.iter();
        MemberMetrics {
            requests: self.named.clone(),
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
