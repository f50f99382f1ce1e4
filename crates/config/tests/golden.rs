//! Every form that this package writes, byte for byte as the files under `tests/golden/` have it: the JSON Schema, the
//! settings and enforced state of each sidecar, the usual form of each good file, an application's template, and each
//! diagnostic in full.
//!
//! The files are written by hand alone, when a form changes on purpose:
//! `cargo test -p wrenfork-config --test golden -- --ignored write_golden_files`

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};
use wrenfork_config::callers;
use wrenfork_config::diagnostic::{Diagnostic, Place};
use wrenfork_config::enforced;
use wrenfork_config::fmt;
use wrenfork_config::form::FileKind;
use wrenfork_config::model::{Application, Fleet, Site};
use wrenfork_config::operator;
use wrenfork_config::render::render;
use wrenfork_config::schema::schema;
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;
use wrenfork_config::template;

fn tests_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests")
}

fn file_name(path: &Path) -> String {
    path.file_name().unwrap().to_string_lossy().into_owned()
}

/// The files of a folder of the corpus, in the order of their names.
fn corpus(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(tests_folder().join(folder)).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

/// The set of a good file, with the site and the fleet beside it where it needs them.
fn good_set(path: &Path) -> Set {
    let beside = ["site.toml", "fleet.toml"].map(|name| tests_folder().join("good").join(name));
    let is_json = path.extension().is_some_and(|ending| ending == "json");
    if is_json || beside.contains(&path.to_path_buf()) {
        Set::read([path])
    } else {
        Set::read(beside.iter().map(PathBuf::as_path).chain([path]))
    }
}

fn schemas() -> String {
    let mut out = String::new();
    let kinds = FileKind::ALL.into_iter().map(Some).chain([None]);
    for kind in kinds {
        let text = serde_json::to_string_pretty(&schema(kind)).unwrap();
        writeln!(out, "{text}").unwrap();
    }
    out
}

fn write_state(out: &mut String, state: &BTreeMap<String, String>) {
    for (key, value) in state {
        writeln!(out, "  {key}={value}").unwrap();
    }
}

/// What one sidecar is told: the settings as rendered, and how they are split into fixed and enforced ones.
fn write_sidecar(
    out: &mut String,
    application: &Application,
    site: &Site,
    fleet: Option<&Fleet>,
    name: &str,
) {
    let rendered = render(application, site, fleet, name);
    match enforced::sidecar(application, site, fleet, name) {
        Ok((settings, told)) => {
            assert_eq!(rendered.unwrap(), settings);
            writeln!(out, " settings {settings}").unwrap();
            for (key, value) in &told.fixed {
                writeln!(out, "  fixed {key}={value}").unwrap();
            }
            write_state(out, &told.state);
            write_read_back(out, &told);
        }
        Err(error) => writeln!(out, " not enforced: {error}").unwrap(),
    }
}

/// What an ingress reads back from its enforced state.
fn write_read_back(out: &mut String, told: &enforced::Told) {
    let settings = enforced::join(&told.fixed, &told.state).unwrap();
    let classes = settings.names("grades").unwrap();
    let callers = callers::read(&told.state, &classes).unwrap();
    let (table, pools) = enforced::table(&told.state).unwrap();
    writeln!(out, " classes {classes:?}").unwrap();
    writeln!(out, " callers {callers:?}").unwrap();
    writeln!(out, " table {table:?} {pools:?}").unwrap();
    writeln!(out, " decision {:?}", settings.settings().unwrap()).unwrap();
}

fn sidecars() -> String {
    let mut out = String::new();
    for path in corpus("good") {
        let set = good_set(&path);
        let fleet = set.fleet();
        let fleets = [None, fleet.as_ref().map(|fleet| fleet.content)];
        let Some(site) = set.site() else { continue };
        for application in set.applications() {
            for sidecar in &application.content.sidecars {
                for fleet in fleets {
                    let name = &sidecar.name.value;
                    let with = if fleet.is_some() { "with" } else { "without" };
                    writeln!(out, "{} {name} {with} fleet", file_name(&path)).unwrap();
                    write_sidecar(&mut out, application.content, site.content, fleet, name);
                }
            }
        }
    }
    out
}

/// The nodes of each good fleet snapshot, as files and as discovery's own list.
fn fleets() -> String {
    let mut out = String::new();
    for path in corpus("good") {
        let set = good_set(&path);
        let Some(fleet) = set.fleet().filter(|_| set.sources.len() == 1) else {
            continue;
        };
        writeln!(out, "{} {:#?}", file_name(&path), fleet.content).unwrap();
    }
    out
}

fn operators() -> String {
    let path = tests_folder().join("good/ingress.toml");
    let zones = ["hall-a", "hall-b", "hall-c"].map(String::from);
    let classes = ["quote", "refer", "order"].map(String::from);
    let mut out = String::new();
    for hall in 0..zones.len() {
        match operator::read(&path, &zones, &classes, hall) {
            Ok(read) => {
                writeln!(out, "{hall} {:?} {:?}", read.control, read.state).unwrap();
                write_state(&mut out, &read.ways);
            }
            Err(error) => writeln!(out, "{hall} {}", without_folder(&error.to_string())).unwrap(),
        }
    }
    out
}

fn formatted() -> String {
    let mut out = String::new();
    for path in corpus("good").into_iter().chain(corpus("refused")) {
        let Ok(text) = fs::read_to_string(&path) else {
            continue;
        };
        writeln!(out, "=== {}", file_name(&path)).unwrap();
        match fmt(&text) {
            Ok(text) => writeln!(out, "{text}").unwrap(),
            Err(error) => writeln!(out, "not formatted: {error}").unwrap(),
        }
    }
    out
}

fn templates() -> String {
    let wishes = |name: &str| template::Wishes {
        name: name.to_string(),
        site: "bangna".to_string(),
        sends: vec!["quote".to_string(), "refer".to_string()],
        accounts: vec![(0x4d2, "business".to_string())],
        listen: "127.0.0.1:7600".to_string(),
        discovery: "127.0.0.1:8500".to_string(),
    };
    let mut out = String::new();
    for name in ["desk", "no name"] {
        match template::application(&wishes(name)) {
            Ok(text) => writeln!(out, "{text}").unwrap(),
            Err(error) => writeln!(out, "no template: {error}").unwrap(),
        }
    }
    out
}

fn without_folder(text: &str) -> String {
    text.replace(&*tests_folder().to_string_lossy(), "")
}

fn write_place(out: &mut String, sources: &[Source], place: &Place) {
    let source = &sources[place.file];
    let (line, column) = source.position(place.span.start);
    let (end_line, end_column) = source.position(place.span.end);
    let name = file_name(Path::new(&source.name));
    write!(out, "{name} {line}:{column}-{end_line}:{end_column}").unwrap();
}

fn write_diagnostic(out: &mut String, sources: &[Source], diagnostic: &Diagnostic) {
    write!(out, "  {} ", diagnostic.code.id()).unwrap();
    write_place(out, sources, &diagnostic.place);
    writeln!(out, " {}", without_folder(&diagnostic.message)).unwrap();
    for (place, part) in &diagnostic.related {
        write!(out, "    related ").unwrap();
        write_place(out, sources, place);
        writeln!(out, " {part}").unwrap();
    }
    if let Some(help) = &diagnostic.help {
        writeln!(out, "    help {help}").unwrap();
    }
}

/// The set of a broken file, with the files that it names beside it.
fn refused_set(path: &Path) -> Set {
    let text = fs::read_to_string(path).unwrap_or_default();
    let beside: Vec<PathBuf> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# with:"))
        .flat_map(|names| names.split_whitespace())
        .map(|name| tests_folder().join("good").join(name))
        .collect();
    Set::read(beside.iter().map(PathBuf::as_path).chain([path]))
}

fn diagnostics() -> String {
    let mut out = String::new();
    for path in corpus("refused") {
        let set = refused_set(&path);
        writeln!(out, "{}", file_name(&path)).unwrap();
        for diagnostic in &set.found {
            write_diagnostic(&mut out, &set.sources, diagnostic);
        }
    }
    out
}

/// A golden file and what is written for it.
fn forms() -> [(&'static str, String); 7] {
    [
        ("schema.json", schemas()),
        ("sidecars.txt", sidecars()),
        ("fleets.txt", fleets()),
        ("operators.txt", operators()),
        ("formatted.txt", formatted()),
        ("templates.txt", templates()),
        ("diagnostics.txt", diagnostics()),
    ]
}

/// Guards against a form that changes unnoticed.
#[test]
fn every_written_form_is_byte_for_byte_the_golden_one() {
    for (name, written) in forms() {
        let golden = fs::read_to_string(tests_folder().join("golden").join(name)).unwrap();
        let differing = golden
            .lines()
            .zip(written.lines())
            .enumerate()
            .find(|(_, (golden, written))| golden != written);
        assert!(golden == written, "{name}: {differing:?}");
    }
}

/// Guards against golden files that hold nothing.
#[test]
fn the_golden_files_cover_sidecars_and_diagnostics() {
    let lines_of = |text: String, start: &str| -> usize {
        text.lines().filter(|line| line.starts_with(start)).count()
    };
    assert!(lines_of(sidecars(), " settings ") >= 40);
    assert!(lines_of(diagnostics(), "  C") >= 80);
}

#[test]
#[ignore = "writes the golden files; run by hand when a form changes on purpose"]
fn write_golden_files() {
    for (name, written) in forms() {
        fs::write(tests_folder().join("golden").join(name), written).unwrap();
    }
}
