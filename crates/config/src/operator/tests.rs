use super::{read, Operator};

fn read_text(text: &str) -> Result<Operator, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("wrenfork.toml");
    std::fs::write(&path, format!("version = 1\nkind = \"ingress\"\n{text}")).unwrap();
    let list = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
    read(&path, &list(&["a", "b"]), &list(&["quote", "save"]), 1)
}

/// Guards against accepting a file that names an unknown class or hall, and against an empty file that changes
/// something.
#[test]
fn pools_and_routes_are_checked_against_the_platforms_names() {
    assert_eq!(read_text(""), Ok(Operator::default()));
    let pool =
        "[[pool]]\nname = \"p\"\nhalls = [\"a\"]\n[[route]]\nclass = \"quote\"\npool = \"p\"\n";
    let near = "[[near]]\nhall = \"b\"\nothers = [\"a\"]\n";
    let operator = read_text(&format!("control = \"/run/c\"\n{pool}{near}")).unwrap();
    assert_eq!(operator.control, Some("/run/c".into()));
    assert_eq!(
        (
            &*operator.routing["routes.quote.pool"],
            &*operator.routing["routes.save.pool"]
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
        let error = read_text(&text).unwrap_err();
        assert!(error.contains(code), "{text}: {error}");
    }
}
