//! `wrenctl keys`: manages the keys that sign tokens. Private keys exist only in files that only their owner can read.

use crate::style;
use anstream::println;
use clap::Subcommand;
use ed25519_dalek::SigningKey;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use toml_edit::{value, DocumentMut, Item, Table};
use wrenfork_config::callers;
use wrenfork_config::set::Set;
use wrenfork_identity::token::{format_time, sign, Claims};
use wrenfork_identity::trust::{format_public_key, RotationProblem, Stage};
use zeroize::Zeroizing;

/// Exit code if something could not be read or done.
const FAILED: u8 = 2;
/// Bytes of a private key. Its file has them as 64 hex digits.
const SEED_BYTES: usize = 32;

#[derive(Subcommand)]
pub enum Verb {
    /// Makes a key: the private half into a file that did not exist, the public half to standard output
    New {
        /// The file
        #[arg(value_name = "FILE")]
        out: PathBuf,
    },
    /// Signs a token and prints it
    Token {
        /// The private half
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        /// Issuer and key, as the operator's file names them
        #[arg(long, value_name = "ISSUER/KEY")]
        kid: String,
        /// Whom it is for
        #[arg(long, value_name = "NAME")]
        audience: String,
        /// On whose behalf
        #[arg(long, value_name = "NAME")]
        tenant: String,
        /// How long it holds
        #[arg(long = "for", value_name = "TIME", default_value = "1h", value_parser = crate::change::span)]
        lasts: Duration,
        /// An account that it may name; without any, all of the tenant's
        #[arg(long, value_name = "HEX")]
        account: Vec<String>,
        /// A class that it may send; without any, all of the tenant's
        #[arg(long, value_name = "NAME")]
        class: Vec<String>,
    },
    /// Lists a new key in an application's or an ingress's file, taken from a later time on, and gives those in use an end
    Rotate {
        /// The file; all else in it stays as it is
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Whose key
        #[arg(long, value_name = "NAME")]
        issuer: String,
        /// The new key's name
        #[arg(long, value_name = "NAME")]
        name: String,
        /// The new key's public half, as `keys new` printed it
        #[arg(long, value_name = "HEX")]
        public: String,
        /// When it is taken: time to apply the change everywhere before anybody signs with it
        #[arg(long, value_name = "TIME", default_value = "10m", value_parser = crate::change::span)]
        lead: Duration,
        /// How long the old ones are taken beside it: the longest time that a token holds for, at the least
        #[arg(long, value_name = "TIME", default_value = "24h", value_parser = crate::change::span)]
        overlap: Duration,
    },
    /// Tells where each key of some files stands: exit 1 where one ends soon, or a rotation is not whole
    Status {
        /// The site with its applications, or an ingress's file
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// How many days before it an end is told
        #[arg(long, value_name = "DAYS", default_value_t = 14)]
        early: u32,
    },
}

fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

fn new(out: &Path) -> Result<ExitCode, String> {
    let told = |e: std::io::Error| format!("{}: {e}", out.display());
    let mut seed = Zeroizing::new([0u8; SEED_BYTES]);
    getrandom::fill(&mut *seed).map_err(|e| format!("cannot get random bytes: {e}"))?;
    let text: Zeroizing<String> = Zeroizing::new(seed.iter().map(|b| format!("{b:02x}")).collect());
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(out)
        .map_err(told)?;
    file.write_all(text.as_bytes())
        .and_then(|()| file.write_all(b"\n"))
        .and_then(|()| file.sync_all())
        .map_err(told)?;
    println!(
        "{}",
        format_public_key(&SigningKey::from_bytes(&seed).verifying_key())
    );
    Ok(ExitCode::SUCCESS)
}

