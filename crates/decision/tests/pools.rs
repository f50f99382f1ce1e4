//! Pools and falling back, by events and actions.

mod rig;

use proptest::prelude::{prop, prop_assert, proptest};
use rig::{listed, settings, Rig, S, T0};
use std::collections::BTreeMap;
use wrenfork_decision::{
    Action, BackendId, CustomerId, Endpoint, EndpointListKind, EndpointState, Event, Gateway,
    Micros, Outcome, Request, RequestId, Settings, MAX_ROUTE_POOLS,
};

/// One gateway with so many pools; nothing but pools decides where a request goes.
fn with_pools(pools: u8) -> Settings {
    let mut s = settings();
    (s.gateway_count, s.pool_count) = (1, pools);
    s.limits.peers = false;
    s
}

/// A backend of some pools.
fn of(n: u64, pools: &[u8]) -> Endpoint {
    Endpoint {
        pools: pools.iter().fold(0, |set, p| set | 1 << (p - 1)),
        ..listed(n)
    }
}

struct World {
    rig: Rig,
    list: Vec<Endpoint>,
    /// What is out: the request, the attempt's number, where.
    out: Vec<(RequestId, u16, BackendId)>,
    counts: BTreeMap<RequestId, u16>,
    refused: usize,
}

impl World {
    fn new(pools: u8, list: Vec<Endpoint>) -> World {
        let mut rig = Rig {
            gateway: Gateway::new(with_pools(pools), 7, T0),
            now: T0,
            next: 0,
        };
        rig.feed(Event::EndpointsChanged(
            EndpointListKind::Cached,
            list.clone(),
        ));
        rig.pass(S / 10);
        World {
            rig,
            list,
            out: Vec::new(),
            counts: BTreeMap::new(),
            refused: 0,
        }
    }

    fn note(&mut self, actions: Vec<Action>) -> Vec<BackendId> {
        let mut to = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, backend, .. } => {
                    let n = self.counts.entry(id).or_default();
                    self.out.push((id, *n, backend));
                    *n += 1;
                    to.push(backend);
                }
                Action::Reject { .. } => self.refused += 1,
                _ => {}
            }
        }
        to
    }

    /// Asks for one of a class through pools, best first; where it was sent at once.
    fn ask(&mut self, class: u8, route: &[u8], customer: u64) -> (RequestId, Option<BackendId>) {
        let id = RequestId(self.rig.next);
        self.rig.next += 1;
        let mut way = [0; MAX_ROUTE_POOLS];
        way[..route.len()].copy_from_slice(route);
        let req = Request {
            id,
            class,
            customer: CustomerId(customer),
            deadline: self.rig.now + 4 * S,
            units: 1.0,
            gateway_span: 1.0,
            route: way,
            own_pools: 1,
            ..Request::default()
        };
        let actions = self.rig.feed(Event::Request(req));
        (id, self.note(actions).first().copied())
    }

    fn settle(&mut self, at: usize, outcome: Outcome) -> Vec<BackendId> {
        let (id, attempt, backend) = self.out.swap_remove(at);
        let actions = self.rig.settle(id, attempt, backend, outcome);
        self.note(actions)
    }

    fn settle_all(&mut self, outcome: impl Fn(BackendId) -> Outcome) {
        while let Some((_, _, backend)) = self.out.last().copied() {
            self.settle(self.out.len() - 1, outcome(backend));
        }
    }

    fn pass(&mut self, span: Micros) {
        let actions = self.rig.pass(span);
        self.note(actions);
    }

    fn relist(&mut self, change: impl Fn(&mut Endpoint)) {
        self.list.iter_mut().for_each(change);
        let actions = self.rig.feed(Event::EndpointsChanged(
            EndpointListKind::Full,
            self.list.clone(),
        ));
        self.note(actions);
    }

    /// Customers in turn, each asking once and answered at once: how many went to which pool's
    /// first backend group.
    fn spread(
        &mut self,
        route: &[u8],
        customers: u64,
        first: impl Fn(BackendId) -> bool,
    ) -> (usize, usize) {
        let (mut to_first, mut others) = (0, 0);
        for customer in 0..customers {
            let (_, to) = self.ask(0, route, 10_000 + customer);
            match to {
                Some(b) if first(b) => to_first += 1,
                Some(_) => others += 1,
                None => {}
            }
            self.settle_all(|_| Outcome::Ok);
        }
        (to_first, others)
    }
}

fn two_pools() -> World {
    World::new(
        2,
        (0..8)
            .map(|n| of(n, if n < 4 { &[1] } else { &[2] }))
            .collect(),
    )
}

fn in_first(b: BackendId) -> bool {
    b.0 < 4
}

