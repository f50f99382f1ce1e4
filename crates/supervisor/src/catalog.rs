//! What is known of the programs' files.

use wrenfork_compatibility::Program;

/// The programs that there are files of.
pub trait ProgramCatalog {
    /// Whether there is a file with the program's digest.
    fn contains(&self, program: &Program) -> bool;

    /// Whether the new program can take over from the old one while that serves.
    fn can_take_over(&self, old: &Program, new: &Program) -> bool;
}
