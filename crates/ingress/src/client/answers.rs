//! Writing answers to clients in the order of their requests.

use super::connection::{AnswerSlot, ClientConnection, Origin};
use super::lost_answers::CloseReason;
use super::Clients;
use std::io::{ErrorKind, Write};
use wrenfork_decision::Micros;
use wrenfork_wire::resp;

/// Maximum number of bytes of a streamed answer that are buffered for a client. At the limit, reading from the backend pauses.
/// The limit is low enough that one such buffer for every file descriptor fits in memory.
const MAX_STREAMED: usize = 32 * 1024;
/// Capacity in bytes that an idle connection keeps of its output buffer.
const MAX_IDLE_BUFFER: usize = 2 * 1024;

impl Clients {
    /// Answers an invalid request with an error, which counts towards the end of its connection.
    pub fn answer_error(&mut self, origin: Origin, reason: &str) {
        let mut text = Vec::new();
        resp::put_error(&mut text, reason);
        if let Some(conn) = self.connection_of(origin) {
            conn.count_error();
            if conn.closing {
                self.read_later(origin.key); // parses what was read before
            }
        }
        self.answer(origin, &text);
    }

    /// Sends the final answer to a request; `text` is one complete RESP2 value. Does nothing if the client has disconnected.
    pub fn answer(&mut self, origin: Origin, text: &[u8]) {
        let Some(conn) = self.connections.get_mut(origin.key) else {
            return;
        };
        if conn.serial != origin.serial {
            return;
        }
        let Some(position) = conn.position_of(origin) else {
            return;
        };
        let front_is_unanswered =
            !matches!(conn.answers.front(), None | Some(AnswerSlot::Ready(_)));
        if position == 0 && front_is_unanswered {
            conn.pop_answer();
            conn.append_output(text);
        } else if let Some(slot) = conn.answers.get_mut(position) {
            *slot = AnswerSlot::Ready(text.to_vec());
            conn.ready_bytes += text.len();
        }
        while let Some(AnswerSlot::Ready(_)) = conn.answers.front() {
            if let Some(AnswerSlot::Ready(text)) = conn.pop_answer() {
                conn.ready_bytes -= text.len();
                conn.append_output(&text);
            }
        }
        if let Some(AnswerSlot::Streaming(id)) = conn.answers.front() {
            self.writable.push(*id);
        }
        conn.recount(&mut self.memory_used);
        self.write_later(origin.key);
    }

    /// Whether the connection that this request came on has other requests whose answers are not written yet.
    pub fn has_other_answers(&self, origin: Origin) -> bool {
        let connection = self.connections.get(origin.key);
        let connection = connection.filter(|conn| conn.serial == origin.serial);
        connection.is_some_and(|conn| conn.answers.len() > 1 || conn.has_unparsed_commands())
    }

    /// Whether requests that came after this one on its connection have answers that are not written yet. They would be lost if
    /// the connection was closed in the middle of this answer.
    pub fn has_answers_behind(&self, origin: Origin) -> bool {
        let Some((conn, position)) = self.position_of(origin) else {
            return false;
        };
        position + 1 < conn.answers.len() || conn.has_unparsed_commands()
    }

    /// Whether the answer to this request is the next one that its client receives.
    pub(super) fn is_next_answer(&self, origin: Origin) -> bool {
        self.position_of(origin)
            .is_some_and(|(_, position)| position == 0)
    }

    pub(super) fn position_of(&self, origin: Origin) -> Option<(&ClientConnection, usize)> {
        let conn = self.connections.get(origin.key)?;
        let position = conn.position_of(origin)?;
        (conn.serial == origin.serial).then_some((conn, position))
    }

    /// The output buffer that a streamed answer is appended to, if there is room. Otherwise returns none, and the request is
    /// queued in [`Clients::writable`] once there is room. Also returns none if the client has disconnected.
    pub fn stream_buffer(&mut self, origin: Origin) -> Option<&mut Vec<u8>> {
        // When memory is short, a stream gets more data only once its buffer is empty. All streams thus make progress, and each
        // buffers at most one read.
        let max = if self.is_memory_short() {
            1
        } else {
            MAX_STREAMED
        };
        let conn = self.connection_of(origin)?;
        let position = conn.position_of(origin)?;
        if let Some(slot) = conn.answers.get_mut(position) {
            if let AnswerSlot::Waiting(id) = *slot {
                *slot = AnswerSlot::Streaming(id);
            }
        }
        let has_room = position == 0 && conn.out.len() - conn.written < max;
        has_room.then_some(&mut conn.out)
    }

    /// Must be called after data was appended to [`Clients::stream_buffer`]: updates the memory count and queues a write.
    pub fn stream_written(&mut self, origin: Origin) {
        if let Some(conn) = self.connections.get_mut(origin.key) {
            conn.stream_begun = conn.is_streaming();
            conn.recount(&mut self.memory_used);
            self.write_later(origin.key);
        }
    }

    /// Whether part of a streamed answer was passed on, so that the client can't be told any more that it failed.
    pub fn has_begun_stream(&self, origin: Origin) -> bool {
        let connection = self.connections.get(origin.key);
        connection
            .filter(|conn| conn.serial == origin.serial)
            .is_some_and(|conn| conn.stream_begun && origin.index == conn.first_index)
    }

    /// Ends a streamed answer that can't be completed. If part of it may have been sent, the connection is closed so that the
    /// client notices the truncation, once the client has received the earlier answers. If nothing of it was passed on, because
    /// earlier answers are pending or unread, `text` is sent as its answer instead.
    pub fn abort_stream(&mut self, origin: Origin, text: &[u8]) {
        if !self.has_begun_stream(origin) {
            return self.answer(origin, text);
        }
        self.finish(origin.key, CloseReason::BrokenStream);
    }

    /// Writes the pending output of all queued connections. Batches the answers that a connection gets in a turn into one write.
    pub fn flush(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.write_queue) {
            let Some(conn) = self.connections.get_mut(key) else {
                continue;
            };
            conn.in_write_queue = false;
            if self.write(key, now) {
                self.after_write(key, now);
            } else {
                self.remove(key);
            }
        }
    }

    /// Writes to a connection until its output is written or the socket would block. Returns false if the connection has failed.
    fn write(&mut self, key: usize, now: Micros) -> bool {
        let conn = &mut self.connections[key];
        while conn.written < conn.out.len() {
            match conn.stream.write(&conn.out[conn.written..]) {
                Ok(n) => {
                    conn.written += n;
                    conn.record_written(n, now);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    fn after_write(&mut self, key: usize, now: Micros) {
        let conn = &mut self.connections[key];
        if conn.written == conn.out.len() {
            conn.written = 0;
            conn.since = now.max(conn.since);
            conn.out.clear();
            conn.out.shrink_to(MAX_IDLE_BUFFER);
            conn.recount(&mut self.memory_used);
        } else {
            conn.free_written_output();
            conn.recount(&mut self.memory_used);
        }
        if let Some(AnswerSlot::Streaming(id)) = conn.answers.front() {
            // Drops the written part at once. Otherwise the whole answer would accumulate in memory for a slow reader.
            if conn.out.len() - conn.written < MAX_STREAMED {
                conn.out.drain(..std::mem::take(&mut conn.written));
                self.writable.push(*id);
            }
        }
        // Resumes parsing of commands that were waiting for room in the queue of answers.
        if conn.stalled && !conn.must_pause_reading() && !conn.waits_for_grant {
            conn.stalled = false;
            self.read_later(key);
        }
        self.close_if_done(key, now);
        self.update_idle_state(key);
    }
}
