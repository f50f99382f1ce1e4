//! One gateway by events and actions, for the tests.
#![allow(dead_code)]

use wrenfork_decision::{
    Action, Availability, BackendId, Class, CustomerId, Event, Gateway, GatewayNo, Group, Limits,
    Listed, Micros, Outcome, Plan, Repeat, Request, RequestId, RosterKind, Rules, Settings,
};

pub const T0: Micros = 1_000_000_000;
pub const S: Micros = 1_000_000;

pub fn class(repeat: Repeat) -> Class {
    Class {
        aim: S,
        aim_stretch: 0.0,
        deadline: 4 * S,
        worth: 1.0,
        late_worth: 0.0,
        repeat,
        stream: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        open_cap: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
    }
}

/// Three gateways; classes: safe, keyed by cell for 2 s, once; plans: large, small, ceiling, capped.
pub fn settings() -> Settings {
    let keyed = Repeat::Keyed {
        group: Group::Cell,
        window: 2 * S,
    };
    let ceiling = Plan {
        ceiling_rate: 6.0,
        ceiling_burst: 12.0,
        ..plan(100.0, 100.0)
    };
    Settings {
        gateways: 3,
        me: GatewayNo(0),
        zone: 0,
        tick: 4_000,
        classes: vec![class(Repeat::Safe), class(keyed), class(Repeat::Once)],
        plans: vec![
            plan(1e6, 1e6),
            plan(2.0, 6.0),
            ceiling,
            Plan {
                open_cap: 2,
                ..plan(0.0, 0.0)
            },
        ],
        limits: Limits {
            max_attempts: 3,
            second_copies: true,
            cancel: true,
            probes: false,
            peers: true,
            peer_in_per_s: 60.0,
            retry_after: true,
            max_retry_after: 2 * S,
            counter: false,
            max_open: 20_000,
        },
        rules: Rules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            cold_from: 0.2,
            cold_time: 10 * S,
            fall_factor: 3.0,
            fall_time: S,
            must_ask: 10 * S,
        },
        ..Settings::default()
    }
}

pub fn listed(n: u64) -> Listed {
    Listed {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        kind: 0,
        availability: Availability::Ready,
        size: 1.0,
        started: 0,
        pools: 0,
    }
}

pub struct Rig {
    pub gateway: Gateway,
    pub now: Micros,
    pub next: u64,
}

impl Rig {
    pub fn with(settings: Settings, backends: u64) -> Rig {
        let mut rig = Rig {
            gateway: Gateway::new(settings, 7, T0),
            now: T0,
            next: 0,
        };
        rig.feed(Event::Roster(
            RosterKind::Cached,
            (0..backends).map(listed).collect(),
        ));
        rig
    }

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

    pub fn ask(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
    ) -> (RequestId, Vec<Action>) {
        self.ask_of(class, plan, customer, units, 3.0)
    }

    pub fn ask_of(
        &mut self,
        class: u8,
        plan: u16,
        customer: u64,
        units: f64,
        width: f64,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let deadline = self.now + 4 * S;
        let customer = CustomerId(customer);
        let first = if width == 6.0 { 15.0 } else { 0.0 };
        let req = Request {
            id,
            class,
            plan,
            customer,
            deadline,
            units,
            width,
            first,
            ..Request::default()
        };
        (id, self.feed(Event::Request(req)))
    }

    /// Whether a request is still known: told once more under the same id, one that is gone is refused as too late.
    pub fn gateway_owes(&mut self, id: RequestId) -> bool {
        let req = Request {
            id,
            deadline: 0,
            ..Request::default()
        };
        !refused(&self.feed(Event::Request(req)))
    }

    pub fn settle(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.feed(Event::Settled {
            id,
            attempt,
            backend,
            outcome,
            complete: outcome == Outcome::Ok,
            took: 100_000,
            metered: None,
            charged: None,
            report: None,
        })
    }
}

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

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
