//! What is counted of requests for whoever compares this ingress with others while a change goes through in stages. Only a
//! member of a group counts.

use crate::ledger::End;
use crate::requests::Open;
use wrenfork_decision::{Gateway, Micros, Request, Settings};
use wrenfork_rollout::{MemberMetrics, RequestCounter, RequestOutcome, WEIGHT_SCALE};
use wrenfork_wire::call::Vocabulary;

/// The counts, and what they are weighed by.
#[derive(Default)]
pub struct Tallies {
    counter: Option<RequestCounter>,
    /// What a request is worth: of each class, and the factor of each plan.
    worths: Vec<f64>,
    prices: Vec<f64>,
}

impl Tallies {
    /// Counts from now on.
    pub fn begin(&mut self) {
        self.counter = Some(RequestCounter::default());
    }

    /// Other classes and plans from now on; `words` has their names so far.
    pub fn enforce(&mut self, settings: &Settings, words: &Vocabulary) {
        self.settle(words);
        self.worths = settings.classes.iter().map(|c| c.priority_weight).collect();
        self.prices = settings.plans.iter().map(|p| p.weight_factor).collect();
    }

    fn settle(&mut self, words: &Vocabulary) {
        if let Some(counter) = &mut self.counter {
            let class = |c: u8| words.classes.get(usize::from(c)).map(|c| c.0.as_str());
            let plan = |p: u16| words.plans.get(usize::from(p)).map(String::as_str);
            counter.assign_names(class, plan);
        }
    }

    /// A request that was let in has ended.
    pub fn ended(&mut self, open: &Open, end: End, now: Micros, gateway: &Gateway) {
        let request = &open.call.request;
        let end = match end {
            End::Served => RequestOutcome::Served(now.saturating_sub(open.came())),
            // What is beyond its quota is nobody's loss.
            End::Refused if !gateway.within_quota(request.customer, request.units) => return,
            End::Refused => RequestOutcome::Rejected,
            End::Failed => RequestOutcome::Failed,
        };
        self.count(request, end);
    }

    /// A request that was never let in is turned away, for want of room here.
    pub fn turned_away(&mut self, request: &Request) {
        self.count(request, RequestOutcome::Rejected);
    }

    fn count(&mut self, request: &Request, end: RequestOutcome) {
        let Some(counter) = &mut self.counter else {
            return;
        };
        let of = |list: &[f64], n: usize| list.get(n).copied().unwrap_or(0.0);
        let worth = of(&self.worths, request.class.into()) * of(&self.prices, request.plan.into());
        counter.record(
            request.class,
            request.plan,
            (worth * WEIGHT_SCALE).clamp(0.0, 1e12) as u64,
            end,
        );
    }

    /// All of it, by name.
    pub fn tally(&mut self, words: &Vocabulary) -> MemberMetrics {
        self.settle(words);
        self.counter
            .as_ref()
            .map_or_else(MemberMetrics::default, RequestCounter::metrics)
    }
}
