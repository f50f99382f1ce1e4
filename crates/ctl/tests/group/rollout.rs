//! Rollouts by real processes: in stages, judged while old and new serve side by side, stopped and taken back.

use super::programs::alone;
use super::site::{told, Bad, Got, Group, Layout, LEASE};
use super::{says, three};
use std::collections::BTreeSet;
use std::fs;
use std::process::Output;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_consensus::protocol::{GroupRequest, GroupResponse};
use wrenfork_control_plane::client;
use wrenfork_rollout::RolloutPhase;
use wrenfork_testbed::links::Fault;
use wrenfork_testbed::service_fixture::WAIT_LIMIT;

/// Terms under which a stage is decided in some ten blocks of a second.
const TERMS: &str =
    "version = 1\nkind = \"rollout\"\nwatch = \"2s\"\npatience = \"50s\"\npause = \"300ms\"\n\
                     away = 1\nworse = 0.1\nerror = 0.2\n";

/// Writes the terms of a rollout: its stages, and more.
pub fn says_of_rollout(group: &Group, stages: &str, more: &str) {
    fs::write(
        group.path("terms.toml"),
        format!("{TERMS}stages = {stages}\n{more}"),
    )
    .unwrap();
}

impl Group {
    /// Begins a rollout of a policy as one of the appliers.
    pub fn roll(&mut self, who: &str, policy: usize, stages: &str) -> Output {
        let planned = self.plan(who, policy);
        assert_eq!(planned.status.code(), Some(2), "{}", told(&planned));
        says_of_rollout(self, stages, "");
        let plan = format!("{who}.plan");
        self.run(&["rollout", "start", &plan, "--terms", "terms.toml", "--yes"])
    }

    /// Where the rollout stands, as the member knows that knows most.
    fn phase(&self) -> Option<RolloutPhase> {
        let stands = (0..self.count()).filter_map(|n| self.stand(n));
        stands.max_by_key(|s| s.version)?.rollout
    }

