//! Streaming of answers that are too long to buffer: their data is forwarded to the client as it arrives.

use super::Ingress;
use crate::backend::{Activity, AnswerBuffering, ConnectionHandle};
use crate::client::Origin;
use crate::variant::Variant;
use wrenfork_decision::{Event, Micros, Outcome, RequestId};

impl<V: Variant> Ingress<V> {
    /// Forwards received data of a streamed answer, as far as the client's output buffer has space.
    pub(super) fn forward_streamed_answer(&mut self, connection: ConnectionHandle) {
        let Some(streamed) = self.backends.streamed_attempt(connection) else {
            return;
        };
        let Activity::Attempt(id, number) = streamed.activity else {
            return;
        };
        let now = self.clock.now();
        let Some(open) = self.requests.get_mut(id) else {
            return;
        };
        let other_is_streaming = open.streaming.is_some_and(|streaming| streaming != number);
        if open.complete || other_is_streaming {
            return self.abandon_attempt(id, number, None, |_| Outcome::Cancelled);
        }
        let origin = open.origin;
        if open.streaming.is_none() {
            if self.must_not_begin(connection, origin, now) {
                return;
            }
            let Some(open) = self.requests.get_mut(id) else {
                return;
            };
            open.streaming = Some(number);
            if let Some(attempt) = open.attempt_mut(number) {
                attempt.first_byte_after = Some(now.saturating_sub(streamed.started_at));
            }
            self.events.push_back(Event::FirstByte {
                id,
                attempt: number,
            });
        }
        if let Some(out) = self.clients.stream_buffer(origin) {
            self.backends.forward(connection, out, now);
            self.clients.stream_written(origin);
        }
    }

    /// Whether an answer of which nothing was forwarded must not be forwarded yet. Once part of it is sent, closing the client
    /// connection is the only way to report that the rest failed. If other answers are still due on that connection, the answer is
    /// buffered to its end first. If there is no memory for that, answers behind it make it wait; its deadline applies meanwhile.
    fn must_not_begin(
        &mut self,
        connection: ConnectionHandle,
        origin: Origin,
        now: Micros,
    ) -> bool {
        if !self.clients.has_other_answers(origin) {
            return false;
        }
        let spare_memory = self.clients.spare_memory(origin);
        match self.backends.buffer_answer(connection, spare_memory, now) {
            AnswerBuffering::Continues => true,
            AnswerBuffering::Complete => false,
            AnswerBuffering::NoMemory => {
                let must_wait = self.clients.has_answers_behind(origin);
                if must_wait {
                    self.backends.wait_for_memory(connection, now);
                }
                must_wait
            }
        }
    }

    /// Checks whether answers that wait for memory can be buffered or forwarded now.
    pub(super) fn check_waiting_answers(&mut self) {
        for connection in self.backends.take_waiting_for_memory(self.now) {
            self.forward_streamed_answer(connection);
        }
        self.process_events();
    }

    /// Resumes streamed answers whose clients can take more data again.
    pub(super) fn continue_streams(&mut self) {
        let mut writable = std::mem::take(&mut self.clients.writable);
        for id in writable.drain(..) {
            let connection = self.streaming_connection(id);
            if let Some(connection) = connection.filter(|handle| self.backends.is_paused(*handle)) {
                self.forward_streamed_answer(connection);
            }
        }
        // Reuse the vector, unless new entries were added to its replacement meanwhile.
        if self.clients.writable.is_empty() {
            self.clients.writable = writable;
        }
        self.process_events();
    }

    /// The connection of the attempt whose answer is being streamed.
    fn streaming_connection(&self, id: RequestId) -> Option<ConnectionHandle> {
        self.requests.get(id)?.streaming_connection()
    }
}
