//! Reads the file of `wrenctl tend`, and verifies the program files that it lists.

use serde::Deserialize;
use sha2::{Digest, Sha256};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use wrenfork_compatibility::{FormatVersions, Program};
use wrenfork_config::values::time;
use wrenfork_supervisor::{ProgramCatalog, RestartPolicy};

/// The only format version.
const VERSION: u32 = 1;
/// Timeout for a program to print its format versions, and the interval at which its exit is polled.
const FORMATS_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum bytes read of that output.
const MAX_OUTPUT_BYTES: u64 = 64 << 10;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    version: u32,
    kind: String,
    listen: SocketAddr,
    control: PathBuf,
    state: PathBuf,
    arguments: Vec<String>,
    log: Option<PathBuf>,
    pause: Option<String>,
    longest_pause: Option<String>,
    patience: Option<String>,
    prove: Option<String>,
    tries: Option<u32>,
    #[serde(default)]
    cold: bool,
    program: Vec<ProgramEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProgramEntry {
    name: String,
    path: PathBuf,
    sha256: String,
}

/// The content of the file, validated.
pub struct TendFile {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The ingress's control socket.
    pub control: PathBuf,
    /// The folder of the lock and of the supervisor's saved state.
    pub state: PathBuf,
    /// Command line arguments of every program.
    pub arguments: Vec<String>,
    /// File that the ingress's standard error is appended to; without it, that of this process.
    pub log: Option<PathBuf>,
    /// Backoff, timeouts and limits of restarts.
    pub policy: RestartPolicy,
    /// The listed programs; at least one.
    pub programs: Programs,
}

fn parse(text: &str) -> Result<TendFile, String> {
    let raw: RawFile = toml::from_str(text).map_err(|e| e.to_string())?;
    if raw.version != VERSION || raw.kind != "tend" {
        return Err(format!(
            "the file must have version = {VERSION} and kind = \"tend\""
        ));
    }
    let span = |text: &Option<String>, key: &str, default: Duration| match text {
        None => Ok(default),
        Some(text) => time(text)
            .map(Duration::from_micros)
            .map_err(|reason| format!("{key}: {reason}")),
    };
    let defaults = RestartPolicy::default();
    let policy = RestartPolicy {
        initial_backoff: span(&raw.pause, "pause", defaults.initial_backoff)?,
        max_backoff: span(&raw.longest_pause, "longest_pause", defaults.max_backoff)?,
        timeout: span(&raw.patience, "patience", defaults.timeout)?,
        probation: span(&raw.prove, "prove", defaults.probation)?,
        max_crashes: raw.tries.unwrap_or(defaults.max_crashes),
        allow_cold_restart: raw.cold,
    };
    if policy.max_crashes == 0 || policy.initial_backoff.is_zero() || policy.timeout.is_zero() {
        return Err("tries, pause and patience must be above 0".into());
    }
    if policy.max_backoff < policy.initial_backoff {
        return Err("longest_pause must not be shorter than pause".into());
    }
    let mut entries = Vec::new();
    for ProgramEntry { name, path, sha256 } in raw.program {
        let program = Program::parse(&format!("{name}@{sha256}"))
            .map_err(|_| format!("program \"{name}\": sha256 is 64 hex digits in lower case"))?;
        if let Some((other, _)) = entries
            .iter()
            .find(|(p, _): &&(Program, PathBuf)| *p == program)
        {
            return Err(format!(
                "programs \"{}\" and \"{name}\" have one digest",
                other.name
            ));
        }
        entries.push((program, path));
    }
    if entries.is_empty() {
        return Err("the file lists no [[program]]".into());
    }
    let programs = Programs {
        entries,
        formats: RefCell::default(),
        verified: RefCell::default(),
    };
    let RawFile {
        listen,
        control,
        state,
        arguments,
        log,
        ..
    } = raw;
    Ok(TendFile {
        listen,
        control,
        state,
        arguments,
        log,
        policy,
        programs,
    })
}

/// Reads and validates the file.
///
/// # Errors
///
/// With the file's name and the invalid field or syntax error.
pub fn read(path: &Path) -> Result<TendFile, String> {
    let in_file = |reason: String| format!("{}: {}", path.display(), reason.trim_end());
    let text = std::fs::read_to_string(path).map_err(|e| in_file(e.to_string()))?;
    parse(&text).map_err(in_file)
}

/// The SHA-256 of a file, in hex.
///
/// # Errors
///
/// If the file cannot be read.
pub fn digest(path: &Path) -> Result<String, String> {
    let in_file = |e: std::io::Error| format!("{}: {e}", path.display());
    let (mut file, mut hash, mut chunk) = (
        File::open(path).map_err(in_file)?,
        Sha256::new(),
        vec![0; 64 << 10],
    );
    loop {
        match file.read(&mut chunk).map_err(in_file)? {
            0 => break,
            n => hash.update(&chunk[..n]),
        }
    }
    let mut text = String::with_capacity(64);
    for byte in hash.finalize() {
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text)
}

/// Runs a program with `--speaks` and parses the format versions that it prints.
///
/// # Errors
///
/// If the program cannot be started, does not exit in time, fails, or prints something else.
pub fn format_versions(path: &Path) -> Result<FormatVersions, String> {
    let in_file = |reason: &dyn std::fmt::Display| format!("{} --speaks: {reason}", path.display());
    let mut command = Command::new(path);
    command
        .arg("--speaks")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().map_err(|e| in_file(&e))?;
    let started = Instant::now();
    let status = loop {
        match child.try_wait().map_err(|e| in_file(&e))? {
            Some(status) => break status,
            None if started.elapsed() > FORMATS_TIMEOUT => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(in_file(&"the program did not exit in time"));
            }
            None => std::thread::sleep(POLL_INTERVAL),
        }
    };
    let mut text = String::new();
    if let Some(out) = child.stdout.take() {
        out.take(MAX_OUTPUT_BYTES)
            .read_to_string(&mut text)
            .map_err(|e| in_file(&e))?;
    }
    if !status.success() {
        return Err(in_file(&status));
    }
    serde_json::from_str(&text).map_err(|e| in_file(&e))
}

