//! Actions that the gateway returns for its host to carry out.

use crate::ids::{BackendId, GatewayId, Micros, RequestId};
use std::fmt;

/// An operation for the host to carry out. Actions must be carried out in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a backend.
    Send {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The backend that receives the attempt.
        backend: BackendId,
        /// Time at which to give up on the attempt; 0 means the request's own deadline.
        expires_at: Micros,
        /// Latest time at which the attempt may start. An attempt that is not fully written by
        /// then, because its connection was established late, is not sent and therefore never ran.
        start_by: Micros,
    },
    /// Final answer: the request is rejected, and the client may safely try again.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// Advised wait before the client tries again, in microseconds; 0 gives no advice.
        retry_after: Micros,
    },
    /// Final answer: the request failed, and an attempt may have run.
    Fail(RequestId),
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u16,
    },
    /// Wake the gateway after `delay` with [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Time until the timer fires, in microseconds.
        delay: Micros,
        /// Returned unchanged in the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer or to all of them.
    SendToPeer {
        /// The receiving gateway; `None` sends to all peers.
        to: Option<GatewayId>,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Send a health check to a backend.
    CheckHealth(BackendId),
    /// Close idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Start (`true`) or stop (`false`) watching the endpoint list.
    WatchEndpoints(bool),
    /// Fetch the complete endpoint list from discovery once.
    FetchEndpoints,
    /// Add to a shared counter.
    AddToCounter {
        /// Identifier of the shared counter.
        counter: u64,
        /// Amount to add.
        delta: f64,
        /// Lifetime of the counter if this call creates it, in microseconds.
        lifetime: Micros,
    },
    /// Write an event to the log.
    Log(LogEvent),
}

/// An event for the gateway's log. `Display` formats it as one line of text.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// The load-shedding level of a pool changed by one.
    LoadSheddingLevelChanged {
        /// Number of the pool; 0 is the pool of all backends.
        pool: usize,
        /// Level before the change.
        from: usize,
        /// Level after the change.
        to: usize,
        /// Pressure of the pool: recent answer times divided by the target for their classes.
        pressure: f64,
        /// This gateway's concurrency limit in the pool.
        limit: f64,
        /// This gateway's attempts in flight in the pool.
        in_flight: u32,
    },
}

impl fmt::Display for LogEvent {
    /// Operators' tools parse this text, so it must not change.
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
