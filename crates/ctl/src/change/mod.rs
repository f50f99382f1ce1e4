//! Changes of what ingresses enforce: planned, seen, applied whole or not at all. Exit codes, as people know them:
//! `plan` 0 for nothing to do, 2 for changes, 1 for what is wrong; `apply` and `rollback` 0 for made, 1 for refused or given
//! up (nothing has changed then), 3 for begun and not ended (`apply --resume` ends it).

pub mod apply;
pub mod drive;
pub mod folder;
pub mod history;
pub mod plan;
pub mod rollback;
mod show;

use crate::style;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A change that was begun and not ended.
pub const UNFINISHED: u8 = 3;
/// There is something to do.
const CHANGES: u8 = 2;

pub fn failed(why: impl std::fmt::Display) -> ExitCode {
    anstream::eprintln!("{} {why}", style::bad("error:"));
    ExitCode::FAILURE
}

/// The time, in microseconds of Unix time. It is also what tells one applier, and one plan, from another.
pub fn micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// A span of time, in the words of the files.
pub fn span(text: &str) -> Result<Duration, String> {
    wrenfork_config::values::time(text).map(Duration::from_micros)
}

/// Who does this, unless it is said.
pub fn author(said: Option<&str>) -> String {
    let told = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    said.map(String::from)
        .or_else(|| told("USER"))
        .or_else(|| told("LOGNAME"))
        .unwrap_or("unknown".into())
}
