//! Checks a fleet snapshot alone, and an application against a snapshot.

use super::accounts::quotas;
use super::findings::{quoted, report_duplicates, unknown_name, InFile};
use super::pools::{pool_id, table};
use super::ROUNDING_TOLERANCE;
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Effect, Fleet, Node, Pool, Route, Site, Status};
use crate::reader::At;
use crate::values::show_rate;
use std::collections::HashMap;
use wrenfork_happy_eyeballs::{Address, MAX_ADDRESSES};
use wrenfork_routes::{NodeLabels, Table};

fn labels(node: &Node) -> NodeLabels<'_> {
    NodeLabels {
        name: &node.name.value,
        zone_group: &node.hall.value,
        machine_type: &node.model,
        cell: node.group,
    }
}

/// Checks a fleet snapshot alone.
pub fn fleet(fleet_file: &InFile<Fleet>, found: &mut Vec<Diagnostic>) {
    report_duplicates(
        fleet_file,
        "node",
        fleet_file.content.nodes.iter().map(|n| quoted(&n.name)),
        found,
    );
    // A removed node's address may be in use by another node.
    let mut node_at: HashMap<&Address, &Node> = HashMap::new();
    for node in fleet_file
        .content
        .nodes
        .iter()
        .filter(|n| n.status == Status::Up)
    {
        let addresses =
            std::iter::once(&node.address).chain(node.addresses.iter().map(|a| &a.value));
        for (n, address) in addresses.enumerate() {
            let Some(first) = node_at.insert(address, node) else {
                continue;
            };
            let (name, other) = (&node.name.value, &first.name.value);
            let message = if std::ptr::eq(first, node) {
                format!("node \"{name}\" lists {address} twice")
            } else {
                format!("nodes \"{other}\" and \"{name}\" are both up at {address}")
            };
            let span = n
                .checked_sub(1)
                .map_or(&node.name.span, |n| &node.addresses[n].span);
            let diagnostic = Diagnostic::new(Code::AddressTwice, fleet_file.place(span), message);
            found.push(diagnostic.with(fleet_file.place(&first.name.span), "the first one"));
        }
        if node.addresses.len() >= MAX_ADDRESSES {
            let message = format!(
                "node \"{}\" has more addresses than the {MAX_ADDRESSES} that are tried",
                node.name.value
            );
            found.push(fleet_file.diagnostic(Code::TooMany, &node.name, message));
        }
    }
}

/// Checks an application against the nodes of a fleet snapshot.
pub fn nodes(
    app_file: &InFile<Application>,
    site_file: &InFile<Site>,
    fleet_file: &InFile<Fleet>,
    found: &mut Vec<Diagnostic>,
) {
    let (app, fleet) = (app_file.content, fleet_file.content);
    let by_name: HashMap<&str, &Node> = fleet
        .nodes
        .iter()
        .map(|n| (n.name.value.as_str(), n))
        .collect();
    for pool in &app.pools {
        let before = found.len();
        check_named_nodes(app_file, pool, fleet, &by_name, found);
        if found.len() > before {
            continue; // the pool's nodes are already reported
        }
        check_members(app_file, pool, fleet, found);
    }
    let table = table(&app.pools, &app.routes, site_file.content);
    let up = fleet.nodes.iter().filter(|n| n.status == Status::Up);
    let pools_and_nodes: Vec<(u64, &Node)> = up.map(|n| (table.pools_of(&labels(n)), n)).collect();
    let total_quota: f64 = quotas(app, site_file.content).map(|(_, q)| q).sum();
    for route in &app.routes {
        check_groups(
            app_file,
            site_file.content,
            &table,
            route,
            &pools_and_nodes,
            found,
        );
        check_capacity(
            app_file,
            site_file,
            total_quota,
            route,
            &pools_and_nodes,
            found,
        );
    }
}

/// Reports nodes that a pool names and that are missing, draining or removed.
fn check_named_nodes(
    app_file: &InFile<Application>,
    pool: &Pool,
    fleet: &Fleet,
    by_name: &HashMap<&str, &Node>,
    found: &mut Vec<Diagnostic>,
) {
    for name in &pool.nodes {
        let Some(node) = by_name.get(name.value.as_str()) else {
            let known = fleet.nodes.iter().map(|n| n.name.value.as_str());
            found.push(unknown_name(
                app_file,
                Code::NoSuchNode,
                "node",
                name,
                known,
            ));
            continue;
        };
        let (code, state) = match node.status {
            Status::Up => continue,
            Status::Draining => (Code::NodeDrains, "is draining"),
            Status::Removed => (Code::NodeGone, "is gone"),
        };
        let message = format!("node \"{}\" {state}", name.value);
        found.push(app_file.diagnostic(code, name, message));
    }
}

