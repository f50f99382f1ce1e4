//! Typed access to values of the platform's JSON file.

use super::error::ConfigError;
use serde_json::Value;
use std::net::SocketAddr;

/// Parses an address; `key` is the key or environment variable that errors name.
pub(super) fn address(text: &str, key: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NotAnAddress {
        key: key.to_string(),
        text: text.to_string(),
    })
}

/// Returns the string value of a key.
pub(super) fn text<'a>(object: &'a Value, key: &str) -> Result<&'a str, ConfigError> {
    let value = object.get(key).and_then(Value::as_str);
    value.ok_or_else(|| ConfigError::MissingOrNot {
        key: key.to_string(),
        expected: "string",
    })
}

/// Returns the positive integer at `outer.key`.
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
            expected: "positive integer",
        })
}
