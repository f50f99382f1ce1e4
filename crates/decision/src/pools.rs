//! Pools of backends: which of a request's pools it goes to, and when it falls back. A request has its pools in order, best
//! first, the first of them its own; without any it may go to every backend, which is pool 0. Which backend of a pool takes it,
//! how much may be out and who is refused is decided in `control.rs`, for each pool by itself: a pool that is pressed sheds its
//! own load and nobody else's.
//!
//! - A pool that has nobody ready, or fails as a whole, is passed over. A trickle still goes to one that fails, to see when it
//!   is back; what must never run twice is not used for that.
//! - One that is back takes its customers back step by step, the same ones first each time: one that comes and goes each second
//!   keeps few of them, and its fallback the others, instead of all of them moving each time.
//! - A pool that is at its bound sends what is beyond it on, as far as the next one has room to spare. A part of each pool is
//!   kept for its own requests, so that what others send cannot push it over; the bound counts cold and slow backends for what
//!   they are worth.

use crate::control::{ALERT_OFF, ALERT_ON, PRESSURE_TAU, SPILL};
use crate::event::{Endpoint, Request};
use crate::ids::{Micros, RequestId};
use crate::settings::{Idempotency, MAX_ROUTE_POOLS};
use crate::state::{decay, mix, Gateway, Open};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// How long a pool that is back takes to have all of its customers again: longer than it takes to see that it is gone.
const RETURN: Micros = 4_000_000;
/// The share that comes back at once.
const AT_ONCE: f64 = 0.1;
/// The share of recent answers that were bad from which a pool fails as a whole, and the one at which it is back.
const FAILS: f64 = 0.6;
const WORKS: f64 = 0.3;
/// The weight of an answer in that share: a handful tells.
const ANSWER: f64 = 0.15;
/// Memory of what a pool's own requests need of it, in seconds: longer than these take.
const NEED_TAU: f64 = 3.0;
/// One in so many requests goes to a pool that fails.
const TRICKLE: f64 = 0.1;

/// The pool that an attempt went through, and whether as a guest.
pub type Through = (usize, bool);

/// A pool, as this gateway knows it.
#[derive(Default, Serialize, Deserialize)]
pub struct Pool {
    /// The places of its ready backends, in an order of this gateway's own.
    pub order: Vec<usize>,
    pub ready_size: f64,
    /// As many as the ready ones are worth, the cold and the slow for less than one.
    pub able: f64,
    pub waiting: VecDeque<RequestId>,
    /// Attempts out that went out through this pool.
    pub out: u32,
    /// Those among them of guests: requests whose own pool is another one.
    guests: u32,
    /// What guests' answers felt like. It is no pressure of the pool's own requests: these are not cut for it.
    guest_pressure: f64,
    guest_at: Micros,
    /// The most places that its own requests have taken of late.
    need: f64,
    need_at: Micros,
    /// Attempts that may be out at a backend, by all gateways, if all send alike.
    pub places: f64,
    pub limit_at: Micros,
    pub pressure: f64,
    pub pressure_at: Micros,
    /// Answers' times over those on calm servers.
    pub strain: f64,
    /// Recent share of requests inside their quota that found no place.
    pub turned_away: f64,
    pub rung: usize,
    pub rung_since: Micros,
    /// Share of recent answers that were bad.
    bad: f64,
    fails: bool,
    /// Since when it takes its customers back; none where it has them all, as from the start on.
    back_at: Option<Micros>,
    /// It has had a backend before.
    known: bool,
}

impl Pool {
    /// One that begins with so many places a backend.
    pub fn new(places: f64) -> Pool {
        Pool {
            places,
            ..Pool::default()
        }
    }

    /// Its ready backends are others now.
    pub fn listed(&mut self, order: Vec<usize>, ready_size: f64, now: Micros) {
        if self.order.is_empty() && !order.is_empty() && self.known {
            // What was felt before it was gone says nothing of those that came.
            (self.pressure, self.strain, self.rung, self.bad, self.fails) =
                (0.0, 0.0, 0, 0.0, false);
            self.back_at = Some(now);
        }
        self.known |= !order.is_empty();
        (self.order, self.ready_size) = (order, ready_size);
    }

    /// An attempt goes out through it.
    pub fn sent(&mut self, guest: bool, now: Micros) {
        self.out += 1;
        if guest {
            self.guests += 1;
        } else {
            (self.need, self.need_at) = (self.own_need(now), now);
        }
    }

    /// One that went out through it has ended.
    pub fn settled(&mut self, guest: bool) {
        self.out = self.out.saturating_sub(1);
        self.guests = self.guests.saturating_sub(u32::from(guest));
    }

    /// Notes what a guest's answer felt like.
    pub fn feel_guest(&mut self, pressure: f64, now: Micros) {
        let keep = decay(self.guest_at, now, PRESSURE_TAU).min(0.98);
        self.guest_pressure = self.guest_pressure * keep + pressure.min(4.0) * (1.0 - keep);
        self.guest_at = now;
    }

