//! Errors in scenario files, with their location.

use std::fmt;
use std::ops::Range;

/// An error in a scenario file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Path of the file as the user gave it.
    pub file: String,
    /// Line and column, both from 1; `None` for an error of the whole file.
    pub place: Option<(usize, usize)>,
    /// The key or table header on that line.
    pub key: Option<String>,
    /// Text of that line.
    pub text: String,
    /// Reason for the error.
    pub reason: String,
}

impl Diagnostic {
    /// An error of the whole file.
    pub fn whole(file: &str, reason: impl Into<String>) -> Self {
        let reason = reason.into();
        Diagnostic {
            file: file.into(),
            place: None,
            key: None,
            text: String::new(),
            reason,
        }
    }

    /// An error at a byte range of the file's text.
    pub fn at(file: &str, source: &str, span: Range<usize>, reason: impl Into<String>) -> Self {
        let mut start = span.start.min(source.len());
        while !source.is_char_boundary(start) {
            start -= 1;
        }
        let line = source[..start].matches('\n').count();
        let begin = source[..start].rfind('\n').map_or(0, |n| n + 1);
        let text = source[begin..].lines().next().unwrap_or("").to_string();
        let key = match text.split_once('=') {
            Some((key, _)) => Some(key.trim().to_string()),
            None => Some(text.trim().to_string()).filter(|t| t.starts_with('[')),
        };
        let column = source[begin..start].chars().count() + 1;
        Diagnostic {
            file: file.into(),
            place: Some((line + 1, column)),
            key,
            text,
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Some((line, column)) = self.place else {
            return write!(f, "error: {}: {}", self.file, self.reason);
        };
        let key = self
            .key
            .as_ref()
            .map_or(String::new(), |k| format!("`{k}`: "));
        let (pad, number) = (" ".repeat(line.to_string().len()), line);
        writeln!(f, "error: {key}{}", self.reason)?;
        writeln!(f, "{pad}--> {}:{line}:{column}", self.file)?;
        writeln!(f, "{pad} |")?;
        writeln!(f, "{number} | {}", self.text)?;
        write!(f, "{pad} | {}^", " ".repeat(column - 1))
    }
}

impl std::error::Error for Diagnostic {}

#[cfg(test)]
mod tests {
    use super::Diagnostic;

    #[test]
    fn diagnostic_names_line_column_and_key() {
        let source = "a = 1\n\n[world]\n  tick = \"-1s\"\n";
        let at = source.find("\"-1s").unwrap();
        let d = Diagnostic::at("f.toml", source, at..at + 5, "a time is not negative");
        assert_eq!((d.place, d.key.as_deref()), (Some((4, 10)), Some("tick")));
        assert!(d.to_string().contains("--> f.toml:4:10"), "{d}");
        // Spans past the end or inside a multi-byte character must not panic.
        Diagnostic::at("f", "ä", 1..9, "");
    }
}
