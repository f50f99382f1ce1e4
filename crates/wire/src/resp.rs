//! A strict RESP2 codec with bounded sizes. Given the bytes received so far, it reports whether they are
//! incomplete, complete or malformed. Lengths are checked as soon as they are announced, so an oversized item
//! is rejected before its bytes arrive. Bodies are skipped by their length, which makes it cheap to parse an
//! incomplete command again.
//!
//! The crate redis-protocol does not fit: it accepts any two bytes as the end of a bulk string, waits for
//! bodies of any announced length, and overflows the stack on deep nesting.

use std::io::Write;
use std::ops::Range;

#[cfg(test)]
mod tests;

/// Maximum size of a value that is buffered whole, in bytes.
pub const MAX_VALUE: usize = 64 * 1024;
/// Maximum size of a long value, in bytes. A long answer is forwarded as it arrives; for a long body, memory is reserved before
/// it is read.
pub const MAX_LONG_VALUE: usize = 4 << 20;
/// Index of the body among the arguments of CALL.POST.
pub const BODY_INDEX: usize = 4;
/// Maximum number of arguments of a command or elements of an answer.
const MAX_ITEMS: usize = 8;
/// Maximum total size of the arguments of a command (without a body) or the elements of an answer, in bytes.
const MAX_TOTAL_BYTES: usize = MAX_VALUE + 4096;
/// Maximum length of an error, status or integer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// Terminator of a bulk string.
const BULK_END: &[u8] = b"\r\n";
/// Maximum number of digits of a length.
const MAX_DIGITS: usize = 10;

/// The bytes are not RESP2, or exceed the size limits. Contains the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Malformed(pub &'static str);

/// The parsed item, or `None` if it has not arrived completely.
type Parsed<T> = Result<Option<T>, Malformed>;

/// The type of an element of an answer.
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
    /// A null: a string or array of length -1.
    Null,
}

/// An element of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    /// Type of the element.
    pub kind: Kind,
    /// Range of the text, without the type byte, length line and CR LF.
    pub text: Range<usize>,
    /// Range of the whole element, including the type byte, length line and CR LF.
    pub span: Range<usize>,
}

/// A backend's answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// A single value, or a null array.
    Single(Element),
    /// An array of single values. Nested arrays are malformed.
    Array(Vec<Element>),
}

/// Finds the line that starts at `at`; returns its range without CR LF and the position after the CR LF.
fn line(buf: &[u8], at: usize, max: usize) -> Parsed<(Range<usize>, usize)> {
    let window = &buf[at..buf.len().min(at + max + 2)];
    match window.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && window[end - 1] == b'\r' => {
            Ok(Some((at..at + end - 1, at + end + 1)))
        }
        Some(_) => Err(Malformed("a line does not end with CR LF")),
        None if window.len() == max + 2 => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// Parses a length of at most `max`. Returns `None` for -1, the length of a null.
fn length(text: &[u8], max: usize) -> Result<Option<usize>, Malformed> {
    if text == b"-1" {
        return Ok(None);
    }
    if text.is_empty() || text.len() > MAX_DIGITS || !text.iter().all(u8::is_ascii_digit) {
        return Err(Malformed("a length is not a number"));
    }
    let length = text.iter().fold(0usize, |length, digit| {
        length
            .saturating_mul(10)
            .saturating_add(usize::from(digit - b'0'))
    });
    if length > max {
        return Err(Malformed("a length is over the limit"));
    }
    Ok(Some(length))
}

/// Parses the length after the type byte at `at`; returns it and the position after its line.
pub(crate) fn head(buf: &[u8], at: usize, max: usize) -> Parsed<(Option<usize>, usize)> {
    let Some((digits, next)) = line(buf, at + 1, MAX_DIGITS)? else {
        return Ok(None);
    };
    Ok(Some((length(&buf[digits], max)?, next)))
}

/// Returns the position after the CR LF of a bulk string whose `length` bytes of text start at `at`.
fn bulk_end(buf: &[u8], at: usize, length: usize) -> Parsed<usize> {
    let end = buf.get(at + length..).unwrap_or(&[]);
    match end {
        [b'\r', b'\n', ..] => Ok(Some(at + length + 2)),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed("a bulk string does not end with CR LF")),
    }
}

/// Parses a command, which is an array of bulk strings. Sets `arguments` to the ranges of its arguments and returns its length in
/// bytes. The body of a CALL.POST may have up to [`MAX_LONG_VALUE`] bytes, any other argument up to [`MAX_VALUE`].
///
/// # Errors
///
/// If the command is malformed or too long.
pub fn command(buf: &[u8], arguments: &mut Vec<Range<usize>>) -> Parsed<usize> {
    parse_command(buf, arguments, &mut None)
}

