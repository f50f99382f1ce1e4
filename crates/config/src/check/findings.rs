//! A file with its content, and the diagnostics that several checks make alike.

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::reader::{nearest, At};
use std::collections::BTreeMap;
use std::ops::Range;

/// A file among those that are checked together.
#[derive(Clone, Copy)]
pub struct In<'a, T> {
    /// Its place among the files given.
    pub file: usize,
    /// What it says.
    pub content: &'a T,
}

impl<T> In<'_, T> {
    pub(super) fn at(&self, span: &Range<usize>) -> Place {
        Place {
            file: self.file,
            span: span.clone(),
        }
    }

    pub(super) fn wrong<V>(
        &self,
        code: Code,
        at: &At<V>,
        message: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic::new(code, self.at(&at.span), message)
    }
}

/// Names that must differ.
pub(super) fn twice<'a, T, V: Ord + 'a>(
    file: &In<T>,
    what: &str,
    names: impl Iterator<Item = (&'a At<V>, String)>,
    found: &mut Vec<Diagnostic>,
) {
    let mut first: BTreeMap<&V, &At<V>> = BTreeMap::new();
    for (name, shown) in names {
        match first.get(&name.value) {
            Some(before) => found.push(
                file.wrong(
                    Code::NameTwice,
                    name,
                    format!("{what} {shown} is there twice"),
                )
                .with(file.at(&before.span), "first here"),
            ),
            None => drop(first.insert(&name.value, name)),
        }
    }
}

pub(super) fn quoted(names: &At<String>) -> (&At<String>, String) {
    (names, format!("\"{}\"", names.value))
}

pub(super) fn unknown<'a, T>(
    file: &In<T>,
    code: Code,
    what: &str,
    name: &At<String>,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Diagnostic {
    let wrong = file.wrong(code, name, format!("there is no {what} \"{}\"", name.value));
    match nearest(&name.value, known.clone()) {
        Some(meant) => wrong.help(format!("was \"{meant}\" meant?")),
        None => {
            let list: Vec<&str> = known.take(12).collect();
            if list.is_empty() {
                wrong
            } else {
                wrong.help(format!("there is {}", list.join(", ")))
            }
        }
    }
}
