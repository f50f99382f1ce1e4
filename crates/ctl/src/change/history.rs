//! `wrenctl history`: prints the change records of the ingresses.

use super::{drive, failed, folder};
use crate::config::Format;
use crate::style;
use clap::Args;
use serde_json::json;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, UNIX_EPOCH};
use wrenfork_commit::protocol::{AuditRecord, CommitRequest, CommitResponse};
use wrenfork_control_plane::ROLLOUT_RECORD;

#[derive(Args)]
pub struct Options {
    /// The folder with the files that describe the ingresses
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Records of each ingress, the last ones
    #[arg(long, value_name = "N", default_value_t = 20)]
    most: usize,
    /// Output format, for people or for scripts
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

pub fn main(options: &Options) -> ExitCode {
    run(options, false).unwrap_or_else(|code| code)
}

/// Prints the records of rollout steps only. A step that several members recorded is shown once, with the oldest record.
pub fn rollouts(options: &Options) -> ExitCode {
    run(options, true).unwrap_or_else(|code| code)
}

fn run(options: &Options, rollouts: bool) -> Result<ExitCode, ExitCode> {
    let files = folder::read(&options.folder)?;
    let ingresses = &files.ingresses;
    let requests = ingresses.iter().map(|i| {
        (
            i.control.clone(),
            CommitRequest::History {
                limit: options.most,
            },
        )
    });
    let answers = drive::request_all(requests.collect(), Duration::from_secs(5));
    let (mut rows, mut code): (Vec<(String, AuditRecord)>, _) = (Vec::new(), ExitCode::SUCCESS);
    for (ingress, answer) in ingresses.iter().zip(answers) {
        match answer {
            // The other members of the group have the records of its changes.
            Err(reason) if files.group_of(&ingress.name).is_some() => {
                anstream::eprintln!("{} {}: {reason}", style::doubtful("away:"), ingress.name);
            }
            Ok(CommitResponse::Records { records }) => {
                rows.extend(records.into_iter().map(|r| (ingress.name.clone(), r)))
            }
            Ok(CommitResponse::Rejected { reason }) | Err(reason) => {
                code = failed(format!("{}: {reason}", ingress.name))
            }
            Ok(_) => code = failed(format!("{}: unexpected response", ingress.name)),
        }
    }
    rows.sort_by_key(|(_, r)| r.at);
    if rollouts {
        let mut seen = BTreeSet::new();
        rows.retain(|(_, r)| r.event.starts_with(ROLLOUT_RECORD));
        rows.retain(|(_, r)| seen.insert((r.change.clone(), r.event.clone(), r.detail.clone())));
    }
    match options.format {
        Format::Json => {
            let rows: Vec<_> = rows
                .iter()
                .map(|(name, r)| json!({"ingress": name, "record": r}))
                .collect();
            println!(
                "{}",
                serde_json::to_string_pretty(&rows).unwrap_or_default()
            );
        }
        Format::Text => {
            let mut table = style::table(&[
                "when",
                "ingress",
                "what",
                "generation",
                "change",
                "who",
                "why",
            ]);
            for (name, r) in &rows {
                let when =
                    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_secs(r.at))
                        .to_string();
                let what = match r.event.as_str() {
                    "made" => style::good(&r.event),
                    "refused" | "given up" => style::bad(&r.event),
                    other => other.to_string(),
                };
                let generation = if r.generation == 0 {
                    String::new()
                } else {
                    r.generation.to_string()
                };
                let cells = [
                    when,
                    name.clone(),
                    what,
                    generation,
                    r.change.short().into(),
                    r.author.clone(),
                    r.detail.clone(),
                ];
                table.add_row(cells.to_vec());
            }
            anstream::println!("{table}");
        }
    }
    Ok(code)
}
