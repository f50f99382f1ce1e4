//! Tests of single components of the rig over plain sockets: they must do to the network what the scenario asks for.

use super::address;
use super::context::{decode_token, Component, Context, Due};
use super::counter::Counter;
use super::discovery::{AgentMode, Discovery, Line};
use super::peers::Peers;
use super::relays::Relays;
use crate::scenario::{CounterFault, Leg, LegFault, Micros, Scenario, SECOND};
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// How long a test waits for a condition before it fails.
const TIMEOUT: Duration = Duration::from_secs(20);
const LEG: (Leg, usize) = (Leg::Backends, 0);

/// One component with the poll and the timers that the rig provides.
struct Harness<P> {
    poll: Poll,
    context: Context,
    component: P,
    ready: fn(&mut P, Component, usize, &mut Context),
    due: fn(&mut P, Due, &mut Context),
}

impl<P> Harness<P> {
    /// Handles ready sockets and due timers once.
    fn poll_once(&mut self) {
        let mut events = Events::with_capacity(64);
        self.poll
            .poll(&mut events, Some(Duration::from_millis(1)))
            .unwrap();
        self.context.read_clock();
        for event in events.iter() {
            let (component, key) = decode_token(event.token());
            (self.ready)(&mut self.component, component, key, &mut self.context);
        }
        while let Some(due) = self.context.next_due(false) {
            (self.due)(&mut self.component, due, &mut self.context);
        }
    }

    /// Runs the component until `check` returns a value, and returns that value.
    fn wait_until<T>(&mut self, what: &str, mut check: impl FnMut(&mut P) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            self.poll_once();
            if let Some(value) = check(&mut self.component) {
                return value;
            }
            assert!(start.elapsed() < TIMEOUT, "{what}: not within {TIMEOUT:?}");
        }
    }

    /// Runs the component for at least 60 ms and 30 rounds, to check that something does not happen.
    fn run_briefly(&mut self) {
        let start = Instant::now();
        // Rounds count as well: if the machine has stalled, due timers are still handled.
        for rounds in 0.. {
            if rounds >= 30 && start.elapsed() >= Duration::from_millis(60) {
                break;
            }
            self.poll_once();
        }
    }
}

fn scenario(text: &str) -> Scenario {
    let text = format!(
        "version = 1\nabout = \"one component\"\nseed = 5\nlasts = \"1s\"\n[clients]\nrate = 1\naccounts = 1\n{text}\n\
         [[class]]\nname = \"quote\"\nshare = 1\nwork = \"1ms\"\naim = \"400ms\"\ndeadline = \"1s\"\nworth = 1\n\
         effect = \"safe\"\n[[plan]]\nname = \"business\"\nshare = 1\nrate = 1\nburst = 1\n\
         [[backends]]\ncount = 2\nmodel = \"m\"\nhall = \"hall-a\"\ncores = 1\n"
    );
    Scenario::parse("component", &text).unwrap_or_else(|found| panic!("{}", found[0]))
}

fn harness<P>(
    open: impl FnOnce(&mut Context) -> P,
    ready: fn(&mut P, Component, usize, &mut Context),
    due: fn(&mut P, Due, &mut Context),
) -> Harness<P> {
    let poll = Poll::new().unwrap();
    let mut context = Context::new(poll.registry().try_clone().unwrap());
    let component = open(&mut context);
    Harness {
        poll,
        context,
        component,
        ready,
        due,
    }
}

// ---- TCP relays ----

/// A relay, a client connected to it, and the accepted connection at the destination.
fn connect_through_relay() -> (Harness<Relays>, TcpStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = server.local_addr().unwrap();
    let mut front = None;
    let mut relay = harness(
        |context| {
            let mut relays = Relays::new();
            front = Some(relays.open(LEG, to, context).unwrap());
            relays
        },
        |relays, component, key, context| match component {
            Component::RelayListener => relays.accept(key, context),
            _ => relays.handle_ready(key, context),
        },
        |relays, due, context| {
            let Due::Relay(due) = due else {
                panic!("the event is not for a relay")
            };
            relays.handle_due(due, context);
        },
    );
    let near = TcpStream::connect(front.unwrap()).unwrap();
    server.set_nonblocking(true).unwrap();
    let far = relay
        .wait_until("the relay connects", |_| server.accept().ok())
        .0;
    for end in [&near, &far] {
        end.set_nonblocking(true).unwrap();
    }
    (relay, near, far)
}

