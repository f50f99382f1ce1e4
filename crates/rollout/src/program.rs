//! The program that a member must run, as a value of its enforced state.

/// Key of the program that a member must run; the value has the form `NAME@SHA256`. A new value does not affect the running
/// process: the supervisor replaces the process with the new program.
pub const PROGRAM_KEY: &str = "program";

/// Returns whether two programs have the same SHA-256 digest, whatever their names. Without a digest the texts must be equal.
pub fn is_same_program(first: &str, second: &str) -> bool {
    let digest = |text: &str| text.rsplit_once('@').map(|(_, sha256)| sha256.to_string());
    first == second || digest(first).is_some_and(|sha256| Some(sha256) == digest(second))
}
