//! A controller of a rollout looks at all members about once a second, and is told what is to be decided, if anything. A monitor
//! remembers nothing that others need: another controller that goes on in its place begins to watch anew.

use crate::comparison::{latency_baseline, ComparisonBlock, LatencyBaseline, Measure};
use crate::metrics::MemberMetrics;
use crate::phase::RolloutPhase;
use crate::rollout::{Rollback, Rollout};
use crate::sequential_test::SequentialTest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Requests lost, of as many as a block has on each side, if the new version were just as bad as counts: with fewer, a block's
/// difference is mostly 0 and now and then large, and equals are no longer as likely above as below.
const LOST_PER_BLOCK: f64 = 3.0;
/// The wealth from which on a regression is rather likely than not.
const DOUBT: f64 = 1.0;

/// What a controller saw of the members: their metrics, or none where one does not answer.
pub type Observations = BTreeMap<String, Option<MemberMetrics>>;

/// How a measure compares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureReport {
    /// What is compared.
    pub measure: Measure,
    /// The mean difference beyond the tolerance.
    pub mean: f64,
    /// The wealth of the test that the new version is worse.
    pub wealth: f64,
}

/// How a stage stands, for people.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StageReport {
    /// By measure.
    pub measures: Vec<MeasureReport>,
    /// The wealth of the test that the new version is good.
    pub good: f64,
    /// Either wealth counts from here on.
    pub needed: f64,
    /// Blocks that were compared.
    pub blocks: u32,
    /// Members that are unavailable.
    pub unavailable: Vec<String>,
    /// Members that are to run another program than they do.
    pub changing: Vec<String>,
}

/// The watch over one phase of a rollout.
#[derive(Clone, Debug)]
pub struct StageMonitor {
    rollout: Rollout,
    /// The version of the group's state whose phase it is; members under another one are not compared.
    version: u64,
    since: Duration,
    previous: BTreeMap<String, MemberMetrics>,
    baseline: LatencyBaseline,
    block: ComparisonBlock,
    blocks: u32,
    worse: BTreeMap<Measure, SequentialTest>,
    good: SequentialTest,
    unavailable: Vec<String>,
    /// Members that are to run another program than they do.
    changing: Vec<String>,
    /// Of these, those whose turn it is, until they are seen to run it.
    turns: BTreeSet<String>,
    /// Since when enough members are available.
    available_since: Option<Duration>,
}

/// The members of a zone group that are compared.
#[derive(Default)]
struct Comparable<'a> {
    new: Vec<&'a String>,
    old: Vec<&'a String>,
}

impl StageMonitor {
    /// Begins to watch what a version of the group's state says of a rollout.
    pub fn new(rollout: Rollout, version: u64, now: Duration) -> StageMonitor {
        StageMonitor {
            rollout,
            version,
            since: now,
            previous: BTreeMap::new(),
            baseline: LatencyBaseline::new(),
            block: ComparisonBlock::default(),
            blocks: 0,
            worse: BTreeMap::new(),
            good: SequentialTest::default(),
            unavailable: Vec::new(),
            changing: Vec::new(),
            turns: BTreeSet::new(),
            available_since: None,
        }
    }

    /// The probability of an error that a stage has: all of them together have the rollout's.
    fn error(&self) -> f64 {
        self.rollout.policy.false_alarm() / self.rollout.stages.len() as f64
    }

    /// How it stands.
    pub fn report(&self) -> StageReport {
        let measures = self.worse.iter().map(|(measure, test)| MeasureReport {
            measure: *measure,
            mean: test.mean(),
            wealth: test.wealth(),
        });
        StageReport {
            measures: measures.collect(),
            good: self.good.wealth(),
            needed: 1.0 / self.error(),
            blocks: self.blocks,
            unavailable: self.unavailable.clone(),
            changing: self.changing.clone(),
        }
    }

    /// Members whose turn it is to change their program, and that have not been told: no more than may be unavailable are at it
    /// at once, in the order of the stages. To be called behind each [`StageMonitor::look`].
    pub fn take_turns(&mut self, observations: &Observations) -> Vec<String> {
        let seen = |name: &str| observations.get(name).and_then(Option::as_ref);
        let rollout = &self.rollout;
        // One that does not answer in the middle of its change is still at it.
        self.turns.retain(|name| {
            !seen(name).is_some_and(|member| rollout.expects_program(name, &member.program))
        });
        let was_told = |name: &&String| seen(name).is_some_and(|member| member.has_turn);
        self.turns
            .extend(self.changing.iter().filter(was_told).cloned());
        let most = rollout.policy.max_unavailable.max(1);
        for name in rollout
            .members()
            .filter(|name| self.changing.contains(name))
        {
            if self.turns.len() < most {
                self.turns.insert(name.clone());
            }
        }
        let has_turn = |name: &&String| self.turns.contains(*name) && !was_told(name);
        self.changing.iter().filter(has_turn).cloned().collect()
    }

