//! Byte-by-byte comparisons of texts that operators and other programs read.

use super::assert_golden;
use crate::ledger::{End, Ledger, Now};
use crate::status::{Outcome, Status};
use crate::takeover::Form;
use crate::variant::{Shipped, Variant};
use clap::CommandFactory;

#[test]
fn telemetry_has_its_names_and_form() {
    let mut ledger = Ledger::new(["quote", "", "save"]);
    for (place, end, count) in [
        (0, End::Served, 5),
        (0, End::Refused, 4),
        (0, End::Failed, 3),
        (2, End::Served, 2),
        (2, End::Failed, 1),
    ] {
        (0..count).for_each(|_| ledger.ended(place, end));
    }
    (ledger.taken, ledger.accepted, ledger.invalid) = (17, 6, 7);
    let now = Now {
        relayed: 11,
        open: 12,
        listed: 13,
        avoided: 14,
    };
    assert_golden("telemetry.txt", ledger.telemetry(&now).as_bytes());
}

#[test]
fn the_status_file_has_its_keys_and_words() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("status");
    let mut all = String::new();
    let mut read = || {
        let text = std::fs::read_to_string(&path).unwrap();
        all += &text.replace(&std::process::id().to_string(), "PROCESS");
        all.push('\n');
    };
    let mut status = Status::begin(Some(path.clone())).unwrap();
    read();
    for (outcome, why) in [
        (Outcome::Taken, ""),
        (Outcome::Refused, "listen: \"x\" is no address"),
        (Outcome::Waiting, "the file is no JSON, it is cut off"),
        (Outcome::Started, ""),
    ] {
        status.say(outcome, why);
        read();
    }
    status.end();
    assert!(!path.exists());
    assert_golden("status.txt", all.as_bytes());
}

#[test]
fn speaks_prints_its_formats() {
    let text = serde_json::to_string(&crate::speaks("0.0.0", Shipped::LAYOUT)).unwrap();
    assert_golden("speaks.json", text.as_bytes());
    let own = serde_json::to_string(&Shipped.speaks()).unwrap();
    assert_eq!(own, text.replace("0.0.0", env!("CARGO_PKG_VERSION")));
}

#[test]
fn the_help_text_stays() {
    let help = crate::Arguments::command().render_long_help().to_string();
    assert_golden("help.txt", help.as_bytes());
}
