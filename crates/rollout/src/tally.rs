//! What a member counts of its requests, and what two cohorts differ by in the same seconds.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// The most kinds of requests that are told apart; more are counted together.
const MOST_KINDS: usize = 512;
/// The most classes whose times are kept.
const MOST_TIMES: usize = 64;
/// Microseconds of the longest time that is told from longer ones.
const LONGEST: u64 = 120_000_000;
/// What a process does anyway counts for more where it has fewer requests: the processor time of a request is compared only
/// where one side has no more of them than this many times the other's.
const AS_BUSY: f64 = 1.25;
/// Parts of a worth of 1: worths are summed as whole numbers.
pub const WORTH: f64 = 1_000.0;

/// What became of the requests of a kind: a class on a plan. Requests beyond their customer's quota are in none of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kind {
    /// What one is worth, in parts of [`WORTH`].
    pub worth: u64,
    /// Ended.
    pub asked: u64,
    /// Of these refused.
    pub refused: u64,
    /// Of these failed.
    pub failed: u64,
}

/// All that a member tells of itself to whoever drives a rollout; counts are from its start on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)] // a member that runs another version may tell less
pub struct Tally {
    /// Drawn at the start of its process.
    pub life: u64,
    /// Milliseconds since then.
    pub age_ms: u64,
    /// The decree that it stands under.
    pub number: u64,
    /// The decree that it found in its folder when its process started; 0 for none.
    pub began: u64,
    /// The program that it runs, as whoever keeps its process says; empty where nobody does.
    pub program: String,
    /// Whether its process was started on purpose in the place of another program's.
    pub changed: bool,
    /// Whether it has been told, under this decree, that it is its turn to change its program.
    pub turn: bool,
    /// Why the program that it is to run does not come into service there, if it does not.
    pub unfit: String,
    /// Its hall.
    pub hall: String,
    /// Microseconds of processor time.
    pub cpu_us: u64,
    /// Kilobytes that are resident.
    pub memory_kb: u64,
    /// By class and plan, written `class/plan`.
    pub kinds: BTreeMap<String, Kind>,
    /// By class: microseconds to the answer of those that were served, and how many.
    pub times: BTreeMap<String, Vec<(u64, u64)>>,
}

/// How a request ended, as it is counted here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, after so many microseconds.
    Served(u64),
    /// Refused inside its quota.
    Refused,
    /// Failed.
    Failed,
}

/// Counts, where requests end. A request costs a look-up in a small table and an addition.
#[derive(Debug, Default)]
pub struct Counter {
    /// By the places of class and plan, since their names last changed.
    places: HashMap<(u8, u16), Kind>,
    times: HashMap<u8, Histogram<u64>>,
    /// By name.
    kinds: BTreeMap<String, Kind>,
    named: BTreeMap<String, Histogram<u64>>,
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, LONGEST, 2).ok()
}

fn add(to: &mut Kind, more: &Kind) {
    to.worth = more.worth;
    to.asked += more.asked;
    to.refused += more.refused;
    to.failed += more.failed;
}

impl Counter {
    /// A request of a class on a plan, by their places, has ended; its worth in parts of [`WORTH`].
    pub fn ended(&mut self, class: u8, plan: u16, worth: u64, end: End) {
        let known = self.places.len() < MOST_KINDS || self.places.contains_key(&(class, plan));
        let kind = self
            .places
            .entry(if known {
                (class, plan)
            } else {
                (class, u16::MAX)
            })
            .or_default();
        kind.worth = worth;
        kind.asked += 1;
        match end {
            End::Served(took) => {
                if self.times.len() < MOST_TIMES || self.times.contains_key(&class) {
                    if let std::collections::hash_map::Entry::Vacant(v) = self.times.entry(class) {
                        histogram().map(|h| v.insert(h));
                    }
                    if let Some(times) = self.times.get_mut(&class) {
                        times.saturating_record(took);
                    }
                }
            }
            End::Refused => kind.refused += 1,
            End::Failed => kind.failed += 1,
        }
    }

