//! Decides the steps of a rollout from observations of its members. The controller of a rollout observes all members about once
//! a second. The state of a monitor is not stored: another controller that takes over begins with a new monitor.

use crate::comparison::{latency_baseline, ComparisonBlock, LatencyBaseline, Measure};
use crate::metrics::MemberMetrics;
use crate::phase::RolloutPhase;
use crate::rollout::{Rollback, Rollout};
use crate::sequential_test::SequentialTest;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Minimum number of lost requests that a block would contain for each version if its loss were exactly the policy's
/// regression. With fewer, the difference of a block is mostly 0 and sometimes large, so that equal versions are no longer as
/// likely to differ upwards as downwards, which the sequential test requires.
const MIN_LOST_PER_BLOCK: f64 = 3.0;
/// Wealth of the regression test from which a stage is doubtful and does not advance: a regression is more likely than not.
const DOUBTFUL_WEALTH: f64 = 1.0;

/// Metrics by member name; none for a member that does not respond.
pub type Observations = BTreeMap<String, Option<MemberMetrics>>;

/// Result of comparing one measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureReport {
    /// Measure that is compared.
    pub measure: Measure,
    /// Mean difference minus the tolerance.
    pub mean: f64,
    /// Wealth of the test that the new version is worse in this measure.
    pub wealth: f64,
}

/// Progress of a stage, for display.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StageReport {
    /// Results of all measures compared so far.
    pub measures: Vec<MeasureReport>,
    /// Wealth of the test that the new version is good.
    pub good: f64,
    /// Wealth from which a test is significant.
    pub needed: f64,
    /// Number of blocks compared.
    pub blocks: u32,
    /// Names of the unavailable members.
    pub unavailable: Vec<String>,
    /// Names of the members that must still change to another program.
    pub changing: Vec<String>,
}

/// Monitors one phase of a rollout.
#[derive(Clone, Debug)]
pub struct StageMonitor {
    rollout: Rollout,
    /// Version of the group state with this phase. Members that serve under another version are not compared.
    version: u64,
    started_at: Duration,
    /// Metrics at the previous observation, of the members that could be compared then.
    previous: BTreeMap<String, MemberMetrics>,
    baseline: LatencyBaseline,
    current_block: ComparisonBlock,
    block_count: u32,
    /// Tests that the new version is worse, by measure.
    regression_tests: BTreeMap<Measure, SequentialTest>,
    /// Test that the new version loses less than the policy's regression.
    good_test: SequentialTest,
    unavailable: Vec<String>,
    /// Members that must still change to another program.
    changing: Vec<String>,
    /// Members that may change their program now, until they are observed to run the expected one.
    granted_turns: BTreeSet<String>,
    /// Time since which enough members are available; none if too few are.
    available_since: Option<Duration>,
}

/// Names of the members of a zone group that can be compared, by version.
#[derive(Default)]
struct ComparableMembers<'a> {
    new: Vec<&'a String>,
    old: Vec<&'a String>,
}

impl StageMonitor {
    /// Starts to monitor the phase of a rollout that is stored in this version of the group state.
    pub fn new(rollout: Rollout, version: u64, now: Duration) -> StageMonitor {
        StageMonitor {
            rollout,
            version,
            started_at: now,
            previous: BTreeMap::new(),
            baseline: LatencyBaseline::new(),
            current_block: ComparisonBlock::default(),
            block_count: 0,
            regression_tests: BTreeMap::new(),
            good_test: SequentialTest::default(),
            unavailable: Vec::new(),
            changing: Vec::new(),
            granted_turns: BTreeSet::new(),
            available_since: None,
        }
    }

    /// Returns the error probability of a stage. The rollout's error probability is divided evenly among its stages.
    fn stage_error(&self) -> f64 {
        self.rollout.policy.false_alarm() / self.rollout.stages.len() as f64
    }

    /// Returns the progress of the stage, for display.
    pub fn report(&self) -> StageReport {
        let measures = self
            .regression_tests
            .iter()
            .map(|(measure, test)| MeasureReport {
                measure: *measure,
                mean: test.mean(),
                wealth: test.wealth(),
            });
        StageReport {
            measures: measures.collect(),
            good: self.good_test.wealth(),
            needed: 1.0 / self.stage_error(),
            blocks: self.block_count,
            unavailable: self.unavailable.clone(),
            changing: self.changing.clone(),
        }
    }

