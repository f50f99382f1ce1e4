//! Every decision of a gateway. Its types stand in `src/event.rs` and `src/action.rs`, its records in `src/state.rs`.
use crate::{
    action::{Action, LogEvent},
    event::{Endpoint, EndpointListKind, EndpointState, Event, Outcome, Request},
    gossip::{
        gone_by, incarnation, tag, whole_parts, wrap, Body, Fared, Message, News, Sample, Use,
        MOST_CLASS, MOST_PLAN, MOST_SAMPLES, MOST_USES,
    },
    ids::{BackendId, CustomerId, GatewayId, Micros, RequestId},
    pools::{Pool, Through},
    settings::{
        Class, DiscoveryMode, Idempotency, KeyScope, Plan, Settings, WeightMeaning, MAX_POOLS,
    },
    state::{
        decay, mix, Attempt, Backend, Customer, Customers, Gateway, Health, Open, Usual, SECOND,
    },
};
use std::{cmp::Reverse, collections::VecDeque};

const WAKE_TICKS: u64 = 5; // ticks between wake-ups, which look at deadlines and gossip; more saves CPU
const AGING: Micros = 10_000_000; // unseen so long, a customer is green; forgotten once its buckets are full
const AMBER: [f64; 4] = [1.0, 0.9, 0.7, 0.5]; // share that passes by rung (paper, table I); green from rung 2
const LAST_RUNG: usize = 4; // preferred only
const RUNG_UP: Micros = 1_500_000; // least stay on a rung, so that its effect is seen
const RUNG_DOWN: Micros = 2_000_000;
const EPOCH: Micros = 10_000_000; // how long the same customers are cut: longer than clients retry
/// An answer weighs on the pressure by its time over this share of its aim: one in ten is late then. Not by
/// its time on calm servers: what slows all alike no shedding mends, and cutting for it served less.
const AIM_SHARE: f64 = 0.5;
const CALM_CREEP: f64 = 0.01; // growth of the calm time by itself, in a second
const LONG: f64 = 100.0; // answers in the mean whose least is the calm time: the least of a few is too low
pub(crate) const ALERT_ON: f64 = 1.0; // pressure that raises an alert
pub(crate) const ALERT_OFF: f64 = 0.75; // and that ends it: between them nothing moves
const PLACES: f64 = 4.0; // attempts out at a backend, by all gateways, to begin with: two cores, twice over
const SWINGS: f64 = 3.0; // of a gateway's part of that bound, which chance alone seldom passes
const GROW: f64 = 1.05; // mean answer over the calm one up to which that bound, where it binds, may grow
pub(crate) const SPILL: f64 = 0.7; // part of a pool's bound up to which it takes what others can't
const AWAY: f64 = 0.05; // share turned away for want of a place that alerts while pressure is not low
pub(crate) const PRESSURE_TAU: f64 = 1.0; // memory of the pressure in seconds: some dozen answers
/// Memory of use in seconds: longer than pauses, shorter than shifts of weight.
pub(crate) const RATE_TAU: f64 = 2.0;
const HOLD: f64 = 0.5; // share of an aim that a request may wait for a place at most
const IN_TIME: f64 = 3.0; // mean answers that must fit in what is left of its aim then: most come in that
const CROWD: f64 = 3.0; // how much sooner than that the line is full: its tail would wait for all before it
const UNREACHED: f64 = 0.3; // weight of one that was not reached in the doubt of its zone: two in a row tell
const SILENCE: f64 = 0.35; // share of an aim after which it is asked whether a backend is silent
const DEAD: f64 = 6.0; // answers missed from which it counts as dead: wrong once in 400
const HEDGE: f64 = 0.6; // share of an aim after which an attempt is repeated elsewhere
const COPY_COST: f64 = 3.0; // what that draws, where a retry draws 1: the first one still runs
const RETRY_SHARE: f64 = 0.1; // further attempts per first attempt: retries cannot feed an overload
const RETRY_BURST: f64 = 10.0; // and the bucket of them
const COLD_MARGIN: f64 = 0.6; // part of the rule's budget spent on a cold backend: the rest is for chance
const SUBSET: usize = 12; // backends that a sliver goes to: half may fall; connections stay few and in use
const COVER: usize = 8; // times that the gateways' shares of the backends overlap: next to none is left out
const COUNTED: Micros = 100_000; // how long a count of what the backends are worth stands
const LOOK: usize = 10; // backends compared in a choice: more change it little, and cost as much as all else
const SICK_ERRORS: f64 = 0.25; // share of errors in recent answers from which a backend gets a trickle only
const REST: Micros = 500_000; // how long it rests before one attempt tries it again; doubles up to 2^3
const DOUBT_TAU: f64 = 4.0; // memory of doubts in seconds: a sick backend is tried again by and by
pub(crate) const DOUBTED: f64 = 0.4; // doubt from which a backend is looked past in the choice
const FEW_PERIOD: f64 = 0.35; // report period in seconds up to which all of a customer's gateways are homes
const UNHEARD: Micros = 350_000; // besides a period: how long a peer's use is under way (loss, chance)
const NO_AGAIN: Micros = 500_000; // the same where it says that there is no room
const FRESH: Micros = 100_000; // age up to which a home's news need not be asked again; longest wait for it
const POOLED: f64 = 0.5; // part of a ceiling that lies with two gateways, who hand it out on demand
const LEADS: f64 = 0.75; // part of that which lies with the first of them where it is asked first
const TELLS: f64 = 0.8; // messages sent for one that a receiver takes in: some receive more than others
const GIFT_LIFE: Micros = 250_000; // ceiling units that come later than this after the asking lapse
const TELLINGS: u8 = 10; // messages that carry an answer's lesson

impl Health {
    fn rest(&mut self, now: Micros) {
        self.rest_until = now + (REST << self.strikes.min(3));
        self.strikes = self.strikes.saturating_add(1);
    }

    pub(crate) fn doubt(&self, now: Micros) -> f64 {
        // Most have never failed: a choice looks at many of them.
        if self.errors > 0.0 {
            self.errors * decay(self.at, now, DOUBT_TAU)
        } else {
            0.0
        }
    }

    fn note(&mut self, now: Micros, bad: bool, weight: f64) {
        let errors = self.doubt(now);
        self.errors = errors + weight * (f64::from(u8::from(bad)) - errors);
        self.at = now;
    }
}

impl Customer {
    /// The part of the use that is this gateway's own, with a floor for those that begin.
    fn share(&self, plan: &Plan) -> f64 {
        let floor = if self.home || self.news_at > 0 {
            0.1
        } else {
            1.0
        };
        let own = self
            .rate
            .max(plan.rate / self.gateway_span.max(1.0) * floor);
        own / (own + self.others).max(1e-9)
    }

    /// Fills the token buckets up to now.
    fn fill(&mut self, now: Micros, plan: &Plan) {
        let span = (now - self.filled) as f64 / SECOND;
        let keep = decay(self.filled, now, RATE_TAU);
        self.rate *= keep;
        let mut filling = plan.rate;
        if self.home {
            self.others *= keep;
        } else {
            // Between two words of a home, the use that goes on unheard is taken off the filling.
            filling = (plan.rate - self.others).max(plan.rate * self.share(plan));
        }
        self.level = (self.level + filling * span).min(plan.burst);
        self.ceiling = (self.ceiling + plan.ceiling_rate * self.part * span)
            .min(plan.ceiling_burst * self.part);
        self.filled = now;
    }

    /// Carries the buckets over to other figures: a raised quota refills none, a lowered one leaves no debt.
    /// One that had no limit begins full, but for a ceiling, which counts from nothing as at a start.
    fn carry(&mut self, was: &Plan, is: &Plan) {
        let unlimited = was.rate == 0.0 && is.rate > 0.0;
        self.level = if unlimited {
            is.burst
        } else {
            self.level.clamp(-is.burst, is.burst)
        };
        self.ceiling = self.ceiling.min(is.ceiling_burst * self.part);
    }
}

impl Usual {
    /// What is taken for usual before any answer.
    fn first(class: &Class, now: Micros) -> Usual {
        let recent = class.latency_objective as f64 * 0.15;
        Usual {
            recent,
            calm: recent,
            long: recent,
            at: now,
            count: 0.0,
        }
    }
}

