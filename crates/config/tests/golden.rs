//! Compares all output formats of this package with the files under `tests/golden/`, byte for byte: the JSON Schema,
//! the settings and enforced state of each sidecar, each formatted file, an application's template, and each diagnostic
//! in full.
//!
//! The files are updated only by hand, after an intended change of a format:
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

/// Paths of the files in a folder of the corpus, sorted by name.
fn corpus(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(tests_folder().join(folder)).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
}

/// The set of a valid file, together with the site and the fleet if the file needs them.
fn good_set(path: &Path) -> Set {
    let beside = ["site.toml", "fleet.toml"].map(|name| tests_folder().join("good").join(name));
    let is_json = path
        .extension()
        .is_some_and(|extension| extension == "json");
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

/// Writes a sidecar's rendered settings, and the fixed settings and enforced state that they are split into.
fn write_sidecar(
    out: &mut String,
    application: &Application,
    site: &Site,
    fleet: Option<&Fleet>,
    name: &str,
) {
    let rendered = render(application, site, fleet, name);
    match enforced::sidecar(application, site, fleet, name) {
        Ok((settings, split)) => {
            assert_eq!(rendered.unwrap(), settings);
            writeln!(out, " settings {settings}").unwrap();
            for (key, value) in &split.fixed {
                writeln!(out, "  fixed {key}={value}").unwrap();
            }
            write_state(out, &split.state);
            write_read_back(out, &split);
        }
        Err(error) => writeln!(out, " not enforced: {error}").unwrap(),
    }
}

/// Writes what an ingress parses from its enforced state.
fn write_read_back(out: &mut String, split: &enforced::SplitSettings) {
    let settings = enforced::join(&split.fixed, &split.state).unwrap();
    let classes = settings.names("grades").unwrap();
    let callers = callers::read(&split.state, &classes).unwrap();
    let (table, pools) = enforced::table(&split.state).unwrap();
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

/// The nodes of each valid fleet snapshot, from TOML files and from discovery's JSON list.
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
            Ok(operator) => {
                writeln!(out, "{hall} {:?} {:?}", operator.control, operator.state).unwrap();
                write_state(&mut out, &operator.routing);
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
    let template_values = |name: &str| template::TemplateValues {
        name: name.to_string(),
        site: "bangna".to_string(),
        sends: vec!["quote".to_string(), "refer".to_string()],
        accounts: vec![(0x4d2, "business".to_string())],
        listen: "127.0.0.1:7600".to_string(),
        discovery: "127.0.0.1:8500".to_string(),
    };
    let mut out = String::new();
    for name in ["desk", "no name"] {
        match template::application(&template_values(name)) {
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
    for (place, note) in &diagnostic.related {
        write!(out, "    related ").unwrap();
        write_place(out, sources, place);
        writeln!(out, " {note}").unwrap();
    }
    if let Some(help) = &diagnostic.help {
        writeln!(out, "    help {help}").unwrap();
    }
}

/// The set of an invalid file, together with the files that its `# with:` comment names.
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

/// Each golden file's name with the current output.
fn outputs() -> [(&'static str, String); 7] {
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

/// Guards against unintended changes of an output format.
#[test]
fn output_formats_match_the_golden_files() {
    for (name, actual) in outputs() {
        let golden = fs::read_to_string(tests_folder().join("golden").join(name)).unwrap();
        let differing = golden
            .lines()
            .zip(actual.lines())
            .enumerate()
            .find(|(_, (golden, actual))| golden != actual);
        assert!(golden == actual, "{name}: {differing:?}");
    }
}

/// Guards against golden files that cover too few cases.
#[test]
fn the_golden_files_cover_sidecars_and_diagnostics() {
    let lines_of = |text: String, start: &str| -> usize {
        text.lines().filter(|line| line.starts_with(start)).count()
    };
    assert!(lines_of(sidecars(), " settings ") >= 40);
    assert!(lines_of(diagnostics(), "  C") >= 80);
}

#[test]
#[ignore = "writes the golden files; run by hand after an intended change of a format"]
fn write_golden_files() {
    for (name, actual) in outputs() {
        fs::write(tests_folder().join("golden").join(name), actual).unwrap();
    }
}
