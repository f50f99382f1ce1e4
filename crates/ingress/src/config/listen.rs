//! The address on which an ingress listens for clients.

use super::error::ConfigError;
use super::json::{address, text};
use crate::error::BoxError;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use wrenfork_config::values;

/// File mode of a Unix socket if the file has none: access for its owner only.
const DEFAULT_MODE: &str = "0600";

/// The address to which clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    /// TCP address.
    Tcp(SocketAddr),
    /// Unix socket.
    Unix {
        /// Path of the socket.
        path: PathBuf,
        /// File mode of the socket.
        mode: u32,
        /// Ids of the users that may connect; if empty, the file mode decides.
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
    /// Reads the address from the platform's file. `variable`, the value of `LB_LISTEN`, overrides it.
    pub(super) fn read(json: &Value, variable: Option<String>) -> Result<Self, ConfigError> {
        if let Some(text) = variable {
            return address(&text, "LB_LISTEN").map(ListenAddress::Tcp);
        }
        let listen = text(json, "listen")?;
        match listen.strip_prefix("unix:") {
            Some(path) => Self::read_unix(json, path),
            None => address(listen, "listen").map(ListenAddress::Tcp),
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
    let user_id = |value: &Value| value.as_u64().and_then(|n| u32::try_from(n).ok());
    let users: Option<Vec<u32>> = list.iter().map(user_id).collect();
    users.ok_or(ConfigError::ListenUsers)
}
