//! Status file with the result of the last reload, for `wrenctl reload --wait` and scripts, since the sender of a signal gets no
//! result.

use crate::error::IngressError;
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};

/// Result of a reload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// No reload since the start.
    Started,
    /// The new configuration is enforced.
    Applied,
    /// The new configuration was refused; the previous one is still enforced.
    Refused,
    /// The files could not be read and are read again.
    Retrying,
}

impl ReloadOutcome {
    /// Value of `outcome` in the status file.
    fn as_str(self) -> &'static str {
        match self {
            ReloadOutcome::Started => "started",
            ReloadOutcome::Applied => "taken",
            ReloadOutcome::Refused => "refused",
            ReloadOutcome::Retrying => "waiting",
        }
    }
}

/// The status file; does nothing without a path.
#[derive(Debug, Default)]
pub struct ReloadStatusFile {
    path: Option<PathBuf>,
    /// Number of reloads since the start.
    readings: u64,
}

impl ReloadStatusFile {
    /// Creates the file if `path` is given.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
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

    /// Writes the result of a reload; `reason` is an explanation for people.
    pub fn record(&mut self, outcome: ReloadOutcome, reason: &str) {
        self.readings += 1;
        let Some(path) = &self.path else { return };
        if let Err(error) = self.write(path, outcome, reason) {
            tracing::warn!(%error, path = %path.display(), "status: cannot write the status file");
        }
    }

    /// Replaces the file atomically, so that readers never see an incomplete file.
    fn write(&self, path: &Path, outcome: ReloadOutcome, reason: &str) -> io::Result<()> {
        let content = json!({
            "process": std::process::id(),
            "readings": self.readings,
            "outcome": outcome.as_str(),
            "why": reason,
        });
        let mut new_name = path.as_os_str().to_owned();
        new_name.push(".new");
        let new = PathBuf::from(new_name);
        std::fs::write(&new, content.to_string())?;
        std::fs::rename(&new, path)
    }

    /// Removes the file when the process exits, since its content is then outdated.
    pub fn remove(&self) {
        if let Some(path) = &self.path {
            let _ = std::fs::remove_file(path);
        }
    }
}