    /// Puts what was counted by places under the names that these have; before they change, and for a look.
    pub fn settle<'a>(
        &mut self,
        class: impl Fn(u8) -> Option<&'a str>,
        plan: impl Fn(u16) -> Option<&'a str>,
    ) {
        for ((c, p), kind) in self.places.drain() {
            let class = class(c).unwrap_or("");
            // An account with a quota of its own is on a plan of its own, named after the one that it is made from.
            let plan = plan(p)
                .and_then(|name| name.split('~').next())
                .unwrap_or("");
            let name = format!("{class}/{plan}");
            let room = self.kinds.len() < MOST_KINDS || self.kinds.contains_key(&name);
            add(
                self.kinds
                    .entry(if room { name } else { "/".into() })
                    .or_default(),
                &kind,
            );
        }
        for (c, times) in self.times.drain() {
            let name = class(c).unwrap_or("").to_string();
            let room = self.named.len() < MOST_TIMES;
            match self.named.get_mut(&name) {
                Some(known) => drop(known.add(&times)),
                None if room => drop(self.named.insert(name, times)),
                None => {}
            }
        }
    }

    /// What was settled: the kinds and the times of a [`Tally`].
    pub fn tally(&self) -> Tally {
        let sparse = |h: &Histogram<u64>| {
            h.iter_recorded()
                .map(|v| (v.value_iterated_to(), v.count_at_value()))
                .collect::<Vec<_>>()
        };
        let times = self
            .named
            .iter()
            .map(|(name, h)| (name.clone(), sparse(h)))
            .collect();
        Tally {
            kinds: self.kinds.clone(),
            times,
            ..Tally::default()
        }
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// The share of the worth asked inside quotas that was refused or failed.
    Lost,
    /// The share of what was asked inside quotas that failed.
    Failed,
    /// The share of answers later than half of them were before.
    Half,
    /// The share of answers later than 99 of 100 were before.
    Late,
    /// Processor time of a request, as a part of the other's.
    Processor,
    /// The growth of the memory in a second, as a part of it.
    Memory,
}

impl Measure {
    /// All of them.
    pub const ALL: [Measure; 6] = [
        Measure::Lost,
        Measure::Failed,
        Measure::Half,
        Measure::Late,
        Measure::Processor,
        Measure::Memory,
    ];

    /// What is no difference yet. Members differ by themselves, in their customers and their place: what counts as worse,
    /// `worse`, is four times as much, so that what is found is most of it.
    pub fn tolerance(self, worse: f64) -> f64 {
        match self {
            Measure::Lost | Measure::Failed | Measure::Late => worse / 4.0,
            // As many are later than the median as are earlier: a share there moves with the least difference.
            Measure::Half => 2.0 * worse,
            // Processors that share a core, and requests of another mix, differ by some percent.
            Measure::Processor => 0.1,
            // A third of a percent in a second is three times as much memory after ten minutes.
            Measure::Memory => 0.003,
        }
    }
}

impl std::fmt::Display for Measure {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            Measure::Lost => "worth lost inside quotas",
            Measure::Failed => "requests failed",
            Measure::Half => "answers later than the median was",
            Measure::Late => "answers later than 99 of 100 were",
            Measure::Processor => "processor time of a request",
            Measure::Memory => "growth of the memory a second",
        })
    }
}

/// What a cohort did in a block of time.
#[derive(Clone, Debug, Default)]
pub struct Side {
    kinds: BTreeMap<String, Kind>,
    times: BTreeMap<String, BTreeMap<u64, u64>>,
    cpu_us: u64,
    memory_kb: u64,
    grown_kb: i64,
    seconds: f64,
    looks: u32,
}

