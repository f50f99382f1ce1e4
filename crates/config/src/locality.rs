//! Halls in order of nearness, as pools and routes that nobody must write: a class without a route of its own goes to the
//! nodes of the sidecar's hall, then to those of the next ones. They are pools like all others, so that a share stays at
//! home for as long as home has room for it, and what spills is bounded by what the next hall has to spare.

use crate::model::{Application, Pool, Route, Sidecar, Site};
use crate::reader::At;
use wrenfork_routes::{Selector, MAX_TIERS};

/// How the pool of a hall is called: no pool of a file can have such a name.
fn called(hall: &str) -> String {
    format!("hall:{hall}")
}

/// The pool of all halls that come last together.
const OTHERS: &str = "hall:*";

/// Halls that share a pool, nearest first.
fn order(site: &Site, home: &str) -> Option<Vec<(String, Vec<String>)>> {
    let near = site.near.iter().find(|n| n.hall.value == home)?;
    let known = |hall: &&str| site.halls.iter().any(|h| h.value == **hall);
    let named = std::iter::once(home).chain(near.others.iter().map(|h| h.value.as_str()));
    let mut named: Vec<&str> = named.filter(known).collect();
    let all = site.halls.len();
    if named.len() < all || named.len() > MAX_TIERS {
        named.truncate(MAX_TIERS - 1);
    }
    let rest = site
        .halls
        .iter()
        .map(|h| &h.value)
        .filter(|h| !named.contains(&h.as_str()));
    let rest: Vec<String> = rest.cloned().collect();
    let mut order: Vec<_> = named
        .iter()
        .map(|h| (called(h), vec![h.to_string()]))
        .collect();
    if !rest.is_empty() {
        order.push((OTHERS.to_string(), rest));
    }
    Some(order)
}

/// The pools and routes of one of an application's sidecars: those of its file, and those that follow from its hall.
pub fn ways(app: &Application, site: &Site, sidecar: Option<&Sidecar>) -> (Vec<Pool>, Vec<Route>) {
    ways_from(
        app,
        site,
        sidecar.and_then(|s| s.hall.as_ref()).or(site.halls.first()),
    )
}

/// The same for a hall.
pub fn ways_from(
    app: &Application,
    site: &Site,
    home: Option<&At<String>>,
) -> (Vec<Pool>, Vec<Route>) {
    let (mut pools, mut routes) = (app.pools.clone(), app.routes.clone());
    let Some((home, order)) = home.and_then(|h| Some((h, order(site, &h.value)?))) else {
        return (pools, routes);
    };
    let here = |value: &str| At {
        value: value.to_string(),
        span: home.span.clone(),
    };
    let mut local: Vec<Pool> = Vec::with_capacity(order.len());
    for (n, (name, halls)) in order.iter().enumerate() {
        let selector = Selector {
            zone_groups: halls.clone(),
            ..Selector::default()
        };
        let fallback = order.get(n + 1).map(|next| here(&next.0));
        local.push(Pool {
            name: here(name),
            selector,
            halls: Vec::new(),
            nodes: Vec::new(),
            fallback,
        });
    }
    // In the order of the site's halls: sidecars of different halls have the same pools at the same places.
    let place = |p: &Pool| {
        site.halls
            .iter()
            .position(|h| p.selector.zone_groups[0] == h.value)
    };
    local.sort_by_key(|p| (p.name.value == OTHERS, place(p)));
    pools.extend(local);
    let without = site
        .classes
        .iter()
        .filter(|c| app.routes.iter().all(|r| r.class.value != c.name.value));
    routes.extend(without.map(|class| Route {
        span: home.span.clone(),
        class: here(&class.name.value),
        pool: Some(here(&order[0].0)),
        trial: None,
        share: None,
        bad_trial: false,
    }));
    (pools, routes)
}
