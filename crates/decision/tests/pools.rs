//! Routing to pools and fallback between pools.

mod harness;

use harness::{endpoint, settings, Harness, SECOND, START};
use proptest::prelude::{prop, prop_assert, proptest};
use std::collections::BTreeMap;
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, EndpointState, Event, Gateway,
    Micros, Outcome, Request, RequestId, Settings, MAX_ROUTE_POOLS,
};

/// Settings of a single gateway with `pools` pools and no peers, so that only the pools decide
/// where a request goes.
fn with_pools(pools: u8) -> Settings {
    let mut s = settings();
    (s.gateway_count, s.pool_count) = (1, pools);
    s.limits.peers = false;
    s
}

/// An endpoint that belongs to the given pools.
fn endpoint_in_pools(n: u64, pools: &[u8]) -> Endpoint {
    Endpoint {
        pools: pools.iter().fold(0, |set, p| set | 1 << (p - 1)),
        ..endpoint(n)
    }
}

struct PoolTest {
    harness: Harness,
    /// The endpoint list that the gateway last received.
    list: Vec<Endpoint>,
    /// Attempts in flight: request, attempt number, backend.
    in_flight: Vec<(RequestId, u16, BackendId)>,
    /// Number of attempts of each request.
    attempt_counts: BTreeMap<RequestId, u16>,
    /// Number of rejections.
    rejected: usize,
}

impl PoolTest {
    fn new(pools: u8, list: Vec<Endpoint>) -> PoolTest {
        let mut harness = Harness {
            gateway: Gateway::new(with_pools(pools), 7, START),
            now: START,
            next_id: 0,
        };
        harness.feed(Event::EndpointsChanged(
            EndpointListKind::Cached,
            list.clone(),
        ));
        harness.advance(SECOND / 10);
        PoolTest {
            harness,
            list,
            in_flight: Vec::new(),
            attempt_counts: BTreeMap::new(),
            rejected: 0,
        }
    }

    fn record(&mut self, actions: Vec<Action>) -> Vec<BackendId> {
        let mut sent_to = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let n = self.attempt_counts.entry(id).or_default();
                    self.in_flight.push((id, *n, backend));
                    *n += 1;
                    sent_to.push(backend);
                }
                Action::Reject { .. } => self.rejected += 1,
                _ => {}
            }
        }
        sent_to
    }

    /// Passes in a request with this route. Returns its id, and its backend if it was sent at once.
    fn request(
        &mut self,
        class: u8,
        route: &[u8],
        customer: u64,
    ) -> (RequestId, Option<BackendId>) {
        let id = RequestId(self.harness.next_id);
        self.harness.next_id += 1;
        let mut padded_route = [0; MAX_ROUTE_POOLS];
        padded_route[..route.len()].copy_from_slice(route);
        let request = Request {
            id,
            class,
            customer: CustomerId(customer),
            deadline: self.harness.now + 4 * SECOND,
            units: 1.0,
            gateway_span: 1.0,
            route: padded_route,
            own_pools: 1,
            ..Request::default()
        };
        let actions = self.harness.feed(Event::Request(request));
        (id, self.record(actions).first().copied())
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) -> Vec<BackendId> {
        let (id, attempt, backend) = self.in_flight.swap_remove(index);
        let actions = self.harness.end_attempt(id, attempt, backend, outcome);
        self.record(actions)
    }

    fn end_all(&mut self, outcome: impl Fn(BackendId) -> Outcome) {
        while let Some((_, _, backend)) = self.in_flight.last().copied() {
            self.end_attempt(self.in_flight.len() - 1, outcome(backend));
        }
    }

    fn advance(&mut self, duration: Micros) {
        let actions = self.harness.advance(duration);
        self.record(actions);
    }

    fn update_endpoints(&mut self, change: impl Fn(&mut Endpoint)) {
        self.list.iter_mut().for_each(change);
        let actions = self.harness.feed(Event::EndpointsChanged(
            EndpointListKind::Full,
            self.list.clone(),
        ));
        self.record(actions);
    }

    /// Sends one request for each of `customers` customers and answers it at once. Returns how many
    /// were sent to backends for which `in_preferred` holds, and how many to others.
    fn count_by_pool(
        &mut self,
        route: &[u8],
        customers: u64,
        in_preferred: impl Fn(BackendId) -> bool,
    ) -> (usize, usize) {
        let (mut to_preferred, mut others) = (0, 0);
        for customer in 0..customers {
            let (_, backend) = self.request(0, route, 10_000 + customer);
            match backend {
                Some(b) if in_preferred(b) => to_preferred += 1,
                Some(_) => others += 1,
                None => {}
            }
            self.end_all(|_| Outcome::Ok);
        }
        (to_preferred, others)
    }
}

