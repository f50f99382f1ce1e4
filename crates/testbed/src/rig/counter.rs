//! A stand-in for the count service: named counters that all ingresses add to, with one address for each ingress. It can be slow,
//! reply `BUSY`, be silent (but still add), or be gone and come back with all counters lost.

use super::address;
use super::context::{token, Component, Context, Due};
use super::pipe::{Flow, Pipe};
use crate::scenario::{CounterFault, Micros, Scenario, SECOND};
use fastrand::Rng;
use mio::net::TcpListener;
use mio::{Interest, Token};
use slab::Slab;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use wrenfork_wire::resp;

/// The longest lifetime of a counter; longer ones are shortened to it.
const MAX_LIFETIME: Micros = 60 * SECOND;
/// The largest amount of one call, by absolute value.
const MAX_AMOUNT: f64 = 1e9;
/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A timer event of the count service.
pub enum CounterDue {
    /// Replies are sent.
    Send {
        key: usize,
        serial: u64,
        text: Vec<u8>,
    },
    /// The fault that began at `since` ends, unless a later one has replaced it.
    Recovered { since: Micros },
}

struct Conn {
    pipe: Pipe,
    serial: u64,
    /// The send time of the last reply; the next one must not be sent before.
    last_send_at: Micros,
    /// Replies that are held back while the service is silent.
    held_back: Vec<u8>,
}

/// The count service, with all connections to it.
pub struct Counter {
    addresses: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    conns: Slab<Conn>,
    serial: u64,
    delay: (Micros, Micros),
    fault: Option<(CounterFault, Micros)>,
    /// Totals by name, with the time at which each expires.
    counters: HashMap<Vec<u8>, (f64, Micros)>,
    rng: Rng,
    chunk: Vec<u8>,
    args: Vec<Range<usize>>,
    /// How many calls were added to a counter.
    pub added: u64,
    /// How many times replies were held back while the service was silent.
    pub unanswered: u64,
}

impl Counter {
    /// Opens an address for each ingress. Returns `None` if the scenario has no count service.
    pub fn open(s: &Scenario, context: &mut Context) -> io::Result<Option<Self>> {
        let Some(delay) = s.network.counter else {
            return Ok(None);
        };
        let addresses = (0..s.ingresses.count).map(|_| address::free(address::own()));
        let mut counter = Counter {
            addresses: addresses.collect::<io::Result<_>>()?,
            listeners: Vec::new(),
            conns: Slab::new(),
            serial: 0,
            delay,
            fault: None,
            counters: HashMap::new(),
            rng: Rng::with_seed(s.seed ^ 0xC07E),
            chunk: vec![0; 16 * 1024],
            args: Vec::new(),
            added: 0,
            unanswered: 0,
        };
        counter.listen(context)?;
        Ok(Some(counter))
    }

    fn listen(&mut self, context: &mut Context) -> io::Result<()> {
        for (ingress, at) in self.addresses.iter().enumerate() {
            let mut listener = TcpListener::bind(*at)?;
            context.registry.register(
                &mut listener,
                token(Component::CounterListener, ingress),
                Interest::READABLE,
            )?;
            self.listeners.push(listener);
        }
        Ok(())
    }

    /// The address of the service for an ingress.
    pub fn address(&self, ingress: usize) -> SocketAddr {
        self.addresses[ingress]
    }

    /// Makes the service fail for a time.
    pub fn fail(&mut self, fault: CounterFault, lasts: Micros, context: &mut Context) {
        if fault == CounterFault::Gone {
            self.listeners.clear();
            self.counters.clear();
            for conn in self.conns.drain() {
                conn.pipe.reset_on_close();
            }
        }
        self.fault = Some((fault, context.now));
        context.after(
            lasts,
            Due::Counter(CounterDue::Recovered { since: context.now }),
        );
    }

    /// Accepts pending connections.
    pub fn accept(&mut self, ingress: usize, context: &mut Context) {
        while let Some(Ok((stream, _))) = self.listeners.get(ingress).map(TcpListener::accept) {
            self.serial += 1;
            let conn = Conn {
                pipe: Pipe::new(stream),
                serial: self.serial,
                last_send_at: 0,
                held_back: Vec::new(),
            };
            let key = self.conns.insert(conn);
            let token: Token = token(Component::Counter, key);
            let interest = Interest::READABLE | Interest::WRITABLE;
            if context
                .registry
                .register(&mut self.conns[key].pipe.stream, token, interest)
                .is_err()
            {
                self.conns.remove(key);
            }
        }
    }

