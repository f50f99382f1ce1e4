//! Whether requests may be let in: where this ingress belongs to a group, only while enough members have lately said that what
//! it enforces still stands. What was let in goes on and ends as it came.

use wrenfork_control_plane::group;

/// What stands before requests; always open where there is no group.
#[derive(Debug, Default)]
pub struct Gate(Option<group::Gate>);

impl Gate {
    /// That of a member of a group, if it is one.
    pub fn of(gate: Option<group::Gate>) -> Gate {
        Gate(gate)
    }

    /// Whether it is open at this moment. To be asked for each request: the process may have been stopped since the last one.
    pub fn open(&self) -> bool {
        self.0.as_ref().is_none_or(group::Gate::open)
    }

    /// What a caller hears while it is shut: nothing was done, and when to come again.
    pub fn shut(&self) -> Vec<u8> {
        let pause = self.0.as_ref().map_or(0, group::Gate::pause_ms);
        format!("-BUSY {pause}\r\n").into_bytes()
    }
}
