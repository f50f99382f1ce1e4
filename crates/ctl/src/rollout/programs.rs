//! Whether the programs that a rollout changes from and to may serve side by side: asked of the files themselves.

use crate::style;
use crate::tend::{digest, speaks};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use wrenfork_compatibility::{check_compatibility, FormatVersions, Program};
use wrenfork_rollout::{Rollout, ValueChange, PROGRAM_KEY};

/// What the file of a program says, by the digests of those that are given.
fn said(program: &Program, files: &BTreeMap<String, &PathBuf>) -> Result<FormatVersions, String> {
    let path = files.get(&program.sha256).ok_or_else(|| {
        let short = &program.sha256[..8];
        format!(
            "the plan changes the program, and no --program FILE has the digest {short} of {}",
            program.name
        )
    })?;
    let speaks = speaks(path)?;
    Ok(FormatVersions {
        version: program.name.clone(),
        ..speaks
    })
}

/// Tells what is lost, and refuses what could not be taken back.
///
/// # Errors
///
/// Where a file is missing, says nothing of itself, or the two must not be in service together.
pub fn check(record: &Rollout, given: &[PathBuf]) -> Result<(), String> {
    let changes: BTreeSet<&ValueChange> = record
        .changes
        .iter()
        .filter_map(|change| change.get(PROGRAM_KEY))
        .collect();
    if changes.is_empty() {
        return Ok(());
    }
    let mut files = BTreeMap::new();
    for path in given {
        files.insert(digest(path)?, path);
    }
    for ValueChange { old, new } in changes {
        let (Some(old), Some(new)) = (old, new) else {
            anstream::println!(
                "{} nobody said what ran before, or what is to run: nothing is compared",
                style::doubtful("programs:")
            );
            continue;
        };
        let (old, new) = (
            Program::parse(old).map_err(|e| e.to_string())?,
            Program::parse(new).map_err(|e| e.to_string())?,
        );
        let report = check_compatibility(&said(&old, &files)?, &said(&new, &files)?);
        if !report.incompatible.is_empty() {
            let reasons: Vec<String> = report.incompatible.iter().map(|i| i.to_string()).collect();
            return Err(format!(
                "from {} to {}: {}",
                old.name,
                new.name,
                reasons.join("; ")
            ));
        }
        for lost in &report.degraded {
            anstream::println!("{} {lost}", style::doubtful("lost:"));
        }
        if report.degraded.is_empty() {
            anstream::println!(
                "from {} to {}: each process hands over to the next",
                old.name,
                new.name
            );
        }
    }
    Ok(())
}
