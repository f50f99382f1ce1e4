//! What two cohorts differ by, and how requests are counted.

use wrenfork_rollout::comparison::{
    latency_baseline, ClassBaseline, Cohort, CohortPair, ComparisonBlock, LatencyBaseline, Measure,
};
use wrenfork_rollout::{
    LatencyBucket, MemberMetrics, RequestCounter, RequestCounts, RequestOutcome, MAX_KINDS,
};

const MEMORY_KB: u64 = 30_000;

fn counts(total: u64, rejected: u64, failed: u64) -> RequestCounts {
    RequestCounts {
        weight: 2_000,
        total,
        rejected,
        failed,
    }
}

fn metrics(requests: &[(&str, RequestCounts)], latencies: &[(u64, u64)]) -> MemberMetrics {
    let buckets = latencies.iter().copied().map(LatencyBucket::from).collect();
    MemberMetrics {
        requests: requests
            .iter()
            .map(|(name, counts)| (name.to_string(), *counts))
            .collect(),
        latencies: [("quote".to_string(), buckets)].into(),
        uptime_ms: 1_000,
        cpu_us: 1_000,
        memory_kb: MEMORY_KB,
        ..MemberMetrics::default()
    }
}

/// A cohort of one member, whose memory has grown by so much.
fn cohort(member: &MemberMetrics, growth_kb: u64) -> Cohort {
    let before = MemberMetrics {
        memory_kb: member.memory_kb - growth_kb,
        ..MemberMetrics::default()
    };
    let mut cohort = Cohort::default();
    cohort.add(&before, member);
    cohort
}

fn pair(new: Cohort, old: Cohort) -> ComparisonBlock {
    ComparisonBlock {
        zone_groups: [("a".to_string(), CohortPair { new, old })].into(),
    }
}

fn block(new: &MemberMetrics, old: &MemberMetrics) -> ComparisonBlock {
    pair(cohort(new, 0), cohort(old, 0))
}

/// Guards against a cohort that is blamed for its customers: one with more of those whose requests fail anyway.
#[test]
fn requests_are_compared_with_those_of_the_same_class_and_plan() {
    let none = LatencyBaseline::new();
    let mixed = metrics(
        &[
            ("quote/a", counts(10, 0, 0)),
            ("quote/b", counts(190, 0, 95)),
        ],
        &[],
    );
    let other = metrics(
        &[
            ("quote/a", counts(190, 0, 0)),
            ("quote/b", counts(10, 0, 5)),
        ],
        &[],
    );
    let found = block(&mixed, &other).differences(&none);
    assert_eq!(found[&Measure::Failed], 0.0);
    assert_eq!(found[&Measure::Lost], 0.0);
    let worse = metrics(&[("quote/a", counts(100, 4, 0))], &[]);
    let good = metrics(&[("quote/a", counts(100, 0, 0))], &[]);
    let found = block(&worse, &good).differences(&none);
    assert!((found[&Measure::Lost] - 0.04).abs() < 1e-9 && found[&Measure::Failed] == 0.0);
    assert!((block(&worse, &worse).weight() - 100.0).abs() < 1e-9);
    let nothing = block(&worse, &MemberMetrics::default()).differences(&none);
    assert!(!nothing.contains_key(&Measure::Lost));
}

#[test]
fn late_responses_cpu_and_memory_are_compared() {
    let requests = [("quote/a", counts(100, 0, 0))];
    let quick = metrics(&requests, &[(1_000, 60), (2_000, 39), (9_000, 1)]);
    let slow = metrics(
        &requests,
        &[(1_000, 60), (2_000, 37), (9_000, 1), (40_000, 2)],
    );
    let baseline = latency_baseline(&[("n0".to_string(), quick.clone())].into());
    let expected = ClassBaseline {
        median_us: 1_000,
        percentile_99_us: 2_000,
    };
    assert_eq!(baseline["quote"], expected);
    let found = block(&slow, &quick).differences(&baseline);
    assert!((found[&Measure::Percentile99] - 0.02).abs() < 1e-9);
    assert!(found[&Measure::Median].abs() < 1e-9);

    let expensive = MemberMetrics {
        cpu_us: 3_000,
        ..quick.clone()
    };
    let found = block(&expensive, &quick).differences(&baseline);
    assert!((found[&Measure::Cpu] - 1.0).abs() < 1e-9);
    let idle = MemberMetrics {
        requests: metrics(&[("quote/a", counts(50, 0, 0))], &[]).requests,
        ..expensive
    };
    let found = block(&idle, &quick).differences(&baseline);
    assert!(!found.contains_key(&Measure::Cpu), "half as busy");

    let leaking = pair(cohort(&quick, 1_024), cohort(&quick, 0));
    let grown = leaking.differences(&baseline)[&Measure::MemoryGrowth];
    assert!((grown - 1_024.0 / 30_000.0).abs() < 1e-3, "{grown}");
}

#[test]
fn counts_by_place_stay_under_their_names_when_the_places_change() {
    let mut counter = RequestCounter::default();
    counter.record(0, 0, 2_000, RequestOutcome::Served(1_500));
    counter.record(0, 1, 2_000, RequestOutcome::Rejected);
    counter.assign_names(
        |_| Some("quote"),
        |plan| Some(["starter", "starter~9~9"][usize::from(plan)]),
    );
    counter.record(0, 0, 3_000, RequestOutcome::Failed);
    counter.assign_names(|_| Some("refer"), |_| Some("starter"));
    let metrics = counter.metrics();
    assert_eq!(metrics.requests["quote/starter"], counts(2, 1, 0));
    let refer = RequestCounts {
        weight: 3_000,
        ..counts(1, 0, 1)
    };
    assert_eq!(metrics.requests["refer/starter"], refer);
    let responses: u64 = metrics.latencies["quote"].iter().map(|b| b.count).sum();
    assert_eq!(responses, 1);
    let text = serde_json::to_string(&metrics).unwrap();
    let read: MemberMetrics = serde_json::from_str(&text).unwrap();
    assert_eq!(read, metrics);
}

#[test]
fn kinds_of_requests_stay_bounded() {
    let mut counter = RequestCounter::default();
    for plan in 0..2_000 {
        counter.record(0, plan, 1, RequestOutcome::Failed);
        counter.record(0, plan, 1, RequestOutcome::Served(u64::MAX));
    }
    let names: Vec<String> = (0..2_000).map(|plan| format!("p{plan}")).collect();
    counter.assign_names(
        |_| Some("quote"),
        |plan| names.get(usize::from(plan)).map(String::as_str),
    );
    assert!(counter.metrics().requests.len() <= MAX_KINDS + 1);
}
