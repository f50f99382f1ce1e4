//! What the members keep of a rollout. It is a part of the decree that stands in their group: each step is decided by a
//! majority, as one number after the other, so that of two who want to take one at the same time one does, and the other finds
//! that it has been taken.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wrenfork_commit::state::{Digest, State};

/// What is asked of each stage. Whole numbers: a record's digest must survive being written and read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// Milliseconds for which a stage is watched at the least.
    pub watch_ms: u64,
    /// Milliseconds after which a stage that is not known to be good is held.
    pub patience_ms: u64,
    /// Milliseconds between two steps back.
    pub pause_ms: u64,
    /// Members that may be away while another stage begins.
    pub away: usize,
    /// The share of the worth, in millionths, whose loss must be found, and must be ruled out before a stage counts as good.
    pub worse_ppm: u32,
    /// The chance, in millionths, that a rollout of an equal is stopped.
    pub error_ppm: u32,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            watch_ms: 60_000,
            patience_ms: 600_000,
            pause_ms: 2_000,
            away: 1,
            worse_ppm: 20_000,
            error_ppm: 10_000,
        }
    }
}

impl Terms {
    /// Checks terms that came from elsewhere.
    ///
    /// # Errors
    ///
    /// With what is wrong, in words.
    pub fn check(&self) -> Result<(), String> {
        if !(1_000..=86_400_000).contains(&self.watch_ms) {
            return Err("a stage is watched for 1 s to a day".into());
        }
        if !(self.watch_ms..=7 * 86_400_000).contains(&self.patience_ms) {
            return Err(
                "patience is as long as a stage is watched at the least, and a week at the most"
                    .into(),
            );
        }
        if self.pause_ms > 3_600_000 {
            return Err("a pause between two steps back is an hour at the most".into());
        }
        if !(1_000..=500_000).contains(&self.worse_ppm) {
            return Err("what counts as worse is a share from 0.001 to 0.5".into());
        }
        if !(1_000..=200_000).contains(&self.error_ppm) {
            return Err("the error is a chance from 0.001 to 0.2".into());
        }
        Ok(())
    }

    /// For how long a stage is watched at the least.
    pub fn watch(&self) -> Duration {
        Duration::from_millis(self.watch_ms)
    }

    /// The share of the worth whose loss counts.
    pub fn worse(&self) -> f64 {
        f64::from(self.worse_ppm) / 1e6
    }

    /// The chance that a rollout of an equal is stopped.
    pub fn error(&self) -> f64 {
        f64::from(self.error_ppm) / 1e6
    }
}

/// Where a rollout stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "phase", rename_all = "kebab-case")]
pub enum Phase {
    /// The stages up to this one, from 0, have the new one, and it is watched.
    On {
        /// The last of them.
        stage: usize,
    },
    /// The same, and nothing goes on until somebody says so.
    Held {
        /// The last of them.
        stage: usize,
    },
    /// It is being taken back: so many stages still have the new one.
    Back {
        /// So many.
        left: usize,
    },
    /// All have the old one.
    Stopped,
    /// All have the new one.
    Done,
}

impl Phase {
    /// Whether nothing comes after it.
    pub fn ended(&self) -> bool {
        matches!(self, Phase::Stopped | Phase::Done)
    }
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Phase::On { stage } => write!(f, "stage {}", stage + 1),
            Phase::Held { stage } => write!(f, "held in stage {}", stage + 1),
            Phase::Back { left } => write!(f, "being taken back, {left} stages to go"),
            Phase::Stopped => write!(f, "stopped: all have the old one"),
            Phase::Done => write!(f, "done: all have the new one"),
        }
    }
}

/// The key of the program that a member is to run, written `NAME@SHA256`. What serves goes on under it as before; whoever keeps
/// its process changes that.
pub const PROGRAM: &str = "program";

/// Whether two programs are the same file.
pub fn same_program(a: &str, b: &str) -> bool {
    let file = |text: &str| text.rsplit_once('@').map(|(_, sha256)| sha256.to_string());
    a == b || file(a).is_some_and(|file_of_a| Some(file_of_a) == file(b))
}

/// What differs at a member, by key: the old value and the new one.
pub type Change = BTreeMap<String, (Option<String>, Option<String>)>;

/// A rollout.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The plan that it carries out.
    pub id: Digest,
    /// Who began it.
    pub author: String,
    /// What is asked of each stage.
    pub terms: Terms,
    /// The members of each stage.
    pub stages: Vec<Vec<String>>,
    /// What differs, each once.
    pub changes: Vec<Change>,
    /// Which of these is a member's.
    pub of: BTreeMap<String, usize>,
    /// Where it stands.
    pub phase: Phase,
    /// Why it stands there, where that is not the next step of a good one.
    pub why: String,
}

