//! Pools and routes that are derived from the nearness of halls.

use wrenfork_config::locality::pools_and_routes;
use wrenfork_config::model::Pool;
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;

fn set(near: &str) -> Set {
    let site = include_str!("good/site.toml").replace(
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
    let (pools, routes) = pools_and_routes(app, site, app.sidecars.first());
    let quote_route = routes.iter().find(|r| r.class.value == "quote").unwrap();
    assert_eq!(
        quote_route.pool.as_ref().unwrap().value,
        "own",
        "a route of the file is kept"
    );
    let local = routes
        .iter()
        .filter(|r| r.pool.as_ref().unwrap().value == "hall:b")
        .count();
    assert_eq!(
        local,
        if near.is_empty() { 0 } else { 2 },
        "classes without a route must go to the sidecar's own zone first"
    );
    let describe = |p: &Pool| {
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
    pools[1..].iter().map(describe).collect()
}

fn row(name: &str, halls: &str, fallback: &str) -> (String, String, String) {
    (name.into(), halls.into(), fallback.into())
}

#[test]
fn halls_become_a_chain_of_pools_with_unlisted_halls_last() {
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
    // A route has at most four pools, so that the last two of five halls share one.
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
        pools_and_routes(app, site, app.sidecars.first()).0.len(),
        1,
        "no pools are derived for a hall without an order"
    );
    assert_eq!(
        pools_and_routes(app, site, None).0.len(),
        4,
        "a sidecar without a hall is in the first hall"
    );
}

/// Guards against an order of halls with an unknown or repeated hall.
#[test]
fn orders_with_unknown_or_repeated_halls_are_rejected() {
    for (near, code) in [
        ("[[near]]\nhall = \"x\"\nothers = [\"b\"]\n", "C204"),
        ("[[near]]\nhall = \"a\"\nothers = [\"x\"]\n", "C204"),
        ("[[near]]\nhall = \"a\"\nothers = [\"b\", \"b\"]\n", "C201"),
        ("[[near]]\nhall = \"a\"\nothers = [\"b\", \"a\"]\n", "C201"),
        (
            "[[near]]\nhall = \"a\"\nothers = [\"b\"]\n[[near]]\nhall = \"a\"\nothers = [\"c\"]\n",
            "C201",
        ),
    ] {
        let set = set(near);
        let ids: Vec<&str> = set.found.iter().map(|d| d.code.id()).collect();
        assert!(set.refused() && ids.contains(&code), "{near}: {ids:?}");
    }
}
