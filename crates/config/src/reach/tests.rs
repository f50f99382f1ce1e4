use super::{stranded, Node, NodeLabels, Pairs};

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

fn node<'a>(name: &'a str, takes: bool, rests: &'a [String]) -> Node<'a> {
    Node {
        traits: NodeLabels {
            name,
            zone_group: "h",
            machine_type: "m",
            cell: 1,
        },
        takes,
        rests,
    }
}

/// Guards against a change that refuses every request of a class and passes for harmless.
#[test]
fn a_class_that_loses_its_last_healthy_node_is_told_and_no_other() {
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
    let told = |has: &Pairs, wanted: &Pairs| {
        let found = stranded(has, wanted, &nodes);
        found.first().map_or(String::new(), |f| {
            f.1.split(':').next().unwrap().to_string()
        })
    };
    let (free, a) = (from(None), from(Some("a")));
    assert_eq!(told(&free, &a), "");
    assert_eq!(
        told(&a, &from(Some("d"))),
        "",
        "resting for another class is no harm"
    );
    let loses = "it loses its last healthy node";
    assert_eq!(told(&a, &from(Some("b"))), loses, "it drains");
    assert_eq!(
        told(&free, &from(Some("c"))),
        loses,
        "one rests, its fallback drains"
    );
    assert_eq!(
        told(&a, &from(Some("e"))),
        "its first pool e has no healthy node right now"
    );
    assert_eq!(
        told(&from(Some("b")), &from(Some("b"))),
        "",
        "nothing changes"
    );
    assert_eq!(
        told(&from(Some("b")), &from(Some("c"))),
        "none of c, b has a healthy node right now"
    );
    // The route stays, its pool is another.
    let mut moved = a.clone();
    moved.insert("pools.0.nodes".into(), "b".into());
    assert_eq!(told(&a, &moved), loses);
    assert_eq!(
        stranded(&a, &moved, &[]),
        [],
        "who knows no node says nothing"
    );
}
