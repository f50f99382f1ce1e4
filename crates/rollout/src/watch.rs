//! Whoever drives a rollout: it looks at all members about once a second, and is told what is to be decided, if anything. It
//! remembers nothing that others need: another driver that goes on in its place begins to watch anew.

use crate::evidence::Evidence;
use crate::record::{Phase, Record};
use crate::tally::{usual, Block, Measure, Tally, Usual};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests lost, of as many as a block has on each side, if the new one were just as bad as counts: with fewer a block's
/// difference is mostly nought and now and then large, and equals are no longer as likely above as below.
const LOST_IN_A_BLOCK: f64 = 3.0;

/// What a driver saw of a member: its counts, or why it did not answer.
pub type Seen = Result<Tally, String>;

/// How a stage stands, for people.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Standing {
    /// By measure: the mean difference, and what a stake of 1 that it is worse has come to.
    pub measures: Vec<(Measure, f64, f64)>,
    /// What a stake of 1 that it is good has come to.
    pub good: f64,
    /// Both stakes count from here on.
    pub needed: f64,
    /// Blocks so far.
    pub blocks: u32,
    /// Members that are away.
    pub away: Vec<String>,
    /// Members that are to run another program than they do.
    pub changing: Vec<String>,
}

/// The watch over one phase of a rollout.
#[derive(Clone, Debug)]
pub struct Watch {
    record: Record,
    /// The decree whose phase it is; members that stand elsewhere are not compared.
    number: u64,
    since: Duration,
    last: BTreeMap<String, Tally>,
    usual: Usual,
    block: Block,
    blocks: u32,
    worse: BTreeMap<Measure, Evidence>,
    good: Evidence,
    away: Vec<String>,
    /// Members that are to run another program than they do.
    changing: Vec<String>,
    /// Of these, those whose turn it is, until they are seen to run it.
    turns: BTreeSet<String>,
    /// Since when as many are there as must be.
    there: Option<Duration>,
}

impl Watch {
    /// Begins to watch what a decree says of a rollout.
    pub fn new(record: Record, number: u64, now: Duration) -> Watch {
        Watch {
            record,
            number,
            since: now,
            last: BTreeMap::new(),
            usual: Usual::new(),
            block: Block::default(),
            blocks: 0,
            worse: BTreeMap::new(),
            good: Evidence::default(),
            away: Vec::new(),
            changing: Vec::new(),
            turns: BTreeSet::new(),
            there: None,
        }
    }

    /// The chance to err that a stage has: all of them together have the rollout's.
    fn error(&self) -> f64 {
        self.record.terms.error() / self.record.stages.len() as f64
    }

    /// How it stands.
    pub fn standing(&self) -> Standing {
        let measures = self
            .worse
            .iter()
            .map(|(m, e)| (*m, e.mean(), e.stake()))
            .collect();
        let (good, needed) = (self.good.stake(), 1.0 / self.error());
        let (away, changing) = (self.away.clone(), self.changing.clone());
        Standing {
            measures,
            good,
            needed,
            blocks: self.blocks,
            away,
            changing,
        }
    }

    /// Members whose turn it is to change what they run, and that have not been told: no more than may be away are at it at
    /// once, in the order of the stages. To be asked behind each [`Watch::look`].
    pub fn turns(&mut self, seen: &BTreeMap<String, Seen>) -> Vec<String> {
        let here = |name: &str| seen.get(name).and_then(|t| t.as_ref().ok());
        let runs = |name: &String| here(name).is_some_and(|t| self.record.fits(name, &t.program));
        // One that does not answer in the middle of its change is still at it.
        self.turns.retain(|name| !runs(name));
        let told = |name: &&String| here(name).is_some_and(|t| t.turn);
        self.turns
            .extend(self.changing.iter().filter(told).cloned());
        let most = self.record.terms.away.max(1);
        for name in self
            .record
            .stages
            .iter()
            .flatten()
            .filter(|name| self.changing.contains(name))
        {
            if self.turns.len() < most {
                self.turns.insert(name.clone());
            }
        }
        self.changing
            .iter()
            .filter(|name| self.turns.contains(*name) && !told(name))
            .cloned()
            .collect()
    }

