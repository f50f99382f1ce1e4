//! Simulates a fleet of gateways in virtual time: real gateways, modelled backends, and peer
//! messages that arrive late, are lost, or are dropped by a full inbox. All randomness comes from
//! one seed, so every run of a configuration is the same.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, Event, Gateway, GatewayId, Micros,
    Outcome, Request, RequestId, Settings,
};

/// The clock of a new fleet, in microseconds.
pub const START: Micros = 1_000_000_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Network latency from a gateway to a backend or back, in microseconds.
const ONE_WAY_LATENCY: Micros = 500;

/// Parameters of a simulated fleet.
pub struct FleetConfig {
    pub settings: Settings,
    pub backends: u64,
    /// Fraction of the messages between gateways that are lost.
    pub loss: f64,
    /// Plan of each customer and its requests per second; each request is for one unit.
    pub customers: Vec<(u16, f64)>,
    /// Number of consecutive gateways that receive the requests of a customer.
    pub gateway_span: u16,
    /// Mean time that a request takes on a core of a warm backend.
    pub mean_work: Micros,
    pub seed: u64,
}

enum SimEvent {
    /// A gateway's wake-up timer fires.
    WakeUp(usize),
    /// A customer sends its next request.
    RequestDue(usize),
    /// A message arrives: sender, receiver, content.
    Message(usize, usize, Vec<u8>),
    /// A backend completes the job with this number.
    WorkDone(usize, u64),
    /// A gateway receives an event.
    Gateway(usize, Event),
    /// A gateway receives an endpoint list.
    EndpointList(usize, EndpointListKind, Vec<Endpoint>),
}

/// An attempt at a backend.
struct Job {
    number: u64,
    /// Index and incarnation of the gateway that sent the attempt.
    gateway: (usize, u32),
    id: RequestId,
    attempt: u16,
    sent: Micros,
    cancelled: bool,
}

/// A modelled backend with two cores and a queue. It is slower while it warms up.
#[derive(Default)]
pub struct SimulatedBackend {
    pub started_at: Micros,
    /// Whether the backend accepts requests without answering any.
    pub silent: bool,
    queued: VecDeque<Job>,
    running: Vec<Job>,
    /// Arrival times of requests.
    pub arrivals: Vec<Micros>,
    /// Gateways that have sent requests here.
    pub senders: BTreeSet<usize>,
}

/// A running fleet: its gateways, its backends, and counts of how its requests ended.
pub struct SimulatedFleet {
    pub config: FleetConfig,
    pub now: Micros,
    pub gateways: Vec<Option<Gateway>>,
    /// Number of starts and stops of each gateway. Events for an earlier incarnation are dropped.
    incarnations: Vec<u32>,
    pub backends: Vec<SimulatedBackend>,
    pub list: Vec<Endpoint>,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    events: BTreeMap<u64, (u32, SimEvent)>,
    next_id: u64,
    rng: u64,
    attempts: BTreeMap<(usize, RequestId), u16>,
    /// For each gateway: the current second, and the messages received in it.
    inboxes: Vec<(Micros, f64)>,
    /// For each customer, the times at which its requests were first sent to a backend.
    pub first_sent_at: Vec<Vec<Micros>>,
    customer_by_request: BTreeMap<RequestId, usize>,
    arrived_at: BTreeMap<RequestId, Micros>,
    /// Requests that arrived at a running gateway.
    pub requests: u64,
    /// Requests that were answered.
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Answers within the latency objective of the class.
    pub in_time: u64,
    /// Messages that gateways sent to each other.
    pub messages: u64,
    /// Messages that arrived and fitted into the receiver's inbox.
    pub delivered: u64,
}

impl SimulatedFleet {
    /// Creates the fleet, starts all gateways and schedules the first request of each customer.
    pub fn new(config: FleetConfig) -> SimulatedFleet {
        let (gateways, customers) = (
            usize::from(config.settings.gateway_count),
            config.customers.len(),
        );
        let list: Vec<Endpoint> = (0..config.backends).map(endpoint).collect();
        let mut fleet = SimulatedFleet {
            now: START,
            gateways: (0..gateways).map(|_| None).collect(),
            incarnations: vec![0; gateways],
            backends: (0..config.backends)
                .map(|_| SimulatedBackend::default())
                .collect(),
            list,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_id: 0,
            rng: config.seed,
            attempts: BTreeMap::new(),
            inboxes: vec![(0, 0.0); gateways],
            first_sent_at: vec![Vec::new(); customers],
            customer_by_request: BTreeMap::new(),
            arrived_at: BTreeMap::new(),
            requests: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            in_time: 0,
            messages: 0,
            delivered: 0,
            config,
        };
        (0..gateways).for_each(|index| fleet.start_gateway(index));
        for customer_index in 0..customers {
            let at = fleet.next_interval(fleet.config.customers[customer_index].1);
            fleet.schedule(at, 0, SimEvent::RequestDue(customer_index));
        }
        fleet
    }

