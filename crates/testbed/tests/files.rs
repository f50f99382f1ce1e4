//! Scenario files: invalid files are rejected with line, key and reason, and all files in `scenarios/` are valid.

use std::path::{Path, PathBuf};
use wrenfork_testbed::arrivals::{Accounts, Arrivals};
use wrenfork_testbed::scenario::Scenario;

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios")
}

fn calm() -> String {
    std::fs::read_to_string(folder().join("calm.toml")).unwrap()
}

#[test]
fn all_included_scenarios_are_valid_and_have_a_description() {
    let files: Vec<PathBuf> = std::fs::read_dir(folder())
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    assert!(
        files.len() >= 12,
        "expected at least 12 scenarios, found {}",
        files.len()
    );
    for file in files {
        let scenario = Scenario::read(&file).unwrap_or_else(|found| panic!("{}", found[0]));
        assert!(
            scenario.about.len() > 10,
            "{}: `about` is too short",
            file.display()
        );
    }
}

/// Text of the valid file, its replacement, and the key and a part of the reason in the resulting error.
const INVALID_CHANGES: &[(&str, &str, &str, &str)] = &[
    ("version = 1", "version = 2", "version", "only version"),
    (
        "seed = 11",
        "seed = 11\ncolour = 1",
        "colour",
        "unknown field",
    ),
    ("lasts = \"4s\"", "lasts = \"-4s\"", "lasts", "not negative"),
    ("lasts = \"4s\"", "lasts = 4", "lasts", "a time such as"),
    (
        "lasts = \"4s\"",
        "lasts = \"4 fortnights\"",
        "lasts",
        "a number with ms, s or m",
    ),
    (
        "lasts = \"4s\"",
        "lasts = \"0s\"",
        "lasts",
        "100ms at the least",
    ),
    (
        "about = \"A calm run: nothing fails\"",
        "",
        "about",
        "missing field `about`",
    ),
    (
        "count = 3\n",
        "count = 3\n[network]\nreports = \"maybe\"\n",
        "[ingresses]",
        "answers, probes or none",
    ),
    (
        "count = 3\n",
        "count = 3\n[network]\ncounter = [\"4ms\", \"1ms\"]\n",
        "[ingresses]",
        "the least and the most",
    ),
    (
        "count = 3\n",
        "count = 0\n",
        "[ingresses]",
        "count is from 1 to 64",
    ),
    (
        "count = 3\n",
        "count = 3\ncores = -1\n",
        "[ingresses]",
        "cores is above 0",
    ),
    (
        "count = 3\n",
        "count = 3\nport = 65534\n",
        "[ingresses]",
        "port leaves no room",
    ),
    (
        "count = 3\n",
        "count = 2\n[group]\nlease = \"900ms\"\n",
        "[group]",
        "3 at the least",
    ),
    (
        "count = 3\n",
        "count = 3\n[group]\nlease = \"9ms\"\n",
        "[group]",
        "from 300ms",
    ),
    (
        "count = 3\n",
        "count = 3\n[group]\nlease = \"1s\"\nalone = \"x\"\n",
        "[group]",
        "as-known",
    ),
    (
        "count = 3\n",
        "count = 3\n[group]\nlease = \"1s\"\n[[at]]\nat = \"1s\"\nwhat = \"split\"\nfor = \"1s\"\n",
        "[[at]]",
        "checked files",
    ),
    ("rate = 150", "rate = -1", "[clients]", "rate is above 0"),
    ("rate = 150", "rate = \"fast\"", "rate", "invalid type"),
    (
        "accounts = 400",
        "accounts = 0",
        "[clients]",
        "accounts is from 1",
    ),
    (
        "accounts = 400",
        "accounts = 400\nspread = [3, 2]",
        "[clients]",
        "spread is two numbers",
    ),
    (
        "effect = \"unsafe\"",
        "effect = \"risky\"",
        "effect",
        "safe, keyed or unsafe",
    ),
    ("window = \"3s\"", "", "[[class]]", "window is above 0"),
    (
        "work = \"50ms\"",
        "work = \"0ms\"",
        "[[class]]",
        "work is above 0",
    ),
    (
        "aim = \"400ms\"",
        "aim = \"2s\"",
        "[[class]]",
        "aim is above 0 and no longer",
    ),
    ("ceiling_burst = 32", "", "[[plan]]", "come together"),
    ("ceiling = 16", "ceiling = 4", "[[plan]]", "not below rate"),
    ("burst = 7", "burst = nan", "[[plan]]", "numbers from 0 up"),
    (
        "hall = \"hall-a\"",
        "hall = \"hall-c\"",
        "[[backends]]",
        "none of hall-a, hall-b",
    ),
    ("cores = 3", "cores = 0", "[[backends]]", "cores is from 1"),
];

