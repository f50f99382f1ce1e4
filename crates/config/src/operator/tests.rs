use super::{read, Operator};

fn told(text: &str) -> Result<Operator, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("wrenfork.toml");
    std::fs::write(&path, format!("version = 1\nkind = \"ingress\"\n{text}")).unwrap();
    let list = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    read(&path, &list(&["a", "b"]), &list(&["quote", "save"]), 1)
}

/// Guards against a file that is taken although the platform has no such class or hall, and one that says nothing and
/// changes something all the same.
#[test]
fn pools_and_routes_are_checked_beside_the_platforms_own_names() {
    assert_eq!(told(""), Ok(Operator::default()));
    let pool =
        "[[pool]]\nname = \"p\"\nhalls = [\"a\"]\n[[route]]\nclass = \"quote\"\npool = \"p\"\n";
    let near = "[[near]]\nhall = \"b\"\nothers = [\"a\"]\n";
    let said = told(&format!("control = \"/run/c\"\n{pool}{near}")).unwrap();
    assert_eq!(said.control, Some("/run/c".into()));
    assert_eq!(
        (
            &*said.ways["routes.quote.pool"],
            &*said.ways["routes.save.pool"]
        ),
        ("p", "hall:b")
    );
    for (text, code) in [
        (pool.replace("\"a\"", "\"c\""), "C204"),
        (pool.replace("quote", "quite"), "C202"),
        (pool.replace("pool = \"p\"", "pool = \"q\""), "C205"),
        (near.replace("\"b\"", "\"x\""), "C204"),
        ("listen = 3\n".into(), "C101"),
    ] {
        let why = told(&text).unwrap_err();
        assert!(why.contains(code), "{text}: {why}");
    }
}
