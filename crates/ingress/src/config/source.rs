//! Where an ingress is configured from, at its start and at SIGHUP.

use super::error::ConfigError;
use super::Config;
use std::path::PathBuf;

/// The files that a sidecar runs from.
pub struct SidecarFiles {
    /// The application's file.
    pub app: PathBuf,
    /// The site's file; beside the application's, under the name `site.toml`, where it is not given.
    pub site: Option<PathBuf>,
    /// A fleet snapshot, for the first endpoint list.
    pub fleet: Option<PathBuf>,
    /// The sidecar's name; not needed where the application has but one.
    pub sidecar: Option<String>,
}

/// Where an ingress is configured from.
pub enum ConfigSource {
    /// The platform's file, and what an operator adds to it.
    Platform {
        /// The platform's file.
        path: String,
        /// The operator's file.
        operator: Option<PathBuf>,
    },
    /// An operator's files.
    Sidecar(SidecarFiles),
}

impl ConfigSource {
    /// Whether a file that was refused with this error may only be half written.
    pub fn may_be_half_written(&self, error: &ConfigError) -> bool {
        // A sidecar's files have a line each for all that is wrong, which a file's early end may be the cause of.
        matches!(self, ConfigSource::Sidecar(_)) || error.is_truncated()
    }

    /// Reads it anew; `variable` looks up the environment, which overrules the platform's file alone.
    ///
    /// # Errors
    ///
    /// Where a file can't be read or is refused.
    pub fn read(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        match self {
            ConfigSource::Platform { path, operator } => {
                Config::read_platform(path, operator.as_deref(), variable)
            }
            ConfigSource::Sidecar(files) => Config::read_sidecar(files),
        }
    }
}
