//! Decodes the records of a batch into events of the decision module.

use super::bytes::{backend_at, f32_at, u16_at, u32_at, u64_at};
use super::error::{FieldError, FrameError};
use std::collections::BTreeMap;
use wrenfork_config::settings::note_field;
use wrenfork_decision::{
    CustomerId, Endpoint, EndpointListKind, EndpointState, Event, GatewayId, LoadReport, Outcome,
    Request, RequestId,
};

/// Size of a record, in bytes.
pub(super) const RECORD_BYTES: usize = 48;
/// Size of an entry of an endpoint list in the tail, in bytes.
const ENDPOINT_BYTES: usize = 24;
/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;
/// Metered usage is sent in units of 1/`METER_PARTS`, plus one; 0 means no reading.
const METER_PARTS: f64 = 100.0;

/// Codes of the record types.
mod code {
    pub(super) const REQUEST: u8 = 10;
    pub(super) const ATTEMPT_COMPLETED: u8 = 20;
    pub(super) const HEALTH_CHECKED: u8 = 30;
    pub(super) const COUNTER_UPDATED: u8 = 40;
    pub(super) const START: u8 = 50;
    pub(super) const ENDPOINTS: u8 = 60;
    pub(super) const TIMER: u8 = 70;
    pub(super) const PEER_MESSAGE: u8 = 80;
    pub(super) const CLIENT_DISCONNECTED: u8 = 90;
    pub(super) const FIRST_BYTE: u8 = 100;
    pub(super) const STOP: u8 = 110;
}

/// A record of a batch.
pub struct Record<'a> {
    batch: u32,
    index: usize,
    body: &'a [u8],
    tail: &'a [u8],
}

/// A decoded record.
pub enum Decoded<'a> {
    /// Start an instance.
    Start {
        /// Number of the instance in the protocol.
        instance: u16,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings as text, one per line.
        conf: &'a str,
    },
    /// The instance was killed and is removed.
    Stop {
        /// Number of the instance in the protocol.
        instance: u16,
    },
    /// An event for a running instance.
    Event {
        /// Number of the instance in the protocol.
        instance: u16,
        /// The event to pass to the instance.
        event: Event,
    },
}

