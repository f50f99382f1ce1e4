//! A client's connection.

use super::eviction::{IdleKind, IdleState};
use crate::authenticator::AuthenticatedCaller;
use crate::stream::Stream;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use wrenfork_decision::{Micros, RequestId};
use wrenfork_wire::resp;

/// The most requests of one connection that may wait for their answer; beyond, no more is read from it.
const MAX_UNANSWERED: usize = 256;
/// The most bytes of answers that may wait for the client to read them; beyond, no more is read from it. Clients that send
/// requests and never read, as many as there are descriptors, must fit in the memory.
const MAX_UNREAD: usize = 64 * 1024;
/// Errors in a row behind which a connection is closed: each costs an answer, and some clients never tire.
const MAX_ERRORS: u32 = 8;

/// Where an answer belongs.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Origin {
    /// The connection's place, and its serial number.
    pub(super) key: usize,
    pub(super) serial: u64,
    /// The number of the request among those of its connection.
    pub(super) index: u64,
}

/// An answer, or the place of one that is still to come.
#[derive(Serialize, Deserialize)]
pub(super) enum AnswerSlot {
    /// The answer to this request is to come.
    Waiting(RequestId),
    /// The answer to this request is streamed; behind others it stays with the backend until these are written.
    Streaming(RequestId),
    /// The answer, behind others.
    Ready(Vec<u8>),
}

/// A connection; without its stream while it passes from one process to the next. The order of its fields is part of a
/// handover's layout.
#[derive(Serialize, Deserialize)]
pub struct ClientConnection<S = Stream> {
    #[serde(skip)]
    pub(super) stream: S,
    pub(super) serial: u64,
    /// What has been read and not parsed.
    pub(super) buf: Vec<u8>,
    /// Answers in the order of the requests.
    pub(super) answers: VecDeque<AnswerSlot>,
    /// The number of the first of them.
    pub(super) first_index: u64,
    /// Bytes of answers that wait for those before them.
    pub(super) ready_bytes: usize,
    /// What is to be written, and how much of that is.
    pub(super) out: Vec<u8>,
    pub(super) written: usize,
    /// The bytes of memory that it was last found to hold.
    pub(super) counted_memory: usize,
    /// When something last happened on it.
    pub(super) since: Micros,
    /// When what `buf` holds of a command began to come; with none, when it was accepted.
    pub(super) command_since: Micros,
    /// What it has proved of who it is; where callers are authenticated, no connection passes to another process.
    #[serde(skip)]
    pub(super) caller: Option<AuthenticatedCaller>,
    /// Errors since the last good command.
    pub(super) errors: u32,
    /// What it still sends is dropped: it is closed once all before that is answered.
    pub(super) closing: bool,
    /// Its answers are written and its output has ended; until then it may read them.
    pub(super) linger_until: Option<Micros>,
    /// Accepted beyond the budget of descriptors: told so with its first request, and closed.
    pub(super) surplus: bool,
    /// Its output has ended.
    pub(super) half_closed: bool,
    /// It is not read any more: a request that crosses the half-close is one that was never read, and its client sends it again.
    #[serde(skip)]
    pub(super) ignored: bool,
    /// Reading stopped since its queue of answers is full.
    pub(super) stalled: bool,
    pub(super) in_write_queue: bool,
    pub(super) in_read_queue: bool,
    /// The bytes of memory that a long body has been granted, until it has come, and since when.
    pub(super) granted: usize,
    pub(super) granted_at: Micros,
    /// It waits for such a grant.
    pub(super) waits_for_grant: bool,
    /// Its state in the queues for eviction.
    #[serde(skip)]
    pub(super) idle_state: Option<IdleState>,
}