    /// Takes a look at all members that serve; what is to be decided, if anything.
    pub fn look(&mut self, now: Duration, seen: &BTreeMap<String, Seen>) -> Option<Record> {
        let watched = now.saturating_sub(self.since);
        let other = |name: &&String| match seen.get(*name) {
            Some(Ok(t)) => t.number >= self.number && !self.record.fits(name, &t.program),
            _ => false,
        };
        self.changing = self
            .record
            .stages
            .iter()
            .flatten()
            .filter(other)
            .cloned()
            .collect();
        let patience = Duration::from_millis(self.record.terms.patience_ms);
        if let Phase::Back { left } = self.record.phase {
            let pause = Duration::from_millis(self.record.terms.pause_ms);
            let next = if left > 1 {
                Phase::Back { left: left - 1 }
            } else {
                Phase::Stopped
            };
            // Whoever can't go back to what it ran must not keep the others from it.
            let due = watched >= pause && self.changing.is_empty() || watched >= patience;
            return due.then(|| self.record.at(next, self.record.why.clone()));
        }
        let Phase::On { stage } = self.record.phase else {
            return None;
        };
        if let Some((name, why)) = self.unfit(seen) {
            return Some(self.record.stopped(true, format!("{name}: {why}")));
        }
        if let Some(name) = self.crashed(seen) {
            return Some(
                self.record
                    .stopped(true, format!("{name} has the new one and started again")),
            );
        }
        self.compare(seen);
        let all: BTreeSet<&String> = self.record.stages.iter().flatten().collect();
        // One that answers and has not learnt what stands is as good as away: it serves nobody until it has.
        let learnt = |t: &Seen| t.as_ref().is_ok_and(|t| t.number >= self.number);
        let here = |name: &&&String| seen.get(**name).is_some_and(learnt);
        self.away = all
            .iter()
            .filter(|name| !here(name))
            .map(|name| name.to_string())
            .collect();
        match self.away.len() <= self.record.terms.away && self.changing.is_empty() {
            true => drop(self.there.get_or_insert(now)),
            false => self.there = None,
        }
        if let Some(why) = self.found_worse() {
            return Some(self.record.stopped(false, why));
        }
        let last = stage + 1 == self.record.stages.len();
        // Where all have the new one there is nothing to compare with: it is watched for crashes alone.
        // Nor does it go on while it looks worse rather than not: that shows a little later than that nothing is lost.
        let good = last || (self.good.shows(self.error()) && self.stake() < 1.0);
        let watched_well = self
            .there
            .is_some_and(|at| now.saturating_sub(at) >= self.record.terms.watch());
        if good && watched_well {
            let next = if last {
                Phase::Done
            } else {
                Phase::On { stage: stage + 1 }
            };
            return Some(self.record.at(next, ""));
        }
        (watched >= patience).then(|| {
            let why = match self.most_doubtful().filter(|_| self.stake() >= 1.0) {
                _ if !self.changing.is_empty() => {
                    format!("not changed: {}", self.changing.join(", "))
                }
                _ if self.there.is_none() => format!("away: {}", self.away.join(", ")),
                Some(doubt) => format!("doubtful: {doubt}"),
                None => format!("not known to be good: {} blocks to compare", self.blocks),
            };
            self.record.at(Phase::Held { stage }, why)
        })
    }

    /// A member at which the new program does not come into service.
    fn unfit(&self, seen: &BTreeMap<String, Seen>) -> Option<(String, String)> {
        let new = self.record.new_at();
        let here = seen
            .iter()
            .filter_map(|(name, t)| Some((name, t.as_ref().ok()?)));
        let mut unfit = here.filter(|(name, t)| new.contains(name.as_str()) && !t.unfit.is_empty());
        unfit
            .next()
            .map(|(name, t)| (name.clone(), t.unfit.clone()))
    }

