//! Authenticates and authorizes callers. A caller presents a signed token ([`token`]) or a certificate with names. [`trust`] has
//! the issuers and keys that the operator trusts, [`rights`] the tenants and what each may send. A refused caller gets a
//! [`Refusal`] with the reason. No I/O, no clock: the caller of each function passes the time.

pub mod cache;
pub mod refusal;
pub mod rights;
pub mod sources;
pub mod token;
pub mod trust;

pub use refusal::Refusal;

/// Seconds of Unix time.
pub type Seconds = u64;
