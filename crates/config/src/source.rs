//! A file's text and the line and column of each byte. `source_file.rs` reads it from disk.

/// Largest accepted file, in bytes.
pub const MAX_FILE_BYTES: usize = 16 << 20;

/// A named text to parse and check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// File name as the user gave it, shown in diagnostics.
    pub name: String,
    /// Text without a byte order mark.
    pub text: String,
}

impl Source {
    /// Wraps a text, without its byte order mark if it has one.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        let (name, mut text) = (name.into(), text.into());
        if text.starts_with('\u{feff}') {
            text.drain(..'\u{feff}'.len_utf8());
        }
        Source { name, text }
    }

    /// Line and column, both counted from 1, of a byte offset in the text.
    pub fn position(&self, byte: usize) -> (usize, usize) {
        let mut offset = byte.min(self.text.len());
        while !self.text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |n| n + 1);
        (
            before.matches('\n').count() + 1,
            before[line_start..].chars().count() + 1,
        )
    }
}
