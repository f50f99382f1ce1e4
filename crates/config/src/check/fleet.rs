//! A fleet snapshot, by itself and beside an application.

use super::accounts::quotas;
use super::findings::{quoted, twice, unknown, In};
use super::pools::{number, table};
use super::ROUNDING;
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

/// A fleet snapshot by itself.
pub fn fleet(f: &In<Fleet>, found: &mut Vec<Diagnostic>) {
    twice(
        f,
        "node",
        f.content.nodes.iter().map(|n| quoted(&n.name)),
        found,
    );
    // One that is gone may have left its address to another.
    let mut at: HashMap<&Address, &Node> = HashMap::new();
    for node in f.content.nodes.iter().filter(|n| n.status == Status::Up) {
        let places = std::iter::once(&node.address).chain(node.addresses.iter().map(|a| &a.value));
        for (n, place) in places.enumerate() {
            let Some(first) = at.insert(place, node) else {
                continue;
            };
            let (name, other) = (&node.name.value, &first.name.value);
            let message = if std::ptr::eq(first, node) {
                format!("node \"{name}\" lists {place} twice")
            } else {
                format!("nodes \"{other}\" and \"{name}\" are both up at {place}")
            };
            let span = n
                .checked_sub(1)
                .map_or(&node.name.span, |n| &node.addresses[n].span);
            let wrong = Diagnostic::new(Code::AddressTwice, f.at(span), message);
            found.push(wrong.with(f.at(&first.name.span), "the first one"));
        }
        if node.addresses.len() >= MAX_ADDRESSES {
            let message = format!(
                "node \"{}\" has more addresses than the {MAX_ADDRESSES} that are tried",
                node.name.value
            );
            found.push(f.wrong(Code::TooMany, &node.name, message));
        }
    }
}

/// An application beside the nodes as they are.
pub fn nodes(a: &In<Application>, s: &In<Site>, f: &In<Fleet>, found: &mut Vec<Diagnostic>) {
    let (app, fleet) = (a.content, f.content);
    let by_name: HashMap<&str, &Node> = fleet
        .nodes
        .iter()
        .map(|n| (n.name.value.as_str(), n))
        .collect();
    for pool in &app.pools {
        let before = found.len();
        named_nodes(a, pool, fleet, &by_name, found);
        if found.len() > before {
            continue; // its nodes are spoken of already
        }
        members(a, pool, fleet, found);
    }
    let table = table(&app.pools, &app.routes, s.content);
    let up = fleet.nodes.iter().filter(|n| n.status == Status::Up);
    let member: Vec<(u64, &Node)> = up.map(|n| (table.pools_of(&labels(n)), n)).collect();
    let promised: f64 = quotas(app, s.content).map(|(_, q)| q).sum();
    for route in &app.routes {
        groups(a, s.content, &table, route, &member, found);
        capacity(a, s, promised, route, &member, found);
    }
}

/// The nodes that a pool names are there and up.
fn named_nodes(
    a: &In<Application>,
    pool: &Pool,
    fleet: &Fleet,
    by_name: &HashMap<&str, &Node>,
    found: &mut Vec<Diagnostic>,
) {
    for name in &pool.nodes {
        let Some(node) = by_name.get(name.value.as_str()) else {
            let known = fleet.nodes.iter().map(|n| n.name.value.as_str());
            found.push(unknown(a, Code::NoSuchNode, "node", name, known));
            continue;
        };
        let (code, state) = match node.status {
            Status::Up => continue,
            Status::Draining => (Code::NodeDrains, "is draining"),
            Status::Removed => (Code::NodeGone, "is gone"),
        };
        let message = format!("node \"{}\" {state}", name.value);
        found.push(a.wrong(code, name, message));
    }
}

/// A pool has nodes, and some of them are up.
fn members(a: &In<Application>, pool: &Pool, fleet: &Fleet, found: &mut Vec<Diagnostic>) {
    let name = &pool.name.value;
    let is_member = |node: &&Node| pool.selector.matches(&labels(node));
    let members: Vec<&Node> = fleet.nodes.iter().filter(is_member).collect();
    if members.is_empty() {
        let message = format!("no node is of pool \"{name}\"");
        found.push(a.wrong(Code::NoNodes, &pool.name, message));
    } else if members.iter().all(|n| n.status != Status::Up) {
        let message = format!("every node of pool \"{name}\" is draining or gone");
        found.push(a.wrong(Code::AllDrain, &pool.name, message));
    }
}

/// A keyed class must not be spread over groups of nodes that don't know each other's keys.
fn groups(
    a: &In<Application>,
    site: &Site,
    table: &Table,
    route: &Route,
    member: &[(u64, &Node)],
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
        .and_then(|p| number(&a.content.pools, &p.value));
    let order = first
        .and_then(|p| table.fallback_order(p).ok())
        .unwrap_or_default();
    let trial = route
        .trial
        .as_ref()
        .and_then(|p| number(&a.content.pools, &p.value));
    let set = order
        .into_iter()
        .chain(trial)
        .fold(0, |set, p| set | p.bit());
    let of = |n: &Node| match group.as_str() {
        "hall" => n.hall.value.clone(),
        "group" => n.group.to_string(),
        _ => String::new(),
    };
    let mut groups: Vec<String> = member
        .iter()
        .filter(|(m, _)| m & set != 0)
        .map(|(_, n)| of(n))
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
            a.wrong(Code::GroupsMixed, &route.class, message)
                .help("let its pools lie in one of them"),
        );
    }
}

/// The nodes of a route's pools must serve what the accounts were promised.
fn capacity(
    a: &In<Application>,
    s: &In<Site>,
    promised: f64,
    route: &Route,
    member: &[(u64, &Node)],
    found: &mut Vec<Diagnostic>,
) {
    let (app, site) = (a.content, s.content);
    let Some(per_weight) = site.per_weight else {
        return;
    };
    let pool = |name: &Option<At<String>>| {
        name.as_ref()
            .and_then(|n| Some((n.clone(), number(&app.pools, &n.value)?)))
    };
    let trial = pool(&route.trial).zip(route.share.as_ref().map(|s| s.value));
    let share = trial.as_ref().map_or(0.0, |t| t.1);
    let trial_set = trial.as_ref().map_or(0, |((_, p), _)| p.bit());
    let mut look = |name: &At<String>, set: u64, without: u64, share: f64| {
        let nodes = member
            .iter()
            .filter(|(m, _)| m & set != 0 && m & without == 0);
        let (count, weight) = nodes.fold((0, 0.0), |(n, w), (_, node)| (n + 1, w + node.weight));
        let (need, serves) = (promised * share, weight * per_weight);
        if count > 0 && need > serves * (1.0 + ROUNDING) {
            let (need, serves) = (show_rate(need), show_rate(serves));
            let message = format!(
                "pool \"{}\" has {count} nodes that serve {serves}, and quotas of {need} go there",
                name.value
            );
            found.push(a.wrong(Code::TooFewNodes, name, message));
        }
    };
    if let Some((name, p)) = pool(&route.pool) {
        look(&name, p.bit(), trial_set, 1.0 - share);
    }
    if let Some(((name, p), share)) = &trial {
        look(name, p.bit(), 0, *share);
    }
}
