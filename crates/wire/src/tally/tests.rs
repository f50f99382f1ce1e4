//! Calls of the count service within its limits, and its answers.

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