/// Appends all available bytes to `into`. Returns `None` once the connection has ended.
fn read_available(stream: &mut TcpStream, into: &mut Vec<u8>) -> Option<()> {
    let mut buf = [0; 1024];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => return None,
            Ok(n) => into.extend_from_slice(&buf[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(()),
            Err(_) => return None,
        }
    }
}

fn fail(relay: &mut Harness<Relays>, fault: LegFault, lasts: Micros) {
    relay.component.fail(LEG, fault, lasts, &mut relay.context);
}

/// Guards against reordering: bytes received while a leg was slow were forwarded after bytes received once it had recovered, so a
/// reply of a backend arrived with its middle last.
#[test]
fn slow_leg_keeps_byte_order_when_it_recovers() {
    let (mut relay, mut near, mut far) = connect_through_relay();
    fail(&mut relay, LegFault::Slow(SECOND / 2), SECOND / 20);
    near.write_all(b"first ").unwrap();
    relay.wait_until("the leg recovers", |r| r.fault(LEG).is_none().then_some(()));
    near.write_all(b"second").unwrap();
    let mut received = Vec::new();
    relay.wait_until("all bytes arrive", |_| {
        read_available(&mut far, &mut received);
        (received.len() == 12).then_some(())
    });
    assert_eq!(received, b"first second");
}

/// Guards against a silent leg that forwards bytes, or delivers stale ones when it recovers.
#[test]
fn silent_leg_forwards_nothing_and_closes_connections_on_recovery() {
    let (mut relay, mut near, mut far) = connect_through_relay();
    fail(&mut relay, LegFault::Silent, SECOND / 5);
    near.write_all(b"lost").unwrap();
    let mut received = Vec::new();
    relay.wait_until("the connection ends", |_| {
        read_available(&mut far, &mut received)
            .is_none()
            .then_some(())
    });
    assert!(received.is_empty(), "{received:?} was forwarded");
    assert!(relay.component.fault(LEG).is_none());
}

#[test]
fn reset_leg_resets_existing_connections() {
    let (mut relay, mut near, mut far) = connect_through_relay();
    fail(&mut relay, LegFault::Reset, 60 * SECOND);
    let mut none = Vec::new();
    relay.wait_until("both ends are reset", |_| {
        let ended = read_available(&mut near, &mut none).is_none()
            && read_available(&mut far, &mut none).is_none();
        ended.then_some(())
    });
    let front = near.peer_addr();
    assert!(
        front.is_err() || near.write_all(b"x").is_err(),
        "the connection is still open"
    );
}

#[test]
fn leg_without_fault_forwards_both_ways_and_closes_both_ends() {
    let (mut relay, mut near, mut far) = connect_through_relay();
    near.write_all(b"there").unwrap();
    let (mut there, mut back) = (Vec::new(), Vec::new());
    relay.wait_until("the bytes arrive", |_| {
        read_available(&mut far, &mut there);
        (there == b"there").then_some(())
    });
    far.write_all(b"back").unwrap();
    drop(far);
    relay.wait_until("the close arrives", |_| {
        read_available(&mut near, &mut back).is_none().then_some(())
    });
    assert_eq!(back, b"back");
}

// ---- The peers' relay ----

struct PeerPair {
    net: Harness<Peers>,
    ends: Vec<UdpSocket>,
    /// For each side: the address of the other one, and the address of all peers.
    to: Vec<(SocketAddr, SocketAddr)>,
}

