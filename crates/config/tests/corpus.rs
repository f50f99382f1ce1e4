//! Checks a corpus of invalid files, each with the expected diagnostics, and of valid files, which must give none.
//! Comments at the top of an invalid file give each expected code, line and column (`# refused: C106 12:9`) and the
//! valid files that it is checked with (`# with: site.toml`).

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use wrenfork_config::codes::{Code, Severity};
use wrenfork_config::set::Set;
use wrenfork_config::source::{Source, MAX_FILE_BYTES};

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(name)
}

fn files(folder_name: &str, extension: &str) -> Vec<PathBuf> {
    let all = fs::read_dir(folder(folder_name))
        .unwrap()
        .map(|e| e.unwrap().path());
    let mut all: Vec<PathBuf> = all
        .filter(|p| p.extension().is_some_and(|e| e == extension))
        .collect();
    all.sort();
    all
}

/// The diagnostics of a set: each code, and the file's name with line and column.
fn diagnostics(set: &Set) -> Vec<(String, String)> {
    let describe = |d: &wrenfork_config::diagnostic::Diagnostic| {
        let source = &set.sources[d.place.file];
        let (line, column) = source.position(d.place.span.start);
        let name = Path::new(&source.name)
            .file_name()
            .unwrap()
            .to_string_lossy()
            .into_owned();
        (d.code.id().to_string(), format!("{name} {line}:{column}"))
    };
    set.found.iter().map(describe).collect()
}