#[test]
fn a_request_goes_to_its_best_pool_and_to_no_backend_outside_its_pools() {
    let mut w = two_pools();
    assert_eq!(w.spread(&[1, 2], 50, in_first), (50, 0));
    assert_eq!(w.spread(&[2], 50, in_first), (0, 50));
    let (one, two) = w.spread(&[], 200, in_first);
    assert!(
        one > 50 && two > 50,
        "without a route any will do: {one} {two}"
    );
    w.relist(|l| {
        l.state = if in_first(l.backend) {
            EndpointState::Draining
        } else {
            l.state
        }
    });
    let (_, to) = w.ask(0, &[1], 1);
    assert_eq!(to, None, "nobody of its pool takes work");
    w.pass(5 * S);
    assert_eq!(w.refused, 1, "told, and sent nowhere else");
}

/// A pool whose every node starts to drain at once: its requests go on in the next one, as far as
/// that has room to spare.
#[test]
fn a_pool_that_drains_falls_back_and_does_not_push_the_next_one_over() {
    let mut w = two_pools();
    // The second pool's own work takes half of what it may have out: four backends, four places
    // each.
    for n in 0..8 {
        assert!(w.ask(0, &[2], n).1.is_some());
    }
    w.relist(|l| {
        l.state = if in_first(l.backend) {
            EndpointState::Draining
        } else {
            l.state
        }
    });
    for n in 0..40 {
        w.ask(0, &[1, 2], 100 + n);
    }
    let out = w.out.len();
    assert!(
        (10..=12).contains(&out),
        "{out} of 16 places are out: what falls back leaves some to the pool's own"
    );
    // Its own are still served at once.
    for n in 0..4 {
        assert!(
            w.ask(0, &[2], 200 + n).1.is_some(),
            "{n}: its own found no place"
        );
    }
    assert!(w.out.len() <= 16);
    w.pass(2 * S);
    assert!(w.refused > 0, "what no pool has room for is told so");
}

/// A cold fallback takes what its warmth allows.
#[test]
fn a_cold_fallback_takes_less() {
    let taken = |started| {
        let mut w = two_pools();
        w.relist(|l| l.started_at = if in_first(l.backend) { 0 } else { started });
        w.relist(|l| {
            l.state = if in_first(l.backend) {
                EndpointState::Removed
            } else {
                l.state
            }
        });
        for n in 0..60 {
            w.ask(0, &[1, 2], n);
        }
        w.out.len()
    };
    let (warm, cold) = (taken(0), taken(T0));
    assert!(cold * 2 < warm, "{cold} cold, {warm} warm");
}

/// Guards against a crowd that moves back and forth with a pool that comes and goes each second.
#[test]
fn a_pool_that_flaps_keeps_few_and_one_that_stays_has_all_of_them_back() {
    let mut w = two_pools();
    w.spread(&[1, 2], 20, in_first);
    let gone = |w: &mut World, gone: bool| {
        w.relist(|l| {
            if in_first(l.backend) {
                l.state = if gone {
                    EndpointState::Removed
                } else {
                    EndpointState::Ready
                };
            }
        });
    };
    for _ in 0..5 {
        gone(&mut w, true);
        assert_eq!(w.spread(&[1, 2], 100, in_first).0, 0);
        w.pass(S);
        gone(&mut w, false);
        let (back, _) = w.spread(&[1, 2], 100, in_first);
        assert!(back < 30, "{back} of 100 moved at once");
        w.pass(S);
    }
    w.pass(4 * S);
    assert_eq!(w.spread(&[1, 2], 100, in_first), (100, 0), "it stayed");
}

/// A pool that fails as a whole sheds onto the next, is tried by a trickle, and is found out when
/// it works again.
#[test]
fn a_pool_that_fails_is_passed_over_tried_and_taken_back() {
    let mut w = two_pools();
    let fails = |b: BackendId| {
        if in_first(b) {
            Outcome::Error
        } else {
            Outcome::Ok
        }
    };
    for n in 0..60 {
        w.ask(0, &[1, 2], n);
        w.settle_all(fails);
        w.pass(S / 20);
    }
    let mut first = 0;
    for n in 0..300 {
        first += usize::from(w.ask(0, &[1, 2], n).1.is_some_and(in_first));
        w.settle_all(fails);
        w.pass(S / 20);
    }
    assert!((5..90).contains(&first), "{first} of 300 tried it");
    // What must never run twice is not what it is tried with.
    for n in 0..100 {
        let to = w.ask(2, &[1, 2], n).1;
        assert!(to.is_some_and(|b| !in_first(b)), "{to:?}");
        w.settle_all(|_| Outcome::Ok);
        w.pass(S / 50);
    }
    for n in 0..400 {
        w.ask(0, &[1, 2], n);
        w.settle_all(|_| Outcome::Ok);
        w.pass(S / 20);
    }
    assert_eq!(w.spread(&[1, 2], 100, in_first), (100, 0), "it works again");
}

