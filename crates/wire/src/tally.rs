//! The protocol of the count service: `TALLY NAME AMOUNT LIFETIME` in RESP2, and its answers.

use crate::resp::{self, Kind, Malformed, Reply};

#[cfg(test)]
mod tests;

/// The largest amount of a call.
pub const MAX_AMOUNT: f64 = 1e9;
/// The longest lifetime of a number, in milliseconds.
const MAX_LIFETIME_MS: u64 = 60_000;
/// Amounts are rounded to this fraction: finer than the seven digits of a total that is worth a call.
const AMOUNT_SCALE: f64 = 1e6;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The amount was added; the total behind it.
    Total(f64),
    /// Rejected: nothing was added.
    Busy,
    /// No such call, says the service: nothing was added.
    Error,
}

/// Appends a call that adds `amount` to the number `name`, which exists for `lifetime` microseconds if it is new; false
/// where the service takes no such amount, and nothing is appended.
pub fn put_call(out: &mut Vec<u8>, name: u64, amount: f64, lifetime: u64) -> bool {
    if !amount.is_finite() || amount.abs() > MAX_AMOUNT {
        return false;
    }
    // No sign before a 0.
    let amount = (amount * AMOUNT_SCALE).round() / AMOUNT_SCALE + 0.0;
    let lifetime_ms = lifetime.div_ceil(MICROS_PER_MILLISECOND);
    let lifetime_ms = lifetime_ms.clamp(1, MAX_LIFETIME_MS);
    resp::put_array(out, 4);
    resp::put_bulk(out, &[b"TALLY"]);
    resp::put_bulk(out, &[format!("{name:016x}").as_bytes()]);
    resp::put_bulk(out, &[format!("{amount}").as_bytes()]);
    resp::put_bulk(out, &[format!("{lifetime_ms}").as_bytes()]);
    true
}

/// Reads the first answer in `buf`, and how long it is; none while it has not come to its end.
///
/// # Errors
///
/// What is no answer of a count service: a total that is no finite number, an array, a status.
pub fn answer(buf: &[u8]) -> Result<Option<(Answer, usize)>, Malformed> {
    let (element, end) = match resp::reply(buf)? {
        None => return Ok(None),
        Some((Reply::One(element), end)) => (element, end),
        Some(_) => return Err(Malformed("a count's answer is an array")),
    };
    let text = &buf[element.text.clone()];
    let answer = match element.kind {
        Kind::Error if text.split(|byte| *byte == b' ').next() == Some(b"BUSY") => Answer::Busy,
        Kind::Error => Answer::Error,
        Kind::Bulk => Answer::Total(parse_total(text)?),
        _ => {
            return Err(Malformed(
                "a count's answer is neither a total nor an error",
            ))
        }
    };
    Ok(Some((answer, end)))
}

fn parse_total(text: &[u8]) -> Result<f64, Malformed> {
    let text = std::str::from_utf8(text).ok();
    let total = text.and_then(|text| text.parse::<f64>().ok());
    total
        .filter(|total| total.is_finite())
        .ok_or(Malformed("a total is no number"))
}
