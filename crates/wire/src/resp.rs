//! A strict and bounded RESP2 codec. It looks at what has come so far and says: incomplete, complete or
//! malformed. Lengths are checked as soon as they are announced, so nothing is awaited that would be turned
//! down anyway, and a body is skipped by its length: looking again at a part costs next to nothing.
//!
//! The crate redis-protocol was tried first and does not fit: it takes any two bytes for the end of a bulk
//! string, waits for bodies of whatever length is announced, and overflows the stack on deep nesting.

use std::io::Write;
use std::ops::Range;

#[cfg(test)]
mod tests;

/// The most bytes that a value may have.
pub const MAX_VALUE: usize = 64 * 1024;
/// The most bytes of a value that is not kept beside others of its size: an answer passes on as it comes, a body has the memory
/// it takes granted before it is read.
pub const MAX_LONG: usize = 4 << 20;
/// Which argument of a CALL.POST is its body.
pub const BODY: usize = 4;
/// The most arguments of a command and elements of an answer.
const MAX_ITEMS: usize = 8;
/// The most bytes of all arguments of a command, or elements of an answer, together.
const MAX_TOTAL: usize = MAX_VALUE + 4096;
/// The most bytes of a line: a length, an error or a status.
const MAX_LINE: usize = 1024;
/// What stands behind the text of a bulk string.
const BULK_END: &[u8] = b"\r\n";
/// The most digits of a length.
const MAX_DIGITS: usize = 10;

/// Why bytes are no RESP2 that is accepted here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// What there is, once all of it has come.
type Parsed<T> = Result<Option<T>, Malformed>;

/// What an element of an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// `+`, a status.
    Simple,
    /// `-`, an error.
    Error,
    /// `:`, a whole number.
    Integer,
    /// `$`, a string with its length.
    Bulk,
    /// A string of length -1.
    Null,
}

/// An element of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    /// Its kind.
    pub kind: Kind,
    /// Where its text is.
    pub text: Range<usize>,
    /// Where it is, with its head and end.
    pub span: Range<usize>,
}

/// A backend's answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A value that is no array.
    One(Element),
    /// An array of values that are none.
    Array(Vec<Element>),
}

/// The line that begins at `at`, without its end, and where the next one begins.
fn line(buf: &[u8], at: usize, max: usize) -> Parsed<(Range<usize>, usize)> {
    let seen = &buf[at..buf.len().min(at + max + 2)];
    match seen.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && seen[end - 1] == b'\r' => {
            Ok(Some((at..at + end - 1, at + end + 1)))
        }
        Some(_) => Err(Malformed("a line does not end with CR LF")),
        None if seen.len() == max + 2 => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// A length of at most `max`; none for the -1 of a null.
fn length(text: &[u8], max: usize) -> Result<Option<usize>, Malformed> {
    if text == b"-1" {
        return Ok(None);
    }
    if text.is_empty() || text.len() > MAX_DIGITS || !text.iter().all(u8::is_ascii_digit) {
        return Err(Malformed("a length is no number"));
    }
    let n = text.iter().fold(0usize, |n, d| {
        n.saturating_mul(10).saturating_add(usize::from(d - b'0'))
    });
    if n > max {
        return Err(Malformed("a length is over the limit"));
    }
    Ok(Some(n))
}

/// A length that stands behind its mark at `at`, and where the next thing begins.
pub(crate) fn head(buf: &[u8], at: usize, max: usize) -> Parsed<(Option<usize>, usize)> {
    let Some((digits, next)) = line(buf, at + 1, MAX_DIGITS)? else {
        return Ok(None);
    };
    Ok(Some((length(&buf[digits], max)?, next)))
}

/// The end of a bulk string of `n` bytes that begin at `at`.
fn bulk_end(buf: &[u8], at: usize, n: usize) -> Parsed<usize> {
    let end = buf.get(at + n..).unwrap_or(&[]);
    match end {
        [b'\r', b'\n', ..] => Ok(Some(at + n + 2)),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed("a bulk string does not end with CR LF")),
    }
}

/// Parses a command, an array of bulk strings. Fills in where its arguments are and returns its length. The body of a CALL.POST may
/// be as long as [`MAX_LONG`]; what else there is has [`MAX_VALUE`] bytes at most.
///
/// # Errors
///
/// Where it is malformed, or longer than is accepted.
pub fn command(buf: &[u8], arguments: &mut Vec<Range<usize>>) -> Parsed<usize> {
    parse_command(buf, arguments, &mut None)
}

/// The length of a command that has not come to its end and whose body is longer than [`MAX_VALUE`]; none of others.
pub fn long_command(buf: &[u8], arguments: &mut Vec<Range<usize>>) -> Option<usize> {
    let mut length = None;
    let parsed = parse_command(buf, arguments, &mut length);
    length.filter(|_| parsed == Ok(None))
}

