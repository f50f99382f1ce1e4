//! Encoding and checked decoding of the messages between gateways. No decisions are made here.

use crate::ids::CustomerId;
use serde::{Deserialize, Serialize};

/// Values of the low two bits of byte 1: the kind of the body.
const KIND_USAGE: u8 = 0;
const KIND_UPDATES: u8 = 1;
/// Version of the message layout, the first byte of each message. Messages of another version are
/// ignored.
pub const VERSION: u8 = 0xA4;
/// Bytes of the header, of a sample, of a usage report and of an owner update.
const HEADER_BYTES: usize = 11;
const SAMPLE_BYTES: usize = 4;
const USAGE_BYTES: usize = 14;
const UPDATE_BYTES: usize = 12;
/// Bytes of the receiver's incarnation before the owner updates.
const UPDATES_HEADER_BYTES: usize = 4;
/// Size limit of a message in bytes.
const MAX_BYTES: usize = 256;
/// Bytes left for the body in a message with the maximum number of samples.
const BODY_BYTES: usize = MAX_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES;

/// The most [`Sample`]s that a message carries.
pub const MAX_SAMPLES: usize = 6;
/// The most [`UsageReport`]s that fit in a message.
pub const MAX_REPORTS: usize = BODY_BYTES / USAGE_BYTES;
/// The most [`OwnerUpdate`]s that fit in a message.
pub const MAX_UPDATES: usize = (BODY_BYTES - UPDATES_HEADER_BYTES) / UPDATE_BYTES;
/// Highest plan index that a [`UsageReport`] can carry.
pub const MAX_PLAN: usize = 63;
/// Highest class index that a [`Sample`] can carry.
pub const MAX_CLASS: usize = 7;
/// Messages carry units as a number of quarters.
const QUARTERS_PER_UNIT: f64 = 4.0;
/// Bits of a customer's id in a message; the attempts in flight follow in seven bits.
const CUSTOMER_BITS: u64 = 33;
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
const MAX_IN_FLIGHT: u8 = 127;
/// Values of a sample's low five bits that mean an outcome without a time.
const STEP_FAILED: u8 = 30;
const STEP_SILENT: u8 = 31;
const STEP_MASK: u8 = 31;
/// Times are logarithmic: 30 steps of a fifth of an octave, from a 32nd of the latency objective
/// up.
const STEPS_PER_OCTAVE: f64 = 5.0;
const OCTAVES_BELOW_OBJECTIVE: f64 = 5.0;
const LAST_STEP: f64 = 29.0;
/// Flag bits in the plan byte of a usage report.
const FLAG_ASK: u8 = 2;
const FLAG_WANTS_CEILING: u8 = 1;

/// A customer's use as counted by one gateway since it started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer whose use is reported.
    pub customer: CustomerId,
    /// Index of the customer's plan in the sender's settings, [`MAX_PLAN`] at most.
    pub plan: u8,
    /// Quarter units used since the sender started, modulo 2^16.
    pub total: u16,
    /// Attempts in flight at the sender, 127 at most.
    pub in_flight: u8,
    /// Level of the bucket in the sender's view, 254 for full; 255 if the sender does not know it.
    pub level: u8,
    /// Number of the first gateway that the customer's requests come through.
    pub first_gateway: u16,
    /// Number of gateways that the customer's requests come through.
    pub gateway_span: u16,
    /// Whether the sender asks for an [`OwnerUpdate`].
    pub ask: bool,
    /// Units of the request that the update is wanted for, rounded up to quarters, 63.75 at most.
    pub units: f64,
    /// Whether the sender also asks for a grant of as many ceiling units.
    pub wants_ceiling: bool,
}

/// A quota owner's view of a customer, sent to a gateway that asked for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerUpdate {
    /// The customer that the update is about.
    pub customer: CustomerId,
    /// The last [`UsageReport::total`] that the owner received from the receiver; `tokens` does not
    /// include later use.
    pub acknowledged_total: u16,
    /// Units in the bucket; negative while more has been used than the quota allows.
    pub tokens: f64,
    /// Units per second at all gateways but the receiver.
    pub rate: f64,
    /// Attempts in flight at all gateways but the receiver, 127 at most.
    pub in_flight: u8,
    /// Ceiling units granted to the receiver, in quarters, 63.75 at most.
    pub granted: f64,
}

