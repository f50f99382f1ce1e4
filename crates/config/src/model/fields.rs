//! Values that may be left out.

use crate::reader::At;

/// The default of a key, which [`crate::form`] shows to people in the same words.
pub(super) fn or<T>(value: Option<At<T>>, default: T) -> T {
    value.map_or(default, |at| at.value)
}
