//! Request counts with which a staged rollout compares this ingress with others. Only members of a group collect them.

use crate::request_metrics::RequestEnd;
use crate::requests::OpenRequest;
use wrenfork_decision::{Gateway, Micros, Request, Settings};
use wrenfork_rollout::{MemberMetrics, RequestCounter, RequestOutcome, WEIGHT_SCALE};
use wrenfork_wire::call::Vocabulary;

/// Maximum weight of one request, in units of 1 / [`WEIGHT_SCALE`].
const MAX_WEIGHT: f64 = 1e12;

/// Request counts for rollouts, with the weights of classes and plans.
#[derive(Default)]
pub struct CohortMetrics {
    /// `None` outside a group: nothing is counted.
    counter: Option<RequestCounter>,
    /// Priority weight of each class, by class index.
    class_weights: Vec<f64>,
    /// Weight factor of each plan, by plan index.
    plan_weights: Vec<f64>,
}

impl CohortMetrics {
    /// Starts counting.
    pub fn start(&mut self) {
        self.counter = Some(RequestCounter::default());
    }

    /// Replaces the weights when classes or plans change; `vocabulary` has the names of the previous classes and plans.
    pub fn set_weights(&mut self, settings: &Settings, vocabulary: &Vocabulary) {
        self.assign_names(vocabulary);
        self.class_weights = settings.classes.iter().map(|c| c.priority_weight).collect();
        self.plan_weights = settings.plans.iter().map(|p| p.weight_factor).collect();
    }

    /// Moves the counts by index to the counts by name.
    fn assign_names(&mut self, vocabulary: &Vocabulary) {
        if let Some(counter) = &mut self.counter {
            counter.assign_names(|c| vocabulary.class_name(c), |p| vocabulary.plan_name(p));
        }
    }

    /// Counts the outcome of an admitted request.
    pub fn record(&mut self, open: &OpenRequest, end: RequestEnd, now: Micros, gateway: &Gateway) {
        let request = &open.call.request;
        let end = match end {
            RequestEnd::Served => RequestOutcome::Served(now.saturating_sub(open.arrived_at())),
            // Requests beyond their customer's quota are not counted: rejecting those is not a fault of this ingress.
            RequestEnd::Rejected if !gateway.within_quota(request.customer, request.units) => {
                return
            }
            RequestEnd::Rejected => RequestOutcome::Rejected,
            RequestEnd::Failed => RequestOutcome::Failed,
        };
        self.count(request, end);
    }

    /// Counts a request that this ingress rejected for lack of capacity, before it reached the decision module.
    pub fn record_rejected(&mut self, request: &Request) {
        self.count(request, RequestOutcome::Rejected);
    }

    fn count(&mut self, request: &Request, end: RequestOutcome) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let weight_at = |weights: &[f64], index: usize| weights.get(index).copied().unwrap_or(0.0);
        let weight = weight_at(&self.class_weights, request.class.into())
            * weight_at(&self.plan_weights, request.plan.into());
        let units = (weight * WEIGHT_SCALE).clamp(0.0, MAX_WEIGHT) as u64;
        counter.record(request.class, request.plan, units, end);
    }

    /// Returns all counts by name; empty outside a group.
    pub fn report(&mut self, vocabulary: &Vocabulary) -> MemberMetrics {
        self.assign_names(vocabulary);
        self.counter
            .as_ref()
            .map_or_else(MemberMetrics::default, RequestCounter::metrics)
    }
}