    pub fn until(&self, what: &str, mut wanted: impl FnMut(&RolloutPhase) -> bool) {
        let start = Instant::now();
        loop {
            let phase = self.phase();
            if phase.as_ref().is_some_and(&mut wanted) {
                return;
            }
            assert!(
                start.elapsed() < 3 * WAIT_LIMIT,
                "in vain: {what}: {phase:?}\n{}",
                self.logs()
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Who drives, by the logs.
    fn driver(&self) -> Option<usize> {
        let log = |n: usize| fs::read_to_string(self.path(&format!("log-{n}"))).unwrap_or_default();
        (0..self.count()).find(|n| log(*n).contains("driven from here"))
    }

    /// The ingresses that serve under a policy right now.
    fn on(&self, policy: &str) -> BTreeSet<usize> {
        (0..self.at.len())
            .filter(|n| self.ask(*n) == Got::Policy(policy.into()))
            .collect()
    }
}

fn four() -> Layout {
    Layout::of(4, 1)
}

/// One that is good goes through, while its driver is killed, another member is down, and others want other things.
#[test]
fn a_good_one_goes_through_whoever_dies_and_is_everywhere_at_the_end() {
    let mut group = Group::started(four());
    let load = group.load();
    let begun = group.roll("ann", 1, "[\"1\", \"50%\", \"all\"]");
    says(
        &begun,
        0,
        &["made: stage 1", "each stage is watched for at least 2 s"],
    );
    assert_eq!(group.on("p1").len(), 1, "{}", group.logs());
    // One at a time, whoever wants another one.
    let second = group.roll("bob", 2, "[\"all\"]");
    says(&second, 1, &["a rollout by ann is under way"]);
    let plan = group.plan("bob", 2);
    says(&plan, 2, &[]);
    let applied = group.run(&["apply", "bob.plan", "--yes"]);
    says(&applied, 1, &["a rollout by ann is under way"]);
    group.want(1);
    says(
        &group.run(&["rollout", "status", "ann"]),
        0,
        &["stage 1 of 3", "new", "old"],
    );
    // Whoever drives dies; another goes on, and nobody types anything.
    group.wait("somebody drives", || group.driver().is_some());
    let driver = group.driver().unwrap();
    let new = group.on("p1");
    if !new.contains(&driver) {
        group.kill(driver);
    }
    group.until("the second stage", |p| {
        *p == RolloutPhase::Active { stage: 1 }
    });
    if !new.contains(&driver) {
        group.spawn(driver, "");
        group.wait("it is back", || group.stand(driver).is_some());
    }
    group.until("the end", |p| *p == RolloutPhase::Completed);
    assert_eq!(group.agreed(), "p1");
    let answers = load.stop();
    let wrong: Vec<_> = answers
        .iter()
        .filter(|(_, got)| matches!(got, Got::Other(_)))
        .take(3)
        .collect();
    assert!(
        wrong.is_empty() && answers.len() > 1_000,
        "{wrong:?} of {}",
        answers.len()
    );
    says(
        &group.run(&["rollout", "watch", "ann"]),
        0,
        &["done: all have the new one"],
    );
    says(
        &group.run(&["rollout", "stop", "ann"]),
        1,
        &["no rollout is under way"],
    );
    // What has ended stands in nobody's way.
    group.made(2);
    assert_eq!(group.agreed(), "p2");
}

/// Guards against processor time that does not depend on requests, such as that of operators who ask one member often, being
/// taken for a cost of the new version: the rollout held itself.
#[test]
fn a_member_whose_control_port_is_busy_does_not_look_worse() {
    let _alone = alone();
    let mut group = Group::started(four());
    let load = group.load();
    says(
        &group.roll("ann", 1, "[\"1\", \"all\"]"),
        0,
        &["made: stage 1"],
    );
    let new = *group.on("p1").first().expect("one member has the new one");
    let socket = group.control(new);
    let is_over = Arc::new(AtomicBool::new(false));
    let stop = is_over.clone();
    let operator = thread::spawn(move || {
        let mut answers = 0;
        while !stop.load(Ordering::SeqCst) {
            let status: Result<GroupResponse, _> =
                client::request(&socket, &GroupRequest::Status, WAIT_LIMIT);
            answers += u32::from(status.is_ok());
            thread::sleep(Duration::from_millis(2));
        }
        answers
    });
    group.until("the end", |p| {
        matches!(
            p,
            RolloutPhase::Completed | RolloutPhase::Paused { .. } | RolloutPhase::RolledBack
        )
    });
    is_over.store(true, Ordering::SeqCst);
    let answers = operator.join().unwrap();
    let status = group.run(&["rollout", "status", "ann"]);
    assert_eq!(
        group.phase(),
        Some(RolloutPhase::Completed),
        "{answers} answers to the operator\n{}",
        told(&status)
    );
    assert!(answers > 1_000, "{answers}");
    assert_eq!(group.agreed(), "p1");
    load.stop();
}

/// One that fails is found by what is lost, and taken back; only its first stage ever had it. One of the old that was down
/// since before comes back with the old.
#[test]
fn one_that_fails_is_stopped_in_its_first_stage_and_all_have_the_old_again() {
    let mut layout = four();
    layout.bad = Some((2, Bad::Fails));
    let mut group = Group::started(layout);
    group.kill(3);
    let load = group.load();
    says(
        &group.roll("ann", 2, "[\"1\", \"all\"]"),
        0,
        &["made: stage 1"],
    );
    let watched = group.run(&["rollout", "watch", "ann", "--page", "end.html"]);
    says(
        &watched,
        1,
        &[
            "stopped: all have the old one",
            "compared with the old version",
        ],
    );
    let page = fs::read_to_string(group.path("end.html")).unwrap();
    assert!(
        page.contains("<b>stopped: all have the old one</b>") && page.contains("<svg"),
        "{page}"
    );
    group.spawn(3, "");
    group.ready(3);
    assert_eq!(group.agreed(), "p0");
    let answers = load.stop();
    let failed = |name: &str| {
        answers
            .iter()
            .filter(|(a, g)| a.ingress == name && matches!(g, Got::Other(_)))
            .count()
    };
    let hit: Vec<usize> = (0..4).filter(|n| failed(&group.short(*n)) > 0).collect();
    assert!(hit.len() <= 1, "{hit:?} had it");
    says(
        &group.run(&["rollout", "status", "ann"]),
        0,
        &["stopped: all have the old one"],
    );
}

/// Nothing fails, and the answers come later.
#[test]
fn one_that_is_slow_is_stopped() {
    let mut layout = four();
    layout.bad = Some((2, Bad::Slow));
    let mut group = Group::started(layout);
    let load = group.load();
    says(
        &group.roll("ann", 2, "[\"50%\", \"all\"]"),
        0,
        &["made: stage 1"],
    );
    let watched = group.run(&["rollout", "watch", "ann"]);
    says(
        &watched,
        1,
        &["stopped: all have the old one", "responses later"],
    );
    assert_eq!(group.agreed(), "p0");
    drop(load.stop());
}

/// A member that has the new one and dies is a crash: stopped at once, also for the one that is down.
#[test]
fn a_crash_in_the_stage_stops_at_once() {
    let mut group = Group::started(three());
    says(
        &group.roll("ann", 1, "[\"1\", \"all\"]"),
        0,
        &["made: stage 1"],
    );
    let new = *group.on("p1").first().expect("one has the new one");
    group.wait("somebody drives", || group.driver().is_some());
    thread::sleep(Duration::from_millis(1_500));
    group.kill(new);
    group.spawn(new, "");
    group.until("its stop", |p| *p == RolloutPhase::RolledBack);
    assert_eq!(group.agreed(), "p0");
    says(
        &group.run(&["rollout", "status", "ann"]),
        0,
        &["started again"],
    );
}

/// Held, let go on, stopped by hand; with links that drop meanwhile, so that another drives.
#[test]
fn it_is_held_and_stopped_by_hand_whatever_links_drop() {
    let mut group = Group::started(four());
    // Two of each side, so that there is something to compare whoever is cut off.
    says(
        &group.roll("ann", 1, "[\"50%\", \"75%\", \"all\"]"),
        0,
        &["made: stage 1"],
    );
    says(
        &group.run(&["rollout", "pause", "ann", "--why", "lunch"]),
        0,
        &["made: held"],
    );
    says(
        &group.run(&["rollout", "status", "ann"]),
        0,
        &["held in stage 1", "lunch"],
    );
    says(
        &group.run(&["rollout", "pause", "ann"]),
        1,
        &["the rollout cannot be paused"],
    );
    group.wait("somebody drove", || group.driver().is_some());
    let driver = group.driver().unwrap();
    // It reaches nobody, and nobody reaches it.
    let names: Vec<String> = (0..group.count()).map(|n| group.short(n)).collect();
    let others: Vec<&str> = names
        .iter()
        .map(String::as_str)
        .filter(|n| *n != names[driver])
        .collect();
    group
        .links
        .between(&[&names[driver]], &others, Fault::Dropped);
    says(
        &group.run(&["rollout", "resume", "ann"]),
        0,
        &["made: going on"],
    );
    says(
        &group.run(&["rollout", "resume", "ann"]),
        1,
        &["the rollout is not paused"],
    );
    let load = group.load();
    group.until("the second stage, by another", |p| {
        *p == RolloutPhase::Active { stage: 1 }
    });
    says(
        &group.run(&["rollout", "stop", "ann", "--why", "enough"]),
        0,
        &["made: stopped"],
    );
    group.until("its end", |p| *p == RolloutPhase::RolledBack);
    group.links.heal();
    assert_eq!(group.agreed(), "p0");
    drop(load.stop());
    says(
        &group.run(&["rollout", "status", "ann"]),
        0,
        &["stopped", "enough"],
    );
    let history = group.run(&["rollout", "history", "ann"]);
    says(
        &history,
        0,
        &[
            "rollout: stage 1",
            "lunch",
            "rollout: stage 2",
            "rollout: stopped",
            "enough",
            "ann",
        ],
    );
    assert_eq!(
        told(&history).matches("lunch").count(),
        1,
        "each step once: {}",
        told(&history)
    );
}

/// A disk that takes nothing while a stage begins: the member counts as away, and has its side once it has room.
#[test]
fn a_disk_that_is_full_in_a_stage_holds_up_nobody() {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let mut group = Group::started(three());
    let load = group.load();
    says(
        &group.roll("ann", 1, "[\"1\", \"all\"]"),
        0,
        &["made: stage 1"],
    );
    let old = *group.on("p0").last().expect("two have the old one");
    let id = Pid::from_raw(group.ingresses[old].as_ref().unwrap().child.id() as i32);
    let room = |most| {
        prlimit(
            id,
            Resource::Fsize,
            Rlimit {
                current: most,
                maximum: None,
            },
        )
        .unwrap()
    };
    room(Some(0));
    group.until("the end", |p| *p == RolloutPhase::Completed);
    group.shut(old);
    room(None);
    group.ready(old);
    assert_eq!(group.agreed(), "p1");
    assert!(load
        .stop()
        .iter()
        .all(|(_, got)| !matches!(got, Got::Other(_))));
}

/// Two begin at the same moment, and one of them has; the member that has the new one is frozen for longer than a lease and is no
/// crash: the stage waits for it, and goes on.
#[test]
fn of_two_that_begin_at_once_one_does_and_a_freeze_is_no_crash() {
    let mut group = Group::started(three());
    let load = group.load();
    fs::write(
        group.path("terms.toml"),
        format!("{TERMS}stages = [\"1\", \"all\"]\n"),
    )
    .unwrap();
    for (who, policy) in [("bob", 2), ("ann", 1)] {
        let planned = group.plan(who, policy);
        assert_eq!(planned.status.code(), Some(2), "{}", told(&planned));
    }
    let both = ["ann", "bob"].map(|who| {
        let plan = format!("{who}.plan");
        group
            .wrenctl(&["rollout", "start", &plan, "--terms", "terms.toml", "--yes"])
            .spawn()
            .unwrap()
    });
    let both = both.map(|child| child.wait_with_output().unwrap());
    let mut codes = both.each_ref().map(|o| o.status.code());
    codes.sort_unstable();
    assert_eq!(
        codes,
        [Some(0), Some(1)],
        "{}\n{}",
        told(&both[0]),
        told(&both[1])
    );
    let (policy, loser) = if both[0].status.code() == Some(0) {
        (1, &both[1])
    } else {
        (2, &both[0])
    };
    says(loser, 1, &["is under way"]);
    let wanted = format!("p{policy}");
    let new = *group.on(&wanted).first().expect("one has the new one");
    group.signal(new, "STOP");
    thread::sleep(4 * LEASE);
    group.signal(new, "CONT");
    group.until("the end", |p| *p == RolloutPhase::Completed);
    assert_eq!(group.agreed(), wanted);
    let answers = load.stop();
    assert!(answers.iter().all(|(_, got)| !matches!(got, Got::Other(_))));
}

/// Forty members in four halls, in four stages, with a member killed and back in each.
#[test]
#[ignore = "some minutes, 40 processes"]
fn forty_members_in_four_halls() {
    let mut group = Group::started(Layout {
        halls: 4,
        roster: VOTERS.into(),
        ..Layout::of(40, 0)
    });
    let load = group.load();
    let begun = Instant::now();
    says(
        &group.roll("ann", 1, "[\"1\", \"10%\", \"50%\", \"all\"]"),
        0,
        &["made: stage 1", "hall-d"],
    );
    for stage in 0..4 {
        group.until("the stage", |p| {
            *p == RolloutPhase::Active { stage } || *p == RolloutPhase::Completed
        });
        println!(
            "stage {} after {:.1} s",
            stage + 1,
            begun.elapsed().as_secs_f64()
        );
        // One of the old; where all have the new one it would be a crash.
        let Some(old) = group.on("p0").into_iter().rfind(|n| *n >= 5) else {
            break;
        };
        group.kill(old);
        thread::sleep(Duration::from_secs(2));
        group.spawn(old, "");
    }
    group.until("the end", |p| *p == RolloutPhase::Completed);
    println!("done after {:.1} s", begun.elapsed().as_secs_f64());
    assert_eq!(group.agreed(), "p1");
    let answers = load.stop();
    let other = answers
        .iter()
        .filter(|(_, got)| matches!(got, Got::Other(_)))
        .count();
    println!(
        "{} answers, {other} of them neither served nor turned away",
        answers.len()
    );
    assert_eq!(other, 0);
}

/// Five vote.
const VOTERS: &str = "voters = [\"d0\", \"d1\", \"d2\", \"d3\", \"d4\"]\n";