/// Reads a private key. Rejects a file of another user, or one that others may read (they know the key) or write (they can
/// replace it).
fn read_private_key(path: &Path) -> Result<SigningKey, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let mut file = File::open(path).map_err(|e| told(&e))?;
    let metadata = file.metadata().map_err(|e| told(&e))?;
    if metadata.mode() & 0o077 != 0 {
        return Err(told(&format!(
            "other users may read or write the file (mode {:04o}): chmod 600",
            metadata.mode() & 0o7777
        )));
    }
    if metadata.uid() != rustix::process::geteuid().as_raw() {
        return Err(told(&"the file belongs to another user"));
    }
    let mut text = Zeroizing::new(Vec::with_capacity(2 * SEED_BYTES + 2));
    (&mut file)
        .take(2 * SEED_BYTES as u64 + 2)
        .read_to_end(&mut text)
        .map_err(|e| told(&e))?;
    let hex = text.strip_suffix(b"\n").unwrap_or(&text);
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    let byte = |pair: &[u8]| Some(digit(pair[0])? << 4 | digit(pair[1])?);
    let bytes: Option<Vec<u8>> = (hex.len() == 2 * SEED_BYTES)
        .then(|| hex.chunks(2).map(byte).collect())
        .flatten();
    let seed = Zeroizing::new(
        bytes.ok_or_else(|| told(&"this is no private key: 64 hex digits expected"))?,
    );
    let seed: &[u8; SEED_BYTES] = seed
        .as_slice()
        .try_into()
        .map_err(|_| told(&"this is no private key"))?;
    Ok(SigningKey::from_bytes(seed))
}

fn token(verb: Verb) -> Result<ExitCode, String> {
    let Verb::Token {
        key,
        kid,
        audience,
        tenant,
        lasts,
        account,
        class,
    } = verb
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let signing_key = read_private_key(&key)?;
    let (issuer, name) = kid.split_once('/').ok_or("--kid must be ISSUER/KEY")?;
    let accounts = account
        .iter()
        .map(|a| wrenfork_config::values::account(a))
        .collect::<Result<Vec<_>, _>>()?;
    let from = now();
    let claims = Claims {
        issuer: issuer.into(),
        key: name.into(),
        public: signing_key.verifying_key(),
        audience,
        tenant,
        accounts: (!accounts.is_empty()).then_some(accounts),
        classes: (!class.is_empty()).then_some(class),
        from,
        until: from + lasts.as_secs(),
    };
    println!("{}", sign(&claims, &signing_key));
    Ok(ExitCode::SUCCESS)
}

fn rotate(verb: Verb) -> Result<ExitCode, String> {
    let Verb::Rotate {
        file,
        issuer,
        name,
        public,
        lead,
        overlap,
    } = verb
    else {
        return Ok(ExitCode::SUCCESS);
    };
    let in_file = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    wrenfork_config::values::public_key(&public)?;
    let text = std::fs::read_to_string(&file).map_err(|e| in_file(&e))?;
    let mut document: DocumentMut = text.parse().map_err(|e| in_file(&e))?;
    let issuers = document
        .get_mut("identity")
        .and_then(|i| i.get_mut("issuer"))
        .and_then(Item::as_array_of_tables_mut);
    let named = |t: &&mut Table| t.get("name").and_then(Item::as_str) == Some(&issuer);
    let issuer_table = issuers.and_then(|list| list.iter_mut().find(named));
    let issuer_table =
        issuer_table.ok_or_else(|| in_file(&format!("there is no issuer \"{issuer}\"")))?;
    let keys = issuer_table
        .get_mut("key")
        .and_then(Item::as_array_of_tables_mut);
    let keys = keys.ok_or_else(|| {
        in_file(&format!(
            "issuer \"{issuer}\" has no [[identity.issuer.key]]"
        ))
    })?;
    if keys
        .iter()
        .any(|k| k.get("name").and_then(Item::as_str) == Some(&name))
    {
        return Err(in_file(&format!(
            "issuer \"{issuer}\" already has a key \"{name}\""
        )));
    }
    let from = now() + lead.as_secs();
    let until = format_time(from + overlap.as_secs());
    for key in keys.iter_mut().filter(|k| !k.contains_key("until")) {
        key.insert("until", value(&until));
    }
    let mut new = Table::new();
    for (key, text) in [
        ("name", name.as_str()),
        ("public", &public),
        ("from", &format_time(from)),
    ] {
        new.insert(key, value(text));
    }
    keys.push(new);
    // Replace the file atomically and keep its mode: an ingress may read it at any time.
    let folder = file
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut written = tempfile::NamedTempFile::new_in(folder).map_err(|e| in_file(&e))?;
    let mode = std::fs::metadata(&file)
        .map_err(|e| in_file(&e))?
        .permissions();
    let result = written
        .write_all(document.to_string().as_bytes())
        .and_then(|()| written.as_file().sync_all());
    result
        .and_then(|()| written.as_file().set_permissions(mode))
        .map_err(|e| in_file(&e))?;
    written.persist(&file).map_err(|e| in_file(&e.error))?;
    println!(
        "{} {issuer}/{name} is taken from {}, the others until {until}",
        style::good("listed:"),
        format_time(from)
    );
    println!("apply this file before that, then sign with the new key; to go back, apply the previous file");
    Ok(ExitCode::SUCCESS)
}

