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

#[cfg(test)]
mod tests {
    use super::{ways, Pool};
    use crate::set::Set;
    use crate::source::Source;

    fn set(near: &str) -> Set {
        let site = include_str!("../tests/good/site.toml").replace(
            "halls = [\"hall-a\", \"hall-b\"]",
            "halls = [\"a\", \"b\", \"c\", \"d\", \"e\"]",
        );
        let desk = "version = 1\nkind = \"application\"\nname = \"desk\"\nsite = \"bangna\"\nsends = [\"quote\"]\n\
                    [[sidecar]]\nname = \"d\"\nlisten = \"127.0.0.1:7600\"\ndiscovery = \"127.0.0.1:8500\"\nhall = \"b\"\n\
                    [[account]]\nid = \"00000000000004d2\"\nplan = \"starter\"\n\
                    [[pool]]\nname = \"own\"\nhalls = [\"a\"]\n[[route]]\nclass = \"quote\"\npool = \"own\"\n";
        let site = format!("{site}\n{near}");
        Set::from_sources([
            Source::new("site.toml", &site),
            Source::new("desk.toml", desk),
        ])
    }

    fn pools(near: &str) -> Vec<(String, String, String)> {
        let set = set(near);
        assert!(!set.refused(), "{near}");
        let (site, app) = (set.site().unwrap().content, set.applications()[0].content);
        let (pools, routes) = ways(app, site, app.sidecars.first());
        let own = routes.iter().find(|r| r.class.value == "quote").unwrap();
        assert_eq!(
            own.pool.as_ref().unwrap().value,
            "own",
            "a route that is written stays"
        );
        let local = routes
            .iter()
            .filter(|r| r.pool.as_ref().unwrap().value == "hall:b")
            .count();
        assert_eq!(
            local,
            if near.is_empty() { 0 } else { 2 },
            "all classes without a route"
        );
        let shown = |p: &Pool| {
            let fallback = p
                .fallback
                .as_ref()
                .map_or(String::new(), |f| f.value.clone());
            (
                p.name.value.clone(),
                p.selector.zone_groups.join(","),
                fallback,
            )
        };
        pools[1..].iter().map(shown).collect()
    }

    fn row(name: &str, halls: &str, fallback: &str) -> (String, String, String) {
        (name.into(), halls.into(), fallback.into())
    }

    #[test]
    fn halls_become_a_row_of_pools_and_those_not_named_come_last_together() {
        assert_eq!(pools(""), []);
        let b = "[[near]]\nhall = \"b\"\nothers = [\"d\"]\n";
        let rest = row("hall:*", "a,c,e", "");
        assert_eq!(
            pools(b),
            [
                row("hall:b", "b", "hall:d"),
                row("hall:d", "d", "hall:*"),
                rest
            ]
        );
        // Five halls, four pools: the last two share one.
        let all = "[[near]]\nhall = \"b\"\nothers = [\"e\", \"a\", \"d\", \"c\"]\n";
        let (a, b, e) = (
            row("hall:a", "a", "hall:*"),
            row("hall:b", "b", "hall:e"),
            row("hall:e", "e", "hall:a"),
        );
        assert_eq!(pools(all), [a, b, e, row("hall:*", "c,d", "")]);
        let other = "[[near]]\nhall = \"a\"\nothers = [\"b\"]\n";
        assert_eq!(set(other).applications().len(), 1);
        let set = set(other);
        let (site, app) = (set.site().unwrap().content, set.applications()[0].content);
        assert_eq!(
            ways(app, site, app.sidecars.first()).0.len(),
            1,
            "b has no order: as before"
        );
        assert_eq!(
            ways(app, site, None).0.len(),
            4,
            "without a hall of its own it stands in the first"
        );
    }

    /// Guards against an order of halls that names what there is not, or a hall twice.
    #[test]
    fn an_order_that_can_not_be_is_refused() {
        for (near, code) in [
            ("[[near]]\nhall = \"x\"\nothers = [\"b\"]\n", "C204"),
            ("[[near]]\nhall = \"a\"\nothers = [\"x\"]\n", "C204"),
            ("[[near]]\nhall = \"a\"\nothers = [\"b\", \"b\"]\n", "C201"),
            ("[[near]]\nhall = \"a\"\nothers = [\"b\", \"a\"]\n", "C201"),
            ("[[near]]\nhall = \"a\"\nothers = [\"b\"]\n[[near]]\nhall = \"a\"\nothers = [\"c\"]\n", "C201"),
        ] {
            let set = set(near);
            let ids: Vec<&str> = set.found.iter().map(|d| d.code.id()).collect();
            assert!(set.refused() && ids.contains(&code), "{near}: {ids:?}");
        }
    }
}
