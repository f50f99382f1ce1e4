//! What became of the last reading of the configuration, in a file for `wrenctl reload --wait` and for scripts: a signal
//! tells nobody how it ended.

use serde_json::json;
use std::path::{Path, PathBuf};

/// How a reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing was read since the start.
    Started,
    /// All of it is enforced.
    Taken,
    /// Nothing of it is enforced.
    Refused,
    /// It could not be read, and is read again until it can be.
    Waiting,
}

impl Outcome {
    fn word(self) -> &'static str {
        match self {
            Outcome::Started => "started",
            Outcome::Taken => "taken",
            Outcome::Refused => "refused",
            Outcome::Waiting => "waiting",
        }
    }
}

/// The file, if there is to be one.
#[derive(Debug, Default)]
pub struct Status {
    path: Option<PathBuf>,
    readings: u64,
}

impl Status {
    /// Begins the file.
    ///
    /// # Errors
    ///
    /// Where it can't be written.
    pub fn begin(path: Option<PathBuf>) -> Result<Status, String> {
        let status = Status { path, readings: 0 };
        if let Some(path) = &status.path {
            let wrong = |e| format!("status: {}: {e}", path.display());
            status.write(path, Outcome::Started, "").map_err(wrong)?;
        }
        Ok(status)
    }

    /// A reading has ended so.
    pub fn say(&mut self, outcome: Outcome, why: &str) {
        self.readings += 1;
        let Some(path) = &self.path else { return };
        if let Err(e) = self.write(path, outcome, why) {
            tracing::warn!("status: {}: {e}", path.display());
        }
    }

    /// Whole or not at all: who reads it never sees half of it.
    fn write(&self, path: &Path, outcome: Outcome, why: &str) -> std::io::Result<()> {
        let (id, word) = (std::process::id(), outcome.word());
        let text = json!({"process": id, "readings": self.readings, "outcome": word, "why": why})
            .to_string();
        let mut name = path.as_os_str().to_owned();
        name.push(".new");
        let new = PathBuf::from(name);
        std::fs::write(&new, text)?;
        std::fs::rename(&new, path)
    }

    /// The process ends: what it said holds no longer.
    pub fn end(&self) {
        if let Some(path) = &self.path {
            let _ = std::fs::remove_file(path);
        }
    }
}
