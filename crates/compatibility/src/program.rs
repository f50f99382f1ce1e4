//! Programs, identified by the digest of their executable file.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Length of a SHA-256 digest in hex digits.
const SHA256_HEX_LENGTH: usize = 64;

/// A program: a display name, and the SHA-256 digest of its executable file. Programs are equal if their digests are equal,
/// whatever their names.
#[derive(Clone, Debug, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Program {
    /// Display name; not part of the identity.
    pub name: String,
    /// SHA-256 digest in lower-case hex.
    pub sha256: String,
}

/// The text does not have the form `NAME@SHA256`. Contains the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a program is written NAME@SHA256, not \"{0}\"")]
pub struct ProgramError(pub String);

impl Program {
    /// Parses `NAME@SHA256`.
    ///
    /// # Errors
    ///
    /// If the text does not have this form.
    pub fn parse(text: &str) -> Result<Program, ProgramError> {
        match text.rsplit_once('@') {
            Some((name, sha256)) if !name.is_empty() && is_sha256(sha256) => Ok(Program {
                name: name.into(),
                sha256: sha256.into(),
            }),
            _ => Err(ProgramError(text.into())),
        }
    }
}

fn is_sha256(text: &str) -> bool {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == SHA256_HEX_LENGTH && text.bytes().all(is_hex)
}

impl PartialEq for Program {
    fn eq(&self, other: &Program) -> bool {
        self.sha256 == other.sha256
    }
}

impl fmt::Display for Program {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.sha256)
    }
}

impl FromStr for Program {
    type Err = ProgramError;

    fn from_str(text: &str) -> Result<Program, ProgramError> {
        Program::parse(text)
    }
}

impl TryFrom<String> for Program {
    type Error = ProgramError;

    fn try_from(text: String) -> Result<Program, ProgramError> {
        Program::parse(&text)
    }
}

impl From<Program> for String {
    fn from(program: Program) -> String {
        program.to_string()
    }
}
