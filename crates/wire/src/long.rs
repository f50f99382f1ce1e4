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
        Some((Long { left: start - at + length, rest: Vec::new() }, at))
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
            let Some(element) = resp::element(&self.rest, at, MOST_REST)? else { return Ok(None) };
            at = element.whole.end;
            last = Some(element);
        }
        out.extend_from_slice(END);
        let text = |e: Element| self.rest[e.text].to_vec();
        let report = last.filter(|e| e.kind == resp::Kind::Bulk).map(text);
        Ok(Some(Whole { report, alone: at == self.rest.len() }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn answer(length: usize, rest: &str) -> Vec<u8> {
        let mut bytes = format!("*3\r\n${length}\r\n").into_bytes();
        bytes.extend((0..length).map(|n| (n % 251) as u8));
        bytes.extend_from_slice(rest.as_bytes());
        bytes
    }

    /// All that passes on, and how it ends, if it comes in these pieces.
    fn pieces(bytes: &[u8], cuts: &[usize]) -> (Vec<u8>, Result<Option<Whole>, Malformed>) {
        let (mut long, at) = Long::begin(bytes).unwrap();
        let (mut out, mut from) = (Vec::new(), at);
        let mut ends: Vec<usize> = cuts.iter().map(|c| at + c % (bytes.len() - at)).collect();
        ends.sort_unstable();
        ends.push(bytes.len());
        for end in ends {
            match long.feed(&bytes[from..end], &mut out) {
                Ok(None) => from = end,
                ended => return (out, ended),
            }
        }
        (out, Ok(None))
    }

    const REST: &str = "\r\n$-1\r\n$9\r\nutil=0.25\r\n";

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(200))]

        /// Guards against a result that hangs on where the network cut the bytes.
        #[test]
        fn every_cut_gives_the_same(length in 65_537usize..200_000, cuts in prop::collection::vec(any::<usize>(), 0..12)) {
            let bytes = answer(length, REST);
            let (out, ended) = pieces(&bytes, &cuts);
            prop_assert_eq!(&out[..], &bytes[4..bytes.len() - REST.len() + 2]);
            let report = Some(b"util=0.25".to_vec());
            prop_assert_eq!(ended, Ok(Some(Whole { report, alone: true })));
        }

        /// Guards against a value that seems whole though its answer is spoilt or cut off, wherever.
        #[test]
        fn a_spoilt_rest_never_makes_it_whole(at in 0usize..22, byte in any::<u8>(), cuts in prop::collection::vec(any::<usize>(), 0..6)) {
            let mut rest = REST.as_bytes().to_vec();
            rest.truncate(at);
            let cut = answer(70_000, std::str::from_utf8(&rest).unwrap());
            let (out, ended) = pieces(&cut, &cuts);
            prop_assert_eq!(ended, Ok(None));
            prop_assert!(out.len() < cut.len() - 4 - at + 2, "its last bytes went out");
            let mut spoilt = answer(70_000, REST);
            let place = spoilt.len() - REST.len() + at % 2; // the end of the value
            spoilt[place] = byte;
            if byte != REST.as_bytes()[at % 2] {
                let (out, ended) = pieces(&spoilt, &cuts);
                prop_assert!(ended.is_err());
                prop_assert_eq!(out.len(), 70_000 + "$70000\r\n".len());
            }
        }

        #[test]
        fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), more in prop::collection::vec(any::<u8>(), 0..6000)) {
            let _ = Long::begin(&bytes);
            let (mut long, _) = Long::begin(b"*3\r\n$65537\r\n").unwrap();
            let mut out = Vec::new();
            let _ = long.feed(&[0; 65_537], &mut out);
            let _ = long.feed(&more, &mut out);
            let _ = long.feed(&bytes, &mut out);
        }
    }

    #[test]
    fn only_long_values_of_answers_pass_on_like_this() {
        for other in [
            "*3\r\n$65536\r\n",
            "*3\r\n$4194305\r\n",
            "*3\r\n$99999999999\r\n",
            "*2\r\n$70000\r\n",
            "$70000\r\n",
            "*3\r\n:70000\r\n",
            "*3\r\n$-1\r\n",
            "*3\r\n$700",
            "",
        ] {
            assert!(Long::begin(other.as_bytes()).is_none(), "{other:?}");
        }
        assert!(Long::begin(b"*3\r\n$4194304\r\n").is_some());
    }
}