/// What differs between two states, by key.
pub fn change(old: &State, new: &State) -> Change {
    let keys: BTreeSet<&String> = old.0.keys().chain(new.0.keys()).collect();
    let both = |key: &String| (old.0.get(key).cloned(), new.0.get(key).cloned());
    keys.into_iter()
        .filter(|k| old.0.get(*k) != new.0.get(*k))
        .map(|k| (k.clone(), both(k)))
        .collect()
}

impl Record {
    /// So many stages have the new one.
    pub fn reached(&self) -> usize {
        match self.phase {
            Phase::On { stage } | Phase::Held { stage } => stage + 1,
            Phase::Back { left } => left,
            Phase::Stopped => 0,
            Phase::Done => self.stages.len(),
        }
    }

    /// The members that have the new one.
    pub fn new_at(&self) -> BTreeSet<&str> {
        self.stages
            .iter()
            .take(self.reached())
            .flatten()
            .map(String::as_str)
            .collect()
    }

    /// Whether it changes what a member runs, besides what it enforces.
    pub fn changes_programs(&self) -> bool {
        self.changes
            .iter()
            .any(|change| change.contains_key(PROGRAM))
    }

    /// Whether a member that runs this program runs what its side says; one of which nothing is said does.
    pub fn fits(&self, name: &str, program: &str) -> bool {
        let change = self
            .of
            .get(name)
            .and_then(|n| self.changes.get(*n)?.get(PROGRAM));
        let Some((old, new)) = change else {
            return true;
        };
        let has_new = self
            .stages
            .iter()
            .take(self.reached())
            .flatten()
            .any(|member| member == name);
        let told = if has_new { new } else { old };
        told.as_ref().is_none_or(|told| same_program(told, program))
    }

    /// The same rollout, standing elsewhere.
    pub fn at(&self, phase: Phase, why: impl Into<String>) -> Record {
        Record {
            phase,
            why: why.into(),
            ..self.clone()
        }
    }

    /// The stop of it: back in steps, or at once.
    pub fn stopped(&self, at_once: bool, why: impl Into<String>) -> Record {
        let left = self.reached().saturating_sub(1);
        self.at(
            if at_once || left == 0 {
                Phase::Stopped
            } else {
                Phase::Back { left }
            },
            why,
        )
    }

    /// What a member enforces on one side, made from what it enforces now on any.
    ///
    /// # Errors
    ///
    /// Where that is neither the one nor the other.
    pub fn state(&self, name: &str, now: &State, new: bool) -> Result<State, String> {
        let Some(change) = self.of.get(name).and_then(|n| self.changes.get(*n)) else {
            return Ok(now.clone());
        };
        let mut state = now.clone();
        for (key, (old, fresh)) in change {
            let has = now.0.get(key);
            if has != old.as_ref() && has != fresh.as_ref() {
                return Err(format!(
                    "{name}: {key} is neither as it was nor as it is to be"
                ));
            }
            match if new { fresh } else { old } {
                Some(value) => drop(state.0.insert(key.clone(), value.clone())),
                None => drop(state.0.remove(key)),
            }
        }
        Ok(state)
    }

    /// Whether it is whole.
    ///
    /// # Errors
    ///
    /// With what is wrong, in words.
    pub fn check(&self) -> Result<(), String> {
        self.terms.check()?;
        let mut seen = BTreeSet::new();
        if self.stages.is_empty() || self.stages.len() > crate::stages::MOST_STAGES {
            return Err("a rollout has 1 to 32 stages".into());
        }
        if self.stages.iter().any(Vec::is_empty) {
            return Err("a stage has no member".into());
        }
        if let Some(twice) = self
            .stages
            .iter()
            .flatten()
            .find(|name| !seen.insert(name.as_str()))
        {
            return Err(format!("{twice} belongs to two stages"));
        }
        if let Some((name, _)) = self
            .of
            .iter()
            .find(|(name, n)| !seen.contains(name.as_str()) || **n >= self.changes.len())
        {
            return Err(format!("{name} belongs to no stage, or has no change"));
        }
        let most = self.stages.len();
        let within = match self.phase {
            Phase::On { stage } | Phase::Held { stage } => stage < most,
            Phase::Back { left } => left > 0 && left < most,
            Phase::Stopped | Phase::Done => true,
        };
        within
            .then_some(())
            .ok_or_else(|| "it stands in a stage that it does not have".into())
    }
}

