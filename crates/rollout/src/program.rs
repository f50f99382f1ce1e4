//! The program that a member is to run, as a value that it enforces.

/// The key of the program that a member is to run, written `NAME@SHA256`. What serves goes on under it as before; the
/// supervisor of its process changes that.
pub const PROGRAM_KEY: &str = "program";

/// Whether two programs are the same file, whatever their names.
pub fn is_same_program(one: &str, other: &str) -> bool {
    let digest = |text: &str| text.rsplit_once('@').map(|(_, sha256)| sha256.to_string());
    one == other || digest(one).is_some_and(|sha256| Some(sha256) == digest(other))
}
