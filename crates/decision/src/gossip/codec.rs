//! The bytes of messages between gateways: encoding and checked decoding. No decision lives here.

use crate::ids::CustomerId;
use serde::{Deserialize, Serialize};

/// The kinds of bodies.
const USAGE: u8 = 0;
const UPDATES: u8 = 1;
/// The layout's number, in each message: messages of another number are skipped.
pub const VERSION: u8 = 0xA4;
/// Bytes before the samples, and of each part.
const HEADER_BYTES: usize = 11;
const SAMPLE_BYTES: usize = 4;
const USAGE_BYTES: usize = 14;
const UPDATE_BYTES: usize = 12;
/// Bytes of the incarnation before the updates.
const UPDATES_HEADER_BYTES: usize = 4;
/// The most bytes that a message may have.
const MAX_BYTES: usize = 256;
/// Bytes for a body.
const BODY_BYTES: usize = MAX_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES;

/// The most [`Sample`]s that a message carries.
pub const MAX_SAMPLES: usize = 6;
/// The most [`UsageReport`]s that fit in a message.
pub const MAX_REPORTS: usize = BODY_BYTES / USAGE_BYTES;
/// The most [`OwnerUpdate`]s that fit in a message.
pub const MAX_UPDATES: usize = (BODY_BYTES - UPDATES_HEADER_BYTES) / UPDATE_BYTES;
/// The highest plan that a [`UsageReport`] can name.
pub const MAX_PLAN: usize = 63;
/// The highest class that a [`Sample`] can name.
pub const MAX_CLASS: usize = 7;
/// Parts of a unit that messages count in.
const QUARTERS: f64 = 4.0;
/// Bits of a customer's id in a message; a number up to 127 follows.
const CUSTOMER_BITS: u64 = 33;
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
const MAX_NUMBER: u8 = 127;
/// The step of a sample in place of a time.
const FAILED: u8 = 30;
const SILENT: u8 = 31;
const STEP_MASK: u8 = 31;
/// Times have 30 steps of a fifth of an octave, from a 32nd of the latency objective up.
const STEPS_PER_OCTAVE: f64 = 5.0;
const LEAST_OCTAVE: f64 = 5.0;
const LAST_STEP: f64 = 29.0;
/// Bits of a usage report's plan byte.
const ASK: u8 = 2;
const WANTS_CEILING: u8 = 1;

/// A customer's use, as one gateway counts it since its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// Whose it is.
    pub customer: CustomerId,
    /// Its plan.
    pub plan: u8,
    /// Quarter units sent since the gateway's start, wrapped round.
    pub total: u16,
    /// Attempts in flight, 127 at most.
    pub in_flight: u8,
    /// How full the gateway takes the customer's bucket to be, 254 for full; 255 where it was never
    /// told.
    pub level: u8,
    /// The first of its gateways.
    pub first_gateway: u16,
    /// How many gateways its requests come through.
    pub gateway_span: u16,
    /// Asks for an [`OwnerUpdate`] ...
    pub ask: bool,
    /// ... for a request of so many units, in quarters, 63 at most.
    pub units: f64,
    /// Asks for as many ceiling units, too.
    pub wants_ceiling: bool,
}

/// What a quota owner knows of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerUpdate {
    /// Whose it is.
    pub customer: CustomerId,
    /// The receiver's total as last heard: newer use is not in the tokens yet.
    pub heard_total: u16,
    /// Units in the bucket; below nothing while use that is to be rejected counts.
    pub tokens: f64,
    /// Units a second of all but the receiver.
    pub rate: f64,
    /// Attempts in flight of all but the receiver, 127 at most.
    pub in_flight: u8,
    /// Ceiling units handed over, in quarters, 63 at most.
    pub granted: f64,
}

/// How one attempt went, as told to peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The backend, by its [`backend_tag`].
    pub tag: u32,
    /// The class.
    pub class: u8,
    /// How it went; a time is a fraction of the latency objective.
    pub outcome: AttemptOutcome,
}

/// How an attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Answered after this time.
    Answered(f64),
    /// An error, or a connection that broke.
    Failed,
    /// Not reached, or silent for so long that it counts as dead.
    Silent,
}