/// Guards against mistakes that are missed, are reported with a wrong code or place, hide later mistakes, or cause
/// diagnostics for correct lines.
#[test]
fn invalid_files_give_exactly_the_expected_diagnostics() {
    let (mut failures, mut seen, mut count) = (Vec::new(), BTreeSet::new(), 0);
    for path in files("refused", "toml") {
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        }; // not UTF-8: covered by `unreadable_and_oversized_files_are_reported`
        count += 1;
        let after = |mark: &str| -> Vec<String> {
            text.lines()
                .filter_map(|l| l.strip_prefix(mark))
                .map(|l| l.trim().to_string())
                .collect()
        };
        let expected: Vec<(String, String)> = after("# refused:")
            .iter()
            .map(|w| {
                let (code, place) = w.split_once(' ').unwrap();
                seen.insert(code.to_string());
                (code.to_string(), format!("{name} {place}"))
            })
            .collect();
        assert!(
            !expected.is_empty(),
            "{name} has no line `# refused:` with the expected diagnostics"
        );
        let with = after("# with:");
        let with = with
            .iter()
            .flat_map(|w| w.split(' '))
            .map(|w| folder("good").join(w));
        let set = Set::read(with.chain([path.clone()]));
        let actual = diagnostics(&set);
        if actual != expected {
            let messages: Vec<&str> = set.found.iter().map(|d| d.message.as_str()).collect();
            failures.push(format!(
                "{name}:\n  expected {expected:?}\n  actual {actual:?}\n  {messages:?}"
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {count}:\n{}",
        failures.len(),
        failures.join("\n")
    );
    assert!(count >= 80, "only {count} broken files");
    // Codes that no TOML text can cause are covered by the tests below.
    let others = ["C001", "C002", "C003", "C005"];
    let missing: Vec<&str> = Code::ALL
        .iter()
        .map(|c| c.id())
        .filter(|c| !seen.contains(*c) && !others.contains(c))
        .collect();
    assert!(missing.is_empty(), "no broken file for {missing:?}");
}

#[test]
fn valid_files_give_no_diagnostics() {
    let mut count = 0;
    for path in files("good", "toml")
        .into_iter()
        .chain(files("good", "json"))
    {
        count += 1;
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let beside = ["site.toml", "fleet.toml"].map(|n| folder("good").join(n));
        let alone = beside.contains(&path) || name.ends_with(".json");
        let set = if alone {
            Set::read([&path])
        } else {
            Set::read(beside.iter().chain([&path]))
        };
        assert!(set.found.is_empty(), "{name}: {:?}", set.found);
    }
    assert!(count >= 20, "only {count} good files");
    let together =
        ["site.toml", "fleet.toml", "desk.toml", "shop.toml"].map(|n| folder("good").join(n));
    assert!(Set::read(together).found.is_empty());
}

fn code_of(set: &Set) -> Option<&'static str> {
    set.found.first().map(|d| d.code.id())
}

/// Guards against reading a directory, blocking on a pipe without a writer, exhausting memory, and accepting bytes that
/// are not UTF-8.
#[test]
fn unreadable_and_oversized_files_are_reported() {
    let refused = |name: &str| Set::read([folder("refused").join(name)]);
    assert_eq!(code_of(&refused("is-not-there.toml")), Some("C001"));
    assert_eq!(code_of(&Set::read([folder("refused")])), Some("C001"));
    assert_eq!(code_of(&Set::read([Path::new("/dev/null")])), Some("C001"));
    assert_eq!(code_of(&refused("not-utf8.toml")), Some("C003"));
    assert!(refused("not-utf8.toml").unreadable());
    assert_eq!(code_of(&refused("cut-off.json")), Some("C005"));
    assert_eq!(code_of(&refused("unknown-status.json")), Some("C005"));
    let path = std::env::temp_dir().join(format!("brackets-{}.toml", std::process::id()));
    fs::write(&path, "[".repeat(50 << 20)).unwrap();
    let set = Set::read([&path]);
    fs::remove_file(&path).unwrap();
    assert_eq!(code_of(&set), Some("C002"));
}

/// Guards against a stack overflow and against parsing in quadratic time.
#[test]
fn deeply_nested_text_is_a_syntax_error() {
    for text in [
        "a = [".repeat(5_000),
        "a.".repeat(20_000),
        "[".repeat(MAX_FILE_BYTES / 16),
        "a = {b = ".repeat(5_000),
    ] {
        let set = Set::from_sources([Source::new("deep", text)]);
        assert_eq!(code_of(&set), Some("C004"));
    }
}

#[test]
fn diagnostics_are_in_the_order_of_the_files() {
    let good = |name: &str| fs::read_to_string(folder("good").join(name)).unwrap();
    let site = Source::new("site", good("site.toml"));
    let desk = Source::new("desk", good("desk.toml").replace("\"6/s\"", "\"6\""));
    let shop = Source::new(
        "shop",
        good("shop.toml").replace("[\"quote\"]", "[\"quota\"]"),
    );
    let set = Set::from_sources([shop, site, desk]);
    let found: Vec<(&str, usize)> = set
        .found
        .iter()
        .map(|d| (d.code.id(), d.place.file))
        .collect();
    assert_eq!(found, [("C202", 0), ("C106", 2)]);
}

/// Guards against a ceiling diagnostic that names only one of the applications involved.
#[test]
fn ceiling_diagnostic_has_the_sum_the_ceiling_and_all_applications() {
    let good = |name: &str| Source::read(&folder("good").join(name), 0).unwrap();
    let shop = Source::read(&folder("refused").join("together-over-the-ceiling.toml"), 0).unwrap();
    let set = Set::from_sources([good("site.toml"), good("desk.toml"), shop]);
    let found = &set.found[0];
    assert_eq!(found.code, Code::CeilingTogether);
    for part in ["46/s", "40/s", "\"desk\" 6/s", "\"shop\" 40/s"] {
        assert!(found.message.contains(part), "{part}: {}", found.message);
    }
    let places: Vec<usize> = found.related.iter().map(|(p, _)| p.file).collect();
    assert_eq!((found.place.file, places), (2, vec![0, 1]));
}

#[test]
fn every_code_has_a_title_and_an_explanation() {
    for code in Code::ALL {
        assert!(code.explain().len() > 40, "{code}");
        assert!(
            code.title().len() > 10 && code.severity() <= Severity::Warned,
            "{code}"
        );
    }
}

/// Guards against an outdated operators' reference.
#[test]
fn operators_reference_is_up_to_date() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/configuration.md");
    let actual = fs::read_to_string(page).unwrap();
    let expected = wrenfork_config::schema::reference();
    assert!(
        actual == expected,
        "run: wrenctl config reference > docs/operators/configuration.md"
    );
}

/// Guards against shipping an example that the checker rejects.
#[test]
fn deploy_examples_are_valid() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (example, beside) in [
        ("roster.toml", vec![folder("good").join("site.toml")]),
        ("wrenfork.toml", Vec::new()),
    ] {
        let set = Set::read(beside.into_iter().chain([deploy.join(example)]));
        assert!(!set.refused(), "{example}: {:?}", diagnostics(&set));
    }
}
