//! A strict and bounded RESP2 codec. It looks at what has come so far and says: not whole yet, whole, or
//! malformed. Lengths are checked as soon as they are announced, so nothing is awaited that would be turned
//! down anyway, and a body is skipped by its length: looking again at a part costs next to nothing.
//!
//! The crate redis-protocol was tried first and does not fit: it takes any two bytes for the end of a bulk
//! string, waits for bodies of whatever length is announced, and overflows the stack on deep nesting.

use std::io::Write;
use std::ops::Range;

/// The most bytes that a value may have.
pub const MOST_VALUE: usize = 64 * 1024;
/// The most bytes of a value that is not kept beside others of its size: an answer passes on as it comes, a body has the memory
/// it takes granted before it is read.
pub const MOST_LONG: usize = 4 << 20;
/// Which argument of a CALL.POST is its body.
pub const BODY: usize = 4;
/// The most arguments of a command and elements of an answer.
const MOST_ITEMS: usize = 8;
/// The most bytes of all arguments of a command, or elements of an answer, together.
const MOST_TOTAL: usize = MOST_VALUE + 4096;
/// The most bytes of a line: a length, an error or a status.
const MOST_LINE: usize = 1024;
/// The most digits of a length.
const MOST_DIGITS: usize = 10;

/// Why bytes are no RESP2 that is taken here.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

type Step<T> = Result<Option<T>, Malformed>;

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

