//! `wrenctl route`: shows where a request would go, or checks routes against expectations.

mod cases;

use crate::config::{print, Format};
use crate::style;
use anstream::println;
use clap::Subcommand;
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;
use wrenfork_config::check::table;
use wrenfork_config::locality::pools_and_routes;
use wrenfork_config::model::{Fleet, Node, Pool, Status};
use wrenfork_config::set::Set;
use wrenfork_routes::NodeLabels;

/// Exit code if something could not be read or done.
const FAILED: u8 = 2;

#[derive(Subcommand)]
pub enum Verb {
    /// Tells where a request of an account and class would go, in which order, and why not elsewhere
    Explain {
        /// The site, its applications, and a fleet snapshot if nodes are to be named
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The account, as 16 hex digits
        #[arg(long, value_name = "HEX")]
        account: String,
        /// The class
        #[arg(long, value_name = "NAME")]
        class: String,
        /// The sidecar that takes it: with halls in order of nearness, its own comes first; else the application's first
        #[arg(long, value_name = "NAME")]
        sidecar: Option<String>,
        /// Output format, for people or for scripts
        #[arg(long, value_enum, default_value_t)]
        format: Format,
    },
    /// Holds routes against a file of expectations: exit 0 all hold, 1 some do not
    Test {
        /// The site, its applications, and a fleet snapshot if nodes are expected
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The expectations
        #[arg(long, value_name = "FILE")]
        cases: PathBuf,
    },
}

/// A pool that a request may go to.
struct Tier<'a> {
    name: String,
    /// Why the request goes there: canary ("on trial"), the route's own pool, or fallback.
    reason: &'static str,
    /// The nodes of the fleet snapshot that the pool selects.
    nodes: Vec<&'a Node>,
}

/// The pools that a request may go to, in order.
struct Route<'a> {
    application: &'a str,
    /// None if there is no route, so that any node may take the request.
    tiers: Option<Vec<Tier<'a>>>,
}

fn nodes<'a>(pool: &Pool, fleet: Option<&'a Fleet>) -> Vec<&'a Node> {
    let all = fleet.map_or(&[][..], |f| &f.nodes).iter();
    let selected = |n: &&Node| {
        let (name, hall, model) = (&*n.name.value, &*n.hall.value, &*n.model);
        pool.selector.matches(&NodeLabels {
            name,
            zone_group: hall,
            machine_type: model,
            cell: n.group,
        })
    };
    all.filter(selected).collect()
}

/// Finds the pools for an account and class. `sidecar` is the receiving one; by default the application's first.
///
/// # Errors
///
/// If the request would be rejected, or a name is unknown.
fn find_route<'a>(
    set: &'a Set,
    account: &str,
    class: &str,
    sidecar: Option<&str>,
) -> Result<Route<'a>, String> {
    let site = set.site().ok_or("no site file was given")?.content;
    let id = wrenfork_config::values::account(account)?;
    let apps = set.applications();
    let app = apps
        .iter()
        .map(|a| a.content)
        .find(|a| a.accounts.iter().any(|x| x.id.value == id));
    let app = app.ok_or_else(|| {
        format!("account {account} belongs to no application here: its requests are rejected")
    })?;
    let class_index = site.classes.iter().position(|c| c.name.value == class);
    let class_index = class_index.ok_or_else(|| format!("the site has no class \"{class}\""))?;
    if app.sends.iter().all(|c| c.value != class) {
        return Err(format!(
            "application \"{}\" may not send \"{class}\": the request is rejected",
            app.display_name()
        ));
    }
    let from = match sidecar {
        Some(name) => {
            let found = app.sidecars.iter().find(|s| s.name.value == name);
            Some(found.ok_or_else(|| {
                format!(
                    "application \"{}\" has no sidecar \"{name}\"",
                    app.display_name()
                )
            })?)
        }
        None => app.sidecars.first(),
    };
    let (pools, routes) = pools_and_routes(app, site, from);
    let (table, fleet) = (table(&pools, &routes, site), set.fleet().map(|f| f.content));
    let canary = table.is_canary_customer(class_index, id);
    let tiers = table.tiers(class_index, id).map(|sets| {
        let of = |(n, set): (usize, &u64)| {
            let pool = set.trailing_zeros() as usize;
            let reason = match (canary, n) {
                (true, 0) => "on trial",
                (true, 1) | (false, 0) => "its own",
                _ => "fallback",
            };
            Tier {
                name: pools[pool].name.value.clone(),
                reason,
                nodes: nodes(&pools[pool], fleet),
            }
        };
        sets.iter().enumerate().map(of).collect()
    });
    Ok(Route {
        application: app.display_name(),
        tiers,
    })
}

