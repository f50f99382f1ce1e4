//! `wrenctl`, the operators' tool. Exit codes: 0 for good, 1 for a finding, 2 for what could not be done or read.

mod config;
mod fleet;
mod style;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(name = "wrenctl", version, about = "The operators' tool of wrenfork", propagate_version = true)]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Ingresses between stand-ins on loopback: watch one, play scenarios with faults, measure what a request costs
    #[command(subcommand)]
    Fleet(fleet::Verb),
    /// The files of sites, applications and fleets: written, checked, explained and rendered
    #[command(subcommand)]
    Config(config::Verb),
}

fn main() -> ExitCode {
    match Cli::parse().verb {
        Verb::Fleet(verb) => fleet::main(verb),
        Verb::Config(verb) => config::main(verb),
    }
}