fn two_pools() -> PoolTest {
    PoolTest::new(
        2,
        (0..8)
            .map(|n| endpoint_in_pools(n, if n < 4 { &[1] } else { &[2] }))
            .collect(),
    )
}

fn in_first_pool(b: BackendId) -> bool {
    b.0 < 4
}

#[test]
fn requests_go_to_their_preferred_pool_and_never_outside_their_route() {
    let mut test = two_pools();
    assert_eq!(test.count_by_pool(&[1, 2], 50, in_first_pool), (50, 0));
    assert_eq!(test.count_by_pool(&[2], 50, in_first_pool), (0, 50));
    let (in_pool_1, in_pool_2) = test.count_by_pool(&[], 200, in_first_pool);
    assert!(
        in_pool_1 > 50 && in_pool_2 > 50,
        "a request without a route may use every backend: {in_pool_1} sent to pool 1, \
         {in_pool_2} to pool 2"
    );
    test.update_endpoints(|entry| {
        entry.state = if in_first_pool(entry.backend) {
            EndpointState::Draining
        } else {
            entry.state
        }
    });
    let (_, backend) = test.request(0, &[1], 1);
    assert_eq!(
        backend, None,
        "sent to backend {backend:?} although every backend of the pool drains"
    );
    test.advance(5 * SECOND);
    assert_eq!(
        test.rejected, 1,
        "the request must be rejected, not sent to another pool"
    );
}

/// When all backends of a pool drain at once, its requests fall back on the next pool, but only as
/// far as that has spare capacity.
#[test]
fn draining_pool_falls_back_without_overloading_the_next_pool() {
    let mut test = two_pools();
    // The second pool's own requests take half of its 16 slots, four for each of its four backends.
    for n in 0..8 {
        assert!(test.request(0, &[2], n).1.is_some());
    }
    test.update_endpoints(|entry| {
        entry.state = if in_first_pool(entry.backend) {
            EndpointState::Draining
        } else {
            entry.state
        }
    });
    for n in 0..40 {
        test.request(0, &[1, 2], 100 + n);
    }
    let in_flight = test.in_flight.len();
    assert!(
        (10..=12).contains(&in_flight),
        "{in_flight} of 16 slots in use: fallback traffic must leave some to the pool's own requests"
    );
    // The pool's own requests are still sent at once.
    for n in 0..4 {
        assert!(
            test.request(0, &[2], 200 + n).1.is_some(),
            "request {n} of the pool's own found no free slot"
        );
    }
    assert!(test.in_flight.len() <= 16);
    test.advance(2 * SECOND);
    assert!(
        test.rejected > 0,
        "requests without capacity in any pool must be rejected"
    );
}

/// A pool that is warming up accepts fallback traffic according to its warm-up factor.
#[test]
fn warming_pool_accepts_less_fallback_traffic() {
    let accepted = |started_at| {
        let mut test = two_pools();
        test.update_endpoints(|entry| {
            entry.started_at = if in_first_pool(entry.backend) {
                0
            } else {
                started_at
            }
        });
        test.update_endpoints(|entry| {
            entry.state = if in_first_pool(entry.backend) {
                EndpointState::Removed
            } else {
                entry.state
            }
        });
        for n in 0..60 {
            test.request(0, &[1, 2], n);
        }
        test.in_flight.len()
    };
    let (warm, cold) = (accepted(0), accepted(START));
    assert!(
        cold * 2 < warm,
        "{cold} requests accepted by the warming pool, {warm} by the warm one"
    );
}

