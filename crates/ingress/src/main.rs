//! wrenfork, the real ingress: clients, backends, discovery and peers on sockets, round the decision module.

mod backends;
mod clients;
mod clock;
mod config;
mod counter;
mod discovery;
mod ingress;
mod peers;
mod reload;
mod requests;
mod room;
mod shutdown;
mod timers;

use clap::Parser;
use config::{Files, Told};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Writes a line to the log. An ingress whose log cannot be written goes on.
pub fn log(text: &str) {
    let _ = writeln!(std::io::stderr(), "wrenfork: {text}");
}

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
}

fn run(arguments: Arguments) -> Result<(), String> {
    let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let Arguments { app, site, fleet, sidecar } = arguments;
    let told = match app {
        Some(app) => Told::Sidecar(Files { app, site, fleet, sidecar }),
        None => Told::Platform(var("LB_CONFIG").ok_or("LB_CONFIG is not set")?),
    };
    // From here on no signal ends the process: one that comes while it starts is taken up by the loop.
    let signals = ingress::signals()?;
    let config = told.read(var)?;
    ingress::Ingress::start(config, reload::Reload::new(told), signals)?.run()
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log(&message);
            ExitCode::FAILURE
        }
    }
}