/// Invalid rows of the timetable, with the key and a part of the reason in the resulting error.
const INVALID_ROWS: &[(&str, &str, &str)] = &[
    (
        "at = \"1s\"\nwhat = \"explode\"",
        "what",
        "there is no fault \"explode\"",
    ),
    (
        "at = \"-1s\"\nwhat = \"kill\"\ningress = 0",
        "at",
        "not negative",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"",
        "what",
        "\"kill\" needs ingress",
    ),
    (
        "at = \"1s\"\nwhat = \"counter-slow\"\nfor = \"1s\"",
        "what",
        "\"counter-slow\" needs delay",
    ),
    (
        "at = \"1s\"\nwhat = \"counter-gone\"\nfor = \"1s\"",
        "[[at]]",
        "there is no count service",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"\ningress = 3",
        "ingress",
        "there is no ingress 3: they are numbered from 0 to 2",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"\ningress = -1",
        "ingress",
        "numbered from 0",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"\ningress = []",
        "ingress",
        "names no ingress",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"\ningress = [0, 7]",
        "ingress",
        "there is no ingress 7",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"\ningress = 0\nbackend = 1",
        "backend",
        "\"kill\" takes no backend",
    ),
    (
        "at = \"1s\"\nwhat = \"drain\"\nbackend = 12",
        "backend",
        "there is no backend 12",
    ),
    (
        "at = \"1s\"\nwhat = \"drain\"",
        "what",
        "needs backend or share",
    ),
    (
        "at = \"1s\"\nwhat = \"hang\"\nshare = 2\nfor = \"1s\"",
        "share",
        "share is from 0 to 1",
    ),
    (
        "at = \"1s\"\nwhat = \"hang\"\nbackend = 1",
        "what",
        "\"hang\" needs for",
    ),
    (
        "at = \"1s\"\nwhat = \"hostile\"\ncount = 1\nmanner = \"kind\"\nfor = \"1s\"",
        "manner",
        "half, garbage",
    ),
    (
        "at = \"1s\"\nwhat = \"hostile\"\ncount = 0\nmanner = \"half\"\nfor = \"1s\"",
        "count",
        "from 1 to 20000",
    ),
    (
        "at = \"1s\"\nwhat = \"leg-silent\"\nleg = \"left\"\nfor = \"1s\"",
        "leg",
        "clients, backends or discovery",
    ),
    (
        "at = \"1s\"\nwhat = \"lossy\"\nloss = 1.5\nfor = \"1s\"",
        "loss",
        "from 0 to 1",
    ),
    (
        "at = \"1s\"\nwhat = \"hot\"\naccounts = 0\nrate = 1\nfor = \"1s\"",
        "accounts",
        "from 1 to 1000",
    ),
    (
        "at = \"1s\"\nwhat = \"kill\"\ningress = 0\nwhen = 1",
        "when",
        "unknown field",
    ),
    (
        "at = \"1s\"\nwhat = \"link\"\nfrom = 0\nto = 1\nfault = \"dropped\"\nfor = \"1s\"",
        "[[at]]",
        "[group] is not given",
    ),
    (
        "at = \"1s\"\nwhat = \"link\"\nfrom = 0\nfault = \"dropped\"\nfor = \"1s\"",
        "what",
        "needs to",
    ),
    (
        "at = \"1s\"\nwhat = \"link\"\nfrom = 0\nto = 1\nfault = \"late\"\nfor = \"1s\"",
        "fault",
        "needs delay",
    ),
    (
        "at = \"1s\"\nwhat = \"link\"\nfrom = 0\nto = 1\nfault = \"slow\"\nfor = \"1s\"",
        "fault",
        "dropped, refused",
    ),
    (
        "at = \"1s\"\nwhat = \"split\"\nfor = \"2h\"",
        "for",
        "a number with ms, s or m",
    ),
];

fn assert_rejected(source: &str, key: &str, reason: &str) {
    let found = Scenario::parse("broken.toml", source).expect_err(&format!("{key}: {reason}"));
    let reported = found
        .iter()
        .any(|d| d.key.as_deref() == Some(key) && d.reason.contains(reason));
    let messages: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert!(
        reported,
        "expected {key}: {reason}, got\n{}",
        messages.join("\n")
    );
    for d in &found {
        let (line, column) = d.place.expect("error without line and column");
        assert!(
            line >= 1 && column >= 1 && line <= source.lines().count() + 1,
            "{d}"
        );
    }
}

#[test]
fn invalid_file_is_rejected_with_key_and_reason() {
    for (good, bad, key, reason) in INVALID_CHANGES {
        let source = calm();
        assert!(source.contains(good), "calm.toml does not contain {good:?}");
        assert_rejected(&source.replacen(good, bad, 1), key, reason);
    }
}

#[test]
fn invalid_timetable_row_is_rejected_with_key_and_reason() {
    for (row, key, reason) in INVALID_ROWS {
        assert_rejected(&format!("{}\n[[at]]\n{row}\n", calm()), key, reason);
    }
}

/// Guards against reporting only the first error of a file.
#[test]
fn all_errors_are_reported_together() {
    let source = calm()
        .replace("rate = 150", "rate = -1")
        .replace("cores = 3", "cores = 0");
    assert_eq!(
        Scenario::parse("broken.toml", &source).unwrap_err().len(),
        2
    );
}

#[test]
fn syntax_error_and_missing_file_are_reported() {
    let found = Scenario::parse("broken.toml", "version = = 1").unwrap_err();
    assert_eq!(found[0].place.map(|p| p.0), Some(1));
    let found = Scenario::read(Path::new("/nowhere/at-all.toml")).unwrap_err();
    assert!(found[0].reason.contains("cannot read it"), "{}", found[0]);
}

/// Guards against runs that can't be reproduced from file and seed.
#[test]
fn arrivals_depend_on_the_seed_alone() {
    let arrivals = |seed: u64| {
        let mut scenario = Scenario::parse("calm.toml", &calm()).unwrap();
        scenario.seed = seed;
        let accounts = Accounts::new(&scenario);
        let list = Arrivals::new(&scenario).map(|a| {
            (
                a,
                accounts.plan(a.account),
                accounts.ingress_order(a.account, a.at, 0.5),
            )
        });
        list.collect::<Vec<_>>()
    };
    let (one, two, other) = (arrivals(11), arrivals(11), arrivals(12));
    assert!(one.len() > 400 && one == two && one != other);
    let rate = one.len() as f64 / 4.0;
    assert!(
        (120.0..180.0).contains(&rate),
        "expected about 150 arrivals per second, got {rate}"
    );
}
