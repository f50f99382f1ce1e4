//! `wrenctl rollback`: returns to an earlier generation by a new change.

use super::{apply, author, failed, folder, micros, plan, show, span};
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use wrenfork_commit::plan::PlanHeader;

#[derive(Args)]
pub struct Options {
    /// The number of the generation to go back to; wrenctl history tells them
    #[arg(value_name = "GENERATION")]
    generation: u64,
    /// The folder with the files that describe the ingresses
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Writes the plan instead of making the change
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Does not ask whether it is meant
    #[arg(long)]
    yes: bool,
    /// Who does this
    #[arg(long, value_name = "NAME")]
    author: Option<String>,
    /// How long ingresses that do not answer are asked again
    #[arg(long, value_name = "TIME", default_value = "30s", value_parser = span)]
    patience: Duration,
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|code| code)
}

fn run(options: &Options) -> Result<ExitCode, ExitCode> {
    let ingresses = plan::query_ingresses(folder::read(&options.folder)?)?;
    let in_group = |name: &str| ingresses.groups.iter().any(|g| g.contains_key(name));
    let wanted = folder::past_states(
        ingresses.planned,
        &ingresses.has,
        &ingresses.unreachable,
        in_group,
        |_| options.generation,
    )?;
    let author = author(options.author.as_deref());
    let header = PlanHeader {
        author: author.clone(),
        made_at: micros(),
        valid_for: 3_600,
    };
    let Some(plan) = plan::make(header, wanted, ingresses.has, ingresses.groups)? else {
        println!(
            "nothing to do: generation {} is what is enforced",
            options.generation
        );
        return Ok(ExitCode::SUCCESS);
    };
    show::text(&plan);
    show::away(&ingresses.unreachable);
    if let Some(out) = &options.out {
        plan::write(&plan, out).map_err(failed)?;
        println!("written to {}", out.display());
        return Ok(ExitCode::SUCCESS);
    }
    apply::confirm(options.yes).map_err(failed)?;
    plan::append_records(
        &plan,
        &ingresses.unreachable,
        "rollback",
        &author,
        &format!("back to generation {}", options.generation),
    );
    Ok(apply::apply(&plan, options.patience))
}
