//! The address of a node, as written in configuration files and listed by discovery.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of the path of a Unix socket, in bytes.
const MAX_PATH_BYTES: usize = 100;
/// Prefix of the text form of a Unix socket address.
const UNIX_PREFIX: &str = "unix:";

/// An address at which a node can be reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Address {
    /// An IP address and port.
    Tcp(SocketAddr),
    /// The absolute path of a Unix socket.
    Unix(Arc<str>),
}

/// Why a text is not a valid address.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AddressError {
    /// The path of a Unix socket does not start with a slash, ends with one, or contains a NUL byte.
    #[error("\"{0}\" is no absolute path of a socket")]
    NotAbsolute(String),
    /// The path of a Unix socket is longer than allowed.
    #[error("the path of a Unix socket may have at most {MAX_PATH_BYTES} bytes")]
    PathTooLong,
    /// The text has neither of the two forms.
    #[error("\"{0}\" is neither IP:PORT nor unix:PATH")]
    UnknownForm(String),
    /// The port is 0.
    #[error("\"{0}\" has no port")]
    NoPort(String),
}

impl FromStr for Address {
    type Err = AddressError;

    /// Parses `IP:PORT`, or `unix:` followed by an absolute path.
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