impl<S> ClientConnection<S> {
    /// One that was accepted now.
    pub(super) fn new(stream: S, serial: u64, now: Micros) -> ClientConnection<S> {
        ClientConnection {
            stream,
            serial,
            buf: Vec::new(),
            answers: VecDeque::new(),
            first_index: 0,
            ready_bytes: 0,
            out: Vec::new(),
            written: 0,
            counted_memory: 0,
            since: now,
            command_since: now,
            caller: None,
            errors: 0,
            closing: false,
            linger_until: None,
            surplus: false,
            half_closed: false,
            ignored: false,
            stalled: false,
            in_write_queue: false,
            in_read_queue: false,
            granted: 0,
            granted_at: 0,
            waits_for_grant: false,
            idle_state: None,
        }
    }

    /// Whether it is between two requests, with nothing under way in either direction.
    pub(super) fn is_idle(&self) -> bool {
        self.owes_nothing() && self.buf.is_empty()
    }

    /// Whether no answer is owed on it, and its end is not under way.
    fn owes_nothing(&self) -> bool {
        self.answers.is_empty() && self.out.is_empty() && !self.closing && !self.surplus
    }

    /// Its state by now, if it may be evicted.
    pub(super) fn current_idle_state(&self) -> Option<IdleState> {
        let state = |kind, since| Some(IdleState { kind, since });
        if self.ignored {
            return state(IdleKind::HalfClosed, self.since);
        }
        if !self.owes_nothing() {
            return None;
        }
        if !self.buf.is_empty() {
            return state(IdleKind::PartialCommand, self.command_since);
        }
        if !self.has_sent() {
            return state(IdleKind::Silent, self.command_since);
        }
        state(IdleKind::BetweenRequests, self.since)
    }

    /// Whether it is not to be read on. Not behind a streamed answer either: if that breaks the connection ends, and whatever
    /// came of a request behind it would be lost.
    pub(super) fn is_full(&self) -> bool {
        let streaming = matches!(self.answers.front(), Some(AnswerSlot::Streaming(_)));
        let unread = self.ready_bytes + self.out.len() - self.written;
        streaming || self.answers.len() >= MAX_UNANSWERED || unread >= MAX_UNREAD
    }

    /// Bytes that it has of a partial command, without those that were granted.
    pub(super) fn ungranted_input(&self) -> usize {
        self.buf.capacity().saturating_sub(self.granted)
    }

    /// Brings up to date what it holds in memory, in `total` as well.
    pub(super) fn recount(&mut self, total: &mut usize) {
        // What was granted counts with the open requests, which it will be one of.
        let memory = self.ungranted_input() + self.ready_bytes + self.out.capacity();
        *total = *total - self.counted_memory + memory;
        self.counted_memory = memory;
    }

    /// Whether a complete command has ever come.
    pub(super) fn has_sent(&self) -> bool {
        self.first_index > 0 || !self.answers.is_empty()
    }

    /// Counts an error; the last one that is tolerated closes the connection behind its answer.
    pub(super) fn count_error(&mut self) {
        self.errors += 1;
        self.closing |= self.errors >= MAX_ERRORS;
    }

    /// Queues an answer that is known at once.
    pub(super) fn answer_now(&mut self, text: &[u8]) {
        if self.answers.is_empty() {
            self.out.extend_from_slice(text);
            self.first_index += 1;
        } else {
            self.ready_bytes += text.len();
            self.answers.push_back(AnswerSlot::Ready(text.to_vec()));
        }
    }

    /// Queues an error as an answer that is known at once.
    pub(super) fn answer_error(&mut self, why: &str) {
        let mut text = Vec::new();
        resp::put_error(&mut text, why);
        self.answer_now(&text);
    }

    /// Ends it in the middle of a command, once it has been told why.
    pub(super) fn abort_command(&mut self, why: &str) {
        self.answer_error(why);
        self.closing = true;
        self.buf = Vec::new();
        self.waits_for_grant = false;
    }

    /// The index of an answer among those that are queued; none where it has been given.
    pub(super) fn position_of(&self, origin: Origin) -> Option<usize> {
        let position = origin.index.checked_sub(self.first_index)?;
        Some(position as usize)
    }
}
