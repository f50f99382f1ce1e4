//! `wrenctl status`: who stands where, whose lease ends when, what is pending.

use super::look::{look, Look};
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
    /// For people or for scripts
    #[arg(long, value_enum, default_value_t)]
    format: Format,
}

/// What a member's lease allows it, in words.
fn lease(stand: &GroupStatus, as_known: bool) -> String {
    match (stand.role, stand.lease_ms) {
        (Some(MemberRole::Witness), _) => "serves nobody".into(),
        (_, Some(ms)) => format!("serves for {ms} ms more"),
        (_, None) if as_known => style::doubtful("none: serves as known"),
        (_, None) => style::bad("none: turns requests away"),
    }
}

fn text(name: &str, seen: &Look, as_known: bool) {
    let head = match &seen.decree {
        None => "not formed yet: that takes all of its members".to_string(),
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
    let seats = seen
        .decree
        .iter()
        .flat_map(|d| d.membership.members.iter().map(|s| s.name.as_str()));
    let mut names: Vec<&str> = seats
        .chain(seen.stands.keys().map(String::as_str))
        .collect();
    names.extend(seen.away.keys().map(String::as_str));
    names.sort_unstable();
    names.dedup();
    for name in names {
        let seat = seen.decree.as_ref().and_then(|d| d.membership.member(name));
        let is = match seat.map(|s| s.role) {
            Some(MemberRole::Ingress) => "ingress",
            Some(MemberRole::Witness) => "witness",
            None => "no member",
        };
        let mut notes = Vec::new();
        let votes = match (seat, seen.stands.get(name)) {
            (Some(seat), Some(stand)) if seat.votes && seat.replica != stand.replica => {
                notes.push("another folder: wrenctl roster replace".to_string());
                style::bad("none")
            }
            (Some(seat), _) if seat.votes => "yes".into(),
            _ => "none".into(),
        };
        let (generation, number, lease) = match seen.stands.get(name) {
            Some(stand) => {
                notes.extend(
                    stand
                        .vote_withheld
                        .clone()
                        .filter(|_| seat.is_some_and(|s| s.votes)),
                );
                if let Some(pending) = &stand.pending {
                    notes.push(format!(
                        "a decree is taken up and not decided: {}",
                        pending.short()
                    ));
                }
                (
                    stand.generation.to_string(),
                    stand.version.to_string(),
                    lease(stand, as_known),
                )
            }
            None => {
                notes.extend(seen.away.get(name).cloned());
                (String::new(), String::new(), style::bad("away"))
            }
        };
        table.add_row(vec![
            name.to_string(),
            is.into(),
            votes,
            generation,
            number,
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
            "no application here has a roster: wrenctl plan and wrenctl history tell how its ingresses stand",
        ));
    }
    let (mut code, mut all) = (ExitCode::SUCCESS, Vec::new());
    for (name, group) in &files.groups {
        let at = group.links("");
        let seen = match look(&at) {
            Ok(seen) => seen,
            Err(why) => {
                code = failed(format!("{name}: {why}"));
                continue;
            }
        };
        if let Err(why) = seen.known() {
            code = failed(format!("{name}: {why}"));
        }
        match options.format {
            Format::Text => text(name, &seen, group.as_known),
            Format::Json => {
                let stands = seen.decree.as_ref().map(|d| {
                    json!({"number": d.version, "generation": d.generation, "change": d.change,
                           "digest": d.digest, "roster": d.membership})
                });
                all.push(
                    json!({"application": name, "stands": stands, "members": seen.stands, "away": seen.away}),
                );
            }
        }
    }
    if options.format == Format::Json {
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    }
    Ok(code)
}
