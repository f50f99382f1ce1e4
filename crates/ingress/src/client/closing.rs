//! Closing client connections: eviction, timeouts and graceful shutdown.

use super::connection::{AnswerSlot, ClientConnection, UNREAD_TIMEOUT};
use super::eviction::{ConnectionId, IdleKind, IdleState, OldestConnection};
use super::lost_answers::CloseReason;
use super::reading::LINGER_TIMEOUT;
use super::{ClientEvent, Clients};
use slab::Slab;
use std::io::Read;
use std::net::Shutdown;
use wrenfork_decision::Micros;

/// A silent connection accepted less than this long before the newest connection is evicted last, as its first command may still
/// be on the way.
const FRESH_AGE: Micros = 10_000;
/// How long a new connection may stay silent, and how long a partial command may take to complete. Clients may take 2 s to send
/// the head of a command and must get a timeout error within 3 s. The timeout is checked twice a second.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// How long a long body may take to arrive after its memory was granted. Bounded because other bodies wait for the memory.
const BODY_TIMEOUT: Micros = 15_000_000;
/// Maximum number of reads from a connection when the process exits; enough for the largest receive buffer of the kernel.
const MAX_FINAL_READS: usize = 512;

/// The idle state of a connection; none if the connection is closed or may not be evicted.
fn idle_state(connections: &Slab<ClientConnection>, id: ConnectionId) -> Option<IdleState> {
    let connection = connections.get(id.key);
    connection
        .filter(|conn| conn.serial == id.serial)?
        .idle_state
}

impl Clients {
    /// Recomputes the idle state of a connection and updates the eviction queues if it has changed.
    pub(super) fn update_idle_state(&mut self, key: usize) {
        let Some(conn) = self.connections.get_mut(key) else {
            return;
        };
        let to = conn.current_idle_state();
        let from = std::mem::replace(&mut conn.idle_state, to);
        if from != to {
            let serial = conn.serial;
            let connections = &self.connections;
            self.eviction
                .update(ConnectionId { key, serial }, from, to, |id| {
                    idle_state(connections, id)
                });
        }
    }

    /// Half-closes a connection if it is closing and all its answers are written, or if it is idle and is to be closed then: during
    /// graceful shutdown, or for what its client has sent.
    pub(super) fn close_if_done(&mut self, key: usize, now: Micros) {
        let conn = &self.connections[key];
        if conn.is_done() {
            self.half_close(key, now);
        } else if (self.draining || conn.ends_when_idle()) && conn.is_idle() {
            self.half_close_if_idle(key, now);
        }
    }

    /// Ends a connection that takes no further command: the requests on it that have no answer are reported as disconnected and
    /// counted as lost, and what is in its output buffer is still sent. Further input stays unread, so that the client knows that it
    /// may send it again. The connection is closed once its client has received the output, see [`close_if_done`](Self::close_if_done).
    pub(super) fn finish(&mut self, key: usize, reason: CloseReason) {
        let conn = &mut self.connections[key];
        self.lost_answers.record(reason, conn);
        conn.closing = true;
        conn.discard_input();
        self.granted -= std::mem::take(&mut conn.granted);
        let answers = conn.take_answers();
        let unanswered = answers.iter().filter_map(AnswerSlot::unanswered);
        self.events
            .extend(unanswered.map(ClientEvent::Disconnected));
        conn.recount(&mut self.memory_used);
        self.write_later(key);
        self.update_idle_state(key);
    }

    /// Like [`finish`](Self::finish), but discards the output that is not written yet.
    pub(super) fn finish_without_output(&mut self, key: usize, reason: CloseReason) {
        self.finish(key, reason);
        let conn = &mut self.connections[key];
        conn.out = Vec::new();
        conn.written = 0;
        conn.recount(&mut self.memory_used);
    }

    /// Shuts down the sending side of a connection and gives the client time to receive its answers and to close it. If the socket
    /// were closed before, unread or further input from the client would trigger a TCP reset: the kernel would discard what the
    /// client has no room for yet.
    fn half_close(&mut self, key: usize, now: Micros) {
        let conn = &mut self.connections[key];
        let _ = conn.stream.shutdown(Shutdown::Write);
        conn.half_closed = true;
        self.lingering += usize::from(conn.linger_until.is_none());
        conn.linger_until = Some(conn.delivery_deadline().max(now + LINGER_TIMEOUT));
        if conn.unsaved.framing_lost {
            self.read_later(key);
        }
    }

