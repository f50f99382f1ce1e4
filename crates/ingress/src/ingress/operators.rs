//! Operators' queries at the management address.

use super::Ingress;
use crate::management::Query;
use crate::request_metrics::Gauges;
use crate::variant::Variant;

impl<V: Variant> Ingress<V> {
    pub(super) fn accept_operators(&mut self) {
        let Some(management) = &mut self.management else {
            return;
        };
        self.unfinished.operators = management.accept(self.poll.registry(), self.now);
        self.answer_queries();
    }

    pub(super) fn operator_ready(&mut self, key: usize) {
        let Some(management) = &mut self.management else {
            return;
        };
        management.ready(key);
        self.answer_queries();
    }

    fn answer_queries(&mut self) {
        let Some(management) = &mut self.management else {
            return;
        };
        for pending in std::mem::take(&mut management.queries) {
            let answer = match pending.query {
                Query::Readiness => match self.not_ready_reason() {
                    None => "+OK ready\r\n".into(),
                    Some(reason) => format!("-ERR {reason}\r\n"),
                },
                Query::Telemetry => format!("+OK\n{}.\n", self.telemetry()),
            };
            if let Some(management) = &mut self.management {
                management.answer(&pending, answer);
            }
        }
    }

    /// Why a new request would not be served at the moment; `None` if it would.
    fn not_ready_reason(&self) -> Option<&'static str> {
        if self.shutdown.has_begun() {
            return Some("stopping");
        }
        if !self.clients.admission.admits() {
            return Some("too few members of its group answer");
        }
        (self.backends.backend_count() == 0).then_some("no backend is listed")
    }

    fn telemetry(&self) -> String {
        let endpoints = self.backends.backend_count();
        let gauges = Gauges {
            relayed: self.backends.relayed,
            open_requests: self.requests.incomplete_count(),
            endpoints,
            out_of_rotation: endpoints.saturating_sub(self.gateway.backends_in_rotation()),
        };
        self.metrics.telemetry(&gauges)
    }
}
