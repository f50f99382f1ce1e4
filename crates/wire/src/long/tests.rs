//! Long answers forwarded as they arrive, split at arbitrary positions.

use super::{AnswerEnd, LongAnswer};
use crate::resp::Malformed;
use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};

fn answer(length: usize, rest: &str) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${length}\r\n").into_bytes();
    bytes.extend((0..length).map(|n| (n % 251) as u8));
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}

/// Feeds an answer split at `cuts`; returns the forwarded bytes and the final result.
fn forward_in_pieces(
    bytes: &[u8],
    cuts: &[usize],
) -> (Vec<u8>, Result<Option<AnswerEnd>, Malformed>) {
    let started = LongAnswer::start(bytes).unwrap();
    let (mut long, at) = (started.answer, started.head);
    let (mut out, mut from) = (Vec::new(), at);
    let mut ends: Vec<usize> = cuts
        .iter()
        .map(|cut| at + cut % (bytes.len() - at))
        .collect();
    ends.sort_unstable();
    ends.push(bytes.len());
    for end in ends {
        let is_complete = long.is_complete(&bytes[from..end]);
        let fed = long.feed(&bytes[from..end], &mut out);
        assert_eq!(
            is_complete,
            fed.as_ref()
                .map(Option::is_some)
                .map_err(|error| Malformed(error.0)),
            "is_complete and feed disagree"
        );
        match fed {
            Ok(None) => from = end,
            result => return (out, result),
        }
    }
    (out, Ok(None))
}

const REST: &str = "\r\n$-1\r\n$9\r\nutil=0.25\r\n";

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against a result that depends on where the network splits the bytes.
    #[test]
    fn result_does_not_depend_on_how_bytes_are_split(length in 65_537usize..200_000, cuts in prop::collection::vec(any::<usize>(), 0..12)) {
        let bytes = answer(length, REST);
        let (out, result) = forward_in_pieces(&bytes, &cuts);
        prop_assert_eq!(&out[..], &bytes[4..bytes.len() - REST.len() + 2]);
        let report = Some(b"util=0.25".to_vec());
        prop_assert_eq!(result, Ok(Some(AnswerEnd { report, no_trailing_bytes: true })));
    }

    /// Guards against a value that looks complete although its answer is malformed or truncated.
    #[test]
    fn malformed_or_truncated_answer_never_completes_the_value(at in 0usize..22, byte in any::<u8>(), cuts in prop::collection::vec(any::<usize>(), 0..6)) {
        let mut rest = REST.as_bytes().to_vec();
        rest.truncate(at);
        let truncated = answer(70_000, std::str::from_utf8(&rest).unwrap());
        let (out, result) = forward_in_pieces(&truncated, &cuts);
        prop_assert_eq!(result, Ok(None));
        prop_assert!(out.len() < truncated.len() - 4 - at + 2, "the final CR LF of an incomplete answer was forwarded");
        let mut malformed = answer(70_000, REST);
        let position = malformed.len() - REST.len() + at % 2; // CR or LF at the end of the value
        malformed[position] = byte;
        if byte != REST.as_bytes()[at % 2] {
            let (out, result) = forward_in_pieces(&malformed, &cuts);
            prop_assert!(result.is_err());
            prop_assert_eq!(out.len(), 70_000 + "$70000\r\n".len());
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), more in prop::collection::vec(any::<u8>(), 0..6000)) {
        let _ = LongAnswer::start(&bytes);
        let mut long = LongAnswer::start(b"*3\r\n$65537\r\n").unwrap().answer;
        let mut out = Vec::new();
        let _ = long.feed(&[0; 65_537], &mut out);
        let _ = long.feed(&more, &mut out);
        let _ = long.feed(&bytes, &mut out);
    }
}

#[test]
fn only_answers_with_a_long_value_are_forwarded_as_they_arrive() {
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
        assert!(LongAnswer::start(other.as_bytes()).is_none(), "{other:?}");
    }
    assert!(LongAnswer::start(b"*3\r\n$4194304\r\n").is_some());
}