/// What a message carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Use of customers, reported to their quota owners.
    Usage(Vec<UsageReport>),
    /// An owner's answer, for one incarnation of the receiver.
    Updates(u32, Vec<OwnerUpdate>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation, see [`incarnation`].
    pub incarnation: u32,
    /// Counts the sender's messages to this receiver, wrapped round.
    pub sequence: u16,
    /// What the sender's places in the lists of classes and of plans mean, see
    /// [`Settings::name_digests`](crate::Settings::name_digests).
    pub name_digests: [u8; 2],
    /// How the sender's latest attempts went.
    pub samples: Vec<Sample>,
    /// What it carries.
    pub body: Body,
}

/// An incarnation by its start time in microseconds: the millisecond of the start, wrapped round.
pub fn incarnation(started_at: u64) -> u32 {
    (started_at / 1000) as u32
}

/// A total of units as messages carry it.
pub fn wrapped_units(units: f64) -> u16 {
    ((units * QUARTERS).round() as i64) as u16
}

/// Units between two wrapped totals; negative if the later one is less.
pub fn units_between(from: u16, to: u16) -> f64 {
    f64::from(to.wrapping_sub(from) as i16) / QUARTERS
}

/// Rounds units down to what a grant can carry.
pub fn whole_quarters(units: f64) -> f64 {
    (units.clamp(0.0, f64::from(u8::MAX) / QUARTERS) * QUARTERS).floor() / QUARTERS
}

/// A short name for a backend, 24 bits of a hash of its id.
pub fn backend_tag(id: u64) -> u32 {
    (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32
}

/// A customer's id and a number up to 127, in five bytes.
fn encode_customer(customer: CustomerId, number: u8) -> [u8; 5] {
    let number = u64::from(number.min(MAX_NUMBER));
    let word = (customer.0 & CUSTOMER_MASK) | number << CUSTOMER_BITS;
    let b = word.to_le_bytes();
    [b[0], b[1], b[2], b[3], b[4]]
}

fn decode_customer(e: &[u8]) -> (CustomerId, u8) {
    let word = u64::from_le_bytes([e[0], e[1], e[2], e[3], e[4], 0, 0, 0]);
    let number = (word >> CUSTOMER_BITS) as u8;
    (CustomerId(word & CUSTOMER_MASK), number)
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([bytes[at], bytes[at + 1]])
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let four = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(four.try_into().ok()?))
}

impl Sample {
    fn encode(&self) -> [u8; SAMPLE_BYTES] {
        let step = match self.outcome {
            AttemptOutcome::Answered(time) => {
                let octaves = time.max(1e-9).log2() + LEAST_OCTAVE;
                (octaves * STEPS_PER_OCTAVE).round().clamp(0.0, LAST_STEP) as u8
            }
            AttemptOutcome::Failed => FAILED,
            AttemptOutcome::Silent => SILENT,
        };
        let b = self.tag.to_le_bytes();
        let class = self.class.min(MAX_CLASS as u8);
        [b[0], b[1], b[2], class << 5 | step]
    }

    fn decode(e: &[u8]) -> Sample {
        let outcome = match e[3] & STEP_MASK {
            SILENT => AttemptOutcome::Silent,
            FAILED => AttemptOutcome::Failed,
            step => {
                let octaves = f64::from(step) / STEPS_PER_OCTAVE - LEAST_OCTAVE;
                AttemptOutcome::Answered(octaves.exp2())
            }
        };
        Sample {
            tag: u32::from_le_bytes([e[0], e[1], e[2], 0]),
            class: e[3] >> 5,
            outcome,
        }
    }
}

impl UsageReport {
    fn encode(&self, bytes: &mut Vec<u8>) {
        let flags = (u8::from(self.ask) * ASK) | (u8::from(self.wants_ceiling) * WANTS_CEILING);
        bytes.extend_from_slice(&encode_customer(self.customer, self.in_flight));
        bytes.extend_from_slice(&self.total.to_le_bytes());
        bytes.push(self.level);
        bytes.push(self.plan << 2 | flags);
        bytes.push((self.units * QUARTERS).ceil() as u8);
        bytes.extend_from_slice(&self.first_gateway.to_le_bytes());
        bytes.extend_from_slice(&self.gateway_span.to_le_bytes());
    }