/// Guards against traffic that moves back and forth with a pool that comes and goes every second: a
/// pool that returns gets its traffic back along a recovery ramp.
#[test]
fn flapping_pool_gets_little_traffic_and_stable_pool_gets_all_of_it_back() {
    let mut test = two_pools();
    test.count_by_pool(&[1, 2], 20, in_first_pool);
    let set_removed = |test: &mut PoolTest, removed: bool| {
        test.update_endpoints(|entry| {
            if in_first_pool(entry.backend) {
                entry.state = if removed {
                    EndpointState::Removed
                } else {
                    EndpointState::Ready
                };
            }
        });
    };
    for _ in 0..5 {
        set_removed(&mut test, true);
        assert_eq!(test.count_by_pool(&[1, 2], 100, in_first_pool).0, 0);
        test.advance(SECOND);
        set_removed(&mut test, false);
        let (back, _) = test.count_by_pool(&[1, 2], 100, in_first_pool);
        assert!(
            back < 30,
            "{back} of 100 requests returned to the pool at once"
        );
        test.advance(SECOND);
    }
    test.advance(4 * SECOND);
    assert_eq!(
        test.count_by_pool(&[1, 2], 100, in_first_pool),
        (100, 0),
        "the pool stayed ready"
    );
}

/// A failing pool loses its requests to the next pool, is probed with a few requests, and gets all
/// of them back once it works again.
#[test]
fn failing_pool_is_avoided_probed_and_used_again_after_recovery() {
    let mut test = two_pools();
    let outcome_while_failing = |b: BackendId| {
        if in_first_pool(b) {
            Outcome::Error
        } else {
            Outcome::Ok
        }
    };
    for n in 0..60 {
        test.request(0, &[1, 2], n);
        test.end_all(outcome_while_failing);
        test.advance(SECOND / 20);
    }
    let mut to_first_pool = 0;
    for n in 0..300 {
        to_first_pool += usize::from(test.request(0, &[1, 2], n).1.is_some_and(in_first_pool));
        test.end_all(outcome_while_failing);
        test.advance(SECOND / 20);
    }
    assert!(
        (5..90).contains(&to_first_pool),
        "{to_first_pool} of 300 requests probed the failing pool"
    );
    // Requests that are not idempotent are not used as probes.
    for n in 0..100 {
        let backend = test.request(2, &[1, 2], n).1;
        assert!(
            backend.is_some_and(|b| !in_first_pool(b)),
            "request {n} sent to {backend:?}"
        );
        test.end_all(|_| Outcome::Ok);
        test.advance(SECOND / 50);
    }
    for n in 0..400 {
        test.request(0, &[1, 2], n);
        test.end_all(|_| Outcome::Ok);
        test.advance(SECOND / 20);
    }
    assert_eq!(
        test.count_by_pool(&[1, 2], 100, in_first_pool),
        (100, 0),
        "the pool works again"
    );
}

/// An overloaded pool sheds only its own load. Requests of another pool are neither rejected nor
/// delayed.
#[test]
fn overloaded_pool_sheds_only_its_own_load() {
    let mut test = two_pools();
    let mut sent = 0;
    for n in 0..400u64 {
        test.request(0, &[1], n);
        while let Some(index) = test.in_flight.iter().position(|o| in_first_pool(o.2)) {
            let (id, attempt, backend) = test.in_flight.swap_remove(index);
            let actions = test.harness.feed(Event::AttemptCompleted {
                id,
                attempt,
                backend,
                outcome: Outcome::Ok,
                complete: true,
                // Twice the latency objective.
                elapsed: 2 * SECOND,
                metered_usage: None,
                charged_units: None,
                report: None,
            });
            test.record(actions);
        }
        test.rejected = 0;
        sent += usize::from(test.request(0, &[2], 1_000 + n).1.is_some());
        test.end_all(|_| Outcome::Ok);
        test.advance(SECOND / 20);
    }
    assert_eq!(
        sent, 400,
        "the second pool is idle and must accept every request"
    );
    let mut rejected = 0;
    for n in 0..100 {
        rejected += usize::from(test.request(0, &[1], 5_000 + n).1.is_none());
        test.end_all(|_| Outcome::Ok);
    }
    assert!(rejected > 0, "the overloaded first pool must shed load");
}

