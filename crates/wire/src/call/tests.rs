//! Parsing of CALL commands, and the errors for invalid ones.

use super::{Call, CallError, ClassDefinition, Vocabulary};
use crate::resp;
use wrenfork_decision::{Idempotency, KeyScope};

fn vocabulary() -> Vocabulary {
    let keyed = Idempotency::WithKey {
        scope: KeyScope::Cell,
        window: 3_000_000,
    };
    let class = |name: &str, idempotency| ClassDefinition {
        name: name.into(),
        idempotency,
    };
    let classes = vec![
        class("quote", Idempotency::Idempotent),
        class("save", keyed),
        class("refer", Idempotency::NotIdempotent),
    ];
    let plans = vec!["starter".into(), "business".into()];
    Vocabulary {
        classes,
        plans,
        max_units: 4.0,
        gateways: 4,
        identity: None,
        authenticates: false,
    }
}

fn read(parts: &[&str]) -> Result<Call, CallError> {
    let (mut buf, mut args) = (Vec::new(), Vec::new());
    resp::put_array(&mut buf, parts.len());
    parts
        .iter()
        .for_each(|part| resp::put_bulk(&mut buf, &[part.as_bytes()]));
    resp::command(&buf, &mut args).unwrap().unwrap();
    Call::read(&buf, &args, &vocabulary()).unwrap()
}

#[test]
fn written_call_differs_from_received_one_only_in_its_wait() {
    let options = "c=save,t=business,d=480,k=5c0f,r=1,units=2,spread=3,first=1,new=x";
    let call = read(&["CALL.POST", "00000000b4d65521", "9b1f", options, "BO\r\nDY"]).unwrap();
    let request = call.request;
    assert_eq!(
        (request.class, request.plan, request.customer.0, call.wait),
        (1, 1, 0xb4d6_5521, 480_000)
    );
    assert_eq!(call.id(), b"9b1f");
    assert_eq!(
        (request.units, request.gateway_span, request.first_gateway),
        (2.0, 3.0, 1.0)
    );
    let mut out = Vec::new();
    call.write(123_999, &mut out);
    let expected = options.replace("480", "123");
    let expected = format!(
        "*5\r\n$9\r\nCALL.POST\r\n$16\r\n00000000b4d65521\r\n$4\r\n9b1f\r\n${}\r\n{expected}\r\n$6\r\nBO\r\nDY\r\n",
        expected.len()
    );
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}

#[test]
fn errors_name_the_missing_or_invalid_field() {
    let valid = "c=quote,t=starter,d=480,units=2,spread=3,first=1";
    assert!(read(&["CALL.GET", "00000000b4d65521", "9b1f", valid]).is_ok());
    for (from, to, expected) in [
        ("c=quote", "c=other", "class"),
        ("c=quote", "c=save", "CALL.GET"),
        ("t=starter", "t=gold", "plan"),
        ("d=480", "d=-1", "d is no"),
        ("d=480", "d=99999999999999999999", "d is no"),
        ("units=2", "units=nan", "units"),
        ("units=2", "units=1e9", "units"),
        ("units=2", "units=-400", "units"),
        ("units=2", "units=0", "units is out of range"),
        ("units=2", "units=4.1", "units is out of range"),
        ("spread=3", "spread=0", "spread is out of range"),
        ("spread=3", "spread=5", "spread is out of range"),
        ("first=1", "first=4", "first is out of range"),
        ("first=1", "first=-1", "first is no"),
        ("spread=3", "spread=x", "spread"),
        (",first=1", "", "first is missing"),
        (",first=1", ",first", "'='"),
        ("units=2", "units=2,units=3", "twice"),
    ] {
        let error = read(&[
            "CALL.GET",
            "00000000b4d65521",
            "9b1f",
            &valid.replace(from, to),
        ])
        .unwrap_err()
        .to_string();
        assert!(error.contains(expected), "{to}: {error}");
    }
    assert!(
        read(&["CALL.GET", "0000000fb4d65521", "9b1f", valid]).is_err(),
        "a customer number of 2^33 or more was accepted"
    );
    assert!(
        read(&["CALL.GET", "b4d65521", "9b1f", valid]).is_err(),
        "a customer number of 8 digits was accepted"
    );
    assert!(
        read(&["CALL.GET", "00000000b4d65521", "", valid]).is_err(),
        "an empty id was accepted"
    );
    assert!(read(&["CALL.GET", "00000000b4d65521", "9b1f", valid, "BODY"]).is_err());
    let keyed_options = valid.replace("quote", "save");
    assert!(read(&[
        "CALL.POST",
        "00000000b4d65521",
        "9b1f",
        &keyed_options,
        "BODY"
    ])
    .unwrap_err()
    .to_string()
    .contains('k'));
}
