//! What a gateway asks its host to do.

use crate::ids::{BackendId, GatewayId, Micros, RequestId};
use std::fmt;

/// What a gateway asks its host to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a backend; `expires_at` 0 means at the client's deadline.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        backend: BackendId,
        /// When to give the attempt up.
        expires_at: Micros,
        /// The latest moment at which it may begin. What is not written completely by then, since
        /// its connection came up late, is not sent: it never ran.
        start_by: Micros,
    },
    /// Final answer: rejected, trying again is harmless; `retry_after` 0 gives no advice.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should keep away, in microseconds.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Wake the gateway after `delay` with [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// From now, in microseconds.
        delay: Micros,
        /// Comes back with the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer, or to all.
    SendToPeer {
        /// The receiver; none means all.
        to: Option<GatewayId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Send a health check to a backend.
    CheckHealth(BackendId),
    /// Close idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Watch the endpoint list, or no longer.
    WatchEndpoints(bool),
    /// Ask discovery for the complete list once.
    FetchEndpoints,
    /// Add to a shared counter.
    AddToCounter {
        /// The counter's name.
        counter: u64,
        /// The amount.
        delta: f64,
        /// How long a new counter lives, in microseconds.
        lifetime: Micros,
    },
    /// A line for the log.
    Log(LogEvent),
}

/// What a gateway has to say to its log. `Display` gives the line of text.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The load-shedding level of a pool changed by one.
    LoadSheddingLevelChanged {
        /// The pool; 0 is that of all backends.
        pool: usize,
        /// The level before.
        from: usize,
        /// The level now.
        to: usize,
        /// The pressure: answers' times over what is wanted of them.
        pressure: f64,
        /// The concurrency limit of this gateway in the pool.
        limit: f64,
        /// Attempts in flight through it.
        in_flight: u32,
    },
}

impl fmt::Display for LogEvent {
    /// The wording is read by operators' tools and stays.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogEvent::LoadSheddingLevelChanged {
                pool,
                from,
                to,
                pressure,
                limit,
                in_flight,
            } => {
                f.write_str("ladder")?;
                if *pool > 0 {
                    write!(f, " of pool {pool}")?;
                }
                write!(f, ": rung {from} to {to}, pressure {pressure:.2}")?;
                write!(f, ", limit {limit:.0}, out {in_flight}")
            }
        }
    }
}
