//! Which pools and routes follow from the order of halls by nearness.

use wrenfork_config::locality::ways;
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
