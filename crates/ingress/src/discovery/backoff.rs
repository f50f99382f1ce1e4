//! The backoff before discovery is polled again, depending on how the last request failed. This module does no I/O and reads no
//! clock.
//!
//! When a hundred ingresses start simultaneously, they all poll at once. A service that can handle a few dozen requests per
//! second rejects most of them, and rejecting also costs it work: if every ingress retried each second, the service would
//! serve none of them. Rejected clients therefore use long backoffs that double with each rejection and are randomized per
//! ingress, until the total request rate is below the service's capacity. Long backoffs don't help a service that doesn't
//! answer or can't be reached; such a service is polled again soon, so that drains are reported without delay.
//!
//! Two bounds apply. First, a change must reach the ingress within 6 s after discovery has the change and can be reached.
//! Whatever failed last, the next request must be sent and answered within that time: a backoff is at most [`MAX_BACKOFF`], and
//! the following request has the remaining time. Second, N clients that are all rejected send at most N requests per 3 s, the
//! shortest backoff after repeated rejections.

use wrenfork_decision::Micros;

/// Upper bound of every backoff, in microseconds. It leaves 2 s, the time that a poll waits for a watch event, for the response
/// to the following request before the 6 s within which a change must be reported are over.
pub const MAX_BACKOFF: Micros = 4_000_000;
/// Bounds of the backoff after a failed connection.
const BROKEN: BackoffBounds = BackoffBounds {
    first: 50_000,
    max: 1_000_000,
};
/// Bounds of the backoff after a rejected request. Jitter adds up to half of it, and the sum is limited to [`MAX_BACKOFF`].
const REJECTED: BackoffBounds = BackoffBounds {
    first: 1_000_000,
    max: 6_000_000,
};
/// Maximum exponent, which avoids overflow; the longest backoff is reached long before.
const MAX_DOUBLINGS: u32 = 16;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// There was no connection, no response in time, or an invalid response.
    Broken,
    /// The service is reachable but answered with a status other than 200.
    Rejected,
}

/// The bounds of a backoff before jitter, in microseconds.
struct BackoffBounds {
    first: Micros,
    max: Micros,
}

/// The backoff between failed requests: exponential, with jitter.
pub struct Backoff {
    /// Number of failures since the last reset, indexed by [`Failure`].
    failure_counts: [u32; 2],
    rng: fastrand::Rng,
}

impl Backoff {
    /// Creates a backoff without failures. `seed` determines the jitter.
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            failure_counts: [0; 2],
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Records a failure and returns the backoff in microseconds: 0.5 to 1.5 times the mean, at most [`MAX_BACKOFF`].
    pub fn delay(&mut self, failure: Failure) -> Micros {
        let bounds = match failure {
            Failure::Broken => BROKEN,
            Failure::Rejected => REJECTED,
        };
        let failures = &mut self.failure_counts[failure as usize];
        let mean = (bounds.first << (*failures).min(MAX_DOUBLINGS)).min(bounds.max);
        *failures += 1;
        // Clamp instead of drawing again below the limit: longer backoffs mean fewer requests that an overloaded service must
        // reject.
        (mean / 2 + self.rng.u64(0..=mean)).min(MAX_BACKOFF)
    }

    /// Resets the failure counts after a successful request or a switch to another service.
    pub fn reset(&mut self) {
        self.failure_counts = [0; 2];
    }
}

#[cfg(test)]
mod tests;