/// The outcome of one attempt, shared with peers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The backend's [`backend_tag`].
    pub tag: u32,
    /// Index of the request's class in the sender's settings, [`MAX_CLASS`] at most.
    pub class: u8,
    /// The outcome; a time is a fraction of the class's latency objective.
    pub outcome: AttemptOutcome,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// An answer after this time: a fraction of the latency objective in a [`Sample`], microseconds
    /// elsewhere.
    Answered(f64),
    /// An error answer, or a connection that broke during the attempt.
    Failed,
    /// The backend was not reached, or was silent for so long that it counts as dead.
    Silent,
}

/// The body of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Customers' use, reported to their quota owners.
    Usage(Vec<UsageReport>),
    /// The incarnation of the receiver that the updates are for, and an owner's updates.
    Updates(u32, Vec<OwnerUpdate>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation, see [`incarnation`].
    pub incarnation: u32,
    /// Number of the message among those from the sender to this receiver, modulo 2^16.
    pub sequence: u16,
    /// Digests of the class and plan names that the sender's indices refer to, see
    /// [`Settings::name_digests`](crate::Settings::name_digests).
    pub name_digests: [u8; 2],
    /// Outcomes of the sender's latest attempts.
    pub samples: Vec<Sample>,
    /// Usage reports or owner updates.
    pub body: Body,
}

/// The incarnation of a gateway started at `started_at` microseconds: the millisecond of its start,
/// modulo 2^32.
pub fn incarnation(started_at: u64) -> u32 {
    (started_at / 1000) as u32
}

/// A total of units as messages carry it: in quarters, modulo 2^16.
pub fn wrapped_units(units: f64) -> u16 {
    ((units * QUARTERS_PER_UNIT).round() as i64) as u16
}

/// Units between two wrapped totals; negative if the later total is lower.
pub fn units_between(from: u16, to: u16) -> f64 {
    f64::from(to.wrapping_sub(from) as i16) / QUARTERS_PER_UNIT
}

/// Rounds units down to what [`OwnerUpdate::granted`] can carry: whole quarters, 63.75 at most.
pub fn round_down_to_quarters(units: f64) -> f64 {
    (units.clamp(0.0, f64::from(u8::MAX) / QUARTERS_PER_UNIT) * QUARTERS_PER_UNIT).floor()
        / QUARTERS_PER_UNIT
}