/// One sick pool sheds its own load: the other's requests are neither cut nor held up.
#[test]
fn one_pressed_pool_does_not_shed_for_another() {
    let mut w = two_pools();
    let mut sent = 0;
    for n in 0..400u64 {
        w.ask(0, &[1], n);
        while let Some(at) = w.out.iter().position(|o| in_first(o.2)) {
            let (id, attempt, backend) = w.out.swap_remove(at);
            let actions = w.rig.feed(Event::AttemptCompleted {
                id,
                attempt,
                backend,
                outcome: Outcome::Ok,
                complete: true,
                elapsed: 2 * S, // far too slow
                metered_usage: None,
                charged_units: None,
                report: None,
            });
            w.note(actions);
        }
        w.refused = 0;
        sent += usize::from(w.ask(0, &[2], 1_000 + n).1.is_some());
        w.settle_all(|_| Outcome::Ok);
        w.pass(S / 20);
    }
    assert_eq!(sent, 400, "the second pool is idle");
    let mut cut = 0;
    for n in 0..100 {
        cut += usize::from(w.ask(0, &[1], 5_000 + n).1.is_none());
        w.settle_all(|_| Outcome::Ok);
    }
    assert!(cut > 0, "the first one is pressed, and sheds");
}

/// What may have run is not carried on into another pool, unless its class allows it.
#[test]
fn what_may_have_run_crosses_pools_only_where_its_class_allows_it() {
    // Cells: even backends one, odd ones the other; the first pool has one backend of either.
    let list = vec![of(0, &[1]), of(1, &[1]), of(2, &[2]), of(3, &[2])];
    let mut w = World::new(2, list);
    // Once: a reset ends it.
    let (id, to) = w.ask(2, &[1, 2], 1);
    assert!(to.is_some_and(|b| b.0 < 2));
    assert!(w.settle(0, Outcome::Reset).is_empty() && !w.rig.gateway_owes(id));
    // Turned away unseen it never ran: it may go on.
    w.ask(2, &[1, 2], 2);
    let next = w.settle(0, Outcome::Rejected);
    assert_eq!(next.len(), 1, "it never ran");
    w.settle_all(|_| Outcome::Ok);
    // Keyed by cell: within the cell of the first, in whatever pool.
    for customer in 3..8 {
        let (_, to) = w.ask(1, &[1, 2], customer);
        let cell = to.unwrap().0 % 2;
        for next in w.settle(0, Outcome::Reset) {
            assert_eq!(next.0 % 2, cell, "the key is not known there");
        }
        w.settle_all(|_| Outcome::Ok);
        w.pass(S);
    }
    // Safe: anywhere that it may go.
    let (_, to) = w.ask(0, &[1, 2], 21);
    assert!(to.is_some_and(|b| b.0 < 2));
    assert_eq!(w.settle(0, Outcome::Reset).len(), 1);
    w.settle_all(|_| Outcome::Ok);
}

/// A node that moves from one pool to another while a request is out on it: the request ends, and
/// the places are right.
#[test]
fn a_backend_that_changes_pools_under_a_request_leaves_no_place_taken() {
    let mut w = two_pools();
    for n in 0..10 {
        w.ask(0, &[1, 2], n);
    }
    w.relist(|l| l.pools = if in_first(l.backend) { 2 } else { 1 });
    w.settle_all(|_| Outcome::Ok);
    w.pass(S);
    let mut sent = 0;
    for n in 0..16 {
        sent += usize::from(w.ask(0, &[2], 100 + n).1.is_some_and(in_first));
    }
    assert_eq!(
        sent, 16,
        "all places of the second pool are free, and are those backends'"
    );
}

/// A gateway that is fed a fixed stream of requests and ends, and all that it did.
struct Replay {
    rig: Rig,
    route: [u8; MAX_ROUTE_POOLS],
    /// Attempts that have not ended, and how many each request has had.
    out: Vec<(RequestId, u16, BackendId)>,
    counts: BTreeMap<RequestId, u16>,
    log: Vec<Vec<Action>>,
}

impl Replay {
    fn new(pools: u8, route: [u8; MAX_ROUTE_POOLS]) -> Replay {
        let mut rig = Rig {
            gateway: Gateway::new(with_pools(pools), 7, T0),
            now: T0,
            next: 0,
        };
        let list = (0..6)
            .map(|n| if pools > 0 { of(n, &[1]) } else { listed(n) })
            .collect();
        let first = rig.feed(Event::EndpointsChanged(EndpointListKind::Cached, list));
        Replay {
            rig,
            route,
            out: Vec::new(),
            counts: BTreeMap::new(),
            log: vec![first],
        }
    }

