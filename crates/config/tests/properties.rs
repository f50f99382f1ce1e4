//! Properties that hold for any input.

use proptest::prelude::{any, prop, prop_assert, prop_assert_eq, proptest, Strategy};
use proptest::test_runner::{Config, RngSeed};
use std::fs;
use std::path::Path;
use wrenfork_config::fmt;
use wrenfork_config::render::render;
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;
use wrenfork_config::template::{application, TemplateValues};

/// Text of a valid file of the corpus.
fn good(name: &str) -> String {
    fs::read_to_string(
        Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("tests/good")
            .join(name),
    )
    .unwrap()
}

/// A fixed seed, so that each run tests the same cases.
fn config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(8),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A valid file with some of its bytes removed or replaced.
fn damaged(names: &'static [&'static str]) -> impl Strategy<Value = String> {
    let one = (0..names.len()).prop_map(|n| good(names[n]));
    let cuts = prop::collection::vec(
        (
            any::<prop::sample::Index>(),
            0usize..40,
            "[\\[\\]{}\"'=#.,\\n a-z0-9/\\\\-]{0,6}",
        ),
        1..5,
    );
    (one, cuts).prop_map(|(text, cuts)| {
        let mut bytes = text.into_bytes();
        for (at, length, replacement) in cuts {
            let at = at.index(bytes.len().max(1)).min(bytes.len());
            let end = (at + length).min(bytes.len());
            bytes.splice(at..end, replacement.into_bytes());
        }
        String::from_utf8_lossy(&bytes).into_owned()
    })
}

/// Valid files that are damaged.
const ALL: &[&str] = &[
    "site.toml",
    "desk.toml",
    "fleet.toml",
    "shop.toml",
    "fleet.json",
    "with-site-comments-everywhere.toml",
];

fn comments(text: &str) -> Vec<&str> {
    // Valid files of the corpus have no '#' inside text.
    text.lines()
        .filter_map(|l| l.find('#').map(|at| l[at..].trim_end()))
        .collect()
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against panics and spans outside the text for damaged files.
    #[test]
    fn damaged_files_do_not_panic(text in damaged(ALL)) {
        let sources = [Source::new("site", good("site.toml")), Source::new("fleet", good("fleet.toml")), Source::new("damaged", text)];
        let set = Set::from_sources(sources);
        for d in &set.found {
            let _ = d.line(&set.sources);
            prop_assert!(d.place.span.end <= set.sources[d.place.file].text.len());
        }
        let _ = fmt(&set.sources[2].text);
        // Accepted files can be rendered.
        if let (false, Some(site)) = (set.refused(), set.site()) {
            for app in set.applications() {
                for sidecar in &app.content.sidecars {
                    prop_assert!(render(app.content, site.content, set.fleet().map(|f| f.content), &sidecar.name.value).is_ok());
                }
            }
        }
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,300}") {
        let _ = Set::from_sources([Source::new("any", text.clone())]);
        let _ = fmt(&text);
    }

    /// Guards against formatting that loses a comment, changes a value or is not idempotent.
    #[test]
    fn formatting_keeps_comments_and_values_and_is_idempotent(
        name in prop::sample::select(vec!["site.toml", "desk.toml", "fleet.toml", "with-site-comments-everywhere.toml", "with-site-inline-tables.toml"]),
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0u8..5), 0..12),
    ) {
        let mut lines: Vec<String> = good(name).lines().map(String::from).collect();
        for (at, edit) in edits {
            let at = at.index(lines.len());
            match edit {
                0 => lines.insert(at, String::new()),
                1 => lines.insert(at, "   # a comment of its own".into()),
                2 => lines[at].push_str("  \t"),
                3 if lines[at].contains(" = ") && !lines[at].contains('#') => lines[at].push_str("   # behind"),
                _ => lines[at] = lines[at].replacen(" = ", "=", 1),
            }
        }
        let before = lines.join("\n");
        let once = fmt(&before).unwrap();
        prop_assert_eq!(&fmt(&once).unwrap(), &once);
        let (mut comments_before, mut comments_after) = (comments(&before), comments(&once));
        comments_before.sort_unstable();
        comments_after.sort_unstable();
        prop_assert_eq!(comments_before, comments_after);
        let parse = |text: &str| text.parse::<toml::Table>().unwrap();
        prop_assert_eq!(parse(&before), parse(&once));
    }

    /// Guards against templates that the checker rejects or that are not formatted.
    #[test]
    fn templates_are_valid_and_formatted(
        name in "[a-z][a-z0-9-]{0,20}",
        accounts in prop::collection::btree_map(0u64..(1 << 33), prop::sample::select(vec!["starter", "business"]), 1..5),
        sends in prop::sample::subsequence(vec!["quote", "save-scenario", "lender-referral"], 1..=3),
        port in 1024u16..65535,
        socket in any::<bool>(),
    ) {
        let listen = if socket { format!("unix:/run/{name}.sock") } else { format!("127.0.0.1:{port}") };
        let values = TemplateValues {
            name,
            site: "bangna".into(),
            sends: sends.into_iter().map(String::from).collect(),
            accounts: accounts.into_iter().map(|(id, plan)| (id, plan.to_string())).collect(),
            listen,
            discovery: "127.0.0.1:8500".into(),
        };
        let text = application(&values).unwrap();
        let set = Set::from_sources([Source::new("site", good("site.toml")), Source::new("new", text.clone())]);
        prop_assert!(set.found.is_empty(), "{:?}\n{}", set.found, text);
        prop_assert_eq!(fmt(&text).unwrap(), text);
    }
}

#[test]
fn rendering_is_deterministic() {
    let once = || {
        let names = ["site.toml", "fleet.toml", "with-site-two-sidecars.toml"];
        let set = Set::from_sources(names.map(|n| Source::new(n, good(n))));
        let (site, apps, fleet) = (
            set.site().unwrap(),
            set.applications(),
            set.fleet().unwrap(),
        );
        let config = render(apps[0].content, site.content, Some(fleet.content), "desk-2").unwrap();
        serde_json::to_string_pretty(&config).unwrap()
    };
    let first = once();
    assert!((0..5).all(|_| once() == first));
    assert!(
        first.contains("\"slot_no\": 1") && first.contains("\"zone\": 1"),
        "{first}"
    );
}