/// Reports a pool without nodes, or without one that is up.
fn check_members(
    app_file: &InFile<Application>,
    pool: &Pool,
    fleet: &Fleet,
    found: &mut Vec<Diagnostic>,
) {
    let name = &pool.name.value;
    let is_member = |node: &&Node| pool.selector.matches(&labels(node));
    let members: Vec<&Node> = fleet.nodes.iter().filter(is_member).collect();
    if members.is_empty() {
        let message = format!("no node is of pool \"{name}\"");
        found.push(app_file.diagnostic(Code::NoNodes, &pool.name, message));
    } else if members.iter().all(|n| n.status != Status::Up) {
        let message = format!("every node of pool \"{name}\" is draining or gone");
        found.push(app_file.diagnostic(Code::AllDrain, &pool.name, message));
    }
}

/// Reports a keyed class that is routed to several groups of nodes: a group does not know the idempotency keys of
/// another.
fn check_groups(
    app_file: &InFile<Application>,
    site: &Site,
    table: &Table,
    route: &Route,
    pools_and_nodes: &[(u64, &Node)],
    found: &mut Vec<Diagnostic>,
) {
    let Some(class) = site.class(&route.class.value) else {
        return;
    };
    let Some(Effect::Keyed { group, .. }) = class.repeat().filter(|_| route.pool.is_some()) else {
        return;
    };
    let first = route
        .pool
        .as_ref()
        .and_then(|p| pool_id(&app_file.content.pools, &p.value));
    let order = first
        .and_then(|p| table.fallback_order(p).ok())
        .unwrap_or_default();
    let trial = route
        .trial
        .as_ref()
        .and_then(|p| pool_id(&app_file.content.pools, &p.value));
    let route_pools = order
        .into_iter()
        .chain(trial)
        .fold(0, |bits, p| bits | p.bit());
    let group_of = |n: &Node| match group.as_str() {
        "hall" => n.hall.value.clone(),
        "group" => n.group.to_string(),
        _ => String::new(),
    };
    let mut groups: Vec<String> = pools_and_nodes
        .iter()
        .filter(|(m, _)| m & route_pools != 0)
        .map(|(_, n)| group_of(n))
        .collect();
    groups.sort_unstable();
    groups.dedup();
    if groups.len() > 1 {
        let list = groups
            .iter()
            .take(6)
            .map(String::as_str)
            .collect::<Vec<_>>()
            .join(", ");
        let name = &class.name.value;
        let message = format!(
            "repeats of \"{name}\" are dropped by {group}, and its pools lie in several: {list}"
        );
        found.push(
            app_file
                .diagnostic(Code::GroupsMixed, &route.class, message)
                .help("let its pools lie in one of them"),
        );
    }
}

/// Reports pools of a route whose nodes can't serve the quotas that go there.
fn check_capacity(
    app_file: &InFile<Application>,
    site_file: &InFile<Site>,
    total_quota: f64,
    route: &Route,
    pools_and_nodes: &[(u64, &Node)],
    found: &mut Vec<Diagnostic>,
) {
    let (app, site) = (app_file.content, site_file.content);
    let Some(per_weight) = site.per_weight else {
        return;
    };
    let pool = |name: &Option<At<String>>| {
        name.as_ref()
            .and_then(|n| Some((n.clone(), pool_id(&app.pools, &n.value)?)))
    };
    let trial = pool(&route.trial).zip(route.share.as_ref().map(|s| s.value));
    let share = trial.as_ref().map_or(0.0, |t| t.1);
    let trial_bit = trial.as_ref().map_or(0, |((_, p), _)| p.bit());
    let mut check_pool = |name: &At<String>, members: u64, excluded: u64, share: f64| {
        let nodes = pools_and_nodes
            .iter()
            .filter(|(m, _)| m & members != 0 && m & excluded == 0);
        let (count, weight) = nodes.fold((0, 0.0), |(n, w), (_, node)| (n + 1, w + node.weight));
        let (need, serves) = (total_quota * share, weight * per_weight);
        if count > 0 && need > serves * (1.0 + ROUNDING_TOLERANCE) {
            let (need, serves) = (show_rate(need), show_rate(serves));
            let message = format!(
                "pool \"{}\" has {count} nodes that serve {serves}, and quotas of {need} go there",
                name.value
            );
            found.push(app_file.diagnostic(Code::TooFewNodes, name, message));
        }
    };
    if let Some((name, p)) = pool(&route.pool) {
        check_pool(&name, p.bit(), trial_bit, 1.0 - share);
    }
    if let Some(((name, p), share)) = &trial {
        check_pool(name, p.bit(), 0, *share);
    }
}
