//! Writing commands to backends.

use super::activity::{Activity, ConnectionHandle};
use super::connection::Connection;
use super::Backends;
use crate::stream::is_not_ready;
use std::io::{ErrorKind, Write};
use wrenfork_decision::{Micros, Outcome, RequestId};

/// An attempt whose connection was established after the attempt began. Its command is generated again, because it carries the
/// time left.
#[derive(Clone, Copy, Debug)]
pub struct EstablishedAttempt {
    /// The connection that carries the attempt.
    pub connection: ConnectionHandle,
    /// The request that the attempt is for.
    pub request: RequestId,
    /// When the attempt is abandoned, in microseconds.
    pub deadline: Micros,
}

impl Backends {
    /// Handles a connection that has just been established. An attempt is queued for its command to be generated again; a health
    /// check is written at once.
    pub(super) fn write_established(&mut self, key: usize, now: Micros) {
        let activity = self.connections[key].activity;
        if activity.is_some_and(Activity::is_attempt) {
            self.established.push(self.handle(key));
        } else {
            self.write(key, now);
        }
    }

    /// Takes an attempt whose connection has been established, for [`Backends::write_command`].
    pub fn next_established(&mut self) -> Option<EstablishedAttempt> {
        while let Some(connection) = self.established.pop() {
            let Some(conn) = self.get(connection) else {
                continue;
            };
            if let Some(Activity::Attempt(request, _)) = conn.activity {
                return Some(EstablishedAttempt {
                    connection,
                    request,
                    deadline: conn.deadline,
                });
            }
        }
        None
    }

    /// Generates the command of an attempt again with `write_command`, unless part of it was already sent, and sends it.
    pub fn write_command(
        &mut self,
        connection: ConnectionHandle,
        now: Micros,
        write_command: impl FnOnce(&mut Vec<u8>),
    ) {
        let conn = &mut self.connections[connection.key];
        conn.command.replace_head(write_command);
        self.write(connection.key, now);
    }

    pub(super) fn write(&mut self, key: usize, now: Micros) {
        let conn = &mut self.connections[key];
        while !conn.is_sent() {
            if now > conn.write_deadline {
                return self.end_unsent(key);
            }
            match conn.stream.write(conn.command.rest()) {
                Ok(n) => {
                    conn.command.written += n;
                    conn.established = true;
                    let is_attempt = conn.activity.is_some_and(Activity::is_attempt);
                    self.relayed += u64::from(is_attempt && conn.is_sent());
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Not connected yet or the send buffer is full: a writable event will follow.
                Err(error) if is_not_ready(&error) => return,
                Err(_) => return self.write_failed(key),
            }
        }
    }

    /// Handles a write error. The backend may have sent an answer before it closed the connection, such as a rejection because of
    /// too many connections, so the input is read first.
    fn write_failed(&mut self, key: usize) {
        let conn = &self.connections[key];
        let (serial, since) = (conn.serial, conn.since);
        if self.continue_race_after_failure(key, since) {
            return;
        }
        self.read(key, since, true);
        let is_same = |conn: &Connection| conn.serial == serial;
        if self.connections.get(key).is_some_and(is_same) {
            self.end_without_answer(key, Outcome::ConnectFailed, since);
            self.remove(key);
        }
    }
}