/// Whether what a group has of a rollout may follow what it had. The members ask this before they take anything up, so that no
/// command and no driver, of whatever version, gets past it: one rollout at a time, no stage after a stop, none left out, and
/// always an end with one policy everywhere.
///
/// # Errors
///
/// Why not, in words.
pub fn follows(before: Option<&Record>, after: Option<&Record>) -> Result<(), String> {
    let active = before.filter(|r| !r.phase.ended());
    let after = match (active, after) {
        (None, None) => return Ok(()),
        (Some(_), None) => {
            return Err("a rollout is under way, and this knows nothing of it".into())
        }
        (_, Some(after)) => after,
    };
    if before == Some(after) {
        return Ok(()); // something else is decided
    }
    after.check()?;
    let Some(active) = active else {
        let first = after.phase == Phase::On { stage: 0 };
        return first
            .then_some(())
            .ok_or_else(|| "a rollout begins with its first stage".into());
    };
    if active.id != after.id {
        return Err(format!(
            "a rollout by {} is under way ({}): it must end first, or be stopped",
            active.author, active.phase
        ));
    }
    if active.at(after.phase.clone(), after.why.clone()) != *after {
        return Err("a rollout that is under way stays as it was begun".into());
    }
    let last = active.stages.len() - 1;
    let may = match (&active.phase, &after.phase) {
        (Phase::On { stage }, Phase::On { stage: next }) => *next == stage + 1,
        (Phase::On { stage }, Phase::Held { stage: held }) => held == stage,
        (Phase::On { stage }, Phase::Done) => *stage == last,
        (Phase::Held { stage }, Phase::On { stage: on }) => on == stage,
        (Phase::On { stage } | Phase::Held { stage }, Phase::Back { left }) => left == stage,
        (Phase::Back { left }, Phase::Back { left: next }) => next + 1 == *left,
        (Phase::On { .. } | Phase::Held { .. } | Phase::Back { .. }, Phase::Stopped) => true,
        _ => false,
    };
    may.then_some(())
        .ok_or_else(|| format!("\"{}\" does not follow \"{}\"", after.phase, active.phase))
}

#[cfg(test)]
mod tests {
    use super::{change, follows, same_program, Digest, Phase, Record, State, Terms, PROGRAM};
    use proptest::prelude::{prop_assert, prop_oneof, proptest, Just, Strategy};

    fn state(pairs: &[(&str, &str)]) -> State {
        State(
            pairs
                .iter()
                .map(|(k, v)| (k.to_string(), v.to_string()))
                .collect(),
        )
    }

    fn record() -> Record {
        let names = |list: &[&str]| list.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        let change = change(
            &state(&[("a", "1"), ("gone", "x")]),
            &state(&[("a", "2"), ("new", "y")]),
        );
        Record {
            id: Digest::of(b"plan"),
            author: "ann".into(),
            terms: Terms::default(),
            stages: vec![names(&["n0"]), names(&["n1", "n2"]), names(&["n3"])],
            changes: vec![change],
            of: ["n0", "n1", "n2", "n3"].map(|n| (n.to_string(), 0)).into(),
            phase: Phase::On { stage: 0 },
            why: String::new(),
        }
    }

    #[test]
    fn a_member_gets_the_side_of_its_stage_and_gets_back_what_it_had() {
        let r = record();
        let (old, new) = (
            state(&[("a", "1"), ("gone", "x"), ("k", "v")]),
            state(&[("a", "2"), ("new", "y"), ("k", "v")]),
        );
        assert_eq!(r.state("n1", &old, true), Ok(new.clone()));
        assert_eq!(r.state("n1", &new, false), Ok(old.clone()));
        assert_eq!(r.state("n1", &new, true), Ok(new));
        assert_eq!(r.state("elsewhere", &old, true), Ok(old));
        assert!(r
            .state("n1", &state(&[("a", "3"), ("gone", "x")]), true)
            .unwrap_err()
            .contains("neither"));
        assert_eq!(r.new_at().into_iter().collect::<Vec<_>>(), ["n0"]);
        assert_eq!(r.at(Phase::Back { left: 2 }, "").new_at().len(), 3);
        assert_eq!(r.at(Phase::Done, "").new_at().len(), 4);
        assert!(r.at(Phase::Stopped, "").new_at().is_empty());
    }

    #[test]
    fn each_side_runs_its_own_program() {
        let (old, new) = (
            format!("r-1@{}", "1".repeat(64)),
            format!("r-2@{}", "2".repeat(64)),
        );
        let same = format!("other-name@{}", "2".repeat(64));
        let mut r = record();
        assert!(!r.changes_programs() && r.fits("n0", "") && r.fits("n0", &new));
        r.changes[0].insert(PROGRAM.into(), (Some(old.clone()), Some(new.clone())));
        assert!(r.changes_programs());
        assert!(
            r.fits("n0", &new) && r.fits("n0", &same) && !r.fits("n0", &old) && !r.fits("n0", "")
        );
        assert!(r.fits("n1", &old) && !r.fits("n1", &new) && r.fits("elsewhere", ""));
        let back = r.at(Phase::Stopped, "");
        assert!(back.fits("n0", &old) && !back.fits("n0", &new));
        // Nobody said before what was to run.
        r.changes[0].insert(PROGRAM.into(), (None, Some(new.clone())));
        assert!(r.fits("n1", "") && r.fits("n1", &old) && !r.fits("n0", ""));
        assert!(!same_program("", &new) && !same_program("a", "b") && same_program("a", "a"));
    }