    /// Returns the members that may change their program now and have not been told so yet, in the order of the stages. At
    /// most as many members as may be unavailable, but at least one, change at the same time. Call this after each
    /// [`StageMonitor::observe`].
    pub fn grant_turns(&mut self, observations: &Observations) -> Vec<String> {
        let observed = |name: &str| observations.get(name).and_then(Option::as_ref);
        let rollout = &self.rollout;
        // A member that does not respond may be in the middle of its change and keeps its turn.
        self.granted_turns.retain(|name| {
            !observed(name).is_some_and(|member| rollout.expects_program(name, &member.program))
        });
        let was_told = |name: &&String| observed(name).is_some_and(|member| member.has_turn);
        self.granted_turns
            .extend(self.changing.iter().filter(was_told).cloned());
        let max_turns = rollout.policy.max_unavailable.max(1);
        for name in rollout
            .members()
            .filter(|name| self.changing.contains(name))
        {
            if self.granted_turns.len() < max_turns {
                self.granted_turns.insert(name.clone());
            }
        }
        let has_turn = |name: &&String| self.granted_turns.contains(*name) && !was_told(name);
        self.changing.iter().filter(has_turn).cloned().collect()
    }

    /// Takes an observation of all members that serve, and returns the next state of the rollout to decide, if any.
    pub fn observe(&mut self, now: Duration, observations: &Observations) -> Option<Rollout> {
        self.changing = self.changing_members(observations);
        match self.rollout.phase {
            RolloutPhase::RollingBack { remaining } => self.next_rollback(now, remaining),
            RolloutPhase::Active { stage } => self.evaluate_stage(now, stage, observations),
            _ => None,
        }
    }

    /// Returns the members that must still change to another program.
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

    /// Returns the next rollback step if it is due.
    fn next_rollback(&self, now: Duration, remaining: usize) -> Option<Rollout> {
        let policy = &self.rollout.policy;
        let elapsed = now.saturating_sub(self.started_at);
        // After the timeout, a member that can't go back to the old program no longer delays the others.
        let is_due = elapsed >= policy.rollback_interval() && self.changing.is_empty()
            || elapsed >= policy.timeout();
        let next = if remaining > 1 {
            RolloutPhase::RollingBack {
                remaining: remaining - 1,
            }
        } else {
            RolloutPhase::RolledBack
        };
        is_due.then(|| self.rollout.with_phase(next, self.rollout.reason.clone()))
    }

    /// Evaluates a stage: returns a rollback, the next phase or a pause, or none if the stage needs more observations.
    fn evaluate_stage(
        &mut self,
        now: Duration,
        stage: usize,
        observations: &Observations,
    ) -> Option<Rollout> {
        if let Some(reason) = self.fault_reason(observations) {
            return Some(self.rollout.roll_back(Rollback::Immediate, reason));
        }
        self.compare(observations);
        self.update_availability(now, observations);
        if let Some(reason) = self.regression_reason() {
            return Some(self.rollout.roll_back(Rollback::Stepwise, reason));
        }
        if let Some(next) = self.next_phase(now, stage) {
            return Some(self.rollout.with_phase(next, ""));
        }
        let is_overdue = now.saturating_sub(self.started_at) >= self.rollout.policy.timeout();
        is_overdue.then(|| {
            let paused = RolloutPhase::Paused { stage };
            self.rollout.with_phase(paused, self.undecided_reason())
        })
    }

    /// Returns the phase after this stage if the stage is known to be good and has been monitored for long enough.
    fn next_phase(&self, now: Duration, stage: usize) -> Option<RolloutPhase> {
        let is_last = stage + 1 == self.rollout.stages.len();
        // In the last stage all members have the new version, so there is nothing to compare and only crashes are detected. An
        // earlier stage does not advance while it is doubtful: a regression in another measure may take longer to show than the
        // absence of lost requests.
        let is_good = is_last
            || self.good_test.is_significant(self.stage_error())
                && self.regression_wealth() < DOUBTFUL_WEALTH;
        let available_for = self.available_since.map(|at| now.saturating_sub(at));
        let is_long_enough =
            available_for.is_some_and(|elapsed| elapsed >= self.rollout.policy.min_watch());
        (is_good && is_long_enough).then_some(if is_last {
            RolloutPhase::Completed
        } else {
            RolloutPhase::Active { stage: stage + 1 }
        })
    }

    /// Explains why the stage is known neither to be good nor to be worse.
    fn undecided_reason(&self) -> String {
        if !self.changing.is_empty() {
            return format!(
                "members still running another program: {}",
                self.changing.join(", ")
            );
        }
        if self.available_since.is_none() {
            return format!("unavailable members: {}", self.unavailable.join(", "));
        }
        let doubtful_measure = self
            .worst_measure()
            .filter(|_| self.regression_wealth() >= DOUBTFUL_WEALTH);
        match doubtful_measure {
            Some(measure) => format!("possible regression: {measure}"),
            None => format!(
                "not enough evidence that the new version is good after {} blocks",
                self.block_count
            ),
        }
    }

