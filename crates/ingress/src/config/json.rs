//! Values of the platform's JSON file by their keys.

use super::error::ConfigError;
use serde_json::Value;
use std::net::SocketAddr;

/// Parses an address; `key` is where it stands.
pub(super) fn address(text: &str, key: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NotAnAddress {
        key: key.to_string(),
        text: text.to_string(),
    })
}

/// The text under a key.
pub(super) fn text<'a>(object: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let found = object.get(key).and_then(Value::as_str);
    found.ok_or_else(|| ConfigError::MissingOrNot {
        key: key.to_string(),
        expected: "text",
    })
}

/// The whole number above 0 under a key of an object under a key.
pub(super) fn positive(object: &Value, outer: &str, key: &str) -> Result<usize, ConfigError> {
    let number = object
        .get(outer)
        .and_then(|inner| inner.get(key))
        .and_then(Value::as_u64);
    let number = number.and_then(|n| usize::try_from(n).ok());
    number
        .filter(|n| *n > 0)
        .ok_or_else(|| ConfigError::MissingOrNot {
            key: format!("{outer}.{key}"),
            expected: "whole number above 0",
        })
}
