//! The routes of an application.

use super::findings::{unknown, In};
use super::pools::{number, pool_names, table};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Route, Site};
use crate::reader::At;
use std::collections::BTreeMap;
use wrenfork_routes::{PoolId, MAX_TIERS};

/// Routes beside the classes of the site.
pub(super) fn routes(a: &In<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    let mut routed: BTreeMap<&str, &At<String>> = BTreeMap::new();
    for route in &app.routes {
        let class = &route.class;
        if let Some(first) = routed.get(class.value.as_str()) {
            let message = format!("class \"{}\" has two routes", class.value);
            let wrong = a.wrong(Code::RoutedTwice, class, message);
            found.push(wrong.with(a.at(&first.span), "the first one"));
        } else {
            routed.insert(&class.value, class);
        }
        names_within(a, site, route, found);
        trial_and_share(a, route, found);
        if let Some(pool) = &route.pool {
            let order = number(&app.pools, &pool.value)
                .and_then(|p| table(&app.pools, &app.routes, site).fallback_order(p).ok())
                .unwrap_or_default();
            length(a, route, pool, &order, found);
            trial_at_home(a, route, pool, &order, found);
        }
    }
}

/// The class and the pools that a route names are there, and the application sends the class.
fn names_within(a: &In<Application>, site: &Site, route: &Route, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    let class = &route.class;
    if site.class(&class.value).is_none() {
        let classes = site.classes.iter().map(|c| c.name.value.as_str());
        found.push(unknown(a, Code::NoSuchClass, "class", class, classes));
    } else if app.sends.iter().all(|s| s.value != class.value) {
        let message = format!("the application may not send \"{}\"", class.value);
        let help = "add it to `sends`, or take the route out";
        found.push(a.wrong(Code::NotSent, class, message).help(help));
    }
    for pool in route.pool.iter().chain(&route.trial) {
        if number(&app.pools, &pool.value).is_none() && !app.bad_pools {
            found.push(unknown(a, Code::NoSuchPool, "pool", pool, pool_names(app)));
        }
    }
}

/// A trial has a share of customers, and a share a trial.
fn trial_and_share(a: &In<Application>, route: &Route, found: &mut Vec<Diagnostic>) {
    if route.bad_trial {
        return;
    }
    match (&route.trial, &route.share) {
        (Some(trial), None) => {
            let message = format!("a trial in pool \"{}\" of no share", trial.value);
            let wrong = a.wrong(Code::MissingKey, trial, message);
            found.push(wrong.help("add share = 0.05"));
        }
        (None, Some(share)) => {
            let message = "a share of customers, but no pool for their trial";
            let wrong = a.wrong(Code::MissingKey, share, message);
            found.push(wrong.help("add trial = and the pool's name"));
        }
        _ => {}
    }
}

/// A route goes over no more pools than are tried.
fn length(
    a: &In<Application>,
    route: &Route,
    pool: &At<String>,
    order: &[PoolId],
    found: &mut Vec<Diagnostic>,
) {
    let count = order.len() + usize::from(route.trial.is_some());
    if count > MAX_TIERS {
        let message = format!(
            "class \"{}\" goes over {count} pools, and {MAX_TIERS} is the most",
            route.class.value
        );
        found.push(a.wrong(Code::LongRoute, pool, message));
    }
}

/// A trial goes to a pool that the route does not reach anyway.
fn trial_at_home(
    a: &In<Application>,
    route: &Route,
    pool: &At<String>,
    order: &[PoolId],
    found: &mut Vec<Diagnostic>,
) {
    let Some(trial) = &route.trial else { return };
    if number(&a.content.pools, &trial.value).is_some_and(|t| order.contains(&t)) {
        let message = format!(
            "class \"{}\" goes to pool \"{}\" anyway",
            route.class.value, trial.value
        );
        let wrong = a.wrong(Code::TrialAtHome, trial, message);
        found.push(wrong.with(a.at(&pool.span), "it begins here"));
    }
}
