//! The file of whoever keeps an ingress's process, and the programs that it names.

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

/// The only version of the form so far.
const VERSION: u32 = 1;
/// How long a program may take to say what it speaks, and how often that is looked at.
const SAYS: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(5);
/// The most bytes that it may say.
const MOST_SAID: u64 = 64 << 10;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
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
    program: Vec<Listed>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Listed {
    name: String,
    path: PathBuf,
    sha256: String,
}

/// What the file says.
pub struct Told {
    /// The clients' address.
    pub listen: SocketAddr,
    /// The ingress's control socket.
    pub control: PathBuf,
    /// The folder for what is remembered.
    pub state: PathBuf,
    /// What every program is started with.
    pub arguments: Vec<String>,
    /// Where its standard error goes; to this process's without it.
    pub log: Option<PathBuf>,
    /// What is asked of the keeper.
    pub terms: RestartPolicy,
    /// The programs.
    pub programs: Programs,
}

fn parse(text: &str) -> Result<Told, String> {
    let form: Form = toml::from_str(text).map_err(|e| e.to_string())?;
    if form.version != VERSION || form.kind != "tend" {
        return Err(format!(
            "it must say version = {VERSION} and kind = \"tend\""
        ));
    }
    let span = |text: &Option<String>, key: &str, absent: Duration| match text {
        None => Ok(absent),
        Some(text) => time(text)
            .map(Duration::from_micros)
            .map_err(|why| format!("{key}: {why}")),
    };
    let usual = RestartPolicy::default();
    let terms = RestartPolicy {
        initial_backoff: span(&form.pause, "pause", usual.initial_backoff)?,
        max_backoff: span(&form.longest_pause, "longest_pause", usual.max_backoff)?,
        timeout: span(&form.patience, "patience", usual.timeout)?,
        probation: span(&form.prove, "prove", usual.probation)?,
        max_crashes: form.tries.unwrap_or(usual.max_crashes),
        allow_cold_restart: form.cold,
    };
    if terms.max_crashes == 0 || terms.initial_backoff.is_zero() || terms.timeout.is_zero() {
        return Err("tries, pause and patience are above 0".into());
    }
    if terms.max_backoff < terms.initial_backoff {
        return Err("longest_pause is as long as pause at the least".into());
    }
    let mut list = Vec::new();
    for Listed { name, path, sha256 } in form.program {
        let program = Program::parse(&format!("{name}@{sha256}"))
            .map_err(|_| format!("program \"{name}\": sha256 is 64 hex digits in lower case"))?;
        if let Some((other, _)) = list
            .iter()
            .find(|(p, _): &&(Program, PathBuf)| *p == program)
        {
            return Err(format!(
                "programs \"{}\" and \"{name}\" have one digest",
                other.name
            ));
        }
        list.push((program, path));
    }
    if list.is_empty() {
        return Err("it names no [[program]]".into());
    }
    let programs = Programs {
        list,
        said: RefCell::default(),
        looked: RefCell::default(),
    };
    let Form {
        listen,
        control,
        state,
        arguments,
        log,
        ..
    } = form;
    Ok(Told {
        listen,
        control,
        state,
        arguments,
        log,
        terms,
        programs,
    })
}

/// Reads the file.
///
/// # Errors
///
/// With what is wrong, and the file's name.
pub fn read(path: &Path) -> Result<Told, String> {
    let told = |why: String| format!("{}: {}", path.display(), why.trim_end());
    let text = std::fs::read_to_string(path).map_err(|e| told(e.to_string()))?;
    parse(&text).map_err(told)
}

/// The SHA-256 of a file, in hex.
///
/// # Errors
///
/// Where it can't be read.
pub fn digest(path: &Path) -> Result<String, String> {
    let told = |e: std::io::Error| format!("{}: {e}", path.display());
    let (mut file, mut hash, mut part) = (
        File::open(path).map_err(told)?,
        Sha256::new(),
        vec![0; 64 << 10],
    );
    loop {
        match file.read(&mut part).map_err(told)? {
            0 => break,
            n => hash.update(&part[..n]),
        }
    }
    let mut text = String::with_capacity(64);
    for byte in hash.finalize() {
        let _ = write!(text, "{byte:02x}");
    }
    Ok(text)
}

