//! What is wrong with files, and where.

use crate::codes::{Code, Severity};
use crate::source::Source;
use std::ops::Range;

/// A place in one of the files that were given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The file's place among those given.
    pub file: usize,
    /// Bytes of its text.
    pub span: Range<usize>,
}

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// What kind it is.
    pub code: Code,
    /// What is wrong, with the names and numbers at hand.
    pub message: String,
    /// Where; none for a file that could not be read.
    pub place: Place,
    /// Other places that have a part in it, each with a word on that part.
    pub related: Vec<(Place, String)>,
    /// What to do.
    pub help: Option<String>,
}

impl Diagnostic {
    /// A mistake at a place.
    pub fn new(code: Code, place: Place, message: impl Into<String>) -> Self {
        Diagnostic {
            code,
            message: message.into(),
            place,
            related: Vec::new(),
            help: None,
        }
    }

    /// Adds another place.
    #[must_use]
    pub fn with(mut self, place: Place, part: impl Into<String>) -> Self {
        self.related.push((place, part.into()));
        self
    }

    /// Adds what to do.
    #[must_use]
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Whether a file with it is refused.
    pub fn refused(&self) -> bool {
        self.code.severity() != Severity::Warned
    }

    /// As a line for logs: `file:line:column: C101: message`.
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

/// Puts mistakes into the order of the files, and of the places in them.
pub fn sort(found: &mut Vec<Diagnostic>) {
    found.sort_by(|a, b| {
        let key = |d: &Diagnostic| (d.place.file, d.place.span.start, d.place.span.end, d.code);
        key(a).cmp(&key(b)).then_with(|| a.message.cmp(&b.message))
    });
    found.dedup();
}
