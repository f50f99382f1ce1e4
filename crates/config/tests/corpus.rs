//! Broken files, each refused with the codes and at the places that it must be, and good ones, each taken. A broken
//! file says at its top what it must be refused with (`# refused: C106 12:9`, code, line and column) and beside which
//! good files it is checked (`# with: site.toml`).

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use wrenfork_config::codes::{Code, Severity};
use wrenfork_config::set::Set;
use wrenfork_config::source::{Source, MOST_BYTES};

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests")
        .join(name)
}

fn files(name: &str, ending: &str) -> Vec<PathBuf> {
    let all = fs::read_dir(folder(name))
        .unwrap()
        .map(|e| e.unwrap().path());
    let mut all: Vec<PathBuf> = all
        .filter(|p| p.extension().is_some_and(|e| e == ending))
        .collect();
    all.sort();
    all
}

/// What a set is found guilty of: the code, and the file's name with the line and column.
fn told(set: &Set) -> Vec<(String, String)> {
    let one = |d: &wrenfork_config::diagnostic::Diagnostic| {
        let source = &set.sources[d.place.file];
        let (line, column) = source.position(d.place.span.start);
        let name = Path::new(&source.name)
            .file_name()
            .unwrap()
            .to_string_lossy()
            .into_owned();
        (d.code.id().to_string(), format!("{name} {line}:{column}"))
    };
    set.found.iter().map(one).collect()
}

/// Guards against a mistake that passes, is told under another code or at another place, hides those behind it, or
/// draws others that are none.
#[test]
fn each_broken_file_is_refused_for_what_is_wrong_with_it_and_nothing_else() {
    let (mut wrong, mut seen, mut count) = (Vec::new(), BTreeSet::new(), 0);
    for path in files("refused", "toml") {
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        }; // no text: has a test of its own
        count += 1;
        let after = |mark: &str| -> Vec<String> {
            text.lines()
                .filter_map(|l| l.strip_prefix(mark))
                .map(|l| l.trim().to_string())
                .collect()
        };
        let want: Vec<(String, String)> = after("# refused:")
            .iter()
            .map(|w| {
                let (code, place) = w.split_once(' ').unwrap();
                seen.insert(code.to_string());
                (code.to_string(), format!("{name} {place}"))
            })
            .collect();
        assert!(
            !want.is_empty(),
            "{name} does not say what it is refused with"
        );
        let with = after("# with:");
        let with = with
            .iter()
            .flat_map(|w| w.split(' '))
            .map(|w| folder("good").join(w));
        let set = Set::read(with.chain([path.clone()]));
        let have = told(&set);
        if have != want {
            let messages: Vec<&str> = set.found.iter().map(|d| d.message.as_str()).collect();
            wrong.push(format!(
                "{name}:\n  want {want:?}\n  have {have:?}\n  {messages:?}"
            ));
        }
    }
    assert!(
        wrong.is_empty(),
        "{} of {count}:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
    assert!(count >= 80, "only {count} broken files");
    // Those that no TOML text can have are in the tests below.
    let others = ["C001", "C002", "C003", "C005"];
    let missing: Vec<&str> = Code::ALL
        .iter()
        .map(|c| c.id())
        .filter(|c| !seen.contains(*c) && !others.contains(c))
        .collect();
    assert!(missing.is_empty(), "no broken file for {missing:?}");
}

#[test]
fn each_good_file_is_taken() {
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

/// Guards against a check that reads a directory, waits at a pipe for a writer that never comes, fills the memory, or
/// takes bytes for text.
#[test]
fn what_is_no_file_of_text_can_not_be_read() {
    let refused = |name: &str| Set::read([folder("refused").join(name)]);
    assert_eq!(code_of(&refused("is-not-there.toml")), Some("C001"));
    assert_eq!(code_of(&Set::read([folder("refused")])), Some("C001"));
    assert_eq!(code_of(&Set::read([Path::new("/dev/null")])), Some("C001"));
    assert_eq!(code_of(&refused("not-utf8.toml")), Some("C003"));
    assert!(refused("not-utf8.toml").unreadable());
    assert_eq!(code_of(&refused("cut-off.json")), Some("C005"));
    assert_eq!(code_of(&refused("unknown-status.json")), Some("C005"));
    let place = std::env::temp_dir().join(format!("brackets-{}.toml", std::process::id()));
    fs::write(&place, "[".repeat(50 << 20)).unwrap();
    let set = Set::read([&place]);
    fs::remove_file(&place).unwrap();
    assert_eq!(code_of(&set), Some("C002"));
}

/// Guards against a stack that overflows, or a time that grows with the square.
#[test]
fn deep_and_long_nests_are_refused_as_broken_text() {
    for text in [
        "a = [".repeat(5_000),
        "a.".repeat(20_000),
        "[".repeat(MOST_BYTES / 16),
        "a = {b = ".repeat(5_000),
    ] {
        let set = Set::from_sources([Source::new("deep", text)]);
        assert_eq!(code_of(&set), Some("C004"));
    }
}

#[test]
fn one_mistake_of_each_application_is_told_in_the_order_of_the_files() {
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

/// Guards against a sum that names one application and leaves the reader to look for the others.
#[test]
fn quotas_over_the_ceiling_are_told_with_the_sum_the_ceiling_and_both_places() {
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
fn every_code_is_explained() {
    for code in Code::ALL {
        assert!(code.explain().len() > 40, "{code}");
        assert!(
            code.title().len() > 10 && code.severity() <= Severity::Warned,
            "{code}"
        );
    }
}

/// Guards against a reference that says what the program no longer does.
#[test]
fn the_operators_reference_is_what_the_program_says() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/configuration.md");
    let have = fs::read_to_string(page).unwrap();
    let want = wrenfork_config::schema::reference();
    assert!(
        have == want,
        "run: wrenctl config reference > docs/operators/configuration.md"
    );
}

/// Guards against an example that is refused when an operator begins from it.
#[test]
fn the_examples_under_deploy_are_taken() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (example, beside) in [
        ("roster.toml", vec![folder("good").join("site.toml")]),
        ("wrenfork.toml", Vec::new()),
    ] {
        let set = Set::read(beside.into_iter().chain([deploy.join(example)]));
        assert!(!set.refused(), "{example}: {:?}", told(&set));
    }
}
