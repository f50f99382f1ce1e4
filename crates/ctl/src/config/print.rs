//! Prints diagnostics: as text with the source lines, or as JSON.

use super::FAILED;
use crate::style;
use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use anstream::{eprintln, println};
use serde_json::{json, Value};
use std::ops::Range;
use std::process::ExitCode;
use wrenfork_config::codes::Severity;
use wrenfork_config::diagnostic::{Diagnostic, Place};
use wrenfork_config::set::Set;
use wrenfork_config::source::Source;

/// Maximum number of diagnostics printed as text.
const MAX_SHOWN: usize = 100;
/// Maximum bytes shown of a source line.
const MAX_LINE_BYTES: usize = 400;

/// The exit code of a check: 0 without errors, 1 with errors, 2 if a file could not be read.
pub fn exit_code(set: &Set) -> ExitCode {
    match (set.unreadable(), set.refused()) {
        (true, _) => ExitCode::from(FAILED),
        (false, true) => ExitCode::FAILURE,
        (false, false) => ExitCode::SUCCESS,
    }
}

/// The line of a source that a span starts in: its number from 1, its text, and the span within that text.
fn line_of(source: &Source, span: &Range<usize>) -> (usize, String, Range<usize>) {
    let text = source.text.as_str();
    let char_boundary = |mut at: usize| {
        at = at.min(text.len());
        while !text.is_char_boundary(at) {
            at -= 1;
        }
        at
    };
    let start = char_boundary(span.start);
    let begin = text[..start].rfind('\n').map_or(0, |n| n + 1);
    let end = text[start..].find('\n').map_or(text.len(), |n| start + n);
    let number = text[..begin].matches('\n').count() + 1;
    // A very long line is cut to a part around the span.
    let from = if start - begin > MAX_LINE_BYTES / 2 {
        char_boundary(start - MAX_LINE_BYTES / 2)
    } else {
        begin
    };
    let to = char_boundary(end.min(from + MAX_LINE_BYTES));
    let stop = char_boundary(span.end).clamp(start, to.max(start));
    let shown = text[from..to].trim_end_matches('\r').to_string();
    let stop = (stop - from).min(shown.len());
    let place = (start - from).min(stop)..stop;
    (number, shown, place)
}

fn report(found: &Diagnostic, sources: &[Source], renderer: &Renderer) -> String {
    let level = if found.refused() {
        Level::ERROR
    } else {
        Level::WARNING
    };
    let place = |p: &Place| {
        sources
            .get(p.file)
            .map(|s| (s.name.clone(), line_of(s, &p.span)))
    };
    let mut places = Vec::new();
    if found.code.severity() != Severity::Unreadable {
        places.extend(place(&found.place).map(|p| (p, None)));
    }
    places.extend(
        found
            .related
            .iter()
            .filter_map(|(p, label)| Some((place(p)?, Some(label)))),
    );
    let mut group = Group::with_title(level.primary_title(&*found.message).id(found.code.id()));
    for ((name, (number, text, span)), label) in &places {
        let kind = if label.is_none() {
            AnnotationKind::Primary
        } else {
            AnnotationKind::Context
        };
        let mut annotation = kind.span(span.clone());
        if let Some(label) = label {
            annotation = annotation.label(label.as_str());
        }
        group = group.element(
            Snippet::source(text.as_str())
                .line_start(*number)
                .path(name.as_str())
                .annotation(annotation),
        );
    }
    if let Some(help) = &found.help {
        group = group.element(Level::HELP.message(help.as_str()));
    }
    renderer.render(&[group])
}

/// Prints diagnostics as text.
pub fn text(set: &Set) -> ExitCode {
    // `anstream` drops the colours if the output is no terminal.
    let renderer = Renderer::styled();
    for found in set.found.iter().take(MAX_SHOWN) {
        eprintln!("{}\n", report(found, &set.sources, &renderer));
    }
    if set.found.len() > MAX_SHOWN {
        eprintln!(
            "and {} more; --format json shows all\n",
            set.found.len() - MAX_SHOWN
        );
    }
    let refused = set.found.iter().filter(|d| d.refused()).count();
    let files = match set.sources.len() {
        1 => "1 file".to_string(),
        n => format!("{n} files"),
    };
    match refused {
        0 => println!("{} {files}", style::good("good:")),
        1 => {
            eprintln!(
                "{} {files}, 1 mistake; wrenctl config explain CODE says more",
                style::bad("refused:")
            )
        }
        n => eprintln!(
            "{} {files}, {n} mistakes; wrenctl config explain CODE says more",
            style::bad("refused:")
        ),
    }
    exit_code(set)
}

fn place(place: &Place, sources: &[Source]) -> Value {
    let Some(source) = sources.get(place.file) else {
        return Value::Null;
    };
    let (line, column) = source.position(place.span.start);
    let (end_line, end_column) = source.position(place.span.end);
    json!({"file": source.name, "line": line, "column": column, "end_line": end_line, "end_column": end_column})
}

/// Prints diagnostics as JSON.
pub fn json(set: &Set) -> ExitCode {
    let found = set.found.iter().map(|d| {
        let severity = match d.code.severity() {
            Severity::Unreadable => "unreadable",
            Severity::Refused => "refused",
            Severity::Warned => "warned",
        };
        let related = d.related.iter().map(|(p, label)| json!({"place": place(p, &set.sources), "part": label}));
        json!({"code": d.code.id(), "severity": severity, "title": d.code.title(), "message": d.message,
               "place": place(&d.place, &set.sources), "related": related.collect::<Vec<_>>(), "help": d.help})
    });
    let files: Vec<&str> = set.sources.iter().map(|s| s.name.as_str()).collect();
    let report_json =
        json!({"good": !set.refused(), "files": files, "found": found.collect::<Vec<_>>()});
    println!(
        "{}",
        serde_json::to_string_pretty(&report_json).unwrap_or_default()
    );
    exit_code(set)
}
