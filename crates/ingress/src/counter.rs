//! Calls to the count service, where the settings say that there is one: one connection, calls written one behind the
//! other, answers in their order. The service gives no time-out, so this side has its own: a call that is over is
//! told as unanswered, and its place in the line is kept so that its late answer passes for no other call's.

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use wrenfork_decision::{Micros, Outcome};
use wrenfork_wire::tally::{self, Answer};

/// The most calls in the line, those that are over among them. A service that is so far behind gets no more to do, and
/// the line stays within some ten kilobytes.
const MOST_CALLS: usize = 256;
/// Idle so long, the connection is closed: the service does so after some 10 s, and a call that crosses that would
/// count as perhaps done.
const IDLE: Micros = 3_000_000;
/// How long the oldest call of a connection may stay unanswered, in time-outs, till the connection counts as dead.
const DEAD: Micros = 20;
/// The first pause before a new connection after one that failed, and the longest.
const PAUSES: (Micros, Micros) = (50_000, 1_000_000);
/// The most bytes of answers that are read in one turn.
const MOST_READ: usize = 64 * 1024;

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counted {
    pub name: u64,
    pub outcome: Outcome,
    /// With [`Outcome::Ok`].
    pub total: f64,
}

struct Call {
    name: u64,
    began: Micros,
    /// Where its last byte stands in all that was put out on this connection.
    end: u64,
    /// It has been told as unanswered.
    over: bool,
}

/// The count service's client.
pub struct Counter {
    address: SocketAddr,
    token: Token,
    /// How long an answer is waited for.
    wait: Micros,
    stream: Option<TcpStream>,
    calls: VecDeque<Call>,
    out: Vec<u8>,
    /// Bytes put out on this connection, and those that the kernel has taken.
    put: u64,
    written: u64,
    buf: Vec<u8>,
    /// Nothing is tried before this.
    pause: Micros,
    not_before: Micros,
    used_at: Micros,
    /// What ended since it was last looked at, in order.
    pub done: Vec<Counted>,
}

impl Counter {
    /// A client of the service at `address`, which waits `wait` for an answer.
    pub fn new(address: SocketAddr, wait: Micros, token: Token) -> Self {
        Counter {
            address,
            token,
            wait: wait.max(1),
            stream: None,
            calls: VecDeque::new(),
            out: Vec::new(),
            put: 0,
            written: 0,
            buf: Vec::new(),
            pause: PAUSES.0,
            not_before: 0,
            used_at: 0,
            done: Vec::new(),
        }
    }

    fn tell(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.done.push(Counted {
            name,
            outcome,
            total,
        });
    }

    /// Makes a call; when to look whether it is over, unless it has ended at once.
    pub fn call(
        &mut self,
        (name, amount, life): (u64, f64, Micros),
        now: Micros,
        registry: &Registry,
    ) -> Option<Micros> {
        if self.calls.len() >= MOST_CALLS {
            self.tell(name, Outcome::Rejected, 0.0);
            return None;
        }
        if self.stream.is_none() && !self.connect(now, registry) {
            self.tell(name, Outcome::ConnectFailed, 0.0);
            return None;
        }
        let before = self.out.len();
        if !tally::put_call(&mut self.out, name, amount, life) {
            self.tell(name, Outcome::NotSent, 0.0);
            return None;
        }
        self.put += (self.out.len() - before) as u64;
        self.calls.push_back(Call {
            name,
            began: now,
            end: self.put,
            over: false,
        });
        self.used_at = now;
        self.write(now);
        Some(now + self.wait)
    }

    fn connect(&mut self, now: Micros, registry: &Registry) -> bool {
        if now < self.not_before {
            return false;
        }
        let connected = TcpStream::connect(self.address).and_then(|mut stream| {
            // One call is a few bytes, and the next must not wait for its acknowledgement.
            stream.set_nodelay(true)?;
            registry.register(
                &mut stream,
                self.token,
                Interest::READABLE | Interest::WRITABLE,
            )?;
            Ok(stream)
        });
        (self.put, self.written) = (0, 0);
        self.stream = connected.ok();
        if self.stream.is_none() {
            self.end(now, true);
        }
        self.stream.is_some()
    }

    /// Gives the connection up. What was written whole may have been added.
    fn end(&mut self, now: Micros, failed: bool) {
        self.stream = None;
        self.buf.clear();
        self.out.clear();
        let written = self.written;
        for call in std::mem::take(&mut self.calls) {
            let outcome = if call.end <= written {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            };
            if !call.over {
                self.tell(call.name, outcome, 0.0);
            }
        }
        if failed {
            self.not_before = now + self.pause;
            self.pause = (self.pause * 2).min(PAUSES.1);
        }
    }

