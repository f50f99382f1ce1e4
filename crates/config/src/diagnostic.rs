//! Mistakes found in files, with their places.

use crate::codes::{Code, Severity};
use crate::source::Source;
use std::ops::Range;

/// A place in one of the checked files.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Index of the file in its set.
    pub file: usize,
    /// Byte range in the file's text.
    pub span: Range<usize>,
}

/// One mistake found in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Kind of mistake.
    pub code: Code,
    /// Description of the mistake with the names and numbers involved.
    pub message: String,
    /// Place of the mistake; an empty span at 0 for a file that could not be read.
    pub place: Place,
    /// Other places involved, each with a note on its role.
    pub related: Vec<(Place, String)>,
    /// Advice on how to fix the mistake.
    pub help: Option<String>,
}

impl Diagnostic {
    /// A diagnostic without related places or help.
    pub fn new(code: Code, place: Place, message: impl Into<String>) -> Self {
        Diagnostic {
            code,
            message: message.into(),
            place,
            related: Vec::new(),
            help: None,
        }
    }

    /// Adds a related place with a note on its role.
    #[must_use]
    pub fn with(mut self, place: Place, note: impl Into<String>) -> Self {
        self.related.push((place, note.into()));
        self
    }

    /// Sets the advice on how to fix the mistake.
    #[must_use]
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Whether the mistake makes its file invalid; false for a warning.
    pub fn refused(&self) -> bool {
        self.code.severity() != Severity::Warned
    }

    /// Formats the diagnostic as a log line: `file:line:column: C101: message`.
    pub fn line(&self, sources: &[Source]) -> String {
        let Some(source) = sources.get(self.place.file) else {
            return format!("{}: {}", self.code, self.message);
        };
        let (line, column) = source.position(self.place.span.start);
        format!(
            "{}:{line}:{column}: {}: {}",
            source.name, self.code, self.message
        )
    }
}

/// Sorts diagnostics by file and place and removes duplicates.
pub fn sort(found: &mut Vec<Diagnostic>) {
    found.sort_by(|a, b| {
        let key = |d: &Diagnostic| (d.place.file, d.place.span.start, d.place.span.end, d.code);
        key(a).cmp(&key(b)).then_with(|| a.message.cmp(&b.message))
    });
    found.dedup();
}