impl Side {
    /// Adds what a member did between two looks.
    pub fn add(&mut self, before: &Tally, after: &Tally) {
        for (name, kind) in &after.kinds {
            let was = before.kinds.get(name).copied().unwrap_or_default();
            let more = Kind {
                worth: kind.worth,
                asked: kind.asked.saturating_sub(was.asked),
                refused: kind.refused.saturating_sub(was.refused),
                failed: kind.failed.saturating_sub(was.failed),
            };
            add(self.kinds.entry(name.clone()).or_default(), &more);
        }
        for (class, times) in &after.times {
            let was: BTreeMap<u64, u64> = before
                .times
                .get(class)
                .into_iter()
                .flatten()
                .copied()
                .collect();
            let to = self.times.entry(class.clone()).or_default();
            for (time, count) in times {
                let more = count.saturating_sub(was.get(time).copied().unwrap_or(0));
                if more > 0 {
                    *to.entry(*time).or_default() += more;
                }
            }
        }
        self.cpu_us += after.cpu_us.saturating_sub(before.cpu_us);
        self.memory_kb += after.memory_kb;
        self.grown_kb += after.memory_kb as i64 - before.memory_kb as i64;
        self.looks += 1;
        self.seconds += after.age_ms.saturating_sub(before.age_ms) as f64 / 1e3;
    }

    fn asked(&self) -> u64 {
        self.kinds.values().map(|k| k.asked).sum()
    }

    /// The share of answers of a class later than a time, and how many there are.
    fn later(&self, class: &str, than: u64) -> (f64, f64) {
        let Some(times) = self.times.get(class) else {
            return (0.0, 0.0);
        };
        let all: u64 = times.values().sum();
        let late: u64 = times.range(than.saturating_add(1)..).map(|t| t.1).sum();
        if all == 0 {
            (0.0, 0.0)
        } else {
            (late as f64 / all as f64, all as f64)
        }
    }
}

/// How many of each side a comparison of so many with so many is as good as: half their harmonic mean; nought where there is
/// none of one. The same for both sides, so that equals stay equal.
fn weight(a: f64, b: f64) -> f64 {
    if a + b > 0.0 {
        a * b / (a + b)
    } else {
        0.0
    }
}

/// A mean that nothing with a weight came to is none.
#[derive(Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, weight: f64, difference: f64) {
        if weight > 0.0 {
            self.sum += weight * difference;
            self.weight += weight;
        }
    }

    fn get(&self) -> Option<f64> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// The new and the old of each hall in a block of time.
#[derive(Clone, Debug, Default)]
pub struct Block {
    /// By hall: the new, and as many of the old.
    pub halls: BTreeMap<String, (Side, Side)>,
}

/// Up to which times half, and 99 of 100, of the answers of a class came.
pub type Usual = BTreeMap<String, (u64, u64)>;

impl Block {
    /// How many requests on each side the comparison is as good as.
    pub fn weight(&self) -> f64 {
        self.halls
            .values()
            .map(|(new, old)| 2.0 * weight(new.asked() as f64, old.asked() as f64))
            .sum()
    }

