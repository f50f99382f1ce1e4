//! `wrenctl config new`: writes the file of a new application.

use super::{failed, print};
use crate::style;
use anstream::{eprint, println};
use clap::Args;
use std::fs::OpenOptions;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;
use wrenfork_config::template::{application, TemplateValues};
use wrenfork_config::values;

#[derive(Args)]
pub struct Options {
    /// The application's name
    app: String,
    /// The site's file
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// A class that it may send; all of the site's without one
    #[arg(long = "send", value_name = "CLASS")]
    sends: Vec<String>,
    /// An account and its plan, such as 00000000000004d2:business
    #[arg(long = "account", value_name = "ID:PLAN")]
    accounts: Vec<String>,
    /// Where the sidecar listens
    #[arg(long, value_name = "ADDRESS")]
    listen: Option<String>,
    /// Where it asks for nodes
    #[arg(long, value_name = "IP:PORT")]
    discovery: Option<String>,
    /// Where to write; APP.toml without it. A file that is there is not replaced
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// Asks for the value of a flag that was not given. Without a terminal, returns the default, or an error if there is none.
fn ask(flag: &str, question: &str, default: Option<&str>) -> Result<String, String> {
    if !std::io::stdin().is_terminal() {
        return match default {
            Some(d) => Ok(d.into()),
            None => Err(format!(
                "{flag} is required, as standard input is no terminal"
            )),
        };
    }
    let hint = default.map_or(String::new(), |d| format!(" [{d}]"));
    eprint!("{}{hint}: ", style::head(question));
    let _ = std::io::stderr().flush();
    let mut line = String::new();
    std::io::stdin()
        .read_line(&mut line)
        .map_err(|e| e.to_string())?;
    match (line.trim(), default) {
        ("", Some(d)) => Ok(d.into()),
        ("", None) => Err(format!("{flag} is required")),
        (answer, _) => Ok(answer.into()),
    }
}

fn parse_account(text: &str) -> Result<(u64, String), String> {
    let (id, plan) = text
        .split_once(':')
        .ok_or_else(|| format!("{text}: an account must be given as ID:PLAN"))?;
    Ok((values::account(id)?, plan.to_string()))
}

fn write(options: &Options) -> Result<ExitCode, String> {
    let site_path = match &options.site {
        Some(path) => path.clone(),
        None => ask("--site", "The site's file", None)?.into(),
    };
    let site_source = Source::read(&site_path, 0).map_err(|d| d.message)?;
    let set = Set::from_sources([site_source.clone()]);
    let site = match set.site() {
        Some(site) if !set.refused() => site.content,
        Some(_) => return Ok(print::text(&set)),
        None if set.found.is_empty() => {
            return Err(format!("{} is not a site file", site_path.display()))
        }
        None => return Ok(print::text(&set)),
    };
    let classes: Vec<String> = site.classes.iter().map(|c| c.name.value.clone()).collect();
    let mut accounts = options.accounts.clone();
    if accounts.is_empty() {
        let id = ask("--account", "An account's number, 16 hex digits", None)?;
        let first = site.plans.first().map_or("", |p| p.name.value.as_str());
        let plans: Vec<&str> = site.plans.iter().map(|p| p.name.value.as_str()).collect();
        // The answer may already include the plan, as ID:PLAN.
        accounts.push(match id.contains(':') {
            true => id,
            false => format!(
                "{id}:{}",
                ask(
                    "--account",
                    &format!("Its plan ({})", plans.join(", ")),
                    Some(first)
                )?
            ),
        });
    }
    let flag_or_ask = |flag: &Option<String>, name: &str, question: &str, default: &str| match flag
    {
        Some(text) => Ok(text.clone()),
        None => ask(name, question, Some(default)),
    };
    let wishes = TemplateValues {
        name: options.app.clone(),
        site: site
            .name
            .as_ref()
            .map_or(String::new(), |n| n.value.clone()),
        sends: if options.sends.is_empty() {
            classes
        } else {
            options.sends.clone()
        },
        accounts: accounts
            .iter()
            .map(|a| parse_account(a))
            .collect::<Result<_, _>>()?,
        listen: flag_or_ask(
            &options.listen,
            "--listen",
            "Where the sidecar listens",
            "127.0.0.1:7600",
        )?,
        discovery: flag_or_ask(
            &options.discovery,
            "--discovery",
            "Where it asks for nodes",
            "127.0.0.1:8500",
        )?,
    };
    let text = application(&wishes)?;
    let out = options
        .out
        .clone()
        .unwrap_or_else(|| format!("{}.toml", options.app).into());
    // Check the new file before it is written.
    let set = Set::from_sources([
        site_source,
        Source::new(out.display().to_string(), text.clone()),
    ]);
    if set.refused() {
        return Ok(print::text(&set));
    }
    let file = OpenOptions::new().write(true).create_new(true).open(&out);
    let written = file.and_then(|mut f| f.write_all(text.as_bytes()));
    written.map_err(|e| format!("{}: {e}", out.display()))?;
    println!("{} {}", style::good("written:"), out.display());
    Ok(ExitCode::SUCCESS)
}

pub fn main(options: &Options) -> ExitCode {
    write(options).unwrap_or_else(failed)
}