/// What a program says that it speaks.
///
/// # Errors
///
/// Where it can't be started, takes too long, or says something else.
pub fn speaks(path: &Path) -> Result<FormatVersions, String> {
    let told = |why: &dyn std::fmt::Display| format!("{} --speaks: {why}", path.display());
    let mut command = Command::new(path);
    command
        .arg("--speaks")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().map_err(|e| told(&e))?;
    let begun = Instant::now();
    let ended = loop {
        match child.try_wait().map_err(|e| told(&e))? {
            Some(status) => break status,
            None if begun.elapsed() > SAYS => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(told(&"it does not end"));
            }
            None => std::thread::sleep(LOOK),
        }
    };
    let mut text = String::new();
    if let Some(out) = child.stdout.take() {
        out.take(MOST_SAID)
            .read_to_string(&mut text)
            .map_err(|e| told(&e))?;
    }
    if !ended.success() {
        return Err(told(&ended));
    }
    serde_json::from_str(&text).map_err(|e| told(&e))
}

/// The programs that the operator put on this machine.
pub struct Programs {
    list: Vec<(Program, PathBuf)>,
    /// What those that were asked speak; a file of a digest always says the same.
    said: RefCell<BTreeMap<String, Option<FormatVersions>>>,
    /// Files whose digest was as it should be, as they were then: one is read whole again when it is another one.
    looked: RefCell<BTreeMap<PathBuf, Stamp>>,
}

/// What tells a file from the one that was looked at: device, number, length, and when it was written.
type Stamp = (u64, u64, u64, i64, i64);

impl Programs {
    /// The first of the file: what a machine begins with that remembers nothing.
    pub fn first(&self) -> &Program {
        &self.list[0].0
    }

    /// The file of a program, as it is at this moment.
    ///
    /// # Errors
    ///
    /// Where there is none, or it has another digest by now.
    pub fn path(&self, program: &Program) -> Result<&Path, String> {
        let (_, path) = self
            .list
            .iter()
            .find(|(p, _)| p == program)
            .ok_or("no file has its digest")?;
        let m = std::fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
        let stamp = (m.dev(), m.ino(), m.len(), m.mtime(), m.mtime_nsec());
        if self.looked.borrow().get(path) == Some(&stamp) {
            return Ok(path);
        }
        let has = digest(path)?;
        if has != program.sha256 {
            let (has, wanted) = (&has[..8], &program.sha256[..8]);
            return Err(format!(
                "{} has the digest {has}, not {wanted}",
                path.display()
            ));
        }
        self.looked.borrow_mut().insert(path.clone(), stamp);
        Ok(path)
    }

    /// Those whose files are not what the file says, and why.
    pub fn wrong(&self) -> Vec<String> {
        self.list
            .iter()
            .filter_map(|(program, _)| self.path(program).err())
            .collect()
    }

    fn speaks(&self, program: &Program) -> Option<FormatVersions> {
        if let Some(said) = self.said.borrow().get(&program.sha256) {
            return said.clone();
        }
        let said = self.path(program).and_then(speaks).ok();
        self.said
            .borrow_mut()
            .insert(program.sha256.clone(), said.clone());
        said
    }
}

impl ProgramCatalog for Programs {
    fn contains(&self, program: &Program) -> bool {
        self.path(program).is_ok()
    }

    fn can_take_over(&self, old: &Program, new: &Program) -> bool {
        match (self.speaks(old), self.speaks(new)) {
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

    const GOOD: &str = include_str!("../../../../deploy/tend.toml");

    #[test]
    fn the_file_that_ships_is_good_and_what_is_wrong_with_one_is_told() {
        let told = parse(GOOD).unwrap();
        assert_eq!(told.terms, RestartPolicy::default());
        assert_eq!(told.programs.first().name, "r-12");
        // Its files are not there.
        assert_eq!(told.programs.wrong().len(), 2);
        for (good, bad, why) in [
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
            assert!(GOOD.contains(good), "{good}");
            let found = parse(&GOOD.replacen(good, bad, 1)).map(drop).unwrap_err();
            assert!(found.contains(why), "{bad}: {found}");
        }
    }

    #[test]
    fn a_file_is_what_its_digest_says_or_is_not_started() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("program");
        std::fs::write(&path, "one").unwrap();
        let program = Program {
            name: "r".into(),
            sha256: digest(&path).unwrap(),
        };
        let programs = Programs {
            list: vec![(program.clone(), path.clone())],
            said: RefCell::default(),
            looked: RefCell::default(),
        };
        assert!(programs.contains(&program) && programs.wrong().is_empty());
        // It is no program: it says nothing, and so can't take over from anything.
        assert!(!programs.can_take_over(&program, &program));
        std::fs::write(&path, "another").unwrap();
        assert!(programs
            .path(&program)
            .unwrap_err()
            .contains("has the digest"));
    }
}
