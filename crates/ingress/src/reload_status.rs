//! What became of the last reading of the configuration, in a file for `wrenctl reload --wait` and for scripts: a signal
//! tells nobody how it ended.

use crate::error::IngressError;
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};

/// How a reading ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// Nothing was read since the start.
    Started,
    /// All of it is enforced.
    Applied,
    /// Nothing of it is enforced.
    Refused,
    /// It could not be read, and is read again until it can be.
    Retrying,
}

impl ReloadOutcome {
    /// The word for it in the file.
    fn as_str(self) -> &'static str {
        match self {
            ReloadOutcome::Started => "started",
            ReloadOutcome::Applied => "taken",
            ReloadOutcome::Refused => "refused",
            ReloadOutcome::Retrying => "waiting",
        }
    }
}

/// The status file, if there is to be one.
#[derive(Debug, Default)]
pub struct ReloadStatusFile {
    path: Option<PathBuf>,
    /// How often the configuration was read since the start.
    readings: u64,
}

impl ReloadStatusFile {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// Where it can't be written.
    pub fn create(path: Option<PathBuf>) -> Result<ReloadStatusFile, IngressError> {
        let status = ReloadStatusFile { path, readings: 0 };
        if let Some(path) = &status.path {
            let written = status.write(path, ReloadOutcome::Started, "");
            written.map_err(|source| IngressError::StatusFile {
                path: path.display().to_string(),
                source,
            })?;
        }
        Ok(status)
    }

    /// Writes how a reading has ended; `why` is for people.
    pub fn record(&mut self, outcome: ReloadOutcome, why: &str) {
        self.readings += 1;
        let Some(path) = &self.path else { return };
        if let Err(error) = self.write(path, outcome, why) {
            tracing::warn!(%error, path = %path.display(), "status: cannot be written");
        }
    }

    /// Replaces the file in one step: who reads it never sees half of it.
    fn write(&self, path: &Path, outcome: ReloadOutcome, why: &str) -> io::Result<()> {
        let content = json!({
            "process": std::process::id(),
            "readings": self.readings,
            "outcome": outcome.as_str(),
            "why": why,
        });
        let mut new_name = path.as_os_str().to_owned();
        new_name.push(".new");
        let new = PathBuf::from(new_name);
        std::fs::write(&new, content.to_string())?;
        std::fs::rename(&new, path)
    }

    /// Removes the file: the process ends, and what it says holds no longer.
    pub fn remove(&self) {
        if let Some(path) = &self.path {
            let _ = std::fs::remove_file(path);
        }
    }
}
