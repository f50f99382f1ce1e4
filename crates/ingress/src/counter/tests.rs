//! The client of the count service against a stand-in service on a local socket, with simulated time.

use super::{CountCall, CounterClient, DEAD_AFTER_TIMEOUTS, IDLE_TIMEOUT, MAX_CALLS};
use mio::{Events, Poll, Token};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream as Peer};
use std::time::Duration;
use wrenfork_decision::{Micros, Outcome};

const TIMEOUT: Micros = 30_000;
const SECOND: Micros = 1_000_000;

/// A client connected to a stand-in service, with a simulated clock.
struct TestService {
    poll: Poll,
    counter: CounterClient,
    listener: TcpListener,
    now: Micros,
}

impl TestService {
    fn new() -> TestService {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let counter = CounterClient::new(listener.local_addr().unwrap(), TIMEOUT, Token(0));
        TestService {
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

    /// Polls until `count` calls have ended, and returns their results.
    fn results(&mut self, count: usize) -> Vec<(u64, Outcome, f64)> {
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

    /// Polls until the service has received `count` calls.
    fn receive_calls(&mut self, peer: &mut Peer, count: usize) {
        peer.set_read_timeout(Some(Duration::from_millis(5)))
            .unwrap();
        let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
        for _ in 0..2_000 {
            self.counter.ready(self.now);
            if let Ok(n) = peer.read(&mut chunk) {
                received.extend_from_slice(&chunk[..n]);
            }
            if received.windows(5).filter(|w| w == b"TALLY").count() == count
                && received.ends_with(b"1000\r\n")
            {
                return;
            }
        }
        panic!(
            "expected {count} calls, received: {}",
            String::from_utf8_lossy(&received)
        );
    }
}

#[test]
fn pipelined_calls_get_answers_in_order() {
    let mut service = TestService::new();
    (1..=3).for_each(|n| service.call(n));
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 3);
    peer.write_all(b"$3\r\n7.5\r\n-BUSY\r\n-ERR no such call\r\n")
        .unwrap();
    let expected = [
        (1, Outcome::Ok, 7.5),
        (2, Outcome::Rejected, 0.0),
        (3, Outcome::NotSent, 0.0),
    ];
    assert_eq!(service.results(3), expected);
}

/// Guards against taking the late answer to a timed-out call for the answer to the next call.
#[test]
fn late_answer_is_not_given_to_next_call() {
    let mut service = TestService::new();
    service.call(1);
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 1);
    service.now += TIMEOUT;
    service.counter.time_out(service.now);
    assert_eq!(
        service.results(1),
        [(1, Outcome::TimedOut, 0.0)],
        "a timed-out call may have been counted"
    );
    service.call(2);
    service.receive_calls(&mut peer, 1);
    peer.write_all(b"$2\r\n11\r\n$2\r\n22\r\n").unwrap();
    assert_eq!(service.results(1), [(2, Outcome::Ok, 22.0)]);
}

#[test]
fn broken_connection_reports_written_calls_as_timed_out() {
    let mut service = TestService::new();
    service.call(1);
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 1);
    drop(peer);
    assert_eq!(service.results(1), [(1, Outcome::TimedOut, 0.0)]);
    // Nothing listens at the address: the calls fail to connect, and the next attempts wait for the backoff.
    let address = service.listener.local_addr().unwrap();
    drop(std::mem::replace(
        &mut service.listener,
        TcpListener::bind("127.0.0.1:0").unwrap(),
    ));
    service.now += SECOND;
    service.call(2);
    assert_eq!(service.results(1), [(2, Outcome::ConnectFailed, 0.0)]);
    service.call(3);
    assert_eq!(service.results(1), [(3, Outcome::ConnectFailed, 0.0)]);
    // Once the service listens again, the client reconnects.
    service.listener = TcpListener::bind(address).unwrap();
    service.now += SECOND;
    service.call(4);
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 1);
    peer.write_all(b"$1\r\n4\r\n").unwrap();
    assert_eq!(service.results(1), [(4, Outcome::Ok, 4.0)]);
}

/// Guards against an unbounded queue and an endless wait when the service stops answering.
#[test]
fn silent_service_has_bounded_queue_and_is_disconnected() {
    let mut service = TestService::new();
    (0..MAX_CALLS as u64 + 5).for_each(|n| service.call(n));
    assert_eq!(
        service
            .results(5)
            .iter()
            .filter(|c| c.1 == Outcome::Rejected)
            .count(),
        5
    );
    service.now += TIMEOUT;
    service.counter.time_out(service.now);
    assert_eq!(
        service.results(MAX_CALLS).len(),
        MAX_CALLS,
        "each call is reported exactly once"
    );
    service.call(1);
    assert_eq!(
        service.results(1),
        [(1, Outcome::Rejected, 0.0)],
        "timed-out calls still occupy the queue"
    );
    service.now += DEAD_AFTER_TIMEOUTS * TIMEOUT;
    service.counter.time_out(service.now);
    assert_eq!(service.results(0), []);
    service.now += SECOND;
    service.call(2);
    service.listener.accept().unwrap();
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 1);
    peer.write_all(b"$1\r\n1\r\n").unwrap();
    assert_eq!(service.results(1), [(2, Outcome::Ok, 1.0)]);
}

#[test]
fn client_closes_idle_connection_first() {
    let mut service = TestService::new();
    service.call(1);
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 1);
    peer.write_all(b"$1\r\n1\r\n").unwrap();
    service.results(1);
    service.now += IDLE_TIMEOUT + 1;
    service.counter.sweep(service.now);
    assert_eq!(peer.read(&mut [0; 8]).unwrap(), 0);
    service.call(2);
    let mut peer = service.listener.accept().unwrap().0;
    service.receive_calls(&mut peer, 1);
    peer.write_all(b"$1\r\n2\r\n").unwrap();
    assert_eq!(service.results(1), [(2, Outcome::Ok, 2.0)]);
}

/// After invalid bytes or a surplus answer, later answers cannot be matched to calls, so the connection must be closed.
#[test]
fn surplus_or_invalid_answer_closes_connection() {
    for invalid in [&b"$1\r\n1\r\n$1\r\n9\r\n"[..], b"+OK\r\n", b"$3\r\nabc\r\n"] {
        let mut service = TestService::new();
        service.call(1);
        let mut peer = service.listener.accept().unwrap().0;
        service.receive_calls(&mut peer, 1);
        peer.write_all(invalid).unwrap();
        service.results(1);
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
            String::from_utf8_lossy(invalid)
        );
    }
}
