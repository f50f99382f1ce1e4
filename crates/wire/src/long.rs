//! Answers whose value is too long to buffer. The bytes of the value are forwarded as they arrive; its final CR LF is forwarded
//! only after the whole answer has arrived and is valid, so a client never mistakes a broken answer for a complete one. The
//! result does not depend on how the network splits the bytes.

use crate::resp::{self, Element, Malformed, MAX_LONG_VALUE};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Maximum size of the elements after the value (metered usage and load report), in bytes.
const MAX_REST_BYTES: usize = 4 * 1024;
/// Terminator of a bulk string.
const CRLF: &[u8] = b"\r\n";
/// Number of elements of an answer: the value, the metered usage and the load report.
const ANSWER_ELEMENTS: usize = 3;

/// Progress of forwarding a long answer. The field order is part of the handover format.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LongAnswer {
    /// Bytes of the value still to be forwarded, including its length line and excluding its final CR LF.
    left: usize,
    /// Bytes received after the value, starting with its final CR LF.
    rest: Vec<u8>,
}

/// The start of a long answer.
#[derive(Debug)]
pub struct LongAnswerStart {
    /// The answer; no bytes were fed to it yet.
    pub answer: LongAnswer,
    /// Number of bytes before the value (the array header). They are not forwarded.
    pub head: usize,
}

/// The end of a long answer.
#[derive(Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// The load report: text of the last element, or `None` if that is not a string.
    pub report: Option<Vec<u8>>,
    /// Whether no further bytes arrived after the answer.
    pub no_trailing_bytes: bool,
}

impl LongAnswer {
    /// Recognizes a long answer by the bytes received so far. Returns `None` if the answer has another form or a short value,
    /// or if the length of the value has not arrived yet.
    pub fn start(buf: &[u8]) -> Option<LongAnswerStart> {
        if buf.first() != Some(&b'*') {
            return None;
        }
        let (count, at) = resp::head(buf, 0, ANSWER_ELEMENTS).ok()??;
        if count != Some(ANSWER_ELEMENTS) || buf.get(at) != Some(&b'$') {
            return None;
        }
        let (length, start) = resp::head(buf, at, MAX_LONG_VALUE).ok()??;
        let length = length.filter(|n| *n > resp::MAX_VALUE)?;
        let answer = LongAnswer {
            left: start - at + length,
            rest: Vec::new(),
        };
        Some(LongAnswerStart { answer, head: at })
    }

    /// Bytes of the value still to be forwarded, including its length line and excluding its final CR LF.
    pub fn left(&self) -> usize {
        self.left
    }

    /// Whether the answer is complete with the bytes in `buf`, which are not fed yet.
    ///
    /// # Errors
    ///
    /// If the answer is malformed.
    pub fn is_complete(&self, buf: &[u8]) -> Result<bool, Malformed> {
        let Some(after_value) = buf.get(self.left..) else {
            return Ok(false);
        };
        let mut rest = LongAnswer {
            left: 0,
            rest: self.rest.clone(),
        };
        let end = rest.feed(after_value, &mut Vec::new())?;
        Ok(end.is_some())
    }

    /// Consumes received bytes and appends those that may be forwarded to `out`. Returns the end of the answer once it has arrived.
    ///
    /// # Errors
    ///
    /// If the answer is malformed. The final CR LF of the value is then not appended, so the client sees an incomplete value.
    pub fn feed(&mut self, buf: &[u8], out: &mut Vec<u8>) -> Result<Option<AnswerEnd>, Malformed> {
        let (value, rest) = buf.split_at(self.left.min(buf.len()));
        out.extend_from_slice(value);
        self.left -= value.len();
        if rest.is_empty() {
            return Ok(None);
        }
        if self.rest.len() + rest.len() > MAX_REST_BYTES {
            return Err(Malformed("too many bytes after the value of a long answer"));
        }
        self.rest.extend_from_slice(rest);
        let prefix = self.rest.len().min(CRLF.len());
        if self.rest[..prefix] != CRLF[..prefix] {
            return Err(Malformed("a bulk string does not end with CR LF"));
        }
        let end = self.parse_rest()?;
        if end.is_some() {
            out.extend_from_slice(CRLF);
        }
        Ok(end)
    }

    /// Parses the elements after the value. Returns `None` if they are incomplete.
    fn parse_rest(&self) -> Result<Option<AnswerEnd>, Malformed> {
        let mut at = CRLF.len();
        let mut last = None;
        for _ in 1..ANSWER_ELEMENTS {
            if self.rest.len() <= at {
                return Ok(None);
            }
            let Some(element) = resp::element(&self.rest, at, MAX_REST_BYTES)? else {
                return Ok(None);
            };
            at = element.span.end;
            last = Some(element);
        }
        let text = |element: Element| self.rest[element.text].to_vec();
        let report = last
            .filter(|element| element.kind == resp::Kind::Bulk)
            .map(text);
        Ok(Some(AnswerEnd {
            report,
            no_trailing_bytes: at == self.rest.len(),
        }))
    }
}
