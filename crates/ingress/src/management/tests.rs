//! Parsing of query lines.

use super::connection::parse;
use super::Query;

#[test]
fn invalid_query_line_is_rejected_with_reason() {
    assert_eq!(parse(b"readyz\r"), Ok(Query::Readiness));
    assert_eq!(parse(b" telemetry "), Ok(Query::Telemetry));
    for invalid in [
        &b""[..],
        b"ready",
        b"READYZ",
        b"\xff\xfe",
        b"telemetry now",
        &[b'x'; 200],
    ] {
        let result = parse(invalid).map_err(|error| error.to_string());
        assert!(result
            .is_err_and(|reason| reason.contains("readyz or telemetry") && reason.len() < 400));
    }
}
