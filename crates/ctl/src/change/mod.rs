//! Changes of the state that ingresses enforce: planned, reviewed, and applied at all ingresses or at none. Exit codes:
//! `plan` 0 without changes, 2 with changes, 1 on an error; `apply` and `rollback` 0 if applied, 1 if refused or aborted
//! (nothing has changed then), 3 if started and not finished (`apply --resume` finishes it).

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

/// Exit code if a change was started and not finished.
pub const UNFINISHED: u8 = 3;
/// Exit code of `plan` if there are changes.
const CHANGES: u8 = 2;

/// Prints an error and returns the exit code for it.
pub fn failed(error: impl std::fmt::Display) -> ExitCode {
    anstream::eprintln!("{} {error}", style::bad("error:"));
    ExitCode::FAILURE
}

/// Microseconds since the Unix epoch. Also serves as the id of a coordinator and distinguishes plans.
pub fn micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Parses a duration as written in the configuration files, such as `30s`.
pub fn span(text: &str) -> Result<Duration, String> {
    wrenfork_config::values::time(text).map(Duration::from_micros)
}

/// The author of a change: the given name, else `$USER`, else `$LOGNAME`, else "unknown".
pub fn author(given: Option<&str>) -> String {
    let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    given
        .map(String::from)
        .or_else(|| variable("USER"))
        .or_else(|| variable("LOGNAME"))
        .unwrap_or("unknown".into())
}
