//! Errors of the configuration, each with the key that is wrong.

use crate::discovery::EndpointListError;
use crate::error::BoxError;
use std::io;

/// Why a configuration is refused.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file can't be read.
    #[error("LB_CONFIG: cannot read {path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The system's reason.
        source: io::Error,
    },
    /// Something in a file is wrong.
    #[error("{path}: {source}")]
    InFile {
        /// The file.
        path: String,
        /// What is wrong in it.
        source: Box<ConfigError>,
    },
    /// The file ends before its time.
    #[error("the file is no JSON, it is cut off: {0}")]
    Truncated(#[source] serde_json::Error),
    /// The file is not in its format.
    #[error("the file is no JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// A setting is unknown, missing or invalid.
    #[error("{0}")]
    Setting(#[source] BoxError),
    /// A setting that must not be 0.
    #[error("setting {0} is 0")]
    Zero(&'static str),
    /// Two classes or two plans have one name.
    #[error("setting {list}.{index}.name is there twice: {name}")]
    DuplicateName {
        /// The list of settings.
        list: &'static str,
        /// The index of the second one.
        index: usize,
        /// The name.
        name: String,
    },
    /// An account is on a plan that does not exist.
    #[error("account {account:016x} is on plan {plan}, which there is not")]
    UnknownPlan {
        /// The account.
        account: u64,
        /// The plan's name.
        plan: String,
    },
    /// A key is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// A key is missing, or its value is of another type.
    #[error("{key} is missing or no {expected}")]
    MissingOrNot {
        /// The key.
        key: String,
        /// What its value should be.
        expected: &'static str,
    },
    /// A value is no address.
    #[error("{key} is no address and port: {text}")]
    NotAnAddress {
        /// The key or the environment variable.
        key: String,
        /// The value.
        text: String,
    },
    /// The seed is not hexadecimal.
    #[error("seed is no hex number: {0}")]
    Seed(String),
    /// A value is invalid.
    #[error("{key}: {source}")]
    Invalid {
        /// The key.
        key: &'static str,
        /// Why it is.
        source: BoxError,
    },
    /// The users that may connect are no numbers.
    #[error("listen_users: not numbers of users")]
    ListenUsers,
    /// The endpoint list of the file is invalid.
    #[error("known: {0}")]
    KnownEndpoints(#[source] EndpointListError),
    /// The peers are not as many as the settings say.
    #[error("peers does not have one address for each of setting n_instances")]
    PeerCount,
    /// The files of a sidecar are refused, with a line for each finding.
    #[error("refused:\n{0}")]
    SidecarFiles(String),
    /// A file is no application's.
    #[error("{0} is no application's file, or its site's is none")]
    NotAnApplication(String),
    /// The application has several sidecars, and none is named.
    #[error("the application has several sidecars: name one with --sidecar")]
    SidecarNotNamed,
}

impl ConfigError {
    /// Whether the file ends before its time: it may be written at this moment.
    pub fn is_truncated(&self) -> bool {
        match self {
            ConfigError::Truncated(_) => true,
            ConfigError::InFile { source, .. } => source.is_truncated(),
            _ => false,
        }
    }

    /// With the file that it is in.
    pub(super) fn in_file(self, path: &str) -> ConfigError {
        ConfigError::InFile {
            path: path.to_string(),
            source: Box::new(self),
        }
    }

    /// An error of `wrenfork-config`, which names the key itself.
    pub(super) fn setting(source: impl Into<BoxError>) -> ConfigError {
        ConfigError::Setting(source.into())
    }
}
