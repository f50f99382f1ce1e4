//! Connecting to a node that has several addresses: a Unix socket, IPv6 or IPv4. The order of the addresses ([`AddressList`])
//! and the start times of connection attempts ([`ConnectionRace`]) follow RFC 8305 ("Happy Eyeballs Version 2"). No I/O and no
//! clock.
//!
//! Only connection attempts race, never requests: a request is written once, to the connection that was established first. The
//! decision module alone decides whether a request that may already have run is sent again, to any address.

mod address;
mod address_list;
mod connection_race;

pub use address::{Address, AddressError};
pub use address_list::{AddressList, AddressOutcome, INITIAL_BACKOFF, MAX_ADDRESSES};
pub use connection_race::{ConnectionRace, NextConnect};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