    fn decode(e: &[u8]) -> UsageReport {
        let (customer, in_flight) = decode_customer(e);
        UsageReport {
            customer,
            plan: e[8] >> 2,
            total: u16_at(e, 5),
            in_flight,
            level: e[7],
            first_gateway: u16_at(e, 10),
            gateway_span: u16_at(e, 12),
            ask: e[8] & ASK != 0,
            units: f64::from(e[9]) / QUARTERS,
            wants_ceiling: e[8] & WANTS_CEILING != 0,
        }
    }
}

impl OwnerUpdate {
    fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&encode_customer(self.customer, self.in_flight));
        bytes.extend_from_slice(&self.heard_total.to_le_bytes());
        bytes.extend_from_slice(&((self.tokens * QUARTERS).floor() as i16).to_le_bytes());
        bytes.extend_from_slice(&((self.rate * QUARTERS).round() as u16).to_le_bytes());
        bytes.push((self.granted * QUARTERS) as u8);
    }

    fn decode(e: &[u8]) -> OwnerUpdate {
        let (customer, in_flight) = decode_customer(e);
        OwnerUpdate {
            customer,
            heard_total: u16_at(e, 5),
            tokens: f64::from(u16_at(e, 7) as i16) / QUARTERS,
            rate: f64::from(u16_at(e, 9)) / QUARTERS,
            in_flight,
            granted: f64::from(e[11]) / QUARTERS,
        }
    }
}

impl Message {
    /// The message's bytes. What does not fit is left out.
    pub fn encode(&self) -> Vec<u8> {
        let samples = self.samples.len().min(MAX_SAMPLES);
        let kind = match &self.body {
            Body::Usage(_) => USAGE,
            Body::Updates(..) => UPDATES,
        };
        let rows = match &self.body {
            Body::Usage(reports) => reports.len().min(MAX_REPORTS),
            Body::Updates(_, updates) => updates.len().min(MAX_UPDATES),
        };
        let mut bytes = vec![VERSION, kind | (samples as u8) << 2];
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.push(rows as u8);
        bytes.extend_from_slice(&self.name_digests);
        for sample in self.samples.iter().take(samples) {
            bytes.extend_from_slice(&sample.encode());
        }
        match &self.body {
            Body::Usage(reports) => {
                reports.iter().take(rows).for_each(|r| r.encode(&mut bytes));
            }
            Body::Updates(receiver, updates) => {
                bytes.extend_from_slice(&receiver.to_le_bytes());
                updates.iter().take(rows).for_each(|u| u.encode(&mut bytes));
            }
        }
        bytes
    }

    /// Reads a message; none for anything that [`Message::encode`] cannot have made.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_BYTES || bytes.len() < HEADER_BYTES || bytes[0] != VERSION {
            return None;
        }
        let samples = usize::from(bytes[1] >> 2);
        if samples > MAX_SAMPLES {
            return None;
        }
        let body_at = HEADER_BYTES + samples * SAMPLE_BYTES;
        let samples = bytes.get(HEADER_BYTES..body_at)?;
        Some(Message {
            incarnation: u32_at(bytes, 2)?,
            sequence: u16_at(bytes, 6),
            name_digests: [bytes[9], bytes[10]],
            samples: samples
                .chunks_exact(SAMPLE_BYTES)
                .map(Sample::decode)
                .collect(),
            body: Body::decode(bytes[1] & 3, usize::from(bytes[8]), &bytes[body_at..])?,
        })
    }
}

impl Body {
    /// Reads a body of this kind with so many rows.
    fn decode(kind: u8, rows: usize, bytes: &[u8]) -> Option<Body> {
        let (row_bytes, header_bytes) = match kind {
            USAGE => (USAGE_BYTES, 0),
            UPDATES => (UPDATE_BYTES, UPDATES_HEADER_BYTES),
            _ => return None,
        };
        if bytes.len() != header_bytes + rows * row_bytes {
            return None;
        }
        let entries = bytes[header_bytes..].chunks_exact(row_bytes);
        if kind == USAGE {
            return Some(Body::Usage(entries.map(UsageReport::decode).collect()));
        }
        let receiver = u32_at(bytes, 0)?;
        let updates = entries.map(OwnerUpdate::decode).collect();
        Some(Body::Updates(receiver, updates))
    }
}

#[cfg(test)]
mod tests;
