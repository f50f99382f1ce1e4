//! What a route means. A class of requests goes to a pool of nodes; where that has nobody to take it, to the pool that
//! it falls back on, and so on; a share of the customers may be sent to a pool on trial first. This package says which
//! nodes may be asked and in what order of pools. Which node of a pool takes a request, whether one is tried again and
//! what is refused is the decision module's alone. No I/O, no clock.

use std::collections::BTreeSet;

/// The most pools of a table: a set of them is a word of bits.
pub const MOST_POOLS: usize = 64;

/// A pool, by its place in [`Table::pools`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolNo(pub u8);

impl PoolNo {
    /// The set of this pool alone.
    pub fn bit(self) -> u64 {
        1 << (self.0 as usize % MOST_POOLS)
    }
}

/// What a pool goes by to take a node.
#[derive(Clone, Copy, Debug)]
pub struct Traits<'a> {
    /// The name that discovery knows it by.
    pub name: &'a str,
    /// The hall that it stands in.
    pub hall: &'a str,
    /// The kind of its machine.
    pub model: &'a str,
    /// The group of nodes that know each other's keys.
    pub group: u64,
}

/// The nodes of a pool: those that are of one of the halls, of one of the models, of one of the groups and of one of
/// the names; a list that is empty leaves the choice open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selector {
    /// Halls.
    pub halls: Vec<String>,
    /// Kinds of machines.
    pub models: Vec<String>,
    /// Groups.
    pub groups: Vec<u64>,
    /// Nodes by name.
    pub nodes: Vec<String>,
}

impl Selector {
    /// Whether a node is of the pool.
    pub fn takes(&self, node: &Traits) -> bool {
        let named = |list: &[String], name: &str| list.is_empty() || list.iter().any(|n| n == name);
        named(&self.halls, node.hall)
            && named(&self.models, node.model)
            && (self.groups.is_empty() || self.groups.contains(&node.group))
            && named(&self.nodes, node.name)
    }
}

/// A pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Its nodes.
    pub selector: Selector,
    /// The pool to go to where this one has nobody who takes work.
    pub fallback: Option<PoolNo>,
}

/// A trial: some customers go to another pool first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trial {
    /// Where to.
    pub pool: PoolNo,
    /// The share of customers, from 0 to 1.
    pub share: f64,
}

/// Where a class goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    /// The first pool.
    pub pool: PoolNo,
    /// A trial.
    pub trial: Option<Trial>,
}

/// Why a table can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More than [`MOST_POOLS`].
    TooMany,
    /// A pool that is not there, named by a route or a fallback.
    NoSuchPool(PoolNo),
    /// Pools that fall back on each other in a circle, in that order.
    Circle(Vec<PoolNo>),
}

/// The pools and routes of an application.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The pools.
    pub pools: Vec<Pool>,
    /// By class; none where a class may go to any node.
    pub routes: Vec<Option<Route>>,
}