    fn own_need(&self, now: Micros) -> f64 {
        let out = f64::from(self.out - self.guests.min(self.out)) + self.waiting.len() as f64;
        out.max(self.need * decay(self.need_at, now, NEED_TAU))
    }

    /// The part of the pool that guests may have: what its own requests leave of it, but for some to grow into.
    pub fn guest_part(&self, limit: f64, now: Micros) -> f64 {
        (SPILL - self.own_need(now) / limit).max(0.0)
    }

    /// Whether one more guest may come, within a bound on all that is out.
    fn spare(&self, limit: f64, now: Micros) -> bool {
        let calm = self.pressure < ALERT_OFF
            && self.guest_pressure * decay(self.guest_at, now, NEED_TAU) < ALERT_ON;
        let room = f64::from(self.guests) < limit * self.guest_part(limit, now)
            && f64::from(self.out) < limit;
        calm && room && self.waiting.is_empty() && !self.fails && !self.order.is_empty()
    }

    /// Notes how an attempt of its own ended.
    pub fn note(&mut self, bad: bool, now: Micros) {
        self.bad += ANSWER * (f64::from(u8::from(bad)) - self.bad);
        if self.fails && self.bad < WORKS {
            (self.fails, self.back_at) = (false, Some(now));
        }
        self.fails |= self.bad > FAILS;
    }

    /// Whether a request of a customer may go to it: it has somebody, does not fail, and has its customer back.
    fn takes(&self, customer: f64, lot: f64, once: bool, now: Micros) -> bool {
        if self.order.is_empty() {
            return false;
        }
        if self.fails {
            return !once && lot < TRICKLE;
        }
        let share = self
            .back_at
            .map_or(1.0, |at| AT_ONCE + (now - at) as f64 / RETURN as f64);
        customer < share
    }
}

impl Gateway {
    /// A request's pools in their order, and how many of them are its own: what it falls back on comes behind these.
    fn route(&self, req: &Request) -> ([u8; MAX_ROUTE_POOLS], usize, usize) {
        let known = req
            .route
            .iter()
            .take_while(|p| **p != 0 && usize::from(**p) < self.pools.len())
            .count();
        // A request without a route has one pool, that of all backends.
        (
            req.route,
            known.max(1),
            usize::from(req.own_pools).clamp(1, known.max(1)),
        )
    }

    /// The first of a request's pools that takes it at all, with its place among them; where none does, the first.
    fn best(&self, o: &Open) -> (usize, usize) {
        let (route, count, _) = self.route(&o.req);
        if count == 1 {
            return (0, usize::from(route[0]));
        }
        let customer = mix(o.req.customer.0 ^ 0x5EED);
        let lot = mix(o.req.id.0 ^ 0x7121);
        let takes = |p: &u8| {
            let once = o.class.idempotency == Idempotency::NotIdempotent;
            self.pools[usize::from(*p)].takes(customer, lot, once, self.now)
        };
        let at = route[..count].iter().position(takes);
        at.map_or((0, usize::from(route[0])), |at| {
            (at, usize::from(route[at]))
        })
    }

    /// The pool that a request goes to if it goes at once: by its rung it is let in or not.
    pub(crate) fn goal(&self, o: &Open) -> usize {
        self.best(o).1
    }

    /// The pool in whose line a request waits: one of its own, for in another's line it would hold up that one's own.
    pub(crate) fn line_of(&self, o: &Open) -> usize {
        let ((route, _, own), (at, best)) = (self.route(&o.req), self.best(o));
        if at < own {
            best
        } else {
            usize::from(route[0])
        }
    }

    /// The pools that would take a request now, best first: its best one within its bound, those behind with room to spare.
    pub(crate) fn room(&self, o: &Open) -> [Option<usize>; MAX_ROUTE_POOLS] {
        let (route, count, own) = self.route(&o.req);
        let (first, _) = self.best(o);
        let mut room = [None; MAX_ROUTE_POOLS];
        for at in first..count {
            let number = usize::from(route[at]);
            let pool = &self.pools[number];
            let (out, limit) = (f64::from(pool.out), self.limit(number));
            let own_takes = || out < limit && (at == first || !pool.fails);
            let takes = if at < own {
                own_takes()
            } else {
                pool.spare(limit, self.now)
            };
            room[at] = takes.then_some(number);
        }
        room
    }

    /// Whether a request is a guest in a pool: it falls back on it.
    pub(crate) fn is_guest(&self, req: &Request, at: usize) -> bool {
        let (route, count, own) = self.route(req);
        own < count && route[..own].iter().all(|p| usize::from(*p) != at)
    }

    /// The pools that a backend is of.
    pub(crate) fn pools_of(&self, listed: &Endpoint) -> impl Iterator<Item = usize> {
        let (set, count) = (listed.pools, self.pools.len());
        std::iter::once(0).chain((1..count).filter(move |n| set & 1 << (n - 1) != 0))
    }
}
