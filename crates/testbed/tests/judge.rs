//! The judge must be able to fail: an ingress that breaks one rule on purpose is found out, with that rule, with the
//! request, and with no other rule.

use std::collections::BTreeSet;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use wrenfork_testbed::judge::Rule;
use wrenfork_testbed::report::{Report, Verdict};
use wrenfork_testbed::rig::{play, Run};
use wrenfork_testbed::scenario::Scenario;

/// One at a time: a rig wants its core.
static ALONE: Mutex<()> = Mutex::new(());

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
    let _alone = ALONE.lock().unwrap_or_else(|e| e.into_inner());
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
    // A rig that the machine held up has no say: it is asked again.
    for _ in 0..10 {
        let report = play_once(&program);
        if report.verdict != Verdict::Late {
            return report;
        }
    }
    panic!("the machine is too busy for the rig");
}

/// Plays a wrong ingress and checks that the judge names just this rule, and no request but those that were wronged.
fn found_out(wrong: &str, rule: Rule, more: &str) {
    found_out_in(WORLD, wrong, rule, more);
}

fn found_out_in(world: &str, wrong: &str, rule: Rule, more: &str) {
    let report = run(wrong, &format!("{world}{more}"));
    let log = &report.ingress_logs[0];
    let wronged: BTreeSet<u64> = log
        .lines()
        .filter_map(|l| l.strip_prefix("wrong: "))
        .map(|id| u64::from_str_radix(id, 16).unwrap())
        .collect();
    assert!(!wronged.is_empty(), "the ingress did no wrong");
    assert_eq!(report.verdict, Verdict::Broken, "{wrong} was not found out");
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
            wronged.contains(&v.request),
            "{wrong}: the judge names another request: {v:?}"
        );
    }
}

/// Guards against a judge that finds fault where there is none.
#[test]
fn an_ingress_that_keeps_all_rules_is_not_accused() {
    let report = run("nothing", &format!("{WORLD}{RESETS}"));
    assert_eq!(
        report.verdict,
        Verdict::Held,
        "{:?} {:?}",
        report.violations,
        report.crashes
    );
    assert!(report.served > 50, "it served {}", report.served);
    assert!(report.failed > 0, "the resets hit nobody");
}

/// Backends that cut connections behind the last byte: what was sent may have run.
const RESETS: &str = "
[[at]]
at = \"200ms\"
what = \"reset\"
backend = [0, 1]
for = \"1s\"
";

#[test]
fn two_answers_to_one_request() {
    found_out("twice", Rule::Answer, "");
}

#[test]
fn a_request_that_is_lost() {
    found_out("lose", Rule::Answer, "");
}

#[test]
fn an_answer_after_its_time() {
    found_out("late", Rule::Answer, "");
}

#[test]
fn an_answer_that_no_backend_made() {
    found_out("foreign", Rule::Answer, "");
}

#[test]
fn a_request_sent_on_after_its_final_answer() {
    found_out("after", Rule::Answer, "");
}

#[test]
fn an_unsafe_request_sent_again_after_a_reset() {
    found_out("resend", Rule::Effects, RESETS);
}

/// Of one request two attempts out at once, on a site that allows one.
#[test]
fn a_second_attempt_while_the_first_is_out() {
    let world = WORLD.replace("peers = false", "peers = false\nsecond_copies = false");
    let hang = "[[at]]\nat = \"200ms\"\nwhat = \"hang\"\nbackend = 0\nfor = \"1s\"\n";
    found_out_in(&world, "copies", Rule::Effects, hang);
}

#[test]
fn an_unsafe_request_refused_though_it_may_have_run() {
    found_out("refuse", Rule::Effects, RESETS);
}

/// The ingress never asks discovery: it must be told all the same, so it takes its list from there once. What it
/// was told counts, not what it makes of it.
#[test]
fn new_work_for_a_backend_that_drains() {
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
fn units_beyond_a_ceiling() {
    found_out(
        "ceiling",
        Rule::Ceilings,
        "\n[[at]]\nat = \"100ms\"\nwhat = \"hot\"\naccounts = 1\nrate = 150\nfor = \"1s\"\n",
    );
}

#[test]
fn a_flood_for_a_cold_backend() {
    let cold = "\n[[backends]]\ncount = 1\nmodel = \"m\"\nhall = \"hall-a\"\ncores = 1\nspeed = 0.1\ncold = true\nqueue = 200\n";
    found_out("cold", Rule::Cold, cold);
}
