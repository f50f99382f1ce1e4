//! Reads a file of bounded size into a [`Source`].

use crate::codes::Code;
use crate::diagnostic::{Diagnostic, Place};
use crate::source::{Source, MAX_FILE_BYTES};
use std::fs::File;
use std::io::Read;
use std::path::Path;

impl Source {
    /// Reads a whole file. If the file is replaced while it is read, the text is that of the file that was opened.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic if the path is not a regular file, or the file is too large or not UTF-8. `file` is the
    /// index of the file in its set.
    pub fn read(path: &Path, file: usize) -> Result<Source, Diagnostic> {
        let name = path.display().to_string();
        let error = |code, reason: String| {
            Diagnostic::new(
                code,
                Place { file, span: 0..0 },
                format!("{name}: {reason}"),
            )
        };
        let unreadable = |e: std::io::Error| error(Code::CannotRead, e.to_string());
        // The type is checked before opening: opening a pipe blocks until it has a writer.
        let metadata = std::fs::metadata(path).map_err(unreadable)?;
        if !metadata.is_file() {
            let file_type = if metadata.is_dir() {
                "a directory"
            } else {
                "not a regular file"
            };
            return Err(error(Code::CannotRead, format!("it is {file_type}")));
        }
        let mut bytes = Vec::new();
        let mut opened = File::open(path)
            .map_err(unreadable)?
            .take(MAX_FILE_BYTES as u64 + 1);
        opened.read_to_end(&mut bytes).map_err(unreadable)?;
        Source::from_bytes(&name, bytes, file)
    }

    /// Builds a source from the bytes of a file.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic if there are too many bytes or they are not UTF-8.
    pub fn from_bytes(name: &str, bytes: Vec<u8>, file: usize) -> Result<Source, Diagnostic> {
        let error = |code, reason: String| {
            Diagnostic::new(
                code,
                Place { file, span: 0..0 },
                format!("{name}: {reason}"),
            )
        };
        if bytes.len() > MAX_FILE_BYTES {
            return Err(error(
                Code::TooLarge,
                format!("it holds more than {} MiB", MAX_FILE_BYTES >> 20),
            ));
        }
        let text = String::from_utf8(bytes).map_err(|e| {
            let valid_up_to = e.utf8_error().valid_up_to();
            let line = e.as_bytes()[..valid_up_to]
                .iter()
                .filter(|b| **b == b'\n')
                .count()
                + 1;
            error(
                Code::NoText,
                format!("line {line} holds bytes that are no UTF-8 text"),
            )
        })?;
        Ok(Source::new(name, text))
    }
}
