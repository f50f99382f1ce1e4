//! Lines of operators.

use super::connection::parse;
use super::Query;

#[test]
fn a_line_is_a_query_or_told_why_not() {
    assert_eq!(parse(b"readyz\r"), Ok(Query::Readiness));
    assert_eq!(parse(b" telemetry "), Ok(Query::Telemetry));
    for bad in [
        &b""[..],
        b"ready",
        b"READYZ",
        b"\xff\xfe",
        b"telemetry now",
        &[b'x'; 200],
    ] {
        let refusal = parse(bad).map_err(|error| error.to_string());
        assert!(refusal.is_err_and(|why| why.contains("readyz or telemetry") && why.len() < 400));
    }
}
