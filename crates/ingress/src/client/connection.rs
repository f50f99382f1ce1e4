//! State of one client connection.

use super::eviction::{IdleKind, IdleState};
use crate::authenticator::AuthenticatedCaller;
use crate::stream::Stream;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use wrenfork_decision::{Micros, RequestId};
use wrenfork_wire::resp;

#[cfg(test)]
mod tests;

/// Maximum number of unanswered requests on one connection; at the limit, reading from the connection stops.
const MAX_UNANSWERED: usize = 256;
/// Maximum number of bytes of answers buffered for one client; at the limit, reading from the connection stops. The limit is low
/// enough that the buffers fit in memory even if every file descriptor belongs to a client that sends requests and never reads.
pub(super) const MAX_UNREAD: usize = 64 * 1024;
/// Number of consecutive errors after which a connection is closed as soon as it is idle. Beyond it, invalid commands are answered
/// only if a valid one follows.
const MAX_ERRORS: u32 = 8;
/// Number of consecutive errors after which nothing more is read from a connection, as some clients never pause.
const MAX_ERRORS_BEFORE_READING_ENDS: u32 = 1024;
/// Answer to each invalid command beyond [`MAX_ERRORS`] that a valid one follows.
const TOO_MANY_ERRORS: &[u8] = b"-ERR too many errors\r\n";

/// Size of the output buffer in bytes beyond which it grows by [`OUTPUT_RESERVE`] at a time instead of doubling, since its whole
/// capacity counts as memory.
const MAX_DOUBLED_OUTPUT: usize = 64 * 1024;
/// Spare capacity in bytes that a large output buffer grows by.
const OUTPUT_RESERVE: usize = 16 * 1024;

/// How long a client may go without reading its answers before the connection is removed.
pub(super) const UNREAD_TIMEOUT: Micros = 15_000_000;
/// Number of bytes that a client's kernel receives even if the client reads nothing: half of the usual initial receive window.
pub(super) const RECEIVED_UNREAD_BYTES: usize = 32 * 1024;

/// The connection that a request came on, and the position of its answer on that connection.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Origin {
    /// Key of the connection in the slab.
    pub(super) key: usize,
    /// Serial number of the connection.
    pub(super) serial: u64,
    /// Index of the answer slot among all slots of its connection, starting at 0.
    pub(super) index: u64,
}

/// Slot in a connection's queue of answers.
#[derive(Serialize, Deserialize)]
pub(super) enum AnswerSlot {
    /// The request has no answer yet.
    Waiting(RequestId),
    /// The answer is streamed from the backend. Reading it waits until all earlier answers of the connection are written.
    Streaming(RequestId),
    /// Complete answers, one behind the other, that wait for earlier answers.
    Ready(Vec<u8>),
}

impl AnswerSlot {
    /// The request, if it has no complete answer.
    pub(super) fn unanswered(&self) -> Option<RequestId> {
        match self {
            AnswerSlot::Waiting(id) | AnswerSlot::Streaming(id) => Some(*id),
            AnswerSlot::Ready(_) => None,
        }
    }
}

/// State of a client connection that is not handed over to another process.
#[derive(Default)]
pub(super) struct UnsavedState {
    /// Number of bytes written since the last write that the client had [`UNREAD_TIMEOUT`] to receive. After a handover all earlier
    /// bytes count.
    pub(super) recent_output: usize,
    /// When the long body that is being received could have been sent completely at the earliest, for all that was seen of it. A
    /// successor counts from the time at which it has received the body.
    pub(super) body_sent_at: Option<Micros>,
    /// When a long body that waits for a memory grant is rejected; after a handover it is not rejected.
    pub(super) grant_deadline: Option<Micros>,
    /// Number of bytes of a rejected body that are still to be received and discarded. The connection ends at a handover.
    pub(super) rejected_bytes: usize,
    /// Number of invalid commands whose error answers are withheld. They are answered before a handover.
    pub(super) withheld_errors: usize,
    /// The request of a connection beyond the file descriptor budget was rejected. After a handover the connection ends when it
    /// expires.
    pub(super) rejected_as_surplus: bool,
    /// The input can't be split into commands any more. After the half-close it is read and discarded, as the client may still be
    /// sending the rest of a command.
    pub(super) framing_lost: bool,
}

