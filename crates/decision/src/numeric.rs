//! Arithmetic that several modules share: exponential forgetting and hashes that serve as random
//! numbers.

use crate::ids::Micros;

/// Microseconds in a second, as a float for rates.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// A second.
pub(crate) const SECOND: Micros = 1_000_000;

/// The weight left at `to` of what was seen at `from`, with a time constant in seconds: exponential
/// forgetting.
#[inline]
pub(crate) fn decay(from: Micros, to: Micros, time_constant_s: f64) -> f64 {
    if from >= to {
        1.0
    } else {
        (-((to - from) as f64) / MICROS_PER_SECOND / time_constant_s).exp()
    }
}

/// A number from 0 to 1 that looks random, the same for the same seed (splitmix64, Steele, Lea and
/// Flood 2014).
#[inline]
pub(crate) fn unit_hash(seed: u64) -> f64 {
    let mut z = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
