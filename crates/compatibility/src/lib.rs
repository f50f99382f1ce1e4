//! Compatibility of builds: the format versions each reads and writes, and whether two of them may serve side by side and be
//! reverted. The package has no I/O and no clock.
//!
//! - [`Program`]: a build, identified by the digest of its file.
//! - [`FormatVersions`]: what a build reads and writes, as it prints it itself.
//! - [`check_compatibility`]: the comparison of two builds.

mod check;
mod formats;
mod program;

pub use check::{check_compatibility, CompatibilityReport, Degradation, Incompatibility};
pub use formats::{FormatVersions, VersionRange};
pub use program::{Program, ProgramError};
