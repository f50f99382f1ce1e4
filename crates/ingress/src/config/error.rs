//! Configuration errors, which name the key that is wrong.

use crate::discovery::EndpointListError;
use crate::error::BoxError;
use std::io;

/// Why a configuration was refused.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file could not be read.
    #[error("LB_CONFIG: cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// An error in the content of a file.
    #[error("{path}: {source}")]
    InFile {
        /// Path of the file.
        path: String,
        /// The error itself.
        source: Box<ConfigError>,
    },
    /// The file ends in the middle of a JSON value.
    #[error("the JSON file is cut off: {0}")]
    Truncated(#[source] serde_json::Error),
    /// The file is not valid JSON.
    #[error("the file is no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A setting is unknown, missing or invalid.
    #[error("{0}")]
    Setting(#[source] BoxError),
    /// A setting that must be positive is 0.
    #[error("setting {0} must not be 0")]
    Zero(&'static str),
    /// Two classes or two plans have the same name.
    #[error("setting {list}.{index}.name: duplicate name {name}")]
    DuplicateName {
        /// Settings key of the list: `grades` for classes, `contracts` for plans.
        list: &'static str,
        /// Index of the second entry with the name.
        index: usize,
        /// The duplicate name.
        name: String,
    },
    /// An account is on a plan that does not exist.
    #[error("account {account:016x}: unknown plan {plan}")]
    UnknownPlan {
        /// Number of the account.
        account: u64,
        /// Name of the plan.
        plan: String,
    },
    /// A required key is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A required key is missing, or its value has the wrong type.
    #[error("{key} is missing or not a {expected}")]
    MissingOrNot {
        /// Path of the key.
        key: String,
        /// Expected type of the value.
        expected: &'static str,
    },
    /// A value is not a socket address.
    #[error("{key} is not an address with a port: {text}")]
    NotAnAddress {
        /// Key or environment variable.
        key: String,
        /// The invalid value.
        text: String,
    },
    /// The seed is not hexadecimal.
    #[error("seed is not a hexadecimal number: {0}")]
    Seed(String),
    /// A value is invalid.
    #[error("{key}: {source}")]
    Invalid {
        /// Key of the value.
        key: &'static str,
        /// Why the value is invalid.
        source: BoxError,
    },
    /// An entry of `listen_users` is not a user id.
    #[error("listen_users: expected a list of numeric user ids")]
    ListenUsers,
    /// The initial endpoint list in the file is invalid.
    #[error("known: {0}")]
    KnownEndpoints(#[source] EndpointListError),
    /// The number of peers differs from the number of ingresses in the settings.
    #[error("the number of addresses in peers differs from setting n_instances")]
    PeerCount,
    /// The files of a sidecar were refused; the text has a line for each problem.
    #[error("the configuration files are invalid:\n{0}")]
    SidecarFiles(String),
    /// The application's file or the site's file is of another kind.
    #[error("{0} is not an application's file, or its site file is not a site's file")]
    NotAnApplication(String),
    /// The application has several sidecars, and `--sidecar` is not given.
    #[error("the application has several sidecars: select one with --sidecar")]
    SidecarNotNamed,
}

impl ConfigError {
    /// Whether the file is truncated, as it is while it is being written.
    pub fn is_truncated(&self) -> bool {
        match self {
            ConfigError::Truncated(_) => true,
            ConfigError::InFile { source, .. } => source.is_truncated(),
            _ => false,
        }
    }

    /// Adds the path of the file that contains the error.
    pub(super) fn in_file(self, path: &str) -> ConfigError {
        ConfigError::InFile {
            path: path.to_string(),
            source: Box::new(self),
        }
    }

    /// Wraps an error of `wrenfork-config`, whose message already names the key.
    pub(super) fn setting(source: impl Into<BoxError>) -> ConfigError {
        ConfigError::Setting(source.into())
    }
}
