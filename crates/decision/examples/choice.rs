//! Measures the time that the decision module takes per request, by the number of backends and
//! pools: a request is accepted, sent, answered and completed, with no I/O. All sizes are measured
//! in turns within one run, so that other load on the machine affects all of them alike.
//!
//!     cargo run --release -p wrenfork-decision --example choice
//!
//! `docs/measurements/pools.md` has the figures.

use std::time::{Duration, Instant};
use wrenfork_decision::{
    Action, BackendId, Class, CustomerId, Endpoint, EndpointListKind, EndpointState, Event,
    Gateway, Idempotency, Micros, Outcome, Plan, Request, RequestId, Settings, MAX_ROUTE_POOLS,
};

const BACKENDS: [u64; 3] = [10, 100, 1_000];
const POOLS: [u8; 3] = [0, 1, 16];
const ROUNDS: usize = 9;
const REQUESTS: u64 = 20_000;
const SECOND: Micros = 1_000_000;

struct Harness {
    gateway: Gateway,
    pools: u8,
    now: Micros,
    next_id: u64,
    actions: Vec<Action>,
}

impl Harness {
    fn new(backends: u64, pools: u8) -> Harness {
        let class = Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: SECOND,
            deadline: 4 * SECOND,
            priority_weight: 1.0,
            ..Class::default()
        };
        let plan = Plan {
            rate: 1e6,
            burst: 1e6,
            max_in_flight: 0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
            weight_factor: 1.0,
            over_quota_weight: 0.0,
            over_quota_cost: 1.0,
        };
        let mut settings = Settings {
            classes: vec![class],
            plans: vec![plan],
            gateway_count: 1,
            pool_count: pools,
            ..Settings::default()
        };
        settings.limits.peers = false;
        (
            settings.limits.max_pending,
            settings.limits.max_attempts,
            settings.tick,
        ) = (100_000, 3, 4_000);
        let now = 1_000_000 * SECOND;
        let list = (0..backends).map(|n| Endpoint {
            backend: BackendId(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            state: EndpointState::Ready,
            weight: 1.0,
            // Every pool has a backend, and every backend a pool.
            pools: (0..u64::from(pools))
                .filter(|p| p % backends == n || n % u64::from(pools) == *p)
                .fold(0, |set, p| set | 1 << p),
            ..Endpoint::default()
        });
        let mut harness = Harness {
            gateway: Gateway::new(settings, 7, now),
            pools,
            now,
            next_id: 0,
            actions: Vec::new(),
        };
        let endpoints = Event::EndpointsChanged(EndpointListKind::Full, list.collect());
        harness.gateway.handle(now, endpoints, &mut harness.actions);
        harness
    }

    /// Handles `requests` requests, four in flight at a time; returns the mean time per request and
    /// the number of requests sent.
    fn run(&mut self, requests: u64) -> (Duration, u64) {
        let (mut in_flight, mut sent, start) = (Vec::with_capacity(8), 0, Instant::now());
        for _ in 0..requests {
            self.next_id += 1;
            self.now += 100;
            let id = RequestId(self.next_id);
            let mut route = [0; MAX_ROUTE_POOLS];
            if self.pools > 0 {
                let first = (self.next_id % u64::from(self.pools)) as u8;
                route[0] = first + 1;
                if self.pools > 1 {
                    route[1] = (first + 1) % self.pools + 1;
                }
            }
            let request = Request {
                id,
                customer: CustomerId(self.next_id % 1_000),
                deadline: self.now + 4 * SECOND,
                units: 1.0,
                gateway_span: 1.0,
                route,
                own_pools: 1,
                ..Request::default()
            };
            self.gateway
                .handle(self.now, Event::Request(request), &mut self.actions);
            for action in self.actions.drain(..) {
                if let Action::Send { id, backend, .. } = action {
                    sent += 1;
                    in_flight.push((id, backend));
                }
            }
            if in_flight.len() == 4 {
                for (id, backend) in in_flight.drain(..) {
                    let completed = Event::AttemptCompleted {
                        id,
                        attempt: 0,
                        backend,
                        outcome: Outcome::Ok,
                        complete: true,
                        elapsed: 400,
                        metered_usage: None,
                        charged_units: None,
                        report: None,
                    };
                    self.gateway.handle(self.now, completed, &mut self.actions);
                }
            }
        }
        (start.elapsed() / requests as u32, sent)
    }
}

fn main() {
    let mut harnesses: Vec<_> = BACKENDS
        .iter()
        .flat_map(|n| POOLS.map(|p| (*n, p, Harness::new(*n, p), Vec::new())))
        .collect();
    for round in 0..=ROUNDS {
        for (_, _, harness, elapsed) in &mut harnesses {
            let (time_per_request, sent) = harness.run(REQUESTS);
            assert!(
                sent >= REQUESTS * 9 / 10,
                "only {sent} of {REQUESTS} requests were sent"
            );
            if round > 0 {
                elapsed.push(time_per_request); // round 0 warms caches and allocations up
            }
        }
    }
    println!("| backends | no pools | 1 pool | 16 pools |\n| --- | --- | --- | --- |");
    for backends in BACKENDS {
        let cells = harnesses
            .iter_mut()
            .filter(|w| w.0 == backends)
            .map(|(_, _, _, elapsed)| {
                elapsed.sort_unstable();
                let ns = |at: usize| elapsed[at].as_nanos();
                format!("{} ns ({} to {})", ns(ROUNDS / 2), ns(0), ns(ROUNDS - 1))
            });
        println!("| {backends} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
}
