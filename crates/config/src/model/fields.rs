//! Defaults of optional keys.

use crate::reader::At;

/// The value, or `default` if the key is missing. [`crate::form`] documents the same default as text.
pub(super) fn value_or<T>(value: Option<At<T>>, default: T) -> T {
    value.map_or(default, |at| at.value)
}
