//! wrenfork, the ingress: an event loop that connects clients, backends, discovery and peers to the decision module. It is a
//! library so that tests can build versions that are faulty on purpose; the released program runs [`Shipped`].

mod admission;
mod arguments;
mod authenticator;
mod backend;
mod client;
mod clock;
mod cohort_metrics;
mod config;
mod control;
mod counter;
mod descriptor_budget;
mod discovery;
mod error;
mod format_versions;
mod ingress;
mod logging;
mod management;
mod peers;
mod reload;
mod reload_status;
mod request_metrics;
mod requests;
mod routing;
mod shutdown;
mod stream;
mod takeover;
mod timers;
mod variant;

#[cfg(test)]
mod tests;

pub use format_versions::format_versions;
pub use takeover::{ExtensionError, HandoverFormat};
pub use variant::{Shipped, Variant};
pub use wrenfork_compatibility::FormatVersions;

use arguments::Arguments;
use clap::Parser;
use error::IngressError;
use ingress::{receive_signals, IngressBuilder};
use reload_status::ReloadStatusFile;
use std::process::ExitCode;

/// Runs a version of the program with the command-line arguments of this process, until a signal stops it or an error occurs.
pub fn main(mut variant: impl Variant) -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.speaks {
        return print_format_versions(&variant);
    }
    variant.start();
    logging::start(arguments.log, arguments.log_level);
    match run(variant, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn print_format_versions(variant: &impl Variant) -> ExitCode {
    match serde_json::to_string(&variant.format_versions()) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(_) => ExitCode::FAILURE,
    }
}

fn run(variant: impl Variant, mut arguments: Arguments) -> Result<(), IngressError> {
    let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let source = arguments.config_source(variable)?;
    // From here on signals no longer terminate the process: those that arrive during the start are handled by the event loop.
    let signals = receive_signals()?;
    let mut config = source.read(variable)?;
    config.control.socket = arguments.control.or(config.control.socket);
    config.control.state = arguments.state.or(config.control.state);
    let status = ReloadStatusFile::create(arguments.status.or(config.status_file.take()))?;
    config.inherited_listener = variable("LB_PASSED_SOCKET");
    IngressBuilder::new(variant, config, signals)?
        .build(source, status)?
        .run()
}
