//! How answers of discovery are read.

use super::*;

fn sites() -> Sites {
    Sites { zones: vec!["a".into(), "b".into()], kinds: vec!["m1".into(), "m2".into()] }
}

const LIST: &str = r#"{"index":43,"snapshot":false,"endpoints":[
    {"name":"s-1","address":"127.0.0.9:6379","zone":"b","type":"m2","group":3,"status":"draining",
     "weight":1.5,"since_ms":7},
    {"name":"s-2","zone":"a","type":"m1","group":3,"status":"removed","weight":1.0,"since_ms":0}]}"#;

#[test]
fn answers_are_read_in_all_three_framings_and_never_before_their_end() {
    let chunked = format!("{:x}\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n", 9, &LIST[..9], LIST.len() - 9, &LIST[9..]);
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{LIST}", LIST.len());
    let chunked = format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunked}");
    for (text, ended) in [(length, false), (chunked, false), (format!("HTTP/1.0 200 OK\r\n\r\n{LIST}"), true)]
    {
        let Answer::Whole(roster, goes_on) = read_answer(text.as_bytes(), ended, &sites()) else {
            panic!("not read: {text}")
        };
        assert_eq!((roster.index, roster.whole, goes_on), (43, false, !ended));
        let [one, two] = &roster.entries[..] else { panic!("not two entries") };
        assert_eq!((one.listed.zone, one.listed.kind, one.listed.cell), (1, 1, 3));
        assert_eq!((one.listed.started, one.listed.availability), (7000, Availability::Draining));
        assert_eq!((&two.places[..], two.listed.availability), (&[][..], Availability::Gone));
        for cut in 0..text.len() - 1 {
            let part = read_answer(&text.as_bytes()[..cut], false, &sites());
            assert!(matches!(part, Answer::Partial), "cut at {cut}: {text}");
        }
    }
}

#[test]
fn what_is_no_list_is_told_apart_from_what_is_not_whole() {
    for bad in [
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "SSH-2.0\r\n",
    ] {
        assert!(matches!(read_answer(bad.as_bytes(), false, &sites()), Answer::Bad(..)), "{bad}");
    }
}
