//! One gateway by events and actions, for the tests.
#![allow(dead_code)]

use wrenfork_decision::{
    Action, BackendId, BackendRules, Class, CustomerId, Endpoint, EndpointListKind, EndpointState,
    Event, Gateway, GatewayId, Idempotency, KeyScope, Limits, Micros, Outcome, Plan, Request,
    RequestId, Settings,
};

/// The time at which a rig starts; `S` is a second.
pub const T0: Micros = 1_000_000_000;
pub const S: Micros = 1_000_000;

/// A class with a latency objective of 1 s and a deadline of 4 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: S,
        objective_stretch: 0.0,
        deadline: 4 * S,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        streaming: false,
    }
}

/// A plan with a quota on the rate alone, in units a second and units.
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

/// Three gateways; classes: safe, keyed by cell for 2 s, once; plans: large, small, ceiling,
/// capped.
pub fn settings() -> Settings {
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 2 * S,
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
            max_retry_after: 2 * S,
            shared_counter: false,
            max_pending: 20_000,
        },
        rules: BackendRules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            warm_up_from: 0.2,
            warm_up_time: 10 * S,
            overload_factor: 3.0,
            overload_window: S,
            max_poll_interval: 10 * S,
        },
        ..Settings::default()
    }
}

/// A ready endpoint, alternating between two zones and two cells.
pub fn listed(n: u64) -> Endpoint {
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

/// One gateway, its clock, and the number of its next request.
pub struct Rig {
    pub gateway: Gateway,
    pub now: Micros,
    pub next: u64,
}

impl Rig {
    /// A rig that has been told of so many backends.
    pub fn with(settings: Settings, backends: u64) -> Rig {
        let mut rig = Rig {
            gateway: Gateway::new(settings, 7, T0),
            now: T0,
            next: 0,
        };
        rig.feed(Event::EndpointsChanged(
            EndpointListKind::Cached,
            (0..backends).map(listed).collect(),
        ));
        rig
    }

    /// Feeds an event now; what the gateway wants done.
    pub fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass, waking the gateway as it asked.
    pub fn pass(&mut self, span: Micros) -> Vec<Action> {
        let (mut actions, end) = (Vec::new(), self.now + span);
        while self.now < end {
            self.now += 20_000;
            actions.extend(self.feed(Event::Timer(0)));
        }
        actions
    }

    /// Sends a request of a customer that comes through three gateways; its id, and what came of it.
    pub fn ask(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.ask_of(class, plan, customer, units, 3.0)
    }

    /// The same with the number of gateways that the customer comes through.
    pub fn ask_of(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        gateway_span: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + 4 * S;
        let customer = CustomerId(customer);
        let first = if gateway_span == 6.0 { 15.0 } else { 0.0 };
        let req = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            gateway_span,
            first_gateway: first,
            ..Request::default()
        };
        (id, self.feed(Event::Request(req)))
    }

    /// Whether a request is still known: told once more under the same id, one that is gone is
    /// refused as too late.
    pub fn gateway_owes(&mut self, id: RequestId) -> bool {
        let req = Request {
            id,
            deadline: 0,
            ..Request::default()
        };
        !refused(&self.feed(Event::Request(req)))
    }

    /// Ends an attempt after 100 ms; what came of it.
    pub fn settle(
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

/// The backends that attempts go to.
pub fn sends(actions: &[Action]) -> Vec<BackendId> {
    let to = |a: &Action| {
        if let Action::Send { backend, .. } = a {
            Some(*backend)
        } else {
            None
        }
    };
    actions.iter().filter_map(to).collect()
}

/// Whether a request is rejected.
pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether a request fails.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}

/// Settles an attempt after a time of its own.
pub fn answer(rig: &mut Rig, id: RequestId, backend: BackendId, elapsed: Micros) -> Vec<Action> {
    let (attempt, outcome, complete) = (0, Outcome::Ok, true);
    let (metered, charged, report) = (None, None, None);
    rig.feed(Event::AttemptCompleted {
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
