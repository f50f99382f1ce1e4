//! The start of attempts and health checks.

use super::activity::{Activity, AttemptEnd, ConnectionHandle};
use super::Backends;
use mio::Registry;
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_wire::call::Body;

/// The times of an attempt or a health check.
#[derive(Clone, Copy, Debug)]
pub struct StartTimes {
    /// The true time, not the turn's.
    pub now: Micros,
    /// By when the last byte of the command has to be written.
    pub write_deadline: Micros,
    /// When it is given up, which the command tells.
    pub deadline: Micros,
}

/// An attempt or a health check that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// Its connection.
    pub connection: ConnectionHandle,
    /// Whether that is still to be established.
    pub connecting: bool,
}

impl Backends {
    /// Starts an attempt or a health check with the command that `write_command` writes. What fails at once is in
    /// [`Backends::ended`], and none is given.
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
        let c = &mut self.connections[key];
        c.activity = Some(activity);
        c.since = times.now;
        c.written = 0;
        c.write_deadline = times.write_deadline;
        c.deadline = times.deadline;
        c.out.clear();
        c.body = write_command(&mut c.out);
        let connection = self.handle(key);
        let c = &self.connections[key];
        if c.race.is_none() {
            self.write(key, times.now);
        } else if c.stream.is_connected() {
            self.mark_established(key);
            self.write(key, times.now);
        }
        let c = self.connections.get(key)?;
        Some(Started {
            connection,
            connecting: !c.established,
        })
    }
}
