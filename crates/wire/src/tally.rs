//! Calls of the count service and its answers: `TALLY NAME AMOUNT LIFE`, in RESP2.

use crate::resp::{self, Kind, Malformed, Reply};

/// The largest amount of a call.
pub const MOST_AMOUNT: f64 = 1e9;
/// The longest life of a name, in milliseconds.
const MOST_LIFE: u64 = 60_000;

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The amount was added; the total behind it.
    Total(f64),
    /// Turned away: nothing was added.
    Busy,
    /// No such call, says the service: nothing was added.
    Error,
}

/// Appends a call that adds `amount` to the number `name`, which lives for `life` microseconds if it is new; false
/// where the service takes no such amount, and nothing is appended.
pub fn put_call(out: &mut Vec<u8>, name: u64, amount: f64, life: u64) -> bool {
    if !amount.is_finite() || amount.abs() > MOST_AMOUNT {
        return false;
    }
    // Millionths are finer than the seven digits of a total that is worth a call; and no sign before a nought.
    let amount = (amount * 1e6).round() / 1e6 + 0.0;
    let life = life.div_ceil(1000).clamp(1, MOST_LIFE);
    resp::put_array(out, 4);
    resp::put_bulk(out, &[b"TALLY"]);
    resp::put_bulk(out, &[format!("{name:016x}").as_bytes()]);
    resp::put_bulk(out, &[format!("{amount}").as_bytes()]);
    resp::put_bulk(out, &[format!("{life}").as_bytes()]);
    true
}

/// Reads the first answer in `buf`, and how long it is; none while it is not whole.
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
        Kind::Error if text.split(|b| *b == b' ').next() == Some(b"BUSY") => Answer::Busy,
        Kind::Error => Answer::Error,
        Kind::Bulk => {
            let total = std::str::from_utf8(text)
                .ok()
                .and_then(|t| t.parse::<f64>().ok());
            Answer::Total(
                total
                    .filter(|t| t.is_finite())
                    .ok_or(Malformed("a total is no number"))?,
            )
        }
        _ => {
            return Err(Malformed(
                "a count's answer is neither a total nor an error",
            ))
        }
    };
    Ok(Some((answer, end)))
}

#[cfg(test)]
mod tests {
    use super::{answer, put_call, Answer};

    #[test]
    fn a_call_stays_within_the_limits_of_the_service() {
        let text = |amount, life| {
            let mut out = Vec::new();
            put_call(&mut out, 0xabc, amount, life).then(|| String::from_utf8(out).unwrap())
        };
        let call = text(-2.5, 4_000_000).unwrap();
        assert_eq!(
            call,
            "*4\r\n$5\r\nTALLY\r\n$16\r\n0000000000000abc\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
        );
        assert!(text(0.1 + 0.2, 0)
            .unwrap()
            .ends_with("$3\r\n0.3\r\n$1\r\n1\r\n"));
        assert!(text(-0.0, u64::MAX)
            .unwrap()
            .ends_with("$1\r\n0\r\n$5\r\n60000\r\n"));
        assert!(text(1e-300, 1).unwrap().contains("$1\r\n0\r\n"));
        for bad in [f64::NAN, f64::INFINITY, -f64::INFINITY, 1.1e9, -1e300] {
            assert_eq!(text(bad, 1), None, "{bad}");
        }
    }

    #[test]
    fn answers_are_read_one_behind_the_other_and_what_is_none_is_told() {
        let buf = b"$5\r\n12.25\r\n-BUSY\r\n-ERR no such call\r\n$2\r\n-1\r\n";
        let (mut at, mut found) = (0, Vec::new());
        while let Some((one, n)) = answer(&buf[at..]).unwrap() {
            found.push(one);
            at += n;
        }
        assert_eq!(
            found,
            [
                Answer::Total(12.25),
                Answer::Busy,
                Answer::Error,
                Answer::Total(-1.0)
            ]
        );
        for cut in 0..11 {
            assert_eq!(answer(&buf[..cut]), Ok(None), "cut at {cut}");
        }
        for bad in [
            &b"$3\r\nNaN\r\n"[..],
            b"$3\r\ninf\r\n",
            b"$1\r\nx\r\n",
            b"+OK\r\n",
            b"*0\r\n",
            b":3\r\n",
            b"$-1\r\n",
        ] {
            assert!(answer(bad).is_err(), "{:?}", String::from_utf8_lossy(bad));
        }
    }
}
