//! The client of the count service against a service on a socket; time is the test's own.

use super::{CountCall, CounterClient, DEAD_AFTER_TIMEOUTS, IDLE_TIMEOUT, MAX_CALLS};
use mio::{Events, Poll, Token};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as Peer};
use std::time::Duration;
use wrenfork_decision::{Micros, Outcome};

const WAIT: Micros = 30_000;
const SECOND: Micros = 1_000_000;

/// A client and the service's side of it; time is the test's own.
struct Service {
    poll: Poll,
    counter: CounterClient,
    listener: TcpListener,
    now: Micros,
}

impl Service {
    fn new() -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let counter = CounterClient::new(listener.local_addr().unwrap(), WAIT, Token(0));
        Service {
            poll: Poll::new().unwrap(),
            counter,
            listener,
            now: 1_000_000,
        }
    }

    fn call(&mut self, name: u64) {
        let call = CountCall {
            name,
            amount: 1.0,
            lifetime: 1_000_000,
        };
        self.counter.call(call, self.now, self.poll.registry());
    }

    /// Turns the loop until so many calls have ended.
    fn ended(&mut self, count: usize) -> Vec<(u64, Outcome, f64)> {
        let mut events = Events::with_capacity(8);
        for _ in 0..2_000 {
            if self.counter.results.len() >= count {
                break;
            }
            self.poll
                .poll(&mut events, Some(Duration::from_millis(5)))
                .unwrap();
            self.counter.ready(self.now);
        }
        self.counter
            .results
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
    let mut service = Service::new();
    (1..=3).for_each(|n| service.call(n));
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 3);
    peer.write_all(b"$3\r\n7.5\r\n-BUSY\r\n-ERR no such call\r\n")
        .unwrap();
    let want = [
        (1, Outcome::Ok, 7.5),
        (2, Outcome::Rejected, 0.0),
        (3, Outcome::NotSent, 0.0),
    ];
    assert_eq!(service.ended(3), want);
}

/// Guards against giving the late answer of one call to the next.
#[test]
fn a_late_answer_is_nobody_elses() {
    let mut service = Service::new();
    service.call(1);
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 1);
    service.now += WAIT;
    service.counter.time_out(service.now);
    assert_eq!(
        service.ended(1),
        [(1, Outcome::TimedOut, 0.0)],
        "it may have been added"
    );
    service.call(2);
    service.read(&mut peer, 1);
    peer.write_all(b"$2\r\n11\r\n$2\r\n22\r\n").unwrap();
    assert_eq!(service.ended(1), [(2, Outcome::Ok, 22.0)]);
}

#[test]
fn a_connection_that_breaks_leaves_open_what_was_written() {
    let mut service = Service::new();
    service.call(1);
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 1);
    drop(peer);
    assert_eq!(service.ended(1), [(1, Outcome::TimedOut, 0.0)]);
    // Nothing listens any more: nothing was added, and the next tries wait.
    let address = service.listener.local_addr().unwrap();
    drop(std::mem::replace(
        &mut service.listener,
        TcpListener::bind("127.0.0.1:0").unwrap(),
    ));
    service.now += SECOND;
    service.call(2);
    assert_eq!(service.ended(1), [(2, Outcome::ConnectFailed, 0.0)]);
    service.call(3);
    assert_eq!(service.ended(1), [(3, Outcome::ConnectFailed, 0.0)]);
    // Back again, it is used again.
    service.listener = TcpListener::bind(address).unwrap();
    service.now += SECOND;
    service.call(4);
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 1);
    peer.write_all(b"$1\r\n4\r\n").unwrap();
    assert_eq!(service.ended(1), [(4, Outcome::Ok, 4.0)]);
}

/// Guards against a queue without an end behind a service that says nothing, and against waiting for one for ever.
#[test]
fn a_silent_service_holds_a_bounded_queue_and_then_loses_its_connection() {
    let mut service = Service::new();
    (0..MAX_CALLS as u64 + 5).for_each(|n| service.call(n));
    assert_eq!(
        service
            .ended(5)
            .iter()
            .filter(|c| c.1 == Outcome::Rejected)
            .count(),
        5
    );
    service.now += WAIT;
    service.counter.time_out(service.now);
    assert_eq!(
        service.ended(MAX_CALLS).len(),
        MAX_CALLS,
        "each is told once"
    );
    service.call(1);
    assert_eq!(
        service.ended(1),
        [(1, Outcome::Rejected, 0.0)],
        "the queue is as long as it was"
    );
    service.now += DEAD_AFTER_TIMEOUTS * WAIT;
    service.counter.time_out(service.now);
    assert_eq!(service.ended(0), []);
    service.now += SECOND;
    service.call(2);
    service.listener.accept().unwrap();
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 1);
    peer.write_all(b"$1\r\n1\r\n").unwrap();
    assert_eq!(service.ended(1), [(2, Outcome::Ok, 1.0)]);
}

#[test]
fn an_idle_connection_is_closed_before_the_service_does_it() {
    let mut service = Service::new();
    service.call(1);
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 1);
    peer.write_all(b"$1\r\n1\r\n").unwrap();
    service.ended(1);
    service.now += IDLE_TIMEOUT + 1;
    service.counter.sweep(service.now);
    assert_eq!(peer.read(&mut [0; 8]).unwrap(), 0);
    service.call(2);
    let mut peer = service.listener.accept().unwrap().0;
    service.read(&mut peer, 1);
    peer.write_all(b"$1\r\n2\r\n").unwrap();
    assert_eq!(service.ended(1), [(2, Outcome::Ok, 2.0)]);
}

/// What is no answer ends the connection: whose the next ones are can no longer be told.
#[test]
fn what_nobody_asked_for_and_what_is_no_answer_end_the_connection() {
    for bad in [&b"$1\r\n1\r\n$1\r\n9\r\n"[..], b"+OK\r\n", b"$3\r\nabc\r\n"] {
        let mut service = Service::new();
        service.call(1);
        let mut peer = service.listener.accept().unwrap().0;
        service.read(&mut peer, 1);
        peer.write_all(bad).unwrap();
        service.ended(1);
        for _ in 0..200 {
            service.counter.ready(service.now);
            if service.counter.stream.is_none() {
                break;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(
            service.counter.stream.is_none(),
            "{:?}",
            String::from_utf8_lossy(bad)
        );
    }
}
