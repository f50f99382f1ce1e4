//! Test harness that drives one gateway with events and inspects its actions.
#![allow(dead_code)]

use wrenfork_decision::{
    Action, BackendId, BackendRules, Class, CustomerId, Endpoint, EndpointListKind, EndpointState,
    Event, Gateway, GatewayId, Idempotency, KeyScope, Limits, Micros, Outcome, Plan, Request,
    RequestId, Settings,
};

/// The clock of a new harness, in microseconds.
pub const START: Micros = 1_000_000_000;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// A class with a latency objective of 1 s and a deadline of 4 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: SECOND,
        objective_stretch: 0.0,
        deadline: 4 * SECOND,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streaming: false,
    }
}

/// A plan whose only limit is a rate quota, in units per second with a burst in units.
pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_in_flight: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        weight_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_cost: 1.0,
    }
}

/// Settings for three gateways.
///
/// Classes: 0 is idempotent, 1 has an idempotency key shared within a cell for 2 s, 2 is not
/// idempotent. Plans: 0 has a practically unlimited quota, 1 a small quota, 2 a ceiling, 3 at most
/// two attempts in flight.
pub fn settings() -> Settings {
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 2 * SECOND,
    };
    let ceiling = Plan {
        ceiling_rate: 6.0,
        ceiling_burst: 12.0,
        ..plan(100.0, 100.0)
    };
    Settings {
        gateway_count: 3,
        gateway_id: GatewayId(0),
        zone: 0,
        tick: 4_000,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NotIdempotent),
        ],
        plans: vec![
            plan(1e6, 1e6),
            plan(2.0, 6.0),
            ceiling,
            Plan {
                max_in_flight: 2,
                ..plan(0.0, 0.0)
            },
        ],
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            peers: true,
            peer_messages_per_s: 60.0,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            shared_counter: false,
            max_pending: 20_000,
        },
        rules: BackendRules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            warm_up_from: 0.2,
            warm_up_time: 10 * SECOND,
            overload_factor: 3.0,
            overload_window: SECOND,
            max_poll_interval: 10 * SECOND,
        },
        ..Settings::default()
    }
}

/// A ready endpoint. Consecutive numbers alternate between two zones and two cells.
pub fn endpoint(n: u64) -> Endpoint {
    Endpoint {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        machine_kind: 0,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: 0,
        pools: 0,
    }
}

/// A gateway with its clock and the id of its next request.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Micros,
    pub next_id: u64,
}

impl Harness {
    /// Creates a gateway whose endpoint list has `backends` entries.
    pub fn new(settings: Settings, backends: u64) -> Harness {
        let mut harness = Harness {
            gateway: Gateway::new(settings, 7, START),
            now: START,
            next_id: 0,
        };
        harness.feed(Event::EndpointsChanged(
            EndpointListKind::Cached,
            (0..backends).map(endpoint).collect(),
        ));
        harness
    }

    /// Passes an event to the gateway at the current time and returns the resulting actions.
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock in steps of 20 ms, one wake-up interval, and fires the timer at each
    /// step.
    pub fn advance(&mut self, duration: Micros) -> Vec<Action> {
        let (mut actions, end) = (Vec::new(), self.now + duration);
        while self.now < end {
            self.now += 20_000;
            actions.extend(self.feed(Event::Timer(0)));
        }
        actions
    }

    /// Passes in a request of a customer whose requests come through three gateways. Returns its id
    /// and the resulting actions.
    pub fn request(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.request_with_span(class, plan, customer, units, 3.0)
    }

    /// Like [`Harness::request`], with the number of gateways that the customer uses.
    pub fn request_with_span(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        gateway_span: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let deadline = self.now + 4 * SECOND;
        let customer = CustomerId(customer);
        let first_gateway = if gateway_span == 6.0 { 15.0 } else { 0.0 };
        let request = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            gateway_span,
            first_gateway,
            ..Request::default()
        };
        (id, self.feed(Event::Request(request)))
    }

    /// Whether the request is still pending. Passes in the same id with an expired deadline, which
    /// the gateway rejects unless that id is in use.
    pub fn is_pending(&mut self, id: RequestId) -> bool {
        let request = Request {
            id,
            deadline: 0,
            ..Request::default()
        };
        !is_rejected(&self.feed(Event::Request(request)))
    }

    /// Ends an attempt after 100 ms and returns the resulting actions.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.feed(Event::AttemptCompleted {
            id,
            attempt,
            backend,
            outcome,
            complete: outcome == Outcome::Ok,
            elapsed: 100_000,
            metered_usage: None,
            charged_units: None,
            report: None,
        })
    }
}

/// The backends of all `Send` actions, in order.
pub fn sent_to(actions: &[Action]) -> Vec<BackendId> {
    let backend_of = |a: &Action| {
        if let Action::Send { backend, .. } = a {
            Some(*backend)
        } else {
            None
        }
    };
    actions.iter().filter_map(backend_of).collect()
}

/// Whether the actions contain a rejection.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether the actions contain a failure.
pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

/// Ends the first attempt of a request successfully after `elapsed`.
pub fn end_attempt_after(
    harness: &mut Harness,
    id: RequestId,
    backend: BackendId,
    elapsed: Micros,
) -> Vec<Action> {
    let (attempt, outcome, complete) = (0, Outcome::Ok, true);
    let (metered, charged, report) = (None, None, None);
    harness.feed(Event::AttemptCompleted {
        id,
        attempt,
        backend,
        outcome,
        complete,
        elapsed,
        metered_usage: metered,
        charged_units: charged,
        report,
    })
}