impl Gateway {
    /// A gateway that starts now and knows nothing yet.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let usual: Vec<Usual> = settings
            .classes
            .iter()
            .map(|c| Usual::first(c, now))
            .collect();
        let pace = usual.iter().map(|u| u.recent).sum::<f64>() / usual.len().max(1) as f64;
        let shares = u64::from(settings.gateway_count.max(1));
        // Most of what a receiver takes in, over all senders; no faster than 20 a second: bytes cost.
        let period = 1.5 * (shares as f64 - 1.0) / settings.limits.peer_messages_per_s.max(1.0);
        let few = period <= FEW_PERIOD;
        Gateway {
            rng: seed,
            now,
            born: now,
            usual,
            retries: RETRY_BURST,
            pools: (0..=settings.pool_count.min(MAX_POOLS as u8))
                .map(|_| Pool::new(PLACES))
                .collect(),
            pace,
            period: if few {
                ((period * SECOND) as Micros).max(50_000)
            } else {
                0
            },
            shares,
            s: settings,
            ..Gateway::default()
        }
    }

    /// Takes one event and appends what the host is to do.
    pub fn handle(&mut self, now: Micros, event: Event, act: &mut Vec<Action>) {
        let wake = (WAKE_TICKS * self.s.tick).max(1);
        // Stood still for several wake-ups: all that came meanwhile is read before anybody is judged by it.
        if self.wake_at > 0 && now > self.wake_at + 4 * wake {
            // What is past its time by now is answered in this very turn.
            let late = self
                .requests
                .values()
                .filter(|o| o.attempts.is_empty() && !self.may_wait(o, now));
            let late: Vec<RequestId> = late.map(|o| o.req.id).collect();
            late.into_iter().for_each(|id| self.finish(id, act));
            self.woke = now;
            self.wake_at = now + wake;
            act.push(Action::SetTimer {
                delay: wake,
                token: 0,
            });
        }
        self.now = self.now.max(now);
        match event {
            Event::Request(req) => self.on_request(req, act),
            Event::AttemptCompleted { .. } => self.on_settled(event, act),
            Event::ClientDisconnected(id) => self.on_gone(id, act),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, act),
            Event::PeerMessage { from, bytes } => self.on_peer(from, &bytes, act),
            Event::EndpointsChanged(kind, list) => self.on_roster(kind, list, act),
            Event::SettingsChanged(new) => self.on_settings(*new),
            Event::Timer(_) if self.now < self.wake_at => return,
            Event::Timer(_) | Event::HealthChecked { .. } | Event::CounterUpdated { .. } => {}
        }
        if self.now >= self.wake_at {
            self.on_wake(act);
            self.wake_at = self.now + wake;
            act.push(Action::SetTimer {
                delay: wake,
                token: 0,
            });
        }
    }

    // ---- 1. A request arrives: its colour, its token buckets, the ladder ----

    fn on_request(&mut self, req: Request, act: &mut Vec<Action>) {
        let (class, plan) = (usize::from(req.class), usize::from(req.plan));
        let known = class < self.s.classes.len() && plan < self.s.plans.len();
        let sane = req.units.is_finite() && req.units >= 0.0;
        if self.requests.contains_key(&req.id) {
            return; // told twice: the first telling gets the answer
        }
        // With less than two wake-ups left nothing can be held, watched or served: answered at once.
        if !known || !sane || req.deadline < self.now + 2 * WAKE_TICKS * self.s.tick {
            return self.refuse(req.id, 0, act);
        }
        let unseen = self.meet(&req);
        let (class, most) = (self.s.classes[class], self.s.limits.max_attempts);
        let open = Open {
            req,
            class,
            most,
            arrived: self.now,
            ..Open::default()
        };
        let rung = self.pools[self.goal(&open)].rung;
        if !self.ladder_passes(req.customer, plan, unseen, rung) {
            return self.refuse(req.id, Micros::MAX, act);
        }
        let (now, may_wait) = (self.now, self.may_wait(&open, self.now));
        let (quota, ceiling) = self.wait_for_room(&req);
        let c = &self.customers[&req.customer];
        // A no may rest on older news than a yes: else a red customer's retries ask without end.
        let red = quota.is_some() && self.s.plans[plan].max_in_flight == 0;
        let fresh = now - c.news_at.min(now) < if red { NO_AGAIN } else { FRESH };
        let known = fresh || self.lead(c) == self.s.gateway_id.0;
        let short = ceiling.is_some() && quota.is_none() && c.pools != [self.s.gateway_id.0; 2];
        if !may_wait || (known && !short) {
            self.requests.insert(req.id, open);
            return self.admit(req.id, true, act);
        }
        self.requests.insert(req.id, open);
        self.hold_for_word(&req, ceiling.is_some(), short, act);
    }

    /// Whose word on a customer's room counts here: its first home, or the second while that is silent. In a
    /// small fleet each home's own, and where there is nobody to ask one's own.
    fn lead(&self, c: &Customer) -> u16 {
        if (self.period > 0 && c.home) || !self.s.limits.peers {
            return self.s.gateway_id.0;
        }
        let heard = |h: &&u16| self.peers.get(h).is_none_or(|p| p.silent_until <= self.now);
        *c.pools.iter().find(heard).unwrap_or(&c.pools[0])
    }

    /// The room is not known here: held until the homes' word comes, or for as long as that may take.
    fn hold_for_word(
        &mut self,
        req: &Request,
        asks_short: bool,
        must: bool,
        act: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(o) = self.requests.get_mut(&req.id) else {
            return;
        };
        o.held = true;
        // Past its deadline it has no time left, and is asked for once more all the same.
        let aim = o.class.latency_objective;
        let left = req
            .deadline
            .checked_sub(now)
            .map_or(aim, |left| left.min(aim));
        self.checks
            .push(Reverse((now + FRESH.min(left / 5), req.id)));
        let (me, lead) = (
            self.s.gateway_id.0,
            self.lead(&self.customers[&req.customer]),
        );
        let Some(c) = self.customers.get_mut(&req.customer) else {
            return;
        };
        c.held.retain(|h| *h != req.id);
        c.held.push(req.id);
        if c.held.len() == 1 || now - c.asked_at > FRESH || must {
            // Asked again for the ceiling's sake, the other one may have some.
            let [one, other] = c.pools;
            let turn = asks_short && c.asked == lead && now - c.asked_at < 4 * FRESH;
            c.asked = if turn || lead == me {
                one ^ other ^ lead
            } else {
                lead
            };
            c.asked_at = now;
            c.answered.clear();
            (c.asks, c.short, c.promise) = (req.units, asks_short, 0.0);
            self.report(req.customer, true, act);
        }
    }

    /// Lets a request in if the buckets have room; without it, one that is held stays till the `last` word.
    fn admit(&mut self, id: RequestId, last: bool, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else {
            return;
        };
        let (req, aim, held) = (
            o.req,
            o.class.latency_objective,
            std::mem::take(&mut o.held),
        );
        let (quota_wait, ceiling_wait) = self.wait_for_room(&req);
        let wait = quota_wait.into_iter().chain(ceiling_wait).reduce(f64::max);
        // The fuller the line, the fewer customers may join it; the same ones for an epoch, as on the ladder.
        let o = &self.requests[&id];
        let (at, room) = (self.line_of(o), self.room(o).iter().any(Option::is_some));
        let hold = self.hold(req.class, aim).max(1.0);
        let line = CROWD * self.pools[at].waiting.len() as f64 * self.pace / self.limit(at) / hold;
        let full = !room && self.draw(req.customer) >= 1.0 - line;
        // A ceiling fills faster than the quota in it: what it alone has no room for waits, as for a place.
        let later = self.now + FRESH;
        let waits = quota_wait.is_none()
            && ceiling_wait.is_some()
            && later < o.arrived + hold as Micros
            && self.may_wait(o, later);
        if wait.is_some() && (!last || waits) {
            let Some(o) = self.requests.get_mut(&id) else {
                return;
            };
            o.held = held || waits;
            if last && !std::mem::replace(&mut o.asks_again, true) {
                self.checks.push(Reverse((later, id)));
            }
            return;
        }
        self.let_go(req.customer, id, held && (wait.is_some() || full));
        if wait.is_some() || full {
            // Red, or no place and none soon.
            let pause = wait.map_or(Micros::MAX, |w| (w * SECOND) as Micros);
            let away = &mut self.pools[at].turned_away;
            *away += 0.05 * f64::from(u8::from(wait.is_none())) * (1.0 - *away);
            self.requests.remove(&id);
            self.refuse(id, pause, act);
            return if held {
                self.report(req.customer, false, act)
            }; // a home may have counted it
        }
        let away = &mut self.pools[at].turned_away;
        *away -= 0.05 * *away;
        self.charge(&req, 1.0);
        self.let_go(req.customer, id, held);
        let c = self.customers.entry(req.customer).or_default();
        let (ask, promised) = (!held && !c.home, c.promise >= req.units && self.period == 0);
        if promised {
            c.promise = 0.0; // counted by the home that gave its word
        } else {
            self.report(req.customer, ask && self.period > 0, act);
        }
        self.pools[at].waiting.push_back(id);
        self.dispatch(act);
        self.give_up(id, act);
    }

    fn refuse(&self, id: RequestId, pause: Micros, act: &mut Vec<Action>) {
        let most = if self.s.limits.retry_after {
            self.s.limits.max_retry_after
        } else {
            0
        };
        act.push(Action::Reject {
            id,
            retry_after: pause.min(most),
        });
    }

    /// Notes the customer; true if it was unseen within the ageing time.
    fn meet(&mut self, req: &Request) -> bool {
        let now = self.now;
        let plan = &self.s.plans[usize::from(req.plan)];
        let most = self.s.gateway_count.max(1) as f64;
        let sane = req.gateway_span.is_finite() && (0.0..most).contains(&req.first_gateway);
        let (first_gateway, gateway_span) = if sane {
            (req.first_gateway.floor(), req.gateway_span.clamp(1.0, most))
        } else {
            (0.0, most)
        };
        // Of a customer unseen here a gateway that is no home lets its share through, or one request.
        let level = (plan.burst / gateway_span).max(req.units).min(plan.burst);
        let others = plan.rate * (1.0 - 1.0 / gateway_span);
        let new = || Customer {
            level,
            others,
            filled: now,
            ..Customer::default()
        };
        let c = self.customers.entry(req.customer).or_insert_with(new);
        let unseen = c.seen == 0 || now - c.seen > AGING;
        (c.plan, c.seen) = (usize::from(req.plan), now);
        let burst = plan.burst;
        self.settle_in(
            req.customer,
            first_gateway as u16,
            gateway_span as u16,
            burst,
        );
        unseen
    }

    /// Fixes, for good, a customer's homes and the part of its ceiling here: not given out twice. A home
    /// begins with a `level` (full, if nobody told another: most use little of their buckets, and where all
    /// homes are new nobody knows better) and asks the others: an older one's word comes in its place.
    fn settle_in(&mut self, id: CustomerId, first_gateway: u16, gateway_span: u16, level: f64) {
        let (few, me, all, life) = (
            self.period > 0,
            self.s.gateway_id.0,
            self.s.gateway_count,
            self.now - self.born,
        );
        let Some(c) = self.customers.get_mut(&id).filter(|c| c.homes.is_empty()) else {
            return;
        };
        let (plan, set) = (&self.s.plans[c.plan], u64::from(gateway_span.clamp(1, all)));
        let at = |n: u64| ((u64::from(first_gateway) + n % set) % u64::from(all)) as u16;
        let one = (mix(id.0) * set as f64) as u64;
        let other = 1 + (mix(!id.0) * (set as f64 - 1.0)) as u64;
        (c.first_gateway, c.gateway_span, c.pools) =
            (first_gateway, set as f64, [at(one), at(one + other)]);
        c.homes = if few {
            (0..set).map(at).collect()
        } else {
            c.pools.to_vec()
        };
        c.homes.dedup();
        c.home = c.homes.contains(&me);
        // Half of the ceiling lies with two, who hand it out; each has some for when they are not heard.
        // Where a part is less than a unit it would serve nobody; and where one is asked first, it has most.
        let useless = plan.ceiling_burst * (1.0 - POOLED) < c.gateway_span;
        let (pooled, lead) = (
            if useless { 1.0 } else { POOLED },
            if few { 0.5 } else { LEADS },
        );
        let parts = c
            .pools
            .iter()
            .zip([lead, 1.0 - lead])
            .filter(|(p, _)| **p == me)
            .map(|(_, part)| part);
        c.part = (1.0 - pooled) / c.gateway_span + pooled * parts.sum::<f64>();
        // It counts from nothing at this start: what went before is not known here.
        c.ceiling = (plan.ceiling_rate * life as f64 / SECOND).min(plan.ceiling_burst) * c.part;
        if !c.home || !self.s.limits.peers {
            return;
        }
        c.level = level;
        // The second of two is told by the first in any case.
        for home in c
            .homes
            .iter()
            .filter(|h| **h != me && (few || c.pools[0] == me))
        {
            self.peers
                .entry(*home)
                .or_default()
                .outbox
                .insert(id, (1, true));
            self.due.insert(*home);
        }
    }

    /// Fills a customer's buckets up to now.
    fn fill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let c = self.customers.get_mut(&id)?;
        c.fill(self.now, &self.s.plans[c.plan]);
        Some(c)
    }

    /// Seconds until the quota, and the ceiling, may have room; none where there is room now.
    fn wait_for_room(&mut self, req: &Request) -> (Option<f64>, Option<f64>) {
        self.fill(req.customer);
        let c = &self.customers[&req.customer];
        let plan = &self.s.plans[c.plan];
        // What a lead hears of it has been asked for; elsewhere its word was right when it came.
        let span = match self.period {
            // One that nobody has told of passes its first request by itself: most are far from their quotas.
            0 if self.lead(c) == self.s.gateway_id.0 || c.news_at == 0 => 0,
            0 => UNHEARD.min(self.now - c.news_at.min(self.now)),
            period => period + UNHEARD,
        };
        let unheard = c.others * span as f64 / SECOND;
        let mut quota = None;
        if plan.rate > 0.0 {
            // The room left, split by use heard; the peers' part is no more than what they pass unheard.
            let room = c.level - unheard.min(c.level.max(0.0) * (1.0 - c.share(plan)));
            if room + 1e-9 < req.units {
                quota = Some((req.units - room) / plan.rate);
            }
        }
        // Heavy users wait at every gateway for the same free place: what peers likely began unheard counts,
        // as far as it is still out.
        let lasts = (IN_TIME * self.usual[usize::from(req.class)].recent)
            .min((self.period + UNHEARD) as f64);
        let begun = c.others * lasts / SECOND / req.units.max(0.1);
        let open = c.open + c.others_open + begun as u32;
        if plan.max_in_flight > 0 && open >= plan.max_in_flight {
            quota = Some(
                quota
                    .unwrap_or(0.0)
                    .max(self.usual[usize::from(req.class)].calm / SECOND),
            );
        }
        let has = c.ceiling + c.granted;
        let short = plan.ceiling_rate > 0.0 && has + 1e-9 < req.units;
        let ceiling = short.then(|| (req.units - has) / (plan.ceiling_rate * c.part.max(0.01)));
        (quota, ceiling)
    }

    /// Draws a request's units from the buckets, or gives them back (`sign` -1) when it was never sent.
    fn charge(&mut self, req: &Request, sign: f64) {
        let Some(c) = self.customers.get_mut(&req.customer) else {
            return;
        };
        let plan = &self.s.plans[c.plan];
        let units = req.units * sign;
        c.level = (c.level - units).clamp(-plan.burst, plan.burst);
        let granted = units.clamp(0.0, c.granted);
        c.granted -= granted;
        let most = plan.ceiling_burst * c.part;
        c.ceiling = (c.ceiling - units + granted).clamp(-most, most); // without a ceiling no debt grows
        c.used += units;
        c.rate = (c.rate + units / RATE_TAU).max(0.0);
    }

    /// Whether the rung lets this customer pass. Whom it cuts is fixed for an epoch, alike at all gateways:
    /// a coin for each request would let refused clients' retries in, too late to earn anything, until they
    /// fill the fleet and cause the next refusals. It hurts those cut for a whole epoch.
    fn ladder_passes(&self, customer: CustomerId, plan: usize, green: bool, rung: usize) -> bool {
        if rung == 0 || (green && rung < 2) {
            return true;
        }
        let top = self
            .s
            .plans
            .iter()
            .map(|p| p.weight_factor)
            .fold(f64::MIN, f64::max);
        let differ = self.s.plans.iter().any(|p| p.weight_factor < top);
        let share = if rung == LAST_RUNG && differ {
            0.0
        } else {
            AMBER[rung.min(3)]
        };
        (differ && self.s.plans[plan].weight_factor >= top) || self.draw(customer) < share
    }

    fn draw(&self, customer: CustomerId) -> f64 {
        mix(customer.0 ^ (self.now / EPOCH) << 33)
    }

    // ---- 2. The alert: pressure, rungs, and the bound on what is out ----

    /// An answer by its time over what is wanted of its class, and over the class's time on calm servers.
    fn feel(&mut self, (at, guest): Through, pressure: f64, strain: f64) {
        if guest {
            return self.pools[at].feel_guest(pressure, self.now);
        }
        let (now, limit, p) = (self.now, self.limit(at), &mut self.pools[at]);
        let keep = decay(p.pressure_at, now, PRESSURE_TAU).min(0.98);
        p.pressure = p.pressure * keep + pressure.min(4.0) * (1.0 - keep);
        p.strain = p.strain * keep + strain.min(10.0) * (1.0 - keep);
        p.pressure_at = now;
        // Back to where it began at any pressure short of an alert: else a bound once cut stays cut.
        let fits = if p.places < PLACES {
            p.pressure < ALERT_OFF
        } else {
            p.strain < GROW
        };
        if fits && f64::from(p.out) > limit * 0.7 {
            p.places *= 1.0 + 2.0 / limit.max(2.0).powi(2);
        }
    }

    /// The bound on what this gateway has out: those left when backends fall must not inherit their load, nor
    /// the warm that of the cold, nor the quick that of the slow. A gateway's part of all that is out swings
    /// by its root, and so far it may go beyond that: the swings of many cancel out, unless all are pressed.
    pub(crate) fn limit(&self, at: usize) -> f64 {
        let (shares, p) = (self.shares as f64, &self.pools[at]);
        let part = p.places * p.able / shares;
        let calm = (ALERT_ON - p.pressure).max(0.0);
        (part + SWINGS * calm * (part * (1.0 - 1.0 / shares)).sqrt()).max(1.0)
    }

    /// Backends as many as the ready ones are worth; not at each wake-up, since it looks at all of them.
    fn count_able(&mut self) {
        self.able_at = self.now;
        let cold = self
            .backends
            .ready()
            .filter_map(|(_, b)| self.cold(b).map(|warmth| warmth * b.weight));
        self.cold_able = cold.sum();
        let warmth = |p: &usize| self.cold(self.backends.at(*p)).unwrap_or(1.0);
        let able = |p: &usize| warmth(p).min(1.0 / self.backends.at(*p).slow);
        let of = |p: &Pool| p.order.iter().map(|p| able(p).min(1.0)).sum();
        let sums: Vec<f64> = self.pools.iter().map(of).collect();
        self.pools
            .iter_mut()
            .zip(sums)
            .for_each(|(p, sum)| p.able = sum);
    }

    /// How long a request may wait for a place: sent later, it would likely be answered too late.
    fn hold(&self, class: u8, aim: Micros) -> f64 {
        let aim = aim as f64;
        (aim - IN_TIME * self.usual[usize::from(class)].recent).clamp(0.0, aim * HOLD)
    }

    fn step_alert(&mut self, at: usize, act: &mut Vec<Action>) {
        let (now, limit, p) = (self.now, self.limit(at), &mut self.pools[at]);
        let (since, rung) = (now - p.rung_since, p.rung);
        // Refusals alone hold no alert up: cutting causes refusals, and the fleet may be idle behind them.
        let refusing = p.pressure > ALERT_OFF && p.turned_away > AWAY;
        if (p.pressure > ALERT_ON || refusing) && since > RUNG_UP && rung < LAST_RUNG {
            p.rung += 1;
        } else if p.pressure < ALERT_OFF && since > RUNG_DOWN && rung > 0 {
            p.rung -= 1;
        }
        if rung != p.rung {
            p.rung_since = now;
            let (up, pressure, out) = (p.rung, p.pressure, p.out);
            act.push(Action::Log(LogEvent::LoadSheddingLevelChanged {
                pool: at,
                from: rung,
                to: up,
                pressure,
                limit,
                in_flight: out,
            }));
        }
        // One cut in a memory of the pressure: answers sent before a cut must not cause the next one.
        if p.pressure > ALERT_ON && now - p.limit_at > (PRESSURE_TAU * SECOND) as Micros {
            p.places = (p.places * 0.85).max(PLACES / 6.0);
            p.limit_at = now;
        }
    }

    // ---- 3. Choice of a backend ----

    fn dispatch(&mut self, act: &mut Vec<Action>) {
        for at in 0..self.pools.len() {
            while let Some(id) = self.pools[at].waiting.front().copied() {
                let ready = self
                    .requests
                    .get(&id)
                    .is_some_and(|o| !o.done && o.out() == 0);
                if ready && !self.place(id, act) {
                    break;
                }
                self.pools[at].waiting.pop_front();
            }
        }
    }

    /// Sends a request through the best of its pools that has room and a backend for it; false if none has.
    fn place(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let room = self.room(&self.requests[&id]);
        room.into_iter().flatten().any(|at| self.send(id, at, act))
    }

    /// How warm a backend is for sure; none where it is cold no more.
    fn cold(&self, b: &Backend) -> Option<f64> {
        let (rules, age) = (&self.s.rules, self.now.saturating_sub(b.listed.started_at));
        let cold = b.listed.started_at > 0 && age < rules.warm_up_time;
        cold.then(|| {
            rules.warm_up_from + (1.0 - rules.warm_up_from) * age as f64 / rules.warm_up_time as f64
        })
    }

    /// How warm a backend is for sure, and whether this gateway alone may send it one more in the rule's
    /// window. Where its part is less than a request, one each would be a hundred: then one may go to any of
    /// the cold ones as often as their parts together allow, and below that it is drawn who may. What must go
    /// to this one for its key (`bound`) has its own part alone. A guest has but a `part` of that.
    fn warmth(&self, b: &Backend, part: f64, bound: bool) -> (f64, bool) {
        let Some(warmth) = self.cold(b) else {
            return (1.0, true);
        };
        let (rules, span) = (&self.s.rules, self.s.rules.overload_window.max(1));
        let within = |sends: &VecDeque<Micros>| {
            sends.iter().filter(|t| **t + span > self.now).count() as f64
        };
        let rate = self.sent_rate * decay(self.sent_at, self.now, RATE_TAU);
        let fair = rate / self.pools[0].ready_size.max(b.weight) * span as f64 / SECOND * part;
        let (budget, all) = (
            rules.overload_factor * COLD_MARGIN * fair,
            self.cold_able.max(b.weight * warmth),
        );
        let (own, all) = (
            (budget * b.weight * warmth).max(part / self.shares as f64),
            budget * all,
        );
        let lot =
            |of: u64| mix(of ^ (self.now / span) << 48 ^ u64::from(self.s.gateway_id.0) << 32);
        let recent = within(&b.cold_sends);
        let pooled = own < 1.0 && !bound && recent == 0.0;
        let may = recent + lot(b.listed.backend.0) < own
            || (pooled && within(&self.cold_sends) + lot(0) < all);
        (warmth, may)
    }

    fn choose(&mut self, id: RequestId, at: usize) -> Option<BackendId> {
        self.rng = self.rng.wrapping_add(1);
        let (noise, now, pool) = (mix(self.rng), self.now, &self.pools[at]);
        let o = &self.requests[&id];
        let k = usize::from(o.req.class);
        let part = if self.is_guest(&o.req, at) {
            pool.guest_part(self.limit(at), now)
        } else {
            1.0
        };
        let bound = match (o.class.idempotency, o.may_have_run()) {
            _ if now.saturating_add(self.s.tick) >= o.start_by() => return None,
            (Idempotency::WithKey { scope: group, .. }, Some(a)) => Some((group, a.to)),
            _ => None,
        };
        // Two drawn by their weight, and more the more of the load is its own: what many see as the
        // least would be the least for all of them at once.
        let (all, shares) = (pool.order.len(), self.shares as usize);
        let want = (2 + 3 * all / shares).min(LOOK);
        // Always among the same few: connections seldom used are closed, and made anew at each request.
        let n = if want < all && bound.is_none() {
            all.min(SUBSET.max(COVER * all / shares))
        } else {
            all
        };
        let (mut sound, mut sick, mut best) = (0, 0, (f64::MAX, None));
        let steps = if want >= all {
            n
        } else if bound.is_some() {
            4 * n
        } else {
            (4 * n).min(16 * want)
        };
        for step in 0..steps {
            let b = self
                .backends
                .at(pool.order[((noise * n as f64) as usize + step) % n]);
            let bid = b.listed.backend;
            let fits = bound.is_none_or(|(group, l): (KeyScope, Endpoint)| {
                let (zone, cell) = (b.listed.zone == l.zone, b.listed.cell == l.cell);
                group == KeyScope::All
                    || (group == KeyScope::Zone && zone)
                    || (group == KeyScope::Cell && cell)
            });
            let tried = o.attempts.iter().any(|a| a.to.backend == bid);
            let (warmth, may) = self.warmth(b, part, bound.is_some());
            // Its slowness was learned while it was cold: by both, it would count twice.
            let weight = b.weight * warmth.sqrt() / b.slow * all as f64 / pool.ready_size / 2.0;
            if !fits || !may || (want < all && mix(self.rng ^ (step as u64) << 40) > weight) {
                continue;
            }
            // Failing connections are laid to the zone as well: it may be cut off, with all that is in it.
            let zone = self.zones.get(&b.listed.zone).map_or(0.0, |z| z.doubt(now));
            let h = b.troubled.then(|| &b.health[k]);
            let doubt = h.map_or(0.0, |h| h.doubt(now)).max(zone);
            let resting = h.is_some_and(|h| h.strikes > 0 && (now < h.rest_until || b.out > 0));
            let jitter = 1.0 + 0.1 * ((noise + step as f64 * 0.618_034) % 1.0);
            let far = if b.listed.zone == self.s.zone {
                1.0
            } else {
                1.05
            };
            let queue = if b.queue > 0.0 {
                b.queue * decay(b.told_at, now, PRESSURE_TAU)
            } else {
                0.0
            };
            let load = f64::from(b.out) + 1.0 + queue / self.shares.min(4) as f64;
            let doubts = (1.0 + 10.0 * doubt) * if tried { 8.0 } else { 1.0 };
            let cost = load * jitter * far * doubts / if want < all { 1.0 } else { weight };
            // The sick come last, but none is shut out: else where most are sick the rest are pushed over.
            let cost = cost * if resting { 10.0 } else { 1.0 };
            best = if cost < best.0 {
                (cost, Some(bid))
            } else {
                best
            };
            *if resting || doubt > DOUBTED {
                &mut sick
            } else {
                &mut sound
            } += 1;
            if sound >= want || sick > 4 * want {
                break;
            }
        }
        best.1
    }

    /// Sends a request's next attempt through a pool; false if no backend of it may take it now.
    fn send(&mut self, id: RequestId, at: usize, act: &mut Vec<Action>) -> bool {
        let (now, Some(bid)) = (self.now, self.choose(id, at)) else {
            return false;
        };
        let guest = self
            .requests
            .get(&id)
            .is_some_and(|o| self.is_guest(&o.req, at));
        let Some(o) = self.requests.get_mut(&id) else {
            return false;
        };
        if o.attempts.is_empty() {
            self.retries = (self.retries + RETRY_SHARE).min(RETRY_BURST);
        }
        self.customers
            .entry(o.req.customer)
            .and_modify(|c| c.open += 1);
        let (patience, start_by) = (o.patience(), o.start_by());
        self.checks
            .push(Reverse((now + (patience * SILENCE) as Micros, id)));
        self.pools[at].sent(guest, now);
        self.sent_rate = self.sent_rate * decay(self.sent_at, now, RATE_TAU) + 1.0 / RATE_TAU;
        self.sent_at = now;
        if let Some(b) = self.backends.get_mut(&bid) {
            let (to, sent) = (b.listed, now);
            let (pool, out) = (at, true);
            o.attempts.push(Attempt {
                to,
                sent,
                out,
                cancelled: false,
                lost: false,
                pool,
                guest,
                void: false,
            });
            b.out += 1;
            if b.listed.started_at > 0 && now < b.listed.started_at + self.s.rules.warm_up_time {
                for sends in [&mut b.cold_sends, &mut self.cold_sends] {
                    sends.retain(|t| *t + self.s.rules.overload_window > now);
                    sends.push_back(now);
                }
            }
        }
        act.push(Action::Send {
            id,
            backend: bid,
            expires_at: 0,
            start_by,
        });
        true
    }

    // ---- 4. Answers: health, further attempts, the final answer ----

    /// An answer's lesson, of an attempt `through` a pool; one that a peer had counts, but rests nobody.
    fn learn(&mut self, bid: BackendId, class: usize, fared: Fared, through: Option<Through>) {
        let elapsed = if let Fared::Answered(elapsed) = fared {
            Some(elapsed)
        } else {
            None
        };
        let (now, aim, own) = (
            self.now,
            self.s.classes[class].latency_objective.max(1) as f64,
            through.is_some(),
        );
        let Some(b) = self.backends.get_mut(&bid) else {
            return;
        };
        if let Some((at, _)) = through {
            self.pools[at].note(elapsed.is_none(), now);
        }
        b.troubled |= elapsed.is_none();
        b.health[class].note(now, elapsed.is_none(), if own { 0.15 } else { 0.1 });
        if own && self.period == 0 && class <= MOST_CLASS {
            let fared = elapsed.map_or(fared, |t| Fared::Answered(t / aim));
            let sample = Sample {
                tag: tag(bid.0),
                class: class as u8,
                fared,
            };
            self.samples.push_front((TELLINGS, sample));
            self.samples.truncate(MOST_SAMPLES);
        }
        let Some(elapsed) = elapsed.filter(|_| now != self.woke) else {
            return;
        };
        let u = &mut self.usual[class];
        b.slow = (b.slow + 0.1 * ((elapsed / u.recent.max(1.0)).min(4.0) - b.slow)).max(0.3);
        u.count += 1.0;
        u.recent += (elapsed - u.recent) / u.count.min(20.0);
        // Down at once, up by a percent a second: half a minute of overload must not pass for calm.
        let creep = 1.0 + (now - u.at) as f64 / SECOND * CALM_CREEP;
        u.long += (elapsed - u.long) / u.count.min(LONG);
        u.calm = if u.count <= 20.0 {
            u.recent.min(aim * 0.3)
        } else {
            u.long.min(u.calm * creep)
        };
        u.at = now;
        let strain = elapsed / u.calm.max(1.0);
        self.pace += 0.05 * (elapsed - self.pace);
        // What a peer felt was in a pool of the backend's that it does not tell.
        let listed = b.listed;
        match through {
            Some(at) => self.feel(at, elapsed / (aim * AIM_SHARE), strain),
            None if self.pools.len() == 1 => {
                self.feel((0, false), elapsed / (aim * AIM_SHARE), strain)
            }
            None => {
                let of: Vec<usize> = self.pools_of(&listed).collect();
                of.into_iter()
                    .for_each(|at| self.feel((at, false), elapsed / (aim * AIM_SHARE), strain));
            }
        }
    }

    fn on_answer(
        &mut self,
        bid: BackendId,
        outcome: Outcome,
        elapsed: Micros,
        of: Option<(usize, Through)>,
    ) {
        let (Some(b), Some((class, at))) = (self.backends.get_mut(&bid), of) else {
            return;
        };
        if matches!(
            outcome,
            Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut
        ) {
            return;
        }
        let now = self.now;
        let bad = matches!(
            outcome,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset
        );
        let reached = outcome != Outcome::ConnectFailed;
        let (zone, weight) = (b.listed.zone, if reached { 1.0 } else { UNREACHED });
        self.zones
            .entry(zone)
            .or_default()
            .note(now, !reached, weight);
        let h = &mut b.health[class];
        h.heard = now;
        if outcome == Outcome::Rejected {
            b.queue += self.shares as f64;
            return self.feel(at, 2.0, 7.0);
        }
        let sick = h.doubt(now) * 0.85 + if bad { 0.15 } else { 0.0 } > SICK_ERRORS;
        if bad && (sick || h.strikes > 0) {
            h.rest(now);
        } else if !bad && !sick {
            h.strikes = 0;
        }
        let fared = match outcome {
            _ if !bad => Fared::Answered(elapsed as f64),
            Outcome::ConnectFailed => Fared::Silent,
            _ => Fared::Failed,
        };
        self.learn(bid, class, fared, Some(at));
    }

    fn on_settled(&mut self, event: Event, act: &mut Vec<Action>) {
        let Event::AttemptCompleted {
            id,
            attempt,
            backend,
            outcome,
            complete,
            elapsed,
            charged_units,
            report,
            ..
        } = event
        else {
            return;
        };
        let of = self.requests.get(&id).map(|o| {
            let through = o
                .attempts
                .get(usize::from(attempt))
                .map_or((0, false), |a| (a.pool, a.guest));
            (usize::from(o.req.class), through)
        });
        self.on_answer(backend, outcome, elapsed, of);
        if let (Some(b), Some(queue)) = (
            self.backends.get_mut(&backend),
            report.and_then(|r| r.queue),
        ) {
            (b.queue, b.told_at) = (queue.clamp(0.0, 1000.0), self.now);
        }
        let Some(o) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(a) = o.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else {
            return;
        };
        (a.out, a.void) = (false, outcome.never_ran());
        let at = a.pool;
        if !a.lost {
            self.pools[at].settled(a.guest);
        }
        if let Some(b) = self.backends.get_mut(&a.to.backend) {
            b.out = b.out.saturating_sub(1);
        }
        let (customer, units) = (o.req.customer, o.req.units);
        let more = charged_units
            .filter(|_| self.s.post_paid)
            .map_or(0.0, |u| u - units);
        let mut news = more != 0.0;
        if let Some(c) = self.customers.get_mut(&customer) {
            (c.open, c.level, c.used) = (c.open.saturating_sub(1), c.level - more, c.used + more);
            news |= self.s.plans[c.plan].max_in_flight > 0;
        }
        o.done |= complete || outcome == Outcome::Ok;
        if o.done {
            self.on_gone(id, act);
        } else if o.out() == 0 && !self.again(id, act) {
            self.finish(id, act);
        }
        if news {
            self.report(customer, false, act);
        }
        self.dispatch(act);
    }

    /// A further attempt: where the first would go now, else where there is room. Its class has been asked,
    /// and a choice keeps to the group that knows its key, whatever the pool.
    fn resend(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let o = &self.requests[&id];
        let (first, room) = (self.goal(o), self.room(o));
        self.send(id, first, act)
            || room
                .into_iter()
                .flatten()
                .filter(|at| *at != first)
                .any(|at| self.send(id, at, act))
    }

    /// Tries a further attempt, where the class, the time and the budget allow one.
    fn again(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let o = &self.requests[&id];
        let class = &o.class;
        let allowed = class.idempotency != Idempotency::NotIdempotent || o.may_have_run().is_none();
        let useful =
            self.now + self.s.tick < (o.arrived + class.latency_objective).min(o.req.deadline);
        let room = (o.attempts.len() as u32) < o.most;
        let single = o.out() == 0 || self.s.limits.hedging;
        let cost = if o.out() == 0 { 1.0 } else { COPY_COST };
        let sent =
            allowed && useful && room && single && self.retries >= cost && self.resend(id, act);
        self.retries -= if sent { cost } else { 0.0 };
        sent
    }

    /// The final answer of a request that is not served: refused where that is true, else failed.
    fn finish(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else {
            return;
        };
        if matches!(
            o.class.idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: KeyScope::All,
                    ..
                }
        ) || o.may_have_run().is_none()
        {
            self.refuse(id, RUNG_UP, act);
        } else {
            act.push(Action::Fail(id));
        }
        self.on_gone(id, act);
    }

    /// A request has ended: calls off what is out, forgets it once all is settled.
    fn on_gone(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(o) = self.requests.get_mut(&id) else {
            return;
        };
        o.done = true;
        o.call_off(None, self.s.limits.cancellation && !o.streaming, act);
        if o.out() == 0 {
            let (req, unsent, held) = (o.req, o.attempts.is_empty(), o.held);
            self.requests.remove(&id);
            if held {
                self.let_go(req.customer, id, true);
            } else if unsent {
                self.charge(&req, -1.0);
                self.report(req.customer, false, act);
            }
        }
    }

    // ---- 5. Time passes: checks of requests, gossip, the list ----

    fn on_wake(&mut self, act: &mut Vec<Action>) {
        let now = self.now;
        while let Some(Reverse((_, id))) = self.checks.peek().copied().filter(|c| c.0 .0 <= now) {
            self.checks.pop();
            self.check(id, act);
        }
        for at in 0..self.pools.len() {
            for id in std::mem::take(&mut self.pools[at].waiting) {
                if !self.give_up(id, act) {
                    self.pools[at].waiting.push_back(id);
                }
            }
        }
        if self.now >= self.able_at + COUNTED {
            self.count_able();
        }
        (0..self.pools.len()).for_each(|at| self.step_alert(at, act));
        self.dispatch(act);
        let ready = |p: &u16| self.peers.get(p).is_some_and(|p| p.next <= now);
        let ready: Vec<u16> = self.due.iter().copied().filter(ready).collect();
        ready.into_iter().for_each(|p| self.flush(p, act));
        self.sweep(act);
        if self.s.discovery == DiscoveryMode::Poll && now >= self.watch_at {
            self.watch_at = now + (self.s.rules.max_poll_interval / 2).max(1);
            act.push(Action::WatchEndpoints(true));
        }
    }

    /// Whether a request has the time to be held for two wake-ups.
    fn may_wait(&self, o: &Open, now: Micros) -> bool {
        now + 2 * WAKE_TICKS * self.s.tick <= o.req.deadline
    }

    /// Ends a request that has waited for a place for as long as it may; true if it need not wait.
    fn give_up(&mut self, id: RequestId, act: &mut Vec<Action>) -> bool {
        let Some(o) = self.requests.get(&id).filter(|o| !o.done && o.out() == 0) else {
            return true;
        };
        let end = self.now
            > o.arrived + self.hold(o.req.class, o.class.latency_objective) as Micros
            || !self.may_wait(o, self.now);
        if end {
            self.finish(id, act);
        }
        end
    }

    /// The home that was asked has not answered: the other one is, if it is not silent as well.
    fn pass_over(&mut self, req: &Request, act: &mut Vec<Action>) -> bool {
        let Some(c) = self
            .customers
            .get(&req.customer)
            .filter(|c| !c.answered.contains(&c.asked))
        else {
            return false;
        };
        let (asked, me) = (c.asked, self.s.gateway_id.0);
        let p = self.peers.entry(asked).or_default();
        let first = p.silent_until <= self.now;
        p.silent_until = self.now + AGING / 10;
        p.outbox.insert(req.customer, (1, false)); // what it has promised may not have been used
        self.due.insert(asked);
        let lead = self.lead(&self.customers[&req.customer]);
        let other = first && lead != asked && lead != me;
        if other {
            self.hold_for_word(req, self.customers[&req.customer].short, true, act);
        }
        other
    }

    fn check(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let now = self.now;
        if let Some(o) = self.requests.get_mut(&id).filter(|o| o.held) {
            let req = o.req;
            if std::mem::take(&mut o.asks_again) {
                return self.hold_for_word(&req, true, true, act);
            }
            if self.period == 0 && self.pass_over(&req, act) {
                return;
            }
            return self.admit(id, true, act); // the homes said nothing in time: by what is known here
        }
        let Some(o) = self
            .requests
            .get_mut(&id)
            .filter(|o| !o.done && !o.streaming)
        else {
            return;
        };
        let k = usize::from(o.req.class);
        let (once, patience) = (
            o.class.idempotency == Idempotency::NotIdempotent,
            o.patience(),
        );
        let Some(a) = o.attempts.iter_mut().rev().find(|a| a.out && !a.cancelled) else {
            return;
        };
        let (bid, at, guest, lost) = (a.to.backend, a.pool, a.guest, a.lost);
        let hedge_at = a.sent + (patience * HEDGE) as Micros;
        let Some(b) = self.backends.get_mut(&bid) else {
            return;
        };
        // A call-off frees nothing where work runs on, and a copy runs beside the first: only a silence that
        // no backend at work would keep is taken for death, and for that alone a backend is rested.
        let usual = (self.usual[k].recent * b.slow / f64::from(b.out.max(1))).max(1.0);
        let silent = b.health[k].heard < a.sent;
        let dead = silent && (now - a.sent) as f64 >= DEAD * usual;
        a.lost |= dead;
        let sure_at = if silent {
            a.sent + (DEAD * usual) as Micros + 1
        } else {
            Micros::MAX
        };
        if !dead && (now < hedge_at || silent) {
            self.checks.push(Reverse((
                if now < hedge_at {
                    hedge_at.min(sure_at)
                } else {
                    sure_at
                },
                id,
            )));
        }
        if !dead && now < hedge_at {
            return;
        }
        let (again, limits) = ((dead || self.pools[at].rung == 0) && !once, &self.s.limits);
        let move_it = again && dead && now < hedge_at && !limits.hedging && limits.cancellation;
        if move_it && self.retries >= COPY_COST {
            self.retries -= COPY_COST - 1.0; // the rest with the retry that follows
            o.call_off(None, true, act);
        }
        if dead && !lost {
            // It loads nobody who could take more, and a hundred like it tell of the zone.
            self.pools[at].settled(guest);
            // Only another than the last one: one that is silent by itself says nothing of the rest.
            let zone = self.zones.entry(b.listed.zone).or_default();
            if zone.by != Some(bid) {
                (zone.by, _) = (Some(bid), zone.note(now, true, UNREACHED));
            }
        }
        if dead && now >= b.health[k].rest_until {
            b.health[k].rest(now);
            self.learn(bid, k, Fared::Silent, Some((at, guest)));
        }
        if again && self.s.limits.hedging {
            self.again(id, act);
        }
    }

    // ---- 6. Peers: use told to homes, their word, hints ----

    /// Puts a customer on the way to its homes.
    fn report(&mut self, id: CustomerId, ask: bool, act: &mut Vec<Action>) {
        let Some(c) = self.customers.get(&id).filter(|_| self.s.limits.peers) else {
            return;
        };
        let (me, pools, capped) = (
            self.s.gateway_id.0,
            c.pools,
            self.s.plans[c.plan].max_in_flight > 0,
        );
        let one = if ask { c.asked } else { self.lead(c) };
        let to = if self.period > 0 {
            c.homes.clone()
        } else {
            vec![one]
        };
        for home in to.into_iter().filter(|h| *h != me) {
            let p = self.peers.entry(home).or_default();
            // Told twice where a lost end would hold a place for long.
            let times = if self.period > 0 || capped { 2 } else { 1 };
            let entry = p.outbox.entry(id).or_default();
            let ask = ask && pools.contains(&home); // in a small fleet there are homes besides
            *entry = (times, entry.1 || ask);
            self.due.insert(home);
            if ask && (p.next <= self.now || self.period > 0) {
                self.flush(home, act);
            }
        }
    }

    /// Whether one more message may go: all together must not send more than all together take in.
    fn may_tell(&mut self) -> bool {
        let rate = self.s.limits.peer_messages_per_s * TELLS;
        let (now, most) = (self.now, rate / 4.0);
        let filled = rate * (now - self.tells_at.max(self.born)) as f64 / SECOND;
        (self.tells, self.tells_at) = ((self.tells + filled).min(most), now);
        self.period > 0 || self.tells >= 0.0
    }

    /// Sends a peer what waits for it, as much as a message holds.
    fn flush(&mut self, to: u16, act: &mut Vec<Action>) {
        if !self.may_tell() {
            return;
        }
        let Some(p) = self.peers.get_mut(&to) else {
            return;
        };
        // Round from where the last message ended: else the last ids go untold when more change than fit.
        let round = p
            .outbox
            .range(p.told..)
            .chain(p.outbox.range(..p.told))
            .take(MOST_USES);
        let list: Vec<(CustomerId, (u8, bool))> = round.map(|(c, o)| (*c, *o)).collect();
        p.told = list.last().map_or(p.told, |(id, _)| CustomerId(id.0 + 1));
        p.outbox
            .extend(list.iter().map(|(id, o)| (*id, (o.0 - 1, false))));
        p.outbox.retain(|_, o| o.0 > 0);
        if p.outbox.is_empty() {
            self.due.remove(&to);
        }
        let (mut uses, now, me, few) = (Vec::new(), self.now, self.s.gateway_id.0, self.period > 0);
        for (customer, (_, ask)) in list {
            let Some(c) = self.fill(customer) else {
                continue;
            };
            let known = c.home || now - c.news_at.min(now) < AGING / 10;
            // One of the two is asked for ceiling units, by lot: two gifts would waste one.
            let at = c.pools[usize::from(mix(now ^ customer.0) < 0.5)];
            let short = ask && c.short && (at == to || c.pools.contains(&me) || !few);
            let (first_gateway, gateway_span, units) =
                (c.first_gateway, c.gateway_span as u16, c.asks);
            let (total, open, plan, level) = (wrap(c.used), c.open.min(127) as u8, c.plan, c.level);
            let full = (level / self.s.plans[plan].burst.max(1e-9) * 254.0).clamp(0.0, 254.0) as u8;
            let (plan, level) = (plan.min(MOST_PLAN) as u8, if known { full } else { 255 });
            uses.push(Use {
                customer,
                plan,
                total,
                open,
                level,
                first_gateway,
                gateway_span,
                ask,
                units,
                short,
            });
        }
        self.post(to, Body::Uses(uses), act);
    }

    /// What is done once a second: what is long out is told again, what is old is forgotten.
    fn sweep(&mut self, act: &mut Vec<Action>) {
        let (now, plans, few, mut again) = (self.now, &self.s.plans, self.period > 0, Vec::new());
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SECOND as Micros;
        let (me, peers) = (self.s.gateway_id.0, self.s.limits.peers);
        let (mirrored, due) = (now.saturating_sub(SECOND as Micros), &mut self.due);
        self.customers.retain(|id, c| {
            let p = &plans[c.plan];
            if !few && peers && c.pools[0] == me && c.pools[1] != me && c.seen > mirrored {
                let other = self.peers.entry(c.pools[1]).or_default();
                other.outbox.entry(*id).or_insert((1, false));
                due.insert(c.pools[1]);
            }
            if p.max_in_flight > 0 && c.home {
                // Attempts of a peer that fell silent hold no place for ever.
                c.heard
                    .values_mut()
                    .filter(|h| now - h.at > 1_500_000)
                    .for_each(|h| h.open = 0);
                c.others_open = c.heard.values().map(|h| u32::from(h.open)).sum();
            }
            if p.max_in_flight > 0 && c.open > 0 {
                again.push(*id);
            }
            // Their counts go on: once forgotten, all that one let through would pass for new.
            c.heard.retain(|_, h| few || now - h.at <= 2 * AGING);
            // Kept until both buckets are full for sure: a customer met anew starts with full ones.
            let full = (p.burst / p.rate)
                .max(p.ceiling_burst / p.ceiling_rate)
                .clamp(0.0, 1e6); // NaN: 0 / 0
            c.open > 0
                || !c.held.is_empty()
                || now - c.seen <= 2 * AGING.max((full * SECOND) as Micros)
        });
        again.into_iter().for_each(|id| self.report(id, false, act));
    }

    fn on_peer(&mut self, from: GatewayId, bytes: &[u8], act: &mut Vec<Action>) {
        let Some(m) = Message::unpack(bytes) else {
            return;
        };
        let (now, mine) = (self.now, incarnation(self.born));
        if from == self.s.gateway_id || from.0 >= self.s.gateway_count {
            return;
        }
        let peer = self.peers.entry(from.0).or_default();
        if peer.born != m.born {
            if m.born < peer.born {
                return; // from before its restart
            }
            let again = std::mem::replace(&mut peer.born, m.born) != 0;
            peer.seq = m.seq.wrapping_sub(1);
            for (id, c) in &mut self.customers {
                if let Some(h) = c.heard.remove(&from.0) {
                    c.others_open -= u32::from(h.open).min(c.others_open);
                }
                if again && c.homes.contains(&from.0) && now - c.seen < AGING / 5 {
                    peer.outbox.entry(*id).or_insert((1, false)); // a home that starts is told once
                    self.due.insert(from.0);
                }
            }
        }
        if m.seq.wrapping_sub(peer.seq) as i16 <= 0 {
            return; // a repeat, or overtaken
        }
        (peer.seq, peer.silent_until) = (m.seq, 0);
        let [classes, plans] = [0, 1].map(|n| m.name_digests[n] == self.s.name_digests[n]); // the same places there as here
        for s in m.samples.into_iter().filter(|_| classes) {
            let class = usize::from(s.class);
            if let (Some(bid), Some(k)) = (self.tags.get(&s.tag), self.s.classes.get(class)) {
                let (bid, aim) = (*bid, k.latency_objective as f64);
                // What peers can't reach tells of the zone, and what they reach; some of it is from before.
                let zone = self.backends.get(&bid).map_or(u8::MAX, |b| b.listed.zone);
                self.zones.entry(zone).or_default().note(
                    now,
                    s.fared == Fared::Silent,
                    UNREACHED / 3.0,
                );
                let fared = if let Fared::Answered(t) = s.fared {
                    Fared::Answered(t * aim)
                } else {
                    s.fared
                };
                self.learn(bid, class, fared, None);
            }
        }
        match m.body {
            Body::Uses(uses) => {
                // Of plans that have other places there, one that is known here keeps its own.
                let own = |c: &Customers, u: &Use| {
                    c.get(&u.customer).map(|c| c.plan.min(MOST_PLAN) as u8)
                };
                let news = uses.into_iter().filter_map(|u| {
                    let plan = if plans {
                        Some(u.plan)
                    } else {
                        own(&self.customers, &u)
                    };
                    self.on_use(from.0, m.born >= mine, Use { plan: plan?, ..u })
                });
                let news: Vec<News> = news.collect();
                if !news.is_empty() {
                    self.post(from.0, Body::News(m.born, news), act);
                }
            }
            // Only to the incarnation it was meant for, and by its number only once: a repeat mints nothing.
            Body::News(to, _) if to != mine => {}
            Body::News(_, news) => {
                news.into_iter()
                    .for_each(|n| self.on_news(from.0, m.born < mine, n, act));
            }
        }
    }

    /// A gateway told its use of a customer; the answer if it asked.
    fn on_use(&mut self, from: u16, younger: bool, u: Use) -> Option<News> {
        let (now, few) = (self.now, self.period > 0);
        let (clipped, most) = (usize::from(u.plan), self.s.plans.len().saturating_sub(1));
        // A message names the first plans only; the others pass under the last of these.
        let known = self
            .customers
            .get(&u.customer)
            .map(|c| (c.plan, c.seen < self.changed_at));
        let place = known
            .map(|k| k.0)
            .filter(|p| (*p).min(MOST_PLAN) == clipped)
            .unwrap_or(clipped);
        if known.is_none() && clipped == MOST_PLAN && most > MOST_PLAN {
            return None; // which one is told by its first request here; the count goes on till then
        }
        let plan = self.s.plans.get(place)?;
        let (burst, cap, told) = (
            plan.burst,
            plan.max_in_flight,
            f64::from(u.level) / 254.0 * plan.burst,
        );
        // Of a customer that never came here the sender's view counts, if it has one.
        let level = if u.level < 255 { told } else { burst };
        let new = || Customer {
            plan: place,
            level,
            filled: now,
            ..Customer::default()
        };
        let c = self.customers.entry(u.customer).or_insert_with(new);
        if known.is_some_and(|k| k.1) {
            c.plan = place; // the settings have changed since it was seen here, and a peer knows its plan
        }
        self.settle_in(u.customer, u.first_gateway, u.gateway_span, level);
        let c = self.fill(u.customer)?;
        if c.plan != place || !c.home {
            return None; // not a home of this one
        }
        c.seen = c.seen.max(now);
        let heard = c.heard.contains_key(&from);
        let h = c.heard.entry(from).or_default();
        let mut delta = gone_by(h.total, u.total);
        let mirrors = !few && from == c.pools[0] && u.level < 255;
        if mirrors {
            (c.level, h.promised) = (told, 0.0); // its word is better than what is known here
        }
        if (known.is_none() && u.level < 255) || mirrors {
            delta = 0.0; // that is in its view of the bucket
        } else if !heard && !younger && delta.abs() > burst / 4.0 {
            // Its count is older than this start: its view of the bucket is what is left to go by.
            delta = 0.0;
            if u.level < 255 {
                c.level = c.level.min((told - c.used).max(0.0));
            }
        } else if delta < -burst {
            delta = 0.0; // it counts anew
        }
        c.level = (c.level + h.promised - delta).clamp(-burst, burst);
        h.rate = (h.rate * decay(h.at, now, RATE_TAU) + delta / RATE_TAU).max(0.0);
        c.others = (c.others + delta / RATE_TAU).max(0.0);
        let others = c.open + c.others_open.saturating_sub(u32::from(h.open));
        // Where there is room it is taken as used at once: others ask before the asker's next message comes.
        let asks = u.ask && u.units > 0.0 && !mirrors; // else for its word alone
        let free = asks
            && (burst == 0.0 || c.level >= u.units)
            && (cap == 0 || others + u32::from(u.open) < cap);
        let open = u.open + u8::from(free && u.open < 127);
        c.others_open = others - c.open + u32::from(open);
        (h.total, h.at, h.open) = (u.total, now, open);
        let (level, its) = (c.level, h.rate);
        h.promised = if free { u.units } else { 0.0 };
        c.level -= h.promised;
        // Ceiling units are deducted here first: a lost message loses them.
        let gift = if u.ask && u.short && c.ceiling >= u.units {
            whole_parts(u.units)
        } else {
            0.0
        };
        c.ceiling -= gift;
        let (rate, open) = ((c.rate + c.others - its).max(0.0), others.min(127) as u8);
        let (customer, yours) = (u.customer, u.total);
        u.ask.then_some(News {
            customer,
            yours,
            level,
            rate,
            open,
            gift,
        })
    }

    /// A home's word on a customer: the bucket is what it says, less what it cannot have heard.
    fn on_news(&mut self, from: u16, older: bool, n: News, act: &mut Vec<Action>) {
        let (now, me, few) = (self.now, self.s.gateway_id.0, self.period > 0);
        let Some(lead) = self.customers.get(&n.customer).map(|c| self.lead(c)) else {
            return;
        };
        let Some(c) = self.fill(n.customer).filter(|c| c.homes.contains(&from)) else {
            return;
        };
        let leads = lead == me;
        if !leads {
            (c.others, c.others_open) = (n.rate, u32::from(n.open));
        }
        // The other home's counts where the first one's is not to be had; the first hears of that use.
        let best = few || from == lead || now - c.news_at.min(now) > 4 * FRESH;
        if (!leads && best) || (older && c.news_at == 0) {
            c.level = n.level - gone_by(n.yours, wrap(c.used));
            c.news_at = now;
            c.promise = if from == lead && n.level >= c.asks {
                c.asks
            } else {
                0.0
            };
        }
        c.answered.push(from);
        // A gift is for the request that waits: late ones lapse, or a full bucket would hold more than full.
        if now - c.asked_at < GIFT_LIFE {
            c.granted += n.gift;
        }
        let all =
            c.pools.iter().all(|h| *h == me || c.answered.contains(h)) || (!few && from == c.asked);
        for id in c.held.clone() {
            self.admit(id, all, act); // one home may know too little: only both say no
        }
    }

    // ---- 7. New settings ----

    /// Open requests end under their class as it was; buckets are filled by the old figures till now.
    fn on_settings(&mut self, mut new: Settings) {
        // Places beyond the end may be in use still; what they were sold for must not count on the ladder.
        let weight_factor = new.plans.last().map_or(1.0, |p| p.weight_factor);
        let rest = self.s.plans.iter().skip(new.plans.len()).map(|p| Plan {
            weight_factor,
            ..p.clone()
        });
        new.plans.extend(rest);
        new.classes
            .extend(self.s.classes.iter().skip(new.classes.len()));
        for c in self.customers.values_mut() {
            c.fill(self.now, &self.s.plans[c.plan]);
            c.carry(&self.s.plans[c.plan], &new.plans[c.plan]);
        }
        // A name that comes back with another effect is another class: nothing of the old one is its.
        let known = self.s.classes.iter().zip(&new.classes).enumerate();
        for (k, (_, c)) in known.filter(|(_, (was, is))| was.idempotency != is.idempotency) {
            self.usual[k] = Usual::first(c, self.now);
            self.backends
                .values_mut()
                .filter_map(|b| b.health.get_mut(k))
                .for_each(|h| *h = Health::default());
        }
        let more = new
            .classes
            .iter()
            .skip(self.usual.len())
            .map(|c| Usual::first(c, self.now));
        self.usual.extend(more);
        let (count, backends) = (new.classes.len(), self.backends.values_mut());
        let known = backends.filter(|b| !b.health.is_empty());
        known.for_each(|b| b.health.resize(count, Health::default()));
        (self.s.classes, self.s.plans, self.s.rules) = (new.classes, new.plans, new.rules);
        (self.s.limits, self.s.name_digests, self.changed_at) =
            (new.limits, new.name_digests, self.now);
        // Pools that went are in no request that comes; what is out of them counts until it is back.
        let pools = usize::from(new.pool_count) + 1;
        self.pools
            .resize_with(pools.max(self.pools.len()), || Pool::new(PLACES));
    }

    // ---- 8. The list of backends ----

    fn on_roster(&mut self, kind: EndpointListKind, list: Vec<Endpoint>, act: &mut Vec<Action>) {
        if kind == EndpointListKind::Failed {
            return self.watch_at = self
                .watch_at
                .min(self.now + (self.s.rules.max_poll_interval / 8).max(1));
        }
        if kind != EndpointListKind::Delta {
            self.backends.values_mut().for_each(|b| b.ready = false); // absent from a whole list: gone
        }
        let health = vec![Health::default(); self.s.classes.len()];
        for l in list {
            let b = self.backends.entry(l.backend);
            if b.health.is_empty() || l.started_at != b.listed.started_at {
                (b.slow, b.health, b.queue) = (1.0, health.clone(), 0.0); // a new process, a new record
                self.zones.remove(&l.zone);
                b.troubled = false;
            }
            b.listed = l;
            let sized =
                self.s.weights == WeightMeaning::Capacity && l.weight.is_finite() && l.weight > 0.0;
            b.weight = if sized { l.weight } else { 1.0 };
            b.ready = l.state == EndpointState::Ready;
        }
        self.backends.forget_idle();
        self.tags = self
            .backends
            .ready()
            .map(|(_, b)| (tag(b.listed.backend.0), b.listed.backend))
            .collect();
        let (backends, me, now) = (&self.backends, self.s.gateway_id.0, self.now);
        let own = |place: &usize| mix(backends.at(*place).listed.backend.0 ^ u64::from(me) << 48);
        for (at, pool) in self.pools.iter_mut().enumerate() {
            let of = |l: &Endpoint| at == 0 || l.pools & 1 << (at - 1) != 0;
            let ready = || backends.ready().filter(|(_, b)| of(&b.listed));
            let mut order: Vec<usize> = ready().map(|(place, _)| place).collect();
            order.sort_by(|a, b| own(a).total_cmp(&own(b)));
            pool.listed(order, ready().map(|(_, b)| b.weight).sum(), now);
        }
        self.count_able();
        self.dispatch(act);
    }
}