    /// What the new has more of than the old, hall by hall and kind by kind, so that customers of another kind or in another
    /// place are nobody's fault; none where there is nothing to compare.
    pub fn differences(&self, usual: &Usual) -> BTreeMap<Measure, f64> {
        let mut means: BTreeMap<Measure, Mean> = BTreeMap::new();
        let mut put =
            |measure, weight, difference| means.entry(measure).or_default().add(weight, difference);
        for (new, old) in self.halls.values() {
            for (name, n) in &new.kinds {
                let Some(o) = old.kinds.get(name) else {
                    continue;
                };
                let many = weight(n.asked as f64, o.asked as f64);
                let share = |k: &Kind, lost: u64| lost as f64 / k.asked.max(1) as f64;
                let worth = n.worth as f64 / WORTH;
                put(
                    Measure::Lost,
                    worth * many,
                    share(n, n.refused + n.failed) - share(o, o.refused + o.failed),
                );
                put(
                    Measure::Failed,
                    many,
                    share(n, n.failed) - share(o, o.failed),
                );
            }
            for (class, (half, late)) in usual {
                for (measure, than) in [(Measure::Half, *half), (Measure::Late, *late)] {
                    let ((n, all), (o, others)) = (new.later(class, than), old.later(class, than));
                    put(measure, weight(all, others), n - o);
                }
            }
            let (n, o) = (new.asked() as f64, old.asked() as f64);
            if n.min(o) > 0.0 && n.max(o) <= AS_BUSY * n.min(o) {
                let (a, b) = (new.cpu_us as f64 / n, old.cpu_us as f64 / o);
                put(
                    Measure::Processor,
                    weight(n, o),
                    2.0 * (a - b) / (a + b).max(1e-9),
                );
            }
            if new.seconds > 0.0 && old.seconds > 0.0 {
                let held = |s: &Side| s.memory_kb as f64 / f64::from(s.looks.max(1));
                let growth = new.grown_kb as f64 / new.seconds - old.grown_kb as f64 / old.seconds;
                put(
                    Measure::Memory,
                    1.0,
                    2.0 * growth / (held(new) + held(old)).max(1.0),
                );
            }
        }
        means
            .into_iter()
            .filter_map(|(measure, mean)| Some((measure, mean.get()?)))
            .collect()
    }
}

