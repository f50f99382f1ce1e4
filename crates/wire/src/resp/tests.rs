//! Commands and answers, cut anywhere and malformed anyhow.

use super::{command, reply, Kind, Malformed, Reply};

fn texts(buf: &[u8]) -> Result<Option<(Vec<String>, usize)>, Malformed> {
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
    assert_eq!(&whole[list[0].span.clone()], b"$2\r\nhi\r\n");
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
