//! Tests of which files a reload counts as accepted and as refused.

use super::{ConfigReloader, Reload, ReloadCounts, FIRST_BACKOFF, MAX_BACKOFF};
use crate::config::{ConfigSource, SidecarFiles};
use crate::reload_status::ReloadStatusFile;
use std::path::{Path, PathBuf};
use tempfile::TempDir;
use wrenfork_testbed::service_fixture::Setup;

/// A reloader whose file is in a temporary folder.
struct Fixture {
    folder: TempDir,
    reloader: ConfigReloader,
    /// The content with which the reloader started.
    valid: String,
}

impl Fixture {
    /// The platform's file.
    fn platform() -> Fixture {
        let folder = tempfile::tempdir().unwrap();
        let valid = Setup::of("", &[]).config("127.0.0.1:7000".parse().unwrap());
        let source = ConfigSource::Platform {
            path: config_path(&folder).display().to_string(),
            operator: None,
        };
        Fixture::new(folder, source, valid)
    }

    /// The files of a sidecar, of which the application's file changes.
    fn sidecar() -> Fixture {
        let folder = tempfile::tempdir().unwrap();
        let valid = read_good_file("with-site-no-routes.toml");
        let site = folder.path().join("site.toml");
        std::fs::write(&site, read_good_file("site.toml")).unwrap();
        let source = ConfigSource::Sidecar(SidecarFiles {
            app: config_path(&folder),
            site: Some(site),
            fleet: None,
            sidecar: None,
        });
        Fixture::new(folder, source, valid)
    }

    fn new(folder: TempDir, source: ConfigSource, valid: String) -> Fixture {
        std::fs::write(config_path(&folder), &valid).unwrap();
        let config = source.read(|_| None).unwrap();
        let status = ReloadStatusFile::create(Some(folder.path().join("status"))).unwrap();
        Fixture {
            reloader: ConfigReloader::new(source, &config, status),
            folder,
            valid,
        }
    }

    fn write(&self, content: &str) {
        std::fs::write(config_path(&self.folder), content).unwrap();
    }

    /// A file that can be read, with another limit on attempts.
    fn with_max_attempts(&self, count: u64) -> String {
        let limit = format!(r#""most_tries":{count}"#);
        self.valid.replace(r#""most_tries":3"#, &limit)
    }

    /// A sidecar's file that can be read but requires a restart.
    fn with_other_address(&self) -> String {
        self.valid.replace("127.0.0.1:7600", "127.0.0.1:7601")
    }

    fn truncated(&self) -> &str {
        &self.valid[..self.valid.len() / 2]
    }

    /// Handles a signal before any retry is due.
    fn signal(&mut self) -> Reload {
        self.reloader.request();
        self.reloader.read(0)
    }

    /// Reads the file when a retry is due.
    fn retry(&mut self) -> Reload {
        self.reloader.read(FIRST_BACKOFF.max(MAX_BACKOFF))
    }

    fn counts(&self) -> (u64, u64) {
        let ReloadCounts { accepted, refused } = self.reloader.counts();
        (accepted, refused)
    }

    /// The result in the status file and the number of results so far.
    fn status(&self) -> (String, u64) {
        let text = std::fs::read_to_string(self.folder.path().join("status")).unwrap();
        let status: serde_json::Value = serde_json::from_str(&text).unwrap();
        let outcome = status["outcome"].as_str().unwrap().to_string();
        (outcome, status["readings"].as_u64().unwrap())
    }
}

fn read_good_file(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../config/tests/good");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

fn config_path(folder: &TempDir) -> PathBuf {
    folder.path().join("config.json")
}

/// Guards against counting one file twice: the retry of a truncated file reads the next file before its own signal
/// arrives.
#[test]
fn a_file_that_a_retry_applied_is_not_counted_again_at_its_signal() {
    let mut fixture = Fixture::platform();
    fixture.write(fixture.truncated());
    assert!(matches!(fixture.signal(), Reload::RetryAt(_)));
    assert_eq!(fixture.counts(), (0, 1));
    fixture.write(&fixture.with_max_attempts(2));
    assert!(matches!(fixture.retry(), Reload::Apply(_)));
    assert_eq!(fixture.counts(), (1, 1));
    let (_, results) = fixture.status();
    assert!(matches!(fixture.signal(), Reload::Nothing));
    assert_eq!(fixture.counts(), (1, 1));
    assert_eq!(
        fixture.status(),
        ("taken".to_string(), results + 1),
        "a sender of the signal waits for its result"
    );
}

/// Guards against counting one file twice that the retry of a truncated file refuses.
#[test]
fn a_file_that_a_retry_refused_is_counted_once() {
    let mut fixture = Fixture::sidecar();
    fixture.write(fixture.truncated());
    assert!(matches!(fixture.signal(), Reload::RetryAt(_)));
    fixture.write(&fixture.with_other_address());
    assert!(matches!(fixture.retry(), Reload::Nothing));
    assert_eq!(fixture.counts(), (0, 1));
    assert!(matches!(fixture.signal(), Reload::Nothing));
    assert_eq!(fixture.counts(), (0, 2));
    assert_eq!(fixture.status().0, "refused");
}

/// Guards against ignoring a file because an earlier one was applied by a retry, and against ignoring signals for an
/// unchanged file.
#[test]
fn each_later_file_and_signal_is_counted() {
    let mut fixture = Fixture::platform();
    assert!(matches!(fixture.signal(), Reload::Apply(_)));
    assert!(matches!(fixture.signal(), Reload::Apply(_)));
    fixture.write(fixture.truncated());
    assert!(matches!(fixture.signal(), Reload::RetryAt(_)));
    fixture.write(&fixture.with_max_attempts(2));
    assert!(matches!(fixture.retry(), Reload::Apply(_)));
    fixture.write(&fixture.with_max_attempts(1));
    assert!(matches!(fixture.signal(), Reload::Apply(_)));
    assert!(matches!(fixture.signal(), Reload::Apply(_)));
    assert_eq!(fixture.counts(), (5, 1));
}
