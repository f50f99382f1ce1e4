//! Answers whose value is too long to be held: its bytes pass on as they come, and the last of them only once all that
//! belongs to the answer has come and is sound. Bytes in, bytes out: the same whatever pieces they come in.

use crate::resp::{self, Element, Malformed, MAX_LONG};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The most bytes that may come behind the value: the figures on use and the load report.
const MAX_REST: usize = 4 * 1024;
/// The end of a bulk string.
const END: &[u8] = b"\r\n";
/// What an answer holds: the value, the figures, the report.
const ELEMENTS: usize = 3;

/// How far such an answer has come. The order of its fields is part of a handover's layout.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LongAnswer {
    /// Bytes of the value, with its head and without its end, that are still to pass on.
    left: usize,
    /// What came behind them.
    rest: Vec<u8>,
}

/// The begin of such an answer.
#[derive(Debug)]
pub struct Begun {
    /// The answer, of which nothing was taken in yet.
    pub answer: LongAnswer,
    /// How many bytes stand before the value: they don't pass on.
    pub head: usize,
}

/// The end of such an answer.
#[derive(Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// The text of its last element, where that is a string.
    pub report: Option<Vec<u8>>,
    /// Nothing came behind it.
    pub nothing_behind: bool,
}

impl LongAnswer {
    /// Begins with what has come so far of an answer. None if it is no answer of this kind, or its head has not come yet.
    pub fn begin(buf: &[u8]) -> Option<Begun> {
        if buf.first() != Some(&b'*') {
            return None;
        }
        let (count, at) = resp::head(buf, 0, ELEMENTS).ok()??;
        if count != Some(ELEMENTS) || buf.get(at) != Some(&b'$') {
            return None;
        }
        let (length, start) = resp::head(buf, at, MAX_LONG).ok()??;
        let length = length.filter(|n| *n > resp::MAX_VALUE)?;
        let answer = LongAnswer {
            left: start - at + length,
            rest: Vec::new(),
        };
        Some(Begun { answer, head: at })
    }

    /// Bytes of the value, with its head, that are still to pass on.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Whether the answer is complete with what has come and was not taken in yet.
    ///
    /// # Errors
    ///
    /// Where it is no such answer.
    pub fn is_complete(&self, buf: &[u8]) -> Result<bool, Malformed> {
        let Some(behind) = buf.get(self.left..) else {
            return Ok(false);
        };
        let mut rest = LongAnswer {
            left: 0,
            rest: self.rest.clone(),
        };
        let end = rest.feed(behind, &mut Vec::new())?;
        Ok(end.is_some())
    }

    /// Takes in what has come; what may pass on is appended to `out`. Gives the end of the answer, once that has come.
    ///
    /// # Errors
    ///
    /// Where it is no such answer: its value must not seem complete.
    pub fn feed(&mut self, buf: &[u8], out: &mut Vec<u8>) -> Result<Option<AnswerEnd>, Malformed> {
        let (value, rest) = buf.split_at(self.left.min(buf.len()));
        out.extend_from_slice(value);
        self.left -= value.len();
        if rest.is_empty() {
            return Ok(None);
        }
        if self.rest.len() + rest.len() > MAX_REST {
            return Err(Malformed("too much stands behind a value"));
        }
        self.rest.extend_from_slice(rest);
        let known = self.rest.len().min(END.len());
        if self.rest[..known] != END[..known] {
            return Err(Malformed("a bulk string does not end with CR LF"));
        }
        let end = self.parse_rest()?;
        if end.is_some() {
            out.extend_from_slice(END);
        }
        Ok(end)
    }

    /// Parses what came behind the value.
    fn parse_rest(&self) -> Result<Option<AnswerEnd>, Malformed> {
        let mut at = END.len();
        let mut last = None;
        for _ in 1..ELEMENTS {
            if self.rest.len() <= at {
                return Ok(None);
            }
            let Some(element) = resp::element(&self.rest, at, MAX_REST)? else {
                return Ok(None);
            };
            at = element.span.end;
            last = Some(element);
        }
        let text = |e: Element| self.rest[e.text].to_vec();
        let report = last.filter(|e| e.kind == resp::Kind::Bulk).map(text);
        Ok(Some(AnswerEnd {
            report,
            nothing_behind: at == self.rest.len(),
        }))
    }
}
