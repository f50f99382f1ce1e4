//! Answers that are too long to be held: they pass on to their clients as they come.

use super::Ingress;
use crate::backend::{Activity, ConnectionHandle};
use crate::variant::Variant;
use wrenfork_decision::{Event, Outcome, RequestId};

impl<V: Variant> Ingress<V> {
    /// Passes on what has come of a streamed answer, as far as its client has room for it.
    pub(super) fn pass_on(&mut self, connection: ConnectionHandle) {
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
        let other_is_streaming = open.streaming.is_some_and(|first| first != number);
        if open.complete || other_is_streaming {
            return self.abandon(id, number, None, |_| Outcome::Cancelled);
        }
        let origin = open.origin;
        if open.streaming.is_none() {
            // Once some of it has passed on, only the end of the connection can tell that it broke; where that is owed to others,
            // it is read to its end first.
            let spare_memory = self.clients.spare_memory();
            if self.clients.has_other_answers(origin)
                && self.backends.hold_back(connection, spare_memory, now)
            {
                return;
            }
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

    /// Goes on with the streamed answers whose clients have room again.
    pub(super) fn continue_streams(&mut self) {
        let mut writable = std::mem::take(&mut self.clients.writable);
        for id in writable.drain(..) {
            let connection = self.streaming_connection(id);
            if let Some(connection) = connection.filter(|c| self.backends.is_paused(*c)) {
                self.pass_on(connection);
            }
        }
        // The buffer is used again, unless there is something in another one by now.
        if self.clients.writable.is_empty() {
            self.clients.writable = writable;
        }
        self.pump();
    }

    /// The connection of the attempt whose answer is streamed.
    fn streaming_connection(&self, id: RequestId) -> Option<ConnectionHandle> {
        let open = self.requests.get(id)?;
        let attempt = open.attempts.get(usize::from(open.streaming?))?;
        attempt.connection
    }
}