    /// Reads from an idle connection, and closes it if nothing has arrived.
    fn close_if_idle(&mut self, key: usize, now: Micros) {
        self.read(key, now, true);
        if self
            .connections
            .get(key)
            .is_some_and(ClientConnection::is_idle)
        {
            self.remove(key);
        }
    }

    /// Like [`close_if_idle`](Self::close_if_idle), but only half-closes a connection that has been used, for when its file
    /// descriptor is not needed at once: the last answer may still be in flight, and so may the next request.
    fn half_close_if_idle(&mut self, key: usize, now: Micros) {
        self.read(key, now, true);
        let Some(conn) = self.connections.get_mut(key).filter(|conn| conn.is_idle()) else {
            return;
        };
        if !conn.has_sent_command() {
            return self.remove(key);
        }
        conn.closing = true;
        conn.since = now.max(conn.since);
        self.half_close(key, now);
        self.update_idle_state(key);
    }

    // ---- Eviction ----

    /// If more than `max` connections are idle between requests, half-closes the one that has been idle the longest, unless it
    /// has sent something in the meantime.
    pub fn evict_idle_beyond(&mut self, max: usize, now: Micros) {
        if self.eviction.count(IdleKind::BetweenRequests) > max {
            if let Some(oldest) = self.oldest(IdleKind::BetweenRequests) {
                self.half_close_if_idle(oldest.key, now);
            }
        }
    }

    fn oldest(&mut self, kind: IdleKind) -> Option<OldestConnection> {
        let connections = &self.connections;
        self.eviction.oldest(kind, |id| idle_state(connections, id))
    }

    /// Whether any connection may be evicted.
    pub fn can_evict(&self) -> bool {
        let kinds = [
            IdleKind::HalfClosed,
            IdleKind::Silent,
            IdleKind::PartialCommand,
            IdleKind::BetweenRequests,
        ];
        kinds.into_iter().any(|kind| self.eviction.count(kind) > 0)
    }

    /// Closes a connection without unanswered requests to free its file descriptor, see `IdleKind` for the order. Returns false
    /// if there is none.
    pub fn evict_oldest(&mut self, now: Micros) -> bool {
        if let Some(oldest) = self.oldest(IdleKind::HalfClosed) {
            self.remove(oldest.key);
            return true;
        }
        while let Some(key) = self.next_to_evict() {
            self.try_evict(key, now);
            if !self.connections.contains(key) {
                return true;
            }
        }
        false
    }

    /// Key of the connection to evict next. The caller checks whether it has sent something in the meantime.
    fn next_to_evict(&mut self) -> Option<usize> {
        // The first commands of the newest connections may still be on the way, so these connections come last.
        let latest = self.accepted_at;
        let silent = self.oldest(IdleKind::Silent);
        let mut next = silent.filter(|oldest| oldest.since + FRESH_AGE <= latest);
        for kind in [
            IdleKind::PartialCommand,
            IdleKind::BetweenRequests,
            IdleKind::Silent,
        ] {
            next = next.or_else(|| self.oldest(kind));
        }
        next.map(|oldest| oldest.key)
    }

    /// Evicts a connection unless the command that it was waiting for has arrived.
    fn try_evict(&mut self, key: usize, now: Micros) {
        if self.connections[key].buf.is_empty() {
            return self.close_if_idle(key, now);
        }
        // The rest of the command may have arrived in the meantime.
        self.read(key, now, true);
        let state = self.connections.get(key).and_then(|conn| conn.idle_state);
        if state.is_some_and(|state| state.kind == IdleKind::PartialCommand) {
            self.remove(key);
        }
    }

    /// Reads and discards the input of a connection that is about to be closed while its client may still be receiving answers. The
    /// kernel goes on sending these after the close, unless input was left unread: that resets the connection.
    fn discard_unread_input(&mut self, key: usize) {
        let conn = &mut self.connections[key];
        for _ in 0..MAX_FINAL_READS {
            if !matches!(conn.stream.read(&mut self.read_buffer), Ok(bytes) if bytes > 0) {
                return;
            }
        }
    }

    /// Closes a connection on which answers may be due, and counts these as lost.
    pub(super) fn close_with_answers(&mut self, key: usize, reason: CloseReason) {
        self.lost_answers.record(reason, &self.connections[key]);
        self.remove(key);
    }

