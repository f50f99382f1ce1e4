//! The ends of connections: eviction to make room, timeouts, and the graceful shutdown.

use super::connection::{AnswerSlot, ClientConnection};
use super::eviction::{ConnectionId, IdleKind, IdleState, OldestConnection};
use super::reading::LINGER;
use super::{ClientEvent, Clients};
use slab::Slab;
use std::net::Shutdown;
use wrenfork_decision::Micros;

/// A silent connection that began so soon before the latest one is evicted last: what it sends may be a moment behind its begin.
const FRESH: Micros = 10_000;
/// How long a new connection may send nothing, and how long the rest of a command may take to come: a client may take 2 s for
/// a head, and a bad one has to be told within 3 s; it is looked at twice a second.
const COMMAND_TIMEOUT: Micros = 2_300_000;
/// How long a long body may take to come from its grant on: others wait for the memory.
const BODY_TIMEOUT: Micros = 15_000_000;
/// How long answers may lie unread until their client is taken for gone.
const UNREAD_TIMEOUT: Micros = 15_000_000;

/// The state of a connection in the queues for eviction.
fn idle_state(connections: &Slab<ClientConnection>, id: ConnectionId) -> Option<IdleState> {
    let connection = connections.get(id.key);
    connection.filter(|c| c.serial == id.serial)?.idle_state
}

