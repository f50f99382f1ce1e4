use super::{classes_losing_nodes, Node, NodeLabels, Pairs};

fn state(pools: &[(&str, &str, &str)], pool: Option<&str>) -> Pairs {
    let mut s = Pairs::from([
        ("grades.count".into(), "1".into()),
        ("grades.0.name".into(), "quote".into()),
    ]);
    s.insert("pools.count".into(), pools.len().to_string());
    for (n, (name, nodes, fallback)) in pools.iter().enumerate() {
        let fields = [("name", name), ("nodes", nodes), ("fallback", fallback)];
        for (key, value) in fields.into_iter().filter(|(_, value)| !value.is_empty()) {
            s.insert(format!("pools.{n}.{key}"), value.to_string());
        }
    }
    s.extend(pool.map(|p| ("routes.quote.pool".to_string(), p.to_string())));
    s
}

fn node<'a>(name: &'a str, available: bool, ejected_for: &'a [String]) -> Node<'a> {
    Node {
        labels: NodeLabels {
            name,
            zone_group: "h",
            machine_type: "m",
            cell: 1,
        },
        available,
        ejected_for,
    }
}

/// Guards against applying a change without a warning although every request of a class would be refused.
#[test]
fn only_classes_that_lose_healthy_nodes_are_reported() {
    let quote = ["quote".to_string()];
    let other = ["save-scenario".to_string()];
    let nodes = [
        node("a", true, &[]),
        node("b", false, &[]),
        node("c", true, &quote),
        node("d", true, &other),
    ];
    let from = |pool| {
        state(
            &[
                ("a", "a", ""),
                ("b", "b", ""),
                ("c", "c", "b"),
                ("d", "d", ""),
                ("e", "b", "a"),
            ],
            pool,
        )
    };
    let reported = |current: &Pairs, wanted: &Pairs| {
        let found = classes_losing_nodes(current, wanted, &nodes);
        found.first().map_or(String::new(), |f| {
            f.1.split(':').next().unwrap().to_string()
        })
    };
    let (free, a) = (from(None), from(Some("a")));
    assert_eq!(reported(&free, &a), "");
    assert_eq!(
        reported(&a, &from(Some("d"))),
        "",
        "the node is ejected for another class only"
    );
    let loses = "it loses its last healthy node";
    assert_eq!(reported(&a, &from(Some("b"))), loses, "node b is draining");
    assert_eq!(
        reported(&free, &from(Some("c"))),
        loses,
        "node c is ejected, its fallback is draining"
    );
    assert_eq!(
        reported(&a, &from(Some("e"))),
        "its first pool e has no healthy node right now"
    );
    assert_eq!(
        reported(&from(Some("b")), &from(Some("b"))),
        "",
        "nothing changes"
    );
    assert_eq!(
        reported(&from(Some("b")), &from(Some("c"))),
        "none of c, b has a healthy node right now"
    );
    // The route is unchanged, its pool selects another node.
    let mut changed_pool = a.clone();
    changed_pool.insert("pools.0.nodes".into(), "b".into());
    assert_eq!(reported(&a, &changed_pool), loses);
    assert_eq!(
        classes_losing_nodes(&a, &changed_pool, &[]),
        [],
        "nothing is reported when no node is known"
    );
}
