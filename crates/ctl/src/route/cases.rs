//! Operators' own expectations of their routes, as a file that their CI holds against the files of a site:
//!
//! ```toml
//! [[case]]
//! name = "desk's quotes stay on the fast nodes"
//! account = "00000000000004d2"
//! class = "quote"
//! sidecar = "desk-1"           # the application's first without it; halls in order of nearness depend on it
//! pools = ["fast", "any"]      # in this order, and no others; [] for any node
//! never = ["s-0009"]           # nodes that it must never reach
//! refused = false              # true where it is to be turned away
//! ```

use super::{failed, way};
use crate::style;
use serde::Deserialize;
use std::path::Path;
use std::process::ExitCode;
use wrenfork_config::set::Set;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(rename = "case")]
    cases: Vec<Case>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    account: String,
    class: String,
    sidecar: Option<String>,
    pools: Option<Vec<String>>,
    #[serde(default)]
    never: Vec<String>,
    #[serde(default)]
    refused: bool,
}

/// What a case found to be otherwise.
fn wrong(set: &Set, case: &Case) -> Result<(), String> {
    let found = match (
        way(set, &case.account, &case.class, case.sidecar.as_deref()),
        case.refused,
    ) {
        (Err(_), true) => return Ok(()),
        (Err(why), false) => return Err(why),
        (Ok(_), true) => return Err("it is not turned away".into()),
        (Ok(found), false) => found,
    };
    let pools: Vec<&str> = found
        .tiers
        .iter()
        .flatten()
        .map(|t| t.name.as_str())
        .collect();
    if case.pools.as_ref().is_some_and(|want| *want != pools) {
        let shown = if pools.is_empty() {
            "any node".to_string()
        } else {
            pools.join(", then ")
        };
        return Err(format!("it goes to {shown}"));
    }
    for node in &case.never {
        let reached = match &found.tiers {
            Some(tiers) => tiers
                .iter()
                .find(|t| t.nodes.iter().any(|n| n.name.value == *node))
                .map(|t| t.name.as_str()),
            None => Some("no pool: any node takes it"),
        };
        if let Some(pool) = reached {
            return Err(format!("it may reach {node}, by {pool}"));
        }
    }
    Ok(())
}

pub fn main(set: &Set, path: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return failed(format!("{}: {e}", path.display())),
    };
    let file: File = match toml::from_str(&text) {
        Ok(file) => file,
        Err(e) => return failed(format!("{}: {e}", path.display())),
    };
    let mut bad = 0;
    for case in &file.cases {
        match wrong(set, case) {
            Ok(()) => anstream::println!("{} {}", style::good("holds"), case.name),
            Err(why) => {
                bad += 1;
                anstream::println!("{} {}: {why}", style::bad("fails"), case.name);
            }
        }
    }
    anstream::println!("{} of {} hold", file.cases.len() - bad, file.cases.len());
    if bad == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
