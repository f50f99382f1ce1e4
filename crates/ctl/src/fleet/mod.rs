//! `wrenctl fleet`: runs testbed fleets: a demo, scenarios, and a measurement of the cost of a request.

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

/// The ingress program of a run.
#[derive(Args)]
pub struct Programs {
    /// The ingress; by default the `wrenfork` beside this program
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
}

impl Programs {
    fn ingress(&self) -> PathBuf {
        self.program
            .clone()
            .unwrap_or_else(|| sibling_program("wrenfork"))
    }
}

/// Path of a program in the folder of this one.
fn sibling_program(name: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(name)
}

/// A flag that SIGINT and SIGTERM set, to end a run early with its summary.
fn stop_flag() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // A second signal exits immediately.
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