/// The total length of an incomplete command whose body is longer than [`MAX_VALUE`], or `None` for any other command.
pub fn long_command(buf: &[u8], arguments: &mut Vec<Range<usize>>) -> Option<usize> {
    let mut length = None;
    let parsed = parse_command(buf, arguments, &mut length);
    length.filter(|_| parsed == Ok(None))
}

/// Parses a command. If it announces a long body, `long_length` is set to the total length of the command.
fn parse_command(
    buf: &[u8],
    arguments: &mut Vec<Range<usize>>,
    long_length: &mut Option<usize>,
) -> Parsed<usize> {
    arguments.clear();
    match buf.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("a command is not an array")),
    }
    let Some((count, mut at)) = head(buf, 0, MAX_ITEMS)? else {
        return Ok(None);
    };
    let Some(count) = count.filter(|n| *n > 0) else {
        return Err(Malformed("a command is empty"));
    };
    let mut left = MAX_TOTAL_BYTES;
    for _ in 0..count {
        let is_body = is_body_next(buf, arguments, count);
        let max = if is_body {
            MAX_LONG_VALUE
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

/// Whether the next argument to parse is the body of a CALL.POST.
fn is_body_next(buf: &[u8], arguments: &[Range<usize>], count: usize) -> bool {
    arguments.len() == BODY_INDEX
        && count == BODY_INDEX + 1
        && buf[arguments[0].clone()] == *b"CALL.POST"
}

/// Parses the argument that starts at `at`; returns the position after it.
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
        Some(_) => return Err(Malformed("an argument is not a bulk string")),
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

/// Parses the element of an answer that starts at `at`.
pub(crate) fn element(buf: &[u8], at: usize, max: usize) -> Parsed<Element> {
    let Some(type_byte) = buf.get(at) else {
        return Ok(None);
    };
    let kind = match type_byte {
        b'+' => Kind::Simple,
        b'-' => Kind::Error,
        b':' => Kind::Integer,
        b'$' | b'*' => Kind::Bulk,
        _ => {
            return Err(Malformed(
                "an answer starts with an unknown RESP2 type byte",
            ))
        }
    };
    if kind != Kind::Bulk {
        let Some((text, end)) = line(buf, at + 1, MAX_LINE_BYTES)? else {
            return Ok(None);
        };
        return Ok(Some(Element {
            kind,
            text,
            span: at..end,
        }));
    }
    let Some((length, start)) = head(buf, at, max)? else {
        return Ok(None);
    };
    let Some(length) = length else {
        return Ok(Some(Element {
            kind: Kind::Null,
            text: start..start,
            span: at..start,
        }));
    };
    if *type_byte == b'*' {
        return Err(Malformed("an array contains an array"));
    }
    let Some(end) = bulk_end(buf, start, length)? else {
        return Ok(None);
    };
    Ok(Some(Element {
        kind,
        text: start..start + length,
        span: at..end,
    }))
}

/// Parses an answer; returns it and its length in bytes.
///
/// # Errors
///
/// If the answer is malformed or too long.
pub fn reply(buf: &[u8]) -> Parsed<(Reply, usize)> {
    if buf.first() != Some(&b'*') {
        return Ok(element(buf, 0, MAX_VALUE)?.map(|element| {
            let end = element.span.end;
            (Reply::Single(element), end)
        }));
    }
    let Some((count, mut at)) = head(buf, 0, MAX_ITEMS)? else {
        return Ok(None);
    };
    let Some(count) = count else {
        return Ok(Some((
            Reply::Single(Element {
                kind: Kind::Null,
                text: at..at,
                span: 0..at,
            }),
            at,
        )));
    };
    let (mut list, mut left) = (Vec::with_capacity(count), MAX_TOTAL_BYTES);
    for _ in 0..count {
        let Some(element) = element(buf, at, MAX_VALUE.min(left))? else {
            return Ok(None);
        };
        at = element.span.end;
        left = left.saturating_sub(element.text.len());
        list.push(element);
    }
    Ok(Some((Reply::Array(list), at)))
}

/// Appends the header of an array of `count` elements.
pub fn put_array(out: &mut Vec<u8>, count: usize) {
    // Writing to a Vec cannot fail.
    let _ = write!(out, "*{count}\r\n");
}

/// Appends a bulk string whose text is the concatenation of `parts`.
pub fn put_bulk(out: &mut Vec<u8>, parts: &[&[u8]]) {
    let _ = write!(out, "${}\r\n", parts.iter().map(|p| p.len()).sum::<usize>());
    parts.iter().for_each(|p| out.extend_from_slice(p));
    out.extend_from_slice(b"\r\n");
}

/// Appends an error line. Control characters become spaces, and the text is truncated to fit the maximum line length.
pub fn put_error(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(b"-ERR ");
    out.extend(
        text.bytes()
            .map(|b| if b.is_ascii_control() { b' ' } else { b })
            .take(MAX_LINE_BYTES - 8),
    );
    out.extend_from_slice(b"\r\n");
}
