//! Calls to the count service within its limits, and parsing of its answers.

use super::{answer, put_call, Answer};

#[test]
fn calls_stay_within_the_limits_of_the_service() {
    let call_text = |amount, lifetime| {
        let mut out = Vec::new();
        put_call(&mut out, 0xabc, amount, lifetime).then(|| String::from_utf8(out).unwrap())
    };
    let call = call_text(-2.5, 4_000_000).unwrap();
    assert_eq!(
        call,
        "*4\r\n$5\r\nTALLY\r\n$16\r\n0000000000000abc\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n"
    );
    assert!(call_text(0.1 + 0.2, 0)
        .unwrap()
        .ends_with("$3\r\n0.3\r\n$1\r\n1\r\n"));
    assert!(call_text(-0.0, u64::MAX)
        .unwrap()
        .ends_with("$1\r\n0\r\n$5\r\n60000\r\n"));
    assert!(call_text(1e-300, 1).unwrap().contains("$1\r\n0\r\n"));
    for invalid in [f64::NAN, f64::INFINITY, -f64::INFINITY, 1.1e9, -1e300] {
        assert_eq!(call_text(invalid, 1), None, "{invalid}");
    }
}

#[test]
fn consecutive_answers_are_parsed_and_invalid_ones_rejected() {
    let buf = b"$5\r\n12.25\r\n-BUSY\r\n-ERR no such call\r\n$2\r\n-1\r\n";
    let (mut at, mut found) = (0, Vec::new());
    while let Some((parsed, length)) = answer(&buf[at..]).unwrap() {
        found.push(parsed);
        at += length;
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
    for invalid in [
        &b"$3\r\nNaN\r\n"[..],
        b"$3\r\ninf\r\n",
        b"$1\r\nx\r\n",
        b"+OK\r\n",
        b"*0\r\n",
        b":3\r\n",
        b"$-1\r\n",
    ] {
        assert!(
            answer(invalid).is_err(),
            "{:?}",
            String::from_utf8_lossy(invalid)
        );
    }
}
