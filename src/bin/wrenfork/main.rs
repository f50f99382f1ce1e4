//! wrenfork, the real ingress: clients, backends, discovery and peers on sockets, round the decision module.

mod backends;
mod call;
mod clients;
mod config;
mod discovery;
mod ingress;
mod peers;
mod resp;

use std::io::Write;
use std::process::ExitCode;

/// Writes a line to the log. An ingress whose log cannot be written goes on.
pub fn log(text: &str) {
    let _ = writeln!(std::io::stderr(), "wrenfork: {text}");
}

fn run() -> Result<(), String> {
    let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = var("LB_CONFIG").ok_or("LB_CONFIG is not set")?;
    let file = std::fs::read_to_string(&path).map_err(|e| format!("LB_CONFIG: cannot read {path}: {e}"))?;
    let config = config::Config::parse(&file, var).map_err(|e| format!("{path}: {e}"))?;
    ingress::Ingress::start(config)?.run()
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
