//! Whole rollouts in a world without processes: twenty members in four halls, four stages, the new one bad in many ways, and
//! equals while something else goes wrong. Who is stopped, in which stage, after how long, and what was lost by then.

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::too_many_lines)]

use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::record::{follows, Phase, Record, Terms};
use wrenfork_rollout::stages::{stages, Reach};
use wrenfork_rollout::tally::{Kind, Tally};
use wrenfork_rollout::watch::{Seen, Watch};

const MEMBERS: usize = 20;
const HALLS: usize = 4;
/// Requests a second at a member, and what is lost of them anyway.
const RATE: f64 = 200.0;
const BASE: f64 = 0.01;
/// The longest that a rollout is looked at, in seconds.
const LONGEST: u64 = 900;
/// Kinds of requests: class, plan and their share.
const KINDS: [(&str, &str, f64); 4] = [
    ("quote", "a", 0.5),
    ("quote", "b", 0.3),
    ("refer", "a", 0.15),
    ("refer", "b", 0.05),
];

/// What is wrong with the new one, or with the world.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Odd {
    Nothing,
    // The new one:
    Loses(f64),
    LosesUnderLoad,
    LosesClass,
    LosesPlan,
    SlowAtTheEnd,
    DiesAfter20,
    Leaks,
    Dear,
    // The world, alike for old and new:
    HotAtTheNew,
    HalfOfAllBad,
    HallLost,
    Swells,
    OldOnesDie,
}

/// What of a kind's requests is lost at a member.
fn share(odd: Odd, new: bool, kind: usize, hall: usize, second: u64, swell: f64) -> f64 {
    let (class, plan, _) = KINDS[kind];
    let world = match odd {
        Odd::HalfOfAllBad if (20..50).contains(&second) => 0.4,
        Odd::HallLost if hall == 1 && second >= 15 => 0.5,
        Odd::Swells => swell,
        _ => BASE,
    };
    let own = match odd {
        Odd::Loses(share) => share,
        Odd::LosesUnderLoad if second % 60 >= 30 => 0.06,
        Odd::LosesClass if class == "refer" => 0.15,
        Odd::LosesPlan if plan == "b" => 0.1,
        _ => 0.0,
    };
    (world + if new { own } else { 0.0 }).min(0.95)
}

fn drawn(rng: &mut Rng, of: u64, share: f64) -> u64 {
    let scatter = (of as f64 * share * (1.0 - share)).sqrt();
    if scatter < 3.0 {
        return (0..of).filter(|_| rng.f64() < share).count() as u64;
    }
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (of as f64 * share + scatter * normal)
        .round()
        .clamp(0.0, of as f64) as u64
}

fn name(n: usize) -> String {
    format!("n{n:02}")
}

fn begun(seed: u64, terms: Terms) -> Record {
    let halls: BTreeMap<String, String> = (0..MEMBERS)
        .map(|n| (name(n), format!("h{}", n % HALLS)))
        .collect();
    let reach: Vec<Reach> = ["1", "10%", "50%", "all"]
        .iter()
        .map(|t| Reach::read(t).unwrap())
        .collect();
    let id = Digest::of(&seed.to_le_bytes());
    let stages = stages(&id, &reach, &halls).unwrap();
    let (author, changes, of, why) = (String::new(), Vec::new(), BTreeMap::new(), String::new());
    Record {
        id,
        author,
        terms,
        stages,
        changes,
        of,
        phase: Phase::On { stage: 0 },
        why,
    }
}

/// How a rollout ended.
struct End {
    /// Where it stood at last, and the last stage that had the new one.
    phase: Phase,
    stage: usize,
    seconds: u64,
    /// Requests that the new one lost beside the old, and as many as it would have had it gone to all at once.
    lost: f64,
    at_once: f64,
}

