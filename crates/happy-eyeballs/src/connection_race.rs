//! The times at which the connection attempts to one node begin (RFC 8305, section 5).

use crate::address::Address;
use crate::Micros;

/// The delay between two attempts, as a part of the time that a connection may take.
const ATTEMPTS_IN_TIMEOUT: Micros = 4;
/// Its bounds, in microseconds (RFC 8305, section 8).
const MIN_ATTEMPT_DELAY: Micros = 10_000;
const MAX_ATTEMPT_DELAY: Micros = 250_000;

/// What a race needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextConnect {
    /// A connection attempt to this address begins now.
    Start(Address),
    /// Nothing before this time, unless an attempt fails.
    WaitUntil(Micros),
    /// Every address has been tried; attempts that are under way may still succeed.
    Exhausted,
}

/// Connection attempts to the addresses of one node for one request: each begins a delay after the one before it, or at once
/// if that one failed.
#[derive(Clone, Debug)]
pub struct ConnectionRace {
    /// The addresses that are still to be tried, the next one last.
    remaining: Vec<Address>,
    attempt_delay: Micros,
    next_at: Micros,
}

impl ConnectionRace {
    /// A race over addresses in their order, each of which may take `connect_timeout` to accept.
    pub fn new(mut ordered: Vec<Address>, connect_timeout: Micros, now: Micros) -> ConnectionRace {
        ordered.reverse();
        let delay = connect_timeout / ATTEMPTS_IN_TIMEOUT;
        ConnectionRace {
            remaining: ordered,
            attempt_delay: delay.clamp(MIN_ATTEMPT_DELAY, MAX_ATTEMPT_DELAY),
            next_at: now,
        }
    }

    /// What is to be done now.
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

    /// When the next attempt is due; none where all addresses have been tried.
    pub fn next_due(&self) -> Option<Micros> {
        (!self.remaining.is_empty()).then_some(self.next_at)
    }

    /// An attempt has failed: the next one need not wait.
    pub fn attempt_failed(&mut self, now: Micros) {
        self.next_at = now;
    }
}
