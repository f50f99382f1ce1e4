//! Checks the exact bytes of address lists in the positional format that a handover passes to the successor.
//!
//! The golden files are only written by hand, with `cargo test -p wrenfork-happy-eyeballs --test golden -- --ignored`.

use std::fs;
use std::path::PathBuf;
use wrenfork_happy_eyeballs::{Address, AddressList, AddressOutcome};

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn addresses() -> Vec<Address> {
    ["127.0.0.1:9", "[2001:db8::1]:443", "unix:/run/node"]
        .map(|text| text.parse().unwrap())
        .into()
}

fn list() -> AddressList {
    let addresses = addresses();
    let mut list = AddressList::default();
    list.update(addresses.clone());
    list.record(&addresses[0], AddressOutcome::Unreachable, 5_000);
    list.record(&addresses[2], AddressOutcome::TimedOut, 6_000);
    list.record(&addresses[2], AddressOutcome::TimedOut, 7_000);
    list
}

fn files() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        (
            "addresses.postcard",
            postcard::to_stdvec(&addresses()).unwrap(),
        ),
        ("book.postcard", postcard::to_stdvec(&list()).unwrap()),
        ("book.json", serde_json::to_vec(&list()).unwrap()),
    ]
}

#[test]
fn values_are_written_as_in_their_golden_files() {
    for (name, bytes) in files() {
        assert_eq!(bytes, fs::read(path(name)).unwrap(), "{name}");
    }
}

#[test]
fn golden_files_are_read_and_rewritten_unchanged() {
    let bytes = fs::read(path("addresses.postcard")).unwrap();
    let read: Vec<Address> = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, addresses());
    assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);

    let bytes = fs::read(path("book.postcard")).unwrap();
    let read: AddressList = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.ordered(5_000), list().ordered(5_000));
    assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);

    let text = fs::read(path("book.json")).unwrap();
    let read: AddressList = serde_json::from_slice(&text).unwrap();
    assert_eq!(serde_json::to_vec(&read).unwrap(), text);
}

#[test]
#[ignore = "writes the golden files; run by hand after an intended format change"]
fn write_the_golden_files() {
    for (name, bytes) in files() {
        fs::write(path(name), bytes).unwrap();
    }
}