impl Clients {
    /// Notes the state of a connection by now, in the queues for eviction.
    pub(super) fn update_idle_state(&mut self, key: usize) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        let to = c.current_idle_state();
        let from = std::mem::replace(&mut c.idle_state, to);
        if from != to {
            let serial = c.serial;
            let connections = &self.connections;
            self.eviction
                .update(ConnectionId { key, serial }, from, to, |id| {
                    idle_state(connections, id)
                });
        }
    }

    /// Closes a connection that is done with.
    pub(super) fn close_if_done(&mut self, key: usize, now: Micros) {
        let c = &self.connections[key];
        if c.closing && c.answers.is_empty() && c.out.is_empty() && !c.half_closed {
            self.half_close(key, now);
        } else if self.draining && c.is_idle() {
            self.half_close_if_idle(key, now);
        }
    }

    /// Ends the output of a connection and leaves it to its client to close it, for a while. Closed at once, what the client
    /// still sends would reset the connection under the last answer.
    fn half_close(&mut self, key: usize, now: Micros) {
        let c = &mut self.connections[key];
        let _ = c.stream.shutdown(Shutdown::Write);
        c.half_closed = true;
        self.lingering += usize::from(c.linger_until.is_none());
        c.linger_until = Some(now + LINGER);
    }

    /// Closes an idle connection unless a request has come on it that was not read yet.
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

    /// The same where the descriptor is not needed at once: a last answer may still be on its way, and the next request on its
    /// own, so the client is left to close it.
    fn half_close_if_idle(&mut self, key: usize, now: Micros) {
        self.read(key, now, true);
        let Some(c) = self.connections.get_mut(key).filter(|c| c.is_idle()) else {
            return;
        };
        if !c.has_sent() {
            return self.remove(key);
        }
        c.closing = true;
        c.ignored = true;
        c.since = now.max(c.since);
        self.half_close(key, now);
        self.update_idle_state(key);
    }

    // ---- Eviction ----

    /// Evicts, by a half-close, the connection that has been idle behind an answer for longest, if there are more of them than
    /// `max`. One that has sent something by now stays.
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

    /// Whether a connection may be evicted.
    pub fn can_evict(&self) -> bool {
        let kinds = [
            IdleKind::HalfClosed,
            IdleKind::Silent,
            IdleKind::PartialCommand,
            IdleKind::BetweenRequests,
        ];
        kinds.into_iter().any(|kind| self.eviction.count(kind) > 0)
    }

    /// Evicts a connection that no answer is owed to, to make room; false if there is none.
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

    /// The connection that is evicted next, if it has sent nothing more by now.
    fn next_to_evict(&mut self) -> Option<usize> {
        // What the latest send may be a moment behind their begin: these go last.
        let latest = self.accepted_at;
        let silent = self.oldest(IdleKind::Silent);
        let mut next = silent.filter(|oldest| oldest.since + FRESH <= latest);
        for kind in [
            IdleKind::PartialCommand,
            IdleKind::BetweenRequests,
            IdleKind::Silent,
        ] {
            next = next.or_else(|| self.oldest(kind));
        }
        next.map(|oldest| oldest.key)
    }

    /// Evicts a connection unless it has sent what it was waited for.
    fn try_evict(&mut self, key: usize, now: Micros) {
        if self.connections[key].buf.is_empty() {
            return self.close_if_idle(key, now);
        }
        // What it has sent since may be all of its command.
        self.read(key, now, true);
        let state = self.connections.get(key).and_then(|c| c.idle_state);
        if state.is_some_and(|state| state.kind == IdleKind::PartialCommand) {
            self.remove(key);
        }
    }

    /// Forgets a connection; requests that it still waits for have lost their client.
    pub(super) fn remove(&mut self, key: usize) {
        let c = self.connections.remove(key); // dropped, it is closed, and so out of the poll
        self.forget(&c);
    }

    /// Counts a connection no longer.
    pub(super) fn forget<S>(&mut self, c: &ClientConnection<S>) {
        self.granted -= c.granted;
        if let Some(state) = c.idle_state {
            self.eviction.remove(state.kind);
        }
        self.lingering -= usize::from(c.linger_until.is_some());
        self.surplus -= usize::from(c.surplus);
        self.memory_used -= c.counted_memory;
        let unanswered = c.answers.iter().filter_map(|slot| match slot {
            AnswerSlot::Waiting(id) | AnswerSlot::Streaming(id) => Some(*id),
            AnswerSlot::Ready(_) => None,
        });
        self.events
            .extend(unanswered.map(ClientEvent::Disconnected));
    }

    // ---- Timeouts ----

    /// Closes what has timed out.
    pub fn sweep(&mut self, now: Micros) {
        let late = self.keys(|c| is_command_late(c, now));
        let unread = |c: &ClientConnection| !c.out.is_empty() && now > c.since + UNREAD_TIMEOUT;
        for key in self.keys(unread) {
            self.remove(key);
        }
        for key in late {
            self.end_late_command(key, now);
        }
        if self.lingering > 0 {
            let over = |c: &ClientConnection| c.linger_until.is_some_and(|until| until <= now);
            for key in self.keys(over) {
                self.remove(key);
            }
        }
    }

    /// The connections of which something holds.
    fn keys(&self, holds: impl Fn(&ClientConnection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter();
        let found = connections.filter(|(_, c)| holds(c));
        found.map(|(key, _)| key).collect()
    }

    /// Ends a connection that has sent nothing, or a partial command, for too long: it holds a descriptor and memory.
    fn end_late_command(&mut self, key: usize, now: Micros) {
        let Some(c) = self.connections.get_mut(key) else {
            return;
        };
        if c.buf.is_empty() {
            return self.close_if_idle(key, now);
        }
        c.abort_command("the rest of a command did not come in time");
        self.write_later(key);
    }

    // ---- Graceful shutdown ----

    /// Closes connections between requests from now on, also those that have not sent anything yet, and accepts no new ones,
    /// unless some are still `accepting`.
    pub fn drain(&mut self, now: Micros, accepting: bool) {
        self.draining = true;
        if !accepting {
            self.listener = None;
        }
        for key in self.keys(|c| c.is_idle() && (c.has_sent() || !accepting)) {
            self.half_close_if_idle(key, now);
        }
    }
}

/// Whether a first command, or the rest of one, is late.
fn is_command_late(c: &ClientConnection, now: Micros) -> bool {
    let body_late = c.granted > 0 && now > c.granted_at + BODY_TIMEOUT;
    if now <= c.command_since + COMMAND_TIMEOUT && !body_late {
        return false;
    }
    if c.closing || c.surplus || c.stalled {
        return false;
    }
    if c.buf.is_empty() {
        !c.has_sent()
    } else {
        !c.is_full()
    }
}
