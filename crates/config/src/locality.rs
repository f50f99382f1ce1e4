//! Derives pools and routes from the nearness of halls. A class without a route goes to the nodes of the sidecar's own
//! hall first and to those of the next halls after that. These pools are ordinary ones: traffic stays in the own hall
//! while it has room, and what overflows is limited by the room in the next hall.

use crate::model::{Application, Pool, Route, Sidecar, Site};
use crate::reader::At;
use wrenfork_routes::{Selector, MAX_TIERS};

/// Name of a hall's pool. The colon keeps it distinct from any pool that a file can name.
fn pool_name(hall: &str) -> String {
    format!("hall:{hall}")
}

/// Name of the pool that joins all remaining halls.
const OTHER_HALLS_POOL: &str = "hall:*";

/// Pool names with their halls, nearest first; none if the site gives no order for `home`.
fn hall_order(site: &Site, home: &str) -> Option<Vec<(String, Vec<String>)>> {
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
        .map(|h| (pool_name(h), vec![h.to_string()]))
        .collect();
    if !rest.is_empty() {
        order.push((OTHER_HALLS_POOL.to_string(), rest));
    }
    Some(order)
}

/// Pools and routes of one sidecar: those in the application's file, and those derived from the sidecar's hall.
pub fn pools_and_routes(
    app: &Application,
    site: &Site,
    sidecar: Option<&Sidecar>,
) -> (Vec<Pool>, Vec<Route>) {
    pools_and_routes_from(
        app,
        site,
        sidecar.and_then(|s| s.hall.as_ref()).or(site.halls.first()),
    )
}

/// Pools and routes for an ingress in the hall `home`: those in the application's file, and those derived from the
/// hall.
pub fn pools_and_routes_from(
    app: &Application,
    site: &Site,
    home: Option<&At<String>>,
) -> (Vec<Pool>, Vec<Route>) {
    let (mut pools, mut routes) = (app.pools.clone(), app.routes.clone());
    let Some((home, order)) = home.and_then(|h| Some((h, hall_order(site, &h.value)?))) else {
        return (pools, routes);
    };
    let at_home_span = |value: &str| At {
        value: value.to_string(),
        span: home.span.clone(),
    };
    let mut local: Vec<Pool> = Vec::with_capacity(order.len());
    for (n, (name, halls)) in order.iter().enumerate() {
        let selector = Selector {
            zone_groups: halls.clone(),
            ..Selector::default()
        };
        let fallback = order.get(n + 1).map(|next| at_home_span(&next.0));
        local.push(Pool {
            name: at_home_span(name),
            selector,
            halls: Vec::new(),
            nodes: Vec::new(),
            fallback,
        });
    }
    // Sorted by the site's order of halls, so that sidecars of different halls have the same pools at the same indexes.
    let hall_index = |p: &Pool| {
        site.halls
            .iter()
            .position(|h| p.selector.zone_groups[0] == h.value)
    };
    local.sort_by_key(|p| (p.name.value == OTHER_HALLS_POOL, hall_index(p)));
    pools.extend(local);
    let unrouted = site
        .classes
        .iter()
        .filter(|c| app.routes.iter().all(|r| r.class.value != c.name.value));
    routes.extend(unrouted.map(|class| Route {
        span: home.span.clone(),
        class: at_home_span(&class.name.value),
        pool: Some(at_home_span(&order[0].0)),
        trial: None,
        share: None,
        invalid_trial: false,
    }));
    (pools, routes)
}