    /// A member that has the new one and has started since it has it: it has found this very decree in its folder, or another
    /// life of it was seen.
    fn crashed(&self, seen: &BTreeMap<String, Seen>) -> Option<String> {
        let new = self.record.new_at();
        let started = |name: &str, t: &Tally| {
            let other = self.last.get(name).is_some_and(|was| was.life != t.life);
            // The change of its program is a start as well, and the one that is wanted.
            let meant =
                self.record.changes_programs() && t.changed && self.record.fits(name, &t.program);
            other || t.began >= self.number && !meant
        };
        let here = seen
            .iter()
            .filter_map(|(name, t)| Some((name, t.as_ref().ok()?)));
        let mut crashed = here.filter(|(name, t)| new.contains(name.as_str()) && started(name, t));
        crashed.next().map(|(name, _)| name.clone())
    }

    /// Compares what members did since the last look, once a block has enough of it.
    fn compare(&mut self, seen: &BTreeMap<String, Seen>) {
        let tallies: BTreeMap<String, Tally> = seen
            .iter()
            .filter_map(|(name, t)| Some((name.clone(), t.as_ref().ok()?.clone())))
            .filter(|(name, t)| t.number == self.number && self.record.fits(name, &t.program))
            .collect();
        let new = self.record.new_at();
        // By hall: those of each side that were there before and are.
        let mut halls: BTreeMap<&str, [Vec<&String>; 2]> = BTreeMap::new();
        for (name, t) in &tallies {
            if self.last.get(name).is_some_and(|was| was.life == t.life) {
                let side = usize::from(!new.contains(name.as_str()));
                halls.entry(&t.hall).or_default()[side].push(name);
            }
        }
        for (hall, [new, old]) in halls {
            // As many with as many: a mean over more scatters less, and equals would be told from each other by that. Who is
            // taken of the larger side changes from block to block.
            let many = new.len().min(old.len());
            if many == 0 {
                continue;
            }
            let (n, o) = self.block.halls.entry(hall.to_string()).or_default();
            for (names, side) in [(new, n), (old, o)] {
                let from = self.blocks as usize * many % names.len();
                for name in names.iter().cycle().skip(from).take(many) {
                    side.add(&self.last[*name], &tallies[*name]);
                }
            }
        }
        if self.usual.is_empty() {
            self.usual = usual(&tallies);
        }
        let enough = LOST_IN_A_BLOCK / self.record.terms.worse();
        if self.block.weight() >= enough {
            let block = std::mem::take(&mut self.block);
            let worse = self.record.terms.worse();
            for (measure, difference) in block.differences(&self.usual) {
                let evidence = self.worse.entry(measure).or_default();
                evidence.add(difference - measure.tolerance(worse));
                if measure == Measure::Lost {
                    self.good.add(worse - difference);
                }
            }
            self.blocks += 1;
            // What is late is told by what was before.
            self.usual = usual(&tallies);
        }
        // One that was not there at this look has no counts to compare the next ones with.
        self.last = tallies;
    }

    /// What a stake of 1 that it is worse has come to: the mean of all measures' stakes, each of which is fair.
    fn stake(&self) -> f64 {
        self.worse.values().map(Evidence::stake).sum::<f64>() / Measure::ALL.len() as f64
    }

    /// Why it is worse, if that is known.
    fn found_worse(&self) -> Option<String> {
        (self.stake() * self.error() >= 1.0)
            .then(|| self.most_doubtful())
            .flatten()
    }

    /// The measure by which it looks worst.
    fn most_doubtful(&self) -> Option<String> {
        let most = self
            .worse
            .iter()
            .max_by(|a, b| a.1.stake().total_cmp(&b.1.stake()))?;
        let worse = self.record.terms.worse();
        let mean = most.1.mean() + most.0.tolerance(worse);
        Some(format!(
            "{}: {:+.1}% beside the old one, over {} blocks",
            most.0,
            mean * 100.0,
            most.1.blocks()
        ))
    }
}