    /// Reads and writes a connection that is ready.
    pub fn handle_ready(&mut self, key: usize, context: &mut Context) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let flow = conn.pipe.fill(&mut self.chunk);
        if !conn.pipe.flush() || flow != Flow::Open {
            self.conns.remove(key);
            return;
        }
        let mut answers = Vec::new();
        loop {
            let conn = &mut self.conns[key];
            let found = match resp::command(&conn.pipe.inbox, &mut self.args) {
                Ok(Some(n)) => n,
                Ok(None) => break,
                Err(_) => {
                    self.conns.remove(key);
                    return;
                }
            };
            let command: Vec<u8> = conn.pipe.inbox.drain(..found).collect();
            let args: Vec<&[u8]> = self.args.iter().map(|r| &command[r.clone()]).collect();
            answers.extend(match args[..] {
                [b"PING"] => b"+PONG\r\n".to_vec(),
                [b"CLIENT" | b"SELECT", ..] => b"+OK\r\n".to_vec(),
                [b"TALLY", name, amount, lifetime] => tally(
                    &mut self.counters,
                    self.fault,
                    (name, amount, lifetime),
                    context.now,
                    &mut self.added,
                ),
                _ => b"-ERR no such call\r\n".to_vec(),
            });
        }
        self.answer(key, answers, context);
    }

    fn answer(&mut self, key: usize, text: Vec<u8>, context: &mut Context) {
        if text.is_empty() {
            return;
        }
        let (low, high) = self.delay;
        let extra_delay = match self.fault {
            Some((CounterFault::Slow(delay), _)) => delay,
            _ => 0,
        };
        let conn = &mut self.conns[key];
        if let Some((CounterFault::Silent, _)) = self.fault {
            self.unanswered += 1;
            conn.held_back.extend(text);
            return;
        }
        conn.last_send_at = conn
            .last_send_at
            .max(context.now + low + self.rng.u64(0..=high - low) + extra_delay);
        let send = CounterDue::Send {
            key,
            serial: conn.serial,
            text,
        };
        context.at(conn.last_send_at, Due::Counter(send));
    }

    /// Handles a timer event.
    ///
    /// # Errors
    ///
    /// If the service cannot listen again at its address.
    pub fn handle_due(&mut self, due: CounterDue, context: &mut Context) -> io::Result<()> {
        match due {
            CounterDue::Send { key, serial, text } => {
                let conn = self.conns.get_mut(key).filter(|c| c.serial == serial);
                if conn.is_some_and(|c| !c.pipe.send(&text)) {
                    self.conns.remove(key);
                }
            }
            CounterDue::Recovered { since } if self.fault.is_some_and(|f| f.1 == since) => {
                let ended = self.fault.take().map(|f| f.0);
                if ended == Some(CounterFault::Gone) {
                    self.listen(context)?;
                }
                // The replies that were held back are sent now, in order.
                let held_back: Vec<(usize, Vec<u8>)> = self
                    .conns
                    .iter_mut()
                    .map(|(key, c)| (key, std::mem::take(&mut c.held_back)))
                    .collect();
                held_back
                    .into_iter()
                    .for_each(|(key, text)| self.answer(key, text, context));
            }
            CounterDue::Recovered { .. } => {}
        }
        Ok(())
    }
}

/// Handles a `TALLY` call and returns the reply.
fn tally(
    counters: &mut HashMap<Vec<u8>, (f64, Micros)>,
    fault: Option<(CounterFault, Micros)>,
    (name, amount, lifetime): (&[u8], &[u8], &[u8]),
    now: Micros,
    added: &mut u64,
) -> Vec<u8> {
    fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
        std::str::from_utf8(text).ok()?.parse().ok()
    }
    if let Some((CounterFault::Busy, _)) = fault {
        return b"-BUSY\r\n".to_vec();
    }
    let amount = number::<f64>(amount).filter(|a| a.abs() <= MAX_AMOUNT);
    let lifetime = number::<u64>(lifetime).filter(|l| *l > 0);
    let (Some(amount), Some(lifetime), 1..=MAX_NAME_BYTES) = (amount, lifetime, name.len()) else {
        return b"-ERR no such call\r\n".to_vec();
    };
    let until = now + lifetime.saturating_mul(1000).min(MAX_LIFETIME);
    let entry = counters.entry(name.to_vec()).or_insert((0.0, until));
    if entry.1 <= now {
        *entry = (0.0, until);
    }
    entry.0 += amount;
    *added += 1;
    let total = format!("{}", entry.0);
    format!("${}\r\n{total}\r\n", total.len()).into_bytes()
}

#[cfg(test)]
mod tests {
    use super::{tally, HashMap, SECOND};

    #[test]
    fn counters_start_at_zero_and_expire_and_invalid_calls_add_nothing() {
        let (mut counters, mut added) = (HashMap::new(), 0);
        let mut call = |name: &str, amount: &str, lifetime: &str, now| {
            let call = (name.as_bytes(), amount.as_bytes(), lifetime.as_bytes());
            let answer = tally(&mut counters, None, call, now, &mut added);
            String::from_utf8(answer).unwrap()
        };
        assert_eq!(call("a", "2.5", "1000", 0), "$3\r\n2.5\r\n");
        assert_eq!(
            call("a", "-1", "60000", 999_999),
            "$3\r\n1.5\r\n",
            "a later call must not extend the lifetime"
        );
        assert_eq!(
            call("a", "1", "1000", SECOND),
            "$1\r\n1\r\n",
            "the counter has not expired"
        );
        let long = "x".repeat(65);
        for (name, amount, lifetime) in [
            ("", "1", "1"),
            (&long, "1", "1"),
            ("b", "x", "1"),
            ("b", "2e9", "1"),
            ("b", "1", "0"),
        ] {
            assert_eq!(call(name, amount, lifetime, 0), "-ERR no such call\r\n");
        }
        assert_eq!(
            call("b", "0", "5", 0),
            "$1\r\n0\r\n",
            "an invalid call was added"
        );
    }
}
