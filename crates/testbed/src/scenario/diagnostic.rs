//! What is wrong with a file, and where.

use std::fmt;
use std::ops::Range;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file, as the user named it.
    pub file: String,
    /// The line and the column, from 1; none where the file as a whole is meant.
    pub place: Option<(usize, usize)>,
    /// The key that stands on that line.
    pub key: Option<String>,
    /// The text of that line.
    pub text: String,
    /// What is wrong.
    pub reason: String,
}

impl Diagnostic {
    /// About a file as a whole.
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

    /// About a part of a file's text.
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
    fn the_place_is_that_of_the_line_and_its_key() {
        let source = "a = 1\n\n[world]\n  tick = \"-1s\"\n";
        let at = source.find("\"-1s").unwrap();
        let d = Diagnostic::at("f.toml", source, at..at + 5, "a time is not negative");
        assert_eq!((d.place, d.key.as_deref()), (Some((4, 10)), Some("tick")));
        assert!(d.to_string().contains("--> f.toml:4:10"), "{d}");
        // Past the end, or inside a letter of several bytes, is no reason to panic.
        Diagnostic::at("f", "ä", 1..9, "");
    }
}
