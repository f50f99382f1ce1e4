//! Bytes that a backend sends without being asked. The rest behind an answer shows what comes right behind it; what comes later
//! would pass for the answer to the next request, and nothing in it tells whose it is. So a backend that does this often gets a
//! new connection for each request, for as long as it does.

use super::staleness::DECAY;
use serde::{Deserialize, Serialize};

/// The fraction of a backend's answers with something behind them, and how many, from which its connections serve one
/// request each.
const FREQUENT_FRACTION: f64 = 0.2;
const MIN_SEEN: f64 = 3.0;

/// How often a backend sends bytes without being asked.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct UnsolicitedBytes {
    /// Answers, decaying.
    pub(super) answers: f64,
    /// How often something came behind one, decaying.
    pub(super) seen: f64,
}

impl UnsolicitedBytes {
    /// Counts an answer.
    pub(super) fn record_answer(&mut self) {
        self.answers += 1.0;
    }

    /// Counts bytes that nobody asked for.
    pub(super) fn record_bytes(&mut self) {
        self.seen += 1.0;
    }

    /// Whether connections serve one request each.
    pub(super) fn is_frequent(&self) -> bool {
        self.seen >= MIN_SEEN && self.seen > self.answers * FREQUENT_FRACTION
    }

    /// Has the counts decay, once a sweep.
    pub(super) fn decay(&mut self) {
        self.answers *= DECAY;
        self.seen *= DECAY;
    }
}
