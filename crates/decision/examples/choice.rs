//! What a request costs in the decision module by nodes and pools: it is taken, sent, answered and
//! settled, with nothing around it. All sizes in one run, in turn, so that what the machine does
//! besides falls on all of them.
//!
//!     cargo run --release -p wrenfork-decision --example choice
//!
//! `docs/measurements/pools.md` has the figures.

use std::time::{Duration, Instant};
use wrenfork_decision::{
    Action, BackendId, Class, CustomerId, Endpoint, EndpointListKind, EndpointState, Event,
    Gateway, Idempotency, Micros, Outcome, Plan, Request, RequestId, Settings, MAX_ROUTE_POOLS,
};

const NODES: [u64; 3] = [10, 100, 1_000];
const POOLS: [u8; 3] = [0, 1, 16];
const ROUNDS: usize = 9;
const REQUESTS: u64 = 20_000;
const SECOND: Micros = 1_000_000;

struct World {
    gateway: Gateway,
    pools: u8,
    now: Micros,
    next: u64,
    actions: Vec<Action>,
}

impl World {
    fn new(nodes: u64, pools: u8) -> World {
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
        let list = (0..nodes).map(|n| Endpoint {
            backend: BackendId(n.wrapping_mul(0x9E37_79B9_7F4A_7C15)),
            state: EndpointState::Ready,
            weight: 1.0,
            // Every pool has a node, and every node a pool.
            pools: (0..u64::from(pools))
                .filter(|p| p % nodes == n || n % u64::from(pools) == *p)
                .fold(0, |set, p| set | 1 << p),
            ..Endpoint::default()
        });
        let mut world = World {
            gateway: Gateway::new(settings, 7, now),
            pools,
            now,
            next: 0,
            actions: Vec::new(),
        };
        let roster = Event::EndpointsChanged(EndpointListKind::Full, list.collect());
        world.gateway.handle(now, roster, &mut world.actions);
        world
    }

    /// Requests, four out at a time; how long one took, and how many were sent.
    fn run(&mut self, requests: u64) -> (Duration, u64) {
        let (mut out, mut sent, start) = (Vec::with_capacity(8), 0, Instant::now());
        for _ in 0..requests {
            self.next += 1;
            self.now += 100;
            let id = RequestId(self.next);
            let mut route = [0; MAX_ROUTE_POOLS];
            if self.pools > 0 {
                let first = (self.next % u64::from(self.pools)) as u8;
                route[0] = first + 1;
                if self.pools > 1 {
                    route[1] = (first + 1) % self.pools + 1;
                }
            }
            let request = Request {
                id,
                customer: CustomerId(self.next % 1_000),
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
                    out.push((id, backend));
                }
            }
            if out.len() == 4 {
                for (id, backend) in out.drain(..) {
                    let settled = Event::AttemptCompleted {
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
                    self.gateway.handle(self.now, settled, &mut self.actions);
                }
            }
        }
        (start.elapsed() / requests as u32, sent)
    }
}

fn main() {
    let mut worlds: Vec<_> = NODES
        .iter()
        .flat_map(|n| POOLS.map(|p| (*n, p, World::new(*n, p), Vec::new())))
        .collect();
    for round in 0..=ROUNDS {
        for (_, _, world, elapsed) in &mut worlds {
            let (each, sent) = world.run(REQUESTS);
            assert!(
                sent >= REQUESTS * 9 / 10,
                "only {sent} of {REQUESTS} were sent"
            );
            if round > 0 {
                elapsed.push(each); // the first fills caches and stores
            }
        }
    }
    println!("| nodes | no pools | 1 pool | 16 pools |\n| --- | --- | --- | --- |");
    for nodes in NODES {
        let cells = worlds
            .iter_mut()
            .filter(|w| w.0 == nodes)
            .map(|(_, _, _, elapsed)| {
                elapsed.sort_unstable();
                let ns = |at: usize| elapsed[at].as_nanos();
                format!("{} ns ({} to {})", ns(ROUNDS / 2), ns(0), ns(ROUNDS - 1))
            });
        println!("| {nodes} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
}