impl<'a> Record<'a> {
    pub(super) fn new(batch: u32, index: usize, body: &'a [u8], tail: &'a [u8]) -> Record<'a> {
        Record {
            batch,
            index,
            body,
            tail,
        }
    }

    /// Builds an error for a field of this record.
    pub fn error(&self, field: &'static str, source: FieldError) -> FrameError {
        FrameError::Field {
            batch: self.batch,
            record: self.index,
            field,
            source,
        }
    }

    /// Decodes the record. Returns `None` if its code is unknown. `report_fields` contains the
    /// names of the values in a load report, by instance.
    ///
    /// # Errors
    ///
    /// If a field has an invalid value.
    pub fn decode(
        &self,
        report_fields: &BTreeMap<u16, Vec<String>>,
    ) -> Result<Option<Decoded<'a>>, FrameError> {
        let instance = u16_at(self.body, 1);
        match self.body[0] {
            code::START => return Ok(Some(self.start(instance)?)),
            code::STOP => return Ok(Some(Decoded::Stop { instance })),
            _ => {}
        }
        let fields = report_fields.get(&instance).map_or(&[][..], Vec::as_slice);
        let event = self.event(fields)?;
        Ok(event.map(|event| Decoded::Event { instance, event }))
    }

    fn start(&self, instance: u16) -> Result<Decoded<'a>, FrameError> {
        let conf = std::str::from_utf8(self.tail_part(11, "conf", 1)?);
        Ok(Decoded::Start {
            instance,
            seed: u64_at(self.body, 3),
            conf: conf.map_err(|error| self.error("conf", error.into()))?,
        })
    }

    fn event(&self, report_fields: &[String]) -> Result<Option<Event>, FrameError> {
        let body = self.body;
        Ok(Some(match body[0] {
            code::ENDPOINTS => self.endpoints()?,
            code::REQUEST => Event::Request(self.request()),
            code::ATTEMPT_COMPLETED => self.attempt_completed(report_fields)?,
            code::HEALTH_CHECKED => Event::HealthChecked {
                backend: backend_at(body, 3),
                outcome: self.outcome(9)?,
                elapsed: u64::from(u32_at(body, 11)),
                report: self.report(15, report_fields),
            },
            code::COUNTER_UPDATED => Event::CounterUpdated {
                counter: u64_at(body, 3),
                outcome: self.outcome(11)?,
                total: f32_at(body, 13),
            },
            code::CLIENT_DISCONNECTED => Event::ClientDisconnected(RequestId(u64_at(body, 3))),
            code::TIMER => Event::Timer(u32_at(body, 3)),
            code::FIRST_BYTE => Event::FirstByte {
                id: RequestId(u64_at(body, 3)),
                attempt: u16_at(body, 11),
            },
            code::PEER_MESSAGE => Event::PeerMessage {
                from: GatewayId(u16_at(body, 3)),
                bytes: self.tail_part(5, "octets", 1)?.to_vec(),
            },
            _ => return Ok(None),
        }))
    }

    fn request(&self) -> Request {
        let body = self.body;
        Request {
            id: RequestId(u64_at(body, 3)),
            class: body[11],
            plan: u16_at(body, 12),
            customer: CustomerId(u64_at(body, 14)),
            deadline: u64_at(body, 22),
            units: f32_at(body, 30),
            gateway_span: f32_at(body, 34),
            first_gateway: f32_at(body, 38),
            ..Request::default()
        }
    }

    fn attempt_completed(&self, report_fields: &[String]) -> Result<Event, FrameError> {
        let body = self.body;
        let metered = Some(u16_at(body, 20)).filter(|metered| *metered > 0);
        let charged = Some(u16_at(body, 28)).filter(|charged| *charged > 0);
        Ok(Event::AttemptCompleted {
            id: RequestId(u64_at(body, 3)),
            elapsed: u64::from(u32_at(body, 11)),
            outcome: self.outcome(15)?,
            complete: body[17] != 0,
            attempt: u16_at(body, 18),
            metered_usage: metered.map(|metered| f64::from(metered - 1) / METER_PARTS),
            backend: backend_at(body, 22),
            charged_units: charged.map(f64::from),
            report: self.report(30, report_fields),
        })
    }

    fn endpoints(&self) -> Result<Event, FrameError> {
        let kind = match self.body[3] {
            0 => EndpointListKind::Delta,
            1 => EndpointListKind::Full,
            2 => EndpointListKind::Cached,
            3 => EndpointListKind::Failed,
            other => return Err(self.error("scope", FieldError::UnknownKind(other))),
        };
        let rows = self.tail_part(12, "rows", ENDPOINT_BYTES)?;
        let rows = rows.chunks_exact(ENDPOINT_BYTES);
        let list: Result<Vec<Endpoint>, FrameError> = rows.map(|row| self.endpoint(row)).collect();
        Ok(Event::EndpointsChanged(kind, list?))
    }

    fn endpoint(&self, row: &[u8]) -> Result<Endpoint, FrameError> {
        let state = match row[11] {
            0 => EndpointState::Draining,
            1 => EndpointState::Ready,
            2 => EndpointState::Removed,
            other => {
                return Err(self.error("rows.availability", FieldError::UnknownState(other)));
            }
        };
        Ok(Endpoint {
            backend: backend_at(row, 0),
            zone: row[6],
            machine_kind: u16_at(row, 7),
            cell: u16_at(row, 9),
            state,
            weight: f32_at(row, 12),
            started_at: u64_at(row, 16),
            ..Endpoint::default()
        })
    }

    fn outcome(&self, at: usize) -> Result<Outcome, FrameError> {
        Ok(match u16_at(self.body, at) {
            200 => Outcome::Ok,
            502 => Outcome::Error,
            429 => Outcome::Rejected,
            408 => Outcome::TimedOut,
            521 => Outcome::ConnectFailed,
            520 => Outcome::Reset,
            444 => Outcome::Cancelled,
            409 => Outcome::NotSent,
            other => return Err(self.error("outcome", FieldError::UnknownCode(other))),
        })
    }

    fn report(&self, at: usize, names: &[String]) -> Option<LoadReport> {
        let count = usize::from(self.body[at]).min(MAX_REPORT_VALUES);
        let mut report = LoadReport::default();
        for (index, name) in names.iter().enumerate().take(count) {
            let value = f32_at(self.body, at + 1 + 4 * index);
            let value = value.is_finite().then_some(value);
            note_field(&mut report, name, value);
        }
        (count > 0).then_some(report)
    }

    /// The part of the tail given by the offset and the entry count at `at` in the record. Each
    /// entry has `entry_bytes` bytes.
    fn tail_part(
        &self,
        at: usize,
        field: &'static str,
        entry_bytes: usize,
    ) -> Result<&'a [u8], FrameError> {
        let offset = u32_at(self.body, at) as usize;
        let count = u32_at(self.body, at + 4) as usize;
        let length = count.checked_mul(entry_bytes);
        let end = length.and_then(|length| length.checked_add(offset));
        let part = end.and_then(|end| self.tail.get(offset..end));
        part.ok_or_else(|| {
            let tail = self.tail.len();
            let error = FieldError::OutsideTail {
                offset,
                count,
                tail,
            };
            self.error(field, error)
        })
    }
}
