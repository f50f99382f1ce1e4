//! Whole rollouts in a world without processes: twenty members in four halls, four stages, the new one bad in many ways, and
//! equals while something else goes wrong. Who is stopped, in which stage, after how long, and what was lost by then.

use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wrenfork_commit::state::Digest;
use wrenfork_rollout::{
    assign_stages, check_transition, LatencyBucket, Rollout, RolloutPhase, RolloutPolicy,
    StageScope,
};
use wrenfork_rollout::{MemberMetrics, RequestCounts};
use wrenfork_rollout::{Observations, StageMonitor};

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
fn share(odd: Odd, new: bool, kind: usize, zone_group: usize, second: u64, swell: f64) -> f64 {
    let (class, plan, _) = KINDS[kind];
    let world = match odd {
        Odd::HalfOfAllBad if (20..50).contains(&second) => 0.4,
        Odd::HallLost if zone_group == 1 && second >= 15 => 0.5,
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

fn begun(seed: u64, policy: RolloutPolicy) -> Rollout {
    let halls: BTreeMap<String, String> = (0..MEMBERS)
        .map(|n| (name(n), format!("h{}", n % HALLS)))
        .collect();
    let scopes = ["1", "10%", "50%", "all"].map(|text| text.parse::<StageScope>().unwrap());
    let id = Digest::of(&seed.to_le_bytes());
    Rollout {
        stages: assign_stages(&id, &scopes, &halls).unwrap(),
        id,
        author: String::new(),
        policy,
        changes: Vec::new(),
        change_of: BTreeMap::new(),
        phase: RolloutPhase::Active { stage: 0 },
        reason: String::new(),
    }
}

/// How a rollout ended.
struct End {
    /// Where it stood at last, and the last stage that had the new one.
    phase: RolloutPhase,
    stage: usize,
    seconds: u64,
    /// Requests that the new one lost beside the old, and as many as it would have had it gone to all at once.
    lost: f64,
    at_once: f64,
}

/// One second of a member.
fn live(
    tally: &mut MemberMetrics,
    rng: &mut Rng,
    odd: Odd,
    new: bool,
    n: usize,
    second: u64,
    swell: f64,
) {
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
        let kind = tally.requests.entry(format!("{class}/{plan}")).or_default();
        *kind = RequestCounts {
            weight: 2_000,
            total: kind.total + asked,
            rejected: 0,
            failed: kind.failed + failed,
        };
        answered += asked - failed;
    }
    // Answers at 5, 20 and 60 ms; a slow one has 30 ms more for the last of a hundred.
    let late = drawn(rng, answered, 0.02);
    let mid = drawn(rng, answered - late, 0.3);
    let times = tally.latencies.entry("quote".into()).or_insert_with(|| {
        [5_000, 20_000, 60_000, 90_000]
            .map(|latency_us| LatencyBucket {
                latency_us,
                count: 0,
            })
            .to_vec()
    });
    times[0].count += answered - late - mid;
    times[1].count += mid;
    let slowest = if new && odd == Odd::SlowAtTheEnd {
        3
    } else {
        2
    };
    times[slowest].count += late;
    let dear = if new && odd == Odd::Dear { 1.4 } else { 1.0 };
    tally.cpu_us += (answered as f64 * 60.0 * dear * (0.97 + 0.06 * rng.f64())) as u64;
    let grown = if new && odd == Odd::Leaks { 1_024 } else { 0 };
    tally.memory_kb =
        tally.memory_kb + grown + rng.u64(0..64) - rng.u64(0..64).min(tally.memory_kb / 2);
    tally.uptime_ms += 1_000;
}

/// A rollout that is played.
struct Play {
    odd: Odd,
    rng: Rng,
    rollout: Rollout,
    /// The version of the group's state.
    version: u64,
    /// Since when that stands, in seconds.
    since: u64,
    tallies: Vec<MemberMetrics>,
    /// What is lost anyway, where that swells and ebbs.
    swell: f64,
    lost: f64,
    at_once: f64,
}

fn started(incarnation: u64, uptime_ms: u64, zone_group: String) -> MemberMetrics {
    MemberMetrics {
        incarnation,
        uptime_ms,
        zone_group,
        memory_kb: 30_000,
        ..MemberMetrics::default()
    }
}

impl Play {
    fn new(odd: Odd, seed: u64) -> Play {
        let policy = RolloutPolicy {
            min_watch_ms: 15_000,
            timeout_ms: 300_000,
            ..RolloutPolicy::default()
        };
        let member = |n: usize| started(n as u64 + 1, 600_000, format!("h{}", n % HALLS));
        Play {
            odd,
            rng: Rng::with_seed(seed),
            rollout: begun(seed, policy),
            version: 2,
            since: 0,
            tallies: (0..MEMBERS).map(member).collect(),
            swell: BASE,
            lost: 0.0,
            at_once: 0.0,
        }
    }

    /// Requests a second that a member loses more with the new one.
    fn worse(&self, n: usize, second: u64) -> f64 {
        let kinds = KINDS.iter().enumerate();
        kinds
            .map(|(k, kind)| {
                let of = |new| share(self.odd, new, k, n % HALLS, second, self.swell);
                kind.2 * RATE * (of(true) - of(false))
            })
            .sum()
    }

    fn dies(&self, n: usize, is_new: bool, second: u64) -> bool {
        match self.odd {
            Odd::DiesAfter20 => is_new && second >= self.since + 20,
            Odd::OldOnesDie => !is_new && second % 40 == 39 && n % 7 == 3,
            _ => false,
        }
    }

    /// One second of all members.
    fn live(&mut self, second: u64) {
        self.swell = (self.swell * (0.7 + 0.65 * self.rng.f64())).clamp(0.002, 0.3);
        let new = self.rollout.updated_members();
        let new: BTreeSet<String> = new.into_iter().map(String::from).collect();
        for n in 0..MEMBERS {
            let is_new = new.contains(&name(n));
            let tally = &mut self.tallies[n];
            live(
                tally,
                &mut self.rng,
                self.odd,
                is_new,
                n,
                second,
                self.swell,
            );
            let worse = self.worse(n, second);
            self.at_once += worse;
            self.lost += if is_new { worse } else { 0.0 };
            let dies = self.dies(n, is_new, second);
            let tally = &mut self.tallies[n];
            if dies {
                *tally = started(tally.incarnation + 1_000, 1, tally.zone_group.clone());
            }
            tally.group_version = self.version;
        }
    }

    fn observations(&self) -> Observations {
        let members = self.tallies.iter().enumerate();
        members.map(|(n, t)| (name(n), Some(t.clone()))).collect()
    }

    fn end(self, stage: usize, seconds: u64) -> End {
        End {
            phase: self.rollout.phase,
            stage,
            seconds,
            lost: self.lost,
            at_once: self.at_once,
        }
    }
}

fn play(odd: Odd, seed: u64) -> End {
    let mut play = Play::new(odd, seed);
    let mut stage = 0;
    let mut watch = StageMonitor::new(play.rollout.clone(), play.version, Duration::ZERO);
    for second in 0..LONGEST {
        play.live(second);
        let now = Duration::from_secs(second);
        let Some(next) = watch.look(now, &play.observations()) else {
            continue;
        };
        let checked = check_transition(Some(&play.rollout), Some(&next));
        assert_eq!(checked, Ok(()), "{odd:?} {seed}");
        play.rollout = next;
        play.version += 1;
        play.since = second;
        stage = stage.max(play.rollout.updated_stages().saturating_sub(1));
        let phase = &play.rollout.phase;
        if phase.ended() || matches!(phase, RolloutPhase::Paused { .. }) {
            return play.end(stage, second);
        }
        watch = StageMonitor::new(play.rollout.clone(), play.version, now);
    }
    play.end(stage, LONGEST)
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
    let stopped = count(&|e| e.phase == RolloutPhase::RolledBack);
    let (done, held) = (
        count(&|e| e.phase == RolloutPhase::Completed),
        count(&|e| matches!(e.phase, RolloutPhase::Paused { .. })),
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
fn each_bad_version_is_stopped_before_half_have_it_and_no_equal_is() {
    for odd in BAD {
        let (ends, text) = row(odd, 4);
        assert!(
            ends.iter()
                .all(|e| e.phase == RolloutPhase::RolledBack && e.stage < 2),
            "{text}"
        );
        assert!(ends.iter().all(|e| e.lost <= e.at_once / 4.0), "{text}");
    }
    for odd in EQUAL {
        let (ends, text) = row(odd, 4);
        assert!(
            ends.iter().all(|e| e.phase == RolloutPhase::Completed),
            "{text}"
        );
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