/// Parses a command. `long_length` is set to the length that a command with a long body will have, once that is announced.
fn parse_command(
    buf: &[u8],
    arguments: &mut Vec<Range<usize>>,
    long_length: &mut Option<usize>,
) -> Parsed<usize> {
    arguments.clear();
    match buf.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("a command is no array")),
    }
    let Some((count, mut at)) = head(buf, 0, MAX_ITEMS)? else {
        return Ok(None);
    };
    let Some(count) = count.filter(|n| *n > 0) else {
        return Err(Malformed("a command is empty"));
    };
    let mut left = MAX_TOTAL;
    for _ in 0..count {
        let is_body = is_body_next(buf, arguments, count);
        let max = if is_body {
            MAX_LONG
        } else {
            MAX_VALUE.min(left)
        };
        let Some(end) = parse_argument(buf, at, max, arguments, long_length)? else {
            return Ok(None);
        };
        at = end;
        if let (false, Some(argument)) = (is_body, arguments.last()) {
            left -= argument.len();
        }
    }
    Ok(Some(at))
}

/// Whether the next argument is the body of a CALL.POST.
fn is_body_next(buf: &[u8], arguments: &[Range<usize>], count: usize) -> bool {
    arguments.len() == BODY && count == BODY + 1 && buf[arguments[0].clone()] == *b"CALL.POST"
}

/// Parses the argument of a command that begins at `at`; gives where the next one begins.
fn parse_argument(
    buf: &[u8],
    at: usize,
    max: usize,
    arguments: &mut Vec<Range<usize>>,
    long_length: &mut Option<usize>,
) -> Parsed<usize> {
    match buf.get(at) {
        None => return Ok(None),
        Some(b'$') => {}
        Some(_) => return Err(Malformed("an argument is no bulk string")),
    }
    let Some((length, start)) = head(buf, at, max)? else {
        return Ok(None);
    };
    let Some(length) = length else {
        return Err(Malformed("an argument is null"));
    };
    if length > MAX_VALUE {
        *long_length = Some(start + length + BULK_END.len());
    }
    let Some(end) = bulk_end(buf, start, length)? else {
        return Ok(None);
    };
    arguments.push(start..start + length);
    Ok(Some(end))
}

/// Parses the element of an answer that begins at `at`.
pub(crate) fn element(buf: &[u8], at: usize, max: usize) -> Parsed<Element> {
    let Some(mark) = buf.get(at) else {
        return Ok(None);
    };
    let kind = match mark {
        b'+' => Kind::Simple,
        b'-' => Kind::Error,
        b':' => Kind::Integer,
        b'$' | b'*' => Kind::Bulk,
        _ => return Err(Malformed("an answer begins with no mark of RESP2")),
    };
    if kind != Kind::Bulk {
        let Some((text, end)) = line(buf, at + 1, MAX_LINE)? else {
            return Ok(None);
        };
        return Ok(Some(Element {
            kind,
            text,
            span: at..end,
        }));
    }
    let Some((n, start)) = head(buf, at, max)? else {
        return Ok(None);
    };
    let Some(n) = n else {
        return Ok(Some(Element {
            kind: Kind::Null,
            text: start..start,
            span: at..start,
        }));
    };
    if *mark == b'*' {
        return Err(Malformed("an array stands inside an array"));
    }
    let Some(end) = bulk_end(buf, start, n)? else {
        return Ok(None);
    };
    Ok(Some(Element {
        kind,
        text: start..start + n,
        span: at..end,
    }))
}

/// Parses an answer; gives it with its length.
///
/// # Errors
///
/// Where it is malformed, or longer than is accepted.
pub fn reply(buf: &[u8]) -> Parsed<(Reply, usize)> {
    if buf.first() != Some(&b'*') {
        return Ok(element(buf, 0, MAX_VALUE)?.map(|e| {
            let end = e.span.end;
            (Reply::One(e), end)
        }));
    }
    let Some((count, mut at)) = head(buf, 0, MAX_ITEMS)? else {
        return Ok(None);
    };
    let Some(count) = count else {
        return Ok(Some((
            Reply::One(Element {
                kind: Kind::Null,
                text: at..at,
                span: 0..at,
            }),
            at,
        )));
    };
    let (mut list, mut left) = (Vec::with_capacity(count), MAX_TOTAL);
    for _ in 0..count {
        let Some(e) = element(buf, at, MAX_VALUE.min(left))? else {
            return Ok(None);
        };
        at = e.span.end;
        left = left.saturating_sub(e.text.len());
        list.push(e);
    }
    Ok(Some((Reply::Array(list), at)))
}

/// Appends the head of an array of `n` elements.
pub fn put_array(out: &mut Vec<u8>, n: usize) {
    // Writing to a Vec cannot fail.
    let _ = write!(out, "*{n}\r\n");
}

/// Appends a bulk string given in parts.
pub fn put_bulk(out: &mut Vec<u8>, parts: &[&[u8]]) {
    let _ = write!(out, "${}\r\n", parts.iter().map(|p| p.len()).sum::<usize>());
    parts.iter().for_each(|p| out.extend_from_slice(p));
    out.extend_from_slice(b"\r\n");
}

/// Appends an error line, less what would break it.
pub fn put_error(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(b"-ERR ");
    out.extend(
        text.bytes()
            .map(|b| if b.is_ascii_control() { b' ' } else { b })
            .take(MAX_LINE - 8),
    );
    out.extend_from_slice(b"\r\n");
}
