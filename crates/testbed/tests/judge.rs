//! Tests that the judge detects violations: for an ingress that breaks one rule on purpose, the judge reports this rule
//! and these requests, and no other rule.

use std::collections::BTreeSet;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use wrenfork_testbed::judge::Rule;
use wrenfork_testbed::report::{Report, Verdict};
use wrenfork_testbed::rig::{play, Run};
use wrenfork_testbed::scenario::Scenario;

/// Serializes the runs: a rig needs a CPU core of its own.
static RUN_LOCK: Mutex<()> = Mutex::new(());

const WORLD: &str = r#"
version = 1
about = "A small world for an ingress that is wrong on purpose"
seed = 5
lasts = "1500ms"
[network]
peers = false
[ingresses]
count = 1
memory_mb = 512
[clients]
rate = 120
accounts = 40
retries = 0
spread = [1, 1]
[[class]]
name = "quote"
share = 0.5
work = "10ms"
aim = "300ms"
deadline = "600ms"
worth = 2
effect = "safe"
[[class]]
name = "lender-referral"
share = 0.5
work = "20ms"
aim = "500ms"
deadline = "1s"
worth = 3
effect = "unsafe"
[[plan]]
name = "business"
share = 1
rate = 8
burst = 16
ceiling = 16
ceiling_burst = 32
[[backends]]
count = 4
model = "m"
hall = "hall-a"
cores = 4
"#;

fn run(wrong: &str, world: &str) -> Report {
    let _guard = RUN_LOCK.lock().unwrap_or_else(|e| e.into_inner());
    let scenario = Scenario::parse("world.toml", world).unwrap_or_else(|e| panic!("{}", e[0]));
    let dir = tempfile::tempdir().unwrap();
    let program = dir.path().join("ingress");
    let script = format!(
        "#!/bin/sh\nWRONG={wrong} exec '{}'\n",
        env!("CARGO_BIN_EXE_wrong-ingress")
    );
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    let play_once = |program: &Path| {
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
    };
    // A run with late timers has no valid verdict and is repeated.
    for _ in 0..10 {
        let report = play_once(&program);
        if report.verdict != Verdict::Late {
            return report;
        }
    }
    panic!("the rig's timers were too late in all 10 runs: the machine is too busy");
}

/// Runs the faulty ingress and checks that the judge reports only this rule, and only requests that the ingress logged.
fn assert_detected(wrong: &str, rule: Rule, more: &str) {
    assert_detected_in(WORLD, wrong, rule, more);
}

fn assert_detected_in(world: &str, wrong: &str, rule: Rule, more: &str) {
    let report = run(wrong, &format!("{world}{more}"));
    let log = &report.ingress_logs[0];
    let violated: BTreeSet<u64> = log
        .lines()
        .filter_map(|l| l.strip_prefix("wrong: "))
        .map(|id| u64::from_str_radix(id, 16).unwrap())
        .collect();
    assert!(!violated.is_empty(), "{wrong}: the ingress broke no rule");
    assert_eq!(
        report.verdict,
        Verdict::Broken,
        "{wrong}: the judge reported no violation"
    );
    for count in &report.rules {
        assert_eq!(
            count.broken > 0,
            count.rule == rule,
            "{wrong}: {:?}",
            report.violations
        );
    }
    for v in &report.violations {
        assert!(
            violated.contains(&v.request),
            "{wrong}: the judge reported a request that is not in the ingress log: {v:?}"
        );
    }
}

/// Guards against false violations.
#[test]
fn correct_ingress_has_no_violations() {
    let report = run("nothing", &format!("{WORLD}{RESETS}"));
    assert_eq!(
        report.verdict,
        Verdict::Held,
        "{:?} {:?}",
        report.violations,
        report.crashes
    );
    assert!(
        report.served > 50,
        "only {} requests were served",
        report.served
    );
    assert!(
        report.failed > 0,
        "no request failed by the injected resets"
    );
}

/// Backends reset connections after the last byte of a command, so the request may have run.
const RESETS: &str = "
[[at]]
at = \"200ms\"
what = \"reset\"
backend = [0, 1]
for = \"1s\"
";

#[test]
fn detects_two_answers_to_one_request() {
    assert_detected("twice", Rule::Answer, "");
}

#[test]
fn detects_a_lost_request() {
    assert_detected("lose", Rule::Answer, "");
}

#[test]
fn detects_a_late_answer() {
    assert_detected("late", Rule::Answer, "");
}

#[test]
fn detects_an_answer_that_no_backend_sent() {
    assert_detected("foreign", Rule::Answer, "");
}

#[test]
fn detects_an_attempt_after_the_final_answer() {
    assert_detected("after", Rule::Answer, "");
}

#[test]
fn detects_a_retry_of_an_unsafe_request_after_a_reset() {
    assert_detected("resend", Rule::Effects, RESETS);
}

/// Two simultaneous attempts of a request without hedged requests.
#[test]
fn detects_simultaneous_attempts() {
    let world = WORLD.replace("peers = false", "peers = false\nsecond_copies = false");
    let hang = "[[at]]\nat = \"200ms\"\nwhat = \"hang\"\nbackend = 0\nfor = \"1s\"\n";
    assert_detected_in(&world, "copies", Rule::Effects, hang);
}

#[test]
fn detects_a_refusal_of_an_unsafe_request_that_may_have_run() {
    assert_detected("refuse", Rule::Effects, RESETS);
}

/// The faulty ingress reads discovery but ignores the content: the judge counts what discovery sent.
#[test]
fn detects_new_work_for_a_draining_backend() {
    let world = format!("{WORLD}\n[[at]]\nat = \"100ms\"\nwhat = \"drain\"\nbackend = 2\n");
    let report = run("drain", &world.replace("1500ms", "2500ms"));
    let count = |rule: Rule| report.rules.iter().find(|c| c.rule == rule).unwrap().broken;
    assert!(count(Rule::Drains) > 5, "{:?}", report.rules);
    assert_eq!(
        Rule::ALL.iter().filter(|r| count(**r) > 0).count(),
        1,
        "{:?}",
        report.violations
    );
    assert!(report
        .violations
        .iter()
        .all(|v| v.at > 1_000_000 && v.what.contains("backend 2 ")));
}

#[test]
fn detects_units_beyond_a_ceiling() {
    assert_detected(
        "ceiling",
        Rule::Ceilings,
        "\n[[at]]\nat = \"100ms\"\nwhat = \"hot\"\naccounts = 1\nrate = 150\nfor = \"1s\"\n",
    );
}

#[test]
fn detects_an_overload_of_a_cold_backend() {
    let cold = "\n[[backends]]\ncount = 1\nmodel = \"m\"\nhall = \"hall-a\"\ncores = 1\nspeed = 0.1\ncold = true\nqueue = 200\n";
    assert_detected("cold", Rule::Cold, cold);
}
