//! Detects backends that send unsolicited bytes. The rest time after an answer catches bytes that follow at once. Bytes that
//! arrive later would be taken for the answer to the next request, since answers carry no id. A backend that often sends
//! unsolicited bytes therefore gets a new connection for each request until it stops.

use super::staleness::DECAY;
use serde::{Deserialize, Serialize};

/// Fraction of a backend's answers followed by unsolicited bytes above which each of its connections serves only one request.
const FREQUENT_FRACTION: f64 = 0.2;
/// Minimum (decayed) number of arrivals of unsolicited bytes before the fraction is considered.
const MIN_ARRIVALS: f64 = 3.0;

/// Counts how often a backend sends unsolicited bytes. The field order is part of the handover format.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct UnsolicitedBytes {
    /// Number of answers, decayed over time.
    pub(super) answers: f64,
    /// Number of times that unsolicited bytes arrived, decayed over time.
    pub(super) arrivals: f64,
}

impl UnsolicitedBytes {
    /// Counts an answer.
    pub(super) fn record_answer(&mut self) {
        self.answers += 1.0;
    }

    /// Counts one arrival of unsolicited bytes.
    pub(super) fn record_bytes(&mut self) {
        self.arrivals += 1.0;
    }

    /// Whether the backend sends unsolicited bytes so often that each connection serves only one request.
    pub(super) fn is_frequent(&self) -> bool {
        self.arrivals >= MIN_ARRIVALS && self.arrivals > self.answers * FREQUENT_FRACTION
    }

    /// Decays the counts; called once per sweep.
    pub(super) fn decay(&mut self) {
        self.answers *= DECAY;
        self.arrivals *= DECAY;
    }
}
