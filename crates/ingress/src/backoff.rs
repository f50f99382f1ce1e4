//! How long to wait before discovery is called again, by how the last call failed. No clock, and no input or output.
//!
//! A hundred ingresses that start at once call at once, and a service that can take a few dozen calls a second turns most of
//! them away, which costs it work as well: called again every second by each of them it serves nobody. So what was turned
//! away waits long, twice as long each time, and each ingress for another while, until all together ask for less than the
//! service can do. A service that is silent or gone is not helped by that; it is called again soon, lest drains be heard late.
//!
//! Two bounds hold at once. A change counts as told 6 s after discovery had it and could be reached, so whatever failed last,
//! the next call has to be made, and answered, within that: a pause is at most [`LONGEST`], and the call behind it has the rest.
//! And N callers that are all turned away ask no oftener than N times in the shortest of the long pauses, 3 s.

use wrenfork_decision::Micros;

/// The longest pause of all: a call that is made then has 2 s for its answer, as long as one that waits for news, until a change
/// that was there when the pause began counts as told.
pub const LONGEST: Micros = 4_000_000;
/// The first pause after a connection that failed, and the longest, on average.
const BROKEN: (Micros, Micros) = (50_000, 1_000_000);
/// The same after a call that was turned away: drawn up to half as long again, and cut at [`LONGEST`].
const TURNED_AWAY: (Micros, Micros) = (1_000_000, 6_000_000);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection, no answer, or none that can be read.
    Broken,
    /// Answered with another status than 200: the service is there, and does not want the call.
    TurnedAway,
}

/// The pauses between failed calls.
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

    /// The pause after one more failure: half to one and a half times what it is on average, and never over [`LONGEST`].
    pub fn pause(&mut self, failure: Failure) -> Micros {
        let (first, most) = if failure == Failure::Broken {
            BROKEN
        } else {
            TURNED_AWAY
        };
        let row = &mut self.in_row[failure as usize];
        let mean = (first << (*row).min(16)).min(most);
        *row += 1;
        // Cut, not folded: the longer the pauses, the fewer are the calls that an overbooked service has to turn away.
        (mean / 2 + self.rng.u64(0..=mean)).min(LONGEST)
    }

    /// A call was answered, or another service is asked.
    pub fn reset(&mut self) {
        self.in_row = [0; 2];
    }
}

#[cfg(test)]
mod tests;