/// A short name for a backend: 24 bits of a hash of its id.
pub fn backend_tag(id: u64) -> u32 {
    (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32
}

/// Packs a customer's id and a number of attempts in flight, 127 at most, into five bytes.
fn encode_customer(customer: CustomerId, in_flight: u8) -> [u8; 5] {
    let in_flight = u64::from(in_flight.min(MAX_IN_FLIGHT));
    let word = (customer.0 & CUSTOMER_MASK) | in_flight << CUSTOMER_BITS;
    let packed = word.to_le_bytes();
    [packed[0], packed[1], packed[2], packed[3], packed[4]]
}

fn decode_customer(entry: &[u8]) -> (CustomerId, u8) {
    let word = u64::from_le_bytes([entry[0], entry[1], entry[2], entry[3], entry[4], 0, 0, 0]);
    let in_flight = (word >> CUSTOMER_BITS) as u8;
    (CustomerId(word & CUSTOMER_MASK), in_flight)
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([bytes[at], bytes[at + 1]])
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let field = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

impl Sample {
    fn encode(&self) -> [u8; SAMPLE_BYTES] {
        let step = match self.outcome {
            AttemptOutcome::Answered(time) => {
                let octaves = time.max(1e-9).log2() + OCTAVES_BELOW_OBJECTIVE;
                (octaves * STEPS_PER_OCTAVE).round().clamp(0.0, LAST_STEP) as u8
            }
            AttemptOutcome::Failed => STEP_FAILED,
            AttemptOutcome::Silent => STEP_SILENT,
        };
        let tag = self.tag.to_le_bytes();
        let class = self.class.min(MAX_CLASS as u8);
        [tag[0], tag[1], tag[2], class << 5 | step]
    }

    fn decode(entry: &[u8]) -> Sample {
        let outcome = match entry[3] & STEP_MASK {
            STEP_SILENT => AttemptOutcome::Silent,
            STEP_FAILED => AttemptOutcome::Failed,
            step => {
                let octaves = f64::from(step) / STEPS_PER_OCTAVE - OCTAVES_BELOW_OBJECTIVE;
                AttemptOutcome::Answered(octaves.exp2())
            }
        };
        Sample {
            tag: u32::from_le_bytes([entry[0], entry[1], entry[2], 0]),
            class: entry[3] >> 5,
            outcome,
        }
    }
}

impl UsageReport {
    fn encode(&self, bytes: &mut Vec<u8>) {
        let flags =
            (u8::from(self.ask) * FLAG_ASK) | (u8::from(self.wants_ceiling) * FLAG_WANTS_CEILING);
        bytes.extend_from_slice(&encode_customer(self.customer, self.in_flight));
        bytes.extend_from_slice(&self.total.to_le_bytes());
        bytes.push(self.level);
        bytes.push(self.plan << 2 | flags);
        bytes.push((self.units * QUARTERS_PER_UNIT).ceil() as u8);
        bytes.extend_from_slice(&self.first_gateway.to_le_bytes());
        bytes.extend_from_slice(&self.gateway_span.to_le_bytes());
    }

    fn decode(entry: &[u8]) -> UsageReport {
        let (customer, in_flight) = decode_customer(entry);
        UsageReport {
            customer,
            plan: entry[8] >> 2,
            total: u16_at(entry, 5),
            in_flight,
            level: entry[7],
            first_gateway: u16_at(entry, 10),
            gateway_span: u16_at(entry, 12),
            ask: entry[8] & FLAG_ASK != 0,
            units: f64::from(entry[9]) / QUARTERS_PER_UNIT,
            wants_ceiling: entry[8] & FLAG_WANTS_CEILING != 0,
        }
    }
}

impl OwnerUpdate {
    fn encode(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&encode_customer(self.customer, self.in_flight));
        bytes.extend_from_slice(&self.acknowledged_total.to_le_bytes());
        bytes.extend_from_slice(&((self.tokens * QUARTERS_PER_UNIT).floor() as i16).to_le_bytes());
        bytes.extend_from_slice(&((self.rate * QUARTERS_PER_UNIT).round() as u16).to_le_bytes());
        bytes.push((self.granted * QUARTERS_PER_UNIT) as u8);
    }

    fn decode(entry: &[u8]) -> OwnerUpdate {
        let (customer, in_flight) = decode_customer(entry);
        OwnerUpdate {
            customer,
            acknowledged_total: u16_at(entry, 5),
            tokens: f64::from(u16_at(entry, 7) as i16) / QUARTERS_PER_UNIT,
            rate: f64::from(u16_at(entry, 9)) / QUARTERS_PER_UNIT,
            in_flight,
            granted: f64::from(entry[11]) / QUARTERS_PER_UNIT,
        }
    }
}

impl Message {
    /// Encodes the message. Samples and body entries beyond the maximum numbers are left out.
    pub fn encode(&self) -> Vec<u8> {
        let samples = self.samples.len().min(MAX_SAMPLES);
        let kind = match &self.body {
            Body::Usage(_) => KIND_USAGE,
            Body::Updates(..) => KIND_UPDATES,
        };
        let entry_count = match &self.body {
            Body::Usage(reports) => reports.len().min(MAX_REPORTS),
            Body::Updates(_, updates) => updates.len().min(MAX_UPDATES),
        };
        let mut bytes = vec![VERSION, kind | (samples as u8) << 2];
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.push(entry_count as u8);
        bytes.extend_from_slice(&self.name_digests);
        for sample in self.samples.iter().take(samples) {
            bytes.extend_from_slice(&sample.encode());
        }
        match &self.body {
            Body::Usage(reports) => {
                reports
                    .iter()
                    .take(entry_count)
                    .for_each(|r| r.encode(&mut bytes));
            }
            Body::Updates(receiver, updates) => {
                bytes.extend_from_slice(&receiver.to_le_bytes());
                updates
                    .iter()
                    .take(entry_count)
                    .for_each(|u| u.encode(&mut bytes));
            }
        }
        bytes
    }

    /// Decodes a message; `None` if [`Message::encode`] cannot have produced the bytes.
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
    /// Decodes a body of the given kind with `entry_count` entries; `None` if the length does not
    /// match.
    fn decode(kind: u8, entry_count: usize, bytes: &[u8]) -> Option<Body> {
        let (entry_bytes, header_bytes) = match kind {
            KIND_USAGE => (USAGE_BYTES, 0),
            KIND_UPDATES => (UPDATE_BYTES, UPDATES_HEADER_BYTES),
            _ => return None,
        };
        if bytes.len() != header_bytes + entry_count * entry_bytes {
            return None;
        }
        let entries = bytes[header_bytes..].chunks_exact(entry_bytes);
        if kind == KIND_USAGE {
            return Some(Body::Usage(entries.map(UsageReport::decode).collect()));
        }
        let receiver = u32_at(bytes, 0)?;
        let updates = entries.map(OwnerUpdate::decode).collect();
        Some(Body::Updates(receiver, updates))
    }
}

#[cfg(test)]
mod tests;
