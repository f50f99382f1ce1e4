//! Checks the pools of an application.

use super::findings::{quoted, report_duplicates, unknown_name, InFile};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Pool, Route, Site};
use wrenfork_routes::{PoolId, Table, TableError, MAX_POOLS, MAX_TIERS};

/// Names of an application's pools, in the file's order.
pub(super) fn pool_names(app: &Application) -> impl Iterator<Item = &str> + Clone {
    app.pools.iter().map(|p| p.name.value.as_str())
}

/// The id of the pool with that name.
pub(super) fn pool_id(pools: &[Pool], name: &str) -> Option<PoolId> {
    pools
        .iter()
        .position(|p| p.name.value == name)
        .and_then(|n| u8::try_from(n).ok())
        .map(PoolId)
}

/// Converts pools and routes to the form of [`wrenfork_routes`], with the routes in the order of the site's classes.
/// References to unknown pools are left out.
pub fn table(own: &[Pool], routes: &[Route], site: &Site) -> Table {
    let pools = own.iter().map(|p| wrenfork_routes::Pool {
        selector: p.selector.clone(),
        fallback: p.fallback.as_ref().and_then(|f| pool_id(own, &f.value)),
    });
    let routes = site.classes.iter().map(|class| {
        let route = routes.iter().find(|r| r.class.value == class.name.value)?;
        let trial = route
            .trial
            .as_ref()
            .zip(route.share.as_ref())
            .and_then(|(pool, share)| {
                Some(wrenfork_routes::Canary {
                    pool: pool_id(own, &pool.value)?,
                    fraction: share.value,
                })
            });
        Some(wrenfork_routes::Route {
            pool: pool_id(own, &route.pool.as_ref()?.value)?,
            canary: trial,
        })
    });
    Table {
        pools: pools.collect(),
        routes: routes.collect(),
    }
}

/// Checks pools against the halls of the site.
pub(super) fn pools(app_file: &InFile<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = app_file.content;
    report_duplicates(
        app_file,
        "pool",
        app.pools.iter().map(|p| quoted(&p.name)),
        found,
    );
    let used = referenced_pools(app);
    for pool in &app.pools {
        names_within(app_file, site, pool, found);
        if !used.contains(&pool.name.value.as_str()) {
            let message = format!("nothing leads to pool \"{}\"", pool.name.value);
            found.push(app_file.diagnostic(Code::UnusedPool, &pool.name, message));
        }
    }
    if !site.near.is_empty() && app.pools.len() + MAX_TIERS > MAX_POOLS {
        let message = format!(
            "there are {} pools, and the nearness of halls takes {MAX_TIERS} more",
            app.pools.len()
        );
        let first_too_many = &app.pools[MAX_POOLS - MAX_TIERS].name;
        let diagnostic = app_file.diagnostic(Code::TooMany, first_too_many, message);
        found.push(diagnostic.help("64 pools are the most"));
    }
    for error in table(&app.pools, &app.routes, site).errors() {
        if let TableError::FallbackCycle(cycle) = error {
            found.push(fallback_cycle(app_file, &cycle));
        }
    }
}

/// Names of the pools that a route, a trial or a fallback refers to.
fn referenced_pools(app: &Application) -> Vec<&str> {
    let routed = app
        .routes
        .iter()
        .flat_map(|r| r.pool.iter().chain(&r.trial));
    let fallbacks = app.pools.iter().filter_map(|p| p.fallback.as_ref());
    routed
        .chain(fallbacks)
        .map(|name| name.value.as_str())
        .collect()
}

/// Reports unknown halls and fallbacks of a pool.
fn names_within(
    app_file: &InFile<Application>,
    site: &Site,
    pool: &Pool,
    found: &mut Vec<Diagnostic>,
) {
    let app = app_file.content;
    let halls = || site.halls.iter().map(|h| h.value.as_str());
    for hall in pool.halls.iter().filter(|h| halls().all(|k| k != h.value)) {
        found.push(unknown_name(
            app_file,
            Code::NoSuchHall,
            "hall",
            hall,
            halls(),
        ));
    }
    let missing = |name: &str| pool_id(&app.pools, name).is_none();
    if let Some(fallback) = pool.fallback.as_ref().filter(|f| missing(&f.value)) {
        found.push(unknown_name(
            app_file,
            Code::NoSuchPool,
            "pool",
            fallback,
            pool_names(app),
        ));
    }
}

fn fallback_cycle(app_file: &InFile<Application>, cycle: &[PoolId]) -> Diagnostic {
    let pool = |id: &PoolId| &app_file.content.pools[usize::from(id.0)];
    let mut names: Vec<&str> = cycle
        .iter()
        .map(|id| pool(id).name.value.as_str())
        .collect();
    names.push(names[0]);
    let message = format!("pools fall back in a circle: {}", names.join(", then "));
    let place = |id: &PoolId| {
        let pool = pool(id);
        app_file.place(pool.fallback.as_ref().map_or(&pool.name.span, |f| &f.span))
    };
    let mut diagnostic = Diagnostic::new(Code::Circle, place(&cycle[0]), message);
    for id in &cycle[1..] {
        diagnostic = diagnostic.with(place(id), "and on from here");
    }
    diagnostic.help("let the last one have no fallback")
}
