//! Interpretation of answers from backends.

use super::activity::Activity;
use wrenfork_config::settings::note_field;
use wrenfork_decision::{LoadReport, Outcome};
use wrenfork_wire::resp::{Element, Kind, Reply};

/// First word of an error by which a backend rejects a request without starting it.
const BUSY: &[u8] = b"BUSY";

/// An interpreted answer of a backend.
pub(super) struct Response {
    pub(super) outcome: Outcome,
    /// The value in its RESP encoding as received; empty unless the outcome of a request is [`Outcome::Ok`].
    pub(super) value: Vec<u8>,
    pub(super) report: Option<LoadReport>,
}

/// Interprets an answer to an attempt or health check. Returns none if the answer is not valid for that activity.
pub(super) fn interpret(buf: &[u8], reply: &Reply, activity: Activity) -> Option<Response> {
    match (reply, activity) {
        (Reply::Array(list), Activity::Attempt(..)) => interpret_served(buf, list),
        (Reply::Single(element), _) if element.kind == Kind::Error => {
            Some(interpret_error(&buf[element.text.clone()]))
        }
        (Reply::Single(element), Activity::HealthCheck) if element.kind == Kind::Bulk => {
            Some(Response {
                outcome: Outcome::Ok,
                value: Vec::new(),
                report: parse_report(&buf[element.text.clone()]),
            })
        }
        _ => None,
    }
}

/// Interprets the answer to a served request: an array of the value, usage figures, and a load report.
fn interpret_served(buf: &[u8], list: &[Element]) -> Option<Response> {
    let [value, _, load] = list else { return None };
    if value.kind != Kind::Bulk {
        return None;
    }
    let has_report = load.kind == Kind::Bulk;
    Some(Response {
        outcome: Outcome::Ok,
        value: buf[value.span.clone()].to_vec(),
        report: has_report
            .then(|| parse_report(&buf[load.text.clone()]))
            .flatten(),
    })
}

/// Interprets an error answer. Its last word may be a load report.
fn interpret_error(text: &[u8]) -> Response {
    let is_space = |byte: &u8| *byte == b' ';
    let outcome = if text.split(is_space).next() == Some(BUSY) {
        Outcome::Rejected
    } else {
        Outcome::Error
    };
    Response {
        outcome,
        value: Vec::new(),
        report: text.rsplit(is_space).next().and_then(parse_report),
    }
}

/// Parses a load report such as `inflight=7,util=0.61`. Unknown fields and invalid values are skipped; returns none if no field
/// is left.
pub(super) fn parse_report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let fields = std::str::from_utf8(text).ok()?.split(',');
    for (name, value) in fields.filter_map(|field| field.split_once('=')) {
        let value = value.parse::<f64>().ok();
        let value = value.filter(|value| value.is_finite() && *value >= 0.0);
        note_field(&mut report, name, value);
    }
    (report != LoadReport::default()).then_some(report)
}
