//! Final answers to requests: each request gets exactly one.

use super::Ingress;
use crate::request_metrics::RequestEnd;
use crate::variant::Variant;
use wrenfork_decision::RequestId;

/// Answer to a request that failed.
const FAILED: &[u8] = b"-ERR failed\r\n";

impl<V: Variant> Ingress<V> {
    /// Sends the final answer of a request, unless it already has one. Every admitted request ends either here or in
    /// [`Ingress::abort_stream`].
    pub(super) fn answer_request(&mut self, id: RequestId, text: &[u8], end: RequestEnd) {
        if let Some(open) = self.requests.incomplete(id) {
            open.complete = true;
            self.metrics.record(open.call.request.class, end);
            self.cohort_metrics
                .record(open, end, self.now, &self.gateway);
            self.clients.answer(open.origin, text);
        }
        self.forget_if_finished(id);
    }

    /// Ends a request whose streamed answer broke off after its first bytes were sent to the client.
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

    /// Ends a request for which no backend returned a value.
    pub(super) fn fail_request(&mut self, id: RequestId) {
        if self
            .requests
            .get(id)
            .is_some_and(|open| open.streaming.is_some())
        {
            return self.abort_stream(id);
        }
        self.answer_request(id, FAILED, RequestEnd::Failed);
    }
}
