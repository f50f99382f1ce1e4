//! Programs that go through a group in stages, with keepers of their processes: by real processes, odd ones among them.

use super::rollout::says_of_rollout;
use super::says;
use super::site::{end, probe, told, version, Got, Group, Layout};
use std::fs;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_rollout::RolloutPhase;
use wrenfork_testbed::service_fixture::Client;

pub fn kept(versions: &[&'static str]) -> Layout {
    Layout {
        versions: versions.to_vec(),
        ..Layout::of(4, 1)
    }
}

/// One of these plays at a time, of ten processes each: judged are times as well, which a crowded machine stretches.
static ALONE: Mutex<()> = Mutex::new(());

pub fn alone() -> MutexGuard<'static, ()> {
    ALONE.lock().unwrap_or_else(|e| e.into_inner())
}

impl Group {
    /// Begins a rollout of a version of the program.
    pub fn roll_program(
        &mut self,
        who: &str,
        to: usize,
        stages: &str,
        more: &str,
    ) -> std::process::Output {
        let from = self.wants_version;
        self.wants_version = to;
        let planned = self.plan(who, self.wants);
        assert_eq!(planned.status.code(), Some(2), "{}", told(&planned));
        says_of_rollout(self, stages, more);
        let [old, new] =
            [from, to].map(|n| version(self.layout.versions[n]).0.display().to_string());
        let plan = format!("{who}.plan");
        let line = [
            "rollout",
            "start",
            &plan,
            "--terms",
            "terms.toml",
            "--yes",
            "--program",
            &old,
            "--program",
            &new,
        ];
        self.run(&line)
    }

    /// Waits until every ingress that runs runs a version.
    pub fn all_run(&self, version: &str) {
        self.wait(&format!("all run {version}"), || {
            (0..self.at.len()).all(|n| self.runs(n).as_deref() == Some(version))
        });
    }

    pub fn running(&self, version: &str) -> usize {
        (0..self.at.len())
            .filter(|n| self.runs(*n).as_deref() == Some(version))
            .count()
    }
}

/// No connection of a client's ends and no request is turned back: a new program goes through a group by handover.
#[test]
fn a_good_program_goes_through_and_no_request_is_lost() {
    let _alone = alone();
    let mut group = Group::started(kept(&["equal", "newer"]));
    group.all_run("equal");
    let load = group.load();
    let mut clients: Vec<Client> = group.at.iter().map(|at| Client::connect(*at)).collect();
    let mut served = |round: u64| {
        for (n, client) in clients.iter_mut().enumerate() {
            let answer = client.ask(&probe(1 << 50 | round << 10 | n as u64));
            assert!(
                answer.starts_with("policy p0"),
                "kept through the change: {answer}"
            );
        }
    };
    served(0);
    says(
        &group.roll_program("ann", 1, "[\"1\", \"50%\", \"all\"]", ""),
        0,
        &["made: stage 1", "can hand over to its successor"],
    );
    group.until("the end", |p| *p == RolloutPhase::Completed);
    group.all_run("newer");
    assert_eq!(group.agreed(), "p0");
    served(1);
    let answers = load.stop();
    let wrong: Vec<_> = answers
        .iter()
        .filter(|(_, got)| !matches!(got, Got::Policy(_)))
        .take(5)
        .collect();
    assert!(
        wrong.is_empty() && answers.len() > 1_000,
        "{wrong:?} of {}\n{}",
        answers.len(),
        group.logs()
    );
    let remembered = |n: usize| {
        fs::read_to_string(group.path(&format!("tend-{n}/tend.json"))).unwrap_or_default()
    };
    group.wait("it has proven itself everywhere", || {
        (0..4).all(|n| remembered(n).contains("\"proven\": \"newer@"))
    });
    // A machine that starts again begins with that one.
    group.kill(0);
    let id = group.process(0).expect("it goes on without its keeper");
    end(id, "KILL");
    group.wait("it is gone", || group.process(0).is_none());
    group.spawn(0, "");
    group.ready(0);
    assert_eq!(group.runs(0).as_deref(), Some("newer"));
}

