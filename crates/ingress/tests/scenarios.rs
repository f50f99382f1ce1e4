//! Plays every scenario in the repository with the built ingress: no rule may be broken while components fail. The
//! scenarios are long, so they run one after the other in a file of their own.

use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use wrenfork_testbed::report::Verdict;
use wrenfork_testbed::rig::{play, Run};
use wrenfork_testbed::scenario::Scenario;

/// A run that the machine delayed too much has no verdict and is repeated, up to this number of runs.
const MAX_RUNS: usize = 5;

#[test]
fn every_rule_holds_in_every_scenario() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../testbed/scenarios");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    // The tests of `wrenctl` play the demonstration.
    files.retain(|f| !f.ends_with("demo.toml"));
    files.sort();
    assert!(files.len() >= 12);
    let program = Path::new(env!("CARGO_BIN_EXE_wrenfork"));
    let mut failures = Vec::new();
    for file in files {
        let scenario = Scenario::read(&file).unwrap_or_else(|errors| panic!("{}", errors[0]));
        let reports = (0..MAX_RUNS).map(|_| {
            let stop = AtomicBool::new(false);
            play(
                &scenario,
                Run {
                    program,
                    stop: &stop,
                    watch: None,
                },
            )
            .unwrap_or_else(|e| panic!("{e}"))
        });
        let report = reports.into_iter().find(|r| r.verdict != Verdict::Late);
        let Some(report) = report else {
            failures.push(format!(
                "{}: each run was too delayed by the machine for a verdict",
                scenario.name
            ));
            continue;
        };
        println!(
            "{}: {:?}, goodput {:.3}",
            scenario.name, report.verdict, report.goodput
        );
        // A scenario passes if the judge found no violation and enough requests were served.
        if report.verdict != Verdict::Held || report.served < 50 {
            let first_violations: Vec<String> = report
                .violations
                .iter()
                .take(10)
                .map(|v| format!("{v:?}"))
                .collect();
            failures.push(format!(
                "{}: {} {:?}",
                scenario.name,
                first_violations.join("\n  "),
                report.crashes
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Guards against link faults of a scenario that have no effect: group members that cannot reach each other reject
/// requests once their leases have expired, and serve again afterwards.
#[test]
fn a_partitioned_group_rejects_requests_and_serves_again() {
    let base_scenario = include_str!("../../testbed/scenarios/calm.toml");
    let grouped = base_scenario.replacen(
        "count = 3\n",
        "count = 3\n\n[group]\nlease = \"600ms\"\n",
        1,
    );
    let partition_fault = "\n[[at]]\nat = \"500ms\"\nwhat = \"link\"\nfrom = [0, 1, 2]\nto = [0, 1, 2]\nfault = \"dropped\"\nfor = \"2s\"\n";
    let program = Path::new(env!("CARGO_BIN_EXE_wrenfork"));
    let [connected, partitioned] = [grouped.clone(), grouped + partition_fault].map(|text| {
        let scenario =
            Scenario::parse("group.toml", &text).unwrap_or_else(|errors| panic!("{}", errors[0]));
        let reports = (0..MAX_RUNS).map(|_| {
            let stop = AtomicBool::new(false);
            play(
                &scenario,
                Run {
                    program,
                    stop: &stop,
                    watch: None,
                },
            )
            .unwrap_or_else(|e| panic!("{e}"))
        });
        let report = reports
            .into_iter()
            .find(|r| r.verdict != Verdict::Late)
            .expect("each run was too delayed by the machine for a verdict");
        assert_eq!(
            report.verdict,
            Verdict::Held,
            "{:?} {:?}",
            report.violations,
            report.crashes
        );
        report
    });
    assert!(
        partitioned.refused > connected.refused + 20,
        "{} requests refused without the partition, {} with it",
        connected.refused,
        partitioned.refused
    );
    assert!(
        partitioned.served > 150,
        "{} requests served, {} refused",
        partitioned.served,
        partitioned.refused
    );
}