/// One second of a member.
fn live(tally: &mut Tally, rng: &mut Rng, odd: Odd, new: bool, n: usize, second: u64, swell: f64) {
    let load = match odd {
        Odd::LosesUnderLoad if second % 60 >= 30 => 1.5,
        Odd::HotAtTheNew if new && second >= 10 => 2.0,
        _ => 1.0,
    };
    let mut answered = 0;
    for (k, (class, plan, part)) in KINDS.iter().enumerate() {
        // The hot account is of one plan.
        let load = if odd == Odd::HotAtTheNew && *plan != "b" {
            1.0
        } else {
            load
        };
        let asked = (RATE * part * load * (0.9 + 0.2 * rng.f64())).round() as u64;
        let failed = drawn(rng, asked, share(odd, new, k, n % HALLS, second, swell));
        let kind = tally.kinds.entry(format!("{class}/{plan}")).or_default();
        *kind = Kind {
            worth: 2_000,
            asked: kind.asked + asked,
            refused: 0,
            failed: kind.failed + failed,
        };
        answered += asked - failed;
    }
    // Answers at 5, 20 and 60 ms; a slow one has 30 ms more for the last of a hundred.
    let late = drawn(rng, answered, 0.02);
    let mid = drawn(rng, answered - late, 0.3);
    let times = tally
        .times
        .entry("quote".into())
        .or_insert_with(|| [5_000, 20_000, 60_000, 90_000].map(|t| (t, 0)).to_vec());
    times[0].1 += answered - late - mid;
    times[1].1 += mid;
    times[if new && odd == Odd::SlowAtTheEnd {
        3
    } else {
        2
    }]
    .1 += late;
    let dear = if new && odd == Odd::Dear { 1.4 } else { 1.0 };
    tally.cpu_us += (answered as f64 * 60.0 * dear * (0.97 + 0.06 * rng.f64())) as u64;
    let grown = if new && odd == Odd::Leaks { 1_024 } else { 0 };
    tally.memory_kb =
        tally.memory_kb + grown + rng.u64(0..64) - rng.u64(0..64).min(tally.memory_kb / 2);
    tally.age_ms += 1_000;
}

fn play(odd: Odd, seed: u64) -> End {
    let mut rng = Rng::with_seed(seed);
    let terms = Terms {
        watch_ms: 15_000,
        patience_ms: 300_000,
        ..Terms::default()
    };
    let mut record = begun(seed, terms);
    let mut tallies: Vec<Tally> = (0..MEMBERS)
        .map(|n| Tally {
            life: n as u64 + 1,
            age_ms: 600_000,
            hall: format!("h{}", n % HALLS),
            memory_kb: 30_000,
            ..Tally::default()
        })
        .collect();
    let (mut number, mut swell) = (2, BASE);
    let mut watch = Watch::new(record.clone(), number, Duration::ZERO);
    let (mut stage, mut lost, mut at_once, mut since) = (0, 0.0, 0.0, 0);
    for second in 0..LONGEST {
        swell = (swell * (0.7 + 0.65 * rng.f64())).clamp(0.002, 0.3);
        let new: BTreeSet<String> = record.new_at().into_iter().map(String::from).collect();
        for (n, tally) in tallies.iter_mut().enumerate() {
            let is_new = new.contains(&name(n));
            live(tally, &mut rng, odd, is_new, n, second, swell);
            tally.number = number;
            let worse: f64 = KINDS
                .iter()
                .enumerate()
                .map(|(k, kind)| {
                    let of = |new| share(odd, new, k, n % HALLS, second, swell);
                    kind.2 * RATE * (of(true) - of(false))
                })
                .sum();
            at_once += worse;
            lost += if is_new { worse } else { 0.0 };
            let dies = match odd {
                Odd::DiesAfter20 => is_new && second >= since + 20,
                Odd::OldOnesDie => !is_new && second % 40 == 39 && n % 7 == 3,
                _ => false,
            };
            if dies {
                let life = tally.life + 1_000;
                *tally = Tally {
                    life,
                    age_ms: 1,
                    hall: tally.hall.clone(),
                    memory_kb: 30_000,
                    ..Tally::default()
                };
                tally.number = number;
            }
        }
        let seen: BTreeMap<String, Seen> = tallies
            .iter()
            .enumerate()
            .map(|(n, t)| (name(n), Ok(t.clone())))
            .collect();
        if let Some(next) = watch.look(Duration::from_secs(second), &seen) {
            assert_eq!(
                follows(Some(&record), Some(&next)),
                Ok(()),
                "{odd:?} {seed}"
            );
            (record, number, since) = (next, number + 1, second);
            stage = stage.max(record.reached().saturating_sub(1));
            if record.phase.ended() || matches!(record.phase, Phase::Held { .. }) {
                return End {
                    phase: record.phase,
                    stage,
                    seconds: second,
                    lost,
                    at_once,
                };
            }
            watch = Watch::new(record.clone(), number, Duration::from_secs(second));
        }
    }
    End {
        phase: record.phase,
        stage,
        seconds: LONGEST,
        lost,
        at_once,
    }
}