/// An element of an answer: its text, and the whole of it with its head and end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    /// Its kind.
    pub kind: Kind,
    /// Where its text is.
    pub text: Range<usize>,
    /// Where the whole of it is.
    pub whole: Range<usize>,
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
fn line(buf: &[u8], at: usize, most: usize) -> Step<(Range<usize>, usize)> {
    let seen = &buf[at..buf.len().min(at + most + 2)];
    match seen.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && seen[end - 1] == b'\r' => {
            Ok(Some((at..at + end - 1, at + end + 1)))
        }
        Some(_) => Err(Malformed("a line does not end with CR LF")),
        None if seen.len() == most + 2 => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// A length of at most `most`; none for the -1 of a null.
fn length(text: &[u8], most: usize) -> Result<Option<usize>, Malformed> {
    if text == b"-1" {
        return Ok(None);
    }
    if text.is_empty() || text.len() > MOST_DIGITS || !text.iter().all(u8::is_ascii_digit) {
        return Err(Malformed("a length is no number"));
    }
    let n = text.iter().fold(0usize, |n, d| {
        n.saturating_mul(10).saturating_add(usize::from(d - b'0'))
    });
    if n > most {
        return Err(Malformed("a length is over the limit"));
    }
    Ok(Some(n))
}

/// A length that stands behind its mark at `at`, and where the next thing begins.
pub(crate) fn head(buf: &[u8], at: usize, most: usize) -> Step<(Option<usize>, usize)> {
    let Some((digits, next)) = line(buf, at + 1, MOST_DIGITS)? else {
        return Ok(None);
    };
    Ok(Some((length(&buf[digits], most)?, next)))
}

/// The end of a bulk string of `n` bytes that begin at `at`.
fn bulk_end(buf: &[u8], at: usize, n: usize) -> Step<usize> {
    let end = buf.get(at + n..).unwrap_or(&[]);
    match end {
        [b'\r', b'\n', ..] => Ok(Some(at + n + 2)),
        [] | [b'\r'] => Ok(None),
        _ => Err(Malformed("a bulk string does not end with CR LF")),
    }
}

/// A command, an array of bulk strings. Fills in where its arguments are and returns its length. The body of a CALL.POST may
/// be as long as [`MOST_LONG`]; what else there is has [`MOST_VALUE`] bytes at most.
pub fn command(buf: &[u8], args: &mut Vec<Range<usize>>) -> Step<usize> {
    arguments(buf, args, &mut 0)
}

/// The whole length of a command that has not come whole and whose body is longer than [`MOST_VALUE`]; none of others.
pub fn long_command(buf: &[u8], args: &mut Vec<Range<usize>>) -> Option<usize> {
    let mut whole = 0;
    let found = arguments(buf, args, &mut whole);
    (found == Ok(None) && whole > 0).then_some(whole)
}

/// Tells in `whole` the length that a command with a long body will have, once that is announced.
fn arguments(buf: &[u8], args: &mut Vec<Range<usize>>, whole: &mut usize) -> Step<usize> {
    args.clear();
    match buf.first() {
        None => return Ok(None),
        Some(b'*') => {}
        Some(_) => return Err(Malformed("a command is no array")),
    }
    let Some((count, mut at)) = head(buf, 0, MOST_ITEMS)? else {
        return Ok(None);
    };
    let Some(count) = count.filter(|n| *n > 0) else {
        return Err(Malformed("a command is empty"));
    };
    let mut left = MOST_TOTAL;
    for _ in 0..count {
        match buf.get(at) {
            None => return Ok(None),
            Some(b'$') => {}
            Some(_) => return Err(Malformed("an argument is no bulk string")),
        }
        let body = args.len() == BODY && count == BODY + 1 && buf[args[0].clone()] == *b"CALL.POST";
        let most = if body {
            MOST_LONG
        } else {
            MOST_VALUE.min(left)
        };
        let Some((n, start)) = head(buf, at, most)? else {
            return Ok(None);
        };
        let Some(n) = n else {
            return Err(Malformed("an argument is null"));
        };
        if n > MOST_VALUE {
            *whole = start + n + 2;
        }
        let Some(end) = bulk_end(buf, start, n)? else {
            return Ok(None);
        };
        args.push(start..start + n);
        left -= if body { 0 } else { n };
        at = end;
    }
    Ok(Some(at))
}

pub(crate) fn element(buf: &[u8], at: usize, most: usize) -> Step<Element> {
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
        let Some((text, end)) = line(buf, at + 1, MOST_LINE)? else {
            return Ok(None);
        };
        return Ok(Some(Element {
            kind,
            text,
            whole: at..end,
        }));
    }
    let Some((n, start)) = head(buf, at, most)? else {
        return Ok(None);
    };
    let Some(n) = n else {
        return Ok(Some(Element {
            kind: Kind::Null,
            text: start..start,
            whole: at..start,
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
        whole: at..end,
    }))
}

/// An answer and its length.
pub fn reply(buf: &[u8]) -> Step<(Reply, usize)> {
    if buf.first() != Some(&b'*') {
        return Ok(element(buf, 0, MOST_VALUE)?.map(|e| {
            let end = e.whole.end;
            (Reply::One(e), end)
        }));
    }
    let Some((count, mut at)) = head(buf, 0, MOST_ITEMS)? else {
        return Ok(None);
    };
    let Some(count) = count else {
        return Ok(Some((
            Reply::One(Element {
                kind: Kind::Null,
                text: at..at,
                whole: 0..at,
            }),
            at,
        )));
    };
    let (mut list, mut left) = (Vec::with_capacity(count), MOST_TOTAL);
    for _ in 0..count {
        let Some(e) = element(buf, at, MOST_VALUE.min(left))? else {
            return Ok(None);
        };
        at = e.whole.end;
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
            .take(MOST_LINE - 8),
    );
    out.extend_from_slice(b"\r\n");
}

#[cfg(test)]
mod tests {
    use super::{command, reply, Kind, Reply, Step};

    fn texts(buf: &[u8]) -> Step<(Vec<String>, usize)> {
        let mut args = Vec::new();
        let end = command(buf, &mut args)?;
        let list = args
            .iter()
            .map(|r| String::from_utf8_lossy(&buf[r.clone()]).into_owned())
            .collect();
        Ok(end.map(|end| (list, end)))
    }

    #[test]
    fn a_command_is_whole_only_with_its_last_byte() {
        let whole = b"*2\r\n$4\r\nINFO\r\n$4\r\nlo\r\n\r\n*1";
        let want = (
            vec!["INFO".to_string(), "lo\r\n".to_string()],
            whole.len() - 2,
        );
        assert_eq!(texts(whole), Ok(Some(want)));
        for cut in 0..whole.len() - 2 {
            assert_eq!(texts(&whole[..cut]), Ok(None), "cut at {cut}");
        }
    }

    #[test]
    fn what_is_not_a_bounded_command_is_told_at_its_first_wrong_byte() {
        for bad in [
            &b"P"[..],
            b"*0\r\n",
            b"*-1\r\n",
            b"*9\r\n",
            b"*+1\r\n",
            b"*1\n",
            b"*1\r\n+",
            b"*1\r\n*1\r\n",
            b"*1\r\n$-1\r\n",
            b"*1\r\n$65537\r\n",
            b"*1\r\n$99999999999",
            b"*1\r\n$1\r\nabc",
            b"*2\r\n$65536\r\n",
        ] {
            let text = String::from_utf8_lossy(bad).into_owned();
            let full = [bad, &[b'x'; 70_000][..]].concat();
            // The last one is the longest that is let through: its sum is over only with the next argument.
            let input = if text.contains("65536") {
                [bad, &vec![b'x'; 65_536], b"\r\n$4097\r\n"].concat()
            } else {
                full
            };
            assert!(texts(&input).is_err(), "{text:?}");
        }
    }

    #[test]
    fn an_answer_is_read_with_its_nulls_and_its_bounds() {
        let whole = b"*3\r\n$2\r\nhi\r\n*-1\r\n$9\r\nutil=0.61\r\n";
        let Ok(Some((Reply::Array(list), end))) = reply(whole) else {
            panic!("not an array")
        };
        assert_eq!(end, whole.len());
        assert_eq!(&whole[list[0].whole.clone()], b"$2\r\nhi\r\n");
        assert_eq!(
            (list[1].kind, &whole[list[2].text.clone()]),
            (Kind::Null, &b"util=0.61"[..])
        );
        for cut in 0..whole.len() {
            assert_eq!(reply(&whole[..cut]), Ok(None), "cut at {cut}");
        }
        for bad in [
            &b"?\r\n"[..],
            b"*1\r\n*1\r\n:1\r\n",
            b"$65537\r\n",
            b"*9\r\n",
            b"+a\n",
            b"$1\r\nab\r\n",
        ] {
            assert!(reply(bad).is_err(), "{:?}", String::from_utf8_lossy(bad));
        }
        assert!(
            reply(&[&b"-"[..], &[b'e'; 2000]].concat()).is_err(),
            "an endless line"
        );
    }
}