    /// Takes a look at all members that serve; what is to be decided, if anything.
    pub fn look(&mut self, now: Duration, observations: &Observations) -> Option<Rollout> {
        self.changing = self.changing_members(observations);
        match self.rollout.phase {
            RolloutPhase::RollingBack { remaining } => self.next_rollback(now, remaining),
            RolloutPhase::Active { stage } => self.look_at_stage(now, stage, observations),
            _ => None,
        }
    }

    /// Members that are to run another program than they do.
    fn changing_members(&self, observations: &Observations) -> Vec<String> {
        let is_changing = |name: &&String| {
            let member = observations.get(*name).and_then(Option::as_ref);
            member.is_some_and(|member| {
                member.group_version >= self.version
                    && !self.rollout.expects_program(name, &member.program)
            })
        };
        self.rollout
            .members()
            .filter(is_changing)
            .cloned()
            .collect()
    }

    /// The next step back, where it is time.
    fn next_rollback(&self, now: Duration, remaining: usize) -> Option<Rollout> {
        let policy = &self.rollout.policy;
        let watched = now.saturating_sub(self.since);
        // A member that can't go back to what it ran must not keep the others from it.
        let is_due = watched >= policy.rollback_interval() && self.changing.is_empty()
            || watched >= policy.timeout();
        let next = if remaining > 1 {
            RolloutPhase::RollingBack {
                remaining: remaining - 1,
            }
        } else {
            RolloutPhase::RolledBack
        };
        is_due.then(|| self.rollout.with_phase(next, self.rollout.reason.clone()))
    }

    /// Judges a stage: it is taken back, goes on, is paused, or goes on being watched.
    fn look_at_stage(
        &mut self,
        now: Duration,
        stage: usize,
        observations: &Observations,
    ) -> Option<Rollout> {
        if let Some(reason) = self.fault(observations) {
            return Some(self.rollout.roll_back(Rollback::Immediate, reason));
        }
        self.compare(observations);
        self.update_availability(now, observations);
        if let Some(reason) = self.regression() {
            return Some(self.rollout.roll_back(Rollback::Stepwise, reason));
        }
        if let Some(next) = self.next_phase(now, stage) {
            return Some(self.rollout.with_phase(next, ""));
        }
        let is_overdue = now.saturating_sub(self.since) >= self.rollout.policy.timeout();
        is_overdue.then(|| {
            let paused = RolloutPhase::Paused { stage };
            self.rollout.with_phase(paused, self.why_undecided())
        })
    }

    /// The phase behind a stage that is known to be good, and has been watched for long enough.
    fn next_phase(&self, now: Duration, stage: usize) -> Option<RolloutPhase> {
        let is_last = stage + 1 == self.rollout.stages.len();
        // Where all have the new version there is nothing to compare with: it is watched for crashes alone. Nor does it go on
        // while it looks worse rather than not: that shows a little later than that nothing is lost.
        let is_good =
            is_last || self.good.is_significant(self.error()) && self.worse_wealth() < DOUBT;
        let watched_for = self.available_since.map(|at| now.saturating_sub(at));
        let is_watched =
            watched_for.is_some_and(|watched| watched >= self.rollout.policy.min_watch());
        (is_good && is_watched).then_some(if is_last {
            RolloutPhase::Completed
        } else {
            RolloutPhase::Active { stage: stage + 1 }
        })
    }

    /// Why a stage is neither known to be good nor to be worse.
    fn why_undecided(&self) -> String {
        if !self.changing.is_empty() {
            return format!("not changed: {}", self.changing.join(", "));
        }
        if self.available_since.is_none() {
            return format!("away: {}", self.unavailable.join(", "));
        }
        let doubt = self
            .worst_measure()
            .filter(|_| self.worse_wealth() >= DOUBT);
        match doubt {
            Some(doubt) => format!("doubtful: {doubt}"),
            None => format!("not known to be good: {} blocks to compare", self.blocks),
        }
    }

    /// Which members are available. One that answers and has not learnt what stands is as good as unavailable: it serves nobody
    /// until it has.
    fn update_availability(&mut self, now: Duration, observations: &Observations) {
        let is_available = |name: &String| {
            let member = observations.get(name).and_then(Option::as_ref);
            member.is_some_and(|member| member.group_version >= self.version)
        };
        let members: BTreeSet<&String> = self.rollout.members().collect();
        let unavailable = members.into_iter().filter(|name| !is_available(name));
        self.unavailable = unavailable.cloned().collect();
        let is_enough = self.unavailable.len() <= self.rollout.policy.max_unavailable;
        if is_enough && self.changing.is_empty() {
            self.available_since.get_or_insert(now);
        } else {
            self.available_since = None;
        }
    }