fn status(files: &[PathBuf], early: u32) -> Result<ExitCode, String> {
    let set = Set::read(files);
    if set.refused() {
        return Ok(crate::config::print::text(&set));
    }
    let apps = set
        .applications()
        .into_iter()
        .map(|a| a.content.identity.clone());
    let ingresses = set
        .ingresses()
        .into_iter()
        .map(|i| i.content.application.identity.clone());
    let (time, mut wrong) = (now(), false);
    let mut table = style::table(&["issuer", "key", "stands", "from", "until"]);
    let mut warnings = Vec::new();
    for identity in apps.chain(ingresses).flatten() {
        let trust = callers::trust(&identity);
        for (issuer, key) in trust
            .issuers
            .iter()
            .flat_map(|i| i.keys.iter().map(move |k| (&i.name, k)))
        {
            let stage = match key.stage(time) {
                Stage::Pending => "coming",
                Stage::Active => "used",
                Stage::Expiring => "leaving",
                Stage::Withdrawn => "withdrawn",
            };
            let date = |t: Option<u64>| t.filter(|t| *t > 0).map_or("-".into(), format_time);
            table.add_row([
                issuer.clone(),
                key.name.clone(),
                stage.into(),
                date(Some(key.from)),
                date(key.until),
            ]);
            let soon = key
                .until
                .is_some_and(|u| u > time && u <= time + u64::from(early) * 86_400);
            let next = trust
                .issuers
                .iter()
                .filter(|i| i.name == *issuer)
                .flat_map(|i| &i.keys);
            if soon
                && !next
                    .into_iter()
                    .any(|k| k.until.is_none() && k.is_active(time))
            {
                warnings.push(format!(
                    "key {issuer}/{} ends soon, and no other key is in use yet",
                    key.name
                ));
            }
        }
        warnings.extend(trust.rotation_problems(time).iter().map(|problem| match problem {
            RotationProblem::NoKey(issuer) => {
                format!("no key of issuer {issuer} is accepted now: all of its tokens are refused")
            }
            RotationProblem::Gap(issuer, from) => {
                format!("issuer {issuer} has no key from {} on", format_time(*from))
            }
            RotationProblem::DuplicateKey(issuer, key) => format!("key {issuer}/{key} is listed twice"),
            RotationProblem::EmptyPeriod(issuer, key) => format!("key {issuer}/{key} ends before it begins"),
        }));
    }
    println!("{table}");
    for line in warnings {
        wrong = true;
        println!("{} {line}", style::bad("doubt:"));
    }
    Ok(if wrong {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

pub fn main(verb: Verb) -> ExitCode {
    let result = match verb {
        Verb::New { out } => new(&out),
        Verb::Status { files, early } => status(&files, early),
        verb @ Verb::Token { .. } => token(verb),
        verb @ Verb::Rotate { .. } => rotate(verb),
    };
    result.unwrap_or_else(|reason| {
        anstream::eprintln!("{} {reason}", style::bad("error:"));
        ExitCode::from(FAILED)
    })
}
