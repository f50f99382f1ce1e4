//! State of one connection to a backend.

use super::activity::{Activity, ConnectionHandle};
use super::command::OutgoingCommand;
use crate::stream::Stream;
use serde::{Deserialize, Serialize};
use wrenfork_decision::{BackendId, Micros, Outcome};
use wrenfork_happy_eyeballs::{Address, ConnectionRace};
use wrenfork_wire::long::LongAnswer;

/// A connection to a backend. During a handover it is serialized without its stream (`S = ()`). The field order is part of the
/// handover format.
#[derive(Serialize, Deserialize)]
pub struct Connection<S = Stream> {
    #[serde(skip)]
    pub(super) stream: S,
    pub(super) serial: u64,
    pub(super) backend: BackendId,
    pub(super) address: Address,
    /// Whether the connect has completed.
    pub(super) established: bool,
    /// The connect race, if the backend has several addresses and none is connected yet. Not serialized: after a handover, only
    /// this connection's own connect continues.
    #[serde(skip)]
    pub(super) race: Option<Box<RaceState>>,
    /// What the connection is used for; none while it is idle in its pool.
    pub(super) activity: Option<Activity>,
    /// When the activity began, or when the connection became idle.
    pub(super) since: Micros,
    /// How long the connection was idle before its current use; none on its first use.
    pub(super) idle_before: Option<Micros>,
    /// Time by which the command must be written completely. Not serialized: it is 0 after a handover, so that an attempt whose
    /// command was not written by then ends as not sent and may be started again.
    #[serde(skip)]
    pub(super) write_deadline: Micros,
    /// Deadline of the attempt, which its command carries.
    #[serde(skip)]
    pub(super) deadline: Micros,
    /// When the answer last made progress.
    pub(super) answer_since: Micros,
    /// The command of the current activity; empty while the connection is idle.
    pub(super) command: OutgoingCommand,
    /// Received part of the answer.
    pub(super) buf: Vec<u8>,
    /// State of a streamed answer; none for an answer that is buffered as a whole.
    pub(super) long_answer: Option<LongAnswer>,
    /// Reading is paused until the received part of the streamed answer is forwarded to the client.
    pub(super) paused: bool,
    /// Whether memory was granted to buffer the whole streamed answer. Not serialized: a successor grants it again.
    #[serde(skip)]
    pub(super) has_answer_memory: bool,
    /// Bytes that this connection contributes to the memory for answers that are being received.
    #[serde(skip)]
    pub(super) counted_memory: usize,
}

/// A race of connects, held by the connection that carries the attempt.
pub(super) struct RaceState {
    pub(super) race: ConnectionRace,
    /// Connections being opened to other addresses in parallel.
    pub(super) candidates: Vec<ConnectionHandle>,
    /// Whether the connect of the connection that holds the race has failed.
    pub(super) failed: bool,
}

impl<S> Connection<S> {
    /// State of a connection whose connect was just started.
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
            command: OutgoingCommand::default(),
            buf: Vec::new(),
            long_answer: None,
            paused: false,
            has_answer_memory: false,
            counted_memory: 0,
        }
    }

    /// Whether the command is written completely, so that the backend may have started it.
    pub(super) fn is_sent(&self) -> bool {
        self.command.is_written()
    }

    /// Outcome of the attempt or health check if the connection breaks now.
    pub(super) fn outcome_if_broken(&self) -> Outcome {
        if self.is_sent() {
            Outcome::Reset
        } else {
            Outcome::ConnectFailed
        }
    }

    /// Whether the connection has a command that is not written completely. An idle connection has none.
    pub(super) fn has_unsent_command(&self) -> bool {
        self.activity.is_some() && !self.is_sent()
    }

    /// Whether the connection carries an attempt whose command is not written completely.
    pub(super) fn is_unsent_attempt(&self) -> bool {
        self.activity.is_some_and(Activity::is_attempt) && !self.is_sent()
    }
}
