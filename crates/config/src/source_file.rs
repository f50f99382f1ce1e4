//! Reads files into a [`Source`], within bounds.

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::source::{Source, MOST_BYTES};
use std::fs::File;
use std::io::Read;
use std::path::Path;

impl Source {
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
}
