//! The log, on standard error: a line for what happens to the ingress, none for a request. A log that can't be written is no
//! reason to stop.

use clap::ValueEnum;
use std::io::IsTerminal;
use tracing::level_filters::LevelFilter;

/// The form of the log's lines.
#[derive(Clone, Copy, Default, ValueEnum)]
pub enum Form {
    /// For people: words, and `key=value`
    #[default]
    Text,
    /// For machines: an object a line
    Json,
}

/// What is logged.
#[derive(Clone, Copy, Default, ValueEnum)]
pub enum Level {
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

/// Starts the log.
pub fn start(form: Form, level: Level) {
    let level = match level {
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    };
    let colours = std::io::stderr().is_terminal()
        && std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty());
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_target(false)
        .with_ansi(colours)
        .with_max_level(level)
        .log_internal_errors(false);
    match form {
        Form::Text => log.init(),
        Form::Json => log.json().flatten_event(true).init(),
    }
}
