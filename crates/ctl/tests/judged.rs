//! A change under full load, by the judge of the rules: three ingresses at work between stand-ins, and in the midst of it
//! a plan is made from what they enforce and applied to all of them.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use wrenfork_commit::coordinator::{CommitPhase, Coordinator, Decision};
use wrenfork_commit::plan::{IngressSnapshot, Plan, PlanHeader};
use wrenfork_commit::protocol::{CommitRequest, CommitResponse};
use wrenfork_commit::state::{Generation, State};
use wrenfork_control_plane::client;
use wrenfork_testbed::report::Verdict;
use wrenfork_testbed::rig::{play, Run};
use wrenfork_testbed::scenario::Scenario;

const WAIT: Duration = Duration::from_secs(10);

const WORLD: &str = r#"
version = 1
about = "A change in the midst of the load"
seed = 23
lasts = "6s"
[ingresses]
count = 3
[clients]
rate = 200
accounts = 60
[[class]]
name = "quote"
share = 0.6
work = "20ms"
aim = "400ms"
deadline = "1s"
worth = 2
effect = "safe"
[[class]]
name = "referral"
share = 0.4
work = "30ms"
aim = "2s"
deadline = "4s"
worth = 3
effect = "unsafe"
[[plan]]
name = "business"
share = 1
rate = 6
burst = 12
ceiling = 12
ceiling_burst = 24
[[backends]]
count = 6
model = "m"
hall = "hall-a"
cores = 4
"#;

fn status(at: &Path) -> (String, Generation, Arc<State>) {
    match client::request(at, &CommitRequest::Status, WAIT) {
        Ok(CommitResponse::Status {
            ingress,
            generation,
            state,
            ..
        }) => (ingress, generation, state),
        other => panic!("{other:?}"),
    }
}

/// Lowers quota and ceiling at all of them by one change; how it ended.
fn change(sockets: &[PathBuf]) -> CommitPhase {
    let seen = sockets.iter().map(|at| {
        let (ingress, base, has) = status(at);
        let mut wanted = State::clone(&has);
        for (key, value) in [
            ("quota_rate", "4"),
            ("never_over_rate", "8"),
            ("ceiling_burst", "16"),
        ] {
            let old = wanted.0.insert(format!("contracts.0.{key}"), value.into());
            assert!(old.is_some_and(|old| old != value), "{key} is as it was");
        }
        let (control, used) = (at.display().to_string(), BTreeMap::new());
        IngressSnapshot {
            ingress,
            control,
            base,
            current: has,
            wanted: wanted.into(),
            usage: used,
            extra_dangers: Vec::new(),
        }
    });
    let header = PlanHeader {
        author: "ann".into(),
        made_at: 0,
        valid_for: 1,
    };
    let plan = Plan::make(header, seen.collect()).unwrap();
    let mut applier = Coordinator::new(&plan, 1);
    while !matches!(
        applier.phase,
        CommitPhase::Ended(_) | CommitPhase::Superseded
    ) {
        for (n, target) in plan.targets.iter().enumerate() {
            if let Some(ask) = applier.next_request(n) {
                applier.handle_response(
                    n,
                    client::request(Path::new(&target.control), &ask, WAIT).ok(),
                );
            }
        }
    }
    applier.phase
}

/// Guards against a change that loses, fails or doubles requests, or lets more through than a ceiling, before, in or behind
/// the switch.
#[test]
fn a_change_under_load_breaks_no_rule_and_fails_nobody() {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("ingress");
    let built = Path::new(env!("CARGO_BIN_EXE_wrenctl")).with_file_name("wrenfork");
    let run = folder.path().join("run");
    let script = format!(
        "#!/bin/sh\nexec '{}' --control '{}'/$$.control\n",
        built.display(),
        run.display()
    );
    fs::write(&program, script).unwrap();
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
    let scenario = Scenario::parse("judged.toml", WORLD).unwrap_or_else(|e| panic!("{}", e[0]));
    // A run in which the machine held the rig up has no verdict, and is played again.
    for _ in 0..5 {
        let _ = fs::remove_dir_all(&run);
        fs::create_dir(&run).unwrap();
        let at = run.clone();
        let applier = thread::spawn(move || {
            let sockets = loop {
                let found: Vec<PathBuf> = fs::read_dir(&at)
                    .unwrap()
                    .map(|e| e.unwrap().path())
                    .collect();
                if found
                    .iter()
                    .filter(|p| p.extension().is_some_and(|e| e == "control"))
                    .count()
                    == 3
                {
                    break found
                        .into_iter()
                        .filter(|p| p.extension().is_some_and(|e| e == "control"))
                        .collect::<Vec<_>>();
                }
                thread::sleep(Duration::from_millis(20));
            };
            thread::sleep(Duration::from_secs(3));
            let ended = change(&sockets);
            let now: Vec<Generation> = sockets.iter().map(|at| status(at).1).collect();
            (ended, now)
        });
        let stop = AtomicBool::new(false);
        let report = play(
            &scenario,
            Run {
                program: &program,
                stop: &stop,
                watch: None,
            },
        )
        .unwrap_or_else(|e| panic!("{e}"));
        let (ended, now) = applier.join().unwrap();
        assert_eq!(ended, CommitPhase::Ended(Decision::Commit));
        assert!(now.iter().all(|g| g.number == 2), "{now:?}");
        if report.verdict == Verdict::Late {
            continue;
        }
        let found: Vec<_> = report.violations.iter().take(10).collect();
        assert_eq!(
            report.verdict,
            Verdict::Held,
            "{found:?} {:?}",
            report.crashes
        );
        assert_eq!(report.failed, 0, "{:?}", report.classes);
        // The quotas are half of what is asked for, and a third less behind the switch: there was something to keep.
        assert!(
            report.served > 500 && report.refused > 50,
            "{} {}",
            report.served,
            report.refused
        );
        return;
    }
    panic!("the machine is too busy for the rig");
}
