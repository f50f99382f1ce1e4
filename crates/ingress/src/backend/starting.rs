//! Starting attempts and health checks.

use super::activity::{Activity, AttemptEnd, ConnectionHandle};
use super::Backends;
use mio::Registry;
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_wire::call::Body;

/// Start time and deadlines of an attempt or health check.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// The current time, not the time of the turn.
    pub now: Micros,
    /// Time by which the command must be written completely.
    pub write_deadline: Micros,
    /// When the attempt or health check is abandoned; the command carries it.
    pub deadline: Micros,
}

/// An attempt or health check that was started.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// The connection that carries it.
    pub connection: ConnectionHandle,
    /// Whether the connection is not established yet.
    pub connecting: bool,
}

impl Backends {
    /// Starts an attempt or health check with the command that `write_command` generates; a long body is returned separately. If
    /// it fails at once, returns none and reports the failure in [`Backends::ended`].
    pub fn start(
        &mut self,
        registry: &Registry,
        backend: BackendId,
        activity: Activity,
        times: StartTimes,
        write_command: impl FnOnce(&mut Vec<u8>) -> Option<Body>,
    ) -> Option<Started> {
        let Some(key) = self.connection_to(registry, backend, times.now) else {
            self.ended.push(AttemptEnd {
                activity,
                backend,
                outcome: Outcome::ConnectFailed,
                started_at: times.now,
                report: None,
                value: Vec::new(),
            });
            return None;
        };
        let conn = &mut self.connections[key];
        conn.activity = Some(activity);
        conn.since = times.now;
        conn.write_deadline = times.write_deadline;
        conn.deadline = times.deadline;
        conn.command.replace(write_command);
        let connection = self.handle(key);
        let conn = &self.connections[key];
        if conn.race.is_none() {
            self.write(key, times.now);
        } else if conn.stream.is_connected() {
            self.mark_established(key);
            self.write(key, times.now);
        }
        let conn = self.connections.get(key)?;
        Some(Started {
            connection,
            connecting: !conn.established,
        })
    }
}
