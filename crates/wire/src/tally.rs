//! The protocol of the count service: the call `TALLY NAME AMOUNT LIFETIME` in RESP2, and its answers.

use crate::resp::{self, Kind, Malformed, Reply};

#[cfg(test)]
mod tests;

/// Largest absolute amount of a call.
pub const MAX_AMOUNT: f64 = 1e9;
/// Maximum lifetime of a count, in milliseconds.
const MAX_LIFETIME_MS: u64 = 60_000;
/// Amounts are rounded to multiples of 1/`AMOUNT_SCALE`. This is finer than the seven digits of any
/// total that is worth a call.
const AMOUNT_SCALE: f64 = 1e6;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// An answer of the count service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The amount was added. Contains the new total.
    Total(f64),
    /// The service answered `BUSY`: it rejected the call and added nothing.
    Busy,
    /// The service answered with any other error: it added nothing.
    Error,
}

/// Appends a call that adds `amount` to the count `name`. If the count is new, it exists for `lifetime` microseconds. Returns false
/// and appends nothing if the amount is not finite or exceeds [`MAX_AMOUNT`].
pub fn put_call(out: &mut Vec<u8>, name: u64, amount: f64, lifetime: u64) -> bool {
    if !amount.is_finite() || amount.abs() > MAX_AMOUNT {
        return false;
    }
    // Adding 0.0 turns -0.0 into 0.0, so that no sign is written.
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

/// Parses the first answer in `buf`; returns it and its length in bytes, or `None` if it is incomplete.
///
/// # Errors
///
/// If the answer is not one of the count service: for example a total that is not a finite number, an array or a status.
pub fn answer(buf: &[u8]) -> Result<Option<(Answer, usize)>, Malformed> {
    let (element, end) = match resp::reply(buf)? {
        None => return Ok(None),
        Some((Reply::Single(element), end)) => (element, end),
        Some(_) => return Err(Malformed("an answer of the count service is an array")),
    };
    let text = &buf[element.text.clone()];
    let answer = match element.kind {
        Kind::Error if text.split(|byte| *byte == b' ').next() == Some(b"BUSY") => Answer::Busy,
        Kind::Error => Answer::Error,
        Kind::Bulk => Answer::Total(parse_total(text)?),
        _ => {
            return Err(Malformed(
                "an answer of the count service is neither a total nor an error",
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
        .ok_or(Malformed("a total is not a finite number"))
}
