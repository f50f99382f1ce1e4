//! Texts that operators and other programs read, compared byte by byte with golden files.

use super::assert_golden;
use crate::arguments::Arguments;
use crate::format_versions::format_versions;
use crate::reload_status::{ReloadOutcome, ReloadStatusFile};
use crate::request_metrics::{Gauges, RequestEnd, RequestMetrics};
use crate::takeover::HandoverFormat;
use crate::variant::{Shipped, Variant};
use clap::CommandFactory;

#[test]
fn telemetry_matches_golden_file() {
    let mut metrics = RequestMetrics::new(["quote", "", "save"]);
    for (class, end, count) in [
        (0, RequestEnd::Served, 5),
        (0, RequestEnd::Rejected, 4),
        (0, RequestEnd::Failed, 3),
        (2, RequestEnd::Served, 2),
        (2, RequestEnd::Failed, 1),
    ] {
        (0..count).for_each(|_| metrics.record(class, end));
    }
    metrics.admitted = 17;
    metrics.config_accepted = 6;
    metrics.config_refused = 7;
    let gauges = Gauges {
        relayed: 11,
        open_requests: 12,
        endpoints: 13,
        out_of_rotation: 14,
    };
    assert_golden("telemetry.txt", metrics.telemetry(&gauges).as_bytes());
}

#[test]
fn status_file_matches_golden_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("status");
    let mut contents = String::new();
    let mut append_status = || {
        let text = std::fs::read_to_string(&path).unwrap();
        contents += &text.replace(&std::process::id().to_string(), "PROCESS");
        contents.push('\n');
    };
    let mut status = ReloadStatusFile::create(Some(path.clone())).unwrap();
    append_status();
    for (outcome, reason) in [
        (ReloadOutcome::Applied, ""),
        (ReloadOutcome::Refused, "listen: \"x\" is no address"),
        (
            ReloadOutcome::Retrying,
            "the file is no JSON, it is cut off",
        ),
        (ReloadOutcome::Started, ""),
    ] {
        status.record(outcome, reason);
        append_status();
    }
    status.remove();
    assert!(!path.exists());
    assert_golden("status.txt", contents.as_bytes());
}

#[test]
fn format_versions_match_golden_file() {
    let text = serde_json::to_string(&format_versions("0.0.0", Shipped::LAYOUT)).unwrap();
    assert_golden("speaks.json", text.as_bytes());
    let shipped = serde_json::to_string(&Shipped.format_versions()).unwrap();
    assert_eq!(shipped, text.replace("0.0.0", env!("CARGO_PKG_VERSION")));
}

#[test]
fn help_text_matches_golden_file() {
    let help = Arguments::command().render_long_help().to_string();
    assert_golden("help.txt", help.as_bytes());
}
