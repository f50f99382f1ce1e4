//! The executable files available on the machine.

use wrenfork_compatibility::Program;

/// The programs whose executable files exist on the machine.
pub trait ProgramCatalog {
    /// Whether a file with the digest of the program exists.
    fn contains(&self, program: &Program) -> bool;

    /// Whether the new program can take over from the old one by a handover, while the old one serves.
    fn can_take_over(&self, old: &Program, new: &Program) -> bool;
}
