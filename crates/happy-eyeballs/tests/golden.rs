//! What is known of a node's addresses, byte for byte in the positional form in which it passes from one process of an
//! ingress to the next.
//!
//! The files in `golden/` are written by hand alone: `cargo test -p wrenfork-happy-eyeballs --test golden -- --ignored`.

use std::fs;
use std::path::PathBuf;
use wrenfork_happy_eyeballs::{Address, Book, Fared};

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests", "golden", name]
        .iter()
        .collect()
}

fn addresses() -> Vec<Address> {
    ["127.0.0.1:9", "[2001:db8::1]:443", "unix:/run/node"]
        .map(|text| Address::read(text).unwrap())
        .into()
}

fn book() -> Book {
    let places = addresses();
    let mut book = Book::default();
    book.update(places.clone());
    book.note(&places[0], Fared::Unreached, 5_000);
    book.note(&places[2], Fared::Silent, 6_000);
    book.note(&places[2], Fared::Silent, 7_000);
    book
}

fn files() -> Vec<(&'static str, Vec<u8>)> {
    vec![
        (
            "addresses.postcard",
            postcard::to_stdvec(&addresses()).unwrap(),
        ),
        ("book.postcard", postcard::to_stdvec(&book()).unwrap()),
        ("book.json", serde_json::to_vec(&book()).unwrap()),
    ]
}

#[test]
fn every_form_is_written_as_in_its_golden_file() {
    for (name, bytes) in files() {
        assert_eq!(bytes, fs::read(path(name)).unwrap(), "{name}");
    }
}

#[test]
fn every_golden_file_reads_back_and_is_written_again_the_same() {
    let bytes = fs::read(path("addresses.postcard")).unwrap();
    let read: Vec<Address> = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, addresses());
    assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);

    let bytes = fs::read(path("book.postcard")).unwrap();
    let read: Book = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read.order(5_000), book().order(5_000));
    assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);

    let text = fs::read(path("book.json")).unwrap();
    let read: Book = serde_json::from_slice(&text).unwrap();
    assert_eq!(serde_json::to_vec(&read).unwrap(), text);
}

#[test]
#[ignore = "writes the golden files: run by hand, before a form is changed on purpose"]
fn write_the_golden_files() {
    for (name, bytes) in files() {
        fs::write(path(name), bytes).unwrap();
    }
}