    fn note(&mut self, actions: Vec<Action>) {
        for a in &actions {
            if let Action::Send { id, backend, .. } = a {
                let count = self.counts.entry(*id).or_default();
                self.out.push((*id, *count, *backend));
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
            deadline: self.rig.now + 4 * S,
            units: 1.0,
            gateway_span: 1.0,
            route: self.route,
            own_pools: 1,
            ..Request::default()
        };
        let mut actions = self.rig.feed(Event::Request(request));
        if n.is_multiple_of(2) {
            actions.extend(self.rig.pass(20_000));
        }
        self.note(actions);
    }

    fn settle_some(&mut self, n: u64) {
        while self.out.len() > 20 + (n % 9) as usize {
            let pick = (n * 31 % self.out.len() as u64) as usize;
            let (id, attempt, backend) = self.out.remove(pick);
            let outcome = if n.is_multiple_of(11) {
                Outcome::Reset
            } else {
                Outcome::Ok
            };
            let actions = self.rig.settle(id, attempt, backend, outcome);
            self.note(actions);
        }
    }

    /// All actions but the lines for the log, which name pools.
    fn run(mut self) -> Vec<Vec<Action>> {
        for n in 0..3_000 {
            self.request(n);
            self.settle_some(n);
        }
        for actions in &mut self.log {
            actions.retain(|a| !matches!(a, Action::Log(_)));
        }
        self.log
    }
}

/// With one pool that all backends are of, a module with pools does what one without them does, to
/// the last action.
#[test]
fn one_pool_of_all_is_no_pool() {
    let without = Replay::new(0, [0; MAX_ROUTE_POOLS]).run();
    let with = Replay::new(1, [1, 0, 0, 0]).run();
    let sends = |log: &[Vec<Action>]| {
        let all = log.iter().flatten();
        all.filter(|a| matches!(a, Action::Send { .. })).count()
    };
    assert!(sends(&without) > 2_000);
    assert_eq!(without, with);
}

proptest! {
    /// Any lists, routes and failures: no request is sent outside its pools, each ends, and none
    /// that may have run and must not runs again.
    #[test]
    fn any_lists_routes_and_failures_keep_requests_in_their_pools(
        steps in prop::collection::vec((0u8..8, 0u8..16, prop::collection::vec(1u8..4, 1..4), 0u64..9), 1..150)
    ) {
        let mut w = World::new(3, (0..6).map(|n| of(n, &[(n % 3) as u8 + 1])).collect());
        let mut may: BTreeMap<RequestId, Vec<u8>> = BTreeMap::new();
        let mut ran: BTreeMap<RequestId, bool> = BTreeMap::new();
        let mut class_of: BTreeMap<RequestId, u8> = BTreeMap::new();
        let mut checked: BTreeMap<RequestId, u16> = BTreeMap::new();
        for (what, n, route, customer) in steps {
            match what {
                0..=2 => {
                    let (id, _) = w.ask(n % 3, &route, customer);
                    may.insert(id, route);
                    class_of.insert(id, n % 3);
                }
                3 => w.pass(S / 10 * u64::from(n)),
                4 => {
                    let at = usize::from(n) % 6;
                    let mut list = w.list.clone();
                    list[at].state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][customer as usize % 3];
                    list[at].pools = u64::from(n % 8);
                    list[at].started_at = if customer == 8 { w.rig.now } else { 0 };
                    w.list = list;
                    w.relist(|_| {});
                }
                _ if w.out.is_empty() => {}
                _ => {
                    let at = usize::from(n) % w.out.len();
                    let outcome = [Outcome::Ok, Outcome::Error, Outcome::Reset, Outcome::Rejected, Outcome::ConnectFailed][usize::from(what + n) % 5];
                    let id = w.out[at].0;
                    if !outcome.never_ran() {
                        ran.insert(id, true);
                    }
                    w.settle(at, outcome);
                }
            }
            for (id, attempt, backend) in &w.out {
                if checked.get(id).is_some_and(|c| c > attempt) {
                    continue; // looked at when it was sent, under the list of then
                }
                checked.insert(*id, attempt + 1);
                let set = w.list[backend.0 as usize].pools;
                let route = &may[id];
                prop_assert!(route.iter().any(|p| set & 1 << (p - 1) != 0), "{id:?} went to {backend:?} of {set:b}, not {route:?}");
                prop_assert!(w.list[backend.0 as usize].state == EndpointState::Ready);
                prop_assert!(class_of[id] != 2 || *attempt == 0 || !ran.contains_key(id), "{id:?} may run twice");
            }
        }
        w.settle_all(|_| Outcome::Ok);
        w.pass(6 * S);
        w.settle_all(|_| Outcome::Ok);
        for id in may.keys() {
            prop_assert!(!w.rig.gateway_owes(*id), "{id:?} is left open");
        }
    }
}
