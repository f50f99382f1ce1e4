//! `wrenctl rollout`: applies a planned change to a group in stages, while the members with the new and the old state are
//! compared. The members drive the rollout; these commands start, pause, resume, stop and show it.

mod make;
mod page;
mod programs;
mod show;
mod terms;

use crate::change::{failed, history, span};
use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Subcommand)]
pub enum Verb {
    /// Shows who would get a planned change in which stage
    Plan(Begin),
    /// Begins to make a planned change in stages; the members go on with it, whoever else ends
    Start(Begin),
    /// How the rollouts of a folder's groups stand
    Status(show::Options),
    /// The same, a line a second, until they end
    Watch(show::Watching),
    /// Holds a rollout where it stands
    Pause(Change),
    /// Lets a rollout that is held go on
    Resume(Change),
    /// Takes a rollout back, step by step
    Stop(Stop),
    /// Which steps rollouts took, when, by whom and why
    History(history::Options),
}

#[derive(Args)]
pub struct Begin {
    /// The plan, as `wrenctl plan` wrote it
    #[arg(value_name = "FILE")]
    plan: PathBuf,
    /// The stages and what is asked of them
    #[arg(long, value_name = "FILE")]
    terms: PathBuf,
    /// The files of the programs that the plan changes from and to: what they speak is compared
    #[arg(long = "program", value_name = "FILE")]
    programs: Vec<PathBuf>,
    /// Does not ask whether it is meant
    #[arg(long)]
    yes: bool,
    /// How long it is tried
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    patience: Duration,
}

#[derive(Args)]
pub struct Change {
    /// The folder with the files that describe the group
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Why, for whoever looks later
    #[arg(long, value_name = "TEXT", default_value = "by hand")]
    why: String,
    /// How long it is tried
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    patience: Duration,
}

#[derive(Args)]
pub struct Stop {
    #[command(flatten)]
    change: Change,
    /// Takes all of it back in one step
    #[arg(long)]
    at_once: bool,
}

pub fn main(verb: &Verb) -> ExitCode {
    let result = match verb {
        Verb::Plan(begin) => make::begin(begin, false),
        Verb::Start(begin) => make::begin(begin, true),
        Verb::History(options) => return history::rollouts(options),
        Verb::Status(options) => show::status(options),
        Verb::Watch(options) => show::watch(options),
        Verb::Pause(change) => make::step(change, "held", &make::pause),
        Verb::Resume(change) => make::step(change, "going on", &make::resume),
        Verb::Stop(stop) => make::step(&stop.change, "stopped", &|rollout| {
            make::stop(rollout, stop.at_once, &stop.change.why)
        }),
    };
    result.unwrap_or_else(|reason| {
        if reason.is_empty() {
            ExitCode::FAILURE
        } else {
            failed(reason)
        }
    })
}
