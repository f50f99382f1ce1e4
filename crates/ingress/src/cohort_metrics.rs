//! Counts of requests by which a staged rollout compares this ingress with others. Only a member of a group counts.

use crate::request_metrics::RequestEnd;
use crate::requests::OpenRequest;
use wrenfork_decision::{Gateway, Micros, Request, Settings};
use wrenfork_rollout::{MemberMetrics, RequestCounter, RequestOutcome, WEIGHT_SCALE};
use wrenfork_wire::call::Vocabulary;

/// The most that one request counts, in units of [`WEIGHT_SCALE`].
const MAX_WEIGHT: f64 = 1e12;

/// The counts, and the weights of requests.
#[derive(Default)]
pub struct CohortMetrics {
    counter: Option<RequestCounter>,
    /// The priority weight of each class.
    class_weights: Vec<f64>,
    /// The factor of each plan.
    plan_weights: Vec<f64>,
}

impl CohortMetrics {
    /// Counts from now on.
    pub fn start(&mut self) {
        self.counter = Some(RequestCounter::default());
    }

    /// Has other classes and plans from now on; `vocabulary` has the names of those so far.
    pub fn set_weights(&mut self, settings: &Settings, vocabulary: &Vocabulary) {
        self.settle(vocabulary);
        self.class_weights = settings.classes.iter().map(|c| c.priority_weight).collect();
        self.plan_weights = settings.plans.iter().map(|p| p.weight_factor).collect();
    }

    /// Adds what was counted by index to the counts by name.
    fn settle(&mut self, vocabulary: &Vocabulary) {
        if let Some(counter) = &mut self.counter {
            counter.assign_names(|c| vocabulary.class_name(c), |p| vocabulary.plan_name(p));
        }
    }

    /// Counts the end of an admitted request.
    pub fn record(&mut self, open: &OpenRequest, end: RequestEnd, now: Micros, gateway: &Gateway) {
        let request = &open.call.request;
        let end = match end {
            RequestEnd::Served => RequestOutcome::Served(now.saturating_sub(open.arrived_at())),
            // What is beyond its quota is nobody's loss.
            RequestEnd::Rejected if !gateway.within_quota(request.customer, request.units) => {
                return
            }
            RequestEnd::Rejected => RequestOutcome::Rejected,
            RequestEnd::Failed => RequestOutcome::Failed,
        };
        self.count(request, end);
    }

    /// Counts a request that was rejected for want of capacity here, before the module saw it.
    pub fn record_rejected(&mut self, request: &Request) {
        self.count(request, RequestOutcome::Rejected);
    }

    fn count(&mut self, request: &Request, end: RequestOutcome) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let weight_at = |list: &[f64], index: usize| list.get(index).copied().unwrap_or(0.0);
        let weight = weight_at(&self.class_weights, request.class.into())
            * weight_at(&self.plan_weights, request.plan.into());
        let units = (weight * WEIGHT_SCALE).clamp(0.0, MAX_WEIGHT) as u64;
        counter.record(request.class, request.plan, units, end);
    }

    /// All counts by name.
    pub fn report(&mut self, vocabulary: &Vocabulary) -> MemberMetrics {
        self.settle(vocabulary);
        self.counter
            .as_ref()
            .map_or_else(MemberMetrics::default, RequestCounter::metrics)
    }
}
