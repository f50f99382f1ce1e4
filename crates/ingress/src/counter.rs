//! Calls to the count service, where the settings say that there is one: one connection, calls written one behind the
//! other, answers in their order. The service has no time-out, so this side has its own: a call whose time is over is
//! reported as unanswered, and its place in the order is kept so that its late answer passes for no other call's.

use crate::stream::is_not_ready;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use wrenfork_decision::{Micros, Outcome};
use wrenfork_wire::tally::{self, Answer};

#[cfg(test)]
mod tests;

/// The most calls without an answer, those that are over among them. A service that is so far behind gets no more to do, and
/// the queue stays within some ten kilobytes.
const MAX_CALLS: usize = 256;
/// A connection that has been idle for so long is closed: the service does so after some 10 s, and a call that crosses that
/// would count as perhaps done.
const IDLE_TIMEOUT: Micros = 3_000_000;
/// How long the oldest call of a connection may stay unanswered, in time-outs, until the connection counts as dead.
const DEAD_AFTER_TIMEOUTS: Micros = 20;
/// The backoff before a new connection after one that failed, the first and the longest.
const FIRST_BACKOFF: Micros = 50_000;
const MAX_BACKOFF: Micros = 1_000_000;
/// The most bytes of answers that are read in one turn.
const MAX_READ: usize = 64 * 1024;
/// Bytes read at once.
const CHUNK: usize = 4096;

/// A call: adds an amount to a number that all ingresses share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountCall {
    /// The number's name.
    pub name: u64,
    /// What is added to it.
    pub amount: f64,
    /// How long it exists, if it is new.
    pub lifetime: Micros,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountResult {
    /// The number's name.
    pub name: u64,
    /// What is known of the call.
    pub outcome: Outcome,
    /// The number behind the call, with [`Outcome::Ok`].
    pub total: f64,
}

/// A call that was written, or is to be.
struct PendingCall {
    name: u64,
    started_at: Micros,
    /// Where its last byte stands in all that was queued on this connection.
    end: u64,
    /// It has been reported as unanswered.
    timed_out: bool,
}

/// The client of the count service.
pub struct CounterClient {
    address: SocketAddr,
    token: Token,
    /// How long an answer is waited for.
    timeout: Micros,
    stream: Option<TcpStream>,
    calls: VecDeque<PendingCall>,
    out: Vec<u8>,
    /// Bytes queued on this connection, and those that the kernel has taken.
    queued: u64,
    written: u64,
    buf: Vec<u8>,
    backoff: Micros,
    /// No connection is tried before this.
    retry_at: Micros,
    used_at: Micros,
    /// The calls that ended since this was last looked at, in order.
    pub results: Vec<CountResult>,
}

impl CounterClient {
    /// A client of the service at `address`, which waits `timeout` for an answer.
    pub fn new(address: SocketAddr, timeout: Micros, token: Token) -> Self {
        CounterClient {
            address,
            token,
            timeout: timeout.max(1),
            stream: None,
            calls: VecDeque::new(),
            out: Vec::new(),
            queued: 0,
            written: 0,
            buf: Vec::new(),
            backoff: FIRST_BACKOFF,
            retry_at: 0,
            used_at: 0,
            results: Vec::new(),
        }
    }

    fn report(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.results.push(CountResult {
            name,
            outcome,
            total,
        });
    }

    /// Makes a call; gives the time when it is over, unless it has ended at once.
    pub fn call(&mut self, call: CountCall, now: Micros, registry: &Registry) -> Option<Micros> {
        let name = call.name;
        if self.calls.len() >= MAX_CALLS {
            self.report(name, Outcome::Rejected, 0.0);
            return None;
        }
        if self.stream.is_none() && !self.connect(now, registry) {
            self.report(name, Outcome::ConnectFailed, 0.0);
            return None;
        }
        let before = self.out.len();
        if !tally::put_call(&mut self.out, name, call.amount, call.lifetime) {
            self.report(name, Outcome::NotSent, 0.0);
            return None;
        }
        self.queued += (self.out.len() - before) as u64;
        self.calls.push_back(PendingCall {
            name,
            started_at: now,
            end: self.queued,
            timed_out: false,
        });
        self.used_at = now;
        self.write(now);
        Some(now + self.timeout)
    }

