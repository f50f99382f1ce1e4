//! Where clients find an ingress.

use super::error::ConfigError;
use super::json::{address, text};
use crate::error::BoxError;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use wrenfork_config::values;

/// Permissions of a Unix socket where the file says nothing: its owner's alone.
const DEFAULT_MODE: &str = "0600";

/// The address at which clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    /// Over TCP.
    Tcp(SocketAddr),
    /// At a Unix socket.
    Unix {
        /// The socket's path.
        path: PathBuf,
        /// Its permissions.
        mode: u32,
        /// The numbers of the users that may connect; whoever the mode lets in where none are named.
        users: Vec<u32>,
    },
}

impl fmt::Display for ListenAddress {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ListenAddress::Tcp(address) => write!(f, "{address}"),
            ListenAddress::Unix { path, .. } => write!(f, "unix:{}", path.display()),
        }
    }
}

impl ListenAddress {
    /// The address in the platform's file; `variable`, that of the environment, comes before it.
    pub(super) fn read(json: &Value, variable: Option<String>) -> Result<Self, ConfigError> {
        if let Some(text) = variable {
            return address(&text, "LB_LISTEN").map(ListenAddress::Tcp);
        }
        let place = text(json, "listen")?;
        match place.strip_prefix("unix:") {
            Some(path) => Self::read_unix(json, path),
            None => address(place, "listen").map(ListenAddress::Tcp),
        }
    }

    fn read_unix(json: &Value, path: &str) -> Result<Self, ConfigError> {
        values::path(path).map_err(|source| invalid("listen", source.into()))?;
        let mode = json.get("listen_mode").and_then(Value::as_str);
        let mode = values::mode(mode.unwrap_or(DEFAULT_MODE))
            .map_err(|source| invalid("listen_mode", source.into()))?;
        Ok(ListenAddress::Unix {
            path: path.into(),
            mode,
            users: read_users(json)?,
        })
    }
}

fn invalid(key: &'static str, source: BoxError) -> ConfigError {
    ConfigError::Invalid { key, source }
}

fn read_users(json: &Value) -> Result<Vec<u32>, ConfigError> {
    let Some(list) = json.get("listen_users").and_then(Value::as_array) else {
        return Ok(Vec::new());
    };
    let user = |value: &Value| value.as_u64().and_then(|n| u32::try_from(n).ok());
    let users: Option<Vec<u32>> = list.iter().map(user).collect();
    users.ok_or(ConfigError::ListenUsers)
}
