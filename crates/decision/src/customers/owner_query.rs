//! The question that this gateway has put to a customer's quota owners, and the requests that wait
//! for the answer.

use crate::ids::{Micros, RequestId};

/// Units granted later than this after the question lapse, in microseconds: a full bucket would
/// hold more than full (ours).
const GRANT_LIFE: Micros = 250_000;
/// The age up to which an owner's update need not be asked for again, in microseconds; the longest
/// wait for one (ours).
pub(crate) const FRESH: Micros = 100_000;
/// The same where it says that there is no room: else the retries of a rejected customer ask
/// without end (ours).
pub(crate) const FRESH_REJECTION: Micros = 500_000;

/// A question to a customer's owners.
#[derive(Default)]
pub(crate) struct OwnerQuery {
    /// What is asked for: a request's units, and whether the ceiling lacks them, too.
    pub(super) units: f64,
    pub(super) wants_ceiling: bool,
    /// Whom it asked last, and the units that it was pledged.
    pub(super) asked: u16,
    pub(super) pledged: f64,
    /// When an owner last told of the customer, and when one was asked.
    pub(super) updated_at: Micros,
    pub(super) asked_at: Micros,
    /// Who has answered.
    pub(super) answered: Vec<u16>,
    /// The requests that wait.
    pub(super) waiting: Vec<RequestId>,
}

impl OwnerQuery {
    pub(crate) fn units(&self) -> f64 {
        self.units
    }

    pub(crate) fn wants_ceiling(&self) -> bool {
        self.wants_ceiling
    }

    pub(crate) fn asked(&self) -> u16 {
        self.asked
    }

    pub(crate) fn pledged(&self) -> f64 {
        self.pledged
    }

    /// The pledge is used: the owner that gave it has counted it.
    pub(crate) fn use_pledge(&mut self) {
        self.pledged = 0.0;
    }

    /// An owner has told of the customer.
    pub(crate) fn was_updated(&self) -> bool {
        self.updated_at > 0
    }

    /// How old the last update is; as old as the clock where there was none.
    pub(crate) fn update_age(&self, now: Micros) -> Micros {
        now - self.updated_at.min(now)
    }

    /// How long ago an owner was asked.
    pub(crate) fn since_asked(&self, now: Micros) -> Micros {
        now - self.asked_at
    }

    pub(crate) fn waiting(&self) -> &[RequestId] {
        &self.waiting
    }

    /// A request waits for the answer.
    pub(crate) fn wait(&mut self, id: RequestId) {
        self.waiting.retain(|w| *w != id);
        self.waiting.push(id);
    }

    /// A request waits no longer; true if it was the last one.
    pub(crate) fn stop_waiting(&mut self, id: RequestId) -> bool {
        self.waiting.retain(|w| *w != id);
        self.waiting.is_empty()
    }

    /// An owner is asked.
    pub(crate) fn ask(&mut self, owner: u16, units: f64, wants_ceiling: bool, now: Micros) {
        self.asked = owner;
        self.asked_at = now;
        self.answered.clear();
        self.units = units;
        self.wants_ceiling = wants_ceiling;
        self.pledged = 0.0;
    }

    /// The owner that was asked has answered.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered.contains(&self.asked)
    }

    pub(crate) fn has_answered(&self, owner: u16) -> bool {
        self.answered.contains(&owner)
    }

    pub(crate) fn note_answer(&mut self, owner: u16) {
        self.answered.push(owner);
    }

    /// An owner's view was taken; `pledged` where it has pledged what was asked for.
    pub(crate) fn note_update(&mut self, now: Micros, pledged: bool) {
        self.updated_at = now;
        self.pledged = if pledged { self.units } else { 0.0 };
    }

    /// A grant that comes now is for the requests that wait.
    pub(crate) fn takes_grants(&self, now: Micros) -> bool {
        now - self.asked_at < GRANT_LIFE
    }
}