/// A number from 0 to 1 that looks random, always the same for the same pair (splitmix64 of both).
fn lot(route: u64, customer: u64) -> f64 {
    let mut z = customer.wrapping_add((route + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Table {
    /// The pools from one on, in the order of falling back.
    ///
    /// # Errors
    ///
    /// Where the order never ends or leads nowhere.
    pub fn order(&self, first: PoolNo) -> Result<Vec<PoolNo>, Fault> {
        let mut order = vec![first];
        let mut at = first;
        loop {
            let pool = self
                .pools
                .get(usize::from(at.0))
                .ok_or(Fault::NoSuchPool(at))?;
            let Some(next) = pool.fallback else {
                return Ok(order);
            };
            if let Some(start) = order.iter().position(|p| *p == next) {
                return Err(Fault::Circle(order.split_off(start)));
            }
            order.push(next);
            at = next;
        }
    }

    /// What makes the table of no use, each thing once.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.pools.len() > MOST_POOLS {
            return vec![Fault::TooMany];
        }
        let mut in_circles = BTreeSet::new();
        for n in 0..self.pools.len() {
            match self.order(PoolNo(n as u8)) {
                Err(Fault::Circle(pools)) if !pools.iter().any(|p| in_circles.contains(p)) => {
                    in_circles.extend(pools.iter().copied());
                    faults.push(Fault::Circle(pools));
                }
                Err(Fault::NoSuchPool(p)) if !faults.contains(&Fault::NoSuchPool(p)) => {
                    faults.push(Fault::NoSuchPool(p));
                }
                _ => {}
            }
        }
        for route in self.routes.iter().flatten() {
            for pool in [Some(route.pool), route.trial.map(|t| t.pool)]
                .into_iter()
                .flatten()
            {
                let fault = Fault::NoSuchPool(pool);
                if usize::from(pool.0) >= self.pools.len() && !faults.contains(&fault) {
                    faults.push(fault);
                }
            }
        }
        faults
    }

    /// The pools that a node is of.
    pub fn member(&self, node: &Traits) -> u64 {
        let pools = (0u8..).zip(self.pools.iter().take(MOST_POOLS));
        pools
            .filter(|(_, p)| p.selector.takes(node))
            .fold(0, |set, (n, _)| set | PoolNo(n).bit())
    }

    /// Whether a customer takes part in a class's trial. It always does or never: what a customer asks for again goes
    /// to the pool that may have done it already.
    pub fn on_trial(&self, class: usize, customer: u64) -> bool {
        let trial = self
            .routes
            .get(class)
            .copied()
            .flatten()
            .and_then(|r| r.trial);
        trial.is_some_and(|t| lot(class as u64, customer) < t.share)
    }

    /// The sets of pools that a customer's request of a class may go to, best first; none where any node will do.
    /// A trial falls back on the pools that others go to.
    pub fn tiers(&self, class: usize, customer: u64) -> Option<Vec<u64>> {
        let route = self.routes.get(class).copied().flatten()?;
        let trial = route
            .trial
            .filter(|_| self.on_trial(class, customer))
            .map(|t| t.pool);
        let order = self.order(route.pool).unwrap_or_else(|_| vec![route.pool]);
        let order = order.into_iter().filter(|p| Some(*p) != trial);
        Some(trial.into_iter().chain(order).map(PoolNo::bit).collect())
    }
}

/// The most pools that a request may go to one after the other.
pub const MOST_TIERS: usize = 4;

/// A route with all that can be known of it before a request comes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Pools by number from 1, best first; nought ends them.
    pub tiers: [u8; MOST_TIERS],
    /// How many of them are its own, rather than what it falls back on.
    pub own: u8,
}

/// All routes, by class, as a request's way is found: without a walk over the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ways(Vec<(Way, Option<(Way, f64)>)>);

fn way(pools: impl Iterator<Item = PoolNo>, own: u8) -> Way {
    let mut way = Way {
        own,
        ..Way::default()
    };
    pools
        .zip(&mut way.tiers)
        .for_each(|(pool, tier)| *tier = pool.0 + 1);
    way
}

impl Ways {
    /// The ways of a table.
    pub fn of(table: &Table) -> Ways {
        let ways = table.routes.iter().map(|route| {
            let Some(route) = route else {
                return (Way::default(), None);
            };
            let order = table.order(route.pool).unwrap_or_else(|_| vec![route.pool]);
            let trial = route.trial.map(|t| {
                let rest = order.iter().copied().filter(|p| *p != t.pool);
                // Who is on trial has the pool that others have as a second one of its own.
                (way(std::iter::once(t.pool).chain(rest), 2), t.share)
            });
            (way(order.iter().copied(), 1), trial)
        });
        Ways(ways.collect())
    }

