//! A fleet of stand-ins on loopback addresses, for tests and demonstrations.

pub mod small;
