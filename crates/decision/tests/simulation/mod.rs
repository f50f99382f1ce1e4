//! A seeded run of several gateways: every kind of event with every outcome, messages between the
//! gateways that are lost, doubled or late, restarts, restored state, a clock that stands still,
//! settings and endpoint lists that change. The run is the same each time, so that a digest of all
//! actions shows whether a change moved a decision.
#![allow(dead_code)]

mod encoding;
pub mod scenarios;

use encoding::Digest;
use scenarios::{Scenario, MOOD_SPAN};
use std::collections::{BTreeMap, VecDeque};
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, EndpointState, Event, Gateway,
    GatewayId, LoadReport, Micros, Outcome, Request, RequestId, MAX_ROUTE_POOLS,
};

pub const START: Micros = 1_000_000_000;
const SECOND: Micros = 1_000_000;

/// An attempt that was sent and has not ended.
struct Attempt {
    id: RequestId,
    number: u16,
    backend: BackendId,
    sent: Micros,
    cancelled: bool,
}

/// One running gateway with what its host knows of it.
struct Host {
    number: u16,
    gateway: Gateway,
    starts: u64,
    attempts: Vec<Attempt>,
    sends: BTreeMap<RequestId, u16>,
}

/// A message on its way.
struct Message {
    from: u16,
    to: u16,
    bytes: Vec<u8>,
}

