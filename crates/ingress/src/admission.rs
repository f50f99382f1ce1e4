//! Whether requests may be admitted: where this ingress belongs to a group, only while its lease holds, that is while enough
//! members have lately confirmed the configuration that it enforces. What was admitted before goes on and ends as it came.

use wrenfork_control_plane::LeaseGuard;

/// The guard before requests; it always admits where there is no group.
#[derive(Debug, Default)]
pub struct AdmissionGuard(Option<LeaseGuard>);

impl AdmissionGuard {
    /// A guard by the lease of a member of a group, if it is one.
    pub fn new(lease: Option<LeaseGuard>) -> AdmissionGuard {
        AdmissionGuard(lease)
    }

    /// Whether a request may be admitted at this moment. To be checked for each request: the process may have been stopped
    /// since the last one.
    pub fn admits(&self) -> bool {
        self.0.as_ref().is_none_or(LeaseGuard::admits)
    }

    /// The answer to a request while the lease has expired: nothing was done, and when to retry in milliseconds.
    pub fn rejection(&self) -> Vec<u8> {
        let retry_after_ms = self.0.as_ref().map_or(0, LeaseGuard::retry_after_ms);
        format!("-BUSY {retry_after_ms}\r\n").into_bytes()
    }
}
