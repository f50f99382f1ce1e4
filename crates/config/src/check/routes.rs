//! Checks the routes of an application.

use super::findings::{unknown_name, InFile};
use super::pools::{pool_id, pool_names, table};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Route, Site};
use crate::reader::At;
use std::collections::BTreeMap;
use wrenfork_routes::{PoolId, MAX_TIERS};

/// Checks routes against the classes of the site.
pub(super) fn routes(app_file: &InFile<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = app_file.content;
    let mut routed: BTreeMap<&str, &At<String>> = BTreeMap::new();
    for route in &app.routes {
        let class = &route.class;
        if let Some(first) = routed.get(class.value.as_str()) {
            let message = format!("class \"{}\" has two routes", class.value);
            let diagnostic = app_file.diagnostic(Code::RoutedTwice, class, message);
            found.push(diagnostic.with(app_file.place(&first.span), "the first one"));
        } else {
            routed.insert(&class.value, class);
        }
        names_within(app_file, site, route, found);
        trial_and_share(app_file, route, found);
        if let Some(pool) = &route.pool {
            let order = pool_id(&app.pools, &pool.value)
                .and_then(|p| table(&app.pools, &app.routes, site).fallback_order(p).ok())
                .unwrap_or_default();
            too_many_pools(app_file, route, pool, &order, found);
            trial_in_own_pool(app_file, route, pool, &order, found);
        }
    }
}

/// Reports an unknown class or pool of a route, and a class that the application may not send.
fn names_within(
    app_file: &InFile<Application>,
    site: &Site,
    route: &Route,
    found: &mut Vec<Diagnostic>,
) {
    let app = app_file.content;
    let class = &route.class;
    if site.class(&class.value).is_none() {
        let classes = site.classes.iter().map(|c| c.name.value.as_str());
        found.push(unknown_name(
            app_file,
            Code::NoSuchClass,
            "class",
            class,
            classes,
        ));
    } else if app.sends.iter().all(|s| s.value != class.value) {
        let message = format!("the application may not send \"{}\"", class.value);
        let help = "add it to `sends`, or take the route out";
        found.push(
            app_file
                .diagnostic(Code::NotSent, class, message)
                .help(help),
        );
    }
    for pool in route.pool.iter().chain(&route.trial) {
        if pool_id(&app.pools, &pool.value).is_none() && !app.invalid_pools {
            found.push(unknown_name(
                app_file,
                Code::NoSuchPool,
                "pool",
                pool,
                pool_names(app),
            ));
        }
    }
}

/// Reports a trial without a share of customers, and a share without a trial.
fn trial_and_share(app_file: &InFile<Application>, route: &Route, found: &mut Vec<Diagnostic>) {
    if route.invalid_trial {
        return;
    }
    match (&route.trial, &route.share) {
        (Some(trial), None) => {
            let message = format!("a trial in pool \"{}\" of no share", trial.value);
            let diagnostic = app_file.diagnostic(Code::MissingKey, trial, message);
            found.push(diagnostic.help("add share = 0.05"));
        }
        (None, Some(share)) => {
            let message = "a share of customers, but no pool for their trial";
            let diagnostic = app_file.diagnostic(Code::MissingKey, share, message);
            found.push(diagnostic.help("add trial = and the pool's name"));
        }
        _ => {}
    }
}

/// Reports a route over more pools than a request tries.
fn too_many_pools(
    app_file: &InFile<Application>,
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
        found.push(app_file.diagnostic(Code::LongRoute, pool, message));
    }
}

/// Reports a trial in a pool that the route reaches anyway.
fn trial_in_own_pool(
    app_file: &InFile<Application>,
    route: &Route,
    pool: &At<String>,
    order: &[PoolId],
    found: &mut Vec<Diagnostic>,
) {
    let Some(trial) = &route.trial else { return };
    if pool_id(&app_file.content.pools, &trial.value).is_some_and(|t| order.contains(&t)) {
        let message = format!(
            "class \"{}\" goes to pool \"{}\" anyway",
            route.class.value, trial.value
        );
        let diagnostic = app_file.diagnostic(Code::TrialAtHome, trial, message);
        found.push(diagnostic.with(app_file.place(&pool.span), "it begins here"));
    }
}
