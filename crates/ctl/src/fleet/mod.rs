//! `wrenctl fleet`: what the rig of `wrenfork-testbed` can do, for people and scripts.

mod cost;
mod demo;
mod run;

use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

#[derive(Subcommand)]
pub enum Verb {
    /// Two ingresses, six backends and their clients for a while; a backend and an ingress die and come back
    Demo(demo::Options),
    /// Play scenarios and judge them: exit 0 if all rules held, 1 if one was broken, 2 if a file or the rig is at fault
    Run(run::Options),
    /// Processor time a request of the ingress beside a bare relay, and how it grows
    Cost(cost::Options),
}

/// The programs to be played with.
#[derive(Args)]
pub struct Programs {
    /// The ingress; by default the `wrenfork` beside this program
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

impl Programs {
    fn ingress(&self) -> PathBuf {
        self.program.clone().unwrap_or_else(|| beside("wrenfork"))
    }
}

/// A program that was built together with this one.
fn beside(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(name)
}

/// Ctrl-C and SIGTERM end a run early, with its summary.
fn stop_flag() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // A second one ends the program at once.
        let _ = signal_hook::flag::register_conditional_shutdown(signal, 130, stop.clone());
        let _ = signal_hook::flag::register(signal, stop.clone());
    }
    stop
}

pub fn main(verb: Verb) -> ExitCode {
    match verb {
        Verb::Demo(options) => demo::main(&options),
        Verb::Run(options) => run::main(&options),
        Verb::Cost(options) => cost::main(&options),
    }
}
