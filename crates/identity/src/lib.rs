//! Who is calling, and what it may do. A caller proves something ([`token`]: a signed token; a certificate's names); the
//! operator's trust says what that is worth ([`trust`]), and the map of tenants what it may ask for ([`rights`]). What is
//! refused has a [`Refusal`] with its reason. No I/O, no clock: the time comes with each question.

pub mod cache;
pub mod refusal;
pub mod rights;
pub mod sources;
pub mod token;
pub mod trust;

pub use refusal::Refusal;

/// Seconds of Unix time.
pub type Seconds = u64;
