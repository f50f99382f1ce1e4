//! A connection to a backend.

use super::activity::{Activity, ConnectionHandle};
use crate::stream::Stream;
use serde::{Deserialize, Serialize};
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::{Address, ConnectionRace};
use wrenfork_wire::call::Body;
use wrenfork_wire::long::LongAnswer;

/// A connection; without its stream while it passes from one process to the next. The order of its fields is part of a handover's
/// layout.
#[derive(Serialize, Deserialize)]
pub struct Connection<S = Stream> {
    #[serde(skip)]
    pub(super) stream: S,
    pub(super) serial: u64,
    pub(super) backend: BackendId,
    pub(super) address: Address,
    /// Whether it is established.
    pub(super) established: bool,
    /// Where the backend has several addresses, until one of them is connected. The next process has the first one alone.
    #[serde(skip)]
    pub(super) race: Option<Box<RaceState>>,
    /// What it is used for; none while it is idle.
    pub(super) activity: Option<Activity>,
    /// When its activity began, or when it fell idle.
    pub(super) since: Micros,
    /// How long it was idle before; none on its first use.
    pub(super) idle_before: Option<Micros>,
    /// The latest moment at which the last byte of its command may be written. It does not pass to the next process: what was not
    /// written by then begins anew.
    #[serde(skip)]
    pub(super) write_deadline: Micros,
    /// When the attempt is given up, which its command tells.
    #[serde(skip)]
    pub(super) deadline: Micros,
    /// When its answer began to come.
    pub(super) answer_since: Micros,
    /// Its command.
    pub(super) out: Vec<u8>,
    /// A long body that is written behind that.
    pub(super) body: Option<Body>,
    pub(super) written: usize,
    /// What has come of its answer.
    pub(super) buf: Vec<u8>,
    /// Its answer is too long to be held and is streamed.
    pub(super) long: Option<LongAnswer>,
    /// It is not read: the client has to take first what has come.
    pub(super) paused: bool,
}

/// A race of connects, held by the connection that has the attempt.
pub(super) struct RaceState {
    pub(super) race: ConnectionRace,
    /// The connections that are opened beside this one.
    pub(super) candidates: Vec<ConnectionHandle>,
    /// This one's own connect has failed.
    pub(super) failed: bool,
}

impl<S> Connection<S> {
    /// One to an address, which is being connected.
    pub(super) fn new(
        stream: S,
        serial: u64,
        backend: BackendId,
        address: Address,
        now: Micros,
    ) -> Connection<S> {
        Connection {
            stream,
            serial,
            backend,
            address,
            established: false,
            race: None,
            activity: None,
            since: now,
            idle_before: None,
            write_deadline: 0,
            deadline: 0,
            answer_since: 0,
            out: Vec::new(),
            body: None,
            written: 0,
            buf: Vec::new(),
            long: None,
            paused: false,
        }
    }

    /// Whether the backend may have begun: the command's last byte is written.
    pub(super) fn is_sent(&self) -> bool {
        self.written == self.out.len() + self.body.as_ref().map_or(0, |body| body.len())
    }

    /// What the end of the connection means for what it is used for.
    pub(super) fn outcome_if_broken(&self) -> Outcome {
        if self.is_sent() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Whether it carries an attempt that has not begun at the backend.
    pub(super) fn is_unsent_attempt(&self) -> bool {
        self.activity.is_some_and(Activity::is_attempt) && !self.is_sent()
    }
}
