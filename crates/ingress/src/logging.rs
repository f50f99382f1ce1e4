//! The log on standard error. It has lines for events of the ingress but not for individual requests. Failures to write the log
//! are ignored.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing::level_filters::LevelFilter;

/// Format of log lines.
#[derive(Clone, Copy, Default, ValueEnum)]
pub enum LogFormat {
    /// For people: words, and `key=value`
    #[default]
    Text,
    /// For machines: an object a line
    Json,
}

/// Lowest severity that is logged.
#[derive(Clone, Copy, Default, ValueEnum)]
pub enum LogLevel {
    /// What ends or refuses something
    Error,
    /// And what goes wrong
    Warn,
    /// And what happens
    #[default]
    Info,
    /// And details
    Debug,
}

/// Initializes logging. Events before this call are not logged.
pub fn start(format: LogFormat, level: LogLevel) {
    let level = match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    };
    let colours = std::io::stderr().is_terminal()
        && std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty());
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(colours)
        .with_max_level(level)
        .log_internal_errors(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
}