impl UnsavedState {
    /// State after a handover, when it is unknown how much the client has received.
    pub(super) fn after_handover() -> Self {
        UnsavedState {
            recent_output: usize::MAX,
            ..UnsavedState::default()
        }
    }
}

/// A client connection. During a handover it is serialized without its stream (`S = ()`). The field order is part of the handover
/// format.
#[derive(Serialize, Deserialize)]
pub struct ClientConnection<S = Stream> {
    #[serde(skip)]
    pub(super) stream: S,
    pub(super) serial: u64,
    /// Input that was read and not parsed yet.
    pub(super) buf: Vec<u8>,
    /// Pending answers, in request order.
    pub(super) answers: VecDeque<AnswerSlot>,
    /// Index of the front of `answers` among all slots of this connection.
    pub(super) first_index: u64,
    /// Whether part of a streamed answer at the front of `answers` was appended to `out`. Not serialized: after a handover it is
    /// taken to be so.
    #[serde(skip)]
    pub(super) stream_begun: bool,
    /// Total size in bytes of the answers in `Ready` slots.
    pub(super) ready_bytes: usize,
    /// Output buffer.
    pub(super) out: Vec<u8>,
    /// Number of bytes of `out` that are written to the socket.
    pub(super) written: usize,
    /// State that is not handed over.
    #[serde(skip)]
    pub(super) unsaved: UnsavedState,
    /// Bytes of memory that this connection contributes to the total of all connections.
    pub(super) counted_memory: usize,
    /// Time of the last command or successful write, or of acceptance or a half-close while idle.
    pub(super) since: Micros,
    /// When the partial command in `buf` began to arrive, or when the connection was accepted if none has arrived. The command
    /// timeout counts from here.
    pub(super) command_since: Micros,
    /// The authenticated caller. Not serialized: with authentication on, connections are not handed over to another process.
    #[serde(skip)]
    pub(super) caller: Option<AuthenticatedCaller>,
    /// Number of errors since the last valid command.
    pub(super) errors: u32,
    /// Nothing more is read. The complete commands in `buf` are still answered, and the connection is half-closed once all answers
    /// are written. A command that stays unread is retried by its client on another connection.
    pub(super) closing: bool,
    /// When a half-closed or surplus connection is removed even if the client has not closed it.
    pub(super) linger_until: Option<Micros>,
    /// Accepted beyond the file descriptor budget: its requests are rejected, and it is closed as soon as it is idle.
    pub(super) surplus: bool,
    /// The sending side of the socket is shut down.
    pub(super) half_closed: bool,
    /// Reading has stopped because the queue of answers is full or a memory grant is pending.
    pub(super) stalled: bool,
    pub(super) in_write_queue: bool,
    pub(super) in_read_queue: bool,
    /// Bytes of memory granted to the long body that is being received; 0 if none.
    pub(super) granted: usize,
    /// When the memory was granted.
    pub(super) granted_at: Micros,
    /// A long body waits for a memory grant.
    pub(super) waits_for_grant: bool,
    /// The state last reported to the eviction queues; none if the connection may not be evicted.
    #[serde(skip)]
    pub(super) idle_state: Option<IdleState>,
}

impl<S> ClientConnection<S> {
    /// State of a connection accepted at `now`.
    pub(super) fn new(stream: S, serial: u64, now: Micros) -> ClientConnection<S> {
        ClientConnection {
            stream,
            serial,
            buf: Vec::new(),
            answers: VecDeque::new(),
            first_index: 0,
            stream_begun: false,
            ready_bytes: 0,
            out: Vec::new(),
            written: 0,
            unsaved: UnsavedState::default(),
            counted_memory: 0,
            since: now,
            command_since: now,
            caller: None,
            errors: 0,
            closing: false,
            linger_until: None,
            surplus: false,
            half_closed: false,
            stalled: false,
            in_write_queue: false,
            in_read_queue: false,
            granted: 0,
            granted_at: 0,
            waits_for_grant: false,
            idle_state: None,
        }
    }

