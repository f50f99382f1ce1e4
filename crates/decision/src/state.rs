//! What a gateway remembers: plain records, and the arithmetic that they share. No decision and no tuned value
//! lives here; what the records mean and when they change is in `control.rs`.

use crate::action::Action;
use crate::event::{Endpoint, Request};
use crate::gossip::{incarnation, Body, Message, Sample};
use crate::ids::{BackendId, CustomerId, GatewayId, Micros, RequestId};
use crate::pools::Pool;
use crate::settings::{Class, Idempotency, Settings};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// A second in the host's unit.
pub const SECOND: f64 = 1e6;

#[derive(Serialize, Deserialize)]
pub struct Attempt {
    pub to: Endpoint,
    pub sent: Micros,
    pub out: bool,
    pub cancelled: bool,
    /// Its backend was taken for dead: it holds no place any more.
    pub lost: bool,
    /// The pool through which it went.
    pub pool: usize,
    /// It fell back on that pool.
    pub guest: bool,
    /// Proved never to have run.
    pub void: bool,
}

#[derive(Default, Serialize, Deserialize)]
pub struct Open {
    pub req: Request,
    /// Its class as it was when the request came: it ends under that, whatever changes meanwhile.
    pub class: Class,
    /// As many attempts as it may have, by the settings when it came.
    pub most: u32,
    pub arrived: Micros,
    pub attempts: Vec<Attempt>,
    pub done: bool,
    pub streaming: bool,
    /// Waits for the word of its customer's homes, or for its ceiling to fill; then it asks them again.
    pub held: bool,
    pub asks_again: bool,
}

impl Open {
    /// Calls the attempts off, but for one to keep.
    pub fn call_off(&mut self, keep: Option<u16>, allowed: bool, act: &mut Vec<Action>) {
        for (n, a) in (0u16..).zip(&mut self.attempts) {
            if allowed && a.out && !a.cancelled && keep != Some(n) {
                a.cancelled = true;
                act.push(Action::Cancel {
                    id: self.req.id,
                    attempt: n,
                });
            }
        }
    }

    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.out).count()
    }

    /// The first attempt that ran or may have run.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.void)
    }

    /// The latest moment at which a further attempt may begin: the repeats of a key that may have run are dropped for so long.
    pub fn start_by(&self) -> Micros {
        match (self.class.idempotency, self.may_have_run()) {
            (Idempotency::WithKey { window, .. }, Some(a)) => a.sent.saturating_add(window),
            _ => Micros::MAX,
        }
    }

    /// How long an answer is worth something: the aim, or what the client waits if that is less.
    pub fn patience(&self) -> f64 {
        self.class
            .latency_objective
            .min(self.req.deadline.saturating_sub(self.arrived)) as f64
    }
}

#[derive(Default, Serialize, Deserialize)]
pub struct Heard {
    pub total: u16,
    /// Units let through in its name before it told that it took them.
    pub promised: f64,
    pub rate: f64,
    pub at: Micros,
    pub open: u8,
}

#[derive(Default, Serialize, Deserialize)]
pub struct Customer {
    pub plan: usize,
    /// The quota's token bucket, as far as known here, and when it was last filled.
    pub level: f64,
    pub filled: Micros,
    /// This gateway's own share of the ceiling's token bucket.
    pub ceiling: f64,
    /// Units sent on by this gateway since its start.
    pub used: f64,
    /// The two that hold most of the ceiling, this gateway's part of it, what it asked them for.
    pub pools: [u16; 2],
    pub part: f64,
    pub first_gateway: u16,
    /// What is asked for: a request's units, and whether the ceiling lacks them, too.
    pub asks: f64,
    pub short: bool,
    /// Whom it asked last, and the units that it was promised.
    pub asked: u16,
    pub promise: f64,
    /// Ceiling units handed over for the requests that are held, and for those alone.
    pub granted: f64,
    pub rate: f64,
    pub open: u32,
    pub gateway_span: f64,
    pub seen: Micros,
    /// The gateways that count this customer's use; whether this is one of them.
    pub homes: Vec<u16>,
    pub home: bool,
    /// At a home: what each gateway told, and the rate of others.
    pub heard: BTreeMap<u16, Heard>,
    pub others: f64,
    pub others_open: u32,
    /// Elsewhere: when the homes told of it and were asked, who has answered.
    pub news_at: Micros,
    pub asked_at: Micros,
    pub answered: Vec<u16>,
    pub held: Vec<RequestId>,
}

#[derive(Default, Serialize, Deserialize)]
pub struct Peer {
    pub born: u32,
    pub seq: u16,
    pub sent: u16,
    /// When the next message may go.
    pub next: Micros,
    /// It did not answer in time: until then others are asked first, unless it is heard.
    pub silent_until: Micros,
    /// Where the last message ended.
    pub told: CustomerId,
    /// Customers to tell it of: how many more times, and whether to ask.
    pub outbox: BTreeMap<CustomerId, (u8, bool)>,
}