fn status(node: &Node) -> &'static str {
    match node.status {
        Status::Up => "up",
        Status::Draining => "draining",
        Status::Removed => "gone",
    }
}

fn failed(reason: impl std::fmt::Display) -> ExitCode {
    anstream::eprintln!("{} {reason}", style::bad("error:"));
    ExitCode::from(FAILED)
}

pub fn main(verb: Verb) -> ExitCode {
    let (Verb::Explain { files, .. } | Verb::Test { files, .. }) = &verb;
    let set = Set::read(files);
    if set.refused() {
        return print::text(&set);
    }
    match verb {
        Verb::Explain {
            account,
            class,
            sidecar,
            format,
            ..
        } => match find_route(&set, &account, &class, sidecar.as_deref()) {
            Ok(route) => {
                match format {
                    Format::Text => text(&set, &route, &class),
                    Format::Json => println!("{}", json(&route)),
                }
                ExitCode::SUCCESS
            }
            Err(reason) => failed(reason),
        },
        Verb::Test { cases, .. } => cases::main(&set, &cases),
    }
}

fn json(route: &Route) -> String {
    let tier = |t: &Tier| {
        let nodes = t
            .nodes
            .iter()
            .map(|n| json!({"name": n.name.value, "status": status(n)}));
        json!({"pool": t.name, "why": t.reason, "nodes": nodes.collect::<Vec<_>>()})
    };
    let tiers = route
        .tiers
        .as_ref()
        .map(|list| list.iter().map(tier).collect::<Vec<_>>());
    let report = json!({"application": route.application, "tiers": tiers});
    serde_json::to_string_pretty(&report).unwrap_or_default()
}

fn text(set: &Set, route: &Route, class: &str) {
    let Some(tiers) = &route.tiers else {
        println!(
            "{} {class} has no route: any node takes it",
            style::head(route.application)
        );
        return;
    };
    println!("{} {class}", style::head(route.application));
    for (n, tier) in tiers.iter().enumerate() {
        println!(
            "  {}. pool {} ({})",
            n + 1,
            style::head(&tier.name),
            tier.reason
        );
        for node in &tier.nodes {
            let state = match node.status {
                Status::Up => style::good("up"),
                _ => style::doubtful(format!("{}, takes nothing new", status(node))),
            };
            println!("       {} {state}", node.name.value);
        }
        if tier.nodes.is_empty() && set.fleet().is_some() {
            println!("       {}", style::bad("no node belongs to this pool"));
        }
        if tier.nodes.iter().all(|n| n.status != Status::Up) && set.fleet().is_some() {
            println!(
                "       {}",
                style::doubtful("skipped: no node of this pool accepts requests")
            );
        }
    }
    println!("A later pool is used if all earlier ones have no node, fail as a whole or are at their limit, as far as it has");
    println!("spare capacity; a request that may have been executed is retried only if its class allows it.");
    let others: Vec<&str> = set
        .fleet()
        .map_or(Vec::new(), |f| f.content.nodes.iter().collect())
        .into_iter()
        .filter(|n: &&Node| {
            tiers
                .iter()
                .all(|t| t.nodes.iter().all(|own| own.name.value != n.name.value))
        })
        .map(|n| n.name.value.as_str())
        .collect();
    if !others.is_empty() {
        println!("never: {}, in none of these pools", others.join(", "));
    }
}
