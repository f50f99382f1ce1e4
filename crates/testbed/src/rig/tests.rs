//! The rig's own parts, each alone between plain sockets: what a scenario says of the network must be what its parts do.

use super::address;
use super::context::{owner, Context, Due, Part};
use super::counter::Counter;
use super::discovery::{AgentMode, Discovery, Line};
use super::peers::Peers;
use super::relays::Relays;
use crate::scenario::{CounterFault, Leg, LegFault, Micros, Scenario, SECOND};
use mio::{Events, Poll};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

/// How long a condition is waited for before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);
const LEG: (Leg, usize) = (Leg::Backends, 0);

/// One part with the poll and the timers that the rig gives it.
struct Alone<P> {
    poll: Poll,
    context: Context,
    part: P,
    ready: fn(&mut P, Part, usize, &mut Context),
    due: fn(&mut P, Due, &mut Context),
}

impl<P> Alone<P> {
    fn turn(&mut self) {
        let mut events = Events::with_capacity(64);
        self.poll
            .poll(&mut events, Some(Duration::from_millis(1)))
            .unwrap();
        self.context.read_clock();
        for event in events.iter() {
            let (part, key) = owner(event.token());
            (self.ready)(&mut self.part, part, key, &mut self.context);
        }
        while let Some(due) = self.context.take(false) {
            (self.due)(&mut self.part, due, &mut self.context);
        }
    }

    /// Turns until something shows.
    fn until<T>(&mut self, what: &str, mut shows: impl FnMut(&mut P) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            self.turn();
            if let Some(shown) = shows(&mut self.part) {
                return shown;
            }
            assert!(
                start.elapsed() < PATIENCE,
                "{what}: not within {PATIENCE:?}"
            );
        }
    }

    /// Turns for a while, for what must not show.
    fn for_a_while(&mut self) {
        let start = Instant::now();
        // Turns count as well: after a stand-still of the machine what is due is still carried out.
        for turns in 0.. {
            if turns >= 30 && start.elapsed() >= Duration::from_millis(60) {
                break;
            }
            self.turn();
        }
    }
}

fn scenario(text: &str) -> Scenario {
    let text = format!(
        "version = 1\nabout = \"one part\"\nseed = 5\nlasts = \"1s\"\n[clients]\nrate = 1\naccounts = 1\n{text}\n\
         [[class]]\nname = \"quote\"\nshare = 1\nwork = \"1ms\"\naim = \"400ms\"\ndeadline = \"1s\"\nworth = 1\n\
         effect = \"safe\"\n[[plan]]\nname = \"business\"\nshare = 1\nrate = 1\nburst = 1\n\
         [[backends]]\ncount = 2\nmodel = \"m\"\nhall = \"hall-a\"\ncores = 1\n"
    );
    Scenario::parse("part", &text).unwrap_or_else(|found| panic!("{}", found[0]))
}

fn alone<P>(
    open: impl FnOnce(&mut Context) -> P,
    ready: fn(&mut P, Part, usize, &mut Context),
    due: fn(&mut P, Due, &mut Context),
) -> Alone<P> {
    let poll = Poll::new().unwrap();
    let mut context = Context::new(poll.registry().try_clone().unwrap());
    let part = open(&mut context);
    Alone {
        poll,
        context,
        part,
        ready,
        due,
    }
}

// ---- TCP relays ----

/// A relay, a client that has come to it, and the side that it leads to.
fn relayed() -> (Alone<Relays>, TcpStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = server.local_addr().unwrap();
    let mut front = None;
    let mut relay = alone(
        |context| {
            let mut relays = Relays::new();
            front = Some(relays.open(LEG, to, context).unwrap());
            relays
        },
        |relays, part, key, context| match part {
            Part::RelayListener => relays.accept(key, context),
            _ => relays.ready(key, context),
        },
        |relays, due, context| {
            let Due::Relay(due) = due else {
                panic!("not a relay's")
            };
            relays.due(due, context);
        },
    );
    let near = TcpStream::connect(front.unwrap()).unwrap();
    server.set_nonblocking(true).unwrap();
    let far = relay
        .until("the relay connects", |_| server.accept().ok())
        .0;
    for end in [&near, &far] {
        end.set_nonblocking(true).unwrap();
    }
    (relay, near, far)
}

