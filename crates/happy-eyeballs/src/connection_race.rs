//! The start times of connection attempts to one node (RFC 8305, section 5).

use crate::address::Address;
use crate::Micros;

/// The delay between two attempts is the connect timeout divided by this number.
const ATTEMPTS_PER_TIMEOUT: Micros = 4;
/// Bounds of the delay between two attempts, in microseconds (RFC 8305, section 8).
const MIN_ATTEMPT_DELAY: Micros = 10_000;
/// See [`MIN_ATTEMPT_DELAY`].
const MAX_ATTEMPT_DELAY: Micros = 250_000;

/// What a [`ConnectionRace`] needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextConnect {
    /// Start a connection attempt to this address now.
    Start(Address),
    /// Start nothing before this time unless an attempt fails.
    WaitUntil(Micros),
    /// Every address has been tried. Attempts in progress may still succeed.
    Exhausted,
}

/// Connection attempts to the addresses of one node for one request. Each attempt starts a fixed delay after the previous one, or
/// immediately if an attempt has failed.
#[derive(Clone, Debug)]
pub struct ConnectionRace {
    /// Addresses still to be tried, in reverse order.
    remaining: Vec<Address>,
    attempt_delay: Micros,
    next_at: Micros,
}

impl ConnectionRace {
    /// Creates a race over addresses in the given order. `connect_timeout` is the time limit of each attempt; the first attempt
    /// starts at `now`.
    pub fn new(mut ordered: Vec<Address>, connect_timeout: Micros, now: Micros) -> ConnectionRace {
        ordered.reverse();
        let delay = connect_timeout / ATTEMPTS_PER_TIMEOUT;
        ConnectionRace {
            remaining: ordered,
            attempt_delay: delay.clamp(MIN_ATTEMPT_DELAY, MAX_ATTEMPT_DELAY),
            next_at: now,
        }
    }

    /// The next step at time `now`. After [`NextConnect::Start`], the address counts as tried.
    pub fn next(&mut self, now: Micros) -> NextConnect {
        if self.remaining.is_empty() {
            return NextConnect::Exhausted;
        }
        if now < self.next_at {
            return NextConnect::WaitUntil(self.next_at);
        }
        self.next_at = now + self.attempt_delay;
        self.remaining
            .pop()
            .map_or(NextConnect::Exhausted, NextConnect::Start)
    }

    /// When the next attempt is due, or `None` if all addresses have been tried.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.remaining.is_empty()).then_some(self.next_at)
    }

    /// Reports a failed attempt: the next one may start immediately.
    pub fn attempt_failed(&mut self, now: Micros) {
        self.next_at = now;
    }
}
