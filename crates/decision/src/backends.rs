//! The backends and what this gateway knows of each: its entry in the endpoint list, its load, its
//! relative latency and its health.

use crate::event::{Endpoint, EndpointState};
use crate::ids::{BackendId, Micros};
use crate::numeric::decay;
use crate::outlier_ejection::Health;
use crate::settings::{BackendRules, WeightMeaning};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Weight of one answer in a backend's relative latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Bounds of the relative latency.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
const MIN_RELATIVE_LATENCY: f64 = 0.3;
/// Time constant, in seconds, with which a reported queue is forgotten.
const QUEUE_TIME_CONSTANT: f64 = 1.0;
/// Longest queue that is accepted from a report, in requests.
const MAX_QUEUE: f64 = 1000.0;

/// The queue of a backend as last reported, or estimated from a rejection.
#[derive(Default, Serialize, Deserialize)]
struct ReportedQueue {
    length: f64,
    at: Micros,
}

/// The state of a backend.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Backend {
    endpoint: Endpoint,
    weight: f64,
    ready: bool,
    in_flight: u32,
    /// Mean ratio of answer time to the recent mean of the request's class; 1 is normal.
    relative_latency: f64,
    /// Whether any attempt has failed here since the backend started. If none has, load balancing
    /// skips the backend's health.
    has_failed: bool,
    health: Vec<Health>,
    queue: ReportedQueue,
    /// Times of recent attempts sent while the backend warms up.
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

    /// Attempts that this gateway has in flight at the backend.
    #[inline]
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    #[inline]
    pub(crate) fn relative_latency(&self) -> f64 {
        self.relative_latency
    }

    /// Health for each class, in the order of the settings.
    pub(crate) fn health(&self) -> &[Health] {
        &self.health
    }

    /// Health for a class; `None` if no attempt has failed since the backend started.
    #[inline]
    pub(crate) fn health_if_faulty(&self, class: usize) -> Option<&Health> {
        self.has_failed.then(|| &self.health[class])
    }

    pub(crate) fn health_mut(&mut self, class: usize) -> &mut Health {
        &mut self.health[class]
    }

    pub(crate) fn warm_up_sends(&self) -> &VecDeque<Micros> {
        &self.warm_up_sends
    }

    /// Requests queued at the backend: the last report, decayed by its age.
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

    /// Lengthens the assumed queue by `additional` requests after the backend rejected an attempt.
    pub(crate) fn note_rejection(&mut self, additional: f64) {
        self.queue.length += additional;
    }

    /// Adds an answer, or the lack of one, to the health for a class.
    pub(crate) fn note_health(&mut self, class: usize, failed: bool, weight: f64, now: Micros) {
        self.has_failed |= failed;
        self.health[class].note(now, failed, weight);
    }

    /// Adds the ratio of an answer's time to the recent mean of its class.
    pub(crate) fn note_latency(&mut self, ratio: f64) {
        let change = ratio.min(MAX_RELATIVE_LATENCY) - self.relative_latency;
        self.relative_latency =
            (self.relative_latency + LATENCY_WEIGHT * change).max(MIN_RELATIVE_LATENCY);
    }

    /// Records that an attempt is sent to the backend.
    pub(crate) fn note_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt at the backend has ended.
    pub(crate) fn note_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records an attempt sent during warm-up, and forgets those outside the overload window.
    pub(crate) fn note_warm_up_send(&mut self, rules: &BackendRules, now: Micros) {
        note_recent(&mut self.warm_up_sends, rules, now);
    }

    /// Applies the backend's entry in the endpoint list; true if it is a new process, whose earlier
    /// measurements are reset.
    fn apply_endpoint(
        &mut self,
        endpoint: Endpoint,
        classes: usize,
        weights: WeightMeaning,
    ) -> bool {
        let new = self.health.is_empty() || endpoint.started_at != self.endpoint.started_at;
        if new {
            self.relative_latency = 1.0;
            self.health = vec![Health::default(); classes];
            self.queue.length = 0.0;
            self.has_failed = false;
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

/// Records an attempt sent now, and forgets those outside the overload window.
pub(crate) fn note_recent(sends: &mut VecDeque<Micros>, rules: &BackendRules, now: Micros) {
    sends.retain(|t| *t + rules.overload_window > now);
    sends.push_back(now);
}

/// All backends, found by their ids or by an index that stays the same for as long as a backend is
/// kept. Load balancing reads many backends per request, and an index needs no lookup.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Backends {
    index_by_id: BTreeMap<BackendId, usize>,
    records: Vec<Backend>,
    free: Vec<usize>,
    /// Ready backends by the short names used in messages between gateways.
    by_tag: BTreeMap<u32, BackendId>,
}

impl Backends {
    pub(crate) fn get(&self, id: BackendId) -> Option<&Backend> {
        self.index_by_id.get(&id).map(|index| &self.records[*index])
    }

    pub(crate) fn get_mut(&mut self, id: BackendId) -> Option<&mut Backend> {
        self.index_by_id
            .get(&id)
            .map(|index| &mut self.records[*index])
    }

    /// The backend at an index that [`Backends::ready`] returned since the last change of the
    /// endpoint list.
    #[inline]
    pub(crate) fn at(&self, index: usize) -> &Backend {
        &self.records[index]
    }

    /// The ready backends with their indices, in the order of their ids.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (usize, &Backend)> {
        let all = self
            .index_by_id
            .values()
            .map(|index| (*index, &self.records[*index]));
        all.filter(|(_, b)| b.ready)
    }

    /// The ready backend with this short name.
    pub(crate) fn by_tag(&self, tag: u32) -> Option<BackendId> {
        self.by_tag.get(&tag).copied()
    }

    /// Marks all backends as not ready, before a complete list is applied.
    pub(crate) fn clear_ready(&mut self) {
        self.records.iter_mut().for_each(|b| b.ready = false);
    }

    /// Applies an entry of the endpoint list; true if its backend is a new process.
    pub(crate) fn apply_endpoint(
        &mut self,
        endpoint: Endpoint,
        classes: usize,
        weights: WeightMeaning,
    ) -> bool {
        self.entry(endpoint.backend)
            .apply_endpoint(endpoint, classes, weights)
    }

    /// A backend's record, created if there is none.
    fn entry(&mut self, id: BackendId) -> &mut Backend {
        let (free, records) = (&mut self.free, &mut self.records);
        let index = *self.index_by_id.entry(id).or_insert_with(|| {
            free.pop().unwrap_or_else(|| {
                records.push(Backend::default());
                records.len() - 1
            })
        });
        &mut records[index]
    }

    /// Removes the backends that are neither ready nor have attempts in flight, and rebuilds the
    /// short names of the ready ones.
    pub(crate) fn finish_list_update(&mut self, tag: impl Fn(BackendId) -> u32) {
        let (free, records) = (&mut self.free, &mut self.records);
        self.index_by_id.retain(|_, index| {
            let keep = records[*index].ready || records[*index].in_flight > 0;
            if !keep {
                records[*index] = Backend::default();
                free.push(*index);
            }
            keep
        });
        let by_tag = self.ready().map(|(_, b)| (tag(b.id()), b.id()));
        self.by_tag = by_tag.collect();
    }

    /// Resets all health for a class whose index now means a different class.
    pub(crate) fn reset_class(&mut self, class: usize) {
        let backends = self.records.iter_mut();
        backends
            .filter_map(|b| b.health.get_mut(class))
            .for_each(|h| *h = Health::default());
    }

    /// Extends the health of all listed backends to `classes` classes.
    pub(crate) fn resize_classes(&mut self, classes: usize) {
        let backends = self.records.iter_mut().filter(|b| !b.health.is_empty());
        backends.for_each(|b| b.health.resize(classes, Health::default()));
    }
}