/// A request that may have run is retried in another pool only if the idempotency of its class
/// permits it.
#[test]
fn retries_cross_pools_only_if_the_class_permits_it() {
    // Even backends are in one cell, odd ones in the other, and each pool has one backend in each
    // cell.
    let list = vec![
        endpoint_in_pools(0, &[1]),
        endpoint_in_pools(1, &[1]),
        endpoint_in_pools(2, &[2]),
        endpoint_in_pools(3, &[2]),
    ];
    let mut test = PoolTest::new(2, list);
    // Not idempotent: the request ends with a reset.
    let (id, backend) = test.request(2, &[1, 2], 1);
    assert!(backend.is_some_and(|b| b.0 < 2));
    assert!(test.end_attempt(0, Outcome::Reset).is_empty() && !test.harness.is_pending(id));
    // A rejected attempt never ran, so the request is retried.
    test.request(2, &[1, 2], 2);
    let next = test.end_attempt(0, Outcome::Rejected);
    assert_eq!(
        next.len(),
        1,
        "a rejected attempt never ran, so the request must be retried"
    );
    test.end_all(|_| Outcome::Ok);
    // With an idempotency key shared within a cell: retried only in the cell of the first attempt,
    // in any pool.
    for customer in 3..8 {
        let (_, backend) = test.request(1, &[1, 2], customer);
        let cell = backend.unwrap().0 % 2;
        for next in test.end_attempt(0, Outcome::Reset) {
            assert_eq!(
                next.0 % 2,
                cell,
                "backend {next:?} does not share the idempotency key"
            );
        }
        test.end_all(|_| Outcome::Ok);
        test.advance(SECOND);
    }
    // Idempotent: retried on any backend of its route.
    let (_, backend) = test.request(0, &[1, 2], 21);
    assert!(backend.is_some_and(|b| b.0 < 2));
    assert_eq!(test.end_attempt(0, Outcome::Reset).len(), 1);
    test.end_all(|_| Outcome::Ok);
}

/// A backend that changes pools while it has attempts in flight: the requests end and all slots are
/// released.
#[test]
fn backend_that_changes_pools_with_attempts_in_flight_leaks_no_slots() {
    let mut test = two_pools();
    for n in 0..10 {
        test.request(0, &[1, 2], n);
    }
    test.update_endpoints(|entry| entry.pools = if in_first_pool(entry.backend) { 2 } else { 1 });
    test.end_all(|_| Outcome::Ok);
    test.advance(SECOND);
    let mut sent = 0;
    for n in 0..16 {
        sent += usize::from(test.request(0, &[2], 100 + n).1.is_some_and(in_first_pool));
    }
    assert_eq!(
        sent, 16,
        "all slots of the second pool must be free, on the backends that moved there"
    );
}

/// A gateway that receives a fixed sequence of requests and outcomes, with a record of all its
/// actions.
struct Replay {
    harness: Harness,
    route: [u8; MAX_ROUTE_POOLS],
    /// Attempts in flight, and the number of attempts of each request.
    in_flight: Vec<(RequestId, u16, BackendId)>,
    attempt_counts: BTreeMap<RequestId, u16>,
    log: Vec<Vec<Action>>,
}

impl Replay {
    fn new(pools: u8, route: [u8; MAX_ROUTE_POOLS]) -> Replay {
        let mut harness = Harness {
            gateway: Gateway::new(with_pools(pools), 7, START),
            now: START,
            next_id: 0,
        };
        let list = (0..6)
            .map(|n| {
                if pools > 0 {
                    endpoint_in_pools(n, &[1])
                } else {
                    endpoint(n)
                }
            })
            .collect();
        let first_actions = harness.feed(Event::EndpointsChanged(EndpointListKind::Cached, list));
        Replay {
            harness,
            route,
            in_flight: Vec::new(),
            attempt_counts: BTreeMap::new(),
            log: vec![first_actions],
        }
    }

    fn record(&mut self, actions: Vec<Action>) {
        for a in &actions {
            if let Action::Send { id, backend, .. } = a {
                let count = self.attempt_counts.entry(*id).or_default();
                self.in_flight.push((*id, *count, *backend));
                *count += 1;
            }
        }
        self.log.push(actions);
    }

    fn request(&mut self, n: u64) {
        let request = Request {
            id: RequestId(n),
            class: (n % 3) as u8,
            customer: CustomerId(n * 7 % 40),
            deadline: self.harness.now + 4 * SECOND,
            units: 1.0,
            gateway_span: 1.0,
            route: self.route,
            own_pools: 1,
            ..Request::default()
        };
        let mut actions = self.harness.feed(Event::Request(request));
        if n.is_multiple_of(2) {
            actions.extend(self.harness.advance(20_000));
        }
        self.record(actions);
    }

