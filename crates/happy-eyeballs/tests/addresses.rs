//! Parsing of addresses, the order in which they are tried, and the start times of attempts.

use proptest::prelude::{prop_assert, prop_assert_eq, proptest, Strategy};
use wrenfork_happy_eyeballs::{
    Address, AddressList, AddressOutcome, ConnectionRace, Micros, NextConnect, INITIAL_BACKOFF,
    MAX_ADDRESSES,
};

fn address(text: &str) -> Address {
    text.parse().unwrap()
}

fn list(texts: &[&str]) -> AddressList {
    let mut list = AddressList::default();
    list.update(texts.iter().map(|text| address(text)).collect());
    list
}

fn ordered(list: &AddressList, now: Micros) -> Vec<String> {
    list.ordered(now).iter().map(Address::to_string).collect()
}

#[test]
fn only_ip_with_port_or_absolute_socket_path_is_an_address() {
    for text in [
        "",
        "localhost:80",
        "127.0.0.1",
        "127.0.0.1:0",
        "unix:",
        "unix:run/x",
        "unix:/run/",
        "[::1]:0",
    ] {
        assert!(text.parse::<Address>().is_err(), "{text}");
    }
    let too_long = format!("unix:/{}", "x".repeat(100));
    assert!(too_long.parse::<Address>().is_err());
    for text in ["127.0.0.1:9", "[::1]:9", "unix:/run/x"] {
        assert_eq!(address(text).to_string(), text);
    }
}

const FIVE_ADDRESSES: [&str; 5] = [
    "127.0.0.1:1",
    "127.0.0.2:1",
    "[::1]:1",
    "unix:/a",
    "[::2]:1",
];

#[test]
fn families_alternate_and_recently_failed_addresses_come_last() {
    let mut list = list(&FIVE_ADDRESSES);
    let alternating_families = [
        "unix:/a",
        "[::1]:1",
        "127.0.0.1:1",
        "[::2]:1",
        "127.0.0.2:1",
    ];
    assert_eq!(ordered(&list, 0), alternating_families);
    list.record(&address("unix:/a"), AddressOutcome::Unreachable, 0);
    list.record(&address("[::1]:1"), AddressOutcome::TimedOut, 0);
    list.record(&address("[::1]:1"), AddressOutcome::TimedOut, 0);
    let failed_last = [
        "[::2]:1",
        "127.0.0.1:1",
        "127.0.0.2:1",
        "unix:/a",
        "[::1]:1",
    ];
    assert_eq!(ordered(&list, 1), failed_last);
    let after_backoff = ordered(&list, INITIAL_BACKOFF);
    assert_eq!(
        after_backoff[0], "unix:/a",
        "unix:/a must be first again after its backoff"
    );
    list.record(
        &address("[::1]:1"),
        AddressOutcome::Responded,
        INITIAL_BACKOFF,
    );
    let after_response = ordered(&list, INITIAL_BACKOFF);
    assert_eq!(
        after_response[1], "[::1]:1",
        "[::1]:1 must lose its backoff when it responds"
    );
}

#[test]
fn update_reports_whether_an_address_was_removed() {
    let mut list = list(&FIVE_ADDRESSES);
    let six = [
        "[::1]:1",
        "unix:/a",
        "unix:/b",
        "127.0.0.1:1",
        "127.0.0.2:1",
        "[::2]:1",
    ];
    assert!(!list.update(six.map(address).into()));
    assert!(list.update(vec![address("unix:/b")]));
    assert_eq!(list.only(), Some(&address("unix:/b")));
    assert!(!list.contains(&address("unix:/a")));
}

#[test]
fn attempts_start_after_a_delay_or_immediately_after_a_failure() {
    let addresses = list(&["127.0.0.1:1", "[::1]:1", "unix:/a"]);
    let mut race = ConnectionRace::new(addresses.ordered(0), 200_000, 5);
    let start = |text| NextConnect::Start(address(text));
    assert_eq!(race.next(5), start("unix:/a"));
    assert_eq!(race.next(6), NextConnect::WaitUntil(50_005));
    race.attempt_failed(7);
    assert_eq!(race.next(7), start("[::1]:1"));
    assert_eq!(race.next(50_006), NextConnect::WaitUntil(50_007));
    assert_eq!(race.next(50_007), start("127.0.0.1:1"));
    assert_eq!(race.next(99_999), NextConnect::Exhausted);
}

fn any_address() -> impl Strategy<Value = Address> {
    (0u8..3, 0u8..6).prop_map(|(family, n)| match family {
        0 => address(&format!("unix:/{n}")),
        1 => address(&format!("[::{n}]:9")),
        _ => address(&format!("127.0.0.{n}:9")),
    })
}

fn any_outcome() -> impl Strategy<Value = AddressOutcome> {
    (0usize..3).prop_map(|n| {
        [
            AddressOutcome::Responded,
            AddressOutcome::Unreachable,
            AddressOutcome::TimedOut,
        ][n]
    })
}

/// The addresses in the order in which a race starts attempts to them. Checks that each wait ends after the current time.
fn attempted_addresses(mut race: ConnectionRace, mut now: Micros) -> Vec<Address> {
    let mut started = Vec::new();
    loop {
        match race.next(now) {
            NextConnect::Start(address) => started.push(address),
            NextConnect::WaitUntil(until) => {
                assert!(until > now);
                now = until;
            }
            NextConnect::Exhausted => return started,
        }
    }
}

proptest! {
    #[test]
    fn every_address_is_tried_exactly_once_after_any_failures(
        addresses in proptest::collection::vec(any_address(), 0..12),
        events in proptest::collection::vec((0usize..12, any_outcome(), 0u64..200_000_000), 0..40),
        now in 0u64..400_000_000,
    ) {
        let mut list = AddressList::default();
        list.update(addresses.clone());
        for (n, outcome, at) in events {
            if let Some(address) = addresses.get(n) {
                list.record(address, outcome, at);
            }
        }
        let mut expected: Vec<Address> = addresses.into_iter().take(MAX_ADDRESSES).collect();
        expected.sort();
        expected.dedup();
        let mut ordered = list.ordered(now);
        prop_assert_eq!(&attempted_addresses(ConnectionRace::new(ordered.clone(), 1, now), now), &ordered);
        ordered.sort();
        prop_assert!(ordered == expected, "{:?} {:?}", ordered, expected);
    }
}