    /// Whether the connection has no pending answers, no unsent output and no partial command, and is not being closed.
    pub(super) fn is_idle(&self) -> bool {
        self.has_nothing_pending() && self.buf.is_empty()
    }

    /// Whether the connection has no pending answers and no unsent output, and is not being closed.
    fn has_nothing_pending(&self) -> bool {
        self.answers.is_empty() && self.out.is_empty() && !self.closing
    }

    /// Whether the connection is closed as soon as it is idle, although its client may go on using it.
    pub(super) fn ends_when_idle(&self) -> bool {
        self.errors >= MAX_ERRORS || self.unsaved.rejected_as_surplus
    }

    /// Whether the input buffer may hold complete commands, which wait until reading from the connection continues.
    pub(super) fn has_unparsed_commands(&self) -> bool {
        let waits_for_room = self.stalled && !self.waits_for_grant;
        (waits_for_room || self.in_read_queue) && !self.buf.is_empty()
    }

    /// The current idle state; none if the connection may not be evicted.
    pub(super) fn current_idle_state(&self) -> Option<IdleState> {
        let state = |kind, since| Some(IdleState { kind, since });
        if self.half_closed
            && !self.unsaved.framing_lost
            && self.unsaved.recent_output <= RECEIVED_UNREAD_BYTES
        {
            return state(IdleKind::HalfClosed, self.since);
        }
        if self.surplus || !self.has_nothing_pending() {
            return None;
        }
        if !self.buf.is_empty() {
            return state(IdleKind::PartialCommand, self.command_since);
        }
        if !self.has_sent_command() {
            return state(IdleKind::Silent, self.command_since);
        }
        state(IdleKind::BetweenRequests, self.since)
    }

    /// Whether all answers are written and no further command will be answered.
    pub(super) fn is_done(&self) -> bool {
        let has_no_output = self.answers.is_empty() && self.out.is_empty();
        self.closing && self.buf.is_empty() && has_no_output && !self.half_closed
    }

    /// Records that bytes were written to the socket.
    pub(super) fn record_written(&mut self, bytes: usize, now: Micros) {
        if now > self.since + UNREAD_TIMEOUT {
            self.unsaved.recent_output = 0;
        }
        self.unsaved.recent_output = self.unsaved.recent_output.saturating_add(bytes);
        self.since = now.max(self.since);
    }

    /// Until when the kernel may hold output that the client has no room for yet; 0 if the client certainly has room for all of it.
    pub(super) fn delivery_deadline(&self) -> Micros {
        if self.unsaved.recent_output <= RECEIVED_UNREAD_BYTES {
            return 0;
        }
        self.since + UNREAD_TIMEOUT
    }

    /// Whether the kernel may hold output that the client has no room for yet.
    pub(super) fn may_be_receiving(&self, now: Micros) -> bool {
        now <= self.delivery_deadline()
    }

    /// Whether the answer at the front of `answers` is streamed.
    pub(super) fn is_streaming(&self) -> bool {
        matches!(self.answers.front(), Some(AnswerSlot::Streaming(_)))
    }

    /// Removes the answer at the front of `answers`.
    pub(super) fn pop_answer(&mut self) -> Option<AnswerSlot> {
        let slot = self.answers.pop_front()?;
        self.first_index += 1;
        self.stream_begun = false;
        Some(slot)
    }

    /// Removes all pending answers.
    pub(super) fn take_answers(&mut self) -> VecDeque<AnswerSlot> {
        self.first_index += self.answers.len() as u64;
        self.ready_bytes = 0;
        self.stream_begun = false;
        std::mem::take(&mut self.answers)
    }

    /// Discards a partial command.
    pub(super) fn discard_input(&mut self) {
        self.buf = Vec::new();
        self.waits_for_grant = false;
    }

    /// Whether reading from the connection must stop. It also stops during a streamed answer: if the stream breaks, the
    /// connection is closed, and the answers to any later requests on it would be lost.
    pub(super) fn must_pause_reading(&self) -> bool {
        let unread = self.ready_bytes + self.out.len() - self.written;
        self.is_streaming() || self.answers.len() >= MAX_UNANSWERED || unread >= MAX_UNREAD
    }

