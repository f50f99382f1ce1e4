//! Checks that the old and the new program of a rollout are compatible. Each program file reports its format versions.

use crate::style;
use crate::tend::{digest, format_versions as query_format_versions};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use wrenfork_compatibility::{check_compatibility, FormatVersions, Program};
use wrenfork_rollout::{Rollout, ValueChange, PROGRAM_KEY};

/// The format versions of a program. `files` has the given program files by digest.
fn format_versions(
    program: &Program,
    files: &BTreeMap<String, &PathBuf>,
) -> Result<FormatVersions, String> {
    let path = files.get(&program.sha256).ok_or_else(|| {
        let short = &program.sha256[..8];
        format!(
            "the plan changes the program, and no --program FILE has the digest {short} of {}",
            program.name
        )
    })?;
    let formats = query_format_versions(path)?;
    Ok(FormatVersions {
        version: program.name.clone(),
        ..formats
    })
}

/// Prints which features degrade while both programs run, and rejects a change that cannot be rolled back.
///
/// # Errors
///
/// If a program file is missing or does not report its formats, or if the two programs are incompatible.
pub fn check(record: &Rollout, program_files: &[PathBuf]) -> Result<(), String> {
    let changes: BTreeSet<&ValueChange> = record
        .changes
        .iter()
        .filter_map(|change| change.get(PROGRAM_KEY))
        .collect();
    if changes.is_empty() {
        return Ok(());
    }
    let mut files = BTreeMap::new();
    for path in program_files {
        files.insert(digest(path)?, path);
    }
    for ValueChange { old, new } in changes {
        let (Some(old), Some(new)) = (old, new) else {
            anstream::println!(
                "{} the program before or after the change is not named: compatibility is not checked",
                style::doubtful("programs:")
            );
            continue;
        };
        let (old, new) = (
            Program::parse(old).map_err(|e| e.to_string())?,
            Program::parse(new).map_err(|e| e.to_string())?,
        );
        let report = check_compatibility(
            &format_versions(&old, &files)?,
            &format_versions(&new, &files)?,
        );
        if !report.incompatible.is_empty() {
            let reasons: Vec<String> = report.incompatible.iter().map(|i| i.to_string()).collect();
            return Err(format!(
                "from {} to {}: {}",
                old.name,
                new.name,
                reasons.join("; ")
            ));
        }
        for loss in &report.degraded {
            anstream::println!("{} {loss}", style::doubtful("lost:"));
        }
        if report.degraded.is_empty() {
            anstream::println!(
                "from {} to {}: each process can hand over to its successor",
                old.name,
                new.name
            );
        }
    }
    Ok(())
}
