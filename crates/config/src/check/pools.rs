//! The pools of an application.

use super::findings::{quoted, twice, unknown, In};
use crate::codes::Code;
use crate::diagnostic::Diagnostic;
use crate::model::{Application, Pool, Route, Site};
use wrenfork_routes::{PoolId, Table, TableError, MAX_POOLS, MAX_TIERS};

/// The names of an application's pools.
pub(super) fn pool_names(app: &Application) -> impl Iterator<Item = &str> + Clone {
    app.pools.iter().map(|p| p.name.value.as_str())
}

/// The place of a pool of that name.
pub(super) fn number(pools: &[Pool], name: &str) -> Option<PoolId> {
    pools
        .iter()
        .position(|p| p.name.value == name)
        .and_then(|n| u8::try_from(n).ok())
        .map(PoolId)
}

/// The pools and routes as [`wrenfork_routes`] has them, the routes in the order of the site's classes. What leads
/// nowhere is left out.
pub fn table(own: &[Pool], routes: &[Route], site: &Site) -> Table {
    let pools = own.iter().map(|p| wrenfork_routes::Pool {
        selector: p.selector.clone(),
        fallback: p.fallback.as_ref().and_then(|f| number(own, &f.value)),
    });
    let routes = site.classes.iter().map(|class| {
        let route = routes.iter().find(|r| r.class.value == class.name.value)?;
        let trial = route
            .trial
            .as_ref()
            .zip(route.share.as_ref())
            .and_then(|(pool, share)| {
                Some(wrenfork_routes::Canary {
                    pool: number(own, &pool.value)?,
                    fraction: share.value,
                })
            });
        Some(wrenfork_routes::Route {
            pool: number(own, &route.pool.as_ref()?.value)?,
            canary: trial,
        })
    });
    Table {
        pools: pools.collect(),
        routes: routes.collect(),
    }
}

/// Pools beside the halls of the site.
pub(super) fn pools(a: &In<Application>, site: &Site, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    twice(a, "pool", app.pools.iter().map(|p| quoted(&p.name)), found);
    let used = used(app);
    for pool in &app.pools {
        names_within(a, site, pool, found);
        if !used.contains(&pool.name.value.as_str()) {
            let message = format!("nothing leads to pool \"{}\"", pool.name.value);
            found.push(a.wrong(Code::UnusedPool, &pool.name, message));
        }
    }
    if !site.near.is_empty() && app.pools.len() + MAX_TIERS > MAX_POOLS {
        let message = format!(
            "there are {} pools, and the nearness of halls takes {MAX_TIERS} more",
            app.pools.len()
        );
        let first_too_many = &app.pools[MAX_POOLS - MAX_TIERS].name;
        let wrong = a.wrong(Code::TooMany, first_too_many, message);
        found.push(wrong.help("64 pools are the most"));
    }
    for fault in table(&app.pools, &app.routes, site).errors() {
        if let TableError::FallbackCycle(cycle) = fault {
            found.push(fallback_cycle(a, &cycle));
        }
    }
}

/// The names of the pools that a route or another pool leads to.
fn used(app: &Application) -> Vec<&str> {
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

/// The halls and the fallback that a pool names are there.
fn names_within(a: &In<Application>, site: &Site, pool: &Pool, found: &mut Vec<Diagnostic>) {
    let app = a.content;
    let halls = || site.halls.iter().map(|h| h.value.as_str());
    for hall in pool.halls.iter().filter(|h| halls().all(|k| k != h.value)) {
        found.push(unknown(a, Code::NoSuchHall, "hall", hall, halls()));
    }
    let missing = |name: &str| number(&app.pools, name).is_none();
    if let Some(fallback) = pool.fallback.as_ref().filter(|f| missing(&f.value)) {
        found.push(unknown(
            a,
            Code::NoSuchPool,
            "pool",
            fallback,
            pool_names(app),
        ));
    }
}

fn fallback_cycle(a: &In<Application>, cycle: &[PoolId]) -> Diagnostic {
    let pool = |id: &PoolId| &a.content.pools[usize::from(id.0)];
    let mut names: Vec<&str> = cycle
        .iter()
        .map(|id| pool(id).name.value.as_str())
        .collect();
    names.push(names[0]);
    let message = format!("pools fall back in a circle: {}", names.join(", then "));
    let place = |id: &PoolId| {
        let pool = pool(id);
        a.at(pool.fallback.as_ref().map_or(&pool.name.span, |f| &f.span))
    };
    let mut wrong = Diagnostic::new(Code::Circle, place(&cycle[0]), message);
    for id in &cycle[1..] {
        wrong = wrong.with(place(id), "and on from here");
    }
    wrong.help("let the last one have no fallback")
}
