//! Parsing of commands and answers that are complete, truncated or malformed.

use super::{command, reply, Kind, Malformed, Reply};

fn parse_arguments(buf: &[u8]) -> Result<Option<(Vec<String>, usize)>, Malformed> {
    let mut args = Vec::new();
    let end = command(buf, &mut args)?;
    let list = args
        .iter()
        .map(|r| String::from_utf8_lossy(&buf[r.clone()]).into_owned())
        .collect();
    Ok(end.map(|end| (list, end)))
}

#[test]
fn command_is_complete_only_with_its_last_byte() {
    let complete = b"*2\r\n$4\r\nINFO\r\n$4\r\nlo\r\n\r\n*1";
    let expected = (
        vec!["INFO".to_string(), "lo\r\n".to_string()],
        complete.len() - 2,
    );
    assert_eq!(parse_arguments(complete), Ok(Some(expected)));
    for cut in 0..complete.len() - 2 {
        assert_eq!(parse_arguments(&complete[..cut]), Ok(None), "cut at {cut}");
    }
}

#[test]
fn malformed_or_oversized_command_is_rejected() {
    for invalid in [
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
        let text = String::from_utf8_lossy(invalid).into_owned();
        let padded = [invalid, &[b'x'; 70_000][..]].concat();
        // An argument of 65,536 bytes is allowed; only the next argument exceeds the total limit.
        let input = if text.contains("65536") {
            [invalid, &vec![b'x'; 65_536], b"\r\n$4097\r\n"].concat()
        } else {
            padded
        };
        assert!(parse_arguments(&input).is_err(), "{text:?}");
    }
}

#[test]
fn answers_are_parsed_with_nulls_and_size_limits() {
    let complete = b"*3\r\n$2\r\nhi\r\n*-1\r\n$9\r\nutil=0.61\r\n";
    let Ok(Some((Reply::Array(list), end))) = reply(complete) else {
        panic!("the answer was not parsed as an array")
    };
    assert_eq!(end, complete.len());
    assert_eq!(&complete[list[0].span.clone()], b"$2\r\nhi\r\n");
    assert_eq!(
        (list[1].kind, &complete[list[2].text.clone()]),
        (Kind::Null, &b"util=0.61"[..])
    );
    for cut in 0..complete.len() {
        assert_eq!(reply(&complete[..cut]), Ok(None), "cut at {cut}");
    }
    for invalid in [
        &b"?\r\n"[..],
        b"*1\r\n*1\r\n:1\r\n",
        b"$65537\r\n",
        b"*9\r\n",
        b"+a\n",
        b"$1\r\nab\r\n",
    ] {
        assert!(
            reply(invalid).is_err(),
            "{:?}",
            String::from_utf8_lossy(invalid)
        );
    }
    assert!(
        reply(&[&b"-"[..], &[b'e'; 2000]].concat()).is_err(),
        "a line without end was accepted"
    );
}