    /// The way of a customer's request of a class.
    pub fn way(&self, class: usize, customer: u64) -> Way {
        match self.0.get(class) {
            Some((_, Some((trial, share)))) if lot(class as u64, customer) < *share => *trial,
            Some((way, _)) => *way,
            None => Way::default(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{BTreeSet, Fault, Pool, PoolNo, Route, Selector, Table, Traits, Trial, Way, Ways};
    use proptest::prelude::{prop, prop_assert_eq, proptest};

    fn node<'a>(name: &'a str, hall: &'a str, model: &'a str, group: u64) -> Traits<'a> {
        Traits {
            name,
            hall,
            model,
            group,
        }
    }

    fn list(names: &[&str]) -> Vec<String> {
        names.iter().map(|n| n.to_string()).collect()
    }

    fn pools(fallbacks: &[Option<u8>]) -> Table {
        let pool = |f: &Option<u8>| Pool {
            fallback: f.map(PoolNo),
            ..Pool::default()
        };
        Table {
            pools: fallbacks.iter().map(pool).collect(),
            routes: Vec::new(),
        }
    }

    #[test]
    fn a_selector_wants_all_of_its_kinds_and_one_of_each() {
        let one = node("s-1", "hall-a", "std", 3);
        let selector = Selector {
            halls: list(&["hall-b", "hall-a"]),
            models: list(&["std"]),
            ..Selector::default()
        };
        assert!(selector.takes(&one));
        assert!(!selector.takes(&node("s-1", "hall-a", "small", 3)));
        assert!(
            Selector::default().takes(&one),
            "one that names nothing takes all"
        );
        assert!(!Selector {
            groups: vec![4],
            ..selector.clone()
        }
        .takes(&one));
        assert!(!Selector {
            nodes: list(&["s-2"]),
            ..selector
        }
        .takes(&one));
    }

    #[test]
    fn pools_fall_back_in_order() {
        let table = pools(&[Some(2), None, Some(1)]);
        assert_eq!(
            table.order(PoolNo(0)),
            Ok(vec![PoolNo(0), PoolNo(2), PoolNo(1)])
        );
        assert!(table.faults().is_empty());
    }

    /// Guards against a walk without an end, and against a circle that is told once for each of its pools.
    #[test]
    fn a_circle_is_told_once_with_those_in_it_alone() {
        let table = pools(&[Some(1), Some(2), Some(1), Some(3)]);
        let circle = |list: &[u8]| Fault::Circle(list.iter().map(|n| PoolNo(*n)).collect());
        assert_eq!(table.faults(), [circle(&[1, 2]), circle(&[3])]);
    }

    #[test]
    fn what_leads_nowhere_is_a_fault() {
        let mut table = pools(&[Some(9)]);
        table.routes.push(Some(Route {
            pool: PoolNo(5),
            trial: Some(Trial {
                pool: PoolNo(9),
                share: 0.1,
            }),
        }));
        assert_eq!(
            table.faults(),
            [Fault::NoSuchPool(PoolNo(9)), Fault::NoSuchPool(PoolNo(5))]
        );
        assert_eq!(pools(&[None; 65]).faults(), [Fault::TooMany]);
    }

    #[test]
    fn a_trial_comes_first_for_its_share_of_customers_and_falls_back_on_the_others_pools() {
        let mut table = pools(&[Some(1), None, None]);
        table.routes = vec![
            None,
            Some(Route {
                pool: PoolNo(0),
                trial: Some(Trial {
                    pool: PoolNo(2),
                    share: 0.1,
                }),
            }),
        ];
        assert_eq!(
            table.tiers(0, 7),
            None,
            "a class without a route goes anywhere"
        );
        let on = (0..10_000).filter(|c| table.on_trial(1, *c)).count();
        assert!(
            (900..1_100).contains(&on),
            "{on} of 10,000 with a share of a tenth"
        );
        for customer in 0..200 {
            let want = if table.on_trial(1, customer) {
                vec![4, 1, 2]
            } else {
                vec![1, 2]
            };
            assert_eq!(table.tiers(1, customer), Some(want));
        }
    }

    /// Guards against a way that is not what the table says.
    #[test]
    fn a_way_is_the_tables_tiers() {
        let mut table = pools(&[Some(1), None, None]);
        let trial = Some(Trial {
            pool: PoolNo(2),
            share: 0.3,
        });
        table.routes = vec![
            None,
            Some(Route {
                pool: PoolNo(0),
                trial,
            }),
        ];
        let ways = Ways::of(&table);
        assert_eq!(
            (ways.way(0, 7), ways.way(9, 7)),
            (Way::default(), Way::default())
        );
        for customer in 0..200 {
            let tiers = table.tiers(1, customer).unwrap();
            let way = ways.way(1, customer);
            let bits: Vec<u64> = way
                .tiers
                .iter()
                .filter(|t| **t > 0)
                .map(|t| PoolNo(t - 1).bit())
                .collect();
            assert_eq!(bits, tiers);
            assert_eq!(way.own == 2, table.on_trial(1, customer));
        }
    }

    proptest! {
        /// Whatever the table, walking it ends, and each pool of an order is there once.
        #[test]
        fn every_order_ends(fallbacks in prop::collection::vec(prop::option::of(0u8..12), 0..10), first in 0u8..12) {
            let table = pools(&fallbacks);
            if let Ok(order) = table.order(PoolNo(first)) {
                let once: BTreeSet<PoolNo> = order.iter().copied().collect();
                prop_assert_eq!(once.len(), order.len());
            }
            let faulty = (0..fallbacks.len()).any(|n| table.order(PoolNo(n as u8)).is_err());
            prop_assert_eq!(faulty, !table.faults().is_empty());
        }
    }
}
