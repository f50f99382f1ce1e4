//! The end of requests: each has one final answer.

use super::Ingress;
use crate::request_metrics::RequestEnd;
use crate::variant::Variant;
use wrenfork_decision::RequestId;

/// The answer to a request that has failed.
const FAILED: &[u8] = b"-ERR failed\r\n";

impl<V: Variant> Ingress<V> {
    /// Gives the final answer, once: here, and in [`Ingress::abort_stream`], an admitted request ends.
    pub(super) fn answer(&mut self, id: RequestId, text: &[u8], end: RequestEnd) {
        if let Some(open) = self.requests.incomplete(id) {
            open.complete = true;
            self.metrics.record(open.call.request.class, end);
            self.cohort_metrics
                .record(open, end, self.now, &self.gateway);
            self.clients.answer(open.origin, text);
        }
        self.forget(id);
    }

    /// Ends a request whose streamed answer can't be finished.
    pub(super) fn abort_stream(&mut self, id: RequestId) {
        if let Some(open) = self.requests.incomplete(id) {
            open.complete = true;
            let end = RequestEnd::Failed;
            self.metrics.record(open.call.request.class, end);
            self.cohort_metrics
                .record(open, end, self.now, &self.gateway);
            self.clients.abort_stream(open.origin, FAILED);
        }
    }

    /// Ends a request without a backend's value.
    pub(super) fn fail(&mut self, id: RequestId) {
        if self.requests.get(id).is_some_and(|o| o.streaming.is_some()) {
            return self.abort_stream(id);
        }
        self.answer(id, FAILED, RequestEnd::Failed);
    }
}
