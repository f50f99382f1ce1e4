//! Client of the count service, if the settings have one: calls are pipelined on one connection, and answers arrive in the
//! order of the calls. The service has no timeout, so the client has one: a call that times out is reported as unanswered but
//! stays in the queue, so that its late answer is not taken for the answer to a later call.

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

/// Maximum number of unanswered calls, including those that have timed out. A service this far behind gets no further calls,
/// and the queue stays within about 10 KB.
const MAX_CALLS: usize = 256;
/// Idle time after which the client closes the connection, in microseconds. The service closes idle connections after about
/// 10 s, and for a call sent at that moment it would be unknown whether it was counted.
const IDLE_TIMEOUT: Micros = 3_000_000;
/// A connection is considered dead when its oldest call has been unanswered for this many call timeouts.
const DEAD_AFTER_TIMEOUTS: Micros = 20;
/// Initial backoff before reconnecting after a failure, in microseconds; doubled up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Micros = 50_000;
/// Maximum backoff before reconnecting, in microseconds.
const MAX_BACKOFF: Micros = 1_000_000;
/// Maximum number of answer bytes buffered in one event loop iteration.
const MAX_READ: usize = 64 * 1024;
/// Size of the buffer for one read call, in bytes.
const READ_CHUNK: usize = 4096;

/// A call that adds an amount to a counter shared by all ingresses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountCall {
    /// Name of the counter.
    pub name: u64,
    /// Amount added to the counter.
    pub amount: f64,
    /// Lifetime of the counter in microseconds, if this call creates it.
    pub lifetime: Micros,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountResult {
    /// Name of the counter.
    pub name: u64,
    /// Whether the amount was added, was not added, or may have been added.
    pub outcome: Outcome,
    /// Value of the counter after the call; meaningful only with [`Outcome::Ok`].
    pub total: f64,
}

/// A call in the queue, written to the connection or not.
struct PendingCall {
    name: u64,
    started_at: Micros,
    /// Position after the call's last byte in the stream of bytes queued on this connection.
    end: u64,
    /// Whether the call has been reported as unanswered.
    timed_out: bool,
}

/// Client of the count service with at most one connection.
pub struct CounterClient {
    address: SocketAddr,
    token: Token,
    /// Time to wait for the answer to a call, in microseconds.
    timeout: Micros,
    stream: Option<TcpStream>,
    calls: VecDeque<PendingCall>,
    out: Vec<u8>,
    /// Bytes queued on this connection so far.
    queued: u64,
    /// Bytes of those that the kernel has accepted.
    written: u64,
    buf: Vec<u8>,
    backoff: Micros,
    /// Earliest time of the next connection attempt.
    retry_at: Micros,
    last_call_at: Micros,
    /// Results of calls that have ended; drained by the caller.
    pub results: Vec<CountResult>,
}

impl CounterClient {
    /// Creates a client for the service at `address` that waits `timeout` microseconds for an answer. It connects at the first
    /// call.
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
            last_call_at: 0,
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

    /// Queues a call and returns its deadline, or `None` if it failed immediately; the result is then in `results`.
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
        let length_before = self.out.len();
        if !tally::put_call(&mut self.out, name, call.amount, call.lifetime) {
            self.report(name, Outcome::NotSent, 0.0);
            return None;
        }
        self.queued += (self.out.len() - length_before) as u64;
        self.calls.push_back(PendingCall {
            name,
            started_at: now,
            end: self.queued,
            timed_out: false,
        });
        self.last_call_at = now;
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
        // Calls are a few bytes each; with Nagle's algorithm the next one would wait for the acknowledgement of the previous one.
        stream.set_nodelay(true)?;
        let interests = Interest::READABLE | Interest::WRITABLE;
        registry.register(&mut stream, self.token, interests)?;
        Ok(stream)
    }

    /// Closes the connection and reports its calls: those written completely may have been counted, the others were not.
    /// `failed` starts the backoff.
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
        let mut written = 0;
        let mut failed = false;
        while written < self.out.len() {
            match stream.write(&self.out[written..]) {
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    failed = !is_not_ready(&e);
                    break;
                }
            }
        }
        self.out.drain(..written);
        self.written += written as u64;
        if failed {
            self.disconnect(now, true);
        }
    }

    /// Handles readiness of the connection: writes queued calls and processes answers.
    pub fn ready(&mut self, now: Micros) {
        self.write(now);
        let closed = self.read();
        if self.take_answers().is_err() {
            return self.disconnect(now, true);
        }
        if closed {
            // The service may close an idle connection; with calls outstanding, the close is a failure.
            let failed = !self.calls.is_empty();
            self.disconnect(now, failed);
        }
    }

    /// Reads available bytes up to [`MAX_READ`]; returns true if the connection is closed or broken.
    fn read(&mut self) -> bool {
        let mut chunk = [0; READ_CHUNK];
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

    /// Processes the received answers. Fails if an answer cannot be matched to a call.
    fn take_answers(&mut self) -> Result<(), ProtocolViolation> {
        let mut consumed = 0;
        while let Some((answer, length)) =
            tally::answer(&self.buf[consumed..]).map_err(|_| ProtocolViolation)?
        {
            consumed += length;
            let call = self.calls.pop_front().ok_or(ProtocolViolation)?;
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
        self.buf.drain(..consumed);
        Ok(())
    }

    /// Reports the calls that have timed out, and closes a connection that is considered dead.
    pub fn time_out(&mut self, now: Micros) {
        let timeout = self.timeout;
        let mut timed_out = Vec::new();
        let is_due = |call: &&mut PendingCall| call.started_at + timeout <= now;
        for call in self.calls.iter_mut().take_while(is_due) {
            if !std::mem::replace(&mut call.timed_out, true) {
                timed_out.push(call.name);
            }
        }
        for name in timed_out {
            // The bytes may still be sent later, so even a call that is not written yet may be counted.
            self.report(name, Outcome::TimedOut, 0.0);
        }
        let is_dead = |call: &PendingCall| call.started_at + DEAD_AFTER_TIMEOUTS * timeout <= now;
        if self.calls.front().is_some_and(is_dead) {
            self.disconnect(now, true);
        }
    }

    /// Closes the connection if it has been idle for [`IDLE_TIMEOUT`].
    pub fn sweep(&mut self, now: Micros) {
        self.time_out(now);
        if self.calls.is_empty() && now > self.last_call_at + IDLE_TIMEOUT {
            self.disconnect(now, false);
        }
    }
}

/// The service sent invalid bytes, or an answer with no outstanding call. Later answers can no longer be matched to calls.
struct ProtocolViolation;
