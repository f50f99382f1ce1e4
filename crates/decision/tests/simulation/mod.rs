//! A seeded simulation of several gateways. It generates every kind of event with every outcome:
//! peer messages that are lost, duplicated or late, restarts, restored state, stalls, and changes
//! of settings and endpoint lists. A run is always the same, so a digest of all actions shows
//! whether a change altered a decision.
#![allow(dead_code)]

mod encoding;
pub mod scenarios;

use encoding::Digest;
use scenarios::{Scenario, PHASE_LENGTH};
use std::collections::{BTreeMap, VecDeque};
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, EndpointState, Event, Gateway,
    GatewayId, LoadReport, Micros, Outcome, Request, RequestId, MAX_ROUTE_POOLS,
};

/// The clock at the start of a run, in microseconds.
pub const START: Micros = 1_000_000_000;
const SECOND: Micros = 1_000_000;

/// An attempt in flight.
struct Attempt {
    id: RequestId,
    number: u16,
    backend: BackendId,
    sent_at: Micros,
    cancelled: bool,
}

/// A running gateway and the attempts that its host tracks.
struct Host {
    number: u16,
    gateway: Gateway,
    restart_count: u64,
    attempts: Vec<Attempt>,
    /// Number of the latest attempt of each request.
    latest_attempts: BTreeMap<RequestId, u16>,
}

/// A message in transit between two gateways.
struct Message {
    from: u16,
    to: u16,
    bytes: Vec<u8>,
}

/// Number of occurrences of each kind of action and disturbance, to show that a run covers it.
#[derive(Default, Debug)]
pub struct Counts {
    pub sends: u64,
    pub retries: u64,
    pub hedges: u64,
    pub rejections: u64,
    pub failures: u64,
    pub cancels: u64,
    pub messages: u64,
    pub watches: u64,
    pub logs: u64,
    pub restarts: u64,
    pub restores: u64,
    pub stalls: u64,
}