/// How often each thing happened, to show that a run covers it.
#[derive(Default, Debug)]
pub struct Counts {
    pub sends: u64,
    pub repeats: u64,
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
    list: Vec<Endpoint>,
    next_request: u64,
    random: u64,
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
            list,
            next_request: 0,
            random: scenario.seed,
            actions: Digest::default(),
            states: Digest::default(),
            counts: Counts::default(),
            scenario,
        };
        for number in simulation.scenario.running.clone() {
            let gateway = simulation.started(number, 0);
            simulation.hosts.push(Host {
                number,
                gateway,
                starts: 0,
                attempts: Vec::new(),
                sends: BTreeMap::new(),
            });
            let at = simulation.hosts.len() - 1;
            simulation.feed(
                at,
                Event::EndpointsChanged(EndpointListKind::Cached, simulation.list.clone()),
            );
        }
        simulation
    }

    fn started(&self, number: u16, starts: u64) -> Gateway {
        let mut settings = self.scenario.settings.clone();
        settings.gateway_id = GatewayId(number);
        settings.zone = (number % 3) as u8;
        let seed = self.scenario.seed ^ u64::from(number) << 32 ^ starts;
        Gateway::new(settings, seed, self.now)
    }

    /// A number that looks random (splitmix64), below `below`.
    fn below(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (z ^ (z >> 31)) % below.max(1)
    }

    fn one_in(&mut self, many: u64) -> bool {
        self.below(many) == 0
    }

    /// Plays so many steps.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// The digests of all actions and of all states that were stored so far.
    pub fn digests(&self) -> (u64, u64) {
        (self.actions.value(), self.states.value())
    }

    /// The stored form of the state of a gateway.
    pub fn stored(&self, at: usize) -> Vec<u8> {
        postcard::to_stdvec(&self.hosts[at].gateway).unwrap()
    }

    fn feed(&mut self, at: usize, event: Event) {
        let mut actions = Vec::new();
        self.hosts[at].gateway.handle(self.now, event, &mut actions);
        self.actions
            .note_event(self.hosts[at].number, self.now, actions.len());
        for action in actions {
            self.actions.note_action(&action);
            self.carry_out(at, action);
        }
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let host = &mut self.hosts[at];
        match action {
            Action::Send { id, backend, .. } => {
                let number = *host.sends.entry(id).and_modify(|n| *n += 1).or_insert(0);
                let hedged = host.attempts.iter().any(|a| a.id == id);
                self.counts.sends += 1;
                self.counts.repeats += u64::from(number > 0);
                self.counts.hedges += u64::from(hedged);
                host.attempts.push(Attempt {
                    id,
                    number,
                    backend,
                    sent: self.now,
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
            Action::SendToPeer { to, bytes } => self.post(at, to, &bytes),
            Action::Reject { .. } => self.counts.rejections += 1,
            Action::Fail(_) => self.counts.failures += 1,
            Action::WatchEndpoints(_) => self.counts.watches += 1,
            Action::Log(_) => self.counts.logs += 1,
            _ => {}
        }
    }

    fn post(&mut self, at: usize, to: Option<GatewayId>, bytes: &[u8]) {
        self.counts.messages += 1;
        let from = self.hosts[at].number;
        let to = to.expect("the gateways send to one peer each").0;
        let copies = match self.below(20) {
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
        self.pass_time();
        let at = self.below(self.hosts.len() as u64) as usize;
        match self.below(1000) {
            0..=379 => self.request(at),
            380..=739 => self.settle(at),
            740..=759 => self.first_byte(at),
            760..=769 => self.withdraw(at),
            770..=784 => self.change_list(),
            785..=899 => self.deliver(),
            900..=909 => self.probed_or_counted(at),
            910..=914 => self.hostile_message(at),
            915..=918 => self.restore(at),
            919 => self.restart(at),
            920..=922 => self.change_settings(at),
            _ => self.feed(at, Event::Timer(0)),
        }
    }

    /// Moves the clock: mostly by a tick or so, seldom by more than a wake-up can miss.
    fn pass_time(&mut self) {
        if self.one_in(700) {
            self.counts.stalls += 1;
            self.now += 100_000 + self.below(1_500_000);
        } else if self.one_in(40) {
            self.now += self.below(40_000);
        } else {
            self.now += self.below(2 * self.scenario.pace);
        }
        if self.one_in(6) {
            (0..self.hosts.len()).for_each(|at| self.feed(at, Event::Timer(0)));
        }
    }

    fn request(&mut self, at: usize) {
        self.next_request += 1;
        let (classes, plans) = (
            self.scenario.settings.classes.len() as u64,
            self.scenario.settings.plans.len() as u64,
        );
        let draw = self.below(self.scenario.customers).max(1);
        let customer = self.below(draw); // a few come far more often than the rest
        let (first, gateway_span) = self.scenario.spread(customer);
        let (route, own) = self.route(customer);
        let class = if self.one_in(400) {
            classes as u8 + 1
        } else {
            self.below(classes) as u8
        };
        let deadline = match self.below(20) {
            0 => self.now + self.below(60_000),
            1 => self.now + self.below(400_000),
            _ => self.now + 300_000 + self.below(4_000_000),
        };
        let units = match self.below(500) {
            0 => f64::NAN,
            1 => -1.0,
            2 => 0.0,
            3..=59 => 1.0 + self.below(20) as f64 / 4.0,
            60..=99 => 0.3,
            _ => 1.0,
        };
        let request = Request {
            id: RequestId(self.next_request),
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
            first_gateway: first,
            route,
            own_pools: own,
        };
        self.feed(at, Event::Request(request));
        if self.one_in(300) {
            self.feed(at, Event::Request(request));
        }
    }

    /// The pools of a customer's requests, best first, and how many of them are its own.
    fn route(&mut self, customer: u64) -> ([u8; MAX_ROUTE_POOLS], u8) {
        let pools = u64::from(self.scenario.settings.pool_count);
        let mut route = [0; MAX_ROUTE_POOLS];
        if pools == 0 || customer % 5 == 4 {
            return (route, u8::from(customer.is_multiple_of(2)));
        }
        let count = 1 + customer % 3;
        for (place, tier) in route.iter_mut().take(count as usize).enumerate() {
            *tier = ((customer + place as u64) % pools + 1) as u8;
        }
        if self.one_in(200) {
            route[1] = 60;
        }
        (route, 1 + (customer % 2) as u8)
    }

    /// Ends an attempt: what its backend does depends on the backend and on the time.
    fn settle(&mut self, at: usize) {
        if self.hosts[at].attempts.is_empty() {
            return self.feed(at, Event::Timer(0));
        }
        let draw = self.below(self.hosts[at].attempts.len() as u64) as usize;
        let draw = draw.min(self.below(self.hosts[at].attempts.len() as u64) as usize);
        let (backend, sent, cancelled) = {
            let a = &self.hosts[at].attempts[draw];
            (a.backend, a.sent, a.cancelled)
        };
        let mood = self.scenario.mood(backend, self.now);
        let out = self.now - sent;
        if !cancelled && out < mood.least && !self.one_in(30) {
            return;
        }
        let a = self.hosts[at].attempts.remove(draw);
        let outcome = if cancelled && !self.one_in(8) {
            Outcome::Cancelled
        } else {
            self.outcome(mood.bad)
        };
        let complete = outcome == Outcome::Ok || self.one_in(60);
        let event = Event::AttemptCompleted {
            id: a.id,
            attempt: a.number,
            backend,
            outcome,
            complete,
            elapsed: out,
            metered_usage: self.one_in(10).then_some(0.5),
            charged_units: self.one_in(3).then_some(2.0),
            report: self.report(),
        };
        self.feed(at, event);
    }

    fn outcome(&mut self, bad_of_thousand: u64) -> Outcome {
        if self.below(1000) >= bad_of_thousand {
            return Outcome::Ok;
        }
        match self.below(12) {
            0..=3 => Outcome::Error,
            4 => Outcome::TimedOut,
            5..=6 => Outcome::ConnectFailed,
            7..=8 => Outcome::Reset,
            9 => Outcome::NotSent,
            _ => Outcome::Rejected,
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        let queue = self.below(12) as f64;
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
            let draw = self.below(count) as usize;
            let a = &self.hosts[at].attempts[draw];
            let (id, attempt) = (a.id, a.number);
            self.feed(at, Event::FirstByte { id, attempt });
        }
    }

    fn withdraw(&mut self, at: usize) {
        let newest = self.one_in(3);
        let out = self.hosts[at].attempts.last().map(|a| a.id);
        let id = out
            .filter(|_| !newest)
            .unwrap_or(RequestId(self.next_request));
        let sender = self.hosts.iter().position(|h| h.sends.contains_key(&id));
        self.feed(sender.unwrap_or(at), Event::ClientDisconnected(id));
    }

    /// Changes some lines of the endpoint list and gives the list to all gateways, in one of the
    /// forms.
    fn change_list(&mut self) {
        let now = self.now;
        let count = self.list.len() as u64;
        let mut changed = Vec::new();
        for _ in 0..1 + self.below(3) {
            let at = self.below(count) as usize;
            let state = match self.below(6) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Ready,
            };
            let restarted = self.one_in(2);
            let line = &mut self.list[at];
            if restarted && line.state != EndpointState::Ready {
                line.started_at = now - 50_000;
            }
            line.state = state;
            changed.push(*line);
        }
        // Now and then a pool loses all that it has.
        if self.scenario.settings.pool_count > 0 && self.one_in(6) {
            let bit = 1 << self.below(u64::from(self.scenario.settings.pool_count));
            for line in self.list.iter_mut().filter(|l| l.pools & bit != 0) {
                line.state = EndpointState::Draining;
                changed.push(*line);
            }
        }
        let kind = match self.below(8) {
            0 => EndpointListKind::Full,
            1 => EndpointListKind::Cached,
            2 => EndpointListKind::Failed,
            _ => EndpointListKind::Delta,
        };
        let list = match kind {
            EndpointListKind::Delta => changed,
            EndpointListKind::Failed => Vec::new(),
            EndpointListKind::Full | EndpointListKind::Cached => {
                // Whole lists bring everybody back, or a run would wear the backends out.
                for line in &mut self.list {
                    line.state = EndpointState::Ready;
                }
                self.list.clone()
            }
        };
        for at in 0..self.hosts.len() {
            self.feed(at, Event::EndpointsChanged(kind, list.clone()));
        }
    }

    /// Delivers some messages, a few of them out of turn.
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

    fn hostile_message(&mut self, at: usize) {
        let from = GatewayId(self.below(6) as u16);
        let mut bytes: Vec<u8> = (0..self.below(270))
            .map(|_| self.below(256) as u8)
            .collect();
        if let Some(message) = self.messages.front().filter(|m| !m.bytes.is_empty()) {
            bytes = message.bytes.clone();
            let at = self.below(bytes.len() as u64) as usize;
            bytes[at] ^= 1 << self.below(8);
        }
        self.feed(at, Event::PeerMessage { from, bytes });
    }

    fn probed_or_counted(&mut self, at: usize) {
        let backend = BackendId(self.below(self.scenario.backends));
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

    /// Stores a gateway's state and goes on with what is read back.
    fn restore(&mut self, at: usize) {
        self.counts.restores += 1;
        let bytes = self.stored(at);
        self.states.note(&bytes);
        self.hosts[at].gateway = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(self.stored(at), bytes, "what is read back is stored alike");
        self.note_views(at);
    }

    /// What the gateway shows to its operators counts as a decision, too.
    fn note_views(&mut self, at: usize) {
        let gateway = &self.hosts[at].gateway;
        self.actions
            .note_number(gateway.backends_in_rotation() as u64);
        for used in gateway.plan_usage() {
            self.actions.note_number(used.customers);
            self.actions
                .note_number((used.rate * 1000.0).round() as u64);
            self.actions.note_number(u64::from(used.in_flight));
        }
        for customer in 0..self.scenario.customers {
            let inside = gateway.within_quota(CustomerId(customer * 7919), 1.0);
            self.actions.note_number(u64::from(inside));
        }
        for backend in 0..self.scenario.backends {
            let status = gateway.backend_status(BackendId(backend));
            self.actions.note_number(u64::from(status.accepts_work));
            self.actions.note_number(status.ejected_for.len() as u64);
        }
    }

    fn restart(&mut self, at: usize) {
        self.counts.restarts += 1;
        let (number, starts) = (self.hosts[at].number, self.hosts[at].starts + 1);
        self.now += 20_000;
        self.hosts[at] = Host {
            number,
            gateway: self.started(number, starts),
            starts,
            attempts: Vec::new(),
            sends: BTreeMap::new(),
        };
        self.feed(
            at,
            Event::EndpointsChanged(EndpointListKind::Full, self.list.clone()),
        );
    }

    /// Gives a gateway other settings: plans and classes that come, go and change their figures.
    fn change_settings(&mut self, at: usize) {
        let draw = self.below(4);
        let settings = self.scenario.changed_settings(draw);
        self.feed(at, Event::SettingsChanged(Box::new(settings)));
    }
}

/// The steps that bring a run through all moods of its backends several times.
pub fn steps_of(scenario: &Scenario) -> usize {
    (10 * MOOD_SPAN / scenario.pace) as usize
}