    fn write(&mut self, now: Micros) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let mut taken = 0;
        let failed = loop {
            if taken == self.out.len() {
                break false;
            }
            match stream.write(&self.out[taken..]) {
                Ok(n) => taken += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break false
                }
                Err(_) => break true,
            }
        };
        self.out.drain(..taken);
        self.written += taken as u64;
        if failed {
            self.end(now, true);
        }
    }

    /// Takes in what the connection has, and puts out what waits.
    pub fn ready(&mut self, now: Micros) {
        self.write(now);
        let (mut chunk, mut ended) = ([0; 4096], false);
        while let Some(stream) = self
            .stream
            .as_mut()
            .filter(|_| !ended && self.buf.len() < MOST_READ)
        {
            match stream.read(&mut chunk) {
                Ok(0) => ended = true,
                Ok(n) => self.buf.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::NotConnected
                    ) =>
                {
                    break
                }
                Err(_) => ended = true,
            }
        }
        let mut at = 0;
        loop {
            match tally::answer(&self.buf[at..]) {
                Ok(None) => break,
                Ok(Some((answer, n))) => {
                    at += n;
                    let Some(call) = self.calls.pop_front() else {
                        // An answer that nobody asked for: whose the next ones are can't be told.
                        return self.end(now, true);
                    };
                    self.pause = PAUSES.0;
                    if !call.over {
                        let (outcome, total) = match answer {
                            Answer::Total(total) => (Outcome::Ok, total),
                            Answer::Busy => (Outcome::Rejected, 0.0),
                            Answer::Error => (Outcome::NotSent, 0.0),
                        };
                        self.tell(call.name, outcome, total);
                    }
                }
                Err(_) => return self.end(now, true),
            }
        }
        self.buf.drain(..at);
        if ended {
            // Between calls the service may close a connection; in the middle of one it has failed.
            let failed = !self.calls.is_empty();
            self.end(now, failed);
        }
    }

    /// Tells the calls whose time is over, and gives up a connection that says nothing any more.
    pub fn overdue(&mut self, now: Micros) {
        let (wait, mut over) = (self.wait, Vec::new());
        for call in self
            .calls
            .iter_mut()
            .take_while(|c| c.began + wait <= now)
            .filter(|c| !c.over)
        {
            call.over = true;
            over.push(call.name);
        }
        for name in over {
            // It may leave the kernel yet: even one that was not written is no longer known not to be added.
            self.tell(name, Outcome::TimedOut, 0.0);
        }
        if self
            .calls
            .front()
            .is_some_and(|c| c.began + DEAD * wait <= now)
        {
            self.end(now, true);
        }
    }

    /// Closes a connection that has long been idle.
    pub fn sweep(&mut self, now: Micros) {
        self.overdue(now);
        if self.calls.is_empty() && now > self.used_at + IDLE {
            self.end(now, false);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Counter, Micros, Outcome, Token, DEAD, IDLE, MOST_CALLS};
    use mio::{Events, Poll};
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream as Peer};
    use std::time::Duration;

    const WAIT: Micros = 30_000;

    /// A client and the service's side of it; time is the test's own.
    struct Line {
        poll: Poll,
        counter: Counter,
        listener: TcpListener,
        now: Micros,
    }

    impl Line {
        fn new() -> Line {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let counter = Counter::new(listener.local_addr().unwrap(), WAIT, Token(0));
            Line {
                poll: Poll::new().unwrap(),
                counter,
                listener,
                now: 1_000_000,
            }
        }

        fn call(&mut self, name: u64) {
            self.counter
                .call((name, 1.0, 1_000_000), self.now, self.poll.registry());
        }

        /// Turns the loop until so many calls have ended.
        fn ended(&mut self, count: usize) -> Vec<(u64, Outcome, f64)> {
            let mut events = Events::with_capacity(8);
            for _ in 0..2_000 {
                if self.counter.done.len() >= count {
                    break;
                }
                self.poll
                    .poll(&mut events, Some(Duration::from_millis(5)))
                    .unwrap();
                self.counter.ready(self.now);
            }
            self.counter
                .done
                .drain(..)
                .map(|c| (c.name, c.outcome, c.total))
                .collect()
        }

        /// Turns the loop until the service has read so many calls.
        fn read(&mut self, peer: &mut Peer, calls: usize) {
            peer.set_read_timeout(Some(Duration::from_millis(5)))
                .unwrap();
            let (mut all, mut chunk) = (Vec::new(), [0; 4096]);
            for _ in 0..2_000 {
                self.counter.ready(self.now);
                if let Ok(n) = peer.read(&mut chunk) {
                    all.extend_from_slice(&chunk[..n]);
                }
                if all.windows(5).filter(|w| w == b"TALLY").count() == calls
                    && all.ends_with(b"1000\r\n")
                {
                    return;
                }
            }
            panic!(
                "{calls} calls never came: {}",
                String::from_utf8_lossy(&all)
            );
        }
    }

    #[test]
    fn calls_on_one_connection_get_their_answers_in_order() {
        let mut line = Line::new();
        (1..=3).for_each(|n| line.call(n));
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 3);
        peer.write_all(b"$3\r\n7.5\r\n-BUSY\r\n-ERR no such call\r\n")
            .unwrap();
        let want = [
            (1, Outcome::Ok, 7.5),
            (2, Outcome::Rejected, 0.0),
            (3, Outcome::NotSent, 0.0),
        ];
        assert_eq!(line.ended(3), want);
    }

    /// Guards against giving the late answer of one call to the next.
    #[test]
    fn a_late_answer_is_nobody_elses() {
        let mut line = Line::new();
        line.call(1);
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 1);
        line.now += WAIT;
        line.counter.overdue(line.now);
        assert_eq!(
            line.ended(1),
            [(1, Outcome::TimedOut, 0.0)],
            "it may have been added"
        );
        line.call(2);
        line.read(&mut peer, 1);
        peer.write_all(b"$2\r\n11\r\n$2\r\n22\r\n").unwrap();
        assert_eq!(line.ended(1), [(2, Outcome::Ok, 22.0)]);
    }

    #[test]
    fn a_connection_that_breaks_leaves_open_what_was_written() {
        let mut line = Line::new();
        line.call(1);
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 1);
        drop(peer);
        assert_eq!(line.ended(1), [(1, Outcome::TimedOut, 0.0)]);
        // Nothing listens any more: nothing was added, and the next tries wait.
        let address = line.listener.local_addr().unwrap();
        drop(std::mem::replace(
            &mut line.listener,
            TcpListener::bind("127.0.0.1:0").unwrap(),
        ));
        line.now += SECOND;
        line.call(2);
        assert_eq!(line.ended(1), [(2, Outcome::ConnectFailed, 0.0)]);
        line.call(3);
        assert_eq!(line.ended(1), [(3, Outcome::ConnectFailed, 0.0)]);
        // Back again, it is used again.
        line.listener = TcpListener::bind(address).unwrap();
        line.now += SECOND;
        line.call(4);
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 1);
        peer.write_all(b"$1\r\n4\r\n").unwrap();
        assert_eq!(line.ended(1), [(4, Outcome::Ok, 4.0)]);
    }

    /// Guards against a line without an end behind a service that says nothing, and against waiting for one for ever.
    #[test]
    fn a_silent_service_holds_a_bounded_line_and_then_loses_its_connection() {
        let mut line = Line::new();
        (0..MOST_CALLS as u64 + 5).for_each(|n| line.call(n));
        assert_eq!(
            line.ended(5)
                .iter()
                .filter(|c| c.1 == Outcome::Rejected)
                .count(),
            5
        );
        line.now += WAIT;
        line.counter.overdue(line.now);
        assert_eq!(
            line.ended(MOST_CALLS).len(),
            MOST_CALLS,
            "each is told once"
        );
        line.call(1);
        assert_eq!(
            line.ended(1),
            [(1, Outcome::Rejected, 0.0)],
            "the line is as long as it was"
        );
        line.now += DEAD * WAIT;
        line.counter.overdue(line.now);
        assert_eq!(line.ended(0), []);
        line.now += SECOND;
        line.call(2);
        line.listener.accept().unwrap();
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 1);
        peer.write_all(b"$1\r\n1\r\n").unwrap();
        assert_eq!(line.ended(1), [(2, Outcome::Ok, 1.0)]);
    }

    #[test]
    fn an_idle_connection_is_closed_before_the_service_does_it() {
        let mut line = Line::new();
        line.call(1);
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 1);
        peer.write_all(b"$1\r\n1\r\n").unwrap();
        line.ended(1);
        line.now += IDLE + 1;
        line.counter.sweep(line.now);
        assert_eq!(peer.read(&mut [0; 8]).unwrap(), 0);
        line.call(2);
        let mut peer = line.listener.accept().unwrap().0;
        line.read(&mut peer, 1);
        peer.write_all(b"$1\r\n2\r\n").unwrap();
        assert_eq!(line.ended(1), [(2, Outcome::Ok, 2.0)]);
    }

    /// What is no answer ends the connection: whose the next ones are can no longer be told.
    #[test]
    fn what_nobody_asked_for_and_what_is_no_answer_end_the_connection() {
        for bad in [&b"$1\r\n1\r\n$1\r\n9\r\n"[..], b"+OK\r\n", b"$3\r\nabc\r\n"] {
            let mut line = Line::new();
            line.call(1);
            let mut peer = line.listener.accept().unwrap().0;
            line.read(&mut peer, 1);
            peer.write_all(bad).unwrap();
            line.ended(1);
            for _ in 0..200 {
                line.counter.ready(line.now);
                if line.counter.stream.is_none() {
                    break;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
            assert!(
                line.counter.stream.is_none(),
                "{:?}",
                String::from_utf8_lossy(bad)
            );
        }
    }

    const SECOND: Micros = 1_000_000;
}
