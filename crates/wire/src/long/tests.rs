//! Answers that pass on as they come, cut anywhere.

use super::{AnswerEnd, LongAnswer};
use crate::resp::Malformed;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};

fn answer(length: usize, rest: &str) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${length}\r\n").into_bytes();
    bytes.extend((0..length).map(|n| (n % 251) as u8));
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}

/// All that passes on, and how it ends, if it comes in these pieces.
fn pieces(bytes: &[u8], cuts: &[usize]) -> (Vec<u8>, Result<Option<AnswerEnd>, Malformed>) {
    let begun = LongAnswer::begin(bytes).unwrap();
    let (mut long, at) = (begun.answer, begun.head);
    let (mut out, mut from) = (Vec::new(), at);
    let mut ends: Vec<usize> = cuts.iter().map(|c| at + c % (bytes.len() - at)).collect();
    ends.sort_unstable();
    ends.push(bytes.len());
    for end in ends {
        let whole = long.is_complete(&bytes[from..end]);
        let fed = long.feed(&bytes[from..end], &mut out);
        assert_eq!(
            whole,
            fed.as_ref()
                .map(Option::is_some)
                .map_err(|e| Malformed(e.0)),
            "whole and fed differ"
        );
        match fed {
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
        prop_assert_eq!(ended, Ok(Some(AnswerEnd { report, nothing_behind: true })));
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
        let _ = LongAnswer::begin(&bytes);
        let mut long = LongAnswer::begin(b"*3\r\n$65537\r\n").unwrap().answer;
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
        assert!(LongAnswer::begin(other.as_bytes()).is_none(), "{other:?}");
    }
    assert!(LongAnswer::begin(b"*3\r\n$4194304\r\n").is_some());
}