const BAD: [Odd; 9] = [
    Odd::Loses(0.02),
    Odd::Loses(0.1),
    Odd::LosesUnderLoad,
    Odd::LosesClass,
    Odd::LosesPlan,
    Odd::SlowAtTheEnd,
    Odd::DiesAfter20,
    Odd::Leaks,
    Odd::Dear,
];
const EQUAL: [Odd; 6] = [
    Odd::Nothing,
    Odd::HotAtTheNew,
    Odd::HalfOfAllBad,
    Odd::HallLost,
    Odd::Swells,
    Odd::OldOnesDie,
];

/// A line of the table.
fn row(odd: Odd, seeds: u64) -> (Vec<End>, String) {
    let ends: Vec<End> = (0..seeds).map(|seed| play(odd, seed)).collect();
    let count = |is: &dyn Fn(&End) -> bool| ends.iter().filter(|e| is(e)).count();
    let stopped = count(&|e| e.phase == Phase::Stopped);
    let (done, held) = (
        count(&|e| e.phase == Phase::Done),
        count(&|e| matches!(e.phase, Phase::Held { .. })),
    );
    let mut seconds: Vec<u64> = ends.iter().map(|e| e.seconds).collect();
    seconds.sort_unstable();
    let last = ends.iter().map(|e| e.stage + 1).max().unwrap_or(0);
    let (lost, all): (f64, f64) = ends
        .iter()
        .fold((0.0, 0.0), |s, e| (s.0 + e.lost, s.1 + e.at_once));
    let many = ends.len() as f64;
    let text = format!(
        "{odd:?}: stopped {stopped}, done {done}, held {held}; last stage {last}; median {} s; lost {:.0}, at once {:.0}",
        seconds[seconds.len() / 2],
        lost / many,
        all / many
    );
    (ends, text)
}

#[test]
fn each_bad_one_is_stopped_before_half_have_it_and_no_equal_is() {
    for odd in BAD {
        let (ends, text) = row(odd, 4);
        assert!(
            ends.iter()
                .all(|e| e.phase == Phase::Stopped && e.stage < 2),
            "{text}"
        );
        assert!(ends.iter().all(|e| e.lost <= e.at_once / 4.0), "{text}");
    }
    for odd in EQUAL {
        let (ends, text) = row(odd, 4);
        assert!(ends.iter().all(|e| e.phase == Phase::Done), "{text}");
    }
}

/// The table of `docs/measurements/rollout.md`.
#[test]
#[ignore = "a measurement of some minutes"]
fn measure_whole_rollouts_over_many_seeds() {
    let rows: Vec<String> = std::thread::scope(|scope| {
        let all = BAD.into_iter().chain(EQUAL);
        let at_work: Vec<_> = all
            .map(|odd| scope.spawn(move || row(odd, 200).1))
            .collect();
        at_work.into_iter().map(|one| one.join().unwrap()).collect()
    });
    rows.iter().for_each(|r| println!("{r}"));
}
