//! What answers of backends mean.

use super::activity::Activity;
use wrenfork_config::settings::note_field;
use wrenfork_decision::{LoadReport, Outcome};
use wrenfork_wire::resp::{Element, Kind, Reply};

/// The first word of an error that says that the backend did not take the request.
const BUSY: &[u8] = b"BUSY";

/// What an answer means.
pub(super) struct Response {
    pub(super) outcome: Outcome,
    /// With [`Outcome::Ok`]: the value's bytes as they came.
    pub(super) value: Vec<u8>,
    pub(super) report: Option<LoadReport>,
}

/// What an answer means for what its connection is used for; none if it is no answer to that.
pub(super) fn interpret(buf: &[u8], reply: &Reply, activity: Activity) -> Option<Response> {
    match (reply, activity) {
        (Reply::Array(list), Activity::Attempt(..)) => interpret_served(buf, list),
        (Reply::Single(e), _) if e.kind == Kind::Error => Some(interpret_error(&buf[e.text.clone()])),
        (Reply::Single(e), Activity::HealthCheck) if e.kind == Kind::Bulk => Some(Response {
            outcome: Outcome::Ok,
            value: Vec::new(),
            report: parse_report(&buf[e.text.clone()]),
        }),
        _ => None,
    }
}

/// The answer to a request: the value, the figures on its use, and a load report.
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

/// An error, whose last word may be a load report.
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

/// Parses a load report such as `inflight=7,util=0.61`; none if nothing in it is one.
pub(super) fn parse_report(text: &[u8]) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    let fields = std::str::from_utf8(text).ok()?.split(',');
    for (name, value) in fields.filter_map(|field| field.split_once('=')) {
        let value = value.parse::<f64>().ok();
        let value = value.filter(|v| v.is_finite() && *v >= 0.0);
        note_field(&mut report, name, value);
    }
    (report != LoadReport::default()).then_some(report)
}
