//! Writing commands to backends.

use super::activity::{Activity, ConnectionHandle};
use super::connection::Connection;
use super::Backends;
use crate::stream::is_not_ready;
use std::io::{self, ErrorKind, Write};
use wrenfork_decision::{Micros, Outcome, RequestId};

/// An attempt whose connection was established after it began: its command is written anew, since it tells how long is left.
#[derive(Clone, Copy, Debug)]
pub struct EstablishedAttempt {
    /// Its connection.
    pub connection: ConnectionHandle,
    /// Its request.
    pub request: RequestId,
    /// When it is given up.
    pub deadline: Micros,
}

/// Writes what is left of a connection's command.
fn write_rest(c: &mut Connection) -> io::Result<usize> {
    let rest = match (&c.body, c.written.checked_sub(c.out.len())) {
        (Some(body), Some(of_body)) => &body.bytes()[of_body..],
        _ => &c.out[c.written..],
    };
    c.stream.write(rest)
}

impl Backends {
    /// Writes to a connection that has just been established.
    pub(super) fn write_established(&mut self, key: usize, now: Micros) {
        let activity = self.connections[key].activity;
        if activity.is_some_and(Activity::is_attempt) {
            self.established.push(self.handle(key));
        } else {
            self.write(key, now);
        }
    }

    /// An attempt whose connection was established after it began, for [`Backends::write_command`].
    pub fn next_established(&mut self) -> Option<EstablishedAttempt> {
        while let Some(connection) = self.established.pop() {
            let Some(c) = self.get(connection) else {
                continue;
            };
            if let Some(Activity::Attempt(request, _)) = c.activity {
                return Some(EstablishedAttempt {
                    connection,
                    request,
                    deadline: c.deadline,
                });
            }
        }
        None
    }

    /// Writes an attempt's command as `write_command` has it by now.
    pub fn write_command(
        &mut self,
        connection: ConnectionHandle,
        now: Micros,
        write_command: impl FnOnce(&mut Vec<u8>),
    ) {
        let c = &mut self.connections[connection.key];
        if c.written == 0 {
            c.out.clear();
            write_command(&mut c.out);
        }
        self.write(connection.key, now);
    }

    pub(super) fn write(&mut self, key: usize, now: Micros) {
        let c = &mut self.connections[key];
        while !c.is_sent() {
            if now > c.write_deadline {
                return self.end_unsent(key);
            }
            match write_rest(c) {
                Ok(n) => {
                    c.written += n;
                    c.established = true;
                    let is_attempt = c.activity.is_some_and(Activity::is_attempt);
                    self.relayed += u64::from(is_attempt && c.is_sent());
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Not established yet, or no room: the socket will show as writable.
                Err(e) if is_not_ready(&e) => return,
                Err(_) => return self.write_failed(key),
            }
        }
    }

    /// A connection has broken. It may have said why before: rejected with too many connections, say.
    fn write_failed(&mut self, key: usize) {
        let c = &self.connections[key];
        let (serial, since) = (c.serial, c.since);
        if self.has_race_left(key, since) {
            return;
        }
        self.read(key, since, true);
        let is_same = |c: &Connection| c.serial == serial;
        if self.connections.get(key).is_some_and(is_same) {
            self.end(key, Outcome::ConnectFailed, since);
            self.remove(key);
        }
    }
}