/// Up to which times half, and 99 of 100, of all answers came, by class, new and old together.
pub fn usual(tallies: &BTreeMap<String, Tally>) -> Usual {
    let mut all: BTreeMap<&str, BTreeMap<u64, u64>> = BTreeMap::new();
    for (class, times) in tallies.values().flat_map(|t| &t.times) {
        let to = all.entry(class).or_default();
        times
            .iter()
            .for_each(|(time, count)| *to.entry(*time).or_default() += count);
    }
    let up_to = |times: &BTreeMap<u64, u64>, part: f64| {
        let mut left = times.values().sum::<u64>() as f64 * part;
        let at = times.iter().find(|(_, count)| {
            left -= **count as f64;
            left <= 0.0
        });
        at.map_or(0, |t| *t.0)
    };
    all.into_iter()
        .map(|(class, t)| (class.to_string(), (up_to(&t, 0.5), up_to(&t, 0.99))))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::{usual, Block, Counter, End, Kind, Measure, Side, Tally, Usual, MOST_KINDS};

    fn tally(list: &[(&str, u64, u64, u64)], times: &[(u64, u64)]) -> Tally {
        let kind = |asked, refused, failed| Kind {
            worth: 2_000,
            asked,
            refused,
            failed,
        };
        let kinds = list
            .iter()
            .map(|(n, a, r, f)| (n.to_string(), kind(*a, *r, *f)))
            .collect();
        let times = [("quote".to_string(), times.to_vec())].into();
        Tally {
            kinds,
            times,
            age_ms: 1_000,
            cpu_us: 1_000,
            memory_kb: 30_000,
            ..Tally::default()
        }
    }

    fn side(t: &Tally) -> Side {
        let mut side = Side::default();
        let before = Tally {
            memory_kb: t.memory_kb,
            ..Tally::default()
        };
        side.add(&before, t);
        side
    }

    fn block(new: &Tally, old: &Tally) -> Block {
        Block {
            halls: [("a".to_string(), (side(new), side(old)))].into(),
        }
    }

    /// Guards against a cohort that is blamed for its customers: one with more of those whose requests fail anyway.
    #[test]
    fn kind_is_compared_with_kind() {
        let mixed = tally(&[("quote/a", 10, 0, 0), ("quote/b", 190, 0, 95)], &[]);
        let other = tally(&[("quote/a", 190, 0, 0), ("quote/b", 10, 0, 5)], &[]);
        let found = block(&mixed, &other).differences(&Usual::new());
        assert_eq!(found[&Measure::Failed], 0.0);
        assert_eq!(found[&Measure::Lost], 0.0);
        let worse = tally(&[("quote/a", 100, 4, 0)], &[]);
        let found =
            block(&worse, &tally(&[("quote/a", 100, 0, 0)], &[])).differences(&Usual::new());
        assert!((found[&Measure::Lost] - 0.04).abs() < 1e-9 && found[&Measure::Failed] == 0.0);
        assert!((block(&worse, &worse).weight() - 100.0).abs() < 1e-9);
        assert!(!block(&worse, &Tally::default())
            .differences(&Usual::new())
            .contains_key(&Measure::Lost));
    }

    #[test]
    fn slow_answers_and_memory_and_processor_are_found() {
        let quick = tally(
            &[("quote/a", 100, 0, 0)],
            &[(1_000, 60), (2_000, 39), (9_000, 1)],
        );
        let slow = tally(
            &[("quote/a", 100, 0, 0)],
            &[(1_000, 60), (2_000, 37), (9_000, 1), (40_000, 2)],
        );
        let all = [("n0".to_string(), quick.clone())].into();
        let usual = usual(&all);
        assert_eq!(usual["quote"], (1_000, 2_000));
        let found = block(&slow, &quick).differences(&usual);
        assert!((found[&Measure::Late] - 0.02).abs() < 1e-9 && found[&Measure::Half].abs() < 1e-9);
        let dear = Tally {
            cpu_us: 3_000,
            ..quick.clone()
        };
        assert!((block(&dear, &quick).differences(&usual)[&Measure::Processor] - 1.0).abs() < 1e-9);
        let idle = Tally {
            kinds: tally(&[("quote/a", 50, 0, 0)], &[]).kinds,
            ..dear.clone()
        };
        assert!(
            !block(&idle, &quick)
                .differences(&usual)
                .contains_key(&Measure::Processor),
            "half as busy"
        );
        let mut leak = side(&quick);
        leak.grown_kb = 1_024;
        let leaking = Block {
            halls: [("a".to_string(), (leak, side(&quick)))].into(),
        };
        let grown = leaking.differences(&usual)[&Measure::Memory];
        assert!((grown - 1_024.0 / 30_000.0).abs() < 1e-3, "{grown}");
    }

    #[test]
    fn what_is_counted_by_places_stands_under_its_names_whatever_they_become() {
        let mut counter = Counter::default();
        counter.ended(0, 0, 2_000, End::Served(1_500));
        counter.ended(0, 1, 2_000, End::Refused);
        counter.settle(
            |_| Some("quote"),
            |p| Some(["starter", "starter~9~9"][usize::from(p)]),
        );
        counter.ended(0, 0, 3_000, End::Failed);
        counter.settle(|_| Some("refer"), |_| Some("starter"));
        let tally = counter.tally();
        let kind = |worth, asked, refused, failed| Kind {
            worth,
            asked,
            refused,
            failed,
        };
        assert_eq!(tally.kinds["quote/starter"], kind(2_000, 2, 1, 0));
        assert_eq!(tally.kinds["refer/starter"], kind(3_000, 1, 0, 1));
        assert_eq!(tally.times["quote"].iter().map(|t| t.1).sum::<u64>(), 1);
        for plan in 0..2_000 {
            counter.ended(0, plan, 1, End::Failed);
            counter.ended(0, plan, 1, End::Served(u64::MAX));
        }
        let names: Vec<String> = (0..2_000).map(|p| format!("p{p}")).collect();
        counter.settle(
            |_| Some("quote"),
            |p| names.get(usize::from(p)).map(String::as_str),
        );
        assert!(counter.tally().kinds.len() <= MOST_KINDS + 1);
        let text = serde_json::to_string(&tally).unwrap();
        assert_eq!(serde_json::from_str::<Tally>(&text).unwrap(), tally);
    }
}
