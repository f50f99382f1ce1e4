//! An answer whose value is too long to be kept whole: its bytes pass on as they come, and the last of them only once all that
//! belongs to the answer has come and is sound. Bytes in, bytes out: the same whatever pieces they come in.

use crate::resp::{self, Element, Malformed, MOST_LONG};
use serde::{Deserialize, Serialize};

/// The most bytes that may come behind the value: the figures on use and the load report.
const MOST_REST: usize = 4 * 1024;
/// The end of a bulk string.
const END: &[u8] = b"\r\n";
/// What an answer holds: the value, the figures, the report.
const ELEMENTS: usize = 3;

/// Where such an answer stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Long {
    /// Bytes of the value, with its head and without its end, that are still to pass.
    left: usize,
    /// What came behind them.
    rest: Vec<u8>,
}

/// An answer that has come whole.
#[derive(Debug, PartialEq, Eq)]
pub struct Whole {
    /// The text of its last element, where that is a string.
    pub report: Option<Vec<u8>>,
    /// Nothing came behind it.
    pub alone: bool,
}

impl Long {
    /// Begins with what has come so far of an answer; `head` is how many bytes of that stand before the value. None if it is
    /// no answer of this kind, or its head is not there yet.
    pub fn begin(buf: &[u8]) -> Option<(Long, usize)> {
        if buf.first() != Some(&b'*') {
            return None;
        }
        let (count, at) = resp::head(buf, 0, ELEMENTS).ok()??;
        if count != Some(ELEMENTS) || buf.get(at) != Some(&b'$') {
            return None;
        }
        let (length, start) = resp::head(buf, at, MOST_LONG).ok()??;
        let length = length.filter(|n| *n > resp::MOST_VALUE)?;
        Some((
            Long {
                left: start - at + length,
                rest: Vec::new(),
            },
            at,
        ))
    }

    /// Bytes of the value, with its head, that are still to pass.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Whether the answer is whole with what has come and was not taken in yet.
    ///
    /// # Errors
    ///
    /// Where it is no such answer.
    pub fn whole(&self, buf: &[u8]) -> Result<bool, Malformed> {
        let Some(behind) = buf.get(self.left..) else {
            return Ok(false);
        };
        let mut rest = Long {
            left: 0,
            rest: self.rest.clone(),
        };
        rest.feed(behind, &mut Vec::new())
            .map(|whole| whole.is_some())
    }

    /// Takes in what has come; what may pass on is appended to `out`.
    ///
    /// # Errors
    ///
    /// Where it is no such answer: its value must not seem whole.
    pub fn feed(&mut self, mut buf: &[u8], out: &mut Vec<u8>) -> Result<Option<Whole>, Malformed> {
        let now = self.left.min(buf.len());
        out.extend_from_slice(&buf[..now]);
        (self.left, buf) = (self.left - now, &buf[now..]);
        if buf.is_empty() {
            return Ok(None);
        }
        if self.rest.len() + buf.len() > MOST_REST {
            return Err(Malformed("too much stands behind a value"));
        }
        self.rest.extend_from_slice(buf);
        let known = self.rest.len().min(END.len());
        if self.rest[..known] != END[..known] {
            return Err(Malformed("a bulk string does not end with CR LF"));
        }
        let (mut at, mut last) = (END.len(), None);
        for _ in 1..ELEMENTS {
            if self.rest.len() <= at {
                return Ok(None);
            }
            let Some(element) = resp::element(&self.rest, at, MOST_REST)? else {
                return Ok(None);
            };
            at = element.whole.end;
            last = Some(element);
        }
        out.extend_from_slice(END);
        let text = |e: Element| self.rest[e.text].to_vec();
        let report = last.filter(|e| e.kind == resp::Kind::Bulk).map(text);
        Ok(Some(Whole {
            report,
            alone: at == self.rest.len(),
        }))
    }
}

#[cfg(test)]
mod tests;