pub struct Simulation {
    scenario: Scenario,
    pub now: Micros,
    hosts: Vec<Host>,
    messages: VecDeque<Message>,
    endpoints: Vec<Endpoint>,
    next_request_id: u64,
    random_state: u64,
    actions: Digest,
    states: Digest,
    pub counts: Counts,
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let list = (0..scenario.backends)
            .map(|n| scenario.endpoint(n))
            .collect();
        let mut simulation = Simulation {
            now: START,
            hosts: Vec::new(),
            messages: VecDeque::new(),
            endpoints: list,
            next_request_id: 0,
            random_state: scenario.seed,
            actions: Digest::default(),
            states: Digest::default(),
            counts: Counts::default(),
            scenario,
        };
        for number in simulation.scenario.running.clone() {
            let gateway = simulation.new_gateway(number, 0);
            simulation.hosts.push(Host {
                number,
                gateway,
                restart_count: 0,
                attempts: Vec::new(),
                latest_attempts: BTreeMap::new(),
            });
            let at = simulation.hosts.len() - 1;
            simulation.feed(
                at,
                Event::EndpointsChanged(EndpointListKind::Cached, simulation.endpoints.clone()),
            );
        }
        simulation
    }

    fn new_gateway(&self, number: u16, restart_count: u64) -> Gateway {
        let mut settings = self.scenario.settings.clone();
        settings.gateway_id = GatewayId(number);
        settings.zone = (number % 3) as u8;
        let seed = self.scenario.seed ^ u64::from(number) << 32 ^ restart_count;
        Gateway::new(settings, seed, self.now)
    }

    /// A pseudo-random number less than `bound`, or 0 if `bound` is 0 (splitmix64).
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut hash = self.random_state;
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (hash ^ (hash >> 31)) % bound.max(1)
    }

    fn one_in(&mut self, odds: u64) -> bool {
        self.random_below(odds) == 0
    }

    /// Runs `steps` random steps.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Digests of all actions and of all stored states so far.
    pub fn digests(&self) -> (u64, u64) {
        (self.actions.value(), self.states.value())
    }

    /// The stored state of the gateway at index `at`.
    pub fn stored(&self, at: usize) -> Vec<u8> {
        postcard::to_stdvec(&self.hosts[at].gateway).unwrap()
    }

    fn feed(&mut self, at: usize, event: Event) {
        let mut actions = Vec::new();
        self.hosts[at].gateway.handle(self.now, event, &mut actions);
        self.actions
            .add_event(self.hosts[at].number, self.now, actions.len());
        for action in actions {
            self.actions.add_action(&action);
            self.apply_action(at, action);
        }
    }

    fn apply_action(&mut self, at: usize, action: Action) {
        let host = &mut self.hosts[at];
        match action {
            Action::Send { id, backend, .. } => {
                let number = *host
                    .latest_attempts
                    .entry(id)
                    .and_modify(|n| *n += 1)
                    .or_insert(0);
                let hedged = host.attempts.iter().any(|a| a.id == id);
                self.counts.sends += 1;
                self.counts.retries += u64::from(number > 0);
                self.counts.hedges += u64::from(hedged);
                host.attempts.push(Attempt {
                    id,
                    number,
                    backend,
                    sent_at: self.now,
                    cancelled: false,
                });
            }
            Action::Cancel { id, attempt } => {
                self.counts.cancels += 1;
                let cancelled = |a: &&mut Attempt| a.id == id && a.number == attempt;
                if let Some(a) = host.attempts.iter_mut().find(cancelled) {
                    a.cancelled = true;
                }
            }
            Action::SendToPeer { to, bytes } => self.send_message(at, to, &bytes),
            Action::Reject { .. } => self.counts.rejections += 1,
            Action::Fail(_) => self.counts.failures += 1,
            Action::WatchEndpoints(_) => self.counts.watches += 1,
            Action::Log(_) => self.counts.logs += 1,
            _ => {}
        }
    }

    fn send_message(&mut self, at: usize, to: Option<GatewayId>, bytes: &[u8]) {
        self.counts.messages += 1;
        let from = self.hosts[at].number;
        let to = to.expect("a message to a peer must name the peer").0;
        let copies = match self.random_below(20) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let bytes = bytes.to_vec();
            self.messages.push_back(Message { from, to, bytes });
        }
    }

    fn step(&mut self) {
        self.advance_clock();
        let at = self.random_below(self.hosts.len() as u64) as usize;
        match self.random_below(1000) {
            0..=379 => self.request(at),
            380..=739 => self.complete_attempt(at),
            740..=759 => self.first_byte(at),
            760..=769 => self.disconnect_client(at),
            770..=784 => self.change_list(),
            785..=899 => self.deliver(),
            900..=909 => self.health_check_or_counter(at),
            910..=914 => self.corrupt_message(at),
            915..=918 => self.restore(at),
            919 => self.restart(at),
            920..=922 => self.change_settings(at),
            _ => self.feed(at, Event::Timer(0)),
        }
    }

    /// Advances the clock: usually by about one step, rarely by so much that the gateway considers
    /// it a stall.
    fn advance_clock(&mut self) {
        if self.one_in(700) {
            self.counts.stalls += 1;
            self.now += 100_000 + self.random_below(1_500_000);
        } else if self.one_in(40) {
            self.now += self.random_below(40_000);
        } else {
            self.now += self.random_below(2 * self.scenario.mean_step);
        }
        if self.one_in(6) {
            (0..self.hosts.len()).for_each(|at| self.feed(at, Event::Timer(0)));
        }
    }

    fn request(&mut self, at: usize) {
        self.next_request_id += 1;
        let (classes, plans) = (
            self.scenario.settings.classes.len() as u64,
            self.scenario.settings.plans.len() as u64,
        );
        let customer_bound = self.random_below(self.scenario.customers).max(1);
        // A few customers send far more often than the rest.
        let customer = self.random_below(customer_bound);
        let (first_gateway, gateway_span) = self.scenario.gateway_range(customer);
        let (route, own_pools) = self.route(customer);
        let class = if self.one_in(400) {
            classes as u8 + 1
        } else {
            self.random_below(classes) as u8
        };
        let deadline = match self.random_below(20) {
            0 => self.now + self.random_below(60_000),
            1 => self.now + self.random_below(400_000),
            _ => self.now + 300_000 + self.random_below(4_000_000),
        };
        let units = match self.random_below(500) {
            0 => f64::NAN,
            1 => -1.0,
            2 => 0.0,
            3..=59 => 1.0 + self.random_below(20) as f64 / 4.0,
            60..=99 => 0.3,
            _ => 1.0,
        };
        let request = Request {
            id: RequestId(self.next_request_id),
            class,
            plan: if self.one_in(400) {
                plans as u16 + 2
            } else {
                (customer % plans) as u16
            },
            customer: CustomerId(customer * 7919),
            deadline,
            units,
            gateway_span,
            first_gateway,
            route,
            own_pools,
        };
        self.feed(at, Event::Request(request));
        if self.one_in(300) {
            self.feed(at, Event::Request(request));
        }
    }

    /// Route of a customer's requests, preferred pool first, and how many of its pools are the
    /// customer's own.
    fn route(&mut self, customer: u64) -> ([u8; MAX_ROUTE_POOLS], u8) {
        let pools = u64::from(self.scenario.settings.pool_count);
        let mut route = [0; MAX_ROUTE_POOLS];
        if pools == 0 || customer % 5 == 4 {
            return (route, u8::from(customer.is_multiple_of(2)));
        }
        let count = 1 + customer % 3;
        for (position, pool) in route.iter_mut().take(count as usize).enumerate() {
            *pool = ((customer + position as u64) % pools + 1) as u8;
        }
        if self.one_in(200) {
            route[1] = 60;
        }
        (route, 1 + (customer % 2) as u8)
    }

    /// Ends an attempt with an outcome that depends on its backend and the time.
    fn complete_attempt(&mut self, at: usize) {
        if self.hosts[at].attempts.is_empty() {
            return self.feed(at, Event::Timer(0));
        }
        let index = self.random_below(self.hosts[at].attempts.len() as u64) as usize;
        let index = index.min(self.random_below(self.hosts[at].attempts.len() as u64) as usize);
        let (backend, sent_at, cancelled) = {
            let a = &self.hosts[at].attempts[index];
            (a.backend, a.sent_at, a.cancelled)
        };
        let behavior = self.scenario.behavior(backend, self.now);
        let elapsed = self.now - sent_at;
        if !cancelled && elapsed < behavior.min_latency && !self.one_in(30) {
            return;
        }
        let ended = self.hosts[at].attempts.remove(index);
        let outcome = if cancelled && !self.one_in(8) {
            Outcome::Cancelled
        } else {
            self.outcome(behavior.failures_per_thousand)
        };
        let complete = outcome == Outcome::Ok || self.one_in(60);
        let event = Event::AttemptCompleted {
            id: ended.id,
            attempt: ended.number,
            backend,
            outcome,
            complete,
            elapsed,
            metered_usage: self.one_in(10).then_some(0.5),
            charged_units: self.one_in(3).then_some(2.0),
            report: self.report(),
        };
        self.feed(at, event);
    }

    fn outcome(&mut self, failures_per_thousand: u64) -> Outcome {
        if self.random_below(1000) >= failures_per_thousand {
            return Outcome::Ok;
        }
        match self.random_below(12) {
            0..=3 => Outcome::Error,
            4 => Outcome::TimedOut,
            5..=6 => Outcome::ConnectFailed,
            7..=8 => Outcome::Reset,
            9 => Outcome::NotSent,
            _ => Outcome::Rejected,
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        let queue = self.random_below(12) as f64;
        self.one_in(3).then_some(LoadReport {
            in_flight: Some(2.0),
            queue: (queue > 2.0).then_some(queue),
            utilization: Some(0.5),
            ..LoadReport::default()
        })
    }

    fn first_byte(&mut self, at: usize) {
        let count = self.hosts[at].attempts.len() as u64;
        if count > 0 {
            let index = self.random_below(count) as usize;
            let a = &self.hosts[at].attempts[index];
            let (id, attempt) = (a.id, a.number);
            self.feed(at, Event::FirstByte { id, attempt });
        }
    }

    /// Disconnects the client of the newest request or of the latest attempt at a gateway.
    fn disconnect_client(&mut self, at: usize) {
        let use_newest = self.one_in(3);
        let latest = self.hosts[at].attempts.last().map(|a| a.id);
        let id = latest
            .filter(|_| !use_newest)
            .unwrap_or(RequestId(self.next_request_id));
        let sender = self
            .hosts
            .iter()
            .position(|h| h.latest_attempts.contains_key(&id));
        self.feed(sender.unwrap_or(at), Event::ClientDisconnected(id));
    }

    /// Changes some entries of the endpoint list and sends it to all gateways, as one of the list
    /// kinds.
    fn change_list(&mut self) {
        let now = self.now;
        let count = self.endpoints.len() as u64;
        let mut changed = Vec::new();
        for _ in 0..1 + self.random_below(3) {
            let at = self.random_below(count) as usize;
            let state = match self.random_below(6) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            let restarted = self.one_in(2);
            let entry = &mut self.endpoints[at];
            if restarted && entry.state != EndpointState::Ready {
                entry.started_at = now - 50_000;
            }
            entry.state = state;
            changed.push(*entry);
        }
        // Occasionally drains all backends of a pool.
        if self.scenario.settings.pool_count > 0 && self.one_in(6) {
            let bit = 1 << self.random_below(u64::from(self.scenario.settings.pool_count));
            for entry in self.endpoints.iter_mut().filter(|l| l.pools & bit != 0) {
                entry.state = EndpointState::Draining;
                changed.push(*entry);
            }
        }
        let kind = match self.random_below(8) {
            0 => EndpointListKind::Full,
            1 => EndpointListKind::Cached,
            2 => EndpointListKind::Failed,
            _ => EndpointListKind::Delta,
        };
        let list = match kind {
            EndpointListKind::Delta => changed,
            EndpointListKind::Failed => Vec::new(),
            EndpointListKind::Full | EndpointListKind::Cached => {
                // Complete lists make all backends ready again; otherwise a run would end without
                // any.
                for entry in &mut self.endpoints {
                    entry.state = EndpointState::Ready;
                }
                self.endpoints.clone()
            }
        };
        for at in 0..self.hosts.len() {
            self.feed(at, Event::EndpointsChanged(kind, list.clone()));
        }
    }

    /// Delivers some messages, a few of them out of order.
    fn deliver(&mut self) {
        for _ in 0..1 + self.messages.len() / 2 {
            let late = self.one_in(10);
            if late && self.messages.len() > 2 {
                self.messages.swap(0, 1);
            }
            let Some(Message { from, to, bytes }) = self.messages.pop_front() else {
                return;
            };
            let Some(at) = self.hosts.iter().position(|h| h.number == to) else {
                continue;
            };
            let from = GatewayId(from);
            self.feed(at, Event::PeerMessage { from, bytes });
        }
    }

    /// Passes in random bytes, or a real message with one bit flipped.
    fn corrupt_message(&mut self, at: usize) {
        let from = GatewayId(self.random_below(6) as u16);
        let mut bytes: Vec<u8> = (0..self.random_below(270))
            .map(|_| self.random_below(256) as u8)
            .collect();
        if let Some(message) = self.messages.front().filter(|m| !m.bytes.is_empty()) {
            bytes = message.bytes.clone();
            let at = self.random_below(bytes.len() as u64) as usize;
            bytes[at] ^= 1 << self.random_below(8);
        }
        self.feed(at, Event::PeerMessage { from, bytes });
    }

    fn health_check_or_counter(&mut self, at: usize) {
        let backend = BackendId(self.random_below(self.scenario.backends));
        let outcome = self.outcome(500);
        let event = if self.one_in(2) {
            Event::HealthChecked {
                backend,
                outcome,
                elapsed: 1_000,
                report: self.report(),
            }
        } else {
            Event::CounterUpdated {
                counter: 7,
                outcome,
                total: 3.0,
            }
        };
        self.feed(at, event);
    }

    /// Stores a gateway's state and continues with the gateway read back from it.
    fn restore(&mut self, at: usize) {
        self.counts.restores += 1;
        let bytes = self.stored(at);
        self.states.add(&bytes);
        self.hosts[at].gateway = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(
            self.stored(at),
            bytes,
            "the restored state must be stored to the same bytes"
        );
        self.add_operator_views(at);
    }

    /// Adds the values that the gateway shows to operators to the digest.
    fn add_operator_views(&mut self, at: usize) {
        let gateway = &self.hosts[at].gateway;
        self.actions
            .add_number(gateway.backends_in_rotation() as u64);
        for usage in gateway.plan_usage() {
            self.actions.add_number(usage.customers);
            self.actions
                .add_number((usage.rate * 1000.0).round() as u64);
            self.actions.add_number(u64::from(usage.in_flight));
        }
        for customer in 0..self.scenario.customers {
            let within_quota = gateway.within_quota(CustomerId(customer * 7919), 1.0);
            self.actions.add_number(u64::from(within_quota));
        }
        for backend in 0..self.scenario.backends {
            let status = gateway.backend_status(BackendId(backend));
            self.actions.add_number(u64::from(status.accepts_work));
            self.actions.add_number(status.ejected_for.len() as u64);
        }
    }

    fn restart(&mut self, at: usize) {
        self.counts.restarts += 1;
        let (number, restart_count) = (self.hosts[at].number, self.hosts[at].restart_count + 1);
        self.now += 20_000;
        self.hosts[at] = Host {
            number,
            gateway: self.new_gateway(number, restart_count),
            restart_count,
            attempts: Vec::new(),
            latest_attempts: BTreeMap::new(),
        };
        self.feed(
            at,
            Event::EndpointsChanged(EndpointListKind::Full, self.endpoints.clone()),
        );
    }

    /// Changes the settings of a gateway: plans and classes are added, removed or changed.
    fn change_settings(&mut self, at: usize) {
        let index = self.random_below(4);
        let settings = self.scenario.changed_settings(index);
        self.feed(at, Event::SettingsChanged(Box::new(settings)));
    }
}

/// Number of steps in which the backends go through all phases of their behavior several times.
pub fn steps_of(scenario: &Scenario) -> usize {
    (10 * PHASE_LENGTH / scenario.mean_step) as usize
}
