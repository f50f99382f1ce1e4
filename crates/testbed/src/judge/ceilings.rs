//! Exact token buckets, one for each account, replayed from the observations.

use crate::scenario::{Micros, SECOND};
use std::collections::HashMap;

/// Token buckets by account: each starts full at its burst and refills at its rate. The value is the time of the last
/// change and the level then.
#[derive(Default)]
pub struct Stores(HashMap<u32, (Micros, f64)>);

impl Stores {
    fn level(&self, account: u32, at: Micros, rate: f64, burst: f64) -> f64 {
        self.0.get(&account).map_or(burst, |(filled, level)| {
            (level + rate * at.saturating_sub(*filled) as f64 / SECOND as f64).min(burst)
        })
    }

    /// Takes units from a bucket and returns the level after that, which may be negative. Without `debt` a bucket with
    /// too few units stays unchanged; the result is negative then.
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
    fn bucket_starts_full_refills_and_never_exceeds_its_burst() {
        let mut s = Stores::default();
        assert_eq!(s.take(1, 0, 4.0, 2.0, 6.0, true), 2.0);
        assert_eq!(s.take(1, SECOND, 4.0, 2.0, 6.0, true), 0.0);
        assert_eq!(s.take(1, 60 * SECOND, 1.0, 2.0, 6.0, true), 5.0);
        assert_eq!(s.take(2, 0, 7.0, 2.0, 6.0, false), -1.0);
        assert_eq!(
            s.take(2, 0, 6.0, 2.0, 6.0, false),
            0.0,
            "the rejected request took units"
        );
    }
}