/// A backend's record with one class: it may be sick for that one alone.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Health {
    pub errors: f64,
    pub at: Micros,
    pub heard: Micros,
    pub rest_until: Micros,
    pub strikes: u32,
    /// Of a zone: the last backend whose silence spoke against it.
    pub by: Option<BackendId>,
}

#[derive(Default, Serialize, Deserialize)]
pub struct Backend {
    pub listed: Endpoint,
    pub weight: f64,
    pub ready: bool,
    pub out: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    pub slow: f64,
    /// Something has failed here since it started: where nothing has, a choice need not look at its health.
    pub troubled: bool,
    pub health: Vec<Health>,
    /// Requests waiting as last reported, and when.
    pub queue: f64,
    pub told_at: Micros,
    /// Recent sends while cold.
    pub cold_sends: VecDeque<Micros>,
}

/// The backends: found by their identity, or by a place that stays theirs for as long as they are kept. A choice
/// looks at many of them, and a place costs it no search.
#[derive(Default, Serialize, Deserialize)]
pub struct Backends {
    places: BTreeMap<BackendId, usize>,
    records: Vec<Backend>,
    free: Vec<usize>,
}

impl Backends {
    pub fn get(&self, id: &BackendId) -> Option<&Backend> {
        self.places.get(id).map(|p| &self.records[*p])
    }

    pub fn get_mut(&mut self, id: &BackendId) -> Option<&mut Backend> {
        self.places.get(id).map(|p| &mut self.records[*p])
    }

    /// The record at a place that [`Backends::ready`] told since the last change of the list.
    pub fn at(&self, place: usize) -> &Backend {
        &self.records[place]
    }

    /// A backend's record, a new one if there is none.
    pub fn entry(&mut self, id: BackendId) -> &mut Backend {
        let (free, records) = (&mut self.free, &mut self.records);
        let place = *self.places.entry(id).or_insert_with(|| {
            free.pop().unwrap_or_else(|| {
                records.push(Backend::default());
                records.len() - 1
            })
        });
        &mut records[place]
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Backend> {
        self.records.iter_mut()
    }

    /// The ready ones with their places, by identity.
    pub fn ready(&self) -> impl Iterator<Item = (usize, &Backend)> {
        self.places
            .values()
            .map(|p| (*p, &self.records[*p]))
            .filter(|(_, b)| b.ready)
    }

    /// Forgets those that are neither ready nor at work.
    pub fn forget_idle(&mut self) {
        let (free, records) = (&mut self.free, &mut self.records);
        self.places.retain(|_, p| {
            let keep = records[*p].ready || records[*p].out > 0;
            if !keep {
                records[*p] = Backend::default();
                free.push(*p);
            }
            keep
        });
    }
}

/// The customers that are known.
pub type Customers = BTreeMap<CustomerId, Customer>;

/// How long answers of a class take: lately, and on calm servers.
#[derive(Default, Serialize, Deserialize)]
pub struct Usual {
    pub recent: f64,
    pub calm: f64,
    /// The mean whose least is the calm time.
    pub long: f64,
    pub count: f64,
    pub at: Micros,
}

/// One gateway's decisions. Feed it events, do what it asks.
#[derive(Default, Serialize, Deserialize)]
pub struct Gateway {
    pub(crate) s: Settings,
    pub(crate) rng: u64,
    pub(crate) now: Micros,
    pub(crate) born: Micros,
    /// When the settings last changed.
    pub(crate) changed_at: Micros,
    pub(crate) wake_at: Micros,
    /// Stood still until then: times found with that turn say nothing.
    pub(crate) woke: Micros,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) checks: BinaryHeap<Reverse<(Micros, RequestId)>>,
    pub(crate) customers: Customers,
    pub(crate) peers: BTreeMap<u16, Peer>,
    /// Peers with something in their outbox.
    pub(crate) due: BTreeSet<u16>,
    pub(crate) samples: VecDeque<(u8, Sample)>,
    pub(crate) backends: Backends,
    pub(crate) tags: BTreeMap<u32, BackendId>,
    /// All backends, and the pools of routes behind them.
    pub(crate) pools: Vec<Pool>,
    pub(crate) able_at: Micros,
    /// As many as the cold ones are worth, by their warmth alone, and recent sends to any of them.
    pub(crate) cold_able: f64,
    pub(crate) cold_sends: VecDeque<Micros>,
    /// Messages that may be sent before the next one has to wait, and since when that fills.
    pub(crate) tells: f64,
    pub(crate) tells_at: Micros,
    /// Whether zones could be reached.
    pub(crate) zones: BTreeMap<u8, Health>,
    pub(crate) usual: Vec<Usual>,
    /// The mean time of all answers, in microseconds.
    pub(crate) pace: f64,
    pub(crate) retries: f64,
    pub(crate) sent_rate: f64,
    pub(crate) sent_at: Micros,
    /// Report period with all gateways as homes; nought in a fleet too large for that.
    pub(crate) period: Micros,
    pub(crate) sweep_at: Micros,
    pub(crate) watch_at: Micros,
    pub(crate) shares: u64,
}

