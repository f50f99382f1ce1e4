//! The address of a node, as it is written in files and as discovery lists it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// The longest path of a Unix socket, in bytes.
const MAX_PATH_BYTES: usize = 100;
/// What the text of a Unix socket's address begins with.
const UNIX_PREFIX: &str = "unix:";

/// Where a node can be reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Address {
    /// An IP address and port.
    Tcp(SocketAddr),
    /// The path of a Unix socket.
    Unix(Arc<str>),
}

/// Why a text is no address.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// The path of a socket does not begin with a slash, ends with one, or has a NUL byte.
    #[error("\"{0}\" is no absolute path of a socket")]
    NotAbsolute(String),
    /// The path of a socket is too long.
    #[error("a socket's path has {MAX_PATH_BYTES} bytes at most")]
    PathTooLong,
    /// It is of neither form.
    #[error("\"{0}\" is neither IP:PORT nor unix:PATH")]
    UnknownForm(String),
    /// The port is 0.
    #[error("\"{0}\" has no port")]
    NoPort(String),
}

impl FromStr for Address {
    type Err = AddressError;

    /// Reads `IP:PORT` or `unix:` and an absolute path.
    fn from_str(text: &str) -> Result<Address, AddressError> {
        match text.strip_prefix(UNIX_PREFIX) {
            Some(path) => unix_address(path),
            None => tcp_address(text),
        }
    }
}

fn unix_address(path: &str) -> Result<Address, AddressError> {
    if !path.starts_with('/') || path.ends_with('/') || path.contains('\0') {
        return Err(AddressError::NotAbsolute(path.into()));
    }
    if path.len() > MAX_PATH_BYTES {
        return Err(AddressError::PathTooLong);
    }
    Ok(Address::Unix(path.into()))
}

fn tcp_address(text: &str) -> Result<Address, AddressError> {
    let address: SocketAddr = text
        .parse()
        .map_err(|_| AddressError::UnknownForm(text.into()))?;
    if address.port() == 0 {
        return Err(AddressError::NoPort(text.into()));
    }
    Ok(Address::Tcp(address))
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Address::Tcp(address) => write!(f, "{address}"),
            Address::Unix(path) => write!(f, "{UNIX_PREFIX}{path}"),
        }
    }
}
