//! `wrenctl status`: prints each member's generation, lease and pending proposal.

use super::query::{query_group, GroupView};
use crate::change::{failed, folder};
use crate::config::Format;
use crate::style;
use clap::Args;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use wrenfork_consensus::membership::MemberRole;
use wrenfork_consensus::protocol::GroupStatus;

#[derive(Args)]
pub struct Options {
    /// The folder with the files that describe the ingresses
    #[arg(value_name = "DIR")]
    folder: PathBuf,
    /// Output format, for people or for scripts
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// Describes a member's lease for the table. `as_known` is set if members without a lease serve with the last known state.
fn lease_text(status: &GroupStatus, as_known: bool) -> String {
    match (status.role, status.lease_ms) {
        (Some(MemberRole::Witness), _) => "serves nobody".into(),
        (_, Some(ms)) => format!("serves for {ms} ms more"),
        (_, None) if as_known => style::doubtful("none: serves as known"),
        (_, None) => style::bad("none: turns requests away"),
    }
}

fn print_text(name: &str, view: &GroupView, as_known: bool) {
    let head = match &view.state {
        None => "not formed yet: that requires all of its members".to_string(),
        Some(d) => {
            let (voters, enough) = (d.membership.voters().count(), d.membership.majority());
            let (version, lease) = (d.membership.version, d.membership.lease_ms);
            format!(
                "generation {}, decree {}, roster {version}: {enough} of {voters} voters decide, leases of {lease} ms",
                d.generation, d.version
            )
        }
    };
    anstream::println!("{} {head}", style::head(format!("{name}:")));
    let mut table = style::table(&[
        "member",
        "is",
        "vote",
        "generation",
        "decree",
        "lease",
        "notes",
    ]);
    let members = view
        .state
        .iter()
        .flat_map(|d| d.membership.members.iter().map(|s| s.name.as_str()));
    let mut names: Vec<&str> = members
        .chain(view.statuses.keys().map(String::as_str))
        .collect();
    names.extend(view.unreachable.keys().map(String::as_str));
    names.sort_unstable();
    names.dedup();
    for name in names {
        let member = view.state.as_ref().and_then(|d| d.membership.member(name));
        let role = match member.map(|s| s.role) {
            Some(MemberRole::Ingress) => "ingress",
            Some(MemberRole::Witness) => "witness",
            None => "no member",
        };
        let mut notes = Vec::new();
        let votes = match (member, view.statuses.get(name)) {
            (Some(member), Some(status)) if member.votes && member.replica != status.replica => {
                notes.push("another folder: wrenctl roster replace".to_string());
                style::bad("none")
            }
            (Some(member), _) if member.votes => "yes".into(),
            _ => "none".into(),
        };
        let (generation, version, lease) = match view.statuses.get(name) {
            Some(status) => {
                notes.extend(
                    status
                        .vote_withheld
                        .clone()
                        .filter(|_| member.is_some_and(|s| s.votes)),
                );
                if let Some(pending) = &status.pending {
                    notes.push(format!(
                        "a proposal is accepted and not decided: {}",
                        pending.short()
                    ));
                }
                (
                    status.generation.to_string(),
                    status.version.to_string(),
                    lease_text(status, as_known),
                )
            }
            None => {
                notes.extend(view.unreachable.get(name).cloned());
                (String::new(), String::new(), style::bad("away"))
            }
        };
        table.add_row(vec![
            name.to_string(),
            role.into(),
            votes,
            generation,
            version,
            lease,
            notes.join("; "),
        ]);
    }
    anstream::println!("{table}");
}

pub fn main(options: &Options) -> ExitCode {
    run(options).unwrap_or_else(|code| code)
}

fn run(options: &Options) -> Result<ExitCode, ExitCode> {
    let files = folder::read(&options.folder)?;
    if files.groups.is_empty() {
        return Err(failed(
            "no application here has a roster: wrenctl plan and wrenctl history show the state of its ingresses",
        ));
    }
    let (mut code, mut reports) = (ExitCode::SUCCESS, Vec::new());
    for (name, group) in &files.groups {
        let sockets = group.links("");
        let view = match query_group(&sockets) {
            Ok(view) => view,
            Err(reason) => {
                code = failed(format!("{name}: {reason}"));
                continue;
            }
        };
        if let Err(reason) = view.committed_state() {
            code = failed(format!("{name}: {reason}"));
        }
        match options.format {
            Format::Text => print_text(name, &view, group.as_known),
            Format::Json => {
                let state = view.state.as_ref().map(|d| {
                    json!({"number": d.version, "generation": d.generation, "change": d.change,
                           "digest": d.digest, "roster": d.membership})
                });
                reports.push(
                    json!({"application": name, "stands": state, "members": view.statuses, "away": view.unreachable}),
                );
            }
        }
    }
    if options.format == Format::Json {
        println!(
            "{}",
            serde_json::to_string_pretty(&reports).unwrap_or_default()
        );
    }
    Ok(code)
}
