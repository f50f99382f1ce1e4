//! What groups take and cost, as tables; not run by CI: `cargo test --release -p wrenctl --test group -- --ignored --nocapture
//! --test-threads 1 measure`, on a machine that does nothing else.

use super::site::{probe, told, Got, Group, Layout};
use std::fs;
use std::thread;
use std::time::{Duration, Instant};
use wrenfork_testbed::links::Fault;
use wrenfork_testbed::service_fixture::Client;

/// The lease that files have unless they say another one.
const DEFAULT: Duration = Duration::from_millis(1_500);

fn layout(count: usize) -> Layout {
    let mut layout = Layout::of(count, 0);
    layout.lease = DEFAULT;
    layout.relays = count < 50;
    if count > 9 {
        layout.roster = "voters = [\"d0\", \"d1\", \"d2\", \"d3\", \"d4\"]\n".into();
    }
    layout
}

/// Processor time of a process so far, over all its threads, those that ended as well as this can be had: seconds.
fn spent(group: &Group, n: usize) -> f64 {
    let id = group.ingresses[n].as_ref().unwrap().child.id();
    let threads = fs::read_dir(format!("/proc/{id}/task")).unwrap().flatten();
    let nanos = threads.filter_map(|t| {
        let text = fs::read_to_string(t.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<f64>().ok()
    });
    nanos.sum::<f64>() / 1e9
}

#[test]
#[ignore = "a measurement"]
fn measure_the_time_of_a_change() {
    println!("members away how ms ms ms");
    for count in [3, 5, 20] {
        let voters = if count > 9 { 5 } else { count };
        let minority = (voters - 1) / 2;
        for (away, how) in [
            (0, "-"),
            (1, "KILL"),
            (1, "STOP"),
            (minority, "KILL"),
            (minority, "STOP"),
        ] {
            if away == minority && minority == 1 && how != "-" && count == 3 && away != 1 {
                continue;
            }
            let mut group = Group::started(layout(count));
            group.agreed();
            // Voters last, so that those that are away are missed.
            for n in voters - away..voters {
                group.signal(n, if how == "KILL" { "KILL" } else { "STOP" });
            }
            let mut times = Vec::new();
            for policy in 1..4 {
                let planned = group.plan("ann", policy);
                assert_eq!(planned.status.code(), Some(2), "{}", told(&planned));
                let start = Instant::now();
                let output = group.run(&["apply", "ann.plan", "--yes"]);
                assert_eq!(output.status.code(), Some(0), "{}", told(&output));
                times.push(start.elapsed().as_millis().to_string());
            }
            println!("{count} {away} {how} {}", times.join(" "));
            (0..count).for_each(|n| group.signal(n, "CONT"));
        }
    }
}

#[test]
#[ignore = "a measurement"]
fn measure_the_time_without_service_at_a_cut_off() {
    println!("cut off: ms until the first is turned away; healed: ms until the first is served");
    for _ in 0..5 {
        let group = Group::started(layout(3));
        group.agreed();
        let cut = Instant::now();
        group.links.between(&["d2"], &["d0", "d1"], Fault::Dropped);
        while group.ask(2) != Got::Busy {
            thread::sleep(Duration::from_millis(1));
        }
        let shut = cut.elapsed();
        thread::sleep(Duration::from_secs(3));
        let healed = Instant::now();
        group.links.heal();
        while group.ask(2) == Got::Busy {
            thread::sleep(Duration::from_millis(1));
        }
        println!("{} {}", shut.as_millis(), healed.elapsed().as_millis());
    }
}

/// Percent of a core that ingresses use over a span: the mean, and the most.
fn idle(group: &Group, count: usize, span: Duration) -> (f64, f64) {
    let before: Vec<f64> = (0..count).map(|n| spent(group, n)).collect();
    let start = Instant::now();
    thread::sleep(span);
    let span = start.elapsed().as_secs_f64();
    let used: Vec<f64> = (0..count)
        .map(|n| (spent(group, n) - before[n]) / span * 100.0)
        .collect();
    (
        used.iter().sum::<f64>() / count as f64,
        used.iter().copied().fold(0.0, f64::max),
    )
}

#[test]
#[ignore = "a measurement"]
fn measure_the_cost_of_leases() {
    println!("members roster mean-percent-of-a-core most-percent");
    for count in [3, 20, 100] {
        for files in ["files", "alone"] {
            let mut group = Group::new(layout(count));
            (0..count).for_each(|n| group.spawn_by(n, "", files));
            (0..count).for_each(|n| group.ready(n));
            thread::sleep(Duration::from_secs(12));
            let (mean, most) = idle(&group, count, Duration::from_secs(20));
            println!("{count} {files} {mean:.3} {most:.3}");
        }
    }
}

#[test]
#[ignore = "a measurement"]
fn measure_the_cost_of_a_rollout() {
    println!("members rollout mean-percent-of-a-core most-percent");
    for count in [3, 20, 100] {
        let mut group = Group::new(layout(count));
        (0..count).for_each(|n| group.spawn(n, ""));
        (0..count).for_each(|n| group.ready(n));
        thread::sleep(Duration::from_secs(8));
        for rolls in [false, true] {
            if rolls {
                let begun = group.roll("ann", 1, "[\"1\", \"all\"]");
                assert_eq!(begun.status.code(), Some(0), "{}", told(&begun));
                thread::sleep(Duration::from_secs(3));
            }
            let (mean, most) = idle(&group, count, Duration::from_secs(15));
            println!("{count} {rolls} {mean:.3} {most:.3}");
        }
    }
}

#[test]
#[ignore = "a measurement"]
fn measure_requests_through_a_change_with_one_killed() {
    println!("change served turned-away other, at the two that are left, in 8 s");
    for change in [false, true, false, true] {
        let mut group = Group::started(layout(3));
        group.agreed();
        group.kill(2);
        let planned = group.plan("ann", 1);
        assert_eq!(planned.status.code(), Some(2), "{}", told(&planned));
        let (load, start) = (group.load(), Instant::now());
        thread::sleep(Duration::from_secs(2));
        if change {
            let output = group.run(&["apply", "ann.plan", "--yes"]);
            assert_eq!(output.status.code(), Some(0), "{}", told(&output));
        }
        thread::sleep(Duration::from_secs(8).saturating_sub(start.elapsed()));
        let answers = load.stop();
        let count = |is: &dyn Fn(&Got) -> bool| answers.iter().filter(|a| is(&a.1)).count();
        println!(
            "{change} {} {} {}",
            count(&|g| matches!(g, Got::Policy(_))),
            count(&|g| *g == Got::Busy),
            count(&|g| matches!(g, Got::Other(_)))
        );
    }
}

#[test]
#[ignore = "a measurement"]
fn measure_the_cost_of_a_request() {
    const REQUESTS: u64 = 20_000;
    println!("roster us-of-processor-a-request, turn about, each with processes of its own");
    let mut next = 1 << 52;
    for round in 0..4 {
        let both = [("with", "files"), ("without", "alone")];
        let both = if round % 2 == 0 {
            both
        } else {
            [both[1], both[0]]
        };
        for (name, files) in both {
            let mut group = Group::new(layout(3));
            (0..3).for_each(|n| group.spawn_by(n, "", files));
            (0..3).for_each(|n| group.ready(n));
            let mut client = Client::connect(group.at[0]);
            let before = spent(&group, 0);
            for _ in 0..REQUESTS {
                next += 1;
                let answer = client.ask(&probe(next));
                assert!(answer.starts_with("policy p0"), "{answer}");
            }
            let used = (spent(&group, 0) - before) / REQUESTS as f64 * 1e6;
            println!("{round} {name} {used:.2}");
        }
    }
}