    #[test]
    fn what_is_not_whole_is_told() {
        let wrong = |change: &dyn Fn(&mut Record)| {
            let mut r = record();
            change(&mut r);
            r.check().unwrap_err()
        };
        assert_eq!(record().check(), Ok(()));
        assert!(wrong(&|r| r.stages.clear()).contains("1 to 32"));
        assert!(wrong(&|r| r.stages[1].clear()).contains("no member"));
        assert!(wrong(&|r| r.stages[1].push("n0".into())).contains("two stages"));
        assert!(wrong(&|r| r.of.extend([("n9".to_string(), 0)])).contains("n9"));
        assert!(wrong(&|r| r.phase = Phase::On { stage: 3 }).contains("does not have"));
        assert!(wrong(&|r| r.terms.watch_ms = 0).contains("1 s to a day"));
        assert!(wrong(&|r| r.terms.patience_ms = 0).contains("patience"));
        assert!(wrong(&|r| r.terms.worse_ppm = 0).contains("worse"));
        assert!(wrong(&|r| r.terms.error_ppm = 0).contains("error"));
    }

    #[test]
    fn one_rollout_at_a_time_and_no_stage_after_a_stop() {
        let r = record();
        let on = |stage| r.at(Phase::On { stage }, "");
        let may = |a: &Record, b: &Record| follows(Some(a), Some(b)).is_ok();
        assert!(follows(None, Some(&r)).is_ok() && follows(None, None).is_ok());
        assert!(
            follows(None, Some(&on(1))).is_err(),
            "it begins with its first stage"
        );
        assert!(may(&on(0), &on(1)) && !may(&on(0), &on(2)) && !may(&on(1), &on(0)));
        assert!(may(&on(2), &r.at(Phase::Done, "")) && !may(&on(1), &r.at(Phase::Done, "")));
        assert!(follows(Some(&r), None)
            .unwrap_err()
            .contains("knows nothing"));
        let other = Record {
            id: Digest::of(b"other"),
            author: "bob".into(),
            ..r.clone()
        };
        assert!(follows(Some(&r), Some(&other))
            .unwrap_err()
            .contains("by ann is under way"));
        let stopped = r.at(Phase::Stopped, "worse");
        assert!(
            follows(Some(&stopped), Some(&other)).is_ok() && follows(Some(&stopped), None).is_ok()
        );
        assert!(!may(&stopped, &on(1)) && !may(&r.at(Phase::Back { left: 1 }, ""), &on(1)));
        let altered = Record {
            stages: vec![vec!["n0".into(), "n1".into(), "n2".into(), "n3".into()]],
            ..on(0)
        };
        assert!(follows(Some(&r), Some(&altered))
            .unwrap_err()
            .contains("stays as it was begun"));
        assert!(may(&r, &r), "something else is decided meanwhile");
        assert_eq!(on(2).stopped(false, "").phase, Phase::Back { left: 2 });
        assert_eq!(on(2).stopped(true, "").phase, Phase::Stopped);
        assert_eq!(on(0).stopped(false, "").phase, Phase::Stopped);
    }

    fn phase() -> impl Strategy<Value = Phase> {
        prop_oneof![
            (0usize..4).prop_map(|stage| Phase::On { stage }),
            (0usize..4).prop_map(|stage| Phase::Held { stage }),
            (0usize..4).prop_map(|left| Phase::Back { left }),
            Just(Phase::Stopped),
            Just(Phase::Done),
        ]
    }

    proptest! {
        /// Whoever wants what, in whatever order: once a step back was taken, nobody gets the new one any more; one stage at
        /// a time; and what has ended stays so.
        #[test]
        fn whatever_is_wanted_no_stage_is_left_out_and_none_begins_after_a_stop(wanted in proptest::collection::vec(phase(), 0..60)) {
            let mut stands = record();
            let mut back = false;
            for phase in wanted {
                let next = stands.at(phase, "");
                if next == stands || follows(Some(&stands), Some(&next)).is_err() {
                    continue;
                }
                let (was, is) = (stands.reached(), next.reached());
                prop_assert!(is <= was + 1);
                prop_assert!(!back || is < was);
                back |= matches!(next.phase, Phase::Back { .. } | Phase::Stopped);
                prop_assert!(!stands.phase.ended());
                stands = next;
                if stands.phase.ended() {
                    break;
                }
            }
        }
    }
}
