//! Encodes the reply to a batch: a record for each action, and a tail with messages and texts.

use super::bytes::BACKEND_BYTES;
use wrenfork_decision::{Action, BackendId, GatewayId, Micros};

/// Size of the header of a reply, in bytes.
pub(super) const REPLY_HEADER_BYTES: usize = 12;
/// Size of a record of a reply, in bytes.
pub(super) const ACTION_BYTES: usize = 32;
/// Receiver number that stands for all peers.
const ALL_PEERS: u16 = u16::MAX;

/// Codes of the record types.
mod code {
    pub(super) const SEND: u8 = 10;
    pub(super) const REJECT: u8 = 20;
    pub(super) const FAIL: u8 = 30;
    pub(super) const CANCEL: u8 = 40;
    pub(super) const SET_TIMER: u8 = 50;
    pub(super) const CHECK_HEALTH: u8 = 60;
    pub(super) const CLOSE_IDLE: u8 = 70;
    pub(super) const SEND_TO_PEER: u8 = 80;
    pub(super) const LOG: u8 = 90;
    pub(super) const WATCH: u8 = 110;
    pub(super) const FETCH: u8 = 120;
    pub(super) const ADD_TO_COUNTER: u8 = 130;
}

/// A record under construction.
struct ActionRecord([u8; ACTION_BYTES]);

impl ActionRecord {
    fn new(code: u8, instance: u16) -> ActionRecord {
        let mut record = ActionRecord([0; ACTION_BYTES]);
        record.0[0] = code;
        record.put(1, &instance.to_le_bytes());
        record
    }

    fn put(&mut self, at: usize, bytes: &[u8]) {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
    }

    fn put_id(&mut self, id: u64) {
        self.put(3, &id.to_le_bytes());
    }

    fn put_backend(&mut self, at: usize, backend: BackendId) {
        self.put(at, &backend.0.to_le_bytes()[..BACKEND_BYTES]);
    }

    /// Writes a duration in microseconds as four bytes; longer ones are capped.
    fn put_duration(&mut self, at: usize, duration: Micros) {
        let duration = u32::try_from(duration).unwrap_or(u32::MAX);
        self.put(at, &duration.to_le_bytes());
    }
}

/// A reply under construction.
pub struct Reply {
    number: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(number: u32) -> Self {
        Reply {
            number,
            records: Vec::new(),
            tail: Vec::new(),
        }
    }

    /// Adds a record for each action of an instance.
    pub fn push(&mut self, instance: u16, actions: &[Action]) {
        for action in actions {
            let record = self.encode(instance, action);
            self.records.extend_from_slice(&record.0);
        }
    }

    fn encode(&mut self, instance: u16, action: &Action) -> ActionRecord {
        let mut record = ActionRecord::new(code_of(action), instance);
        match action {
            Action::Send {
                id,
                backend,
                expires_at,
                ..
            } => {
                record.put_id(id.0);
                record.put(11, &expires_at.to_le_bytes());
                record.put_backend(19, *backend);
            }
            Action::Reject { id, retry_after } => {
                record.put_id(id.0);
                record.put_duration(11, *retry_after);
            }
            Action::Fail(id) => record.put_id(id.0),
            Action::Cancel { id, attempt } => {
                record.put_id(id.0);
                record.put(11, &attempt.to_le_bytes());
            }
            Action::SetTimer { delay, token } => {
                record.put_duration(3, *delay);
                record.put(7, &token.to_le_bytes());
            }
            Action::CheckHealth(backend) | Action::CloseIdleConnections(backend) => {
                record.put_backend(3, *backend);
            }
            Action::SendToPeer { to, bytes } => self.put_message(&mut record, *to, bytes),
            Action::Log(event) => self.put_tail(&mut record, 3, event.to_string().as_bytes()),
            Action::WatchEndpoints(on) => record.put(3, &[u8::from(*on)]),
            Action::FetchEndpoints => {}
            Action::AddToCounter {
                counter,
                delta,
                lifetime,
            } => {
                record.put_duration(3, *lifetime);
                record.put(7, &(*delta as f32).to_le_bytes());
                record.put(11, &counter.to_le_bytes());
            }
        }
        record
    }

    fn put_message(&mut self, record: &mut ActionRecord, to: Option<GatewayId>, bytes: &[u8]) {
        let to = to.map_or(ALL_PEERS, |peer| peer.0);
        record.put(3, &to.to_le_bytes());
        self.put_tail(record, 5, bytes);
    }

    /// Appends bytes to the tail and writes their offset and length into the record.
    fn put_tail(&mut self, record: &mut ActionRecord, at: usize, bytes: &[u8]) {
        record.put(at, &(self.tail.len() as u32).to_le_bytes());
        record.put(at + 4, &(bytes.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(bytes);
    }

    /// Returns the complete frame.
    pub fn finish(self) -> Vec<u8> {
        let size = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let count = self.records.len() / ACTION_BYTES;
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(count as u32).to_le_bytes());
        frame.extend_from_slice(&(size as u32).to_le_bytes());
        frame.extend_from_slice(&self.number.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

fn code_of(action: &Action) -> u8 {
    match action {
        Action::Send { .. } => code::SEND,
        Action::Reject { .. } => code::REJECT,
        Action::Fail(_) => code::FAIL,
        Action::Cancel { .. } => code::CANCEL,
        Action::SetTimer { .. } => code::SET_TIMER,
        Action::CheckHealth(_) => code::CHECK_HEALTH,
        Action::CloseIdleConnections(_) => code::CLOSE_IDLE,
        Action::SendToPeer { .. } => code::SEND_TO_PEER,
        Action::Log(_) => code::LOG,
        Action::WatchEndpoints(_) => code::WATCH,
        Action::FetchEndpoints => code::FETCH,
        Action::AddToCounter { .. } => code::ADD_TO_COUNTER,
    }
}
