//! wrenfork, the real ingress: clients, backends, discovery and peers on sockets, round the decision module. A library, so that
//! tests can build versions that are worse on purpose; the program is [`Shipped`].

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::needless_pass_by_value, clippy::too_many_lines)]

mod backends;
mod backoff;
mod clients;
mod clock;
mod config;
mod control;
mod counter;
mod discovery;
mod door;
mod eviction;
mod gate;
mod ingress;
mod ledger;
mod logging;
mod management;
mod peers;
mod reload;
mod requests;
mod room;
mod routing;
mod shutdown;
mod speaks;
mod status;
mod stream;
mod takeover;
mod tallies;
mod timers;
mod variant;

use clap::Parser;
use config::{Files, Told};
pub use speaks::speaks;
use std::path::PathBuf;
use std::process::ExitCode;
pub use takeover::Form;
pub use variant::{Shipped, Variant};
pub use wrenfork_compatibility::FormatVersions;

/// The ingress. Without arguments it runs from the platform's file, which LB_CONFIG names.
#[derive(Parser)]
#[command(name = "wrenfork", version)]
struct Arguments {
    /// Runs as the sidecar of the application in this file
    #[arg(long, value_name = "FILE")]
    app: Option<PathBuf>,
    /// The site's file; site.toml beside the application's without it
    #[arg(long, value_name = "FILE", requires = "app")]
    site: Option<PathBuf>,
    /// A fleet snapshot, for the first list of nodes
    #[arg(long, value_name = "FILE", requires = "app")]
    fleet: Option<PathBuf>,
    /// The sidecar's name, where the application has several
    #[arg(long, value_name = "NAME", requires = "app")]
    sidecar: Option<String>,
    /// What an operator adds to the platform's file: pools and routes, halls by nearness, a control socket
    #[arg(long, value_name = "FILE", conflicts_with = "app")]
    operator: Option<PathBuf>,
    /// The socket for plan and apply; the application's file says it for a sidecar
    #[arg(long, value_name = "PATH")]
    control: Option<PathBuf>,
    /// The folder for what must survive a crash; the application's file says it for a sidecar
    #[arg(long, value_name = "DIR")]
    state: Option<PathBuf>,
    /// A file that says what became of the last reading of the configuration, for `wrenctl reload`
    #[arg(long, value_name = "FILE")]
    status: Option<PathBuf>,
    /// Tells what this program reads and writes of each form that others read and write, and ends
    #[arg(long)]
    speaks: bool,
    /// The log's form
    #[arg(long, value_enum, default_value_t)]
    log: logging::Form,
    /// What is logged: what goes wrong, what happens besides, or more
    #[arg(long, value_enum, default_value_t)]
    log_level: logging::Level,
}

fn run(variant: impl Variant, arguments: Arguments) -> Result<(), String> {
    let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let Arguments {
        app,
        site,
        fleet,
        sidecar,
        operator,
        control,
        state,
        status,
        ..
    } = arguments;
    let told = match app {
        Some(app) => Told::Sidecar(Files {
            app,
            site,
            fleet,
            sidecar,
        }),
        None => Told::Platform(var("LB_CONFIG").ok_or("LB_CONFIG is not set")?, operator),
    };
    // From here on no signal ends the process: one that comes while it starts is taken up by the loop.
    let signals = ingress::signals()?;
    let mut config = told.read(var)?;
    config.control.socket = control.or(config.control.socket);
    config.control.state = state.or(config.control.state);
    let status = status::Status::begin(status.or(config.status.take()))?;
    config.passed = var("LB_PASSED_SOCKET");
    ingress::Ingress::start(variant, config, told, status, signals)?.run()
}

/// The program, as a version of it; begins to run it.
pub fn main(mut variant: impl Variant) -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.speaks {
        return match serde_json::to_string(&variant.speaks()) {
            Ok(text) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(_) => ExitCode::FAILURE,
        };
    }
    variant.begin();
    logging::start(arguments.log, arguments.log_level);
    match run(variant, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            tracing::error!("{message}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
