//! `wrenctl route test`: checks the routes of a site against a file of expected routes, as in an operator's CI:
//!
//! ```toml
//! [[case]]
//! name = "desk's quotes stay on the fast nodes"
//! account = "00000000000004d2"
//! class = "quote"
//! sidecar = "desk-1"           # default: the application's first; sets which zone group is nearest
//! pools = ["fast", "any"]      # exactly these, in this order; [] for any node
//! never = ["s-0009"]           # nodes that the request must never reach
//! refused = false              # true if the request must be rejected
//! ```

use super::{failed, find_route};
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

/// Checks one case. The error says how the route differs from the expected one.
fn check_case(set: &Set, case: &Case) -> Result<(), String> {
    let route = match (
        find_route(set, &case.account, &case.class, case.sidecar.as_deref()),
        case.refused,
    ) {
        (Err(_), true) => return Ok(()),
        (Err(reason), false) => return Err(reason),
        (Ok(_), true) => return Err("it is not turned away".into()),
        (Ok(route), false) => route,
    };
    let pools: Vec<&str> = route
        .tiers
        .iter()
        .flatten()
        .map(|t| t.name.as_str())
        .collect();
    if case
        .pools
        .as_ref()
        .is_some_and(|expected| *expected != pools)
    {
        let shown = if pools.is_empty() {
            "any node".to_string()
        } else {
            pools.join(", then ")
        };
        return Err(format!("it goes to {shown}"));
    }
    for node in &case.never {
        let reached = match &route.tiers {
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
    let mut failures = 0;
    for case in &file.cases {
        match check_case(set, case) {
            Ok(()) => anstream::println!("{} {}", style::good("holds"), case.name),
            Err(reason) => {
                failures += 1;
                anstream::println!("{} {}: {reason}", style::bad("fails"), case.name);
            }
        }
    }
    anstream::println!(
        "{} of {} hold",
        file.cases.len() - failures,
        file.cases.len()
    );
    if failures == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
