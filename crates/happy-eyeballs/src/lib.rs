//! Connecting to a node that has several addresses: a Unix socket, IPv6, IPv4. The order of the addresses ([`AddressList`]) and
//! the times at which connection attempts begin ([`ConnectionRace`]) follow RFC 8305 ("Happy Eyeballs Version 2"). No I/O and
//! no clock.
//!
//! Connections race, requests never do: a request is written once, to the connection that was established first. Whether a
//! request that may have run is sent again, over whatever address, is for the decision module alone.

mod address;
mod address_list;
mod connection_race;

pub use address::{Address, AddressError};
pub use address_list::{AddressList, AddressOutcome, INITIAL_BACKOFF, MAX_ADDRESSES};
pub use connection_race::{ConnectionRace, NextConnect};

/// Microseconds.
pub type Micros = u64;
