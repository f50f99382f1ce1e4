//! What the service was worth: by class, by plan, and in the worst ten seconds.

use super::ceilings::Stores;
use super::{Answer, Try};
use crate::scenario::{Class, Micros, Plan, Scenario, SECOND};
use serde::Serialize;
use std::collections::{HashMap, HashSet};

/// How long the worst stretch is.
const STRETCH: usize = 10;

/// Worth offered inside the quotas, and earned of it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Cell {
    /// Worth of first tries that one gateway that saw all would let in.
    pub offered: f64,
    /// Worth of those that were served within their aim.
    pub earned: f64,
}

impl Cell {
    /// The share that was earned; 1 where nothing was offered.
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

/// Counts the worth.
pub struct Worth {
    classes: Vec<Class>,
    plans: Vec<Plan>,
    start: Micros,
    /// What one gateway that saw all first tries would let in, and what was sent on inside the quota.
    ideal: Stores,
    sent: Stores,
    firsts: HashMap<u64, First>,
    beyond: HashSet<u64>,
    by_class: Vec<Cell>,
    by_plan: Vec<Cell>,
    by_second: Vec<Cell>,
    lost_beyond: f64,
    /// Answers of each kind.
    pub served: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// First tries.
    pub asked: u64,
    /// Tries sent on beyond their quota.
    pub sent_beyond: u64,
}

impl Worth {
    /// For a scenario's classes and plans.
    pub fn new(s: &Scenario, start: Micros) -> Self {
        Worth {
            classes: s.classes.clone(),
            plans: s.plans.clone(),
            start,
            ideal: Stores::default(),
            sent: Stores::default(),
            firsts: HashMap::new(),
            beyond: HashSet::new(),
            by_class: vec![Cell::default(); s.classes.len()],
            by_plan: vec![Cell::default(); s.plans.len()],
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

    /// A first try is asked.
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
                self.by_second.resize(second + 1, Cell::default());
            }
            self.by_second[second].offered += worth;
            self.by_class[t.class].offered += worth;
            self.by_plan[t.plan].offered += worth;
        }
    }

    /// A try is sent on for the first time, while so many other attempts of its account are out.
    pub(super) fn sent_on(&mut self, at: Micros, t: &Try, out: u32) {
        let (worth, plan) = (self.worth(t), &self.plans[t.plan]);
        let units = self.classes[t.class].units;
        // Beyond the quota it takes nothing, whichever of the two it is beyond.
        let crowded = plan.open > 0 && out >= plan.open;
        let mut short = || {
            plan.rate > 0.0
                && self
                    .sent
                    .take(t.account, at, units, plan.rate, plan.burst, false)
                    < 0.0
        };
        if crowded || short() {
            self.beyond.insert(t.id);
            self.sent_beyond += 1;
            self.lost_beyond += worth * plan.beyond_costs;
        }
    }

    /// A try has its answer.
    pub(super) fn answered(&mut self, at: Micros, t: &Try, answer: Answer) {
        match answer {
            Answer::Served | Answer::Foreign => self.served += 1,
            Answer::Refused => self.refused += 1,
            Answer::Failed => self.failed += 1,
        }
        if answer != Answer::Served || self.beyond.contains(&t.id) {
            return;
        }
        // Counted once, for the request and not for its tries.
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

    /// All in all.
    pub fn whole(&self) -> Cell {
        self.sum(&self.by_second)
    }

    /// Worth that sending on beyond quotas has cost, as a share of what was offered.
    pub fn beyond_cost(&self) -> f64 {
        self.lost_beyond / self.whole().offered.max(1e-9)
    }

    /// By class and by plan, in their order.
    pub fn parts(&self) -> (&[Cell], &[Cell]) {
        (&self.by_class, &self.by_plan)
    }

    /// The share earned in each second.
    pub fn seconds(&self) -> Vec<f64> {
        self.by_second.iter().map(Cell::share).collect()
    }

    fn sum(&self, cells: &[Cell]) -> Cell {
        cells.iter().fold(Cell::default(), |a, c| Cell {
            offered: a.offered + c.offered,
            earned: a.earned + c.earned,
        })
    }

    /// The worst ten seconds, or all where there are fewer: when they begin, in seconds, and their share.
    pub fn worst(&self) -> (usize, f64) {
        let length = STRETCH.min(self.by_second.len());
        let windows = self.by_second.windows(length.max(1)).enumerate();
        let shares = windows.map(|(n, w)| (n, self.sum(w).share()));
        shares
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap_or((0, 1.0))
    }
}