impl PeerPair {
    fn open(network: &str) -> PeerPair {
        let s = scenario(&format!("[ingresses]\ncount = 2\n[network]\n{network}"));
        let net = harness(
            |context| Peers::open(&s, context).unwrap(),
            |peers, _, key, context| peers.handle_ready(key, context),
            |peers, due, context| {
                let Due::Peer(due) = due else {
                    panic!("the event is not for the peers")
                };
                peers.handle_due(due, context);
            },
        );
        let seen = |me: usize| net.component.addresses(me).unwrap();
        let ends = (0..2).map(|me| {
            let end = UdpSocket::bind(seen(me).0).unwrap();
            end.set_nonblocking(true).unwrap();
            end
        });
        let ends = ends.collect();
        let to = (0..2).map(|me| (seen(me).1[1 - me], seen(me).2)).collect();
        PeerPair { net, ends, to }
    }

    /// Sends numbered messages from one side to the other, and returns the numbers received.
    fn pass(&mut self, from: usize, count: u8) -> Vec<u8> {
        let mut received = Vec::new();
        for n in 0..count {
            self.ends[from].send_to(&[n], self.to[from].0).unwrap();
            let sent = self.net.component.sent + 1;
            self.net.wait_until("the relay receives the message", |p| {
                (p.sent >= sent).then_some(())
            });
            self.receive(1 - from, &mut received);
        }
        self.net.run_briefly();
        self.receive(1 - from, &mut received);
        received
    }

    fn receive(&self, at: usize, received: &mut Vec<u8>) {
        let mut buf = [0; 512];
        while let Ok((n, from)) = self.ends[at].recv_from(&mut buf) {
            assert_eq!(
                from, self.to[at].0,
                "the message is not from the address that the receiver has for the sender"
            );
            received.extend_from_slice(&buf[..n.min(1)]);
        }
    }
}

#[test]
fn network_without_faults_delivers_each_message_once() {
    let mut pair = PeerPair::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    let all: Vec<u8> = (0..20).collect();
    assert_eq!(pair.pass(0, 20), all);
    assert_eq!(pair.pass(1, 20), all);
}

/// Guards against a partition that lets messages through, or never ends.
#[test]
fn partition_drops_all_messages_until_it_ends() {
    let mut pair = PeerPair::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    pair.net.component.split(SECOND / 2, &mut pair.net.context);
    assert!(pair.pass(0, 5).is_empty());
    let mut received = Vec::new();
    let start = Instant::now();
    while received.is_empty() {
        assert!(start.elapsed() < TIMEOUT, "the partition did not end");
        received = pair.pass(0, 1);
    }
}

#[test]
fn lossy_network_drops_or_repeats_all_messages_at_probability_one() {
    let mut pair = PeerPair::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    pair.net
        .component
        .lossy((1.0, 0.0, 0), 60 * SECOND, &mut pair.net.context);
    assert!(pair.pass(0, 10).is_empty());
    pair.net
        .component
        .lossy((0.0, 1.0, 0), 60 * SECOND, &mut pair.net.context);
    let mut twice = pair.pass(0, 10);
    twice.sort_unstable();
    assert_eq!(twice, (0..10).flat_map(|n| [n, n]).collect::<Vec<u8>>());
}

/// Guards against relaying messages that are longer than an ingress may send.
#[test]
fn oversized_message_is_counted_and_truncated() {
    let mut pair = PeerPair::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    pair.ends[0].send_to(&[7; 300], pair.to[0].1).unwrap();
    pair.net.wait_until("the relay receives the message", |p| {
        (p.too_long == 1).then_some(())
    });
    let mut buf = [0; 512];
    let end = pair.ends[1].try_clone().unwrap();
    assert_eq!(
        pair.net
            .wait_until("the message arrives", |_| end.recv_from(&mut buf).ok())
            .0,
        256
    );
}

// ---- Discovery ----

struct DiscoveryClient {
    agent: Harness<Discovery>,
    stream: TcpStream,
}

fn line(ident: usize, status: &'static str) -> Line {
    let addresses = vec![SocketAddr::new(address::own(), 4000)];
    let (name, hall, model) = (format!("s-{ident}"), "hall-a".into(), "m".into());
    Line {
        ident,
        name,
        hall,
        model,
        pod: 0,
        status,
        started: 0,
        weight: 1.0,
        addresses,
    }
}