/// What fails, dies or never comes into service is stopped in the first stage, and all run the old one again.
#[test]
fn bad_programs_are_stopped_in_their_first_stage() {
    let _alone = alone();
    for (word, why) in [
        ("fails:30", "compared with the old version"),
        ("dies:1500", "started again"),
        ("never", "come into service"),
    ] {
        let mut group = Group::started(kept(&["equal", word]));
        group.all_run("equal");
        let load = group.load();
        says(
            &group.roll_program("ann", 1, "[\"1\", \"all\"]", ""),
            0,
            &["made: stage 1"],
        );
        let mut most = 0;
        let name = word.replace(':', "-");
        group.until("its stop", |p| {
            most = most.max(group.running(&name));
            *p == RolloutPhase::RolledBack
        });
        says(
            &group.run(&["rollout", "status", "ann"]),
            0,
            &["stopped: all have the old one", why],
        );
        group.all_run("equal");
        assert_eq!(group.agreed(), "p0");
        assert!(most <= 1, "{word}: {most} had it");
        drop(load.stop());
    }
}

/// A rollout that could not be taken back does not begin, nor one without the files that say so.
#[test]
fn what_speaks_otherwise_is_refused_before_it_begins() {
    let _alone = alone();
    let mut group = Group::started(kept(&["equal", "stranger"]));
    let refused = group.roll_program("ann", 1, "[\"all\"]", "");
    says(
        &refused,
        1,
        &[
            "could not be taken back",
            "peers' messages",
            "control lines",
        ],
    );
    let line = [
        "rollout",
        "start",
        "ann.plan",
        "--terms",
        "terms.toml",
        "--yes",
    ];
    says(&group.run(&line), 1, &["no --program FILE has the digest"]);
    says(
        &group.run(&["apply", "ann.plan", "--yes"]),
        1,
        &["a program is changed by a rollout"],
    );
    group.all_run("equal");
}

/// Its keeper dies and comes back without the ingress noticing; in the middle of a change as well.
#[test]
fn a_keeper_that_dies_is_not_noticed() {
    let _alone = alone();
    let mut group = Group::started(kept(&["equal", "newer"]));
    let load = group.load();
    let before: Vec<_> = (0..4).map(|n| group.process(n)).collect();
    for n in 0..4 {
        group.kill(n);
    }
    thread::sleep(Duration::from_millis(500));
    (0..4).for_each(|n| group.spawn(n, ""));
    thread::sleep(Duration::from_millis(500));
    assert_eq!(before, (0..4).map(|n| group.process(n)).collect::<Vec<_>>());
    says(
        &group.roll_program("ann", 1, "[\"1\", \"all\"]", ""),
        0,
        &["made: stage 1"],
    );
    // Killed at every step of the change: whichever process is left is found, and the change goes on.
    let mut kills = 0;
    group.wait("the first one runs it", || group.running("newer") > 0);
    group.until("the last stage", |p| {
        matches!(
            p,
            RolloutPhase::Active { stage: 1 } | RolloutPhase::Completed
        )
    });
    while group.running("newer") < 4 {
        for n in 0..4 {
            group.kill(n);
            group.spawn(n, "");
        }
        kills += 1;
        thread::sleep(Duration::from_millis(300 + 70 * (kills % 8)));
        assert!(kills < 100, "{}", group.logs());
    }
    group.until("the end", |p| *p == RolloutPhase::Completed);
    group.all_run("newer");
    assert_eq!(group.agreed(), "p0");
    let answers = load.stop();
    let wrong: Vec<_> = answers
        .iter()
        .filter(|(_, got)| matches!(got, Got::Other(_)))
        .take(5)
        .collect();
    assert!(
        wrong.is_empty() && answers.len() > 1_000,
        "{wrong:?} of {}\n{}",
        answers.len(),
        group.logs()
    );
}

