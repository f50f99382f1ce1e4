//! The files from which an ingress is configured, at startup and on SIGHUP.

use super::error::ConfigError;
use super::Config;
use std::path::PathBuf;

/// The configuration files of a sidecar.
pub struct SidecarFiles {
    /// Path of the application's file.
    pub app: PathBuf,
    /// Path of the site's file; by default `site.toml` in the folder of the application's file.
    pub site: Option<PathBuf>,
    /// Path of a fleet snapshot, which gives the initial endpoint list.
    pub fleet: Option<PathBuf>,
    /// Name of the sidecar; may be omitted if the application has only one.
    pub sidecar: Option<String>,
}

/// Source of the configuration.
pub enum ConfigSource {
    /// The platform's file, optionally extended by an operator's file.
    Platform {
        /// Path of the platform's file.
        path: String,
        /// Path of the operator's file.
        operator: Option<PathBuf>,
    },
    /// The files of a sidecar.
    Sidecar(SidecarFiles),
}

impl ConfigSource {
    /// Whether the error may have been caused by a file that is still being written.
    pub fn may_be_half_written(&self, error: &ConfigError) -> bool {
        // The errors of a sidecar's files are only available as text, and a truncated file can cause any of them.
        matches!(self, ConfigSource::Sidecar(_)) || error.is_truncated()
    }

    /// Reads the files. `variable` looks up environment variables, which override only the platform's file.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or is invalid.
    pub fn read(&self, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        match self {
            ConfigSource::Platform { path, operator } => {
                Config::read_platform(path, operator.as_deref(), variable)
            }
            ConfigSource::Sidecar(files) => Config::read_sidecar(files),
        }
    }
}
