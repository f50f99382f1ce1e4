//! The backoff before discovery is polled again, by how the last request failed. No clock, and no input or output.
//!
//! A hundred ingresses that start at once poll at once, and a service that can take a few dozen requests a second rejects most of
//! them, which costs it work as well: polled again every second by each of them it serves nobody. So a rejected client waits
//! long, twice as long each time, and each ingress for another while, until all together ask for less than the
//! service can do. A service that is silent or gone is not helped by that; it is polled again soon, lest drains be reported late.
//!
//! Two bounds hold at once. A change counts as reported 6 s after discovery had it and could be reached, so whatever failed last,
//! the next request has to be made, and answered, within that: a backoff is at most [`MAX_BACKOFF`], and the request behind it has
//! the rest. And N clients that are all rejected poll no oftener than N times in the shortest of the long backoffs, 3 s.

use wrenfork_decision::Micros;

/// The longest backoff of all: a request that is made then has 2 s for its response, as long as one that waits for a watch event,
/// until a change that was there when the backoff began counts as reported.
pub const MAX_BACKOFF: Micros = 4_000_000;
/// After a connection that failed.
const BROKEN: BackoffBounds = BackoffBounds {
    first: 50_000,
    max: 1_000_000,
};
/// After a request that was rejected: drawn up to half as long again, and cut at [`MAX_BACKOFF`].
const REJECTED: BackoffBounds = BackoffBounds {
    first: 1_000_000,
    max: 6_000_000,
};
/// The exponent stops growing here, far beyond the longest backoff.
const MAX_DOUBLINGS: u32 = 16;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection, no response, or none that can be read.
    Broken,
    /// Answered with another status than 200: the service is there, and rejects the request.
    Rejected,
}

/// The bounds of a backoff before jitter, in microseconds.
struct BackoffBounds {
    first: Micros,
    max: Micros,
}

/// The backoff between failed requests: exponential, with jitter.
pub struct Backoff {
    /// Failures of each kind in a row.
    in_row: [u32; 2],
    rng: fastrand::Rng,
}

impl Backoff {
    /// No failure yet.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            in_row: [0; 2],
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The backoff after one more failure: half to one and a half times what it is on average, and never over [`MAX_BACKOFF`].
    pub fn delay(&mut self, failure: Failure) -> Micros {
        let bounds = match failure {
            Failure::Broken => BROKEN,
            Failure::Rejected => REJECTED,
        };
        let failures = &mut self.in_row[failure as usize];
        let mean = (bounds.first << (*failures).min(MAX_DOUBLINGS)).min(bounds.max);
        *failures += 1;
        // Cut, not folded: the longer the backoffs, the fewer are the requests that an overbooked service has to reject.
        (mean / 2 + self.rng.u64(0..=mean)).min(MAX_BACKOFF)
    }

    /// A request was answered, or another service is polled.
    pub fn reset(&mut self) {
        self.in_row = [0; 2];
    }
}

#[cfg(test)]
mod tests;