impl DiscoveryClient {
    fn open() -> DiscoveryClient {
        let s = scenario("[ingresses]\ncount = 1");
        let agent = harness(
            |context| Discovery::open(&s, vec![line(0, "up"), line(1, "up")], context).unwrap(),
            |agents, component, key, context| match component {
                Component::DiscoveryListener => agents.accept(key, context),
                _ => agents.handle_ready(key, context),
            },
            |agents, due, context| {
                let Due::Discovery(due) = due else {
                    panic!("the event is not for discovery")
                };
                agents.handle_due(due, context);
            },
        );
        let stream = TcpStream::connect(agent.component.address(0)).unwrap();
        stream.set_nonblocking(true).unwrap();
        DiscoveryClient { agent, stream }
    }

    fn ask(&mut self, query: &str) {
        let call = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: a\r\n\r\n");
        self.stream.write_all(call.as_bytes()).unwrap();
    }

    /// Waits for the next reply: its index, and the name and status of each endpoint.
    fn answer(&mut self) -> (u64, Vec<String>) {
        let (mut received, stream) = (Vec::new(), &mut self.stream);
        let body = self.agent.wait_until("a reply arrives", |_| {
            read_available(stream, &mut received);
            let text = String::from_utf8(received.clone()).unwrap();
            let (head, body) = text.split_once("\r\n\r\n")?;
            let length = head
                .split("Content-Length: ")
                .nth(1)?
                .parse::<usize>()
                .ok()?;
            (body.len() == length).then(|| body.to_string())
        });
        let body: serde_json::Value = serde_json::from_str(&body).unwrap();
        let list = body["endpoints"].as_array().unwrap().iter();
        let list = list.map(|e| {
            format!(
                "{} {}",
                e["name"].as_str().unwrap(),
                e["status"].as_str().unwrap()
            )
        });
        (body["index"].as_u64().unwrap(), list.collect())
    }

    fn assert_quiet(&mut self) {
        self.agent.run_briefly();
        let mut received = Vec::new();
        let open = read_available(&mut self.stream, &mut received);
        assert!(
            open.is_some() && received.is_empty(),
            "bytes arrived or the connection ended"
        );
    }
}

#[test]
fn watch_waits_for_the_next_change_and_returns_only_that() {
    let mut client = DiscoveryClient::open();
    client.ask("");
    assert_eq!(client.answer(), (2, vec!["s-0 up".into(), "s-1 up".into()]));
    client.ask("?since=2&timeout_ms=60000");
    client.assert_quiet();
    client
        .agent
        .component
        .change(line(1, "draining"), &mut client.agent.context);
    assert_eq!(client.answer(), (3, vec!["s-1 draining".into()]));
}

/// Guards against a watch that ends with the timeout of an earlier watch: it would get an empty reply too early.
#[test]
fn watch_does_not_end_with_the_timeout_of_an_earlier_one() {
    let mut client = DiscoveryClient::open();
    client.ask("?since=2&timeout_ms=700");
    client.assert_quiet();
    client
        .agent
        .component
        .change(line(0, "draining"), &mut client.agent.context);
    assert_eq!(client.answer().0, 3);
    let first_timeout = client.agent.context.now + SECOND;
    client.ask("?since=3&timeout_ms=60000");
    while client.agent.context.now < first_timeout {
        client.agent.poll_once();
    }
    client.assert_quiet();
}

#[test]
fn silent_agent_replies_to_earlier_requests_on_recovery() {
    let mut client = DiscoveryClient::open();
    client
        .agent
        .component
        .fail(0, AgentMode::Silent, SECOND / 4, &mut client.agent.context);
    client.ask("");
    client.assert_quiet();
    assert_eq!(client.answer().0, 2);
}

