//! Exact stores of units, one for each account, replayed from what was seen.

use crate::scenario::{Micros, SECOND};
use std::collections::HashMap;

/// Stores that start full, fill at a rate and hold a burst.
#[derive(Default)]
pub struct Stores(HashMap<u32, (Micros, f64)>);

impl Stores {
    fn level(&self, account: u32, at: Micros, rate: f64, burst: f64) -> f64 {
        self.0.get(&account).map_or(burst, |(filled, level)| {
            (level + rate * at.saturating_sub(*filled) as f64 / SECOND as f64).min(burst)
        })
    }

    /// Takes units and tells what is left, perhaps less than nothing. Without `debt` nothing is taken where there is
    /// not enough, and what is told is less than nothing.
    pub fn take(
        &mut self,
        account: u32,
        at: Micros,
        units: f64,
        rate: f64,
        burst: f64,
        debt: bool,
    ) -> f64 {
        let left = self.level(account, at, rate, burst) - units;
        if left >= 0.0 || debt {
            self.0.insert(account, (at, left));
        }
        left
    }
}

#[cfg(test)]
mod tests {
    use super::{Stores, SECOND};

    #[test]
    fn a_store_starts_full_fills_and_holds_no_more() {
        let mut s = Stores::default();
        assert_eq!(s.take(1, 0, 4.0, 2.0, 6.0, true), 2.0);
        assert_eq!(s.take(1, SECOND, 4.0, 2.0, 6.0, true), 0.0);
        assert_eq!(s.take(1, 60 * SECOND, 1.0, 2.0, 6.0, true), 5.0);
        assert_eq!(s.take(2, 0, 7.0, 2.0, 6.0, false), -1.0);
        assert_eq!(s.take(2, 0, 6.0, 2.0, 6.0, false), 0.0, "nothing was taken");
    }
}
