//! A file's text, read within bounds.

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use std::fs::File;
use std::io::Read;
use std::path::Path;

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

    /// Reads a file whole, at one go: one that is replaced meanwhile is read as it was when it was opened.
    ///
    /// # Errors
    ///
    /// With a code where it is no ordinary file, too large or no text; `file` is its place among those given.
    pub fn read(path: &Path, file: usize) -> Result<Source, Diagnostic> {
        let name = path.display().to_string();
        let wrong = |code, why: String| {
            Diagnostic::new(code, Place { file, span: 0..0 }, format!("{name}: {why}"))
        };
        let cannot = |e: std::io::Error| wrong(Code::CannotRead, e.to_string());
        // Looked at before it is opened: opening a pipe waits for somebody to write to it.
        let kind = std::fs::metadata(path).map_err(cannot)?;
        if !kind.is_file() {
            let what = if kind.is_dir() {
                "a directory"
            } else {
                "no ordinary file"
            };
            return Err(wrong(Code::CannotRead, format!("it is {what}")));
        }
        let mut bytes = Vec::new();
        let mut opened = File::open(path)
            .map_err(cannot)?
            .take(MOST_BYTES as u64 + 1);
        opened.read_to_end(&mut bytes).map_err(cannot)?;
        Source::from_bytes(&name, bytes, file)
    }

    /// Takes bytes for a file's.
    ///
    /// # Errors
    ///
    /// With a code where they are too many or no text.
    pub fn from_bytes(name: &str, bytes: Vec<u8>, file: usize) -> Result<Source, Diagnostic> {
        let wrong = |code, why: String| {
            Diagnostic::new(code, Place { file, span: 0..0 }, format!("{name}: {why}"))
        };
        if bytes.len() > MOST_BYTES {
            return Err(wrong(
                Code::TooLarge,
                format!("it holds more than {} MiB", MOST_BYTES >> 20),
            ));
        }
        let text = String::from_utf8(bytes).map_err(|e| {
            let at = e.utf8_error().valid_up_to();
            let line = e.as_bytes()[..at].iter().filter(|b| **b == b'\n').count() + 1;
            wrong(
                Code::NoText,
                format!("line {line} holds bytes that are no UTF-8 text"),
            )
        })?;
        Ok(Source::new(name, text))
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