    /// Updates which members are unavailable. A member that responds but has an older version of the group state counts as
    /// unavailable, because it serves no requests until it has the current one.
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

    /// Returns why the rollout must be stopped at once, if it must: a new program did not come into service, or a member with
    /// the new version has crashed.
    fn fault_reason(&self, observations: &Observations) -> Option<String> {
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
        Some(format!(
            "{name} has the new version and started again unexpectedly"
        ))
    }

    /// Returns whether a member with the new version has restarted since it got that version: this version of the group state
    /// was already stored when its process started, or another incarnation of the member was observed.
    fn has_crashed(&self, name: &str, member: &MemberMetrics) -> bool {
        let previous = self.previous.get(name);
        let is_other_process =
            previous.is_some_and(|before| before.incarnation != member.incarnation);
        // A change of the program also starts a new process, which is not a crash.
        let is_expected_start = self.rollout.changes_programs()
            && member.is_replacement
            && self.rollout.expects_program(name, &member.program);
        is_other_process || member.version_at_start >= self.version && !is_expected_start
    }

    /// Adds the activity of members since the previous observation, and compares the block once it has enough requests.
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
        if self.current_block.weight() >= MIN_LOST_PER_BLOCK / regression {
            self.end_block(regression);
            // The next block is compared with the latencies recorded before it.
            self.baseline = latency_baseline(&members);
        }
        // Members missing from this observation are dropped: the next one can't be compared with it.
        self.previous = members;
    }

    /// Adds the activity of members since the previous observation to the current block.
    fn extend_block(&mut self, members: &BTreeMap<String, MemberMetrics>) {
        let updated = self.rollout.updated_members();
        let mut zone_groups: BTreeMap<&str, ComparableMembers> = BTreeMap::new();
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
        for (zone_group, ComparableMembers { new, old }) in zone_groups {
            // Both cohorts get the same number of members: the mean of a larger cohort varies less, and equal versions would
            // appear to differ because of that.
            let count = new.len().min(old.len());
            if count == 0 {
                continue;
            }
            let pairs = &mut self.current_block.zone_groups;
            let pair = pairs.entry(zone_group.to_string()).or_default();
            for (names, cohort) in [(new, &mut pair.new), (old, &mut pair.old)] {
                // The members chosen from the larger side change from block to block.
                let first = self.block_count as usize * count % names.len();
                for name in names.iter().cycle().skip(first).take(count) {
                    cohort.add(&self.previous[*name], &members[*name]);
                }
            }
        }
    }

    /// Adds the differences of the current block to the tests, and starts a new block.
    fn end_block(&mut self, regression: f64) {
        let block = std::mem::take(&mut self.current_block);
        for (measure, difference) in block.differences(&self.baseline) {
            let test = self.regression_tests.entry(measure).or_default();
            test.add(difference - measure.tolerance(regression));
            if measure == Measure::Lost {
                self.good_test.add(regression - difference);
            }
        }
        self.block_count += 1;
    }

    /// Returns the wealth of the test that the new version is worse: the mean over all measures. Each of them is a fair bet, and
    /// so is their mean.
    fn regression_wealth(&self) -> f64 {
        let wealth: f64 = self
            .regression_tests
            .values()
            .map(SequentialTest::wealth)
            .sum();
        wealth / Measure::ALL.len() as f64
    }

    /// Returns why the new version is worse, if that is known.
    fn regression_reason(&self) -> Option<String> {
        let is_known = self.regression_wealth() * self.stage_error() >= 1.0;
        is_known.then(|| self.worst_measure()).flatten()
    }

    /// Describes the measure in which the new version looks worst; none before the first comparison.
    fn worst_measure(&self) -> Option<String> {
        let by_wealth = |a: &(&Measure, &SequentialTest), b: &(&Measure, &SequentialTest)| {
            a.1.wealth().total_cmp(&b.1.wealth())
        };
        let (measure, test) = self.regression_tests.iter().max_by(by_wealth)?;
        let tolerance = measure.tolerance(self.rollout.policy.regression());
        Some(format!(
            "{measure}: {:+.1}% compared with the old version, over {} blocks",
            (test.mean() + tolerance) * 100.0,
            test.blocks()
        ))
    }
}