    /// A pseudo-random number in `0.0..1.0` (xorshift).
    pub fn random_fraction(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    fn next_interval(&mut self, rate: f64) -> Micros {
        let draw = self.random_fraction();
        ((-(1.0 - draw).ln() / rate) * SECOND as f64) as Micros
    }

    fn schedule(&mut self, delay: Micros, incarnation: u32, sim_event: SimEvent) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + delay, self.next_id)));
        self.events.insert(self.next_id, (incarnation, sim_event));
    }

    /// Starts a gateway without any state, with the current endpoint list.
    pub fn start_gateway(&mut self, index: usize) {
        self.incarnations[index] += 1;
        let settings = Settings {
            gateway_id: GatewayId(index as u16),
            ..self.config.settings.clone()
        };
        let seed = (self.random_fraction() * 1e15) as u64;
        self.gateways[index] = Some(Gateway::new(settings, seed, self.now));
        let list = self.list.clone();
        self.feed(
            index,
            Event::EndpointsChanged(EndpointListKind::Cached, list),
        );
    }

    /// Stops a gateway; all of its state is lost.
    pub fn stop_gateway(&mut self, index: usize) {
        self.gateways[index] = None;
        self.incarnations[index] += 1;
    }

    /// Restarts some backends, which then warm up. Every gateway learns of the restart within half
    /// a second.
    pub fn restart_backends(&mut self, range: std::ops::Range<usize>) {
        for backend_index in range.clone() {
            self.backends[backend_index] = SimulatedBackend {
                started_at: self.now,
                ..SimulatedBackend::default()
            };
            self.list[backend_index].started_at = self.now;
        }
        let changed: Vec<Endpoint> = self.list[range].to_vec();
        for index in 0..self.gateways.len() {
            let delay = (self.random_fraction() * SECOND as f64 / 2.0) as Micros;
            self.schedule(
                delay,
                self.incarnations[index],
                SimEvent::EndpointList(index, EndpointListKind::Delta, changed.clone()),
            );
        }
    }

    /// Advances the simulation by `span` microseconds.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied().filter(|e| e.0 .0 <= end)
        {
            self.queue.pop();
            self.now = at;
            let Some((incarnation, sim_event)) = self.events.remove(&number) else {
                continue;
            };
            self.process(incarnation, sim_event);
        }
        self.now = end;
    }

    fn process(&mut self, incarnation: u32, sim_event: SimEvent) {
        match sim_event {
            SimEvent::RequestDue(customer_index) => self.send_request(customer_index),
            SimEvent::WakeUp(index) if self.incarnations[index] == incarnation => {
                self.feed(index, Event::Timer(0))
            }
            SimEvent::Gateway(index, event) if self.incarnations[index] == incarnation => {
                self.feed(index, event)
            }
            SimEvent::EndpointList(index, kind, list)
                if self.incarnations[index] == incarnation =>
            {
                self.feed(index, Event::EndpointsChanged(kind, list))
            }
            SimEvent::Message(from, to, bytes) => {
                let (second, max_per_second) = (
                    self.now / SECOND,
                    self.config.settings.limits.peer_messages_per_s,
                );
                let inbox = &mut self.inboxes[to];
                if inbox.0 != second {
                    *inbox = (second, 0.0);
                }
                inbox.1 += 1.0;
                if inbox.1 <= max_per_second && self.gateways[to].is_some() {
                    self.delivered += 1;
                    self.feed(
                        to,
                        Event::PeerMessage {
                            from: GatewayId(from as u16),
                            bytes,
                        },
                    );
                }
            }
            SimEvent::WorkDone(backend_index, number) => self.finish_work(backend_index, number),
            _ => {}
        }
    }

    fn send_request(&mut self, customer_index: usize) {
        let (plan, rate) = self.config.customers[customer_index];
        let next = self.next_interval(rate);
        self.schedule(next, 0, SimEvent::RequestDue(customer_index));
        let (count, gateway_span) = (self.gateways.len(), usize::from(self.config.gateway_span));
        let first = (customer_index * 37) % count;
        let index = (first + (self.random_fraction() * gateway_span as f64) as usize) % count;
        if self.gateways[index].is_none() {
            return;
        }
        let id = RequestId(self.next_id);
        let class = 0;
        let deadline = self.now + self.config.settings.classes[class].deadline;
        let (customer, gateway_span, first) = (
            CustomerId(1000 + customer_index as u64),
            gateway_span as f64,
            first as f64,
        );
        let request = Request {
            id,
            plan,
            customer,
            deadline,
            units: 1.0,
            gateway_span,
            first_gateway: first,
            ..Request::default()
        };
        self.requests += 1;
        self.customer_by_request.insert(id, customer_index);
        self.arrived_at.insert(id, self.now);
        self.feed(index, Event::Request(request));
    }

    fn feed(&mut self, index: usize, event: Event) {
        let Some(gateway) = &mut self.gateways[index] else {
            return;
        };
        let mut actions = Vec::new();
        gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(index, action);
        }
    }

    fn apply_action(&mut self, index: usize, action: Action) {
        match action {
            Action::SetTimer { delay, .. } => {
                self.schedule(delay, self.incarnations[index], SimEvent::WakeUp(index))
            }
            Action::SendToPeer {
                to: Some(to),
                bytes,
            } => {
                self.messages += 1;
                if self.random_fraction() >= self.config.loss {
                    let delay = 1_600 + (self.random_fraction() * 20_000.0) as Micros;
                    self.schedule(delay, 0, SimEvent::Message(index, usize::from(to.0), bytes));
                }
            }
            Action::Reject { .. } => self.rejected += 1,
            Action::Fail(_) => self.failed += 1,
            Action::Send { id, backend, .. } => {
                let attempt = self.attempts.entry((index, id)).or_insert(0);
                let number = *attempt;
                *attempt += 1;
                if number == 0 {
                    self.first_sent_at[self.customer_by_request[&id]].push(self.now);
                }
                self.next_id += 1;
                let (number, gateway, sent) =
                    (self.next_id, (index, self.incarnations[index]), self.now);
                let job = Job {
                    number,
                    gateway,
                    id,
                    attempt: self.attempts[&(index, id)] - 1,
                    sent,
                    cancelled: false,
                };
                let backend_index = backend.0 as usize;
                self.backends[backend_index].arrivals.push(self.now);
                self.backends[backend_index].senders.insert(index);
                self.backends[backend_index].queued.push_back(job);
                self.start_work(backend_index);
            }
            Action::Cancel { id, attempt } => {
                for backend in &mut self.backends {
                    let matches =
                        |j: &&mut Job| j.gateway.0 == index && j.id == id && j.attempt == attempt;
                    backend
                        .running
                        .iter_mut()
                        .filter(matches)
                        .for_each(|j| j.cancelled = true);
                    backend
                        .queued
                        .retain(|j| !(j.gateway.0 == index && j.id == id && j.attempt == attempt));
                }
                let event = attempt_completed(id, attempt, BackendId(0), Outcome::Cancelled, 0);
                self.schedule(0, self.incarnations[index], SimEvent::Gateway(index, event));
            }
            _ => {}
        }
    }

    /// Current speed of a backend as a fraction of its speed when warm.
    fn warm_up_factor(&self, backend_index: usize) -> f64 {
        let (rules, started) = (
            &self.config.settings.rules,
            self.backends[backend_index].started_at,
        );
        if started == 0 {
            return 1.0;
        }
        let age = (self.now - started) as f64 / rules.warm_up_time as f64;
        (rules.warm_up_from + (1.0 - rules.warm_up_from) * age).min(1.0)
    }

    fn start_work(&mut self, backend_index: usize) {
        while !self.backends[backend_index].silent && self.backends[backend_index].running.len() < 2
        {
            let Some(job) = self.backends[backend_index].queued.pop_front() else {
                return;
            };
            let duration_factor = self.random_fraction() + 0.5;
            let span = (self.config.mean_work as f64 * duration_factor
                / self.warm_up_factor(backend_index)) as Micros;
            self.schedule(span, 0, SimEvent::WorkDone(backend_index, job.number));
            self.backends[backend_index].running.push(job);
        }
    }

    fn finish_work(&mut self, backend_index: usize, number: u64) {
        let Some(at) = self.backends[backend_index]
            .running
            .iter()
            .position(|j| j.number == number)
        else {
            return;
        };
        let job = self.backends[backend_index].running.remove(at);
        let (index, incarnation) = job.gateway;
        if !job.cancelled
            && !self.backends[backend_index].silent
            && self.incarnations[index] == incarnation
        {
            let elapsed = self.now - job.sent + 2 * ONE_WAY_LATENCY;
            let event = attempt_completed(
                job.id,
                job.attempt,
                BackendId(backend_index as u64),
                Outcome::Ok,
                elapsed,
            );
            let arrived_at = self.arrived_at.remove(&job.id);
            self.served += u64::from(arrived_at.is_some());
            let objective = self.config.settings.classes[0].latency_objective;
            self.in_time += u64::from(arrived_at.is_some_and(|a| self.now - a <= objective));
            self.schedule(
                ONE_WAY_LATENCY,
                incarnation,
                SimEvent::Gateway(index, event),
            );
        }
        self.start_work(backend_index);
    }

    /// The maximum number of units, over any span of time, by which a customer exceeded a token
    /// bucket with this rate and burst.
    pub fn max_excess(&self, customer: usize, rate: f64, burst: f64) -> f64 {
        let (mut level, mut last, mut worst) = (burst, START, 0.0f64);
        for at in &self.first_sent_at[customer] {
            level = (level + rate * (at - last) as f64 / SECOND as f64).min(burst) - 1.0;
            (last, worst) = (*at, worst.max(-level));
        }
        worst
    }

    /// The window during warm-up in which a backend received most relative to its budget: the
    /// number of arrivals, and the budget, which is the number of requests that the rules allow in
    /// that window at the warm-up factor at its start.
    pub fn fullest_warm_up_window(&self, backend_index: usize) -> (usize, f64) {
        let (rules, backend) = (&self.config.settings.rules, &self.backends[backend_index]);
        let (span, mut fullest) = (rules.overload_window, (0, 1.0));
        let mut max_excess = f64::MIN;
        for (at, window_start) in backend
            .arrivals
            .iter()
            .enumerate()
            .filter(|(_, t)| **t >= backend.started_at)
        {
            let age = (window_start - backend.started_at) as f64 / rules.warm_up_time as f64;
            if age >= 1.0 {
                break;
            }
            let warm_up_factor = rules.warm_up_from + (1.0 - rules.warm_up_from) * age;
            let budget = rules.overload_factor * 2.0 * warm_up_factor * span as f64
                / self.config.mean_work as f64;
            let arrivals = backend.arrivals[at..]
                .iter()
                .take_while(|t| **t < window_start + span)
                .count();
            let excess = arrivals as f64 - budget - 2.0 * budget.sqrt() - 2.0;
            if excess > max_excess {
                (max_excess, fullest) = (excess, (arrivals, budget));
            }
        }
        fullest
    }

    /// The maximum number of requests that arrived at a backend within any window of this length.
    pub fn max_arrivals_within(&self, backend_index: usize, span: Micros) -> usize {
        let arrivals = &self.backends[backend_index].arrivals;
        let within = |at: usize| {
            arrivals[at..]
                .iter()
                .take_while(|t| **t < arrivals[at] + span)
                .count()
        };
        (0..arrivals.len()).map(within).max().unwrap_or(0)
    }
}

fn attempt_completed(
    id: RequestId,
    attempt: u16,
    backend: BackendId,
    outcome: Outcome,
    elapsed: Micros,
) -> Event {
    let complete = outcome == Outcome::Ok;
    let (metered, charged, report) = (None, None, None);
    Event::AttemptCompleted {
        id,
        attempt,
        backend,
        outcome,
        complete,
        elapsed,
        metered_usage: metered,
        charged_units: charged,
        report,
    }
}

fn endpoint(backend_index: u64) -> Endpoint {
    let (zone, cell) = ((backend_index % 2) as u8, (backend_index / 4) as u16);
    Endpoint {
        backend: BackendId(backend_index),
        zone,
        cell,
        weight: 1.0,
        ..Endpoint::default()
    }
}
