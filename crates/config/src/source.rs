//! A file's text, and the places in it. How it is read is in `source_file.rs`.

/// The most bytes of a file.
pub const MOST_BYTES: usize = 16 << 20;

/// A file as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// As the user named it.
    pub name: String,
    /// Its text, without a byte order mark.
    pub text: String,
}

impl Source {
    /// Text that comes from elsewhere.
    pub fn new(name: impl Into<String>, text: impl Into<String>) -> Self {
        let (name, mut text) = (name.into(), text.into());
        if text.starts_with('\u{feff}') {
            text.drain(..'\u{feff}'.len_utf8());
        }
        Source { name, text }
    }

    /// The line and the column of a byte, both from 1.
    pub fn position(&self, byte: usize) -> (usize, usize) {
        let mut at = byte.min(self.text.len());
        while !self.text.is_char_boundary(at) {
            at -= 1;
        }
        let before = &self.text[..at];
        let begin = before.rfind('\n').map_or(0, |n| n + 1);
        (
            before.matches('\n').count() + 1,
            before[begin..].chars().count() + 1,
        )
    }
}