    fn end_some(&mut self, n: u64) {
        while self.in_flight.len() > 20 + (n % 9) as usize {
            let index = (n * 31 % self.in_flight.len() as u64) as usize;
            let (id, attempt, backend) = self.in_flight.remove(index);
            let outcome = if n.is_multiple_of(11) {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            let actions = self.harness.end_attempt(id, attempt, backend, outcome);
            self.record(actions);
        }
    }

    /// Returns all actions except log events, which name pools.
    fn run(mut self) -> Vec<Vec<Action>> {
        for n in 0..3_000 {
            self.request(n);
            self.end_some(n);
        }
        for actions in &mut self.log {
            actions.retain(|a| !matches!(a, Action::Log(_)));
        }
        self.log
    }
}

/// A single pool that contains all backends leads to exactly the same actions as no pools.
#[test]
fn one_pool_with_all_backends_behaves_like_no_pools() {
    let without = Replay::new(0, [0; MAX_ROUTE_POOLS]).run();
    let with = Replay::new(1, [1, 0, 0, 0]).run();
    let count_sends = |log: &[Vec<Action>]| {
        let all = log.iter().flatten();
        all.filter(|a| matches!(a, Action::Send { .. })).count()
    };
    assert!(count_sends(&without) > 2_000);
    assert_eq!(without, with);
}

proptest! {
    /// With arbitrary endpoint lists, routes and failures, no request is sent outside its pools,
    /// every request ends, and no request that is not idempotent is retried after an attempt that
    /// may have run.
    #[test]
    fn any_lists_routes_and_failures_keep_requests_in_their_pools(
        steps in prop::collection::vec((0u8..8, 0u8..16, prop::collection::vec(1u8..4, 1..4), 0u64..9), 1..150)
    ) {
        let mut test = PoolTest::new(3, (0..6).map(|n| endpoint_in_pools(n, &[(n % 3) as u8 + 1])).collect());
        let mut routes: BTreeMap<RequestId, Vec<u8>> = BTreeMap::new();
        let mut possibly_ran: BTreeMap<RequestId, bool> = BTreeMap::new();
        let mut classes: BTreeMap<RequestId, u8> = BTreeMap::new();
        let mut checked_attempts: BTreeMap<RequestId, u16> = BTreeMap::new();
        for (step_kind, n, route, customer) in steps {
            match step_kind {
                0..=2 => {
                    let (id, _) = test.request(n % 3, &route, customer);
                    routes.insert(id, route);
                    classes.insert(id, n % 3);
                }
                3 => test.advance(SECOND / 10 * u64::from(n)),
                4 => {
                    let index = usize::from(n) % 6;
                    let mut list = test.list.clone();
                    list[index].state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][customer as usize % 3];
                    list[index].pools = u64::from(n % 8);
                    list[index].started_at = if customer == 8 { test.harness.now } else { 0 };
                    test.list = list;
                    test.update_endpoints(|_| {});
                }
                _ if test.in_flight.is_empty() => {}
                _ => {
                    let index = usize::from(n) % test.in_flight.len();
                    let outcome = [Outcome::Ok, Outcome::Error, Outcome::Reset, Outcome::Rejected, Outcome::ConnectFailed][usize::from(step_kind + n) % 5];
                    let id = test.in_flight[index].0;
                    if !outcome.never_ran() {
                        possibly_ran.insert(id, true);
                    }
                    test.end_attempt(index, outcome);
                }
            }
            for (id, attempt, backend) in &test.in_flight {
                if checked_attempts.get(id).is_some_and(|c| c > attempt) {
                    // Checked when it was sent, against the endpoint list of that time.
                    continue;
                }
                checked_attempts.insert(*id, attempt + 1);
                let pools = test.list[backend.0 as usize].pools;
                let route = &routes[id];
                prop_assert!(route.iter().any(|p| pools & 1 << (p - 1) != 0), "{id:?} sent to {backend:?} in pools {pools:b}, outside its route {route:?}");
                prop_assert!(test.list[backend.0 as usize].state == EndpointState::Ready);
                prop_assert!(classes[id] != 2 || *attempt == 0 || !possibly_ran.contains_key(id), "{id:?} retried although it may have run");
            }
        }
        test.end_all(|_| Outcome::Ok);
        test.advance(6 * SECOND);
        test.end_all(|_| Outcome::Ok);
        for id in routes.keys() {
            prop_assert!(!test.harness.is_pending(*id), "{id:?} is still pending");
        }
    }
}
