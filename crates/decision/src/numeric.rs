//! Shared arithmetic: exponential decay, and hashes used as pseudorandom numbers.

use crate::ids::Micros;

/// Microseconds per second, as a float for computing rates.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;
/// One second in microseconds.
pub(crate) const SECOND: Micros = 1_000_000;

/// Weight at time `to` of a value observed at time `from`, under exponential decay with a time
/// constant in seconds. Returns 1 if `to` is not later than `from`.
#[inline]
pub(crate) fn decay(from: Micros, to: Micros, time_constant_s: f64) -> f64 {
    if from >= to {
        1.0
    } else {
        (-((to - from) as f64) / MICROS_PER_SECOND / time_constant_s).exp()
    }
}

/// Pseudorandom number in `[0, 1)`, the same for the same seed (splitmix64, Steele, Lea and Flood
/// 2014).
#[inline]
pub(crate) fn unit_hash(seed: u64) -> f64 {
    let mut bits = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
