//! The query that this gateway has sent to a customer's quota owners, and the requests held until
//! it is answered.

use crate::ids::{Micros, RequestId};

/// A grant that arrives later than this after the query is discarded, in microseconds: it would
/// raise a full bucket above its burst.
const GRANT_LIFETIME: Micros = 250_000;
/// Age up to which an owner's update is used without asking again, in microseconds; also the
/// longest time that a request is held for an update.
pub(crate) const MAX_UPDATE_AGE: Micros = 100_000;
/// The same limit for an update that shows no room. It is longer than [`MAX_UPDATE_AGE`] because
/// the retries of a rejected customer would otherwise query the owners continually.
pub(crate) const MAX_UPDATE_AGE_FOR_REJECTION: Micros = 500_000;

/// The latest query to a customer's owners.
#[derive(Default)]
pub(crate) struct OwnerQuery {
    /// Units that are asked for, and whether the ceiling lacks them as well as the quota.
    pub(super) units: f64,
    pub(super) wants_ceiling: bool,
    /// The owner that was asked last, and the units that this owner pledged.
    pub(super) asked: u16,
    pub(super) pledged: f64,
    /// When the last update of an owner was applied, and when an owner was last asked; 0 for never.
    pub(super) updated_at: Micros,
    pub(super) asked_at: Micros,
    /// Owners that have answered the latest query.
    pub(super) answered: Vec<u16>,
    /// Requests held until an owner answers.
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

    /// Clears the pledge once a request has used it; the owner that pledged has already counted
    /// those units.
    pub(crate) fn clear_pledge(&mut self) {
        self.pledged = 0.0;
    }

    /// Whether any owner's update has been applied.
    pub(crate) fn has_update(&self) -> bool {
        self.updated_at > 0
    }

    /// Age of the last update, in microseconds; `now` if there was none.
    pub(crate) fn update_age(&self, now: Micros) -> Micros {
        now - self.updated_at.min(now)
    }

    /// Time since an owner was last asked, in microseconds.
    pub(crate) fn since_asked(&self, now: Micros) -> Micros {
        now - self.asked_at
    }

    pub(crate) fn waiting(&self) -> &[RequestId] {
        &self.waiting
    }

    /// Adds a request to those held for the answer.
    pub(crate) fn add_waiting(&mut self, id: RequestId) {
        self.waiting.retain(|w| *w != id);
        self.waiting.push(id);
    }

    /// Removes a request from those held; returns true if none is left.
    pub(crate) fn stop_waiting(&mut self, id: RequestId) -> bool {
        self.waiting.retain(|w| *w != id);
        self.waiting.is_empty()
    }

    /// Records a new query to `owner` and clears the answers to the previous one.
    pub(crate) fn note_asked(&mut self, owner: u16, units: f64, wants_ceiling: bool, now: Micros) {
        self.asked = owner;
        self.asked_at = now;
        self.answered.clear();
        self.units = units;
        self.wants_ceiling = wants_ceiling;
        self.pledged = 0.0;
    }

    /// Whether the owner asked last has answered.
    pub(crate) fn is_answered(&self) -> bool {
        self.answered.contains(&self.asked)
    }

    pub(crate) fn has_answered(&self, owner: u16) -> bool {
        self.answered.contains(&owner)
    }

    pub(crate) fn note_answer(&mut self, owner: u16) {
        self.answered.push(owner);
    }

    /// Records that an owner's update was applied; `pledged` if the owner pledged the units asked
    /// for.
    pub(crate) fn note_update(&mut self, now: Micros, pledged: bool) {
        self.updated_at = now;
        self.pledged = if pledged { self.units } else { 0.0 };
    }

    /// Whether a grant that arrives now is still for the held requests.
    pub(crate) fn takes_grants(&self, now: Micros) -> bool {
        now - self.asked_at < GRANT_LIFETIME
    }
}
