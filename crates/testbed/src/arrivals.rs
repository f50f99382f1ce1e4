//! First tries: time, account and class of each, drawn from the seed alone, so that answers don't influence them.

use crate::scenario::{Micros, Scenario, SECOND};
use fastrand::Rng;

/// Account numbers from here on are each used for one request only.
pub const ONCE: u32 = 1 << 30;
/// Account numbers from here up to [`ONCE`] belong to accounts that a fault makes hot.
pub const HOT: u32 = 1 << 29;

/// The first try of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds after the start.
    pub at: Micros,
    /// Account number; see [`ONCE`] and [`HOT`] for the reserved ranges.
    pub account: u32,
    /// Index into the scenario's classes.
    pub class: usize,
}

/// A pseudo-random number in 0..1 that depends on `seed` and `key` alone.
pub fn hash_draw(seed: u64, key: &[u64]) -> f64 {
    let mixed = key.iter().fold(seed, |h, p| {
        let mut z = (h ^ p).wrapping_add(0x9E37_79B9_7F4A_7C15);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    });
    (mixed >> 11) as f64 / (1u64 << 53) as f64
}

/// The index whose share of the weights covers `draw`, a number in 0..1.
fn pick(weights: impl Iterator<Item = f64> + Clone, draw: f64) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = draw * total;
    let mut last = 0;
    for (n, weight) in weights.enumerate() {
        last = n;
        if left < weight {
            break;
        }
        left -= weight;
    }
    last
}

/// Fixed properties of accounts: plan, set of ingresses, share of the load.
#[derive(Clone)]
pub struct Accounts {
    seed: u64,
    ingresses: u64,
    shares: Vec<f64>,
    spread: (u16, u16),
    shift: Micros,
    heavy: f64,
    heavy_factor: f64,
}

impl Accounts {
    /// The accounts of a scenario.
    pub fn new(s: &Scenario) -> Self {
        Accounts {
            seed: s.seed,
            ingresses: u64::from(s.ingresses.count),
            shares: s.plans.iter().map(|p| p.share).collect(),
            spread: s.clients.spread,
            shift: s.clients.shift,
            heavy: s.clients.heavy,
            heavy_factor: s.clients.heavy_factor,
        }
    }

    /// The index of an account's plan.
    pub fn plan(&self, account: u32) -> usize {
        pick(
            self.shares.iter().copied(),
            hash_draw(self.seed, &[1, u64::from(account)]),
        )
    }

    /// Size of an account's set of ingresses, and the index of its first ingress.
    pub fn ingress_set(&self, account: u32) -> (u16, u16) {
        let (low, high) = (f64::from(self.spread.0), f64::from(self.spread.1));
        let width = low + hash_draw(self.seed, &[2, u64::from(account)]) * (high - low + 1.0);
        let first = hash_draw(self.seed, &[3, u64::from(account)]) * self.ingresses as f64;
        (
            (width as u16).clamp(self.spread.0, self.spread.1),
            first as u16,
        )
    }

    /// Relative request rate of an account.
    fn weight(&self, account: u32) -> f64 {
        let heavy = hash_draw(self.seed, &[4, u64::from(account)]) < self.heavy;
        (0.25 + hash_draw(self.seed, &[5, u64::from(account)]))
            * if heavy { self.heavy_factor } else { 1.0 }
    }

    /// The ingresses of an account's set in the order in which the front tries them for a request. The weights for the
    /// first choice are uneven and change over time.
    pub fn ingress_order(&self, account: u32, at: Micros, draw: f64) -> Vec<usize> {
        let (width, first) = self.ingress_set(account);
        let phase = hash_draw(self.seed, &[6, u64::from(account)]) * self.shift as f64;
        let epoch = (at + phase as Micros) / self.shift;
        let ingress_count = self.ingresses;
        let set = (0..u64::from(width)).map(|n| ((u64::from(first) + n) % ingress_count) as usize);
        let weights = set.clone().map(|i| {
            let draw = hash_draw(self.seed, &[7, u64::from(account), i as u64, epoch]);
            0.15 + 2.0 * draw * draw
        });
        let chosen = pick(weights, draw);
        set.clone().skip(chosen).chain(set.take(chosen)).collect()
    }
}

/// Iterator over first tries in order of time.
pub struct Arrivals {
    rng: Rng,
    at: f64,
    rate: f64,
    lasts: Micros,
    shares: Vec<f64>,
    /// Cumulative sums of the accounts' weights.
    sums: Vec<f64>,
}

impl Arrivals {
    /// The arrivals of a scenario, without those that faults add.
    pub fn new(s: &Scenario) -> Self {
        let accounts = Accounts::new(s);
        let mut sum = 0.0;
        let sums = (0..s.clients.accounts).map(|a| {
            sum += accounts.weight(a);
            sum
        });
        Arrivals {
            rng: Rng::with_seed(s.seed),
            at: 0.0,
            rate: s.clients.rate,
            lasts: s.lasts,
            shares: s.classes.iter().map(|c| c.share).collect(),
            sums: sums.collect(),
        }
    }

    /// Arrivals that a fault adds from a time on: of `hot` accounts, or if `None`, of accounts that send one request each.
    pub fn extra(
        s: &Scenario,
        from: Micros,
        lasts: Micros,
        rate: f64,
        hot: Option<u32>,
    ) -> Vec<Arrival> {
        let mut rng = Rng::with_seed(s.seed ^ from ^ 0xE47A);
        let mut at = from as f64;
        let mut list = Vec::new();
        loop {
            at += -(1.0 - rng.f64()).ln() / rate * SECOND as f64;
            if at >= (from + lasts).min(s.lasts) as f64 {
                return list;
            }
            let account = match hot {
                Some(count) => HOT + rng.u32(0..count),
                // Each fault start gets its own range of account numbers.
                None => ONCE + (from / 100_000 % 10_000) as u32 * 100_000 + list.len() as u32,
            };
            let class = pick(s.classes.iter().map(|c| c.share), rng.f64());
            list.push(Arrival {
                at: at as Micros,
                account,
                class,
            });
        }
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        self.at += -(1.0 - self.rng.f64()).ln() / self.rate * SECOND as f64;
        if self.at >= self.lasts as f64 {
            return None;
        }
        let draw = self.rng.f64() * self.sums.last().copied().unwrap_or(1.0);
        let account = self
            .sums
            .partition_point(|s| *s <= draw)
            .min(self.sums.len() - 1) as u32;
        let class = pick(self.shares.iter().copied(), self.rng.f64());
        Some(Arrival {
            at: self.at as Micros,
            account,
            class,
        })
    }
}
