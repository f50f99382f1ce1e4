//! Differences between two cohorts, and counting of requests.

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

/// Creates a cohort of one member whose memory has grown by `growth_kb`.
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

/// Guards against a cohort that counts as worse only because it has more customers whose requests fail with any version.
#[test]
fn requests_are_compared_within_the_same_class_and_plan() {
    let no_baseline = LatencyBaseline::new();
    let mostly_failing_plan = metrics(
        &[
            ("quote/a", counts(10, 0, 0)),
            ("quote/b", counts(190, 0, 95)),
        ],
        &[],
    );
    let mostly_healthy_plan = metrics(
        &[
            ("quote/a", counts(190, 0, 0)),
            ("quote/b", counts(10, 0, 5)),
        ],
        &[],
    );
    let differences = block(&mostly_failing_plan, &mostly_healthy_plan).differences(&no_baseline);
    assert_eq!(differences[&Measure::Failed], 0.0);
    assert_eq!(differences[&Measure::Lost], 0.0);
    let worse = metrics(&[("quote/a", counts(100, 4, 0))], &[]);
    let healthy = metrics(&[("quote/a", counts(100, 0, 0))], &[]);
    let differences = block(&worse, &healthy).differences(&no_baseline);
    assert!(
        (differences[&Measure::Lost] - 0.04).abs() < 1e-9 && differences[&Measure::Failed] == 0.0
    );
    assert!((block(&worse, &worse).weight() - 100.0).abs() < 1e-9);
    let without_old_requests = block(&worse, &MemberMetrics::default()).differences(&no_baseline);
    assert!(!without_old_requests.contains_key(&Measure::Lost));
}

#[test]
fn late_responses_cpu_and_memory_are_compared() {
    let requests = [("quote/a", counts(100, 0, 0))];
    let fast = metrics(&requests, &[(1_000, 60), (2_000, 39), (9_000, 1)]);
    let slow = metrics(
        &requests,
        &[(1_000, 60), (2_000, 37), (9_000, 1), (40_000, 2)],
    );
    let baseline = latency_baseline(&[("n0".to_string(), fast.clone())].into());
    let expected = ClassBaseline {
        median_us: 1_000,
        percentile_99_us: 2_000,
    };
    assert_eq!(baseline["quote"], expected);
    let differences = block(&slow, &fast).differences(&baseline);
    assert!((differences[&Measure::Percentile99] - 0.02).abs() < 1e-9);
    assert!(differences[&Measure::Median].abs() < 1e-9);

    let expensive = MemberMetrics {
        cpu_us: 3_000,
        ..fast.clone()
    };
    let differences = block(&expensive, &fast).differences(&baseline);
    assert!((differences[&Measure::Cpu] - 1.0).abs() < 1e-9);
    let half_load = MemberMetrics {
        requests: metrics(&[("quote/a", counts(50, 0, 0))], &[]).requests,
        ..expensive
    };
    let differences = block(&half_load, &fast).differences(&baseline);
    assert!(
        !differences.contains_key(&Measure::Cpu),
        "processor time must not be compared if one cohort has half the requests"
    );

    let leaking = pair(cohort(&fast, 1_024), cohort(&fast, 0));
    let growth = leaking.differences(&baseline)[&Measure::MemoryGrowth];
    assert!((growth - 1_024.0 / 30_000.0).abs() < 1e-3, "{growth}");
}

#[test]
fn counts_keep_their_names_when_the_settings_change() {
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
    let refer_counts = RequestCounts {
        weight: 3_000,
        ..counts(1, 0, 1)
    };
    assert_eq!(metrics.requests["refer/starter"], refer_counts);
    let responses: u64 = metrics.latencies["quote"].iter().map(|b| b.count).sum();
    assert_eq!(responses, 1);
    let text = serde_json::to_string(&metrics).unwrap();
    let decoded: MemberMetrics = serde_json::from_str(&text).unwrap();
    assert_eq!(decoded, metrics);
}

#[test]
fn number_of_request_kinds_is_bounded() {
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