/// The programs that the operator installed on this machine.
pub struct Programs {
    entries: Vec<(Program, PathBuf)>,
    /// Format versions by digest, none if the program did not report them. Files with one digest report the same.
    formats: RefCell<BTreeMap<String, Option<FormatVersions>>>,
    /// Stamps of the files whose digest was correct. A file is hashed again only when its stamp changes.
    verified: RefCell<BTreeMap<PathBuf, Stamp>>,
}

/// Identifies the version of a file: device, inode, length, and modification time in seconds and nanoseconds.
type Stamp = (u64, u64, u64, i64, i64);

impl Programs {
    /// The first listed program, which is started on a machine without saved state.
    pub fn first(&self) -> &Program {
        &self.entries[0].0
    }

    /// The path of a program, after a check that the file still has its digest.
    ///
    /// # Errors
    ///
    /// If the program is not listed, or its file is missing or has another digest.
    pub fn path(&self, program: &Program) -> Result<&Path, String> {
        let (_, path) = self
            .entries
            .iter()
            .find(|(p, _)| p == program)
            .ok_or("no listed file has the digest of this program")?;
        let metadata = std::fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let stamp = (
            metadata.dev(),
            metadata.ino(),
            metadata.len(),
            metadata.mtime(),
            metadata.mtime_nsec(),
        );
        if self.verified.borrow().get(path) == Some(&stamp) {
            return Ok(path);
        }
        let found = digest(path)?;
        if found != program.sha256 {
            let (found, wanted) = (&found[..8], &program.sha256[..8]);
            return Err(format!(
                "{} has the digest {found}, not {wanted}",
                path.display()
            ));
        }
        self.verified.borrow_mut().insert(path.clone(), stamp);
        Ok(path)
    }

    /// The errors of the listed programs whose files are missing or have another digest.
    pub fn errors(&self) -> Vec<String> {
        self.entries
            .iter()
            .filter_map(|(program, _)| self.path(program).err())
            .collect()
    }

    fn format_versions(&self, program: &Program) -> Option<FormatVersions> {
        if let Some(formats) = self.formats.borrow().get(&program.sha256) {
            return formats.clone();
        }
        let formats = self.path(program).and_then(format_versions).ok();
        self.formats
            .borrow_mut()
            .insert(program.sha256.clone(), formats.clone());
        formats
    }
}

impl ProgramCatalog for Programs {
    fn contains(&self, program: &Program) -> bool {
        self.path(program).is_ok()
    }

    fn can_take_over(&self, old: &Program, new: &Program) -> bool {
        match (self.format_versions(old), self.format_versions(new)) {
            (Some(old), Some(new)) => wrenfork_compatibility::check_compatibility(&old, &new)
                .degraded
                .is_empty(),
            _ => false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{digest, parse, Program, Programs, RefCell, RestartPolicy};
    use wrenfork_supervisor::ProgramCatalog;

    const VALID: &str = include_str!("../../../../deploy/tend.toml");

    #[test]
    fn shipped_file_is_valid_and_each_invalid_value_is_reported() {
        let file = parse(VALID).unwrap();
        assert_eq!(file.policy, RestartPolicy::default());
        assert_eq!(file.programs.first().name, "r-12");
        // The two program files of the shipped file do not exist.
        assert_eq!(file.programs.errors().len(), 2);
        for (valid, invalid, reason) in [
            ("version = 1", "version = 2", "version = 1"),
            ("kind = \"tend\"", "kind = \"site\"", "kind = \"tend\""),
            ("listen = \"127.0.0.1:7600\"", "listen = \"here\"", "listen"),
            ("pause = \"200ms\"", "pause = \"0s\"", "above 0"),
            (
                "longest_pause = \"30s\"",
                "longest_pause = \"1ms\"",
                "longest_pause",
            ),
            ("prove = \"60s\"", "prove = \"60\"", "prove: "),
            ("tries = 3", "tries = 0", "above 0"),
            ("tries = 3", "colour = 1", "unknown field"),
            ("sha256 = \"9", "sha256 = \"G", "64 hex digits"),
            (
                "sha256 = \"4355a46b19d348dc2f57c046f8ef63d4538ebb936000f3c9ee954a27460dd865\"",
                "sha256 = \"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\"",
                "one digest",
            ),
        ] {
            assert!(VALID.contains(valid), "{valid}");
            let found = parse(&VALID.replacen(valid, invalid, 1))
                .map(drop)
                .unwrap_err();
            assert!(found.contains(reason), "{invalid}: {found}");
        }
    }

    #[test]
    fn program_with_another_digest_is_rejected() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("program");
        std::fs::write(&path, "one").unwrap();
        let program = Program {
            name: "r".into(),
            sha256: digest(&path).unwrap(),
        };
        let programs = Programs {
            entries: vec![(program.clone(), path.clone())],
            formats: RefCell::default(),
            verified: RefCell::default(),
        };
        assert!(programs.contains(&program) && programs.errors().is_empty());
        // The file is not executable and reports no formats, so a takeover is not possible.
        assert!(!programs.can_take_over(&program, &program));
        std::fs::write(&path, "another").unwrap();
        assert!(programs
            .path(&program)
            .unwrap_err()
            .contains("has the digest"));
    }
}