    /// Why the rollout must be stopped at once, if it must: a new program does not come into service, or has crashed.
    fn fault(&self, observations: &Observations) -> Option<String> {
        let updated = self.rollout.updated_members();
        let members: Vec<(&String, &MemberMetrics)> = observations
            .iter()
            .filter(|(name, _)| updated.contains(name.as_str()))
            .filter_map(|(name, member)| Some((name, member.as_ref()?)))
            .collect();
        let mut unfit = members.iter().filter(|(_, m)| !m.unfit_reason.is_empty());
        if let Some((name, member)) = unfit.next() {
            return Some(format!("{name}: {}", member.unfit_reason));
        }
        let mut crashed = members.iter().filter(|(name, m)| self.has_crashed(name, m));
        let (name, _) = crashed.next()?;
        Some(format!("{name} has the new one and started again"))
    }

    /// Whether a member that has the new version has started since it has it: this very version of the group's state was stored
    /// when it started, or another incarnation of it was seen.
    fn has_crashed(&self, name: &str, member: &MemberMetrics) -> bool {
        let previous = self.previous.get(name);
        let is_other = previous.is_some_and(|before| before.incarnation != member.incarnation);
        // The change of its program is a start as well, and the one that is wanted.
        let is_wanted = self.rollout.changes_programs()
            && member.is_replacement
            && self.rollout.expects_program(name, &member.program);
        is_other || member.version_at_start >= self.version && !is_wanted
    }

    /// Compares what members did since the last look, once a block has enough of it.
    fn compare(&mut self, observations: &Observations) {
        let members: BTreeMap<String, MemberMetrics> = observations
            .iter()
            .filter_map(|(name, member)| Some((name.clone(), member.clone()?)))
            .filter(|(name, member)| {
                member.group_version == self.version
                    && self.rollout.expects_program(name, &member.program)
            })
            .collect();
        self.extend_block(&members);
        if self.baseline.is_empty() {
            self.baseline = latency_baseline(&members);
        }
        let regression = self.rollout.policy.regression();
        if self.block.weight() >= LOST_PER_BLOCK / regression {
            self.end_block(regression);
            // What is late is told by what was before.
            self.baseline = latency_baseline(&members);
        }
        // One that was not there at this look has no counts to compare the next ones with.
        self.previous = members;
    }

    /// Adds what members did since the last look to the block.
    fn extend_block(&mut self, members: &BTreeMap<String, MemberMetrics>) {
        let updated = self.rollout.updated_members();
        let mut zone_groups: BTreeMap<&str, Comparable> = BTreeMap::new();
        for (name, member) in members {
            let previous = self.previous.get(name);
            if previous.is_some_and(|before| before.incarnation == member.incarnation) {
                let comparable = zone_groups.entry(&member.zone_group).or_default();
                if updated.contains(name.as_str()) {
                    comparable.new.push(name);
                } else {
                    comparable.old.push(name);
                }
            }
        }
        for (zone_group, Comparable { new, old }) in zone_groups {
            // As many with as many: a mean over more scatters less, and equals would be told from each other by that.
            let count = new.len().min(old.len());
            if count == 0 {
                continue;
            }
            let pairs = &mut self.block.zone_groups;
            let pair = pairs.entry(zone_group.to_string()).or_default();
            for (names, cohort) in [(new, &mut pair.new), (old, &mut pair.old)] {
                // Who is taken of the larger side changes from block to block.
                let first = self.blocks as usize * count % names.len();
                for name in names.iter().cycle().skip(first).take(count) {
                    cohort.add(&self.previous[*name], &members[*name]);
                }
            }
        }
    }

    /// Hands the differences of the block to the tests, and begins another one.
    fn end_block(&mut self, regression: f64) {
        let block = std::mem::take(&mut self.block);
        for (measure, difference) in block.differences(&self.baseline) {
            let test = self.worse.entry(measure).or_default();
            test.add(difference - measure.tolerance(regression));
            if measure == Measure::Lost {
                self.good.add(regression - difference);
            }
        }
        self.blocks += 1;
    }

    /// The wealth of the test that the new version is worse: the mean of all measures', each of which is a fair bet.
    fn worse_wealth(&self) -> f64 {
        let wealth: f64 = self.worse.values().map(SequentialTest::wealth).sum();
        wealth / Measure::ALL.len() as f64
    }

    /// Why the new version is worse, if that is known.
    fn regression(&self) -> Option<String> {
        let is_known = self.worse_wealth() * self.error() >= 1.0;
        is_known.then(|| self.worst_measure()).flatten()
    }

    /// The measure by which it looks worst, in words.
    fn worst_measure(&self) -> Option<String> {
        let by_wealth = |a: &(&Measure, &SequentialTest), b: &(&Measure, &SequentialTest)| {
            a.1.wealth().total_cmp(&b.1.wealth())
        };
        let (measure, test) = self.worse.iter().max_by(by_wealth)?;
        let tolerance = measure.tolerance(self.rollout.policy.regression());
        Some(format!(
            "{measure}: {:+.1}% beside the old one, over {} blocks",
            (test.mean() + tolerance) * 100.0,
            test.blocks()
        ))
    }
}