    /// Memory in bytes held for a partial command beyond what was granted.
    pub(super) fn ungranted_input(&self) -> usize {
        self.buf.capacity().saturating_sub(self.granted)
    }

    /// Recomputes the memory that this connection holds, and adjusts `total` by the difference.
    pub(super) fn recount(&mut self, total: &mut usize) {
        // Granted memory is not included: it counts with the memory of open requests.
        let slots = self.answers.capacity() * size_of::<AnswerSlot>();
        let answers = slots + self.ready_bytes + self.out.capacity();
        let memory = self.ungranted_input() + answers;
        *total = *total - self.counted_memory + memory;
        self.counted_memory = memory;
    }

    /// Whether the client has ever sent a complete command.
    pub(super) fn has_sent_command(&self) -> bool {
        self.first_index > 0 || !self.answers.is_empty()
    }

    /// Counts an error, see [`ends_when_idle`](Self::ends_when_idle). After too many of them, nothing more is read.
    pub(super) fn count_error(&mut self) {
        self.errors = self.errors.saturating_add(1);
        self.closing |= self.errors >= MAX_ERRORS_BEFORE_READING_ENDS;
    }

    /// Answers an invalid command with an error. Beyond [`MAX_ERRORS`] in a row the answer is withheld until a valid command
    /// follows, whose answer the client can only tell by its position.
    pub(super) fn answer_invalid(&mut self, text: &[u8]) {
        self.count_error();
        if self.errors <= MAX_ERRORS {
            self.queue_answer(text);
        } else {
            self.unsaved.withheld_errors += 1;
        }
    }

    /// Queues the error answers that were withheld. Must be called before a valid command is answered.
    pub(super) fn queue_withheld_errors(&mut self) {
        let count = std::mem::take(&mut self.unsaved.withheld_errors);
        if count > 0 {
            self.queue_answer(&TOO_MANY_ERRORS.repeat(count));
        }
    }

    /// Appends an answer to the output buffer.
    pub(super) fn append_output(&mut self, text: &[u8]) {
        let wanted = self.out.len() + text.len();
        if wanted > self.out.capacity().max(MAX_DOUBLED_OUTPUT) {
            self.out.reserve_exact(text.len() + OUTPUT_RESERVE);
        }
        self.out.extend_from_slice(text);
    }

    /// Frees the written part of the output buffer once it is the larger part of a large buffer.
    pub(super) fn free_written_output(&mut self) {
        if self.written > MAX_DOUBLED_OUTPUT && self.written >= self.out.len() / 2 {
            self.out.drain(..std::mem::take(&mut self.written));
            self.out.shrink_to_fit();
        }
    }

    /// Queues an answer to the command just parsed. Consecutive answers of this kind share a slot.
    pub(super) fn queue_answer(&mut self, text: &[u8]) {
        if self.answers.is_empty() {
            self.append_output(text);
            self.first_index += 1;
            return;
        }
        self.ready_bytes += text.len();
        if let Some(AnswerSlot::Ready(ready)) = self.answers.back_mut() {
            ready.extend_from_slice(text);
        } else {
            self.answers.push_back(AnswerSlot::Ready(text.to_vec()));
        }
    }

    /// Queues an error as the answer to the command just parsed.
    pub(super) fn answer_error(&mut self, reason: &str) {
        let mut text = Vec::new();
        resp::put_error(&mut text, reason);
        self.queue_answer(&text);
    }

    /// Answers a partial command with an error, discards the input, and closes the connection once the error is sent.
    pub(super) fn abort_command(&mut self, reason: &str) {
        self.answer_error(reason);
        self.closing = true;
        self.unsaved.framing_lost = true;
        self.discard_input();
    }

    /// Position of an answer in the queue; none if the request was already answered.
    pub(super) fn position_of(&self, origin: Origin) -> Option<usize> {
        let position = origin.index.checked_sub(self.first_index)?;
        Some(position as usize)
    }
}
