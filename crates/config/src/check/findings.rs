//! A file's index with its content, and the diagnostics that several checks share.

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::reader::{nearest, At};
use std::collections::BTreeMap;
use std::ops::Range;

/// The content of a file together with the file's index in the set.
#[derive(Clone, Copy)]
pub struct InFile<'a, T> {
    /// Index of the file in the set.
    pub file: usize,
    /// Typed content of the file.
    pub content: &'a T,
}

impl<T> InFile<'_, T> {
    /// The place of a span in the file.
    pub(super) fn place(&self, span: &Range<usize>) -> Place {
        Place {
            file: self.file,
            span: span.clone(),
        }
    }

    /// A diagnostic at a value of the file.
    pub(super) fn diagnostic<V>(
        &self,
        code: Code,
        at: &At<V>,
        message: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic::new(code, self.place(&at.span), message)
    }
}

/// Reports each name that occurs a second time. `kind` says what the names are names of.
pub(super) fn report_duplicates<'a, T, V: Ord + 'a>(
    file: &InFile<T>,
    kind: &str,
    names: impl Iterator<Item = (&'a At<V>, String)>,
    found: &mut Vec<Diagnostic>,
) {
    let mut seen: BTreeMap<&V, &At<V>> = BTreeMap::new();
    for (name, shown) in names {
        match seen.get(&name.value) {
            Some(first) => found.push(
                file.diagnostic(
                    Code::NameTwice,
                    name,
                    format!("{kind} {shown} is there twice"),
                )
                .with(file.place(&first.span), "first here"),
            ),
            None => drop(seen.insert(&name.value, name)),
        }
    }
}

/// A name with its quoted form for messages.
pub(super) fn quoted(name: &At<String>) -> (&At<String>, String) {
    (name, format!("\"{}\"", name.value))
}

/// A diagnostic for a name that does not exist, with the closest known name or a list of known names as help.
pub(super) fn unknown_name<'a, T>(
    file: &InFile<T>,
    code: Code,
    kind: &str,
    name: &At<String>,
    known: impl Iterator<Item = &'a str> + Clone,
) -> Diagnostic {
    let diagnostic = file.diagnostic(code, name, format!("there is no {kind} \"{}\"", name.value));
    match nearest(&name.value, known.clone()) {
        Some(suggestion) => diagnostic.help(format!("was \"{suggestion}\" meant?")),
        None => {
            let list: Vec<&str> = known.take(12).collect();
            if list.is_empty() {
                diagnostic
            } else {
                diagnostic.help(format!("there is {}", list.join(", ")))
            }
        }
    }
}
