//! Whether requests may be let in: where this ingress belongs to a group, only while enough members have lately said that what
//! it enforces still stands. What was let in goes on and ends as it came.

use wrenfork_control_plane::LeaseGuard;

/// What stands before requests; always open where there is no group.
#[derive(Debug, Default)]
pub struct Gate(Option<LeaseGuard>);

impl Gate {
    /// That of a member of a group, if it is one.
    pub fn of(gate: Option<LeaseGuard>) -> Gate {
        Gate(gate)
    }

    /// Whether it is open at this moment. To be asked for each request: the process may have been stopped since the last one.
    pub fn open(&self) -> bool {
        self.0.as_ref().is_none_or(LeaseGuard::admits)
    }

    /// What a caller hears while it is shut: nothing was done, and when to come again.
    pub fn shut(&self) -> Vec<u8> {
        let pause = self.0.as_ref().map_or(0, LeaseGuard::retry_after_ms);
        format!("-BUSY {pause}\r\n").into_bytes()
    }
}