    fn connect(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.retry_at {
            return false;
        }
        self.queued = 0;
        self.written = 0;
        self.stream = self.open(registry).ok();
        if self.stream.is_none() {
            self.disconnect(now, true);
        }
        self.stream.is_some()
    }

    fn open(&self, registry: &Registry) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.address)?;
        // One call is a few bytes, and the next must not wait for its acknowledgement.
        stream.set_nodelay(true)?;
        let interests = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, self.token, interests)?;
        Ok(stream)
    }

    /// Gives the connection up. Calls that were written to their last byte may have been added.
    fn disconnect(&mut self, now: Micros, failed: bool) {
        self.stream = None;
        self.buf.clear();
        self.out.clear();
        for call in std::mem::take(&mut self.calls) {
            let outcome = if call.end <= self.written {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            };
            if !call.timed_out {
                self.report(call.name, outcome, 0.0);
            }
        }
        if failed {
            self.retry_at = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
    }

    fn write(&mut self, now: Micros) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let mut taken = 0;
        let mut failed = false;
        while taken < self.out.len() {
            match stream.write(&self.out[taken..]) {
                Ok(n) => taken += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    failed = !is_not_ready(&e);
                    break;
                }
            }
        }
        self.out.drain(..taken);
        self.written += taken as u64;
        if failed {
            self.disconnect(now, true);
        }
    }

    /// Takes in what the connection has, and writes what is queued.
    pub fn ready(&mut self, now: Micros) {
        self.write(now);
        let ended = self.read();
        if self.take_answers().is_err() {
            return self.disconnect(now, true);
        }
        if ended {
            // Between calls the service may close a connection; in the middle of one it has failed.
            let failed = !self.calls.is_empty();
            self.disconnect(now, failed);
        }
    }

    /// Reads what the connection has, within [`MAX_READ`]; true if the connection has ended.
    fn read(&mut self) -> bool {
        let mut chunk = [0; CHUNK];
        while self.buf.len() < MAX_READ {
            let Some(stream) = &mut self.stream else {
                return false;
            };
            match stream.read(&mut chunk) {
                Ok(0) => return true,
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return !is_not_ready(&e),
            }
        }
        false
    }

    /// Takes the answers that have come; an error where they can't be told apart any more.
    fn take_answers(&mut self) -> Result<(), OutOfOrder> {
        let mut taken = 0;
        while let Some((answer, length)) =
            tally::answer(&self.buf[taken..]).map_err(|_| OutOfOrder)?
        {
            taken += length;
            let call = self.calls.pop_front().ok_or(OutOfOrder)?;
            self.backoff = FIRST_BACKOFF;
            if !call.timed_out {
                let (outcome, total) = match answer {
                    Answer::Total(total) => (Outcome::Ok, total),
                    Answer::Busy => (Outcome::Rejected, 0.0),
                    Answer::Error => (Outcome::NotSent, 0.0),
                };
                self.report(call.name, outcome, total);
            }
        }
        self.buf.drain(..taken);
        Ok(())
    }

    /// Reports the calls whose time is over, and gives up a connection that has been silent for too long.
    pub fn time_out(&mut self, now: Micros) {
        let timeout = self.timeout;
        let mut timed_out = Vec::new();
        let due = |call: &&mut PendingCall| call.started_at + timeout <= now;
        for call in self.calls.iter_mut().take_while(due) {
            if !std::mem::replace(&mut call.timed_out, true) {
                timed_out.push(call.name);
            }
        }
        for name in timed_out {
            // It may leave the kernel yet: even one that was not written is no longer known not to be added.
            self.report(name, Outcome::TimedOut, 0.0);
        }
        let dead = |call: &PendingCall| call.started_at + DEAD_AFTER_TIMEOUTS * timeout <= now;
        if self.calls.front().is_some_and(dead) {
            self.disconnect(now, true);
        }
    }

    /// Closes a connection that has long been idle.
    pub fn sweep(&mut self, now: Micros) {
        self.time_out(now);
        if self.calls.is_empty() && now > self.used_at + IDLE_TIMEOUT {
            self.disconnect(now, false);
        }
    }
}

/// Something came that is no answer, or one that no call waits for: whose the next ones are can't be told.
struct OutOfOrder;