pub fn decay(from: Micros, to: Micros, tau: f64) -> f64 {
    if from >= to {
        1.0
    } else {
        (-((to - from) as f64) / SECOND / tau).exp()
    }
}

/// A number from 0 to 1 that looks random (splitmix64).
pub fn mix(seed: u64) -> f64 {
    let mut z = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// What customers on a plan use, as far as this gateway knows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanUsage {
    /// Customers that are known.
    pub customers: u64,
    /// The most that one of them has used of late, over all gateways, in units a second.
    pub rate: f64,
    /// The most attempts that one of them has out.
    pub in_flight: u32,
}

/// How a backend stands with a gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendStatus {
    /// It is listed as ready for work.
    pub accepts_work: bool,
    /// The places of the classes that it is ejected for.
    pub ejected_for: Vec<usize>,
}

impl Gateway {
    /// What is used of each plan, in the order of the settings. Looks at every customer.
    pub fn plan_usage(&self) -> Vec<PlanUsage> {
        let mut plans = vec![PlanUsage::default(); self.s.plans.len()];
        for c in self.customers.values() {
            let Some(p) = plans.get_mut(c.plan) else {
                continue;
            };
            let faded = decay(c.filled, self.now, crate::control::RATE_TAU);
            p.customers += 1;
            p.rate = p.rate.max((c.rate + c.others) * faded);
            p.in_flight = p.in_flight.max(c.open + c.others_open);
        }
        plans
    }

    /// Whether a customer's quota, as far as it is known here, has room for so many units now.
    pub fn within_quota(&self, customer: CustomerId, units: f64) -> bool {
        let beyond = |c: &Customer| {
            let has_quota = self.s.plans.get(c.plan).is_some_and(|p| p.rate > 0.0);
            has_quota && c.level + 1e-9 < units
        };
        !self.customers.get(&customer).is_some_and(beyond)
    }

    /// Whether a backend takes new work, and the places of the classes that it is rested for.
    pub fn backend_status(&self, id: BackendId) -> BackendStatus {
        let Some(b) = self.backends.get(&id) else {
            return BackendStatus::default();
        };
        let rests = b
            .health
            .iter()
            .enumerate()
            .filter(|(_, h)| h.strikes > 0 && self.now < h.rest_until);
        BackendStatus {
            accepts_work: b.ready,
            ejected_for: rests.map(|(class, _)| class).collect(),
        }
    }

    /// How many backends take new work as any other: ready, not rested for a class, and not looked past in each choice, by
    /// themselves or with their zone.
    pub fn backends_in_rotation(&self) -> usize {
        let (now, doubted) = (self.now, crate::control::DOUBTED);
        let rests = |h: &Health| (h.strikes > 0 && now < h.rest_until) || h.doubt(now) > doubted;
        let zone = |b: &Backend| {
            self.zones
                .get(&b.listed.zone)
                .is_some_and(|z| z.doubt(now) > doubted)
        };
        self.backends
            .ready()
            .filter(|(_, b)| !zone(b) && !b.health.iter().any(rests))
            .count()
    }

    /// A request is held no longer; what was granted for the last one lapses with it.
    pub(crate) fn let_go(&mut self, customer: CustomerId, id: RequestId, held: bool) {
        if let Some(c) = self.customers.get_mut(&customer).filter(|_| held) {
            c.held.retain(|h| *h != id);
            if c.held.is_empty() {
                c.granted = 0.0;
            }
        }
    }

    /// An answer streams: the other attempts are called off, and this one is the client's.
    pub(crate) fn on_first_byte(&mut self, id: RequestId, attempt: u16, act: &mut Vec<Action>) {
        if let Some(o) = self.requests.get_mut(&id) {
            o.call_off(Some(attempt), self.s.limits.cancellation, act);
            o.streaming = true;
            // The backend's work is done: how fast the client reads must not keep others from a place.
            if let Some(a) = o
                .attempts
                .get_mut(usize::from(attempt))
                .filter(|a| a.out && !a.lost)
            {
                a.lost = true;
                self.pools[a.pool].settled(a.guest);
            }
        }
    }

    /// Sends a peer a message, with the latest samples.
    pub(crate) fn post(&mut self, to: u16, body: Body, act: &mut Vec<Action>) {
        let samples = self.samples.iter().map(|s| s.1).collect();
        self.samples.iter_mut().for_each(|s| s.0 -= 1);
        self.samples.retain(|s| s.0 > 0);
        let (now, p) = (self.now, self.peers.entry(to).or_default());
        p.sent = p.sent.wrapping_add(1);
        p.next = now + self.period;
        self.tells -= 1.0;
        let (born, seq, name_digests) = (incarnation(self.born), p.sent, self.s.name_digests);
        let bytes = Message {
            born,
            seq,
            name_digests,
            samples,
            body,
        }
        .pack();
        act.push(Action::SendToPeer {
            to: Some(GatewayId(to)),
            bytes,
        });
    }
}