/// What can't be remembered is not begun: a keeper whose disk is full keeps what serves, and changes it once there is room. A member
/// that is down through all of it comes back with the old program, and changes to what stands.
#[test]
fn a_full_disk_at_a_keeper_and_a_member_that_was_down() {
    let _alone = alone();
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let mut group = Group::started(kept(&["equal", "newer"]));
    let load = group.load();
    group.kill(3);
    end(
        group.process(3).expect("it goes on without its keeper"),
        "KILL",
    );
    group.wait("it is gone", || group.process(3).is_none());
    says(
        &group.roll_program("ann", 1, "[\"1\", \"all\"]", ""),
        0,
        &["made: stage 1"],
    );
    group.wait("one changes", || group.running("newer") > 0);
    let old = (0..3)
        .find(|n| group.runs(*n).as_deref() == Some("equal"))
        .unwrap();
    let keeper = Pid::from_raw(group.ingresses[old].as_ref().unwrap().child.id() as i32);
    let room = |most| {
        prlimit(
            keeper,
            Resource::Fsize,
            Rlimit {
                current: most,
                maximum: None,
            },
        )
        .unwrap()
    };
    room(Some(0));
    let log = |n: usize| fs::read_to_string(group.path(&format!("log-{n}"))).unwrap_or_default();
    group.until("the last stage", |p| {
        *p == RolloutPhase::Active { stage: 1 }
    });
    group.wait("its turn", || {
        group.stand(old).is_some_and(|s| s.may_upgrade)
    });
    thread::sleep(Duration::from_secs(1));
    assert_eq!(group.runs(old).as_deref(), Some("equal"));
    assert!(!log(old).contains("newer started"), "{}", log(old));
    room(None);
    group.until("the end", |p| *p == RolloutPhase::Completed);
    group.spawn(3, "");
    group.all_run("newer");
    assert_eq!(group.agreed(), "p0");
    let answers = load.stop();
    let wrong: Vec<_> = answers
        .iter()
        .filter(|(_, got)| matches!(got, Got::Other(_)))
        .take(5)
        .collect();
    assert!(wrong.is_empty(), "{wrong:?}\n{}", group.logs());
}

/// Each odd version, some times over: where and when it was stopped, and what was lost until then.
#[test]
#[ignore = "some minutes, a measurement"]
fn measure_odd_programs() {
    let _alone = alone();
    let words = [
        "equal:2",
        "newer",
        "fails:5",
        "fails:30",
        "fails-quote:30",
        "slow",
        "dies:5000",
        "never",
        "hup",
        "leaks",
        "chatty",
    ];
    println!("version: how it ended, after seconds, most that ran it, answers, neither served nor turned away, turned away");
    let only = std::env::var("ODD_WORDS").unwrap_or_default();
    for word in words
        .into_iter()
        .filter(|w| only.is_empty() || only.split(',').any(|o| o == *w))
    {
        for _ in 0..std::env::var("ODD_RUNS")
            .ok()
            .and_then(|n| n.parse().ok())
            .unwrap_or(2)
        {
            let mut group = Group::started(kept(&["equal", word]));
            group.all_run("equal");
            let load = group.load();
            let begun = Instant::now();
            says(
                &group.roll_program("ann", 1, "[\"1\", \"50%\", \"all\"]", ""),
                0,
                &["made: stage 1"],
            );
            let (name, mut most, mut told) = (word.replace(':', "-"), 0, false);
            let end = loop {
                let stands = (0..group.count())
                    .filter_map(|n| group.stand(n))
                    .max_by_key(|s| s.version);
                let phase = stands.and_then(|s| s.rollout);
                most = most.max(group.running(&name));
                let new = (0..4).find(|n| group.runs(*n).as_deref() == Some(name.as_str()));
                if let (Some(id), "hup", false) = (new.and_then(|n| group.process(n)), word, told) {
                    end(id, "HUP");
                    told = true;
                }
                match phase {
                    Some(p) if p.ended() || matches!(p, RolloutPhase::Paused { .. }) => break p,
                    _ if begun.elapsed() > Duration::from_secs(150) => break phase.unwrap(),
                    _ => thread::sleep(Duration::from_millis(50)),
                }
            };
            let took = begun.elapsed().as_secs_f64();
            let status = told_of(&group.run(&["rollout", "status", "ann"]));
            if end.ended() {
                group.all_run(if end == RolloutPhase::Completed {
                    &name
                } else {
                    "equal"
                });
            }
            let answers = load.stop();
            let of = |wanted: &dyn Fn(&Got) -> bool| {
                answers.iter().filter(|(_, got)| wanted(got)).count()
            };
            let (other, busy) = (
                of(&|g| matches!(g, Got::Other(_))),
                of(&|g| *g == Got::Busy),
            );
            println!(
                "{word}: {status}, {took:.1} s, {most}, {}, {other}, {busy}",
                answers.len()
            );
        }
    }
}

/// What a status says of a rollout, without who has what.
fn told_of(status: &std::process::Output) -> String {
    told(status)
        .lines()
        .next()
        .unwrap_or_default()
        .split(" by ann: ")
        .last()
        .unwrap_or_default()
        .to_string()
}
