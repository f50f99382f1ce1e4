//! The backends and what this gateway knows of each: its line of the endpoint list, its load, its
//! relative latency, its health.

use crate::event::{Endpoint, EndpointState};
use crate::ids::{BackendId, Micros};
use crate::numeric::decay;
use crate::outlier_ejection::Health;
use crate::settings::{BackendRules, WeightMeaning};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The weight of one answer in a backend's relative latency (ours).
const LATENCY_WEIGHT: f64 = 0.1;
/// The bounds of the relative latency (ours).
const MAX_RELATIVE_LATENCY: f64 = 4.0;
const MIN_RELATIVE_LATENCY: f64 = 0.3;
/// The memory of a reported queue in seconds (ours).
const QUEUE_TIME_CONSTANT: f64 = 1.0;
/// The longest queue that is believed (ours).
const MAX_QUEUE: f64 = 1000.0;

/// The queue of a backend as last reported, or guessed from a rejection.
#[derive(Default, Serialize, Deserialize)]
struct ReportedQueue {
    length: f64,
    at: Micros,
}

/// A backend.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Backend {
    endpoint: Endpoint,
    weight: f64,
    ready: bool,
    in_flight: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    relative_latency: f64,
    /// Something has failed here since it started: where nothing has, a choice need not look at its
    /// health.
    faulty: bool,
    health: Vec<Health>,
    queue: ReportedQueue,
    /// Recent sends while it warms up.
    warm_up_sends: VecDeque<Micros>,
}

impl Backend {
    #[inline]
    pub(crate) fn id(&self) -> BackendId {
        self.endpoint.backend
    }

    #[inline]
    pub(crate) fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    #[inline]
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    #[inline]
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Attempts that this gateway has in flight there.
    #[inline]
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    #[inline]
    pub(crate) fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// Its health with all classes, in their order.
    pub(crate) fn health(&self) -> &[Health] {
        &self.health
    }

    /// Its health with a class, where anything has failed since it started.
    #[inline]
    pub(crate) fn fault(&self, class: usize) -> Option<&Health> {
        self.faulty.then(|| &self.health[class])
    }

    pub(crate) fn health_mut(&mut self, class: usize) -> &mut Health {
        &mut self.health[class]
    }

    pub(crate) fn warm_up_sends(&self) -> &VecDeque<Micros> {
        &self.warm_up_sends
    }

    /// Requests waiting there, as far as the last report still tells.
    #[inline]
    pub(crate) fn queue(&self, now: Micros) -> f64 {
        if self.queue.length > 0.0 {
            self.queue.length * decay(self.queue.at, now, QUEUE_TIME_CONSTANT)
        } else {
            0.0
        }
    }

    pub(crate) fn note_queue(&mut self, length: f64, now: Micros) {
        self.queue.length = length.clamp(0.0, MAX_QUEUE);
        self.queue.at = now;
    }

    /// It rejected an attempt unseen: its queue is longer by so much.
    pub(crate) fn note_rejection(&mut self, more: f64) {
        self.queue.length += more;
    }

    /// Notes an answer, or the want of one, in its health with a class.
    pub(crate) fn note_health(&mut self, class: usize, failed: bool, weight: f64, now: Micros) {
        self.faulty |= failed;
        self.health[class].note(now, failed, weight);
    }

    /// Notes an answer's time over what its class usually takes.
    pub(crate) fn note_latency(&mut self, relative: f64) {
        let change = relative.min(MAX_RELATIVE_LATENCY) - self.relative_latency;
        self.relative_latency =
            (self.relative_latency + LATENCY_WEIGHT * change).max(MIN_RELATIVE_LATENCY);
    }

    /// An attempt goes there.
    pub(crate) fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    /// An attempt there has ended.
    pub(crate) fn note_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes a send while it warms up; those that no rule asks for any more are forgotten.
    pub(crate) fn note_warm_up_send(&mut self, rules: &BackendRules, now: Micros) {
        note_recent(&mut self.warm_up_sends, rules, now);
    }