#[test]
fn gone_agent_closes_connections_and_returns_at_the_same_address() {
    let mut client = DiscoveryClient::open();
    client.ask("");
    client.answer();
    let at = client.agent.component.address(0);
    client
        .agent
        .component
        .fail(0, AgentMode::Gone, SECOND / 4, &mut client.agent.context);
    let (mut none, stream) = (Vec::new(), &mut client.stream);
    client.agent.wait_until("the connection ends", |_| {
        read_available(stream, &mut none).is_none().then_some(())
    });
    client.stream = client
        .agent
        .wait_until("the agent accepts connections again", |_| {
            TcpStream::connect(at).ok()
        });
    client.stream.set_nonblocking(true).unwrap();
    client.ask("");
    assert_eq!(client.answer().0, 2);
}

// ---- The count service ----

/// The count service, and a client connected to it.
fn count_service(delay: &str) -> (Harness<Counter>, TcpStream) {
    let s = scenario(&format!(
        "[network]\ncounter = [{delay}]\n[ingresses]\ncount = 2"
    ));
    let counter = harness(
        |context| {
            Counter::open(&s, context)
                .unwrap()
                .expect("the scenario has a count service")
        },
        |counter, component, key, context| match component {
            Component::CounterListener => counter.accept(key, context),
            _ => counter.handle_ready(key, context),
        },
        |counter, due, context| {
            let Due::Counter(due) = due else {
                panic!("the event is not for the count service")
            };
            counter.handle_due(due, context).unwrap();
        },
    );
    let client = connected(&counter);
    (counter, client)
}

fn connected(counter: &Harness<Counter>) -> TcpStream {
    let client = TcpStream::connect(counter.component.address(1)).unwrap();
    client.set_nonblocking(true).unwrap();
    client
}

fn add(client: &mut TcpStream, amount: &str) {
    let call = format!(
        "*4\r\n$5\r\nTALLY\r\n$1\r\na\r\n${}\r\n{amount}\r\n$4\r\n9000\r\n",
        amount.len()
    );
    client.write_all(call.as_bytes()).unwrap();
}

fn expect_reply(counter: &mut Harness<Counter>, client: &mut TcpStream, expected: &str) {
    let mut received = Vec::new();
    counter.wait_until(expected, |_| {
        read_available(client, &mut received);
        (received.len() >= expected.len()).then_some(())
    });
    assert_eq!(String::from_utf8_lossy(&received), expected);
}

fn fault(counter: &mut Harness<Counter>, fault: CounterFault, lasts: Micros) {
    counter.component.fail(fault, lasts, &mut counter.context);
}

/// Guards against a silent stand-in that drops calls: it must add them at once and reply on recovery.
#[test]
fn silent_count_service_adds_and_replies_late_in_order() {
    let (mut counter, mut client) = count_service("\"0ms\", \"1ms\"");
    add(&mut client, "2");
    expect_reply(&mut counter, &mut client, "$1\r\n2\r\n");
    fault(&mut counter, CounterFault::Silent, SECOND / 10);
    add(&mut client, "3");
    counter.wait_until("the call is added", |c| (c.unanswered == 1).then_some(()));
    add(&mut client, "4");
    expect_reply(&mut counter, &mut client, "$1\r\n5\r\n$1\r\n9\r\n");
    assert_eq!(counter.component.added, 3);
}

#[test]
fn busy_count_service_adds_nothing_and_a_gone_one_loses_its_counters() {
    let (mut counter, mut client) = count_service("\"0ms\", \"1ms\"");
    add(&mut client, "2");
    expect_reply(&mut counter, &mut client, "$1\r\n2\r\n");
    fault(&mut counter, CounterFault::Busy, 20 * SECOND);
    add(&mut client, "2");
    expect_reply(&mut counter, &mut client, "-BUSY\r\n");
    fault(&mut counter, CounterFault::Gone, SECOND / 10);
    counter.wait_until("the connection ends", |_| {
        read_available(&mut client, &mut Vec::new())
            .is_none()
            .then_some(())
    });
    assert!(
        TcpStream::connect(counter.component.address(1)).is_err(),
        "the count service still accepts connections"
    );
    let at = counter.component.address(1);
    let mut client = counter.wait_until("the count service accepts connections again", |_| {
        TcpStream::connect(at).ok()
    });
    client.set_nonblocking(true).unwrap();
    add(&mut client, "1");
    expect_reply(&mut counter, &mut client, "$1\r\n1\r\n");
}
