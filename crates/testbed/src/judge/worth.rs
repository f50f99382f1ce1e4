//! Worth offered and earned: in total, by class, by plan, by second, and in the worst ten seconds.

use super::ceilings::Stores;
use super::{Answer, Try};
use crate::scenario::{Class, Micros, Plan, Scenario, SECOND};
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// Length of the window for the worst share, in seconds.
const WINDOW_S: usize = 10;

/// Worth offered inside the quotas, and the part of it that was earned.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct WorthTotals {
    /// Worth of the first tries that a single gateway for all traffic would admit.
    pub offered: f64,
    /// Worth of the first tries that were served within the class's `aim`.
    pub earned: f64,
}

impl WorthTotals {
    /// Share of `offered` that was earned; 1 if nothing was offered.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 {
            self.earned / self.offered
        } else {
            1.0
        }
    }
}

struct First {
    at: Micros,
    worth: f64,
    inside: bool,
}

/// Counts offered and earned worth during a run.
pub struct Worth {
    classes: Vec<Class>,
    plans: Vec<Plan>,
    start: Micros,
    /// Quota of each account as a single gateway for all first tries would apply it.
    ideal: Stores,
    /// Quota of each account applied to the tries sent to backends.
    sent: Stores,
    firsts: HashMap<u64, First>,
    beyond: HashSet<u64>,
    by_class: Vec<WorthTotals>,
    by_plan: Vec<WorthTotals>,
    by_second: Vec<WorthTotals>,
    lost_beyond: f64,
    /// Number of tries that were served.
    pub served: u64,
    /// Number of tries that were refused.
    pub refused: u64,
    /// Number of tries that failed.
    pub failed: u64,
    /// Number of first tries.
    pub asked: u64,
    /// Number of tries sent to a backend beyond their quota.
    pub sent_beyond: u64,
}

impl Worth {
    /// Starts counting for a scenario; seconds are counted from `start`.
    pub fn new(s: &Scenario, start: Micros) -> Self {
        Worth {
            classes: s.classes.clone(),
            plans: s.plans.clone(),
            start,
            ideal: Stores::default(),
            sent: Stores::default(),
            firsts: HashMap::new(),
            beyond: HashSet::new(),
            by_class: vec![WorthTotals::default(); s.classes.len()],
            by_plan: vec![WorthTotals::default(); s.plans.len()],
            by_second: Vec::new(),
            lost_beyond: 0.0,
            served: 0,
            refused: 0,
            failed: 0,
            asked: 0,
            sent_beyond: 0,
        }
    }

    fn worth(&self, t: &Try) -> f64 {
        let class = &self.classes[t.class];
        class.worth * class.units * self.plans[t.plan].price
    }

    /// Records a first try.
    pub(super) fn offered(&mut self, at: Micros, t: &Try) {
        let (worth, plan) = (self.worth(t), &self.plans[t.plan]);
        let units = self.classes[t.class].units;
        let inside = plan.rate == 0.0
            || self
                .ideal
                .take(t.account, at, units, plan.rate, plan.burst, false)
                >= 0.0;
        self.asked += 1;
        self.firsts.insert(t.id, First { at, worth, inside });
        if inside {
            let second = (at.saturating_sub(self.start) / SECOND) as usize;
            if self.by_second.len() <= second {
                self.by_second.resize(second + 1, WorthTotals::default());
            }
            self.by_second[second].offered += worth;
            self.by_class[t.class].offered += worth;
            self.by_plan[t.plan].offered += worth;
        }
    }

    /// Records the first attempt of a try, with the number of other outstanding attempts of its account.
    pub(super) fn sent_on(&mut self, at: Micros, t: &Try, outstanding: u32) {
        let (worth, plan) = (self.worth(t), &self.plans[t.plan]);
        let units = self.classes[t.class].units;
        // A try beyond either limit takes no units from the quota.
        let over_open_limit = plan.open > 0 && outstanding >= plan.open;
        let mut over_rate = || {
            plan.rate > 0.0
                && self
                    .sent
                    .take(t.account, at, units, plan.rate, plan.burst, false)
                    < 0.0
        };
        if over_open_limit || over_rate() {
            self.beyond.insert(t.id);
            self.sent_beyond += 1;
            self.lost_beyond += worth * plan.beyond_costs;
        }
    }

    /// Records the answer to a try.
    pub(super) fn answered(&mut self, at: Micros, t: &Try, answer: Answer) {
        match answer {
            Answer::Served | Answer::Foreign => self.served += 1,
            Answer::Refused => self.refused += 1,
            Answer::Failed => self.failed += 1,
        }
        if answer != Answer::Served || self.beyond.contains(&t.id) {
            return;
        }
        // A request earns its worth once, however many of its tries are served.
        let Some(first) = self.firsts.get_mut(&t.first).filter(|f| f.inside) else {
            return;
        };
        let second = (first.at.saturating_sub(self.start) / SECOND) as usize;
        if at.saturating_sub(first.at) <= self.classes[t.class].aim {
            first.inside = false;
            self.by_second[second].earned += first.worth;
            self.by_class[t.class].earned += first.worth;
            self.by_plan[t.plan].earned += first.worth;
        }
    }

    /// Worth of the whole run.
    pub fn whole(&self) -> WorthTotals {
        self.sum(&self.by_second)
    }

    /// Worth lost by sending beyond quotas, as a share of the worth offered.
    pub fn beyond_cost(&self) -> f64 {
        self.lost_beyond / self.whole().offered.max(1e-9)
    }

    /// Worth by class and by plan, in the order of the scenario.
    pub fn parts(&self) -> (&[WorthTotals], &[WorthTotals]) {
        (&self.by_class, &self.by_plan)
    }

    /// Share of the offered worth earned in each second.
    pub fn seconds(&self) -> Vec<f64> {
        self.by_second.iter().map(WorthTotals::share).collect()
    }

    fn sum(&self, cells: &[WorthTotals]) -> WorthTotals {
        cells
            .iter()
            .fold(WorthTotals::default(), |a, c| WorthTotals {
                offered: a.offered + c.offered,
                earned: a.earned + c.earned,
            })
    }

    /// The ten consecutive seconds (or the whole run if shorter) with the lowest share: their start in seconds, and the
    /// share.
    pub fn worst(&self) -> (usize, f64) {
        let length = WINDOW_S.min(self.by_second.len());
        let windows = self.by_second.windows(length.max(1)).enumerate();
        let shares = windows.map(|(n, w)| (n, self.sum(w).share()));
        shares
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0, 1.0))
    }
}
