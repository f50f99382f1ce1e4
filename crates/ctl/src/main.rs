//! `wrenctl`, the operators' command line. Exit codes: 0 for success, 1 if a check finds a problem, 2 on an error;
//! `plan`, `apply` and `rollback` have their own, see [`change`].

// Not done yet, see docs/ROADMAP.md.
#![allow(clippy::needless_pass_by_value, clippy::too_many_lines)]

mod change;
mod config;
mod fleet;
mod group;
mod keys;
mod reload;
mod rollout;
mod route;
mod style;
mod tend;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "wrenctl",
    version,
    about = "The operators' tool of wrenfork",
    propagate_version = true
)]
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
    /// Where requests go by an application's pools and routes
    #[command(subcommand)]
    Route(route::Verb),
    /// Shows what the files of a folder would change at its ingresses, and writes that as a plan
    Plan(change::plan::Options),
    /// Makes a planned change at every ingress or at none, or ends one that was cut off
    Apply(change::apply::Options),
    /// Goes back to what was enforced under a number before, as a new change
    Rollback(change::rollback::Options),
    /// Keys that sign tokens: made, used, and where each stands
    #[command(subcommand)]
    Keys(keys::Verb),
    /// Has an ingress read its files again, and tells whether it took them
    Reload(reload::Options),
    /// How the groups of a folder's files stand: who is there, whose lease ends when, what is pending
    Status(group::status::Options),
    /// Who belongs to a group that decides changes by a majority
    #[command(subcommand)]
    Roster(group::roster::Verb),
    /// A planned change that goes through a group in stages, judged while old and new serve side by side
    #[command(subcommand)]
    Rollout(rollout::Verb),
    /// Runs a member of a group that keeps promises and serves nobody
    Witness(group::witness::Options),
    /// Keeps an ingress's process on a machine without the platform: starts, restarts and changes its program
    Tend(tend::Options),
    /// Tells who planned, applied and rolled back what
    History(change::history::Options),
}

fn main() -> ExitCode {
    match Cli::parse().verb {
        Verb::Fleet(verb) => fleet::main(verb),
        Verb::Config(verb) => config::main(verb),
        Verb::Route(verb) => route::main(verb),
        Verb::Plan(options) => change::plan::main(&options),
        Verb::Apply(options) => change::apply::main(&options),
        Verb::Rollback(options) => change::rollback::main(&options),
        Verb::Keys(verb) => keys::main(verb),
        Verb::Reload(options) => reload::main(&options),
        Verb::Status(options) => group::status::main(&options),
        Verb::Roster(verb) => group::roster::main(&verb),
        Verb::Rollout(verb) => rollout::main(&verb),
        Verb::Witness(options) => group::witness::main(&options),
        Verb::Tend(options) => tend::main(&options),
        Verb::History(options) => change::history::main(&options),
    }
}
