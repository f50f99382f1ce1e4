//! `wrenctl config fmt`: formats configuration files.

use super::failed;
use anstream::println;
use clap::Args;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wrenfork_config::fmt;
use wrenfork_config::source::Source;

#[derive(Args)]
pub struct Options {
    /// The files
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Writes nothing; names the files that would change, with exit 1 if there is any
    #[arg(long)]
    check: bool,
}

/// Replaces a file atomically and keeps its mode: a concurrent reader gets either the old or the new text.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(text.as_bytes())?;
    file.as_file()
        .set_permissions(fs::metadata(path)?.permissions())?;
    file.as_file().sync_all()?;
    file.persist(path).map_err(|e| e.error)?;
    Ok(())
}

pub fn main(options: &Options) -> ExitCode {
    let mut changed = false;
    for path in &options.files {
        let source = match Source::read(path, 0) {
            Ok(source) => source,
            Err(diagnostic) => return failed(diagnostic.message),
        };
        let formatted = match fmt(&source.text) {
            Ok(text) => text,
            Err(error) => return failed(format!("{}: {error}", path.display())),
        };
        if formatted == source.text {
            continue;
        }
        changed = true;
        println!("{}", path.display());
        if !options.check {
            if let Err(e) = replace(path, &formatted) {
                return failed(format!("{}: {e}", path.display()));
            }
        }
    }
    if options.check && changed {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