/// What has come so far; none once the connection is over.
fn take(stream: &mut TcpStream, into: &mut Vec<u8>) -> Option<()> {
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

fn fail(relay: &mut Alone<Relays>, fault: LegFault, lasts: Micros) {
    relay.part.fail(LEG, fault, lasts, &mut relay.context);
}

/// Guards against bytes that overtake others: what came while a leg was slow was passed on after what came once it was
/// well again, and a backend's answer arrived with its middle last.
#[test]
fn a_slow_leg_keeps_the_order_of_bytes_when_it_gets_well() {
    let (mut relay, mut near, mut far) = relayed();
    fail(&mut relay, LegFault::Slow(SECOND / 2), SECOND / 20);
    near.write_all(b"first ").unwrap();
    relay.until("the leg gets well", |r| {
        r.fault(LEG).is_none().then_some(())
    });
    near.write_all(b"second").unwrap();
    let mut came = Vec::new();
    relay.until("all arrives", |_| {
        take(&mut far, &mut came);
        (came.len() == 12).then_some(())
    });
    assert_eq!(came, b"first second");
}

/// Guards against a leg that is called silent and passes bytes, or hands over old ones when it is back.
#[test]
fn a_silent_leg_passes_nothing_and_ends_when_it_is_back() {
    let (mut relay, mut near, mut far) = relayed();
    fail(&mut relay, LegFault::Silent, SECOND / 5);
    near.write_all(b"lost").unwrap();
    let mut came = Vec::new();
    relay.until("the connection ends", |_| {
        take(&mut far, &mut came).is_none().then_some(())
    });
    assert!(came.is_empty(), "{came:?} passed");
    assert!(relay.part.fault(LEG).is_none());
}

#[test]
fn a_reset_leg_ends_what_there_is_and_lets_nobody_in() {
    let (mut relay, mut near, mut far) = relayed();
    fail(&mut relay, LegFault::Reset, 60 * SECOND);
    let mut none = Vec::new();
    relay.until("both ends are reset", |_| {
        let over = take(&mut near, &mut none).is_none() && take(&mut far, &mut none).is_none();
        over.then_some(())
    });
    let front = near.peer_addr();
    assert!(
        front.is_err() || near.write_all(b"x").is_err(),
        "the connection lives"
    );
}

#[test]
fn a_well_leg_passes_both_ways_and_ends_both_ends() {
    let (mut relay, mut near, mut far) = relayed();
    near.write_all(b"there").unwrap();
    let (mut there, mut back) = (Vec::new(), Vec::new());
    relay.until("it arrives", |_| {
        take(&mut far, &mut there);
        (there == b"there").then_some(())
    });
    far.write_all(b"back").unwrap();
    drop(far);
    relay.until("the end arrives", |_| {
        take(&mut near, &mut back).is_none().then_some(())
    });
    assert_eq!(back, b"back");
}

// ---- The peers' relay ----

struct Two {
    net: Alone<Peers>,
    ends: Vec<UdpSocket>,
    /// How each sees the other, and all others.
    to: Vec<(SocketAddr, SocketAddr)>,
}

impl Two {
    fn open(network: &str) -> Two {
        let s = scenario(&format!("[ingresses]\ncount = 2\n[network]\n{network}"));
        let net = alone(
            |context| Peers::open(&s, context).unwrap(),
            |peers, _, key, context| peers.ready(key, context),
            |peers, due, context| {
                let Due::Peer(due) = due else {
                    panic!("not the peers'")
                };
                peers.due(due, context);
            },
        );
        let seen = |me: usize| net.part.addresses(me).unwrap();
        let ends = (0..2).map(|me| {
            let end = UdpSocket::bind(seen(me).0).unwrap();
            end.set_nonblocking(true).unwrap();
            end
        });
        let ends = ends.collect();
        let to = (0..2).map(|me| (seen(me).1[1 - me], seen(me).2)).collect();
        Two { net, ends, to }
    }

    /// Sends numbered messages from one to the other, and tells what has come once all have passed the relay.
    fn pass(&mut self, from: usize, count: u8) -> Vec<u8> {
        let mut came = Vec::new();
        for n in 0..count {
            self.ends[from].send_to(&[n], self.to[from].0).unwrap();
            let sent = self.net.part.sent + 1;
            self.net
                .until("the relay takes it", |p| (p.sent >= sent).then_some(()));
            self.hear(1 - from, &mut came);
        }
        self.net.for_a_while();
        self.hear(1 - from, &mut came);
        came
    }

    fn hear(&self, at: usize, came: &mut Vec<u8>) {
        let mut buf = [0; 512];
        while let Ok((n, from)) = self.ends[at].recv_from(&mut buf) {
            assert_eq!(
                from, self.to[at].0,
                "it comes from where the receiver sees the sender"
            );
            came.extend_from_slice(&buf[..n.min(1)]);
        }
    }
}

#[test]
fn messages_of_a_calm_network_all_arrive_once() {
    let mut two = Two::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    let all: Vec<u8> = (0..20).collect();
    assert_eq!(two.pass(0, 20), all);
    assert_eq!(two.pass(1, 20), all);
}

/// Guards against a split that still lets messages through, or never ends.
#[test]
fn a_split_lets_nothing_through_until_it_is_over() {
    let mut two = Two::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    two.net.part.split(SECOND / 2, &mut two.net.context);
    assert!(two.pass(0, 5).is_empty());
    let mut came = Vec::new();
    let start = Instant::now();
    while came.is_empty() {
        assert!(start.elapsed() < PATIENCE, "the split never ends");
        came = two.pass(0, 1);
    }
}

#[test]
fn a_lossy_network_loses_all_and_repeats_all_when_told_so() {
    let mut two = Two::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    two.net
        .part
        .lossy((1.0, 0.0, 0), 60 * SECOND, &mut two.net.context);
    assert!(two.pass(0, 10).is_empty());
    two.net
        .part
        .lossy((0.0, 1.0, 0), 60 * SECOND, &mut two.net.context);
    let mut twice = two.pass(0, 10);
    twice.sort_unstable();
    assert_eq!(twice, (0..10).flat_map(|n| [n, n]).collect::<Vec<u8>>());
}

/// Guards against a relay that carries what an ingress may not send.
#[test]
fn a_message_over_the_bound_is_counted_and_cut() {
    let mut two = Two::open("peer_loss = 0.0\npeer_delay = [\"1ms\", \"1ms\"]");
    two.ends[0].send_to(&[7; 300], two.to[0].1).unwrap();
    two.net
        .until("the relay takes it", |p| (p.too_long == 1).then_some(()));
    let mut buf = [0; 512];
    let end = two.ends[1].try_clone().unwrap();
    assert_eq!(
        two.net
            .until("it arrives", |_| end.recv_from(&mut buf).ok())
            .0,
        256
    );
}

// ---- Discovery ----

struct Told {
    agent: Alone<Discovery>,
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

impl Told {
    fn open() -> Told {
        let s = scenario("[ingresses]\ncount = 1");
        let agent = alone(
            |context| Discovery::open(&s, vec![line(0, "up"), line(1, "up")], context).unwrap(),
            |agents, part, key, context| match part {
                Part::DiscoveryListener => agents.accept(key, context),
                _ => agents.ready(key, context),
            },
            |agents, due, context| {
                let Due::Discovery(due) = due else {
                    panic!("not discovery's")
                };
                agents.due(due, context);
            },
        );
        let stream = TcpStream::connect(agent.part.address(0)).unwrap();
        stream.set_nonblocking(true).unwrap();
        Told { agent, stream }
    }

    fn ask(&mut self, query: &str) {
        let call = format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: a\r\n\r\n");
        self.stream.write_all(call.as_bytes()).unwrap();
    }

    /// The next answer's index and the names and states in it.
    fn answer(&mut self) -> (u64, Vec<String>) {
        let (mut came, stream) = (Vec::new(), &mut self.stream);
        let body = self.agent.until("an answer comes", |_| {
            take(stream, &mut came);
            let text = String::from_utf8(came.clone()).unwrap();
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

    fn quiet(&mut self) {
        self.agent.for_a_while();
        let mut came = Vec::new();
        let open = take(&mut self.stream, &mut came);
        assert!(open.is_some() && came.is_empty(), "something came");
    }
}

#[test]
fn a_watch_waits_for_the_next_change_and_tells_it_alone() {
    let mut told = Told::open();
    told.ask("");
    assert_eq!(told.answer(), (2, vec!["s-0 up".into(), "s-1 up".into()]));
    told.ask("?since=2&timeout_ms=60000");
    told.quiet();
    told.agent
        .part
        .change(line(1, "draining"), &mut told.agent.context);
    assert_eq!(told.answer(), (3, vec!["s-1 draining".into()]));
}

/// Guards against a watch that an earlier one's time ends: it would be answered with nothing before its own is over.
#[test]
fn a_watch_is_not_ended_by_the_time_of_the_one_before() {
    let mut told = Told::open();
    told.ask("?since=2&timeout_ms=700");
    told.quiet();
    told.agent
        .part
        .change(line(0, "draining"), &mut told.agent.context);
    assert_eq!(told.answer().0, 3);
    let first_over = told.agent.context.now + SECOND;
    told.ask("?since=3&timeout_ms=60000");
    while told.agent.context.now < first_over {
        told.agent.turn();
    }
    told.quiet();
}

#[test]
fn a_silent_agent_answers_what_it_was_asked_once_it_is_back() {
    let mut told = Told::open();
    told.agent
        .part
        .fail(0, AgentMode::Silent, SECOND / 4, &mut told.agent.context);
    told.ask("");
    told.quiet();
    assert_eq!(told.answer().0, 2);
}

#[test]
fn an_agent_that_is_gone_ends_its_connections_and_is_back_at_its_address() {
    let mut told = Told::open();
    told.ask("");
    told.answer();
    let at = told.agent.part.address(0);
    told.agent
        .part
        .fail(0, AgentMode::Gone, SECOND / 4, &mut told.agent.context);
    let (mut none, stream) = (Vec::new(), &mut told.stream);
    told.agent.until("the connection ends", |_| {
        take(stream, &mut none).is_none().then_some(())
    });
    told.stream = told
        .agent
        .until("the agent is back", |_| TcpStream::connect(at).ok());
    told.stream.set_nonblocking(true).unwrap();
    told.ask("");
    assert_eq!(told.answer().0, 2);
}

// ---- The count service ----

/// The count service alone, and a client of it.
fn counting(delay: &str) -> (Alone<Counter>, TcpStream) {
    let s = scenario(&format!(
        "[network]\ncounter = [{delay}]\n[ingresses]\ncount = 2"
    ));
    let counter = alone(
        |context| {
            Counter::open(&s, context)
                .unwrap()
                .expect("the scenario has one")
        },
        |counter, part, key, context| match part {
            Part::CounterListener => counter.accept(key, context),
            _ => counter.ready(key, context),
        },
        |counter, due, context| {
            let Due::Counter(due) = due else {
                panic!("not the count service's")
            };
            counter.due(due, context).unwrap();
        },
    );
    let client = connected(&counter);
    (counter, client)
}

fn connected(counter: &Alone<Counter>) -> TcpStream {
    let client = TcpStream::connect(counter.part.address(1)).unwrap();
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

fn says(counter: &mut Alone<Counter>, client: &mut TcpStream, want: &str) {
    let mut came = Vec::new();
    counter.until(want, |_| {
        take(client, &mut came);
        (came.len() >= want.len()).then_some(())
    });
    assert_eq!(String::from_utf8_lossy(&came), want);
}

fn fault(counter: &mut Alone<Counter>, fault: CounterFault, lasts: Micros) {
    counter.part.fail(fault, lasts, &mut counter.context);
}

/// Guards against a stand-in that forgets what it left unanswered: it was added, and the answer comes late.
#[test]
fn a_silent_count_service_adds_and_answers_late_in_order() {
    let (mut counter, mut client) = counting("\"0ms\", \"1ms\"");
    add(&mut client, "2");
    says(&mut counter, &mut client, "$1\r\n2\r\n");
    fault(&mut counter, CounterFault::Silent, SECOND / 10);
    add(&mut client, "3");
    counter.until("it is added", |c| (c.unanswered == 1).then_some(()));
    add(&mut client, "4");
    says(&mut counter, &mut client, "$1\r\n5\r\n$1\r\n9\r\n");
    assert_eq!(counter.part.added, 3);
}

#[test]
fn a_busy_count_service_adds_nothing_and_one_that_was_gone_has_forgotten() {
    let (mut counter, mut client) = counting("\"0ms\", \"1ms\"");
    add(&mut client, "2");
    says(&mut counter, &mut client, "$1\r\n2\r\n");
    fault(&mut counter, CounterFault::Busy, 20 * SECOND);
    add(&mut client, "2");
    says(&mut counter, &mut client, "-BUSY\r\n");
    fault(&mut counter, CounterFault::Gone, SECOND / 10);
    counter.until("the connection ends", |_| {
        take(&mut client, &mut Vec::new()).is_none().then_some(())
    });
    assert!(
        TcpStream::connect(counter.part.address(1)).is_err(),
        "it is gone"
    );
    let at = counter.part.address(1);
    let mut client = counter.until("it is back", |_| TcpStream::connect(at).ok());
    client.set_nonblocking(true).unwrap();
    add(&mut client, "1");
    says(&mut counter, &mut client, "$1\r\n1\r\n");
}