    /// Takes its line of the list; true if it is a new process, of which nothing is known.
    fn list(&mut self, endpoint: Endpoint, classes: usize, weights: WeightMeaning) -> bool {
        let new = self.health.is_empty() || endpoint.started_at != self.endpoint.started_at;
        if new {
            self.relative_latency = 1.0;
            self.health = vec![Health::default(); classes];
            self.queue.length = 0.0;
            self.faulty = false;
        }
        self.endpoint = endpoint;
        let weighted = weights == WeightMeaning::Capacity
            && endpoint.weight.is_finite()
            && endpoint.weight > 0.0;
        self.weight = if weighted { endpoint.weight } else { 1.0 };
        self.ready = endpoint.state == EndpointState::Ready;
        new
    }
}

/// Notes a send, and forgets those that are out of the window in which a backend may be overloaded.
pub(crate) fn note_recent(sends: &mut VecDeque<Micros>, rules: &BackendRules, now: Micros) {
    sends.retain(|t| *t + rules.overload_window > now);
    sends.push_back(now);
}

/// The backends: found by their identity, or by a place that stays theirs for as long as they are
/// kept. A choice looks at many of them, and a place costs it no search.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Backends {
    places: BTreeMap<BackendId, usize>,
    records: Vec<Backend>,
    free: Vec<usize>,
    /// The ready ones by the short name that gateways' messages have for them.
    by_tag: BTreeMap<u32, BackendId>,
}

impl Backends {
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.places.get(&id).map(|p| &self.records[*p])
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.places.get(&id).map(|p| &mut self.records[*p])
    }

    /// The record at a place that [`Backends::ready`] gave since the last change of the list.
    #[inline]
    pub(crate) fn at(&self, place: usize) -> &Backend {
        &self.records[place]
    }

    /// The ready ones with their places, by identity.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (usize, &Backend)> {
        let all = self.places.values().map(|p| (*p, &self.records[*p]));
        all.filter(|(_, b)| b.ready)
    }

    /// The ready backend that messages name so.
    pub(crate) fn by_tag(&self, tag: u32) -> Option<BackendId> {
        self.by_tag.get(&tag).copied()
    }

    /// None is ready: a complete list says which are.
    pub(crate) fn clear_ready(&mut self) {
        self.records.iter_mut().for_each(|b| b.ready = false);
    }

    /// Takes a line of the list; true if its backend is a new process.
    pub(crate) fn list(
        &mut self,
        endpoint: Endpoint,
        classes: usize,
        weights: WeightMeaning,
    ) -> bool {
        self.entry(endpoint.backend)
            .list(endpoint, classes, weights)
    }

    /// A backend's record, a new one if there is none.
    fn entry(&mut self, id: BackendId) -> &mut Backend {
        let (free, records) = (&mut self.free, &mut self.records);
        let place = *self.places.entry(id).or_insert_with(|| {
            free.pop().unwrap_or_else(|| {
                records.push(Backend::default());
                records.len() - 1
            })
        });
        &mut records[place]
    }

    /// Forgets those that are neither ready nor at work, and names the ready ones anew.
    pub(crate) fn settle(&mut self, tag: impl Fn(BackendId) -> u32) {
        let (free, records) = (&mut self.free, &mut self.records);
        self.places.retain(|_, p| {
            let keep = records[*p].ready || records[*p].in_flight > 0;
            if !keep {
                records[*p] = Backend::default();
                free.push(*p);
            }
            keep
        });
        let named = self.ready().map(|(_, b)| (tag(b.id()), b.id()));
        self.by_tag = named.collect();
    }

    /// Forgets all health with a class that is another one now.
    pub(crate) fn reset_class(&mut self, class: usize) {
        let known = self.records.iter_mut();
        known
            .filter_map(|b| b.health.get_mut(class))
            .for_each(|h| *h = Health::default());
    }

    /// Gives those that are listed a record for each class.
    pub(crate) fn resize_classes(&mut self, classes: usize) {
        let known = self.records.iter_mut().filter(|b| !b.health.is_empty());
        known.for_each(|b| b.health.resize(classes, Health::default()));
    }
}
