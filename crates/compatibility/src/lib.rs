//! Compatibility of builds: the format versions that each reads and writes, and whether two builds may serve at the same time and
//! the newer one can be reverted. This package has no I/O and no clock.
//!
//! - [`Program`]: a build, identified by the digest of its executable.
//! - [`FormatVersions`]: the format versions that a build reads and writes, as the build itself reports them.
//! - [`check_compatibility`]: the comparison of two builds.

mod check;
mod formats;
mod program;

pub use check::{check_compatibility, CompatibilityReport, Degradation, Incompatibility};
pub use formats::{FormatVersions, VersionRange};
pub use program::{Program, ProgramError};
