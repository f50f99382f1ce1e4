//! Answers to clients, in the order of their requests.

use super::connection::{AnswerSlot, Origin};
use super::Clients;
use std::io::{ErrorKind, Write};
use wrenfork_decision::Micros;
use wrenfork_wire::resp;

/// The most bytes of a streamed answer that may wait for the client to read them: beyond that, no more is read from the
/// backend. As many as there are descriptors must fit in the memory.
const MAX_STREAMED: usize = 32 * 1024;
/// What an idle connection may keep of its buffer for answers.
const MAX_IDLE_BUFFER: usize = 2 * 1024;

impl Clients {
    /// Answers a request that could not be taken with an error: the connection bears some of them.
    pub fn answer_error(&mut self, origin: Origin, why: &str) {
        let mut text = Vec::new();
        resp::put_error(&mut text, why);
        if let Some(c) = self.at_origin(origin) {
            c.count_error();
        }
        self.answer(origin, &text);
    }

    /// Gives a request its final answer, a complete RESP2 value.
    pub fn answer(&mut self, origin: Origin, text: &[u8]) {
        let Some(c) = self.connections.get_mut(origin.key) else {
            return;
        };
        if c.serial != origin.serial {
            return;
        }
        let Some(position) = c.position_of(origin) else {
            return;
        };
        let awaited = !matches!(c.answers.front(), None | Some(AnswerSlot::Ready(_)));
        if position == 0 && awaited {
            c.answers.pop_front();
            c.first_index += 1;
            c.out.extend_from_slice(text);
        } else if let Some(slot) = c.answers.get_mut(position) {
            *slot = AnswerSlot::Ready(text.to_vec());
            c.ready_bytes += text.len();
        }
        while let Some(AnswerSlot::Ready(_)) = c.answers.front() {
            if let Some(AnswerSlot::Ready(text)) = c.answers.pop_front() {
                c.first_index += 1;
                c.ready_bytes -= text.len();
                c.out.extend_from_slice(&text);
            }
        }
        if let Some(AnswerSlot::Streaming(id)) = c.answers.front() {
            self.writable.push(*id);
        }
        c.recount(&mut self.memory_used);
        self.write_later(origin.key);
    }

    /// Whether other answers are owed on the connection that this one belongs to.
    pub fn has_other_answers(&self, origin: Origin) -> bool {
        let connection = self.connections.get(origin.key);
        connection.is_some_and(|c| c.serial == origin.serial && c.answers.len() > 1)
    }

    /// The buffer that a streamed answer is written to, if there is room for more of it now; else the request is in
    /// [`Clients::writable`] once there is. None as well where the client has disconnected.
    pub fn stream_buffer(&mut self, origin: Origin) -> Option<&mut Vec<u8>> {
        // Where memory is short all go on, each with no more than it reads at once.
        let max = if self.memory_used > self.max_memory / 2 {
            1
        } else {
            MAX_STREAMED
        };
        let c = self.at_origin(origin)?;
        let position = c.position_of(origin)?;
        if let Some(slot) = c.answers.get_mut(position) {
            if let AnswerSlot::Waiting(id) = *slot {
                *slot = AnswerSlot::Streaming(id);
            }
        }
        let has_room = position == 0 && c.out.len() - c.written < max;
        has_room.then_some(&mut c.out)
    }

    /// Something was written to [`Clients::stream_buffer`].
    pub fn streamed(&mut self, origin: Origin) {
        if let Some(c) = self.connections.get_mut(origin.key) {
            c.recount(&mut self.memory_used);
            self.write_later(origin.key);
        }
    }

    /// Ends a streamed answer that can't be finished: its connection is closed, so that the client can tell. What stood before
    /// it has been written, as far as the client read it. Where others stand before it none of it has been written, and its
    /// answer is `text`.
    pub fn abort_stream(&mut self, origin: Origin, text: &[u8]) {
        let Some(c) = self.at_origin(origin) else {
            return;
        };
        if origin.index > c.first_index {
            return self.answer(origin, text);
        }
        let _ = c.stream.write(&c.out[c.written..]);
        self.remove(origin.key);
    }

    /// Writes what there is to write: one write for all answers that a connection gets in a turn.
    pub fn flush(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.write_queue) {
            let Some(c) = self.connections.get_mut(key) else {
                continue;
            };
            c.in_write_queue = false;
            if self.write(key, now) {
                self.after_write(key, now);
            } else {
                self.remove(key);
            }
        }
    }

    /// Writes to a connection until all is written or there is no room; false where it has broken.
    fn write(&mut self, key: usize, now: Micros) -> bool {
        let c = &mut self.connections[key];
        while c.written < c.out.len() {
            match c.stream.write(&c.out[c.written..]) {
                Ok(n) => {
                    c.written += n;
                    c.since = now.max(c.since);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        true
    }

    fn after_write(&mut self, key: usize, now: Micros) {
        let c = &mut self.connections[key];
        if c.written == c.out.len() {
            c.written = 0;
            c.since = now.max(c.since);
            c.out.clear();
            c.out.shrink_to(MAX_IDLE_BUFFER);
            c.recount(&mut self.memory_used);
        }
        if let Some(AnswerSlot::Streaming(id)) = c.answers.front() {
            // What is written makes room at once, or a long answer would be held in full for a slow reader.
            if c.out.len() - c.written < MAX_STREAMED {
                c.out.drain(..std::mem::take(&mut c.written));
                self.writable.push(*id);
            }
        }
        // Commands that were held back by a full queue of answers are taken up again.
        if c.stalled && !c.is_full() && !c.waits_for_grant {
            c.stalled = false;
            self.read_later(key);
        }
        self.close_if_done(key, now);
        self.update_idle_state(key);
    }
}
