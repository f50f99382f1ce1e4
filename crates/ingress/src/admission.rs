//! Admission by lease: a member of a group admits requests only while its lease is valid, that is, while enough members have
//! recently confirmed the configuration that it enforces. Requests admitted before the lease expires are served normally.

use wrenfork_control_plane::LeaseGuard;

/// Checks the lease before a request is admitted; outside a group it admits every request.
#[derive(Debug, Default)]
pub struct AdmissionGuard(Option<LeaseGuard>);

impl AdmissionGuard {
    /// Creates a guard for the lease of a member of a group; `None` outside a group.
    pub fn new(lease: Option<LeaseGuard>) -> AdmissionGuard {
        AdmissionGuard(lease)
    }

    /// Whether a request may be admitted now. Must be checked for each request, since the process may have been suspended since
    /// the previous one.
    pub fn admits(&self) -> bool {
        self.0.as_ref().is_none_or(LeaseGuard::admits)
    }

    /// Returns the answer to a request that arrives without a valid lease: rejected without being executed, with the time until a
    /// retry in milliseconds.
    pub fn rejection(&self) -> Vec<u8> {
        let retry_after_ms = self.0.as_ref().map_or(0, LeaseGuard::retry_after_ms);
        format!("-BUSY {retry_after_ms}\r\n").into_bytes()
    }
}
