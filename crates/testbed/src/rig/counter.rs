//! The count service: named numbers that all ingresses add to, at an address for each. It can fail in the ways that its
//! clients must bear: late, turning away, silent (and adding all the same), gone and back with nothing.

use super::address;
use super::context::{token, Context, Due, Part};
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

/// The longest life of a name, and the largest amount.
const MOST_LIFE: Micros = 60 * SECOND;
const MOST_AMOUNT: f64 = 1e9;
const MOST_NAME: usize = 64;

/// What falls due for the count service.
pub enum CounterDue {
    /// Answers go out.
    Say {
        key: usize,
        serial: u64,
        text: Vec<u8>,
    },
    /// A fault is over, if no later one came.
    Well { since: Micros },
}

struct Conn {
    pipe: Pipe,
    serial: u64,
    /// Until when an answer is held back: the next one must not overtake it.
    held: Micros,
    /// Answers that a silent service owes.
    owed: Vec<u8>,
}

/// The count service.
pub struct Counter {
    addresses: Vec<SocketAddr>,
    listeners: Vec<TcpListener>,
    conns: Slab<Conn>,
    serial: u64,
    delay: (Micros, Micros),
    fault: Option<(CounterFault, Micros)>,
    /// Totals, and when they are forgotten.
    numbers: HashMap<Vec<u8>, (f64, Micros)>,
    rng: Rng,
    chunk: Vec<u8>,
    args: Vec<Range<usize>>,
    /// Calls that were added, and those of them that were left unanswered.
    pub added: u64,
    /// See `added`.
    pub unanswered: u64,
}

impl Counter {
    /// Opens an address for each ingress, where the scenario has a count service.
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
            numbers: HashMap::new(),
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
                token(Part::CounterListener, ingress),
                Interest::READABLE,
            )?;
            self.listeners.push(listener);
        }
        Ok(())
    }

    /// Where an ingress finds it.
    pub fn address(&self, ingress: usize) -> SocketAddr {
        self.addresses[ingress]
    }

    /// Has it fail for a time.
    pub fn fail(&mut self, fault: CounterFault, lasts: Micros, context: &mut Context) {
        if fault == CounterFault::Gone {
            self.listeners.clear();
            self.numbers.clear();
            for conn in self.conns.drain() {
                conn.pipe.reset_on_close();
            }
        }
        self.fault = Some((fault, context.now));
        context.after(lasts, Due::Counter(CounterDue::Well { since: context.now }));
    }

    /// Takes in connections.
    pub fn accept(&mut self, ingress: usize, context: &mut Context) {
        while let Some(Ok((stream, _))) = self.listeners.get(ingress).map(TcpListener::accept) {
            self.serial += 1;
            let conn = Conn {
                pipe: Pipe::new(stream),
                serial: self.serial,
                held: 0,
                owed: Vec::new(),
            };
            let key = self.conns.insert(conn);
            let token: Token = token(Part::Counter, key);
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

    /// Does what a connection is ready for.
    pub fn ready(&mut self, key: usize, context: &mut Context) {
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
                [b"TALLY", name, amount, life] => tally(
                    &mut self.numbers,
                    self.fault,
                    (name, amount, life),
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
        let more = match self.fault {
            Some((CounterFault::Slow(delay), _)) => delay,
            _ => 0,
        };
        let conn = &mut self.conns[key];
        if let Some((CounterFault::Silent, _)) = self.fault {
            self.unanswered += 1;
            conn.owed.extend(text);
            return;
        }
        conn.held = conn
            .held
            .max(context.now + low + self.rng.u64(0..=high - low) + more);
        let say = CounterDue::Say {
            key,
            serial: conn.serial,
            text,
        };
        context.at(conn.held, Due::Counter(say));
    }

    /// Carries out what is due.
    ///
    /// # Errors
    ///
    /// Where it can't listen again.
    pub fn due(&mut self, due: CounterDue, context: &mut Context) -> io::Result<()> {
        match due {
            CounterDue::Say { key, serial, text } => {
                let conn = self.conns.get_mut(key).filter(|c| c.serial == serial);
                if conn.is_some_and(|c| !c.pipe.say(&text)) {
                    self.conns.remove(key);
                }
            }
            CounterDue::Well { since } if self.fault.is_some_and(|f| f.1 == since) => {
                let was = self.fault.take().map(|f| f.0);
                if was == Some(CounterFault::Gone) {
                    self.listen(context)?;
                }
                // What it owes comes late, in its order.
                let owed: Vec<(usize, Vec<u8>)> = self
                    .conns
                    .iter_mut()
                    .map(|(key, c)| (key, std::mem::take(&mut c.owed)))
                    .collect();
                owed.into_iter()
                    .for_each(|(key, text)| self.answer(key, text, context));
            }
            CounterDue::Well { .. } => {}
        }
        Ok(())
    }
}

/// One call: the answer to it.
fn tally(
    numbers: &mut HashMap<Vec<u8>, (f64, Micros)>,
    fault: Option<(CounterFault, Micros)>,
    (name, amount, life): (&[u8], &[u8], &[u8]),
    now: Micros,
    added: &mut u64,
) -> Vec<u8> {
    fn number<T: std::str::FromStr>(text: &[u8]) -> Option<T> {
        std::str::from_utf8(text).ok()?.parse().ok()
    }
    if let Some((CounterFault::Busy, _)) = fault {
        return b"-BUSY\r\n".to_vec();
    }
    let amount = number::<f64>(amount).filter(|a| a.abs() <= MOST_AMOUNT);
    let life = number::<u64>(life).filter(|l| *l > 0);
    let (Some(amount), Some(life), 1..=MOST_NAME) = (amount, life, name.len()) else {
        return b"-ERR no such call\r\n".to_vec();
    };
    let until = now + life.saturating_mul(1000).min(MOST_LIFE);
    let entry = numbers.entry(name.to_vec()).or_insert((0.0, until));
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
    fn a_number_starts_at_nothing_is_forgotten_after_its_life_and_bad_calls_add_nothing() {
        let (mut numbers, mut added) = (HashMap::new(), 0);
        let mut call = |name: &str, amount: &str, life: &str, now| {
            let call = (name.as_bytes(), amount.as_bytes(), life.as_bytes());
            let answer = tally(&mut numbers, None, call, now, &mut added);
            String::from_utf8(answer).unwrap()
        };
        assert_eq!(call("a", "2.5", "1000", 0), "$3\r\n2.5\r\n");
        assert_eq!(
            call("a", "-1", "60000", 999_999),
            "$3\r\n1.5\r\n",
            "a later call does not lengthen its life"
        );
        assert_eq!(call("a", "1", "1000", SECOND), "$1\r\n1\r\n", "forgotten");
        let long = "x".repeat(65);
        for (name, amount, life) in [
            ("", "1", "1"),
            (&long, "1", "1"),
            ("b", "x", "1"),
            ("b", "2e9", "1"),
            ("b", "1", "0"),
        ] {
            assert_eq!(call(name, amount, life, 0), "-ERR no such call\r\n");
        }
        assert_eq!(call("b", "0", "5", 0), "$1\r\n0\r\n", "nothing was added");
    }
}
