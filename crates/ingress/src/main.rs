//! wrenfork, the real ingress: clients, backends, discovery and peers on sockets, round the decision module.

mod backends;
mod clients;
mod clock;
mod config;
mod discovery;
mod ingress;
mod peers;
mod reload;
mod requests;
mod room;
mod shutdown;
mod timers;

use std::io::Write;
use std::process::ExitCode;

/// Writes a line to the log. An ingress whose log cannot be written goes on.
pub fn log(text: &str) {
    let _ = writeln!(std::io::stderr(), "wrenfork: {text}");
}

fn run() -> Result<(), String> {
    let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = var("LB_CONFIG").ok_or("LB_CONFIG is not set")?;
    // From here on no signal ends the process: one that comes while it starts is taken up by the loop.
    let signals = ingress::signals()?;
    let config = config::Config::read(&path, var)?;
    ingress::Ingress::start(config, reload::Reload::new(path), signals)?.run()
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log(&message);
            ExitCode::FAILURE
        }
    }
}