    /// Closes a connection and reports its unanswered requests as disconnected.
    pub(super) fn remove(&mut self, key: usize) {
        let conn = self.connections.remove(key); // dropping the stream closes it and deregisters it from the poll
        self.record_removal(&conn);
    }

    /// Subtracts a removed connection from all counters, and reports its unanswered requests as disconnected.
    pub(super) fn record_removal<S>(&mut self, conn: &ClientConnection<S>) {
        self.granted -= conn.granted;
        if let Some(state) = conn.idle_state {
            self.eviction.remove(state.kind);
        }
        self.lingering -= usize::from(conn.linger_until.is_some());
        self.surplus -= usize::from(conn.surplus);
        self.memory_used -= conn.counted_memory;
        let unanswered = conn.answers.iter().filter_map(AnswerSlot::unanswered);
        self.events
            .extend(unanswered.map(ClientEvent::Disconnected));
    }

    // ---- Timeouts ----

    /// Closes connections that have timed out. Called periodically.
    pub fn sweep(&mut self, now: Micros) {
        let late_commands = self.keys_where(|conn| is_command_late(conn, now));
        let is_unread =
            |conn: &ClientConnection| !conn.out.is_empty() && now > conn.since + UNREAD_TIMEOUT;
        for key in self.keys_where(is_unread) {
            self.close_with_answers(key, CloseReason::Unread);
        }
        for key in late_commands {
            self.close_late_connection(key, now);
        }
        if self.lingering > 0 {
            let is_expired =
                |conn: &ClientConnection| conn.linger_until.is_some_and(|until| until <= now);
            for key in self.keys_where(is_expired) {
                self.close_expired(key);
            }
        }
    }

    /// Closes a half-closed or surplus connection whose time is over. A surplus connection that its client still uses is
    /// half-closed first, once what was read from it is answered.
    fn close_expired(&mut self, key: usize) {
        let conn = &mut self.connections[key];
        if !conn.closing && conn.has_sent_command() {
            conn.closing = true;
            return self.read_later(key);
        }
        self.discard_unread_input(key);
        self.remove(key);
    }

    /// Keys of the connections that match a predicate.
    pub(super) fn keys_where(&self, predicate: impl Fn(&ClientConnection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter();
        let matching = connections.filter(|(_, conn)| predicate(conn));
        matching.map(|(key, _)| key).collect()
    }

    /// Closes a connection whose command has timed out, since it holds a file descriptor and memory. A partial command is
    /// answered with an error first.
    fn close_late_connection(&mut self, key: usize, now: Micros) {
        self.read(key, now, true); // the rest of the command may have arrived in the meantime
        let conn = self.connections.get_mut(key);
        let Some(conn) = conn.filter(|conn| is_command_late(conn, now)) else {
            return;
        };
        if conn.unsaved.rejected_bytes > 0 {
            conn.closing = true; // the request with this body is answered
        } else if conn.buf.is_empty() {
            return self.remove(key);
        } else {
            conn.abort_command("the rest of a command did not come in time");
        }
        self.write_later(key);
    }

    // ---- Graceful shutdown ----

    /// Prepares all connections for the exit of the process.
    pub fn close_all(&mut self, now: Micros) {
        for key in self.keys_where(|conn| conn.may_be_receiving(now)) {
            let conn = &mut self.connections[key];
            let _ = conn.stream.shutdown(Shutdown::Write);
            self.discard_unread_input(key);
        }
    }

    /// Starts the graceful shutdown: connections are closed as soon as they are idle. Unless `accepting`, the listener is closed
    /// and connections that have not sent anything yet are closed as well.
    pub fn drain(&mut self, now: Micros, accepting: bool) {
        self.draining = true;
        if !accepting {
            self.listener = None;
        }
        for key in self.keys_where(|conn| conn.is_idle() && (conn.has_sent_command() || !accepting))
        {
            self.half_close_if_idle(key, now);
        }
    }
}

/// Whether the first command of a connection, or the rest of a partial command, has timed out.
fn is_command_late(conn: &ClientConnection, now: Micros) -> bool {
    let body_late = conn.granted > 0 && now > conn.granted_at + BODY_TIMEOUT;
    if now <= conn.command_since + COMMAND_TIMEOUT && !body_late {
        return false;
    }
    if conn.closing || conn.surplus || conn.stalled {
        return false;
    }
    if conn.unsaved.rejected_bytes > 0 {
        return true;
    }
    if conn.buf.is_empty() {
        !conn.has_sent_command()
    } else {
        !conn.must_pause_reading()
    }
}
